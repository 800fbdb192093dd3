"""The bucket of one organisation at one borrower."""

import collections
import dataclasses
import typing

from parsleystile import errors
from parsleystile import ids
from parsleystile import quotalender
from parsleystile import quotawire

DEMAND_SMOOTHING_MS = 1_000.0
MIN_DEMAND_SAMPLE_MS = 250.0
# Capacity for what comes in while an ask is under way.
HEADROOM_S = 0.1
# What comes in at a full bucket is lost, so less rate is held than used.
RATE_TO_DEMAND_RATIO = 0.8
# Below this demand each call asks for its own token.
MIN_RATE_PER_S = 5.0
# Tokens are held ahead for the calls of so long.
PREFETCH_S = 0.25

OnDecision = typing.Callable[[errors.Refusal | None], None]


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """What one lender granted."""

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
    """The bucket of one organisation at this node."""

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
        # Lenders still to be asked in this sweep; None between sweeps.
        self.remaining_lenders: list[ids.NodeId] | None = None
        self.round_started_at_ms = now_ms
        self.retry_at_ms = 0.0
        # Shortest wait that a lender told in this sweep.
        self.retry_after_ms = float('inf')
        self.last_request_at_ms = now_ms

    def advance(self, now_ms: float) -> None:
        """Add what came in, then drop holdings that have lapsed."""
        if now_ms >= self.next_expiry_ms:
            self._expire_grants(now_ms)
        accrued = (now_ms - self.updated_at_ms) * self.rate_per_ms
        self.tokens = min(self.burst, self.tokens + accrued)
        self.updated_at_ms = now_ms

    def sample_demand(self, now_ms: float) -> None:
        """Smooth the calls a second that arrive here."""
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
        """Give up what is not needed of one holding.

        Args:
            grant: One of this bucket's.
            wanted_rate_per_s: Rate still needed of it.
            desired: Tokens worth holding in all.

        Returns:
            The tokens that go back with the capacity given up.
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
        """Return the rate that is worth holding now."""
        if self.demand_per_s < MIN_RATE_PER_S:
            return 0.0
        return min(RATE_TO_DEMAND_RATIO * self.demand_per_s, quota.rate_per_s)

    def desired_tokens(self, quota: quotalender.Quota) -> float:
        """Return the tokens that are worth holding now."""
        prefetched = self.demand_per_s * PREFETCH_S
        if prefetched < 1.0:
            prefetched = 0.0
        return min(quota.burst, len(self.waiting) + prefetched)

    def request_item(
        self, lender: ids.NodeId, quota: quotalender.Quota, now_ms: float
    ) -> quotawire.GrantRequestItem:
        """Give up what is not needed of a lender and ask for the rest.

        The bucket must be settled; a quota of nothing gives up all.
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
        """Add up the holdings; cut the tokens to the capacity."""
        grants = self.grants.values()
        self.rate_per_ms = sum(h.rate_per_s for h in grants) / 1e3
        self.burst = sum(h.burst for h in grants)
        self.next_expiry_ms = min(
            (h.expires_at_ms for h in grants), default=float('inf')
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
