"""Circuit breaker: stops requests to a service that keeps failing."""

import dataclasses
import enum
import random

# Consecutive failures that open the breaker.
FAILURES_TO_OPEN = 4
INITIAL_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 5_000.0


class BreakerState(enum.Enum):
    """Whether requests pass."""

    CLOSED = 'closed'
    OPEN = 'open'
    # One probe request is in flight.
    HALF_OPEN = 'half-open'


@dataclasses.dataclass(slots=True)
class Breaker:
    """Opens after consecutive failures, with exponential backoff and jitter.

    Attributes:
        rng: Source of the jitter.
        state: Whether requests pass.
        failures: Consecutive failures.
        backoff_ms: Current backoff, before jitter is applied.
        retry_at_ms: When an open breaker lets the next request pass.
        opened_at_ms: When it last left ``CLOSED``.
    """

    rng: random.Random
    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    backoff_ms: float = INITIAL_BACKOFF_MS
    retry_at_ms: float = 0.0
    opened_at_ms: float = 0.0

    def allow_request(self, now_ms: float) -> bool:
        """Return whether a request may be sent.

        If so, its result must be reported by ``on_success`` or
        ``on_failure``.
        """
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN and now_ms >= self.retry_at_ms:
            self.state = BreakerState.HALF_OPEN
            return True
        return False

    def on_success(self) -> None:
        """Report that a request succeeded."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.backoff_ms = INITIAL_BACKOFF_MS

    def on_failure(self, now_ms: float) -> None:
        """Report that the service was unreachable or did not answer."""
        self.failures += 1
        if self.state is BreakerState.CLOSED:
            if self.failures >= FAILURES_TO_OPEN:
                self.opened_at_ms = now_ms
                self._open(now_ms)
        elif self.state is BreakerState.HALF_OPEN:
            self.backoff_ms = min(2 * self.backoff_ms, MAX_BACKOFF_MS)
            self._open(now_ms)

    def _open(self, now_ms: float) -> None:
        self.state = BreakerState.OPEN
        self.retry_at_ms = now_ms + self.backoff_ms * self.rng.uniform(0.5, 1)


def circuit_breaker(rng: random.Random) -> Breaker:
    """Create a closed breaker."""
    return Breaker(rng)
