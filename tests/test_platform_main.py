"""The entry point of a node on the users' platform."""

import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parent.parent
_EXIT_CODE = 7
_SCRIPT = f"""
import os, runpy, signal, sys, types

def main(arguments):
    os.kill(os.getpid(), signal.SIGHUP)
    return {_EXIT_CODE}

process = types.SimpleNamespace(main=main)
sys.modules['adapter'] = types.SimpleNamespace(process=process)
runpy.run_path('platform/main.py', run_name='__main__')
"""


def test_a_change_of_settings_during_the_start_does_not_end_the_process():
    ended = subprocess.run(
        [sys.executable, '-c', _SCRIPT], cwd=_ROOT, timeout=30
    )
    assert ended.returncode == _EXIT_CODE
