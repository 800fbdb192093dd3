"""Answer of the target beside this node."""

import typing

import msgspec

from parsleystile import errors


class TargetAnswer(msgspec.Struct, frozen=True):
    """A complete answer; ``headers`` alternates names and values."""

    status: int
    headers: list[str]
    body: bytes


OnTargetAnswer = typing.Callable[[TargetAnswer | errors.Refusal], None]
