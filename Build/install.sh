#!/usr/bin/env bash
# Installs the missing packages of the build. Does nothing if all are installed.
set -euo pipefail
packages=(
    cmake g++ make pkg-config
    libace-dev libcli11-dev libfmt-dev libexpected-dev nlohmann-json3-dev prometheus-cpp-dev
    libcppunit-dev librapidcheck-dev libopentracing-dev libmicrohttpd-dev libcurl4-openssl-dev
    libjsonrpccpp-dev libjsoncpp-dev libxxhash-dev libtomlplusplus-dev spin clang-format clang-tidy
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -q "${missing[@]}"
