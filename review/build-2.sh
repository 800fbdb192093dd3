#!/usr/bin/env bash
# The stand-ins are Python sources: this checks that they compile and that what
# they import is there after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import pathlib
import sys

for name in ('common-2', '6', '7', '8', '9', '10'):
    for path in sorted(pathlib.Path('review', name).glob('*.py')):
        compile(path.read_bytes(), str(path), 'exec')
sys.path.insert(0, 'review/common-2')
import standins  # noqa: E402, F401
PYTHON
