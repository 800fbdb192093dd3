"""Shedding at ingress by what the guards below have told on answers."""

import dataclasses
import random

from parsleystile import context
from parsleystile import errors
from parsleystile import ids

# Reports are averaged over this time.
MEMORY_MS = 300.0
# Without reports a level is held this long, then recovers steadily.
HOLD_MS = 500.0
RECOVERY_PER_S = 1.0
# When nothing has been told for so long, one call passes as a probe, and
# another after as long again.
PROBE_MS = 250.0
MAX_LEVELS = 8192
# A level so close to the highest refuses nothing worth the memory.
NEGLIGIBLE = 0.01
RETRY_AFTER_MS = 1000

_Key = tuple[ids.RouteId, ids.OrganisationId]


@dataclasses.dataclass(slots=True)
class _Level:
    """What is known of one organisation on one route that sheds."""

    told_ms: float
    value: float = context.RANK_LIMIT
    probe_ms: float = 0.0

    def fold(self, admission_level: float, now_ms: float) -> None:
        """Take in one report."""
        age_ms = max(1.0, now_ms - self.told_ms)
        weight = min(1.0, age_ms / MEMORY_MS)
        self.value += weight * (admission_level - self.value)
        self.told_ms = now_ms


class Shedder:
    """Refuses at ingress what a guard further down would refuse.

    Levels come from answers: each carries the lowest admission level, for
    the organisation of the call, of the subtree that the call passed.
    Reports of the several targets of a service are averaged, since a call
    may go to any of them.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._levels: dict[_Key, _Level] = {}

    def told(
        self,
        route_id: ids.RouteId,
        admission_level: float,
        now_ms: float,
        organisation: ids.OrganisationId = ids.OPEN_ORGANISATION,
    ) -> None:
        """Learn the level that an answer or refusal carried."""
        key = (route_id, organisation)
        known = self._levels.get(key)
        if known is None:
            if admission_level >= context.RANK_LIMIT:
                return
            if len(self._levels) >= MAX_LEVELS:
                self._levels.pop(next(iter(self._levels)))
            known = self._levels[key] = _Level(now_ms)
        known.fold(admission_level, now_ms)
        is_good = admission_level >= context.RANK_LIMIT
        if is_good and known.value > context.RANK_LIMIT - NEGLIGIBLE:
            del self._levels[key]

    def level(
        self,
        route_id: ids.RouteId,
        now_ms: float,
        organisation: ids.OrganisationId = ids.OPEN_ORGANISATION,
    ) -> float:
        """Return the lowest rank refused; 3.0 refuses none."""
        key = (route_id, organisation)
        known = self._levels.get(key)
        if known is None:
            return context.RANK_LIMIT
        idle_ms = now_ms - known.told_ms - HOLD_MS
        if idle_ms <= 0.0:
            return known.value
        level = known.value + idle_ms * RECOVERY_PER_S / 1000.0
        if level < context.RANK_LIMIT:
            return level
        del self._levels[key]
        return context.RANK_LIMIT

    def decide(
        self,
        route_id: ids.RouteId,
        rank: float,
        now_ms: float,
        organisation: ids.OrganisationId = ids.OPEN_ORGANISATION,
    ) -> errors.Refusal | None:
        """Return a refusal if the call would be shed further down."""
        if rank < self.level(route_id, now_ms, organisation):
            return None
        known = self._levels[route_id, organisation]
        if now_ms - max(known.told_ms, known.probe_ms) >= PROBE_MS:
            known.probe_ms = now_ms
            return None
        retry_after_ms = int(RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return errors.not_run(
            errors.Reason.SHED, 'the call graph is full', retry_after_ms
        )


def shedder(rng: random.Random) -> Shedder:
    """Create a shedder that has been told nothing yet."""
    return Shedder(rng)
