"""What comes back from the target beside this node."""

import typing

import msgspec

from parsleystile import errors


class TargetAnswer(msgspec.Struct, frozen=True):
    """The whole answer of a target; headers are names and values in turn."""

    status: int
    headers: list[str]
    body: bytes


OnTargetAnswer = typing.Callable[[TargetAnswer | errors.Refusal], None]
