#!/usr/bin/env bash
# Runs a case five times with its disruption and once without; prints the exit codes.
# Usage: repeat-3.sh NUMBER
cd "$(dirname "$0")" || exit 2
for run in 1 2 3 4 5; do
    "$1/run.sh" > /dev/null
    echo "run $run: exit $?"
done
cp "$1/record.txt" "$1/record.kept"
TROUBLE=0 "$1/run.sh" > /dev/null
echo "without the disruption: exit $?"
mv "$1/record.kept" "$1/record.txt"
