"""Fleet-wide rates as token buckets divided among the nodes.

An organisation's rate and burst are divided evenly among its holders: all
nodes, or a few of them where the burst is small, so that each holder's part
comes to whole tokens. A node that runs short asks others to hand tokens over.
A token leaves the giver's bucket before it is sent, so that the sum of all
buckets never exceeds the organisation's burst, also while nodes are cut off
from each other. A lost message loses tokens; it never doubles them.

The load that this answers: callers of one organisation that arrive unevenly
at many nodes, each with a small part of the rate.
"""

import dataclasses
import random
import zlib

from parsleystile import ids
from parsleystile.relay import policy as policies

# A node keeps what it expects to spend in so long, and gives from the rest.
KEEP_MS = 500.0
# A holder's part of the burst is no smaller, or tokens never get whole.
LEAST_DEPTH = 3.0
# A share of what is spare goes with one ask, so that no ask empties a node.
GIVE_SHARE = 0.5
# Tokens for the demand of so long are asked for at once.
ASK_AHEAD_MS = 300.0
LEAST_ASK = 1.0
# Below this many milliseconds of demand in stock, more is asked for early.
LOW_WATER_MS = 150.0
# Half-life of the demand estimate.
DEMAND_MEMORY_MS = 1_000.0
# A node that restarts may have spent its bucket just before.
START_SHARE = 0.1
# Callers are never told to stay away for longer.
LONGEST_WAIT_MS = 5_000.0
# After an ask that brought nothing, none is sent for so long.
DRY_MS = 100.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """One organisation at one node.

    Attributes:
        rate_per_ms: This node's part of the rate; 0 unless it is a holder.
        even_per_ms: What each node would get if all were holders.
    """

    rate_per_ms: float
    even_per_ms: float
    depth: float
    tokens: float
    at_ms: float
    demand_per_ms: float = 0.0
    dry_until_ms: float = 0.0
    is_asking: bool = False

    def settle(self, now_ms: float) -> None:
        passed_ms = now_ms - self.at_ms
        if passed_ms <= 0.0:
            return
        self.at_ms = now_ms
        if self.tokens < self.depth:
            filled = self.tokens + passed_ms * self.rate_per_ms
            self.tokens = min(self.depth, filled)
        self.demand_per_ms *= 0.5 ** (passed_ms / DEMAND_MEMORY_MS)

    def note_demand(self) -> None:
        # With this weight the estimate of a steady rate converges to it.
        self.demand_per_ms += 0.693 / DEMAND_MEMORY_MS


class TokenBuckets:
    """The buckets of one node."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._buckets: dict[ids.OrganisationId, _Bucket] = {}
        self._holders: dict[ids.OrganisationId, list[ids.NodeId]] = {}

    def configure(
        self,
        organisations: dict[ids.OrganisationId, policies.Organisation],
        nodes: list[ids.NodeId],
        own: ids.NodeId,
        now_ms: float,
    ) -> None:
        """Take in the rates in force and the nodes that divide them."""
        self._holders.clear()
        for organisation in list(self._buckets):
            if organisation not in organisations:
                del self._buckets[organisation]
        for organisation, limits in organisations.items():
            if limits.rate_per_s <= 0.0:
                self._buckets.pop(organisation, None)
                continue
            holders = holders_of(limits, nodes)
            self._holders[organisation] = holders
            part = 1.0 / len(holders) if own in holders else 0.0
            rate_per_ms = part * limits.rate_per_s / 1e3
            even_per_ms = limits.rate_per_s / 1e3 / len(nodes)
            depth = part * max(limits.burst, 1.0)
            bucket = self._buckets.get(organisation)
            if bucket is None:
                self._buckets[organisation] = _Bucket(
                    rate_per_ms,
                    even_per_ms,
                    depth,
                    START_SHARE * depth,
                    now_ms,
                )
                continue
            bucket.settle(now_ms)
            if depth < bucket.depth:
                bucket.tokens = min(bucket.tokens, depth)
            bucket.rate_per_ms = rate_per_ms
            bucket.even_per_ms = even_per_ms
            bucket.depth = depth

    def holders(self, organisation: ids.OrganisationId) -> list[ids.NodeId]:
        """Return the nodes that refill tokens of an organisation."""
        return self._holders.get(organisation, [])

    def is_limited(self, organisation: ids.OrganisationId) -> bool:
        """Whether calls of an organisation need tokens."""
        return organisation in self._buckets

    def take(self, organisation: ids.OrganisationId, now_ms: float) -> bool:
        """Spend a token for one call; False if there is none here now."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        bucket.settle(now_ms)
        bucket.note_demand()
        return _spend(bucket)

    def retake(self, organisation: ids.OrganisationId, now_ms: float) -> bool:
        """Try again for a call that was counted as demand before."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return True
        bucket.settle(now_ms)
        return _spend(bucket)

    def refund(self, organisation: ids.OrganisationId) -> None:
        """Return the token of a call that did not run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None and bucket.tokens < bucket.depth:
            bucket.tokens += 1.0

    def wanted(self, organisation: ids.OrganisationId, now_ms: float) -> float:
        """Return how many tokens to ask another node for now; 0 for none.

        The caller sends the ask and ends it with ``received``.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.is_asking:
            return 0.0
        if now_ms < bucket.dry_until_ms:
            return 0.0
        if bucket.tokens >= 1.0 + bucket.demand_per_ms * LOW_WATER_MS:
            return 0.0
        bucket.is_asking = True
        return max(LEAST_ASK, bucket.demand_per_ms * ASK_AHEAD_MS)

    def received(
        self, organisation: ids.OrganisationId, tokens: float, now_ms: float
    ) -> None:
        """Take in what an ask brought; 0 if nothing or no answer."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.is_asking = False
        bucket.tokens += tokens
        if tokens < LEAST_ASK:
            bucket.dry_until_ms = now_ms + DRY_MS

    def give(
        self, organisation: ids.OrganisationId, wanted: float, now_ms: float
    ) -> float:
        """Take tokens out of the bucket to hand over; 0 if none to spare."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        bucket.settle(now_ms)
        spare = bucket.tokens - bucket.demand_per_ms * KEEP_MS
        given = min(wanted, GIVE_SHARE * spare)
        if given < LEAST_ASK:
            # The last whole token may go if nobody wants it here.
            given = LEAST_ASK if spare >= LEAST_ASK else 0.0
        bucket.tokens -= given
        return given

    def retry_after_ms(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> int:
        """Return when a caller's turn is likely to come, spread a little.

        Callers beyond the rate come back in turn, the later the more of
        them there are: who returns sooner is only refused again.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0
        bucket.settle(now_ms)
        ahead = max(1.0, bucket.demand_per_ms / bucket.even_per_ms)
        wait_ms = min(LONGEST_WAIT_MS, ahead / bucket.even_per_ms)
        return int(wait_ms * self._rng.uniform(0.75, 1.25)) + 1

    def tokens(self, organisation: ids.OrganisationId) -> float:
        """Return what is in the bucket as last settled."""
        bucket = self._buckets.get(organisation)
        return 0.0 if bucket is None else bucket.tokens


def holders_of(
    limits: policies.Organisation, nodes: list[ids.NodeId]
) -> list[ids.NodeId]:
    """Return which nodes divide an organisation's rate; the same anywhere."""
    count = max(1, min(len(nodes), int(limits.burst / LEAST_DEPTH)))
    if count == len(nodes):
        return nodes
    name = limits.organisation_id
    return sorted(
        nodes, key=lambda node: zlib.crc32(f'{name}/{node}'.encode())
    )[:count]


def _spend(bucket: _Bucket) -> bool:
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


def token_buckets(rng: random.Random) -> TokenBuckets:
    """Create buckets for no organisation yet."""
    return TokenBuckets(rng)
