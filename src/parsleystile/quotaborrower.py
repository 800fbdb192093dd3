"""Borrower side of quotas: spends tokens from short-lived grants.

Each organisation has a token bucket here. A refill round asks its lenders
one after another until the bucket holds enough.
"""

import random
import typing

from parsleystile import errors
from parsleystile import ids
from parsleystile import quotabucket
from parsleystile import quotalender
from parsleystile import quotarequests
from parsleystile import quotawire

# All grants are renewed after this time.
RENEWAL_PERIOD_MS = 1_000.0
# An organisation that is unused for this long returns everything.
IDLE_TIMEOUT_MS = 400.0
# Period of the scan over all organisations; those with waiting calls are
# updated at every tick.
SCAN_PERIOD_MS = 100.0
# How long a call may wait for a grant: the default, or at a low rate the
# time that one token takes to accrue, up to the maximum.
DEFAULT_WAIT_MS = 300.0
MAX_WAIT_MS = 1_000.0
MAX_WAITING_CALLS = 256
# Minimum time between refill rounds of one organisation.
MIN_ROUND_INTERVAL_MS = 5.0
# The same for rounds that only prefetch.
MIN_PREFETCH_INTERVAL_MS = 100.0
# While calls wait, the next lender is asked after this time even if the
# previous one has not answered.
HEDGE_DELAY_MS = 30.0
# Bounds of the time until the next round after one that found too little.
MIN_RETRY_MS = 20.0
MAX_RETRY_MS = 200.0
MAX_RETRY_WITHIN_RATE_MS = 40.0
RETRY_JITTER = 0.5
# A round ends once this fraction of the wanted rate is held.
_SUFFICIENT_RATE_RATIO = 0.95
# Demand up to this multiple of the rate counts as within the rate, since
# the estimate is noisy.
_WITHIN_RATE_RATIO = 1.5
ZERO_QUOTA = quotalender.Quota(0.0, 0.0)

LendersOf = typing.Callable[[int], list[ids.NodeId]]


class Borrower:
    """Decides on acquisitions locally and borrows ahead of demand."""

    def __init__(
        self,
        node_id: ids.NodeId,
        quota_of: quotalender.QuotaOf,
        lenders_of: LendersOf,
        rng: random.Random,
        on_requests_due: typing.Callable[[], None],
    ) -> None:
        self._quota_of = quota_of
        self._lenders_of = lenders_of
        self._rng = rng
        self._on_requests_due = on_requests_due
        self._buckets: dict[ids.OrganisationId, quotabucket.TokenBucket] = {}
        self._requests = quotarequests.lender_requests(
            node_id, f'{rng.getrandbits(64):016x}'
        )
        self._refills_due: dict[ids.OrganisationId, None] = {}
        self._waiting_buckets: dict[
            ids.OrganisationId, quotabucket.TokenBucket
        ] = {}
        self._next_scan_ms = 0.0
        self._is_stopping = False

    @property
    def organisation_count(self) -> int:
        """Number of organisations with state here."""
        return len(self._buckets)

    def try_acquire(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> errors.Refusal | None:
        """Acquire one token without waiting.

        Args:
            organisation: Organisation that the call is charged to.
            now_ms: Current time; must have been read just before.

        Returns:
            None if the call may run, else the refusal.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return self._refuse_first_attempt(organisation, now_ms)
        bucket.attempts += 1
        if now_ms >= bucket.next_expiry_ms:
            bucket.advance(now_ms)
        tokens = (
            bucket.tokens
            + (now_ms - bucket.updated_at_ms) * bucket.rate_per_ms
        )
        if tokens > bucket.burst:
            tokens = bucket.burst
        bucket.updated_at_ms = now_ms
        if tokens >= 1.0 and not bucket.waiting:
            bucket.tokens = tokens = tokens - 1.0
            if tokens < bucket.low_watermark:
                self._prefetch(bucket, now_ms)
            return None
        bucket.tokens = tokens
        self._request_refill(bucket, now_ms)
        return self._refusal(bucket, now_ms)

    def acquire(
        self,
        organisation: ids.OrganisationId,
        now_ms: float,
        on_decision: quotabucket.OnDecision,
    ) -> None:
        """Acquire one token, waiting briefly for a grant if there is none.

        ``on_decision`` is called exactly once, immediately if possible.
        """
        refusal = self.try_acquire(organisation, now_ms)
        bucket = self._buckets.get(organisation)
        if refusal is None or bucket is None or not self._may_wait(bucket):
            on_decision(refusal)
            return
        deadline_ms = now_ms + self._max_wait_ms(organisation)
        bucket.waiting.append(quotabucket.Waiter(deadline_ms, on_decision))
        self._waiting_buckets[organisation] = bucket

    @property
    def has_waiting_calls(self) -> bool:
        """Whether calls are waiting here for a grant."""
        return bool(self._waiting_buckets)

    def tick(self, now_ms: float) -> None:
        """Start due refill rounds and refuse calls that waited too long."""
        for organisation in self._requests.expire(now_ms):
            self._ask_next_lender(organisation, now_ms)
        if now_ms >= self._next_scan_ms:
            self._next_scan_ms = now_ms + SCAN_PERIOD_MS
            self._waiting_buckets.clear()
            for bucket in list(self._buckets.values()):
                self._tick_bucket(bucket, now_ms)
                if bucket.waiting:
                    self._waiting_buckets[bucket.organisation] = bucket
            return
        for bucket in list(self._waiting_buckets.values()):
            bucket.advance(now_ms)
            self._serve_waiting(bucket, now_ms)
            self._hedge(bucket, now_ms)

    def due_requests(
        self, now_ms: float
    ) -> list[quotarequests.SendGrantRequest]:
        """Return the grant requests to send now."""
        for organisation in list(self._refills_due):
            bucket = self._buckets.get(organisation)
            if bucket is None or bucket.remaining_lenders is not None:
                del self._refills_due[organisation]
            elif self._may_start_round(bucket, now_ms):
                del self._refills_due[organisation]
                self._start_round(bucket, now_ms)
        return self._requests.due(
            lambda name, lender: self._request_item(name, lender, now_ms),
            now_ms,
        )

    def on_grants(
        self,
        lender: ids.NodeId,
        seq: int,
        grants: quotawire.Grants,
        now_ms: float,
    ) -> None:
        """Apply a lender's reply; a late one is ignored."""
        if not grants.epoch:
            self.on_failed(lender, seq, now_ms)
            return
        completed = self._requests.complete(lender, seq, grants.epoch)
        if completed is None:
            return
        expires_at_ms = completed.sent_at_ms + grants.duration_ms
        for item in grants.items:
            bucket = self._buckets.get(item.organisation)
            if bucket is not None:
                self._apply_grant(bucket, lender, item, expires_at_ms, now_ms)
        for organisation in completed.organisations:
            self._ask_next_lender(organisation, now_ms)

    def on_failed(self, lender: ids.NodeId, seq: int, now_ms: float) -> None:
        """Handle a request that was not answered."""
        for organisation in self._requests.fail(lender, seq, now_ms):
            self._ask_next_lender(organisation, now_ms)

    def stop(self, now_ms: float) -> None:
        """Refuse the waiting calls and start returning all grants.

        The requests that are due afterwards return the grants.
        """
        self._is_stopping = True
        for bucket in list(self._buckets.values()):
            self._refuse_waiting(bucket, now_ms)
            if bucket.remaining_lenders is None:
                self._start_round(bucket, now_ms)

    def _refuse_first_attempt(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> errors.Refusal | None:
        if organisation == ids.OPEN_ORGANISATION:
            return None
        if self._quota_of(organisation) is None:
            return errors.not_run(
                errors.Reason.RATE_LIMITED,
                f'organisation {organisation!r} has no quota',
            )
        bucket = quotabucket.TokenBucket(organisation, now_ms)
        bucket.attempts = 1
        bucket.demand_sampled_at_ms = now_ms - quotabucket.DEMAND_SMOOTHING_MS
        bucket.round_started_at_ms = now_ms - RENEWAL_PERIOD_MS
        self._buckets[organisation] = bucket
        self._request_refill(bucket, now_ms)
        return self._refusal(bucket, now_ms)

    def _refusal(
        self, bucket: quotabucket.TokenBucket, now_ms: float
    ) -> errors.Refusal:
        quota = self._quota_of(bucket.organisation)
        rate_per_s = quota.rate_per_s if quota else 0.0
        after_ms = max(bucket.retry_at_ms - now_ms, 1e3 / max(rate_per_s, 1.0))
        jitter = 1.0 + RETRY_JITTER * self._rng.random()
        return errors.not_run(
            errors.Reason.RATE_LIMITED,
            'rate and burst are used up',
            int(after_ms * jitter) + 1,
        )

    def _request_refill(
        self, bucket: quotabucket.TokenBucket, now_ms: float
    ) -> None:
        bucket.last_used_at_ms = now_ms
        if (
            bucket.remaining_lenders is not None
            or bucket.organisation in self._refills_due
        ):
            return
        self._refills_due[bucket.organisation] = None
        if self._may_start_round(bucket, now_ms):
            self._on_requests_due()

    def _max_wait_ms(self, organisation: ids.OrganisationId) -> float:
        quota = self._quota_of(organisation) or ZERO_QUOTA
        token_ms = 1e3 / max(quota.rate_per_s, 1.0)
        return min(max(token_ms, DEFAULT_WAIT_MS), MAX_WAIT_MS)

    def _prefetch(
        self, bucket: quotabucket.TokenBucket, now_ms: float
    ) -> None:
        if now_ms >= bucket.round_started_at_ms + MIN_PREFETCH_INTERVAL_MS:
            self._request_refill(bucket, now_ms)

    @staticmethod
    def _may_wait(bucket: quotabucket.TokenBucket) -> bool:
        # An organisation far above its rate is refused immediately.
        return len(bucket.waiting) < MAX_WAITING_CALLS and (
            len(bucket.waiting) <= 2 + bucket.burst or not bucket.retry_at_ms
        )

    @staticmethod
    def _may_start_round(
        bucket: quotabucket.TokenBucket, now_ms: float
    ) -> bool:
        earliest_ms = max(
            bucket.round_started_at_ms + MIN_ROUND_INTERVAL_MS,
            bucket.retry_at_ms,
        )
        return now_ms >= earliest_ms

    def _tick_bucket(
        self, bucket: quotabucket.TokenBucket, now_ms: float
    ) -> None:
        bucket.advance(now_ms)
        self._serve_waiting(bucket, now_ms)
        if bucket.attempts != bucket.attempts_seen:
            bucket.attempts_seen = bucket.attempts
            bucket.last_used_at_ms = now_ms
        if bucket.remaining_lenders is not None:
            self._hedge(bucket, now_ms)
            return
        is_idle = self._is_idle(bucket, now_ms)
        if is_idle and not bucket.grants:
            del self._buckets[bucket.organisation]
            return
        interval_ms = IDLE_TIMEOUT_MS if is_idle else RENEWAL_PERIOD_MS
        if now_ms >= bucket.round_started_at_ms + interval_ms:
            self._start_round(bucket, now_ms)

    def _hedge(self, bucket: quotabucket.TokenBucket, now_ms: float) -> None:
        if bucket.remaining_lenders is None or not bucket.waiting:
            return
        if now_ms >= bucket.last_request_at_ms + HEDGE_DELAY_MS:
            self._ask_next_lender(bucket.organisation, now_ms)

    def _start_round(
        self, bucket: quotabucket.TokenBucket, now_ms: float
    ) -> None:
        shard = quotawire.shard_of(bucket.organisation)
        lenders = list(self._lenders_of(shard))
        others = [h for h in bucket.grants if h not in lenders]
        bucket.remaining_lenders = lenders + others
        bucket.round_started_at_ms = now_ms
        bucket.retry_at_ms = 0.0
        bucket.retry_after_ms = MAX_RETRY_MS
        bucket.sample_demand(now_ms)
        self._ask_next_lender(bucket.organisation, now_ms)

    def _ask_next_lender(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> None:
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.remaining_lenders is None:
            return
        while bucket.remaining_lenders:
            lender = bucket.remaining_lenders.pop(0)
            if self._requests.is_backing_off(lender, now_ms):
                continue
            if lender in bucket.grants or self._needs_more(bucket, now_ms):
                bucket.last_request_at_ms = now_ms
                if self._requests.enqueue(lender, organisation):
                    self._on_requests_due()
                return
        bucket.remaining_lenders = None
        if self._needs_more(bucket, now_ms):
            bucket.retry_at_ms = now_ms + self._retry_after_ms(bucket)
        if bucket.waiting:
            self._request_refill(bucket, now_ms)

    def _retry_after_ms(self, bucket: quotabucket.TokenBucket) -> float:
        # Within its rate, an organisation lacks tokens only until those held
        # by other borrowers have been returned to the lenders.
        quota = self._quota_of(bucket.organisation) or ZERO_QUOTA
        if bucket.demand_per_s <= _WITHIN_RATE_RATIO * quota.rate_per_s:
            max_retry_ms = MAX_RETRY_WITHIN_RATE_MS
        else:
            max_retry_ms = MAX_RETRY_MS
        return min(max(bucket.retry_after_ms, MIN_RETRY_MS), max_retry_ms)

    def _needs_more(
        self, bucket: quotabucket.TokenBucket, now_ms: float
    ) -> bool:
        if self._is_idle(bucket, now_ms):
            return False
        bucket.advance(now_ms)
        quota = self._quota_of(bucket.organisation) or ZERO_QUOTA
        if (
            bucket.rate_per_ms * 1e3
            < _SUFFICIENT_RATE_RATIO * bucket.wanted_rate_per_s(quota)
        ):
            return True
        return bucket.desired_tokens(quota) > bucket.tokens

    def _is_idle(self, bucket: quotabucket.TokenBucket, now_ms: float) -> bool:
        if self._is_stopping:
            return True
        return (
            now_ms >= bucket.last_used_at_ms + IDLE_TIMEOUT_MS
            and not bucket.waiting
        )

    def _request_item(
        self,
        organisation: ids.OrganisationId,
        lender: ids.NodeId,
        now_ms: float,
    ) -> quotawire.GrantRequestItem | None:
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return None
        bucket.advance(now_ms)
        quota = self._quota_of(organisation)
        if quota is None or self._is_idle(bucket, now_ms):
            quota = ZERO_QUOTA
        return bucket.request_item(lender, quota, now_ms)

    def _apply_grant(
        self,
        bucket: quotabucket.TokenBucket,
        lender: ids.NodeId,
        item: quotawire.GrantItem,
        expires_at_ms: float,
        now_ms: float,
    ) -> None:
        bucket.advance(now_ms)
        if item.rate_per_s > 0 or item.burst > 0:
            bucket.grants[lender] = quotabucket.HeldGrant(
                item.rate_per_s,
                item.burst,
                expires_at_ms,
                self._requests.epoch(lender),
            )
        else:
            bucket.grants.pop(lender, None)
        bucket.tokens += item.tokens
        bucket.recompute_totals()
        # Drops a grant that has expired by the time it arrives.
        bucket.advance(now_ms)
        if item.retry_after_ms:
            min_retry_after_ms = min(
                bucket.retry_after_ms, item.retry_after_ms
            )
            bucket.retry_after_ms = min_retry_after_ms
        self._serve_waiting(bucket, now_ms)

    def _serve_waiting(
        self, bucket: quotabucket.TokenBucket, now_ms: float
    ) -> None:
        while bucket.waiting and bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            bucket.waiting.popleft().on_decision(None)
        while bucket.waiting and now_ms >= bucket.waiting[0].deadline_ms:
            refusal = self._refusal(bucket, now_ms)
            bucket.waiting.popleft().on_decision(refusal)

    def _refuse_waiting(
        self, bucket: quotabucket.TokenBucket, now_ms: float
    ) -> None:
        while bucket.waiting:
            refusal = self._refusal(bucket, now_ms)
            bucket.waiting.popleft().on_decision(refusal)


def borrower(
    node_id: ids.NodeId,
    quota_of: quotalender.QuotaOf,
    lenders_of: LendersOf,
    rng: random.Random,
    on_requests_due: typing.Callable[[], None],
) -> Borrower:
    """Create a borrower without grants.

    Args:
        node_id: This node.
        quota_of: Returns an organisation's current quota; None if it has
            none.
        lenders_of: Returns the owners of a shard's parts in the order in
            which to ask them.
        rng: Source of jitter.
        on_requests_due: Called when ``due_requests`` has something to send.
    """
    return Borrower(node_id, quota_of, lenders_of, rng, on_requests_due)
