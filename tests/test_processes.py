"""A stub fleet ends its processes when it is terminated."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

_ROOT = pathlib.Path(__file__).parent.parent
_SCRIPT = """
import time
from stubs import processes

with processes.Fleet() as fleet:
    child = fleet.spawn('child', ['http.server', '0', '--bind', '127.0.0.1'])
    print(child.pid, flush=True)
    time.sleep(600)
"""


def test_a_fleet_ends_its_processes_on_sigterm():
    owner = subprocess.Popen(
        [sys.executable, '-c', _SCRIPT],
        stdout=subprocess.PIPE,
        cwd=_ROOT,
        env={**os.environ, 'PYTHONPATH': f'{_ROOT / "src"}:{_ROOT}'},
    )
    with owner:
        pid = int(owner.stdout.readline())
        owner.send_signal(signal.SIGTERM)
        assert owner.wait(30) == 128 + signal.SIGTERM
    with pytest.raises(ProcessLookupError):
        os.kill(pid, 0)
