"""Shedding at ingress by what the guards below have told on answers."""

import dataclasses
import random

from parsleystile import context
from parsleystile import errors
from parsleystile import ids

# Reports are averaged over this time; better news counts for more, since
# the choice of target leaves the worst-off targets alone.
MEMORY_MS = 300.0
GOOD_NEWS_WEIGHT = 3.0
# Without reports a level is held this long, then recovers steadily.
HOLD_MS = 500.0
RECOVERY_PER_S = 1.0
# One in so many refusals passes instead, so that the level is learned anew.
PROBE_EVERY = 50
# Counts of calls by organisation are halved at this interval.
HALVING_MS = 500.0
MAX_ROUTES = 4096
RETRY_AFTER_MS = 1000
_LEAST_COUNT = 0.05


@dataclasses.dataclass(slots=True)
class _Demand:
    """Calls of one organisation, older ones counting less."""

    weight: float
    count: float = 0.0


class _RouteLevel:
    """What is known of one route that sheds."""

    __slots__ = (
        '_demands',
        '_halved_ms',
        '_total',
        '_weights',
        'level',
        'refusals',
        'told_ms',
    )

    def __init__(self, now_ms: float) -> None:
        self.level = context.RANK_LIMIT
        self.told_ms = now_ms
        self.refusals = 0
        self._demands: dict[ids.OrganisationId, _Demand] = {}
        self._total = 0.0
        self._weights = 0.0
        self._halved_ms = now_ms

    def told(self, admission_level: float, now_ms: float) -> None:
        """Fold in one report."""
        age_ms = max(1.0, now_ms - self.told_ms)
        if admission_level > self.level:
            age_ms *= GOOD_NEWS_WEIGHT
        weight = min(1.0, age_ms / MEMORY_MS)
        self.level += weight * (admission_level - self.level)
        self.told_ms = now_ms

    def is_under_share(
        self,
        organisation: ids.OrganisationId,
        weight: float,
        admitted_share: float,
        now_ms: float,
    ) -> bool:
        """Count a call; tell if its organisation asks for a fair part.

        Args:
            organisation: On whose behalf the call runs.
            weight: Its share, relative to others.
            admitted_share: Part of all these calls that is admitted.
            now_ms: Now.
        """
        if now_ms - self._halved_ms >= HALVING_MS:
            self._halve(now_ms)
        demand = self._demands.get(organisation)
        if demand is None:
            demand = self._demands[organisation] = _Demand(weight)
            self._weights += weight
        demand.count += 1.0
        self._total += 1.0
        fair = admitted_share * self._total * demand.weight / self._weights
        return demand.count <= fair

    def _halve(self, now_ms: float) -> None:
        self._halved_ms = now_ms
        self._demands = {
            organisation: _Demand(demand.weight, demand.count / 2.0)
            for organisation, demand in self._demands.items()
            if demand.count > _LEAST_COUNT
        }
        self._total = sum(d.count for d in self._demands.values())
        self._weights = sum(d.weight for d in self._demands.values())


class Shedder:
    """Refuses at ingress what a guard further down would refuse.

    Levels come from answers: each carries the lowest admission level of
    the subtree that it passed. Reports of the several targets of a service
    are averaged, since a call may go to any of them. In the class that is
    shed in part, organisations that ask for no more than a fair part of
    what is admitted are spared, as at the guards.
    """

    def __init__(self, rng: random.Random) -> None:
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
            route = self._routes[route_id] = _RouteLevel(now_ms)
        route.told(admission_level, now_ms)

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
        if level >= context.RANK_LIMIT:
            return None
        route = self._routes[route_id]
        is_spared = int(rank) == int(level) and route.is_under_share(
            organisation, weight, level - int(level), now_ms
        )
        if rank < level or is_spared:
            return None
        route.refusals += 1
        if route.refusals % PROBE_EVERY == 0:
            return None
        retry_after_ms = int(RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return errors.not_run(
            errors.Reason.SHED, 'the call graph is full', retry_after_ms
        )


def shedder(rng: random.Random) -> Shedder:
    """Create a shedder that has been told nothing yet."""
    return Shedder(rng)
