#!/usr/bin/env bash
# Runs a case without the disruption and then with it, COUNT times each (default 5), and
# writes the exit codes to runs.txt of the case: repeat.sh N [COUNT]
set -u
cd "$(dirname "$0")/$1"
count=${2:-5}
: > runs.txt
for trouble in 0 1; do
    for number in $(seq "$count"); do
        TROUBLE=$trouble ./run.sh > last.txt 2>&1
        echo "TROUBLE=$trouble run $number: exit $?; $(tail -n 2 last.txt | head -n 1)" >> runs.txt
    done
done
rm -f last.txt
