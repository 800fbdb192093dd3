"""Load shedding at ingress for overload further down the call tree.

A call that a target makes can't be matched to the request that causes it, so
it carries no rank of that request. The level that is reported for such calls
only says which share of them is admitted. The same share of the requests is
admitted at ingress, the most important ones, whatever their classes are.
"""

import dataclasses
import math
import random

from parsleystile import context
from parsleystile import errors
from parsleystile import ids
from parsleystile import levels
from parsleystile import shedding

# Calls made by targets are of this class, with a uniform draw.
CHILD_CLASS = 2
_BINS = 30
_BIN_WIDTH = context.RANK_LIMIT / _BINS
# The level is that of all calls that a target makes. Only routes on which a
# request failed within this time are taken to make calls that are refused.
_FAILURE_LIFETIME_MS = 3_000.0
# Callers are told of overload further down for this time after a call of the
# target was refused: a queue that all calls pass is no reason to refuse any.
_REFUSAL_LIFETIME_MS = 1_000.0
_CHILD_ROUTE_ID = ids.RouteId('children')
# Counts of ranks are halved after this time.
_HALF_LIFE_MS = 4_000.0


class ChildLevels:
    """The level that callers are told of the calls that one target makes."""

    def __init__(self, rng: random.Random) -> None:
        self._shedder = shedding.shedder(rng)
        self._refused_ms = -math.inf

    def record(self, level: float, now_ms: float, is_refused: bool) -> None:
        """Record the answer to a call.

        Args:
            level: Lowest rank refused where it went and further down.
            now_ms: Current time.
            is_refused: Whether it found no room, there or further down.
        """
        if is_refused:
            self._refused_ms = now_ms
        self._shedder.record_level(_CHILD_ROUTE_ID, level, now_ms)

    def level(self, now_ms: float) -> float:
        """Return the lowest rank refused; 3.0 refuses none."""
        if now_ms - self._refused_ms > _REFUSAL_LIFETIME_MS:
            return context.RANK_LIMIT
        return self._shedder.level(_CHILD_ROUTE_ID, now_ms)


class _OfferedRanks:
    """Histogram of the ranks of recent requests, admitted or not."""

    __slots__ = ('_counts', '_halved_ms', '_total')

    def __init__(self, now_ms: float) -> None:
        self._counts = [0.0] * _BINS
        self._total = 0.0
        self._halved_ms = now_ms

    def add(self, rank: float, now_ms: float) -> None:
        if now_ms - self._halved_ms >= _HALF_LIFE_MS:
            self._counts = [count / 2 for count in self._counts]
            self._total = sum(self._counts)
            self._halved_ms = now_ms
        self._counts[int(rank / _BIN_WIDTH)] += 1.0
        self._total += 1.0

    def below(self, rank: float) -> tuple[float, float]:
        """Return the number of requests of lower rank, and of all."""
        position = rank / _BIN_WIDTH
        index = int(position)
        counts = self._counts
        below = sum(counts[:index]) + counts[index] * (position - index)
        return below, self._total


class SubtreeShedder:
    """Refuses requests whose further calls find no room."""

    def __init__(self, rng: random.Random) -> None:
        self._shedder = shedding.shedder(rng)
        self._offered: dict[ids.RouteId, _OfferedRanks] = {}
        self._failed_ms: dict[ids.RouteId, float] = {}

    def record_level(
        self,
        route_id: ids.RouteId,
        child_level: float | None,
        now_ms: float,
        is_failure: bool,
    ) -> None:
        """Record the level of the calls that a target makes.

        Args:
            route_id: Route of the request that was answered.
            child_level: Lowest rank refused of such calls; None if none is.
            now_ms: Current time.
            is_failure: Whether the target failed the request.
        """
        level = context.RANK_LIMIT
        if child_level is not None:
            if is_failure:
                self._failed_ms[route_id] = now_ms
            level = max(child_level, CHILD_CLASS + levels.MIN_LEVEL)
        self._shedder.record_level(route_id, level, now_ms)

    def decide(
        self, route_id: ids.RouteId, rank: float, now_ms: float
    ) -> errors.Refusal | None:
        """Return a refusal if the calls below a request find no room."""
        offered = self._offered.get(route_id)
        if offered is None:
            offered = self._offered[route_id] = _OfferedRanks(now_ms)
        offered.add(rank, now_ms)
        if not self._is_limited(route_id, now_ms):
            return None
        child_rank = CHILD_CLASS + self._position(rank, now_ms)
        refusal = self._shedder.decide(route_id, child_rank, now_ms)
        if refusal is None:
            return None
        return dataclasses.replace(refusal, detail='no room for its calls')

    def _is_limited(self, route_id: ids.RouteId, now_ms: float) -> bool:
        failed_ms = self._failed_ms.get(route_id, -math.inf)
        if now_ms - failed_ms > _FAILURE_LIFETIME_MS:
            return False
        return self._shedder.level(route_id, now_ms) < context.RANK_LIMIT

    def _position(self, rank: float, now_ms: float) -> float:
        """Return the share of requests on limited routes of lower rank."""
        below = total = 0.0
        for route_id, offered in self._offered.items():
            if self._is_limited(route_id, now_ms):
                lower, count = offered.below(rank)
                below += lower
                total += count
        return below / total


def child_levels(rng: random.Random) -> ChildLevels:
    """Create the levels of a target that has made no calls."""
    return ChildLevels(rng)


def subtree_shedder(rng: random.Random) -> SubtreeShedder:
    """Create a shedder without any reports."""
    return SubtreeShedder(rng)
