"""Recent service times by route, for judging what can still finish."""

import dataclasses

WEIGHT = 0.1
# An estimate that nothing refreshes is halved in this time, so that a slow
# spell is not believed in for ever once nothing is admitted any more.
HALF_LIFE_MS = 1000.0
MAX_ROUTES = 256


@dataclasses.dataclass(slots=True)
class _Estimate:
    mean_ms: float
    seen_ms: float


class ServiceTimes:
    """Moving averages of the time from start to answer."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, route: str, service_ms: float, now_ms: float) -> None:
        """Learn from one answer."""
        estimate = self._estimates.get(route)
        if estimate is None:
            if len(self._estimates) >= MAX_ROUTES:
                self._estimates.clear()
            self._estimates[route] = _Estimate(service_ms, now_ms)
            return
        estimate.mean_ms += WEIGHT * (service_ms - estimate.mean_ms)
        estimate.seen_ms = now_ms

    def expected_ms(self, route: str, now_ms: float) -> float:
        """Return the usual time of late; 0 if nothing is known."""
        estimate = self._estimates.get(route)
        if estimate is None:
            return 0.0
        idle_ms = now_ms - estimate.seen_ms - estimate.mean_ms
        if idle_ms <= HALF_LIFE_MS:
            return estimate.mean_ms
        return estimate.mean_ms * 0.5 ** (idle_ms / HALF_LIFE_MS)
