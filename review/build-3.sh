#!/usr/bin/env bash
# Checks the stand-ins that the scripts of 11 to 15 start. They are Python, use the
# standard library only, and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - rig3/*.py 1[1-5]/*.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
PYTHON
