"""Counts the calls that are started for a target, for the log."""

import collections

WINDOW_MS = 4_000.0


class StartMeter:
    """Calls started since a moment, and the most in any window.

    Attributes:
        started: Calls since the last reset.
        most: Most of them in any window of ``WINDOW_MS``.
    """

    def __init__(self) -> None:
        self.started = 0
        self.most = 0
        self._since_ms = 0.0
        self._recent: collections.deque[float] = collections.deque()

    def reset(self, now_ms: float) -> None:
        """Start to count anew."""
        self.started = 0
        self.most = 0
        self._since_ms = now_ms
        self._recent.clear()

    def count(self, now_ms: float) -> None:
        """Count a call that starts now."""
        self.started += 1
        recent = self._recent
        recent.append(now_ms)
        while now_ms - recent[0] > WINDOW_MS:
            recent.popleft()
        self.most = max(self.most, len(recent))

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the last reset."""
        return now_ms - self._since_ms


def start_meter() -> StartMeter:
    """Create a meter that has counted nothing."""
    return StartMeter()
