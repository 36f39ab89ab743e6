#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python sources that use the standard
# library only, so this compiles them as a check and needs no network.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q . 
