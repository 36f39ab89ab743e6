#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")"
exec env PYTHONPATH=../common python3 -B case.py
