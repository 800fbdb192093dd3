"""How many calls a target with declared slots may have now.

A warm target takes as many calls as it has slots. A cold one takes its
calls at the rate that its service declares, in steady steps, so that no
second of any phase sees more.
"""

import math

# Calls that a cold target may get at once after a quiet time.
COLD_BURST = 2.0
# Part of the declared cold rate in use; the rest covers calls that are on
# their way when the target turns cold.
COLD_RATE_SHARE = 0.9
# How fast the usual time of an answer follows.
_LEARN = 0.05


class DeclaredLimit:
    """The limit of an ``admission.AdmissionQueue`` for such a target."""

    def __init__(self) -> None:
        self._slots = 0
        self._answer_ms = 0.0
        self._cold_until_ms = -math.inf
        self._cold_per_ms = 0.0
        self._tokens = 0.0
        self._at_ms = 0.0

    @property
    def value(self) -> int:
        """Calls that may be in flight; 0 while there is no target."""
        return self._slots

    @property
    def answer_ms(self) -> float:
        """Mean time from start to answer of late; 0 if unknown."""
        return self._answer_ms

    def announce(self, slots: int, now_ms: float) -> None:
        """Serve a target with so many slots."""
        del now_ms
        self._slots = slots

    def set_cold(
        self, until_ms: float, cold_per_s: float, now_ms: float
    ) -> None:
        """Hold the target's rate down until a time; past means not cold."""
        if until_ms > now_ms and not self.is_cold(now_ms):
            self._tokens = 1.0
            self._at_ms = now_ms
        self._cold_until_ms = until_ms
        self._cold_per_ms = COLD_RATE_SHARE * cold_per_s / 1e3

    def is_cold(self, now_ms: float) -> bool:
        """Whether the cold rate binds now."""
        return now_ms < self._cold_until_ms

    def is_open(self, in_flight: int, now_ms: float) -> bool:
        """Whether one more call may start now."""
        if in_flight >= self._slots:
            return False
        if not self.is_cold(now_ms):
            return True
        self._refill(now_ms)
        return self._tokens >= 1.0

    def next_open_ms(self, now_ms: float) -> float:
        """Return when a cold target may get its next call; inf if warm."""
        if not self.is_cold(now_ms) or self._cold_per_ms <= 0.0:
            return math.inf
        missing = max(0.0, 1.0 - self._tokens)
        return min(
            self._cold_until_ms, self._at_ms + missing / self._cold_per_ms
        )

    def started(self, in_flight: int, now_ms: float) -> None:
        """Note that a call was handed over."""
        del in_flight
        if self.is_cold(now_ms):
            self._refill(now_ms)
            self._tokens -= 1.0

    def failed(self, service_ms: float, now_ms: float) -> None:
        """Declared slots do not depend on failures."""

    def answered(
        self,
        route: str,
        service_ms: float,
        child_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Learn the usual time of an answer."""
        del route, child_ms, in_flight, now_ms
        if self._answer_ms == 0.0:
            self._answer_ms = service_ms
        self._answer_ms += _LEARN * (service_ms - self._answer_ms)

    def check_silence(self, in_flight: int, now_ms: float) -> None:
        """Declared slots do not depend on silence."""

    def _refill(self, now_ms: float) -> None:
        passed_ms = max(0.0, now_ms - self._at_ms)
        self._at_ms = now_ms
        self._tokens = min(
            COLD_BURST, self._tokens + passed_ms * self._cold_per_ms
        )


def declared_limit() -> DeclaredLimit:
    """Create the limit of a target that is not there yet."""
    return DeclaredLimit()
