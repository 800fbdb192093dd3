"""How often calls of a service may be sent to a second target.

Each node counts the calls that it sends first and those that it repeats, in
a sliding window. Repeats stay below a share of the node's own first sends
plus its part of a fleet-wide slack, so that the sum over all nodes keeps the
bound without any message.
"""

import collections
import dataclasses

from parsleystile import ids

_BUCKETS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The budget of one service over the fleet.

    Attributes:
        share: Repeats for each first send.
        slack: Repeats beyond the share in each window.
        window_ms: Length of the window; any span of it counts.
    """

    retry_ratio: float
    slack: float
    window_ms: float


class _SlidingWindow:
    __slots__ = ('first_attempts', 'retries', 'bucket')

    def __init__(self) -> None:
        self.bucket = 0
        self.first_attempts = collections.deque([0] * _BUCKETS, _BUCKETS)
        self.retries = collections.deque([0] * _BUCKETS, _BUCKETS)

    def advance(self, bucket: int) -> None:
        missed = min(bucket - self.bucket, _BUCKETS)
        if missed > 0:
            self.bucket = bucket
            self.first_attempts.extend([0] * missed)
            self.retries.extend([0] * missed)


class RetryBudget:
    """The budgets of one node, by service."""

    def __init__(self, bounds: Settings) -> None:
        self._bounds = bounds
        self._bucket_ms = bounds.window_ms / (_BUCKETS - 1)
        self._windows: dict[ids.ServiceName, _SlidingWindow] = {}
        self._node_count = 1

    def set_node_count(self, node_count: int) -> None:
        """Divide the slack among so many nodes."""
        self._node_count = max(1, node_count)

    def count_first_attempt(
        self, service: ids.ServiceName, now_ms: float
    ) -> None:
        """Count a call that is sent to its first target."""
        self._window(service, now_ms).first_attempts[-1] += 1

    def try_acquire(self, service: ids.ServiceName, now_ms: float) -> bool:
        """Spend one repeat; False if the budget is used up."""
        window = self._window(service, now_ms)
        allowed = (
            self._bounds.retry_ratio * sum(window.first_attempts)
            + self._bounds.slack / self._node_count
        )
        if sum(window.retries) + 1 > allowed:
            return False
        window.retries[-1] += 1
        return True

    def _window(
        self, service: ids.ServiceName, now_ms: float
    ) -> _SlidingWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _SlidingWindow()
        window.advance(int(now_ms / self._bucket_ms))
        return window


def retry_budget(bounds: Settings) -> RetryBudget:
    """Create budgets that nothing was spent of."""
    return RetryBudget(bounds)
