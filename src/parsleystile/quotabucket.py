"""Token bucket of one organisation at one borrower."""

import collections
import dataclasses
import typing

from parsleystile import errors
from parsleystile import ids
from parsleystile import quotalender
from parsleystile import quotawire

# Time constant of the moving average of demand.
DEMAND_SMOOTHING_MS = 1_000.0
MIN_DEMAND_SAMPLE_MS = 250.0
# Extra capacity for the tokens that accrue while a request is in flight.
HEADROOM_S = 0.1
# Tokens that accrue in a full bucket are lost, so the rate held stays below
# the demand.
RATE_TO_DEMAND_RATIO = 0.8
# Below this demand no rate is held, and tokens are requested per call.
MIN_DEMAND_PER_S = 5.0
# Tokens are prefetched for the calls expected in this time.
PREFETCH_S = 0.25

OnDecision = typing.Callable[[errors.Refusal | None], None]


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """Rate and capacity that one lender granted."""

    rate_per_s: float
    burst: float
    expires_at_ms: float
    epoch: str


_NO_GRANT = HeldGrant(0.0, 0.0, 0.0, '')


@dataclasses.dataclass(slots=True)
class Waiter:
    """A call that waits for a token."""

    deadline_ms: float
    on_decision: OnDecision


class TokenBucket:
    """Token bucket that is refilled by the grants of several lenders."""

    __slots__ = (
        'attempts',
        'attempts_sampled',
        'attempts_seen',
        'burst',
        'demand_per_s',
        'demand_sampled_at_ms',
        'grants',
        'last_request_at_ms',
        'last_used_at_ms',
        'low_watermark',
        'next_expiry_ms',
        'organisation',
        'rate_per_ms',
        'remaining_lenders',
        'retry_after_ms',
        'retry_at_ms',
        'round_started_at_ms',
        'tokens',
        'updated_at_ms',
        'waiting',
    )

    def __init__(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> None:
        self.organisation = organisation
        self.tokens = 0.0
        self.burst = 0.0
        self.rate_per_ms = 0.0
        self.updated_at_ms = now_ms
        self.next_expiry_ms = float('inf')
        self.low_watermark = 0.0
        self.grants: dict[ids.NodeId, HeldGrant] = {}
        self.attempts = 0
        self.attempts_sampled = 0
        self.attempts_seen = 0
        self.demand_sampled_at_ms = now_ms
        self.last_used_at_ms = now_ms
        self.demand_per_s = 0.0
        self.waiting: collections.deque[Waiter] = collections.deque()
        # Lenders not yet asked in this refill round; None between rounds.
        self.remaining_lenders: list[ids.NodeId] | None = None
        self.round_started_at_ms = now_ms
        self.retry_at_ms = 0.0
        # Shortest retry delay that a lender returned in this round.
        self.retry_after_ms = float('inf')
        self.last_request_at_ms = now_ms

    def advance(self, now_ms: float) -> None:
        """Add the tokens that accrued and drop expired grants."""
        if now_ms >= self.next_expiry_ms:
            self._expire_grants(now_ms)
        accrued = (now_ms - self.updated_at_ms) * self.rate_per_ms
        self.tokens = min(self.burst, self.tokens + accrued)
        self.updated_at_ms = now_ms

    def sample_demand(self, now_ms: float) -> None:
        """Update the moving average of calls per second at this node."""
        elapsed_ms = now_ms - self.demand_sampled_at_ms
        if elapsed_ms < MIN_DEMAND_SAMPLE_MS:
            return
        latest = self.attempts - self.attempts_sampled
        weight = min(1.0, elapsed_ms / DEMAND_SMOOTHING_MS)
        change = latest / elapsed_ms * 1e3 - self.demand_per_s
        self.demand_per_s += weight * change
        self.attempts_sampled = self.attempts
        self.demand_sampled_at_ms = now_ms

    def release_excess(
        self, grant: HeldGrant | None, wanted_rate_per_s: float, desired: float
    ) -> float:
        """Reduce a grant to what is still needed.

        Args:
            grant: One of this bucket's grants.
            wanted_rate_per_s: Rate still needed from its lender.
            desired: Tokens that the whole bucket should hold.

        Returns:
            The tokens returned along with the released capacity.
        """
        if grant is None:
            return 0.0
        grant.rate_per_s = min(grant.rate_per_s, wanted_rate_per_s)
        headroom = grant.rate_per_s * HEADROOM_S
        excess = max(0.0, self.burst - min(self.tokens, desired) - headroom)
        grant.burst = max(0.0, grant.burst - excess)
        before = self.tokens
        self.recompute_totals()
        return before - self.tokens

    def wanted_rate_per_s(self, quota: quotalender.Quota) -> float:
        """Return the rate that this bucket should hold, in tokens/s."""
        if self.demand_per_s < MIN_DEMAND_PER_S:
            return 0.0
        return min(RATE_TO_DEMAND_RATIO * self.demand_per_s, quota.rate_per_s)

    def desired_tokens(self, quota: quotalender.Quota) -> float:
        """Return the number of tokens that this bucket should hold."""
        prefetched = self.demand_per_s * PREFETCH_S
        if prefetched < 1.0:
            prefetched = 0.0
        return min(quota.burst, len(self.waiting) + prefetched)

    def request_item(
        self, lender: ids.NodeId, quota: quotalender.Quota, now_ms: float
    ) -> quotawire.GrantRequestItem:
        """Release what a lender's grant has in excess and request the rest.

        ``advance`` must have been called before. A zero quota releases
        everything.
        """
        held = self.grants.get(lender)
        desired = self.desired_tokens(quota)
        others_per_s = self.rate_per_ms * 1e3
        if held is not None:
            others_per_s -= held.rate_per_s
        wanted_rate_per_s = max(
            0.0, self.wanted_rate_per_s(quota) - others_per_s
        )
        returned_tokens = self.release_excess(held, wanted_rate_per_s, desired)
        held = held or _NO_GRANT
        wanted_tokens = max(0.0, desired - self.tokens)
        headroom = (
            (others_per_s + wanted_rate_per_s) * HEADROOM_S if desired else 0.0
        )
        return quotawire.GrantRequestItem(
            self.organisation,
            held.rate_per_s,
            held.burst,
            max(0.0, held.expires_at_ms - now_ms),
            returned_tokens,
            self.demand_per_s,
            wanted_rate_per_s,
            held.burst + wanted_tokens + headroom,
            wanted_tokens,
            max(0, len(self.waiting) - int(self.tokens)),
        )

    def recompute_totals(self) -> None:
        """Sum the grants and cap the tokens at the capacity."""
        grants = self.grants.values()
        self.rate_per_ms = sum(grant.rate_per_s for grant in grants) / 1e3
        self.burst = sum(grant.burst for grant in grants)
        self.next_expiry_ms = min(
            (grant.expires_at_ms for grant in grants), default=float('inf')
        )
        self.tokens = min(self.tokens, self.burst)
        self.low_watermark = self.burst / 4

    def _expire_grants(self, now_ms: float) -> None:
        while self.next_expiry_ms <= now_ms:
            expiry_ms = self.next_expiry_ms
            accrued = (
                max(0.0, expiry_ms - self.updated_at_ms) * self.rate_per_ms
            )
            self.tokens = min(self.burst, self.tokens + accrued)
            self.updated_at_ms = max(self.updated_at_ms, expiry_ms)
            self.grants = {
                lender: grant
                for lender, grant in self.grants.items()
                if grant.expires_at_ms > expiry_ms
            }
            self.recompute_totals()
