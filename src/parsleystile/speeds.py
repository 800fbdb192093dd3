"""How slow each target is, compared with what calls usually take.

A target may turn many times slower than the others of its service while it
answers everything. Where each failure domain has only a few targets, all
callers of a domain then wait for it although others have room. Another target
may fail or swallow a part of its calls and answer the rest as ever. The
balancer uses the slowness to send calls elsewhere until the target is as fast
as the others again; a failed call counts as a very slow one.
"""

import dataclasses
import typing

from parsleystile import ids

# Weights of a new sample in the moving averages: what calls of a route take
# changes slowly, the state of a target quickly.
_TYPICAL_WEIGHT = 0.005
_TARGET_WEIGHT = 0.2
# A single sample counts as at most this many times the typical time.
_MAX_RATIO = 20.0
_MAX_TYPICAL_RATIO = 3.0
# A failed call counts as one that took this many times the typical time.
_FAILURE_RATIO = 8.0
# Without samples the slowness is halved in this time, so that a target that
# was avoided is tried again.
_HALF_LIFE_MS = 1_500.0
# Samples of a route before they are compared.
_MIN_SAMPLES = 20

RouteKey = tuple[ids.ServiceName, str]


@dataclasses.dataclass(slots=True)
class _Typical:
    answer_ms: float
    samples: int = 0


@dataclasses.dataclass(slots=True)
class _Slowness:
    value: float
    updated_ms: float


class Speeds:
    """Moving averages of the answer times of routes and targets."""

    def __init__(self) -> None:
        self._typical: dict[RouteKey, _Typical] = {}
        self._slowness: dict[ids.NodeId, _Slowness] = {}

    def observe(
        self,
        route: RouteKey,
        node_id: ids.NodeId,
        answer_ms: float,
        now_ms: float,
    ) -> None:
        """Record how long a target took to answer a call."""
        typical = self._typical.get(route)
        if typical is None:
            typical = self._typical[route] = _Typical(max(answer_ms, 1.0))
        ratio = min(_MAX_RATIO, answer_ms / typical.answer_ms)
        self._average(typical, ratio)
        if typical.samples >= _MIN_SAMPLES:
            self._add_sample(node_id, ratio, now_ms)

    def observe_failure(self, node_id: ids.NodeId, now_ms: float) -> None:
        """Record that a target failed a call."""
        self._add_sample(node_id, _FAILURE_RATIO, now_ms)

    def observe_unanswered(
        self,
        route: RouteKey,
        node_id: ids.NodeId,
        waited_ms: float,
        now_ms: float,
    ) -> None:
        """Record a call that was given up; it would have taken longer."""
        typical = self._typical.get(route)
        if typical is None or typical.samples < _MIN_SAMPLES:
            return
        ratio = min(_MAX_RATIO, waited_ms / typical.answer_ms)
        if ratio > self.slowness(node_id, now_ms):
            self._add_sample(node_id, ratio, now_ms)

    def _add_sample(
        self, node_id: ids.NodeId, ratio: float, now_ms: float
    ) -> None:
        before = self.slowness(node_id, now_ms)
        value = before + _TARGET_WEIGHT * (ratio - before)
        self._slowness[node_id] = _Slowness(value, now_ms)

    @staticmethod
    def _average(typical: _Typical, ratio: float) -> None:
        typical.samples += 1
        # The first samples count equally.
        weight = max(_TYPICAL_WEIGHT, 1.0 / typical.samples)
        change = min(ratio, _MAX_TYPICAL_RATIO) - 1.0
        typical.answer_ms = max(1.0, typical.answer_ms * (1 + weight * change))

    def slowness(self, node_id: ids.NodeId, now_ms: float) -> float:
        """Return how many times longer than usual a target takes.

        A target without recent samples counts as usual, 1.0.
        """
        entry = self._slowness.get(node_id)
        if entry is None:
            return 1.0
        kept = 0.5 ** ((now_ms - entry.updated_ms) / _HALF_LIFE_MS)
        return 1.0 + (entry.value - 1.0) * kept

    def retain(self, node_ids: typing.Container[ids.NodeId]) -> None:
        """Forget all targets but some."""
        for node_id in [n for n in self._slowness if n not in node_ids]:
            del self._slowness[node_id]


def speeds() -> Speeds:
    """Create averages without samples."""
    return Speeds()
