"""Stages of a roll-out: how far a service has moved to a new version.

The load that this answers: calls of a service whose new version may be bad,
at once, late, under load or on one route.
"""

import enum
import math
import typing

import msgspec

from parsleystile import ids

# Part of the exposure bound that the trial uses; the rest is left for a
# version that turns bad afterwards.
_TRIAL_PART = 0.5
# Part of the duration at which the new version gets everything, and the least
# time that is left then for old targets to finish.
_WHOLE_AT = 0.79
_MIN_REST_MS = 2_500.0
# Time between two steps, as part of the duration, and the shortest such time.
_STEP_PART = 0.063
_MIN_STEP_MS = 700.0
_MAX_NAME_CHARS = 200


class Stage(enum.IntEnum):
    """Stage of an order; it only grows."""

    # The order is known, and nothing goes to the new version yet.
    PREPARED = 0
    # A small share goes to the new version, most of the duration.
    TRIAL = 1
    STEP_1 = 2
    STEP_2 = 3
    STEP_3 = 4
    # Everything goes to the new version; old targets finish their calls.
    WHOLE = 5
    ROLLED_BACK = 6
    # Only the store's row brings this one, and it admits one verdict.
    COMPLETED = 7


_STEP_SHARES = {
    Stage.PREPARED: 0.0,
    Stage.STEP_1: 0.25,
    Stage.STEP_2: 0.5,
    Stage.STEP_3: 0.8,
    Stage.WHOLE: 1.0,
    Stage.ROLLED_BACK: 0.0,
    Stage.COMPLETED: 1.0,
}
_STEPS = (Stage.STEP_1, Stage.STEP_2, Stage.STEP_3, Stage.WHOLE)


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """How far an order has come, as nodes tell each other.

    Attributes:
        order: Orders the orders of a service from old to new.
        target_version: The new version.
        stage: See ``Stage``; as a number, since later builds may know more.
        age_ms: Age of the order when this was written.
        barred: Versions that earlier orders tried and did not complete; they
            get nothing.
        left: Versions that targets ran when the new one got everything.
    """

    service: typing.Annotated[
        ids.ServiceName, msgspec.Meta(max_length=_MAX_NAME_CHARS)
    ]
    order: int
    target_version: typing.Annotated[
        str, msgspec.Meta(max_length=_MAX_NAME_CHARS)
    ]
    stage: int = Stage.PREPARED
    age_ms: int = 0
    barred: tuple[str, ...] = ()
    left: tuple[str, ...] = ()

    @property
    def is_done(self) -> bool:
        """Whether there is a verdict."""
        return self.stage >= Stage.ROLLED_BACK


def join(known: Progress | None, heard: Progress) -> Progress:
    """Return the later one of two; of one order, the later stage."""
    if known is None or heard.order > known.order:
        return heard
    if heard.order < known.order:
        return known
    return msgspec.structs.replace(
        known,
        stage=max(known.stage, heard.stage),
        age_ms=max(known.age_ms, heard.age_ms),
        barred=_union(known.barred, heard.barred),
        left=_union(known.left, heard.left),
    )


def _union(one: tuple[str, ...], other: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted({*one, *other}))


def begin(
    known: Progress | None,
    service: ids.ServiceName,
    order: int,
    target_version: str,
) -> Progress:
    """Return the progress of a new order, given that of the one before."""
    barred: set[str] = set()
    if known is not None:
        barred.update(known.barred)
        if known.stage == Stage.COMPLETED:
            barred.update(known.left)
        else:
            barred.add(known.target_version)
    barred.discard(target_version)
    return Progress(
        service, order, target_version, barred=tuple(sorted(barred))
    )


def share(stage: int, exposure_ratio: float) -> float:
    """Return the share of requests that the new version gets.

    Args:
        stage: Stage of the order; an unknown one gets nothing.
        exposure_ratio: Share that a bad version may get.
    """
    if stage == Stage.TRIAL:
        return _TRIAL_PART * exposure_ratio
    return _STEP_SHARES.get(stage, 0.0)


def due_stage(age_ms: float, duration_ms: float) -> Stage:
    """Return the stage that a version without fault has at an age."""
    whole_ms = min(_WHOLE_AT * duration_ms, duration_ms - _MIN_REST_MS)
    step_ms = max(_STEP_PART * duration_ms, _MIN_STEP_MS)
    before_whole = math.ceil((whole_ms - age_ms) / step_ms)
    if before_whole >= len(_STEPS):
        return Stage.TRIAL
    return _STEPS[len(_STEPS) - 1 - max(0, before_whole)]


def next_stage(stage: int, age_ms: float, duration_ms: float) -> Stage:
    """Return the stage that follows, one at a time."""
    due = due_stage(age_ms, duration_ms)
    return Stage(min(due, stage + 1)) if due > stage else Stage(stage)


def targets_needed(stage: int, exposure_ratio: float, old_targets: int) -> int:
    """Return how many new targets bear the share at the load of an old one."""
    return max(1, math.ceil(share(stage, exposure_ratio) * old_targets - 1e-9))
