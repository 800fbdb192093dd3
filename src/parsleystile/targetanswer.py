"""Answer of the target beside this node."""

import typing

import msgspec

from parsleystile import errors


class TargetAnswer(msgspec.Struct, frozen=True):
    """A complete answer; ``headers`` alternates names and values."""

    status: int
    headers: list[str]
    body: bytes


# Statuses that HTTP defines, interim ones included.
_STATUSES = range(100, 600)

OnTargetAnswer = typing.Callable[[TargetAnswer | errors.Refusal], None]


def bad_answer(why: str) -> errors.Refusal:
    """Create the refusal of a call that got no valid answer."""
    return errors.unknown(errors.Reason.TARGET_FAILED, why)


def status_problem(status: int) -> str:
    """Return why a status is none of the protocol; empty if it is one."""
    if status in _STATUSES:
        return ''
    return f'status {status:03d} is none of HTTP'


def parse_headers(lines: list[bytes]) -> list[str]:
    """Return the names and values after the status line, alternating."""
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(b':')
        if colon:
            headers.append(name.decode('latin-1').strip())
            headers.append(value.decode('latin-1').strip())
    return headers
