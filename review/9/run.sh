#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD/review/common-2"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins' || exit 2
exec python3 "$folder/play.py"
