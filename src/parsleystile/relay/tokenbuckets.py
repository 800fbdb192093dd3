"""Fleet-wide rate limits as token buckets divided among the nodes.

An organisation's rate and burst are divided evenly among its holders: all
nodes, or a few of them if the burst is small, so that each holder's bucket
holds whole tokens. A node that runs short requests tokens from other holders.
Tokens leave the sender's bucket before they are sent, so that the sum of all
buckets never exceeds the organisation's burst, even during a network
partition. A lost message loses tokens but never duplicates them.

Transfers are needed because the callers of one organisation may be spread
unevenly over many nodes, each of which has a small share of the rate. Tokens
that a node received beyond its own share are dropped unless it uses them soon,
so that the sum of all buckets stays near the burst when a load ends.

The operators state how far the admitted rate may be off. A part of that makes
up for tokens that lie at one node while another one needs them, so that
organisations within their rate are served.
"""

import dataclasses
import random

from parsleystile import ids
from parsleystile.relay import holderring
from parsleystile.relay import policy as policies

# A node keeps the tokens for its own expected demand over this time and
# transfers only from the rest.
RESERVE_MS = 500.0
# Part of the spare tokens that one request may take, so that a single request
# does not empty a node.
MAX_TRANSFER_RATIO = 0.5
# A request covers the expected demand of this time.
PREFETCH_MS = 300.0
MIN_TRANSFER = 1.0
# Tokens are requested early if the bucket covers less than the expected
# demand of this time.
LOW_WATERMARK_MS = 150.0
# Tokens beyond a bucket's capacity are dropped if none arrived for this time.
EXCESS_LIFETIME_MS = 300.0
# Parts of the operators' tolerance that are used; the rest is for nodes that
# disagree about the holders or the rate.
TOLERANCE_RATIO = 0.5
# Part of the burst that is given out evenly over the window in which it may be
# used once, so that an organisation may use it in each window.
BURST_PART_AS_RATE = 0.5
# Half-life of the exponentially weighted demand estimate.
DEMAND_HALF_LIFE_MS = 1_000.0
# New buckets start nearly empty: a restarted node may have spent its tokens
# just before.
INITIAL_FILL_RATIO = 0.1
# Bounds of the Retry-After given to callers, before jitter.
MIN_RETRY_AFTER_MS = 300.0
MAX_RETRY_AFTER_MS = 5_000.0
# Pause after a request that brought no tokens.
TRANSFER_BACKOFF_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """How far the calls admitted in a window may exceed rate and burst.

    Attributes:
        ratio: Part of rate and burst.
        calls: Calls on top of that.
        window_ms: Length of any window in which an organisation may send its
            rate and one burst; 0 if the burst fills up at the rate only.
    """

    ratio: float = 0.0
    calls: float = 0.0
    window_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The bucket of one organisation at this node.

    Attributes:
        rate_per_ms: Refill rate, this node's share; 0 if it is not a holder.
        fair_rate_per_ms: Share of each node if all were holders.
        fleet_rate_per_ms: Rate of all nodes together.
        updated_ms: Time of the last refill and decay.
    """

    rate_per_ms: float
    fair_rate_per_ms: float
    fleet_rate_per_ms: float
    capacity: float
    tokens: float
    updated_ms: float
    demand_per_ms: float = 0.0
    backoff_until_ms: float = 0.0
    is_requesting: bool = False
    excess_until_ms: float = 0.0

    def receive(self, tokens: float, now_ms: float) -> None:
        """Add tokens of another node, or one that was not used."""
        self.advance(now_ms)
        self.tokens += tokens
        self.excess_until_ms = now_ms + EXCESS_LIFETIME_MS

    def advance(self, now_ms: float) -> None:
        passed_ms = now_ms - self.updated_ms
        if passed_ms <= 0.0:
            return
        self.updated_ms = now_ms
        if self.tokens < self.capacity:
            filled = self.tokens + passed_ms * self.rate_per_ms
            self.tokens = min(self.capacity, filled)
        elif now_ms >= self.excess_until_ms:
            self.tokens = self.capacity
        self.demand_per_ms *= 0.5 ** (passed_ms / DEMAND_HALF_LIFE_MS)

    def count_demand(self) -> None:
        # ln 2 / half-life: the estimate converges to a steady rate.
        self.demand_per_ms += 0.693 / DEMAND_HALF_LIFE_MS


class TokenBuckets:
    """The token buckets of one node, by organisation."""

    def __init__(self, rng: random.Random, tolerance: Tolerance) -> None:
        self._rng = rng
        self._tolerance = tolerance
        self._buckets: dict[ids.OrganisationId, _Bucket] = {}
        self._ring = holderring.holder_ring({})
        self._holder_counts: dict[ids.OrganisationId, int] = {}

    def configure(
        self,
        organisations: dict[ids.OrganisationId, policies.Organisation],
        ring: holderring.HolderRing,
        own_node_id: ids.NodeId,
        now_ms: float,
    ) -> None:
        """Apply new rate limits or a new ring of nodes."""
        self._holder_counts.clear()
        self._ring = ring
        for organisation in list(self._buckets):
            if organisation not in organisations:
                del self._buckets[organisation]
        for organisation, limits in organisations.items():
            if limits.rate_per_s <= 0.0:
                self._buckets.pop(organisation, None)
                continue
            if not len(ring) and organisation in self._buckets:
                # The last nodes are leaving; each keeps the share that it had.
                continue
            rate_per_s, burst = self._with_tolerance(limits)
            wanted = ring.wanted_holders(burst)
            self._holder_counts[organisation] = wanted
            share = ring.share(organisation, wanted, own_node_id)
            rate_per_ms = share * rate_per_s / 1e3
            fleet_rate_per_ms = rate_per_s / 1e3
            fair_rate_per_ms = fleet_rate_per_ms / max(1, len(ring))
            capacity = share * max(burst, 1.0)
            bucket = self._buckets.get(organisation)
            if bucket is None:
                self._buckets[organisation] = _Bucket(
                    rate_per_ms,
                    fair_rate_per_ms,
                    fleet_rate_per_ms,
                    capacity,
                    INITIAL_FILL_RATIO * capacity,
                    now_ms,
                )
                continue
            bucket.advance(now_ms)
            if capacity < bucket.capacity:
                bucket.tokens = min(bucket.tokens, capacity)
            bucket.rate_per_ms = rate_per_ms
            bucket.fair_rate_per_ms = fair_rate_per_ms
            bucket.fleet_rate_per_ms = fleet_rate_per_ms
            bucket.capacity = capacity

    def _with_tolerance(
        self, limits: policies.Organisation
    ) -> tuple[float, float]:
        """Return the rate a second and the burst that are divided."""
        tolerance = self._tolerance
        factor = 1.0 + TOLERANCE_RATIO * tolerance.ratio
        rate_per_s = limits.rate_per_s
        burst = limits.burst
        if tolerance.window_ms:
            moved = BURST_PART_AS_RATE * burst
            rate_per_s += moved / (tolerance.window_ms / 1e3)
            burst -= moved
        burst += TOLERANCE_RATIO * tolerance.calls
        return factor * rate_per_s, factor * burst

    def holders(self, organisation: ids.OrganisationId) -> list[ids.NodeId]:
        """Return the nodes whose buckets refill for an organisation."""
        count = self._holder_counts.get(organisation, 0)
        return self._ring.holders(organisation, count)

    def is_limited(self, organisation: ids.OrganisationId) -> bool:
        """Whether an organisation has a rate limit."""
        return organisation in self._buckets

    def try_take(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> bool:
        """Take a token for a new call; False if the bucket is empty."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        bucket.advance(now_ms)
        bucket.count_demand()
        return _take_one(bucket)

    def retry_take(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> bool:
        """Take a token for a call whose demand is already counted."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        bucket.advance(now_ms)
        return _take_one(bucket)

    def refund(self, organisation: ids.OrganisationId, now_ms: float) -> None:
        """Return the token of a call that did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.receive(1.0, now_ms)

    def start_request(
        self, organisation: ids.OrganisationId, waiting: int, now_ms: float
    ) -> float:
        """Return how many tokens to request from another node; 0 for none.

        If the result is positive, a request is in progress: the caller sends
        it and calls ``finish_request`` with its result.

        Args:
            organisation: Organisation of the tokens.
            waiting: Calls that wait for a token.
            now_ms: Current time.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.is_requesting:
            return 0.0
        if now_ms < bucket.backoff_until_ms:
            return 0.0
        expected = bucket.demand_per_ms * PREFETCH_MS
        if expected < MIN_TRANSFER:
            # A token for the next call would mostly be dropped before it.
            expected = 0.0
        is_low = expected and bucket.tokens < (
            1.0 + bucket.demand_per_ms * LOW_WATERMARK_MS
        )
        if not waiting and not is_low:
            return 0.0
        bucket.is_requesting = True
        return max(MIN_TRANSFER, waiting + expected)

    def finish_request(
        self, organisation: ids.OrganisationId, tokens: float, now_ms: float
    ) -> None:
        """Add the tokens that a request brought; 0 if it failed."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.is_requesting = False
        if tokens > 0.0:
            bucket.receive(tokens, now_ms)
        if tokens < MIN_TRANSFER:
            bucket.backoff_until_ms = now_ms + TRANSFER_BACKOFF_MS

    def transfer_out(
        self, organisation: ids.OrganisationId, wanted: float, now_ms: float
    ) -> float:
        """Remove tokens for another node; return how many, 0 if none."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        bucket.advance(now_ms)
        spare = bucket.tokens - bucket.demand_per_ms * RESERVE_MS
        amount = min(wanted, MAX_TRANSFER_RATIO * spare)
        if amount < MIN_TRANSFER:
            # A single spare token is transferred as a whole.
            amount = MIN_TRANSFER if spare >= MIN_TRANSFER else 0.0
        bucket.tokens -= amount
        return amount

    def retry_after_ms(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> int:
        """Return a Retry-After with jitter for a caller over the rate.

        A token is free somewhere after the interval of the fleet's rate. The
        wait grows with the demand beyond the rate: a caller that returns too
        early is only refused again.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0
        bucket.advance(now_ms)
        ahead = max(1.0, bucket.demand_per_ms / bucket.fair_rate_per_ms)
        interval_ms = max(MIN_RETRY_AFTER_MS, 1.0 / bucket.fleet_rate_per_ms)
        wait_ms = min(MAX_RETRY_AFTER_MS, ahead * interval_ms)
        return int(wait_ms * self._rng.uniform(0.75, 1.25)) + 1

    def tokens(self, organisation: ids.OrganisationId) -> float:
        """Return the tokens in the bucket as of its last update."""
        bucket = self._buckets.get(organisation)
        return 0.0 if bucket is None else bucket.tokens


def _take_one(bucket: _Bucket) -> bool:
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


def token_buckets(
    rng: random.Random, tolerance: Tolerance | None = None
) -> TokenBuckets:
    """Create the buckets of a node without any rate limits."""
    return TokenBuckets(rng, tolerance or Tolerance())
