"""Concurrency limit of a target that declares its slots.

A warm target is limited to as many concurrent calls as it has slots. The
calls of a cold target are also paced by a token bucket at the cold rate of its
service, so that no second of the cold phase exceeds that rate by more than the
bucket's capacity.
"""

import math

# Capacity of the token bucket of a cold target, in calls.
COLD_BURST = 2.0
# Part of the declared cold rate that is used; the rest covers calls already
# on their way when the target turns cold.
COLD_RATE_SHARE = 0.9
# Weight of a new sample in the moving average of answer times.
_ANSWER_TIME_EWMA_WEIGHT = 0.05


class DeclaredLimit:
    """Limit of an ``admission.AdmissionQueue`` from declared slots."""

    def __init__(self) -> None:
        self._slots = 0
        self._answer_ms = 0.0
        self._cold_until_ms = -math.inf
        self._cold_per_ms = 0.0
        self._tokens = 0.0
        self._refilled_ms = 0.0

    @property
    def value(self) -> int:
        """Largest number of calls in flight; 0 without a target."""
        return self._slots

    @property
    def answer_ms(self) -> float:
        """Moving average of the time from start to answer; 0 if unknown."""
        return self._answer_ms

    def announce(self, slots: int, now_ms: float) -> None:
        """Set the number of slots of the target."""
        del now_ms
        self._slots = slots

    def set_cold(
        self, until_ms: float, cold_per_s: float, now_ms: float
    ) -> None:
        """Apply the cold rate until a time; a past time ends it."""
        if until_ms > now_ms and not self.is_cold(now_ms):
            self._tokens = 1.0
            self._refilled_ms = now_ms
        self._cold_until_ms = until_ms
        self._cold_per_ms = COLD_RATE_SHARE * cold_per_s / 1e3

    def is_cold(self, now_ms: float) -> bool:
        """Whether the cold rate applies now."""
        return now_ms < self._cold_until_ms

    def is_open(self, in_flight: int, now_ms: float) -> bool:
        """Whether another call may start now."""
        if in_flight >= self._slots:
            return False
        if not self.is_cold(now_ms):
            return True
        self._refill(now_ms)
        return self._tokens >= 1.0

    def next_open_ms(self, now_ms: float) -> float:
        """Return when the token bucket allows a call; inf if warm."""
        if not self.is_cold(now_ms) or self._cold_per_ms <= 0.0:
            return math.inf
        missing = max(0.0, 1.0 - self._tokens)
        return min(
            self._cold_until_ms,
            self._refilled_ms + missing / self._cold_per_ms,
        )

    def started(self, in_flight: int, now_ms: float) -> None:
        """Count a call that was sent to the target."""
        del in_flight
        if self.is_cold(now_ms):
            self._refill(now_ms)
            self._tokens -= 1.0

    def failed(self, service_ms: float, now_ms: float) -> None:
        """Do nothing: declared slots do not depend on failures."""

    def answered(
        self,
        route: str,
        service_ms: float,
        child_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Update the moving average of answer times."""
        del route, child_ms, in_flight, now_ms
        if self._answer_ms == 0.0:
            self._answer_ms = service_ms
        self._answer_ms += _ANSWER_TIME_EWMA_WEIGHT * (
            service_ms - self._answer_ms
        )

    def check_stall(self, in_flight: int, now_ms: float) -> None:
        """Do nothing: declared slots do not depend on stalls."""

    def _refill(self, now_ms: float) -> None:
        passed_ms = max(0.0, now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        self._tokens = min(
            COLD_BURST, self._tokens + passed_ms * self._cold_per_ms
        )


def declared_limit() -> DeclaredLimit:
    """Create the limit of a node without a target."""
    return DeclaredLimit()
