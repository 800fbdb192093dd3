#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain Python without dependencies; this
# checks that the python3 of the deploy file's build can read them.
set -eu
cd "$(dirname "$0")"
python3 - common-3/standins.py 1[1-5]/case.py <<'PY'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
PY
