"""Limits how often calls of a service are retried at another target.

Each node counts its first attempts and its retries in a sliding window. The
retries stay below a ratio of the node's own first attempts plus its share of
a fleet-wide slack, so that the fleet as a whole keeps the budget without any
coordination.
"""

import collections
import dataclasses

from parsleystile import ids

_BUCKETS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The retry budget of one service over the fleet.

    Attributes:
        retry_ratio: Retries for each first attempt.
        slack: Retries on top of the ratio in each window.
        window_ms: Length of the window; the budget holds in any such span.
    """

    retry_ratio: float
    slack: float
    window_ms: float


class _SlidingWindow:
    __slots__ = ('first_attempts', 'retries', 'bucket_index')

    def __init__(self) -> None:
        self.bucket_index = 0
        self.first_attempts = collections.deque([0] * _BUCKETS, _BUCKETS)
        self.retries = collections.deque([0] * _BUCKETS, _BUCKETS)

    def advance(self, bucket_index: int) -> None:
        elapsed = min(bucket_index - self.bucket_index, _BUCKETS)
        if elapsed > 0:
            self.bucket_index = bucket_index
            self.first_attempts.extend([0] * elapsed)
            self.retries.extend([0] * elapsed)


class RetryBudget:
    """The retry budgets of one node, by service."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        # One bucket more than the window, since the newest is incomplete.
        self._bucket_ms = settings.window_ms / (_BUCKETS - 1)
        self._windows: dict[ids.ServiceName, _SlidingWindow] = {}
        self._node_count = 1

    def set_node_count(self, node_count: int) -> None:
        """Set the number of nodes that divide the slack."""
        self._node_count = max(1, node_count)

    def count_first_attempt(
        self, service: ids.ServiceName, now_ms: float
    ) -> None:
        """Count the first attempt of a call."""
        self._window(service, now_ms).first_attempts[-1] += 1

    def try_acquire(self, service: ids.ServiceName, now_ms: float) -> bool:
        """Take one retry from the budget; False if it is exhausted."""
        window = self._window(service, now_ms)
        allowed = (
            self._settings.retry_ratio * sum(window.first_attempts)
            + self._settings.slack / self._node_count
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


def retry_budget(settings: Settings) -> RetryBudget:
    """Create unused retry budgets."""
    return RetryBudget(settings)
