"""Runs the tests and compares the failures with KNOWN-RED.txt.

Each line of KNOWN-RED.txt that is not a comment starts with a pytest node
id. The run passes if exactly the listed tests fail; a listed test that
passes or does not exist fails the run.
"""

import gc
import pathlib
import sys
import typing

import pytest

_LIST_PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def parse_entries(text: str) -> list[str]:
    """Return the node ids listed in the text."""
    lines = (line.strip() for line in text.splitlines())
    return [ln.split()[0] for ln in lines if ln and not ln.startswith('#')]


class Outcomes:
    """Pytest plugin that collects the node ids that ran and failed."""

    def __init__(self) -> None:
        self.ran: set[str] = set()
        self.failed: set[str] = set()

    @pytest.hookimpl(wrapper=True)
    def pytest_runtestloop(self) -> typing.Generator[None, bool, bool]:
        gc.enable()
        try:
            return (yield)
        finally:
            gc.disable()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.ran.add(report.nodeid)
        if report.failed:
            self.failed.add(report.nodeid)


def find_problems(listed: set[str], outcomes: Outcomes) -> list[str]:
    """Return differences between the list and the run, a line each."""
    problems = [f'failed: {t}' for t in sorted(outcomes.failed - listed)]
    for test in sorted(listed - outcomes.failed):
        status = 'passes' if test in outcomes.ran else 'names no test that ran'
        problems.append(f'KNOWN-RED.txt: {test} {status}')
    return problems


def main(argv: list[str]) -> int:
    listed = set()
    if _LIST_PATH.exists():
        listed = set(parse_entries(_LIST_PATH.read_text()))
    outcomes = Outcomes()
    # But for the tests themselves: the parser of Python 3.11.6, which loads
    # them and the plugins, fails if the collector runs in it.
    gc.disable()
    code = pytest.main(argv, plugins=[outcomes])
    if code not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
        return int(code)
    for test in sorted(listed):
        print(f'known red: {test}')
    problems = find_problems(listed, outcomes)
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
