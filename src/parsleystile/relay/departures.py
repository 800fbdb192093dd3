"""Targets that have left a VM, as a fact that only grows.

A late report of such a target must not bring it back, whoever hears it and
whatever restarted meanwhile. Joining is the same in any order and grouping,
and repetition changes nothing, so that nodes may pass departures on by any
way.
"""

import typing

import msgspec

from parsleystile import ids

# Departures of one VM that are kept: those of the targets that started last.
MAX_KEPT = 8
_MAX_NAME_CHARS = 200


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a target that has left.

    Attributes:
        target_id: Id of the target.
        born_ms: When the incarnation started, in milliseconds since
            1970-01-01 UTC; 0 if it did not report that.
    """

    target_id: typing.Annotated[
        ids.TargetId, msgspec.Meta(max_length=_MAX_NAME_CHARS)
    ]
    born_ms: int = 0


Departures = tuple[Departure, ...]


def join(one: Departures, other: Departures) -> Departures:
    """Return the departures of both, sorted; of an id, the latest."""
    if not other or one == other:
        return one
    latest: dict[ids.TargetId, int] = {}
    for departure in one + other:
        known_ms = latest.get(departure.target_id, departure.born_ms)
        latest[departure.target_id] = max(known_ms, departure.born_ms)
    ordered = sorted((born_ms, name) for name, born_ms in latest.items())
    return tuple(
        Departure(name, born_ms) for born_ms, name in ordered[-MAX_KEPT:]
    )


def includes(
    departures: Departures, target_id: ids.TargetId, born_ms: int
) -> bool:
    """Whether an incarnation, or a later one under its id, has left."""
    return any(
        departure.target_id == target_id and born_ms <= departure.born_ms
        for departure in departures
    )
