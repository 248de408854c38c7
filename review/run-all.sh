#!/usr/bin/env bash
# Runs each script of the review five times, and once without the disruption; prints the exit codes.
cd "$(dirname "$0")"
for case in "$@"; do
    codes=""
    for _ in 1 2 3 4 5; do
        bash "$case/run.sh" > /dev/null 2>&1
        codes="$codes $?"
    done
    cp "$case/record.txt" "$case/record.keep"
    TROUBLE=0 bash "$case/run.sh" > /dev/null 2>&1
    echo "case $case: exit codes$codes; without the disruption $?"
    mv "$case/record.keep" "$case/record.txt"
done
