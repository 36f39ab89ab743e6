#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files of this folder; nothing is generated.
# Checks that they compile, and that the build of deploy/system.toml has been run.
cd "$(dirname "$0")" || exit 1
[ -d ../target/deps/aiohttp ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -B -c '
import pathlib, sys
for path in sorted([*pathlib.Path(".").glob("[6-9]/*.py"), *pathlib.Path(".").glob("10/*.py"),
                    *map(pathlib.Path, ("lab.py", "engines.py", "replicas2.py"))]):
    compile(path.read_text(), str(path), "exec")
'
