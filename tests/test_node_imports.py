"""What a node loads at its start, which counts towards its memory."""

import os
import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parent.parent
# Loaded for a page that is requested, or by other programs of the project.
_NOT_LOADED = ['prometheus_client', 'pycurl', 'absl', 'tornado', 'fire']


def test_a_node_loads_no_library_that_it_may_never_need():
    path = os.pathsep.join([str(_ROOT / 'src'), str(_ROOT / 'platform')])
    code = f"""
import sys
from adapter import process
print([name for name in {_NOT_LOADED!r} if name in sys.modules])
"""
    done = subprocess.run(
        [sys.executable, '-c', code],
        env={**os.environ, 'PYTHONPATH': path},
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout == '[]\n'
