"""Counters of root requests at one node over rolling time windows.

Each node counts independently, in bounded memory and by its own clock. The
counts of several nodes are summed by their age, so that the clocks need not
be synchronised. ``parsleystile.objectives`` computes error budget burns from
the sums.
"""

import array
import dataclasses
import enum
import typing

import msgspec

from parsleystile import errors
from parsleystile import ids

MAX_ORGANISATIONS = 256
# Collects the requests of organisations beyond MAX_ORGANISATIONS.
OTHER_ORGANISATIONS = ids.OrganisationId('(others)')
SECOND_MS = 1000.0
RECENT_SECONDS = 600
LATENCY_BUCKETS = 18


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A rolling time window, divided into buckets.

    Attributes:
        name: Name shown in reports.
        bucket_ms: Width of one bucket in milliseconds.
        buckets: Number of buckets.
    """

    name: str
    bucket_ms: int
    buckets: int


WINDOWS = (
    Window('5 min', 10_000, 30),
    Window('1 h', 60_000, 60),
    Window('6 h', 600_000, 36),
    Window('3 d', 3_600_000, 72),
)
# Index of the window whose buckets a snapshot contains, for plots.
SERIES_WINDOW = 1
# Index of the window whose buckets are fine enough to check rate-limit
# refusals.
RATE_WINDOW = 0


class Count(enum.IntEnum):
    """Column of each counter in a row of counts."""

    # Requests that should be answered: well formed and inside the rate.
    DEMANDED = 0
    GOOD = 1
    NOT_RUN = 2
    UNKNOWN = 3
    # Refused while the organisation was over its rate; not in DEMANDED.
    OVER_RATE = 4
    # Refused for _CALLER_FAULTS, such as a wrong key; not in DEMANDED.
    CALLER_FAULT = 5
    # Refused by the rate limit, inside or over the rate.
    RATE_LIMITED = 6


COUNTER_COUNT = len(Count)
# Indexing a list with plain integers takes half the time of enum members.
_DEMANDED = int(Count.DEMANDED)
_GOOD = int(Count.GOOD)

_CALLER_FAULTS = frozenset(
    {
        errors.Reason.KEY_MISSING,
        errors.Reason.KEY_REJECTED,
        errors.Reason.NO_ROUTE,
        errors.Reason.MALFORMED,
        errors.Reason.TOO_LARGE,
        errors.Reason.DUPLICATE,
        errors.Reason.CONTEXT_UNKNOWN,
        errors.Reason.TOO_DEEP,
        errors.Reason.CANCELLED,
    }
)

Row = list[int]


class OrganisationBurn(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one organisation; rows are indexed by ``Count``.

    Attributes:
        windows: One row per window of ``WINDOWS``.
        series: One row per bucket of ``SERIES_WINDOW``, newest first.
        rate_series: ``[demanded, rate limited]`` of each bucket of
            ``RATE_WINDOW``, newest first.
        reasons: Refusals by reason name over ``SERIES_WINDOW``.
    """

    windows: list[Row]
    series: list[Row]
    rate_series: list[Row]
    reasons: dict[str, int]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All counts of one node.

    Attributes:
        recent: ``[demanded, good]`` of each second, newest first.
        latency: Histogram of answers since the start of the node, by the
            bit length of their latency in whole milliseconds.
    """

    node_id: ids.NodeId
    failure_domain: ids.FailureDomainId
    organisations: dict[ids.OrganisationId, OrganisationBurn]
    recent: list[Row]
    latency: list[int]


class _RollingCounts:
    """Rows of counts of the latest buckets of a window, in a ring buffer."""

    def __init__(self, buckets: int, width: int = COUNTER_COUNT) -> None:
        self._buckets = buckets
        self._width = width
        self._counts = array.array('Q', bytes(8 * buckets * width))
        # Maintained incrementally: summing all buckets would delay calls.
        self._total = [0] * width
        self._newest = 0

    def advance(self, bucket: int) -> None:
        """Make ``bucket`` the newest and clear those that expired."""
        expired = min(bucket - self._newest, self._buckets)
        for age in range(expired):
            offset = ((bucket - age) % self._buckets) * self._width
            for column in range(self._width):
                self._total[column] -= self._counts[offset + column]
                self._counts[offset + column] = 0
        self._newest = max(self._newest, bucket)

    def add(self, row: typing.Sequence[int]) -> None:
        """Add a row to the newest bucket."""
        offset = (self._newest % self._buckets) * self._width
        for column, count in enumerate(row):
            self._counts[offset + column] += count
            self._total[column] += count

    def increment(self, column: int) -> None:
        """Add one to a counter of the newest bucket."""
        offset = (self._newest % self._buckets) * self._width
        self._counts[offset + column] += 1
        self._total[column] += 1

    def rows(self) -> list[Row]:
        """Return one row per bucket, newest first."""
        rows = []
        for age in range(self._buckets):
            offset = ((self._newest - age) % self._buckets) * self._width
            rows.append(self._counts[offset : offset + self._width].tolist())
        return rows

    def total(self) -> Row:
        """Return the sum of all buckets."""
        return list(self._total)


class _OrganisationCounts:
    """Counts of one organisation at this node.

    Attributes:
        pending: Counts of the current second, not yet in ``rolling``.
        rolling: Rolling counts of each of ``WINDOWS``.
        reasons: Refusals by reason over ``SERIES_WINDOW``.
    """

    def __init__(self) -> None:
        self.pending: Row = [0] * COUNTER_COUNT
        self.rolling = [_RollingCounts(window.buckets) for window in WINDOWS]
        self.reasons = _RollingCounts(
            WINDOWS[SERIES_WINDOW].buckets, len(errors.Reason)
        )

    def flush(self, now_ms: float) -> None:
        for window, window_counts in zip(WINDOWS, self.rolling, strict=True):
            window_counts.advance(int(now_ms // window.bucket_ms))
            if any(self.pending):
                window_counts.add(self.pending)
        self.pending[:] = [0] * COUNTER_COUNT
        width_ms = WINDOWS[SERIES_WINDOW].bucket_ms
        self.reasons.advance(int(now_ms // width_ms))

    def is_idle(self) -> bool:
        return not any(self.rolling[-1].total())

    def snapshot(self) -> OrganisationBurn:
        reasons = {
            errors.Reason(code).name.lower(): count
            for code, count in enumerate(self.reasons.total())
            if count
        }
        return OrganisationBurn(
            windows=[window_counts.total() for window_counts in self.rolling],
            series=self.rolling[SERIES_WINDOW].rows(),
            rate_series=[
                [row[Count.DEMANDED], row[Count.RATE_LIMITED]]
                for row in self.rolling[RATE_WINDOW].rows()
            ],
            reasons=reasons,
        )


class BurnRecorder:
    """Counts root requests at the node that received them."""

    def __init__(
        self,
        node_id: ids.NodeId,
        failure_domain: ids.FailureDomainId,
        now_ms: float,
    ) -> None:
        self._node_id = node_id
        self._failure_domain = failure_domain
        self._organisations: dict[ids.OrganisationId, _OrganisationCounts] = {}
        self._recent = _RollingCounts(RECENT_SECONDS, 2)
        self._latency = [0] * LATENCY_BUCKETS
        self._second_end_ms = now_ms

    def record(
        self,
        organisation: ids.OrganisationId,
        outcome: errors.Outcome,
        reason: errors.Reason,
        latency_ms: float,
        is_inside_rate: bool,
        now_ms: float,
    ) -> None:
        """Count one root request at its end.

        Args:
            organisation: Organisation of the request; empty on open routes.
            outcome: Outcome reported to the caller.
            reason: ``NONE`` if the request was answered.
            latency_ms: Milliseconds from the arrival to the end.
            is_inside_rate: Whether the organisation was inside its rate.
            now_ms: Current time in milliseconds, on the same clock as all
                other records.
        """
        if now_ms >= self._second_end_ms:
            self._flush(now_ms)
        counts = self._organisations.get(organisation)
        if counts is None:
            counts = self._get_or_create_counts(organisation, now_ms)
        row = counts.pending
        if outcome is errors.Outcome.ANSWERED:
            row[_DEMANDED] += 1
            row[_GOOD] += 1
            bucket = int(latency_ms).bit_length()
            self._latency[min(bucket, LATENCY_BUCKETS - 1)] += 1
            return
        self._record_refusal(counts, outcome, reason, is_inside_rate)

    def _record_refusal(
        self,
        counts: _OrganisationCounts,
        outcome: errors.Outcome,
        reason: errors.Reason,
        is_inside_rate: bool,
    ) -> None:
        row = counts.pending
        counts.reasons.increment(reason)
        if reason in _CALLER_FAULTS:
            row[Count.CALLER_FAULT] += 1
            return
        if reason is errors.Reason.RATE_LIMITED:
            row[Count.RATE_LIMITED] += 1
        if not is_inside_rate:
            row[Count.OVER_RATE] += 1
            return
        row[Count.DEMANDED] += 1
        is_not_run = outcome is errors.Outcome.NOT_RUN
        row[Count.NOT_RUN if is_not_run else Count.UNKNOWN] += 1

    def _get_or_create_counts(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> _OrganisationCounts:
        if len(self._organisations) >= MAX_ORGANISATIONS:
            self._remove_idle()
        if len(self._organisations) >= MAX_ORGANISATIONS:
            organisation = OTHER_ORGANISATIONS
        counts = self._organisations.get(organisation)
        if counts is None:
            counts = self._organisations[organisation] = _OrganisationCounts()
            counts.flush(now_ms)
        return counts

    def _remove_idle(self) -> None:
        idle = [
            organisation
            for organisation, counts in self._organisations.items()
            if counts.is_idle() and not any(counts.pending)
        ]
        for organisation in idle:
            del self._organisations[organisation]

    def _flush(self, now_ms: float) -> None:
        """Add the pending counts of the current second to the windows."""
        demanded = good = 0
        within_second_ms = min(now_ms, self._second_end_ms - 1)
        for counts in self._organisations.values():
            demanded += counts.pending[Count.DEMANDED]
            good += counts.pending[Count.GOOD]
            counts.flush(within_second_ms)
        self._recent.advance(int(within_second_ms // SECOND_MS))
        self._recent.add((demanded, good))
        for counts in self._organisations.values():
            counts.flush(now_ms)
        self._recent.advance(int(now_ms // SECOND_MS))
        self._second_end_ms = (now_ms // SECOND_MS + 1) * SECOND_MS

    def snapshot(self, now_ms: float) -> Snapshot:
        """Return all counts as of ``now_ms``."""
        self._flush(now_ms)
        return Snapshot(
            node_id=self._node_id,
            failure_domain=self._failure_domain,
            organisations={
                organisation: counts.snapshot()
                for organisation, counts in self._organisations.items()
                if not counts.is_idle()
            },
            recent=self._recent.rows(),
            latency=list(self._latency),
        )


def burn_recorder(
    node_id: ids.NodeId, failure_domain: ids.FailureDomainId, now_ms: float
) -> BurnRecorder:
    """Create a recorder with all counts at zero."""
    return BurnRecorder(node_id, failure_domain, now_ms)


def encode(snapshot: Snapshot) -> bytes:
    """Return a snapshot as JSON."""
    return msgspec.json.encode(snapshot)


def decode(body: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        msgspec.DecodeError: ``body`` is not a snapshot.
    """
    return msgspec.json.decode(body, type=Snapshot)
