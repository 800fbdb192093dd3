"""Concurrency limit of a target that declares its slots.

A warm target is limited to as many concurrent calls as it has slots. The
calls of a cold target are also paced at the cold rate of its service, and
those of a target in need at the rate that it names. One token bucket paces
both, at the lower of the two rates.
"""

import math

# Capacity of the token bucket of a cold target, in calls.
COLD_BURST = 2.0
# Part of the declared cold rate that is used; the rest covers calls already
# on their way when the target turns cold.
COLD_RATE_SHARE = 0.9
# Capacity of the token bucket of a target that names a rate: the calls of
# this time, and at least one.
NAMED_BURST_MS = 250.0
# A target that gets no calls can't name another rate.
MIN_NAMED_PER_S = 0.5
# Calls beyond those that can start within this time are not queued.
NAMED_QUEUE_MS = 500.0
MIN_NAMED_QUEUE = 2
# Weight of a new sample in the moving average of answer times.
_ANSWER_TIME_EWMA_WEIGHT = 0.05


class DeclaredLimit:
    """Limit of an ``admission.AdmissionQueue`` from declared slots."""

    def __init__(self) -> None:
        self._slots = 0
        self._answer_ms = 0.0
        self._cold_until_ms = -math.inf
        self._cold_per_ms = 0.0
        self._named_per_ms = math.inf
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

    def forget(self) -> None:
        """Forget the answer times; rates end with their target."""
        self._answer_ms = 0.0

    def set_cold(
        self, until_ms: float, cold_per_s: float, now_ms: float
    ) -> None:
        """Apply the cold rate until a time; a past time ends it.

        Args:
            until_ms: End of the cold phase.
            cold_per_s: Calls a second; 0 if the service has no cold rate,
                then only the slots limit the target.
            now_ms: Current time.
        """
        self._refill(now_ms)
        if not cold_per_s:
            until_ms = now_ms
        if until_ms > now_ms and not self._is_paced(now_ms):
            self._tokens = 1.0
        self._cold_until_ms = until_ms
        self._cold_per_ms = COLD_RATE_SHARE * cold_per_s / 1e3

    def set_named_rate(
        self, per_s: float | None, now_ms: float, tokens: float = 1.0
    ) -> None:
        """Apply the rate that the target names; None ends it.

        Args:
            per_s: Calls a second.
            now_ms: Current time.
            tokens: Calls that may start at once if none were paced before.
        """
        self._refill(now_ms)
        if per_s is None:
            self._named_per_ms = math.inf
            return
        if not self._is_paced(now_ms):
            self._tokens = tokens
        self._named_per_ms = paced_per_s(per_s) / 1e3
        self._tokens = min(self._tokens, self._capacity(now_ms))

    def is_cold(self, now_ms: float) -> bool:
        """Whether the cold rate applies now."""
        return now_ms < self._cold_until_ms

    def is_open(self, in_flight: int, now_ms: float) -> bool:
        """Whether another call may start now."""
        if in_flight >= self._slots:
            return False
        if not self._is_paced(now_ms):
            return True
        self._refill(now_ms)
        return self._tokens >= 1.0

    def next_open_ms(self, now_ms: float) -> float:
        """Return when the token bucket allows a call; inf if not paced."""
        if not self._is_paced(now_ms):
            return math.inf
        due_ms = self._refilled_ms + self._time_to_ms(1.0, now_ms)
        if self.is_cold(now_ms):
            return min(self._cold_until_ms, due_ms)
        return due_ms

    def queue_bound(self, bound: int, now_ms: float) -> int:
        """Return how many calls may be queued.

        Args:
            bound: Capacity of the queue of a target that names no rate.
            now_ms: Current time.
        """
        if math.isinf(self._named_per_ms):
            return bound
        startable = int(self._per_ms(now_ms) * NAMED_QUEUE_MS)
        return min(bound, max(MIN_NAMED_QUEUE, startable))

    def wait_ms(self, queued: int, now_ms: float) -> float:
        """Return the time until one more call may start; 0 if not named.

        Args:
            queued: Calls that start before it.
            now_ms: Current time.
        """
        if math.isinf(self._named_per_ms):
            return 0.0
        self._refill(now_ms)
        return self._time_to_ms(queued + 1, now_ms)

    def started(self, in_flight: int, now_ms: float) -> None:
        """Count a call that was sent to the target."""
        del in_flight
        if self._is_paced(now_ms):
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

    def _is_paced(self, now_ms: float) -> bool:
        return self._named_per_ms < math.inf or now_ms < self._cold_until_ms

    def _per_ms(self, now_ms: float) -> float:
        if now_ms < self._cold_until_ms:
            return min(self._cold_per_ms, self._named_per_ms)
        return self._named_per_ms

    def _time_to_ms(self, tokens: float, now_ms: float) -> float:
        """Return the time from the last refill until there are so many."""
        missing = max(0.0, tokens - self._tokens)
        per_ms = self._per_ms(now_ms)
        return missing / per_ms if per_ms else math.inf

    def _capacity(self, now_ms: float) -> float:
        capacity = max(1.0, self._named_per_ms * NAMED_BURST_MS)
        if now_ms < self._cold_until_ms:
            return min(COLD_BURST, capacity)
        return capacity

    def _refill(self, now_ms: float) -> None:
        passed_ms = max(0.0, now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        if self._is_paced(now_ms):
            filled = self._tokens + passed_ms * self._per_ms(now_ms)
            self._tokens = min(self._capacity(now_ms), filled)


def paced_per_s(named_per_s: float) -> float:
    """Return the calls a second that a target gets at the rate it names."""
    return max(MIN_NAMED_PER_S, named_per_s)


def declared_limit() -> DeclaredLimit:
    """Create the limit of a node without a target."""
    return DeclaredLimit()
