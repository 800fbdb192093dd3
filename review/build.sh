#!/usr/bin/env bash
# Builds the stand-ins that the cases start: they are Python, so that they are
# only compiled here. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
PYTHONPATH="$PWD" python3 -c 'import review.standins.fleet'
