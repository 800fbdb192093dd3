"""Service time estimates by route, to tell which calls can finish in time."""

import dataclasses

# Smoothing factor of the moving averages.
SMOOTHING = 0.1
# An estimate without new answers decays with this half-life. Otherwise one
# slow period could refuse every call, and no answer would correct it.
HALF_LIFE_MS = 1000.0
# All estimates are discarded when one more route would exceed this.
MAX_ROUTES = 256


@dataclasses.dataclass(slots=True)
class _Estimate:
    """Moving average of one route and the time of its last update."""

    mean_ms: float
    updated_ms: float


class ServiceTimes:
    """Exponentially weighted moving averages of the time to an answer."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, route: str, service_ms: float, now_ms: float) -> None:
        """Update the estimate of a route with one answer."""
        estimate = self._estimates.get(route)
        if estimate is None:
            if len(self._estimates) >= MAX_ROUTES:
                self._estimates.clear()
            self._estimates[route] = _Estimate(service_ms, now_ms)
            return
        estimate.mean_ms += SMOOTHING * (service_ms - estimate.mean_ms)
        estimate.updated_ms = now_ms

    def expected_ms(self, route: str, now_ms: float) -> float:
        """Return the estimated service time; 0 if none is known."""
        estimate = self._estimates.get(route)
        if estimate is None:
            return 0.0
        idle_ms = now_ms - estimate.updated_ms - estimate.mean_ms
        if idle_ms <= HALF_LIFE_MS:
            return estimate.mean_ms
        return estimate.mean_ms * 0.5 ** (idle_ms / HALF_LIFE_MS)
