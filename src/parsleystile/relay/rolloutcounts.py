"""Counts of a target's answers by route, kept by its guard in a roll-out."""

import math

import msgspec

from parsleystile import ids
from parsleystile.relay import rollout

# Answer times are counted in buckets that grow by this factor from 1 ms on.
BUCKET_FACTOR = 1.25
_LAST_BUCKET = 70
# Routes that are counted by themselves; a policy may have thousands.
_MAX_ROUTES = 64


class RouteCounts(msgspec.Struct, array_like=True):
    """Answers of one route since the order was known.

    Attributes:
        answers: All that count, failed ones included.
        failed: Answers that failed.
        times: Answers that did not fail, by bucket of their time.
    """

    answers: int = 0
    failed: int = 0
    times: dict[int, int] = {}


class Report(msgspec.Struct, frozen=True, omit_defaults=True):
    """Cumulative counts of a node's target.

    Attributes:
        epoch: Identifies what the counts started with.
        version: Version of the target.
        routes: Counts by route; empty in a message that only asks for news.
        is_quiet: Whether nothing is at the target and nothing may start.
        progress: How far the node knows the roll-out to be.
    """

    node_id: ids.NodeId
    epoch: int
    version: str
    progress: rollout.Progress
    routes: dict[str, RouteCounts] = {}
    is_quiet: bool = False


def bucket(time_ms: float) -> int:
    """Return the bucket of an answer time."""
    if time_ms <= 1.0:
        return 0
    found = math.log(time_ms) / math.log(BUCKET_FACTOR)
    return min(int(found), _LAST_BUCKET)


class Counts:
    """Counts the answers of one target."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteCounts] = {}

    def clear(self) -> None:
        """Start anew."""
        self.routes.clear()

    def add(
        self, route: str, is_failure: bool, time_ms: float, is_cold: bool
    ) -> None:
        """Count an answer; the times of a cold target tell nothing."""
        counts = self.routes.get(route)
        if counts is None:
            if len(self.routes) >= _MAX_ROUTES:
                route = ''
            counts = self.routes.setdefault(route, RouteCounts(times={}))
        if is_failure:
            counts.failed += 1
        elif not is_cold:
            index = bucket(time_ms)
            counts.times[index] = counts.times.get(index, 0) + 1
        counts.answers += 1


def counts() -> Counts:
    """Create counts of a target that has not answered."""
    return Counts()
