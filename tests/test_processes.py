"""Stand-in fleets leave no process behind."""

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


def test_a_fleet_that_is_ended_by_sigterm_ends_its_processes():
    starter = subprocess.Popen(
        [sys.executable, '-c', _SCRIPT],
        stdout=subprocess.PIPE,
        cwd=_ROOT,
        env={**os.environ, 'PYTHONPATH': f'{_ROOT / "src"}:{_ROOT}'},
    )
    with starter:
        pid = int(starter.stdout.readline())
        starter.send_signal(signal.SIGTERM)
        assert starter.wait(30) == 128 + signal.SIGTERM
    with pytest.raises(ProcessLookupError):
        os.kill(pid, 0)
