#!/usr/bin/env bash
# Model-checks Spec/*.pml. Each model must hold, and must break with any one of its
# mechanisms disabled.
set -euo pipefail
cd "$(dirname "$0")/../Spec"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT

failures=0

# check MODEL EXPECTED [DEFINE...]: checks the model and compares the verdict (holds or breaks)
check() {
    local model=$1 expected=$2
    shift 2
    cp "$model.pml" "$folder/model.pml"
    (
        cd "$folder"
        rm -f pan* ./*.trail
        spin -a "$@" model.pml > /dev/null
        gcc -O2 -w -DSAFETY -DVECTORSZ=2048 -DCOLLAPSE -o pan pan.c
        ./pan -E -m2000000 -w24 > output.txt 2>&1
    ) || true
    local verdict=holds states
    grep -q 'errors: 0' "$folder/output.txt" || verdict=breaks
    grep -q 'max search depth too small' "$folder/output.txt" && verdict=incomplete
    states=$(grep -o '[0-9.e+]* states, stored' "$folder/output.txt" | head -1)
    printf '%-14s %-24s %-8s %s\n' "$model" "${*:-as it is}" "$verdict" "${states:-no states}"
    if [ "$verdict" != "$expected" ]; then
        echo "$model: expected that it $expected" >&2
        failures=$((failures + 1))
    fi
}

check replication holds
check replication breaks -DEMPTY_VOTES
check replication breaks -DREPLACE_AT_ONCE
check config_lease holds
check config_lease breaks -DNO_LEADER_LEASE
check config_lease breaks -DSTEP_BACK
check attempt holds
check attempt breaks -DNO_PLATFORM_LEASE
check attempt breaks -DNO_ATTEMPT
check claim holds
check claim breaks -DNO_INCARNATION
check claim breaks -DNO_REVOKE
[ "$failures" -eq 0 ] && echo "all models gave the expected verdict"
