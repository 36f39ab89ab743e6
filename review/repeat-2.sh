#!/bin/sh
# Runs a case several times and prints the exit codes: repeat-2.sh N [COUNT]
cd "$(dirname "$0")" || exit 2
codes=""
for _ in $(seq "${2:-5}"); do
    sh "$1/run.sh" >/dev/null 2>&1
    codes="$codes $?"
done
echo "case $1, TROUBLE=${TROUBLE:-1}:$codes"
