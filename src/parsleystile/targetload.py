"""What a node estimates of the load and the capacity of a target.

The load answered: many nodes that call targets of unequal speed, each of
which hears of a target seconds apart. The load that a target told is right
for a moment, its capacity for longer; so the load is aged towards the mean
of the targets, and the capacity is averaged.
"""

import math

# Time in which the deviation of a told load from the mean falls to 1/e.
RELAXATION_MS = 1_000.0
# Time constants of the averages of a target and of a tier.
TARGET_TIME_MS = 2_000.0
TIER_TIME_MS = 500.0
# Without news the mean load of a tier falls to 1/e in this time.
FADING_MS = 3_000.0
# Utilisation beyond this counts as this much in averages.
MAX_UTILISATION = 4.0
# Bounds of the service time of a target as a ratio to that of its tier.
MIN_TIME_RATIO = 0.4
MAX_TIME_RATIO = 4.0
# Relative change of a target's share for each unit of utilisation that the
# target is above or below its tier, and bounds of the change.
BALANCE_GAIN = 2.0
MIN_CORRECTION = 0.25
MAX_CORRECTION = 2.0
_MIN_TIER_WEIGHT = 0.05
_TIER_SERVICE_WEIGHT = 0.02


class TierLoad:
    """Means over the targets of a tier.

    Attributes:
        service_ms: Mean service time; 0 until a target has told one.
    """

    __slots__ = ('_updated_ms', '_utilisation', 'service_ms')

    def __init__(self) -> None:
        self.service_ms = 0.0
        self._utilisation = 0.0
        self._updated_ms = -math.inf

    def record(
        self, utilisation: float, service_ms: float, now_ms: float
    ) -> None:
        """Record what a target told.

        Args:
            utilisation: Its calls as a ratio to its limit.
            service_ms: Its service time; 0 if it told none.
            now_ms: Current time.
        """
        weight = _weight(now_ms - self._updated_ms, TIER_TIME_MS)
        weight = max(_MIN_TIER_WEIGHT, weight)
        self._updated_ms = now_ms
        self._utilisation += weight * (utilisation - self._utilisation)
        if not self.service_ms:
            self.service_ms = service_ms
        elif service_ms:
            change_ms = service_ms - self.service_ms
            self.service_ms += _TIER_SERVICE_WEIGHT * change_ms

    def utilisation(self, now_ms: float) -> float:
        """Return the mean utilisation; without news it fades to 0."""
        fading = (self._updated_ms - now_ms) / FADING_MS
        return self._utilisation * math.exp(fading)


class TargetLoad:
    """Load and capacity of a target, from what it told with its answers.

    Attributes:
        limit: Concurrency limit told last; 0 without any news.
    """

    __slots__ = (
        '_calls',
        '_in_flight_when_told',
        '_mean_limit',
        '_mean_utilisation',
        '_service_ms',
        '_told_ms',
        'limit',
    )

    def __init__(self) -> None:
        self.limit = 0
        self._calls = 0
        self._in_flight_when_told = 0
        self._told_ms = -math.inf
        self._mean_limit = 0.0
        self._mean_utilisation = 0.0
        self._service_ms = 0.0

    def record(
        self, load, in_flight: int, tier: TierLoad, now_ms: float
    ) -> None:
        """Record a load report.

        Args:
            load: The report.
            in_flight: Calls of this node at the target.
            tier: Tier of the target, which is updated as well.
            now_ms: Current time.
        """
        weight = _weight(now_ms - self._told_ms, TARGET_TIME_MS)
        self._told_ms = now_ms
        self._in_flight_when_told = in_flight
        self._calls = load.in_flight + load.queued
        self.limit = max(1, load.limit)
        utilisation = min(MAX_UTILISATION, self._calls / self.limit)
        self._mean_limit += weight * (self.limit - self._mean_limit)
        self._mean_utilisation += weight * (
            utilisation - self._mean_utilisation
        )
        # Not every kind of guard tells it.
        service_us = getattr(load, 'service_us', None)
        if service_us:
            service_ms = service_us / 1e3
            if not self._service_ms:
                self._service_ms = service_ms
            self._service_ms += weight * (service_ms - self._service_ms)
        tier.record(utilisation, self._service_ms, now_ms)

    def calls(self, in_flight: int, tier: TierLoad, now_ms: float) -> float:
        """Return the estimated number of calls at the target.

        Args:
            in_flight: Calls of this node at the target.
            tier: Tier of the target.
            now_ms: Current time.
        """
        limit = self.limit
        if not limit:
            return in_flight
        mean = tier.utilisation(now_ms) * limit
        kept = math.exp((self._told_ms - now_ms) / RELAXATION_MS)
        estimate = mean + (self._calls - mean) * kept
        estimate += in_flight - self._in_flight_when_told
        return estimate if estimate > in_flight else in_flight

    def time_ratio(self, tier: TierLoad) -> float:
        """Return the service time as a ratio to that of the tier."""
        # The node of a target may serve another service than before.
        if not self._service_ms or not tier.service_ms:
            return 1.0
        ratio = self._service_ms / tier.service_ms
        return min(MAX_TIME_RATIO, max(MIN_TIME_RATIO, ratio))

    def share(self, slots: int, tier: TierLoad, now_ms: float) -> float:
        """Return the target's share of the calls; only ratios count.

        Args:
            slots: Declared slots, which count for a limit that is not known
                or was told long ago.
            tier: Tier of the target.
            now_ms: Current time.
        """
        limit = max(1, slots)
        time_ratio = self.time_ratio(tier)
        if not self.limit:
            return limit / time_ratio
        kept = math.exp((self._told_ms - now_ms) / TARGET_TIME_MS)
        capacity = (limit + (self._mean_limit - limit) * kept) / time_ratio
        excess = self._mean_utilisation - tier.utilisation(now_ms)
        correction = 1.0 - BALANCE_GAIN * excess * kept
        return capacity * min(MAX_CORRECTION, max(MIN_CORRECTION, correction))


def _weight(passed_ms: float, time_ms: float) -> float:
    """Return the weight of a new sample in an average over a time."""
    if passed_ms == math.inf:
        return 1.0
    return max(0.0, passed_ms) / (max(0.0, passed_ms) + time_ms)


def tier_load() -> TierLoad:
    """Create the means of a tier without news."""
    return TierLoad()


def target_load() -> TargetLoad:
    """Create the load of a target without news."""
    return TargetLoad()
