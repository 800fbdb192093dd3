"""What became of root requests at one node, counted over windows of time.

Every node counts by itself, in bounded memory and by its own clock; the
counts of many nodes are summed by age, so that no node's clock has to agree
with another's. ``parsleystile.objectives`` judges the sums.
"""

import array
import dataclasses
import enum
import typing

import msgspec

from parsleystile import errors
from parsleystile import ids

MAX_ORGANISATIONS = 256
# Requests of organisations beyond the bound are counted together.
OTHER_ORGANISATIONS = ids.OrganisationId('(others)')
SECOND_MS = 1000.0
RECENT_SECONDS = 600
LATENCY_BUCKETS = 18


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A span of time that is kept in buckets.

    Attributes:
        name: As shown in reports.
        bucket_ms: Width of one bucket.
        buckets: How many are kept.
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
# The window whose single buckets a snapshot carries, for plots.
SERIES_WINDOW = 1
# The window whose buckets are fine enough to judge refusals for rate.
RATE_WINDOW = 0


class Count(enum.IntEnum):
    """Places of the counters in a row of counts."""

    # Requests that the service owed an answer: inside the rate, well formed.
    DEMANDED = 0
    GOOD = 1
    NOT_RUN = 2
    UNKNOWN = 3
    # Refused while the organisation was over its rate; owed nothing.
    OVER_RATE = 4
    # Faults of the caller: key, route, form, duplicate, hung up.
    CALLER_FAULT = 5
    # Refused by the rate limit, inside or over the rate.
    RATE_LIMITED = 6


COUNTS = len(Count)
# Plain integers index a row in half the time of enum members.
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
        windows: A row for each of ``WINDOWS``.
        series: Rows of the buckets of ``SERIES_WINDOW``, newest first.
        rate_series: ``[demanded, rate limited]`` of the buckets of
            ``RATE_WINDOW``, newest first.
        reasons: Refusals by reason name over ``SERIES_WINDOW``.
    """

    windows: list[Row]
    series: list[Row]
    rate_series: list[Row]
    reasons: dict[str, int]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that one node counted.

    Attributes:
        recent: ``[demanded, good]`` of each second, newest first.
        latency: Answers by bit length of their whole milliseconds, since
            the node started.
    """

    node_id: ids.NodeId
    failure_domain: ids.FailureDomainId
    organisations: dict[ids.OrganisationId, OrganisationBurn]
    recent: list[Row]
    latency: list[int]


class _Ring:
    """Rows of counts for the latest buckets of one width."""

    def __init__(self, buckets: int, width: int = COUNTS) -> None:
        self._buckets = buckets
        self._width = width
        self._cells = array.array('Q', bytes(8 * buckets * width))
        # Kept along: adding up all cells would hold up calls.
        self._total = [0] * width
        self._newest = 0

    def advance(self, bucket: int) -> None:
        """Make ``bucket`` the newest and forget those that fall out."""
        gone = min(bucket - self._newest, self._buckets)
        for step in range(gone):
            at = ((bucket - step) % self._buckets) * self._width
            for place in range(self._width):
                self._total[place] -= self._cells[at + place]
                self._cells[at + place] = 0
        self._newest = max(self._newest, bucket)

    def add(self, row: typing.Sequence[int]) -> None:
        """Add a row to the newest bucket."""
        at = (self._newest % self._buckets) * self._width
        for place, count in enumerate(row):
            self._cells[at + place] += count
            self._total[place] += count

    def bump(self, place: int) -> None:
        """Add one to a counter of the newest bucket."""
        at = (self._newest % self._buckets) * self._width
        self._cells[at + place] += 1
        self._total[place] += 1

    def rows(self) -> list[Row]:
        """Return a row for each bucket, newest first."""
        found = []
        for age in range(self._buckets):
            at = ((self._newest - age) % self._buckets) * self._width
            found.append(self._cells[at : at + self._width].tolist())
        return found

    def total(self) -> Row:
        """Return the sum of all buckets."""
        return list(self._total)


class _Account:
    """Counts of one organisation at this node."""

    def __init__(self) -> None:
        self.open_row: Row = [0] * COUNTS
        self.rings = [_Ring(window.buckets) for window in WINDOWS]
        self.reasons = _Ring(
            WINDOWS[SERIES_WINDOW].buckets, len(errors.Reason)
        )

    def fold(self, now_ms: float) -> None:
        for window, ring in zip(WINDOWS, self.rings, strict=True):
            ring.advance(int(now_ms // window.bucket_ms))
            if any(self.open_row):
                ring.add(self.open_row)
        self.open_row[:] = [0] * COUNTS
        width_ms = WINDOWS[SERIES_WINDOW].bucket_ms
        self.reasons.advance(int(now_ms // width_ms))

    def is_idle(self) -> bool:
        return not any(self.rings[-1].total())

    def snapshot(self) -> OrganisationBurn:
        reasons = {
            errors.Reason(code).name.lower(): count
            for code, count in enumerate(self.reasons.total())
            if count
        }
        return OrganisationBurn(
            windows=[ring.total() for ring in self.rings],
            series=self.rings[SERIES_WINDOW].rows(),
            rate_series=[
                [row[Count.DEMANDED], row[Count.RATE_LIMITED]]
                for row in self.rings[RATE_WINDOW].rows()
            ],
            reasons=reasons,
        )


class BurnRecorder:
    """Counts root requests at the node where they came in."""

    def __init__(
        self,
        node_id: ids.NodeId,
        failure_domain: ids.FailureDomainId,
        now_ms: float,
    ) -> None:
        self._node_id = node_id
        self._failure_domain = failure_domain
        self._accounts: dict[ids.OrganisationId, _Account] = {}
        self._recent = _Ring(RECENT_SECONDS, 2)
        self._latency = [0] * LATENCY_BUCKETS
        self._open_ends_ms = now_ms

    def record(
        self,
        organisation: ids.OrganisationId,
        outcome: errors.Outcome,
        reason: errors.Reason,
        latency_ms: float,
        is_inside_rate: bool,
        now_ms: float,
    ) -> None:
        """Count one root request as it ends.

        Args:
            organisation: Whose request; empty on routes open to all.
            outcome: What its caller was told.
            reason: ``NONE`` if it was answered.
            latency_ms: From its arrival to its end.
            is_inside_rate: False if its organisation was over its rate.
            now_ms: On the clock that every other record is timed by.
        """
        if now_ms >= self._open_ends_ms:
            self._fold(now_ms)
        account = self._accounts.get(organisation)
        if account is None:
            account = self._open_account(organisation, now_ms)
        row = account.open_row
        if outcome is errors.Outcome.ANSWERED:
            row[_DEMANDED] += 1
            row[_GOOD] += 1
            bucket = int(latency_ms).bit_length()
            self._latency[min(bucket, LATENCY_BUCKETS - 1)] += 1
            return
        self._record_refusal(account, outcome, reason, is_inside_rate)

    def _record_refusal(
        self,
        account: _Account,
        outcome: errors.Outcome,
        reason: errors.Reason,
        is_inside_rate: bool,
    ) -> None:
        row = account.open_row
        account.reasons.bump(reason)
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

    def _open_account(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> _Account:
        if len(self._accounts) >= MAX_ORGANISATIONS:
            self._drop_idle()
        if len(self._accounts) >= MAX_ORGANISATIONS:
            organisation = OTHER_ORGANISATIONS
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account()
            account.fold(now_ms)
        return account

    def _drop_idle(self) -> None:
        idle = [
            organisation
            for organisation, account in self._accounts.items()
            if account.is_idle() and not any(account.open_row)
        ]
        for organisation in idle:
            del self._accounts[organisation]

    def _fold(self, now_ms: float) -> None:
        """Move the counts of the open second into the rings."""
        demanded = good = 0
        open_ms = min(now_ms, self._open_ends_ms - 1)
        for account in self._accounts.values():
            demanded += account.open_row[Count.DEMANDED]
            good += account.open_row[Count.GOOD]
            account.fold(open_ms)
        self._recent.advance(int(open_ms // SECOND_MS))
        self._recent.add((demanded, good))
        for account in self._accounts.values():
            account.fold(now_ms)
        self._recent.advance(int(now_ms // SECOND_MS))
        self._open_ends_ms = (now_ms // SECOND_MS + 1) * SECOND_MS

    def snapshot(self, now_ms: float) -> Snapshot:
        """Return all counts as of ``now_ms``."""
        self._fold(now_ms)
        return Snapshot(
            node_id=self._node_id,
            failure_domain=self._failure_domain,
            organisations={
                organisation: account.snapshot()
                for organisation, account in self._accounts.items()
                if not account.is_idle()
            },
            recent=self._recent.rows(),
            latency=list(self._latency),
        )


def burn_recorder(
    node_id: ids.NodeId, failure_domain: ids.FailureDomainId, now_ms: float
) -> BurnRecorder:
    """Create a recorder that has counted nothing yet."""
    return BurnRecorder(node_id, failure_domain, now_ms)


def encode(snapshot: Snapshot) -> bytes:
    """Return a snapshot as JSON."""
    return msgspec.json.encode(snapshot)


def decode(body: bytes) -> Snapshot:
    """Read a snapshot; raise ``msgspec.DecodeError`` if it is none."""
    return msgspec.json.decode(body, type=Snapshot)
