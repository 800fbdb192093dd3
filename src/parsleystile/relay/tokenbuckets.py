"""Fleet-wide rate limits as token buckets divided among the nodes.

An organisation's rate and burst are divided evenly among its holders: all
nodes, or a few of them if the burst is small, so that each holder's bucket
holds whole tokens. A node that runs short requests tokens from other holders.
Tokens leave the sender's bucket before they are sent, so that the sum of all
buckets never exceeds the organisation's burst, even during a network
partition. A lost message loses tokens but never duplicates them.

Transfers are needed because the callers of one organisation may be spread
unevenly over many nodes, each of which has a small share of the rate.
"""

import dataclasses
import random
import zlib

from parsleystile import ids
from parsleystile.relay import policy as policies

# A node keeps the tokens for its own expected demand over this time and
# transfers only from the rest.
RESERVE_MS = 500.0
# Holders are limited in number so that each has at least this capacity; a
# smaller bucket would rarely hold a whole token.
MIN_HOLDER_CAPACITY = 3.0
# Part of the spare tokens that one request may take, so that a single request
# does not empty a node.
MAX_TRANSFER_RATIO = 0.5
# A request covers the expected demand of this time.
PREFETCH_MS = 300.0
MIN_TRANSFER = 1.0
# Tokens are requested early if the bucket covers less than the expected
# demand of this time.
LOW_WATERMARK_MS = 150.0
# Half-life of the exponentially weighted demand estimate.
DEMAND_HALF_LIFE_MS = 1_000.0
# New buckets start nearly empty: a restarted node may have spent its tokens
# just before.
INITIAL_FILL_RATIO = 0.1
# Upper bound of the Retry-After given to callers, before jitter.
MAX_RETRY_AFTER_MS = 5_000.0
# Pause after a request that brought no tokens.
TRANSFER_BACKOFF_MS = 100.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The bucket of one organisation at this node.

    Attributes:
        rate_per_ms: Refill rate, this node's share; 0 if it is not a holder.
        fair_rate_per_ms: Share of each node if all were holders.
        updated_ms: Time of the last refill and decay.
    """

    rate_per_ms: float
    fair_rate_per_ms: float
    capacity: float
    tokens: float
    updated_ms: float
    demand_per_ms: float = 0.0
    backoff_until_ms: float = 0.0
    is_requesting: bool = False

    def advance(self, now_ms: float) -> None:
        passed_ms = now_ms - self.updated_ms
        if passed_ms <= 0.0:
            return
        self.updated_ms = now_ms
        if self.tokens < self.capacity:
            filled = self.tokens + passed_ms * self.rate_per_ms
            self.tokens = min(self.capacity, filled)
        self.demand_per_ms *= 0.5 ** (passed_ms / DEMAND_HALF_LIFE_MS)

    def count_demand(self) -> None:
        # ln 2 / half-life: the estimate converges to a steady rate.
        self.demand_per_ms += 0.693 / DEMAND_HALF_LIFE_MS


class TokenBuckets:
    """The token buckets of one node, by organisation."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._buckets: dict[ids.OrganisationId, _Bucket] = {}
        self._holders: dict[ids.OrganisationId, list[ids.NodeId]] = {}

    def configure(
        self,
        organisations: dict[ids.OrganisationId, policies.Organisation],
        nodes: list[ids.NodeId],
        own_node_id: ids.NodeId,
        now_ms: float,
    ) -> None:
        """Apply new rate limits or a new list of nodes."""
        self._holders.clear()
        for organisation in list(self._buckets):
            if organisation not in organisations:
                del self._buckets[organisation]
        for organisation, limits in organisations.items():
            if limits.rate_per_s <= 0.0:
                self._buckets.pop(organisation, None)
                continue
            if not nodes and organisation in self._buckets:
                # The last nodes are leaving; each keeps the share that it had.
                continue
            holders = select_holders(limits, nodes)
            self._holders[organisation] = holders
            share = 1.0 / len(holders) if own_node_id in holders else 0.0
            rate_per_ms = share * limits.rate_per_s / 1e3
            fair_rate_per_ms = limits.rate_per_s / 1e3 / max(1, len(nodes))
            capacity = share * max(limits.burst, 1.0)
            bucket = self._buckets.get(organisation)
            if bucket is None:
                self._buckets[organisation] = _Bucket(
                    rate_per_ms,
                    fair_rate_per_ms,
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
            bucket.capacity = capacity

    def holders(self, organisation: ids.OrganisationId) -> list[ids.NodeId]:
        """Return the nodes whose buckets refill for an organisation."""
        return self._holders.get(organisation, [])

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

    def refund(self, organisation: ids.OrganisationId) -> None:
        """Return the token of a call that did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None and bucket.tokens < bucket.capacity:
            bucket.tokens += 1.0

    def start_request(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> float:
        """Return how many tokens to request from another node; 0 for none.

        If the result is positive, a request is in progress: the caller sends
        it and calls ``finish_request`` with its result.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.is_requesting:
            return 0.0
        if now_ms < bucket.backoff_until_ms:
            return 0.0
        if bucket.tokens >= 1.0 + bucket.demand_per_ms * LOW_WATERMARK_MS:
            return 0.0
        bucket.is_requesting = True
        return max(MIN_TRANSFER, bucket.demand_per_ms * PREFETCH_MS)

    def finish_request(
        self, organisation: ids.OrganisationId, tokens: float, now_ms: float
    ) -> None:
        """Add the tokens that a request brought; 0 if it failed."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.is_requesting = False
        bucket.tokens += tokens
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

        The wait grows with the demand beyond the rate: a caller that returns
        too early is only refused again.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0
        bucket.advance(now_ms)
        ahead = max(1.0, bucket.demand_per_ms / bucket.fair_rate_per_ms)
        wait_ms = min(MAX_RETRY_AFTER_MS, ahead / bucket.fair_rate_per_ms)
        return int(wait_ms * self._rng.uniform(0.75, 1.25)) + 1

    def tokens(self, organisation: ids.OrganisationId) -> float:
        """Return the tokens in the bucket as of its last update."""
        bucket = self._buckets.get(organisation)
        return 0.0 if bucket is None else bucket.tokens


def select_holders(
    limits: policies.Organisation, nodes: list[ids.NodeId]
) -> list[ids.NodeId]:
    """Return the nodes that divide an organisation's rate.

    All nodes with the same list select the same holders.
    """
    count = max(1, min(len(nodes), int(limits.burst / MIN_HOLDER_CAPACITY)))
    if count == len(nodes):
        return nodes
    name = limits.organisation_id
    return sorted(
        nodes, key=lambda node: zlib.crc32(f'{name}/{node}'.encode())
    )[:count]


def _take_one(bucket: _Bucket) -> bool:
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


def token_buckets(rng: random.Random) -> TokenBuckets:
    """Create the buckets of a node without any rate limits."""
    return TokenBuckets(rng)
