"""Finds the run of the local target that made a call, and its rank.

The load is a service deep in call trees that all kinds of requests need. A
call names nothing of its request, but expires with the run that made it, or
after the longest time of its own kind, whichever is first.
"""

import collections
import enum
import math
import random
import typing

import msgspec

# How far the deadline of a call may lie from that of its run: both are cut to
# whole milliseconds, and the target reads and writes in between.
_EARLY_MS = 3.0
_LATE_MS = 40.0
# Time constant of the mean number of runs.
_MEAN_MS = 1_000.0
# Calls of a route after which what was seen at them counts for half.
_TRUSTED_AFTER_CALLS = 10.0
# Counts are halved when they get there.
_HALVED_AFTER = 4_096.0
# Share of the calls that a route is taken to make at least, so that a change
# can be learned.
_LEAST_SHARE = 0.01
# Share that chance may add where many calls were seen.
_CHANCE_SHARE = 0.1
# Routes are known to make calls from this share on, after so many calls.
_KNOWN_SHARE = 0.2
_KNOWN_AFTER_CALLS = 50.0


class Match(enum.Enum):
    """How the run that made a call was found."""

    EXACT = 'exact'
    ASSOCIATED = 'associated'
    NONE = 'none'


class Run(msgspec.Struct):
    """A call that the target works on.

    Attributes:
        rank: Importance class and draw.
        has_root_rank: Whether the rank is that of the root request.
        deadline_ms: On the clock of this node.
        calls: Number of calls taken to be made by it.
    """

    route: str
    rank: float
    has_root_rank: bool
    deadline_ms: float
    calls: int = 0


class Origin(typing.NamedTuple):
    """The run that made a call, and how it was found."""

    run: Run
    match: Match


class _Runs:
    """The runs of one route that are under way, and their mean number."""

    __slots__ = ('count', '_mean', '_updated_ms', '_weight')

    def __init__(self, now_ms: float) -> None:
        self.count = 0
        self._mean = 0.0
        # Weight of the time since the first run, which the mean is over.
        self._weight = 0.0
        self._updated_ms = now_ms

    def mean(self, now_ms: float) -> float:
        """Return the mean number of runs up to now."""
        passed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        kept = math.exp(-passed_ms / _MEAN_MS)
        self._mean = self.count + (self._mean - self.count) * kept
        self._weight = 1.0 + (self._weight - 1.0) * kept
        return self._mean / self._weight if self._weight else self.count

    def change(self, by: int, now_ms: float) -> None:
        """Count a run that starts or ends."""
        self.mean(now_ms)
        self.count += by


class _Seen:
    """What was running when calls of one route were made.

    Beside a call there is one run more than usual of the route that made it,
    and as many as usual of all others. So the mean excess of a route is its
    share of the calls.
    """

    __slots__ = ('calls', 'excess')

    def __init__(self) -> None:
        self.calls = 0.0
        self.excess: dict[str, float] = {}

    def record(self, runs: dict[str, _Runs], now_ms: float) -> None:
        """Record what runs at a call."""
        self.calls += 1.0
        excess = self.excess
        for route, entry in runs.items():
            more = entry.count - entry.mean(now_ms)
            excess[route] = excess.get(route, 0.0) + more
        if self.calls > _HALVED_AFTER:
            self.calls /= 2.0
            for route in excess:
                excess[route] /= 2.0

    def makes(self, route: str) -> bool:
        """Return whether runs of a route are known to make such calls."""
        share = self.excess.get(route, 0.0) / max(1.0, self.calls)
        return self.calls >= _KNOWN_AFTER_CALLS and share >= _KNOWN_SHARE

    def weights(
        self, runs: dict[str, _Runs], now_ms: float
    ) -> dict[str, float]:
        """Return how likely a run of each route is to have made a call."""
        total = sum(entry.count for entry in runs.values()) or 1
        weights = {}
        for route, entry in runs.items():
            if not entry.count:
                continue
            prior = _TRUSTED_AFTER_CALLS * entry.count / total
            seen = prior + self.excess.get(route, 0.0)
            share = seen / (_TRUSTED_AFTER_CALLS + self.calls)
            usual = max(entry.mean(now_ms), 1.0)
            calls = _TRUSTED_AFTER_CALLS + self.calls
            share -= max(_CHANCE_SHARE, math.sqrt(usual / calls))
            weights[route] = max(share, _LEAST_SHARE) / usual
        return weights


class CallTree:
    """The runs of the local target and the calls that they make."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._active: dict[int, Run] = {}
        self._runs: dict[str, _Runs] = {}
        self._seen: dict[str, _Seen] = collections.defaultdict(_Seen)
        # Longest time that a call of a route was given.
        self._longest_ms: dict[str, float] = {}

    def started(self, key: int, run: Run, now_ms: float) -> None:
        """Record that the target works on a call."""
        self._active[key] = run
        runs = self._runs.get(run.route)
        if runs is None:
            runs = self._runs[run.route] = _Runs(now_ms)
        runs.change(1, now_ms)

    def ended(self, key: int, now_ms: float) -> None:
        """Record that it no longer does; unknown keys are ignored."""
        run = self._active.pop(key, None)
        if run is not None:
            self._runs[run.route].change(-1, now_ms)

    def makes_calls(self, route: str) -> bool:
        """Return whether runs of a route are known to make calls."""
        return any(seen.makes(route) for seen in self._seen.values())

    def origin(
        self, child_route: str, timeout_ms: float | None, now_ms: float
    ) -> Origin | None:
        """Return the run that made a call of the target.

        Args:
            child_route: Route of the call.
            timeout_ms: Time that it was given; None if it names none.
            now_ms: Current time.
        """
        seen = self._seen[child_route]
        seen.record(self._runs, now_ms)
        if not self._active:
            return None
        weights = seen.weights(self._runs, now_ms)
        origin = None
        if timeout_ms is None:
            timeout_ms = 0.0
        elif timeout_ms < self._longest_ms.get(child_route, 0.0):
            origin = self._nearest(weights, now_ms + timeout_ms)
        else:
            self._longest_ms[child_route] = timeout_ms
        if origin is None:
            origin = self._drawn(weights, now_ms + timeout_ms)
        if origin is not None:
            origin.run.calls += 1
        return origin

    def _nearest(
        self, weights: dict[str, float], deadline_ms: float
    ) -> Origin | None:
        """Return the run that expires when the call does, if any."""
        best, highest = None, 0.0
        for run in self._active.values():
            late_ms = deadline_ms - run.deadline_ms
            if -_EARLY_MS <= late_ms <= _LATE_MS:
                weight = weights[run.route] / (1.0 + abs(late_ms))
                if weight > highest:
                    best, highest = run, weight
        return None if best is None else Origin(best, Match.EXACT)

    def _drawn(
        self, weights: dict[str, float], deadline_ms: float
    ) -> Origin | None:
        """Return a run that doesn't expire before the call, if any."""
        runs = [
            run
            for run in self._active.values()
            if run.deadline_ms >= deadline_ms - _LATE_MS
        ]
        if not runs:
            return None
        # One that has made a call is the less likely to make another.
        (run,) = self._rng.choices(
            runs, [weights[run.route] / (1.0 + run.calls) for run in runs]
        )
        return Origin(run, Match.ASSOCIATED)


def run(
    route: str, rank: float, has_root_rank: bool, deadline_ms: float
) -> Run:
    """Create a run that has made no calls."""
    return Run(route, rank, has_root_rank, deadline_ms)


def call_tree(rng: random.Random) -> CallTree:
    """Create a tree of a target that runs nothing."""
    return CallTree(rng)
