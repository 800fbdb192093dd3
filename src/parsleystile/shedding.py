"""Shedding at ingress by what the guards below have told on answers."""

import dataclasses

from parsleystile import context
from parsleystile import errors
from parsleystile import ids

# Weight of one report falls with this time constant.
MEMORY_MS = 300.0
# Without reports a level is held this long, then recovers steadily.
HOLD_MS = 500.0
RECOVERY_PER_S = 1.0
# Every so many refusals one call passes to learn the level anew.
PROBE_EVERY = 50
MAX_ROUTES = 4096
RETRY_AFTER_MS = 1000


@dataclasses.dataclass(slots=True)
class _RouteLevel:
    """What is known of one route."""

    level: float
    told_ms: float
    refusals: int = 0


class Shedder:
    """Refuses at ingress what a guard further down would refuse.

    Levels come from answers: each carries the lowest admission level of
    the subtree that it passed. Reports of the several targets of a service
    are averaged, since a call may go to any of them.
    """

    def __init__(self, rng) -> None:
        self._rng = rng
        self._routes: dict[ids.RouteId, _RouteLevel] = {}

    def told(
        self, route_id: ids.RouteId, admission_level: float, now_ms: float
    ) -> None:
        """Learn the level that an answer or refusal carried."""
        route = self._routes.get(route_id)
        if route is None:
            if admission_level >= context.RANK_LIMIT:
                return
            if len(self._routes) >= MAX_ROUTES:
                self._routes.pop(next(iter(self._routes)))
            self._routes[route_id] = _RouteLevel(admission_level, now_ms)
            return
        age_ms = max(1.0, now_ms - route.told_ms)
        weight = min(1.0, age_ms / MEMORY_MS)
        route.level += weight * (admission_level - route.level)
        route.told_ms = now_ms

    def level(self, route_id: ids.RouteId, now_ms: float) -> float:
        """Return the lowest rank refused on a route; 3.0 refuses none."""
        route = self._routes.get(route_id)
        if route is None:
            return context.RANK_LIMIT
        idle_ms = now_ms - route.told_ms - HOLD_MS
        if idle_ms <= 0.0:
            return route.level
        level = route.level + idle_ms * RECOVERY_PER_S / 1000.0
        if level < context.RANK_LIMIT:
            return level
        del self._routes[route_id]
        return context.RANK_LIMIT

    def decide(
        self,
        route_id: ids.RouteId,
        rank: float,
        now_ms: float,
        organisation: ids.OrganisationId = ids.OPEN_ORGANISATION,
        weight: float = 1.0,
    ) -> errors.Refusal | None:
        """Return a refusal if the call would be shed further down."""
        level = self.level(route_id, now_ms)
        if rank < level:
            return None
        route = self._routes[route_id]
        route.refusals += 1
        if route.refusals % PROBE_EVERY == 0:
            return None
        retry_after_ms = int(RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return errors.not_run(
            errors.Reason.SHED, 'the call graph is full', retry_after_ms
        )


def shedder(rng) -> Shedder:
    """Create a shedder that has been told nothing yet."""
    return Shedder(rng)
