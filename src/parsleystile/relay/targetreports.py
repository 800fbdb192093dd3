"""What the target beside a node reports of itself, and which report counts.

Reports may be late, doubled, forged or out of order; a target may start
again under its old id. The start time that a target tells orders its lives,
the sequence orders the reports of one life.
"""

import dataclasses
import enum

from parsleystile import ids

# Lives that have taken their leave and are remembered.
_MAX_DEPARTED = 64


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """One report of a target.

    Attributes:
        born_ms: Start of this life, since 1970-01-01 UTC; 0 if not told.
        cold_ms: How much longer it is cold.
        sequence: Grows with each report of a life; -1 if not told.
    """

    target_id: ids.TargetId
    state: TargetState
    born_ms: int = 0
    service: ids.ServiceName = ids.ServiceName('')
    slots: int = 0
    cold_ms: float = 0.0
    sequence: int = -1


class Effect(enum.Enum):
    """What a report means."""

    # The target may get calls, as reported.
    SERVING = 'serving'
    # The current target takes its leave.
    LEAVING = 'leaving'
    # Nothing changes: the report is old or about another life.
    STALE = 'stale'


class ReportTracker:
    """The reports of the target beside one node.

    Attributes:
        current: The last report that counts; None without a target.
    """

    def __init__(self) -> None:
        self.current: Report | None = None
        self._departed: dict[ids.TargetId, int] = {}

    def remember_departed(self, target_id: ids.TargetId, born_ms: int) -> None:
        """Take no report of this life, or one before it, as serving."""
        if not target_id:
            return
        known = self._departed.get(target_id, -1)
        self._departed[target_id] = max(known, born_ms)
        if len(self._departed) > _MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))

    def handle(self, report: Report) -> Effect:
        """Take in a report."""
        match report.state:
            case TargetState.READY:
                return self._ready(report)
            case TargetState.DRAINING | TargetState.GONE:
                return self._leaving(report)

    def _ready(self, report: Report) -> Effect:
        departed_ms = self._departed.get(report.target_id)
        if departed_ms is not None and report.born_ms <= departed_ms:
            return Effect.STALE
        current = self.current
        if current is not None and not _is_newer(report, current):
            return Effect.STALE
        self.current = report
        return Effect.SERVING

    def _leaving(self, report: Report) -> Effect:
        current = self.current
        is_current = (
            current is not None and current.target_id == report.target_id
        )
        born_ms = report.born_ms
        if is_current and born_ms == 0:
            born_ms = current.born_ms
        self.remember_departed(report.target_id, born_ms)
        if is_current and current.born_ms <= born_ms:
            self.current = None
            return Effect.LEAVING
        return Effect.STALE


def _is_newer(report: Report, current: Report) -> bool:
    is_same = (
        report.target_id == current.target_id
        and report.born_ms == current.born_ms
    )
    if is_same:
        return report.sequence > current.sequence
    return report.born_ms >= current.born_ms


def report_tracker() -> ReportTracker:
    """Create the state of a node whose target has not reported yet."""
    return ReportTracker()
