"""Locked packages install on every kind of machine, or the build fails."""

import importlib.metadata
import pathlib
import re
import shutil
import subprocess
import tomllib

import pytest

_ROOT = pathlib.Path(__file__).resolve().parents[1]
_LOCKS = ('requirements.lock', 'deploy/requirements.lock')
_ENTRY = re.compile(
    r'^(?P<name>[\w.-]+)==\S+(?P<hashes>(?: \\\n +--hash=\S+)+)', re.MULTILINE
)


def _is_compiled(name: str) -> bool:
    wheel = importlib.metadata.distribution(name).read_text('WHEEL') or ''
    return 'Root-Is-Purelib: false' in wheel


@pytest.mark.parametrize('lock', _LOCKS)
def test_compiled_packages_are_locked_for_more_than_one_machine(lock):
    entries = list(_ENTRY.finditer((_ROOT / lock).read_text()))
    assert entries
    single = [
        entry['name']
        for entry in entries
        if entry['hashes'].count('--hash=') == 1
        and _is_compiled(entry['name'])
    ]
    assert not single


@pytest.mark.parametrize('lock', _LOCKS)
def test_a_lock_names_no_place_of_the_machine_that_wrote_it(lock):
    assert '--find-links' not in (_ROOT / lock).read_text()


def _build(folder: pathlib.Path, path: str) -> int:
    command = tomllib.loads((_ROOT / 'deploy/system.toml').read_text())
    return subprocess.run(
        command['build'],
        shell=True,
        cwd=folder,
        env={'PATH': path},
        check=False,
        capture_output=True,
        timeout=60,
    ).returncode


def _checkout(folder: pathlib.Path, pip_exit_code: int) -> str:
    """Lay out what the build reads; return a PATH with a stand-in pip."""
    (folder / 'deploy').mkdir()
    shutil.copy(_ROOT / 'deploy/requirements.lock', folder / 'deploy')
    (folder / 'src/parsleystile').mkdir(parents=True)
    (folder / 'platform/adapter').mkdir(parents=True)
    programs = folder / 'bin'
    programs.mkdir()
    python = programs / 'python3'
    python.write_text(
        '#!/bin/sh\n'
        '[ "$2" = pip ] || exit 0\n'
        'mkdir -p target/deps && echo pip >> installs\n'
        f'exit {pip_exit_code}\n'
    )
    python.chmod(0o755)
    return f'{programs}:/usr/bin:/bin'


def test_build_fails_if_packages_cannot_be_installed(tmp_path):
    path = _checkout(tmp_path, pip_exit_code=1)
    assert _build(tmp_path, path) != 0


def test_packages_of_another_machine_are_installed_anew(tmp_path):
    path = _checkout(tmp_path, pip_exit_code=0)
    assert _build(tmp_path, path) == 0
    assert _build(tmp_path, path) == 0
    assert (tmp_path / 'installs').read_text() == 'pip\n'
    (stamp,) = (tmp_path / 'target').glob('.deps-*')
    stamp.rename(stamp.with_name('.deps-other'))
    assert _build(tmp_path, path) == 0
    assert (tmp_path / 'installs').read_text() == 'pip\npip\n'
