"""Reports of the local target, and the decision which of them apply.

Reports may be late, duplicated, forged or out of order, and a target may
restart under its old id. The start time that a target reports orders its
incarnations; the sequence orders the reports of one incarnation.
"""

import dataclasses
import enum

from parsleystile import ids
from parsleystile.relay import departures

# Number of departed incarnations that are remembered.
_MAX_DEPARTED = 64


class TargetState(enum.Enum):
    """State that a target reports."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """One report of a target.

    Attributes:
        started_ms: Start time of this incarnation in milliseconds since
            1970-01-01 UTC; 0 if not reported.
        cold_ms: Remaining time of its cold phase.
        sequence: Grows with each report of an incarnation; -1 if not
            reported.
        version: Version of what the target runs; empty if not reported.
    """

    target_id: ids.TargetId
    state: TargetState
    started_ms: int = 0
    service: ids.ServiceName = ids.ServiceName('')
    slots: int = 0
    cold_ms: float = 0.0
    sequence: int = -1
    version: str = ''


class Effect(enum.Enum):
    """Effect of a report."""

    # The target is ready for calls.
    SERVING = 'serving'
    # The current target is leaving.
    LEAVING = 'leaving'
    # No effect: the report is old or about another incarnation.
    STALE = 'stale'


class ReportTracker:
    """Tracks the state of the local target from its reports.

    Attributes:
        current: Last report that applied; None without a target.
    """

    def __init__(self) -> None:
        self.current: Report | None = None
        self._departed: dict[ids.TargetId, int] = {}

    def remember_departed(
        self, target_id: ids.TargetId, started_ms: int
    ) -> None:
        """Ignore later reports of this incarnation and of earlier ones."""
        if not target_id:
            return
        known = self._departed.get(target_id, -1)
        self._departed[target_id] = max(known, started_ms)
        if len(self._departed) > _MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))

    def departures_of(self, target_id: ids.TargetId) -> departures.Departures:
        """Return the latest departure under an id; none if it is unknown."""
        started_ms = self._departed.get(target_id)
        if started_ms is None:
            return ()
        return (departures.Departure(target_id, started_ms),)

    def handle(self, report: Report) -> Effect:
        """Apply a report and return its effect."""
        match report.state:
            case TargetState.READY:
                return self._handle_ready(report)
            case TargetState.DRAINING | TargetState.GONE:
                return self._handle_leaving(report)

    def _handle_ready(self, report: Report) -> Effect:
        departed_started_ms = self._departed.get(report.target_id)
        if (
            departed_started_ms is not None
            and report.started_ms <= departed_started_ms
        ):
            return Effect.STALE
        current = self.current
        if current is not None and not _is_newer(report, current):
            return Effect.STALE
        self.current = report
        return Effect.SERVING

    def _handle_leaving(self, report: Report) -> Effect:
        current = self.current
        is_current = (
            current is not None and current.target_id == report.target_id
        )
        started_ms = report.started_ms
        if is_current and started_ms == 0:
            started_ms = current.started_ms
        self.remember_departed(report.target_id, started_ms)
        if is_current and current.started_ms <= started_ms:
            self.current = None
            return Effect.LEAVING
        return Effect.STALE


def _is_newer(report: Report, current: Report) -> bool:
    is_same = (
        report.target_id == current.target_id
        and report.started_ms == current.started_ms
    )
    if is_same:
        return report.sequence > current.sequence
    return report.started_ms >= current.started_ms


def report_tracker() -> ReportTracker:
    """Create the tracker of a target that has not reported yet."""
    return ReportTracker()
