"""Lender side of quotas: short-lived grants from the parts owned here.

A quota of ``rate`` and ``burst`` is a token bucket. It is divided into
smaller buckets whose rates and capacities never sum to more than the
quota. Tokens move between these buckets but are created only by the passage
of time, so all acquisitions together stay within one bucket of ``rate`` and
``burst``. Whatever a borrower may still hold counts as lent until it has
certainly expired or been returned. Tokens move only together with an equal
amount of capacity, so that tokens in transit count as lent too.
"""

import dataclasses
import typing

from parsleystile import ids
from parsleystile import quotawire

GRANT_DURATION_MS = 3_000.0
# A grant counts as lent for this much longer than its borrower may use it.
EXPIRY_MARGIN_MS = 50.0
# Fraction of the nominal rate that is lent, in case clocks run fast.
RATE_SAFETY_FACTOR = 0.999
MAX_RETRY_AFTER_MS = 1_000.0
# No request is in flight for longer than this.
REQUEST_RETENTION_MS = 600_000.0
_EPSILON = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Rate and burst of one organisation with the preset applied."""

    rate_per_s: float
    burst: float


QuotaOf = typing.Callable[[ids.OrganisationId], Quota | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _BorrowerProcess:
    """One process of a node; an earlier one may still hold grants."""

    node_id: ids.NodeId
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class _LastRequest:
    """The newest request of a borrower."""

    seq: int
    received_at_ms: float


@dataclasses.dataclass(slots=True)
class _Allocation:
    """Rate and capacity that a borrower may hold until they expire."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    expires_at_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class _Loan:
    """What one borrower may hold.

    The borrower holds either the allocation that it reported or the one
    last granted, never both.

    Attributes:
        held: What the borrower held when it sent its last request.
        granted: What the reply to that request granted.
        demand_per_s: Calls per second at the borrower.
    """

    held: _Allocation
    granted: _Allocation
    demand_per_s: float

    def max_held(self, now_ms: float) -> Quota:
        """Return an upper bound of what the borrower holds now."""
        rate_per_s = burst = 0.0
        for allocation in (self.held, self.granted):
            if now_ms < allocation.expires_at_ms:
                rate_per_s = max(rate_per_s, allocation.rate_per_s)
                burst = max(burst, allocation.burst)
        return Quota(rate_per_s, burst)

    def expires_at_ms(self) -> float:
        """Return when the whole loan has expired, in ms."""
        return max(self.held.expires_at_ms, self.granted.expires_at_ms)


@dataclasses.dataclass(slots=True)
class _Part:
    """A part owned here.

    Attributes:
        owned_since_ms: When this node became the owner.
        is_first: No node owned the part before.
    """

    owned_since_ms: float
    is_first: bool


class _LenderBucket:
    """Token bucket of one organisation at its lender, with its loans."""

    def __init__(self, quota: Quota, parts: int, now_ms: float) -> None:
        self.quota = quota
        self.parts = parts
        self.tokens = 0.0
        self.updated_at_ms = now_ms
        self.loans: dict[_BorrowerProcess, _Loan] = {}
        self._lent = Quota(0.0, 0.0)

    @property
    def capacity(self) -> Quota:
        """The share of the quota that this lender may lend in total."""
        share = self.parts / quotawire.PARTS
        return Quota(
            self.quota.rate_per_s * share * RATE_SAFETY_FACTOR,
            self.quota.burst * share,
        )

    def available(self) -> Quota:
        """Return what was not lent at the last update; may be negative."""
        capacity = self.capacity
        return Quota(
            capacity.rate_per_s - self._lent.rate_per_s,
            capacity.burst - self._lent.burst,
        )

    def advance(self, now_ms: float) -> None:
        """Add the tokens that accrued and drop expired loans."""
        available = self.available()
        elapsed_s = (now_ms - self.updated_at_ms) / 1e3
        self.tokens += max(0.0, available.rate_per_s) * elapsed_s
        self.updated_at_ms = now_ms
        expired = [
            borrower
            for borrower, loan in self.loans.items()
            if loan.expires_at_ms() <= now_ms
        ]
        for borrower in expired:
            del self.loans[borrower]
        self.recompute_lent(now_ms)

    def recompute_lent(self, now_ms: float) -> None:
        """Sum the loans and cap the tokens at the capacity not lent."""
        held = [loan.max_held(now_ms) for loan in self.loans.values()]
        self._lent = Quota(
            sum(limits.rate_per_s for limits in held),
            sum(limits.burst for limits in held),
        )
        self.tokens = max(0.0, min(self.tokens, self.available().burst))

    def reconfigure(self, quota: Quota, parts: int, now_ms: float) -> None:
        """Advance under the old limits, then apply the new ones."""
        self.advance(now_ms)
        self.quota = quota
        self.parts = parts
        self.recompute_lent(now_ms)


class Lender:
    """Lends the parts owned here to borrowers, per organisation."""

    def __init__(self, quota_of: QuotaOf) -> None:
        self._quota_of = quota_of
        self._parts: dict[int, dict[int, _Part]] = {}
        self._buckets: dict[ids.OrganisationId, _LenderBucket] = {}
        self._last_requests: dict[_BorrowerProcess, _LastRequest] = {}

    @property
    def organisation_count(self) -> int:
        """Number of organisations with state here."""
        return len(self._buckets)

    def parts(self, shard: int) -> int:
        """Return how many parts of a shard are owned here."""
        return len(self._parts.get(shard, ()))

    def add_part(
        self, shard: int, part: int, is_first: bool, now_ms: float
    ) -> None:
        """Add an owned part; it starts empty unless nobody owned it before."""
        owned = self._parts.setdefault(shard, {})
        if part in owned:
            return
        owned[part] = _Part(now_ms, is_first)
        self._update_part_count(shard, now_ms)
        if is_first:
            self._add_initial_burst(shard)

    def remove_part(self, shard: int, part: int, now_ms: float) -> None:
        """Remove an owned part; grants made from it expire on their own."""
        if self._parts.get(shard, {}).pop(part, None) is not None:
            self._update_part_count(shard, now_ms)

    def clear(self) -> None:
        """Remove all parts; grants have expired or expire on their own."""
        self._parts.clear()
        self._buckets.clear()

    def refresh_quotas(self, now_ms: float) -> None:
        """Apply a changed configuration to organisations with state."""
        for organisation, bucket in list(self._buckets.items()):
            quota = self._quota_of(organisation) or Quota(0.0, 0.0)
            if quota != bucket.quota:
                bucket.reconfigure(quota, bucket.parts, now_ms)

    def prune(self, now_ms: float) -> None:
        """Drop the state of unused organisations and of old requests."""
        for organisation, bucket in list(self._buckets.items()):
            bucket.advance(now_ms)
            if not bucket.loans and self._is_at_initial_state(
                organisation, bucket, now_ms
            ):
                del self._buckets[organisation]
        for borrower, last in list(self._last_requests.items()):
            if now_ms > last.received_at_ms + REQUEST_RETENTION_MS:
                del self._last_requests[borrower]

    def lend(
        self,
        request: quotawire.GrantRequest,
        epoch: str,
        valid_until_ms: float,
        now_ms: float,
    ) -> quotawire.Grants | None:
        """Answer a request; return None unless it is the newest one."""
        borrower = _BorrowerProcess(request.borrower, request.process)
        last = self._last_requests.get(borrower)
        if last is not None and request.seq <= last.seq:
            return None
        self._last_requests[borrower] = _LastRequest(request.seq, now_ms)
        duration_ms = min(GRANT_DURATION_MS, valid_until_ms - now_ms)
        if duration_ms <= 0:
            return quotawire.Grants('', 0.0, [])
        # Grants of another epoch have expired.
        is_current = request.epoch == epoch
        items = [
            self._lend_item(borrower, item, is_current, duration_ms, now_ms)
            for item in request.items
        ]
        return quotawire.Grants(epoch, duration_ms, items)

    def _lend_item(
        self,
        borrower: _BorrowerProcess,
        item: quotawire.GrantRequestItem,
        is_current: bool,
        duration_ms: float,
        now_ms: float,
    ) -> quotawire.GrantItem:
        bucket = self._get_bucket(item.organisation, now_ms)
        if bucket is None:
            return quotawire.GrantItem(
                item.organisation, 0.0, 0.0, 0.0, MAX_RETRY_AFTER_MS
            )
        bucket.advance(now_ms)
        old = bucket.loans.pop(borrower, None)
        held = _Allocation()
        if is_current:
            expires_at_ms = (
                now_ms
                + min(item.held_for_ms, GRANT_DURATION_MS)
                + EXPIRY_MARGIN_MS
            )
            held = _Allocation(
                item.held_rate_per_s, item.held_burst, expires_at_ms
            )
        loan = _Loan(held, _Allocation(), item.demand_per_s)
        if is_current and old is not None:
            # Tokens come back only with capacity that counted as lent.
            released_burst = old.max_held(now_ms).burst - held.burst
            bucket.tokens += max(
                0.0, min(item.returned_tokens, released_burst)
            )
        bucket.loans[borrower] = loan
        bucket.recompute_lent(now_ms)
        return _grant(bucket, loan, item, duration_ms, now_ms)

    def _get_bucket(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> _LenderBucket | None:
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            return bucket
        quota = self._quota_of(organisation)
        owned = self._parts.get(quotawire.shard_of(organisation))
        if quota is None or not owned:
            return None
        bucket = _LenderBucket(quota, len(owned), now_ms)
        bucket.tokens = self._initial_tokens(quota, owned, now_ms)
        self._buckets[organisation] = bucket
        return bucket

    @staticmethod
    def _initial_tokens(
        quota: Quota, owned: dict[int, _Part], now_ms: float
    ) -> float:
        """Return the tokens of an organisation that has borrowed nothing."""
        share = 1 / quotawire.PARTS
        tokens = 0.0
        for part in owned.values():
            full = quota.burst * share
            elapsed_s = (now_ms - part.owned_since_ms) / 1e3
            accrued = quota.rate_per_s * share * RATE_SAFETY_FACTOR * elapsed_s
            tokens += full if part.is_first else min(full, accrued)
        return tokens

    def _is_at_initial_state(
        self,
        organisation: ids.OrganisationId,
        bucket: _LenderBucket,
        now_ms: float,
    ) -> bool:
        owned = self._parts.get(quotawire.shard_of(organisation), {})
        initial = self._initial_tokens(bucket.quota, owned, now_ms)
        return bucket.tokens >= initial - _EPSILON

    def _update_part_count(self, shard: int, now_ms: float) -> None:
        parts = self.parts(shard)
        for organisation, bucket in self._buckets.items():
            if quotawire.shard_of(organisation) == shard:
                bucket.reconfigure(bucket.quota, parts, now_ms)

    def _add_initial_burst(self, shard: int) -> None:
        for organisation, bucket in self._buckets.items():
            if quotawire.shard_of(organisation) == shard:
                bucket.tokens += bucket.quota.burst / quotawire.PARTS


def _grant(
    bucket: _LenderBucket,
    loan: _Loan,
    item: quotawire.GrantRequestItem,
    duration_ms: float,
    now_ms: float,
) -> quotawire.GrantItem:
    held = loan.held
    available = bucket.available()
    share = _fair_share(bucket, loan)
    rate_per_s = _clamp(
        min(item.wanted_rate_per_s, share * bucket.capacity.rate_per_s),
        held.rate_per_s + available.rate_per_s,
    )
    burst = _clamp(
        min(item.wanted_burst, max(1.0, share * bucket.capacity.burst)),
        held.burst + available.burst,
    )
    added_burst = max(0.0, burst - held.burst)
    # Waiting calls are served in full; beyond them, at most half of the
    # tokens is lent, and the rest is kept for the next borrower.
    tokens = min(
        item.wanted_tokens,
        bucket.tokens,
        max(item.waiting_calls, bucket.tokens / 2),
        added_burst,
    )
    # Capacity that the remaining tokens occupy is not lent.
    added_burst = min(
        added_burst, max(tokens, available.burst - (bucket.tokens - tokens))
    )
    burst = min(burst, held.burst + added_burst)
    loan.granted = _Allocation(
        rate_per_s, burst, now_ms + duration_ms + EXPIRY_MARGIN_MS
    )
    bucket.tokens -= tokens
    bucket.recompute_lent(now_ms)
    retry_after_ms = 0.0
    is_short = max(item.waiting_calls, item.wanted_tokens) > tokens + _EPSILON
    if is_short or rate_per_s < item.wanted_rate_per_s - _EPSILON:
        retry_after_ms = _retry_after_ms(bucket)
    return quotawire.GrantItem(
        item.organisation, rate_per_s, burst, tokens, retry_after_ms
    )


def _fair_share(bucket: _LenderBucket, loan: _Loan) -> float:
    """Return the borrower's share of the capacity, in proportion to demand.

    It is 1.0 while the demand of all borrowers is within the capacity.
    """
    demand = sum(other.demand_per_s for other in bucket.loans.values())
    if demand <= bucket.capacity.rate_per_s:
        return 1.0
    return loan.demand_per_s / demand


def _retry_after_ms(bucket: _LenderBucket) -> float:
    """Return how long one token takes to accrue, at most the maximum."""
    rate_per_s = bucket.capacity.rate_per_s
    if rate_per_s <= 0:
        return MAX_RETRY_AFTER_MS
    return min(MAX_RETRY_AFTER_MS, 1e3 / rate_per_s)


def _clamp(value: float, high: float) -> float:
    return max(0.0, min(value, high))


def lender(quota_of: QuotaOf) -> Lender:
    """Create a lender without parts."""
    return Lender(quota_of)
