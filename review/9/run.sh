#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Writes what was sent, answered and run to record.txt in this folder.
exec sh "$(dirname "$0")/../verdict.sh" "$(dirname "$0")"
