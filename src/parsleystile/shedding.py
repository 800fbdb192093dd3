"""Load shedding at ingress, by admission levels reported with answers."""

import collections
import dataclasses
import random

from parsleystile import context
from parsleystile import errors
from parsleystile import ids

# Time constant of the moving average over reports.
AVERAGING_MS = 300.0
# Without reports a level is held for this time, then rises linearly at this
# rate, in units of the rank.
HOLD_TIME_MS = 500.0
RECOVERY_PER_S = 1.0
# Without reports, one call passes as a probe in each interval.
PROBE_INTERVAL_MS = 250.0
# Levels kept; the oldest is discarded for a new one.
MAX_LEVELS = 8192
# A level within this of the highest rank counts as recovered and is discarded.
RECOVERED_LEVEL_TOLERANCE = 0.01
RETRY_AFTER_MS = 1000
# Reports of a route that are held against organisations without one of their
# own: the latest ones of this many organisations, no older than this.
MAX_COMMON_REPORTS = 8
MIN_COMMON_REPORTS = 2
COMMON_REPORT_LIFETIME_MS = 3000.0

_Key = tuple[ids.RouteId, ids.OrganisationId]


@dataclasses.dataclass(slots=True)
class _Level:
    """Averaged admission level of one organisation on one route."""

    reported_ms: float
    value: float = context.RANK_LIMIT
    probed_ms: float = 0.0

    def update(self, admission_level: float, now_ms: float) -> None:
        """Fold one report into the average."""
        age_ms = max(1.0, now_ms - self.reported_ms)
        weight = min(1.0, age_ms / AVERAGING_MS)
        self.value += weight * (admission_level - self.value)
        self.reported_ms = now_ms


@dataclasses.dataclass(slots=True)
class _RouteReports:
    """What the latest answers of a route reported, by organisation.

    In a large fleet a node sees a call of each organisation so seldom that
    its own report is long out of date. What all organisations are told is
    then due to the call graph and not to one of them.
    """

    reports: collections.OrderedDict[
        ids.OrganisationId, tuple[float, float]
    ] = dataclasses.field(default_factory=collections.OrderedDict)
    probed_ms: float = 0.0

    def update(
        self,
        organisation: ids.OrganisationId,
        admission_level: float,
        now_ms: float,
    ) -> None:
        """Record one report."""
        self.reports.pop(organisation, None)
        self.reports[organisation] = (admission_level, now_ms)
        if len(self.reports) > MAX_COMMON_REPORTS:
            self.reports.popitem(last=False)

    def level(self, now_ms: float) -> float:
        """Return the highest level that an organisation was told lately."""
        oldest_ms = now_ms - COMMON_REPORT_LIFETIME_MS
        recent = [
            level
            for level, reported_ms in self.reports.values()
            if reported_ms >= oldest_ms
        ]
        if len(recent) < MIN_COMMON_REPORTS:
            return context.RANK_LIMIT
        return max(recent)


class Shedder:
    """Refuses calls at ingress that a guard downstream would refuse.

    Each answer reports the lowest admission level, for the organisation of
    the call, in the subtree that the call passed through. Reports from all
    targets of a service are averaged, since a call may go to any of them.
    An organisation without a recent report is held to what all others were
    told, so that overload deep in the call graph is met where requests enter,
    before work is done for them, however many nodes share the load.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._levels: dict[_Key, _Level] = {}
        self._route_reports: dict[ids.RouteId, _RouteReports] = {}

    def record_level(
        self,
        route_id: ids.RouteId,
        admission_level: float,
        now_ms: float,
        organisation: ids.OrganisationId = ids.OPEN_ORGANISATION,
    ) -> None:
        """Record the admission level that an answer or refusal reported."""
        key = (route_id, organisation)
        self._route_reports.setdefault(route_id, _RouteReports()).update(
            organisation, admission_level, now_ms
        )
        entry = self._levels.get(key)
        if entry is None:
            if admission_level >= context.RANK_LIMIT:
                return
            if len(self._levels) >= MAX_LEVELS:
                self._levels.pop(next(iter(self._levels)))
            entry = self._levels[key] = _Level(now_ms)
        entry.update(admission_level, now_ms)
        admits_all = admission_level >= context.RANK_LIMIT
        if (
            admits_all
            and entry.value > context.RANK_LIMIT - RECOVERED_LEVEL_TOLERANCE
        ):
            del self._levels[key]

    def level(
        self,
        route_id: ids.RouteId,
        now_ms: float,
        organisation: ids.OrganisationId = ids.OPEN_ORGANISATION,
    ) -> float:
        """Return the lowest rank refused; 3.0 refuses none."""
        key = (route_id, organisation)
        entry = self._levels.get(key)
        if entry is None:
            reports = self._route_reports.get(route_id)
            return (
                context.RANK_LIMIT
                if reports is None
                else reports.level(now_ms)
            )
        idle_ms = now_ms - entry.reported_ms - HOLD_TIME_MS
        if idle_ms <= 0.0:
            return entry.value
        level = entry.value + idle_ms * RECOVERY_PER_S / 1000.0
        if level < context.RANK_LIMIT:
            return level
        del self._levels[key]
        return context.RANK_LIMIT

    def decide(
        self,
        route_id: ids.RouteId,
        rank: float,
        now_ms: float,
        organisation: ids.OrganisationId = ids.OPEN_ORGANISATION,
    ) -> errors.Refusal | None:
        """Return a refusal if the call would be shed downstream."""
        if rank < self.level(route_id, now_ms, organisation):
            return None
        if self._is_probe(route_id, organisation, now_ms):
            return None
        retry_after_ms = int(RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return errors.not_run(
            errors.Reason.SHED, 'the call graph is full', retry_after_ms
        )

    def _is_probe(
        self,
        route_id: ids.RouteId,
        organisation: ids.OrganisationId,
        now_ms: float,
    ) -> bool:
        """Whether a call passes to find out if the level still holds."""
        entry = self._levels.get((route_id, organisation))
        if entry is not None:
            quiet_since_ms = max(entry.reported_ms, entry.probed_ms)
        else:
            entry = self._route_reports[route_id]
            latest_ms = max(ms for _, ms in entry.reports.values())
            quiet_since_ms = max(latest_ms, entry.probed_ms)
        if now_ms - quiet_since_ms < PROBE_INTERVAL_MS:
            return False
        entry.probed_ms = now_ms
        return True


def shedder(rng: random.Random) -> Shedder:
    """Create a shedder without any reports."""
    return Shedder(rng)
