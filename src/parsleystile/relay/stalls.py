"""How long input may have waited while this process did not run.

A process may be suspended for seconds. What it reads on waking may have been
sent before, so the time that it grants has partly passed or run out. When the
input was sent is not known; it is taken to be as old as the stall.
"""

# Time between ticks.
TICK_PERIOD_MS = 125.0
# Shorter delays are normal under load.
_MIN_STALL_MS = 250.0
# What is read within this time after a stall may have arrived during it.
_CATCH_UP_MS = 100.0


class StallDetector:
    """Notices stalls by ticks that are late."""

    def __init__(self, now_ms: float) -> None:
        self._ticked_ms = now_ms
        self._stall_ms = 0.0
        self._noticed_ms = now_ms

    def tick(self, now_ms: float) -> None:
        """Record that the process runs; called once each period."""
        late_ms = now_ms - self._ticked_ms - TICK_PERIOD_MS
        self._ticked_ms = now_ms
        if late_ms > _MIN_STALL_MS:
            self._stall_ms = late_ms
            self._noticed_ms = now_ms

    def input_age_ms(self, now_ms: float) -> float:
        """Return how long input that is read now may have waited."""
        late_ms = now_ms - self._ticked_ms - TICK_PERIOD_MS
        if late_ms > _MIN_STALL_MS:
            # Input is read before the late tick.
            return late_ms
        if now_ms - self._noticed_ms <= _CATCH_UP_MS:
            return self._stall_ms
        return 0.0


def stall_detector(now_ms: float) -> StallDetector:
    """Create a detector that has noticed no stall."""
    return StallDetector(now_ms)
