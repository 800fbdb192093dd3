"""The bucket of one organisation at one borrower."""

import collections
import dataclasses
import typing

from parsleystile import errors
from parsleystile import ids
from parsleystile import quotalender
from parsleystile import quotawire

SMOOTHING_MS = 1_000.0
SHORTEST_COUNT_MS = 250.0
# Capacity for what comes in while an ask is under way.
ROOM_S = 0.1
# What comes in at a full bucket is lost, so less rate is held than used.
RATE_USED_SHARE = 0.8
# Below this demand each call asks for its own token.
LEAST_RATE_PER_S = 5.0
# Tokens are held ahead for the calls of so long.
STOCK_S = 0.25

OnTake = typing.Callable[[errors.Refusal | None], None]


@dataclasses.dataclass(slots=True)
class Holding:
    """What one lender granted."""

    rate_per_s: float
    burst: float
    until_ms: float
    epoch: str


_NOT_HELD = Holding(0.0, 0.0, 0.0, '')


@dataclasses.dataclass(slots=True)
class Waiter:
    """A call that waits for a token."""

    until_ms: float
    on_take: OnTake


class Bucket:
    """The bucket of one organisation at this node."""

    __slots__ = (
        'asked_at_ms',
        'at_ms',
        'attempts',
        'attempts_counted',
        'attempts_ticked',
        'burst',
        'counted_ms',
        'demand_per_s',
        'holdings',
        'low_water',
        'next_change_ms',
        'organisation',
        'rate_per_ms',
        'retry_after_ms',
        'retry_at_ms',
        'sweep',
        'sweep_at_ms',
        'tokens',
        'used_ms',
        'waiting',
    )

    def __init__(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> None:
        self.organisation = organisation
        self.tokens = 0.0
        self.burst = 0.0
        self.rate_per_ms = 0.0
        self.at_ms = now_ms
        self.next_change_ms = float('inf')
        self.low_water = 0.0
        self.holdings: dict[ids.NodeId, Holding] = {}
        self.attempts = 0
        self.attempts_counted = 0
        self.attempts_ticked = 0
        self.counted_ms = now_ms
        self.used_ms = now_ms
        self.demand_per_s = 0.0
        self.waiting: collections.deque[Waiter] = collections.deque()
        # Lenders still to be asked in this sweep; None between sweeps.
        self.sweep: list[ids.NodeId] | None = None
        self.sweep_at_ms = now_ms
        self.retry_at_ms = 0.0
        # Shortest wait that a lender told in this sweep.
        self.retry_after_ms = float('inf')
        self.asked_at_ms = now_ms

    def settle(self, now_ms: float) -> None:
        """Add what came in, then drop holdings that have lapsed."""
        if now_ms >= self.next_change_ms:
            self._lapse(now_ms)
        grown = (now_ms - self.at_ms) * self.rate_per_ms
        self.tokens = min(self.burst, self.tokens + grown)
        self.at_ms = now_ms

    def count_demand(self, now_ms: float) -> None:
        """Smooth the calls a second that arrive here."""
        passed_ms = now_ms - self.counted_ms
        if passed_ms < SHORTEST_COUNT_MS:
            return
        latest = self.attempts - self.attempts_counted
        weight = min(1.0, passed_ms / SMOOTHING_MS)
        change = latest / passed_ms * 1e3 - self.demand_per_s
        self.demand_per_s += weight * change
        self.attempts_counted = self.attempts
        self.counted_ms = now_ms

    def shrink(
        self, holding: Holding | None, want_per_s: float, stock: float
    ) -> float:
        """Give up what is not needed of one holding.

        Args:
            holding: One of this bucket's.
            want_per_s: Rate still needed of it.
            stock: Tokens worth holding in all.

        Returns:
            The tokens that go back with the capacity given up.
        """
        if holding is None:
            return 0.0
        holding.rate_per_s = min(holding.rate_per_s, want_per_s)
        room = holding.rate_per_s * ROOM_S
        excess = max(0.0, self.burst - min(self.tokens, stock) - room)
        holding.burst = max(0.0, holding.burst - excess)
        before = self.tokens
        self.recount()
        return before - self.tokens

    def want_per_s(self, quota: quotalender.Quota) -> float:
        """Return the rate that is worth holding now."""
        if self.demand_per_s < LEAST_RATE_PER_S:
            return 0.0
        return min(RATE_USED_SHARE * self.demand_per_s, quota.rate_per_s)

    def want_stock(self, quota: quotalender.Quota) -> float:
        """Return the tokens that are worth holding now."""
        ahead = self.demand_per_s * STOCK_S
        if ahead < 1.0:
            ahead = 0.0
        return min(quota.burst, len(self.waiting) + ahead)

    def ask_item(
        self, lender: ids.NodeId, quota: quotalender.Quota, now_ms: float
    ) -> quotawire.AskItem:
        """Give up what is not needed of a lender and ask for the rest.

        The bucket must be settled; a quota of nothing gives up all.
        """
        held = self.holdings.get(lender)
        stock = self.want_stock(quota)
        others_per_s = self.rate_per_ms * 1e3
        if held is not None:
            others_per_s -= held.rate_per_s
        want_per_s = max(0.0, self.want_per_s(quota) - others_per_s)
        returned = self.shrink(held, want_per_s, stock)
        held = held or _NOT_HELD
        want_tokens = max(0.0, stock - self.tokens)
        room = (others_per_s + want_per_s) * ROOM_S if stock else 0.0
        return quotawire.AskItem(
            self.organisation,
            held.rate_per_s,
            held.burst,
            max(0.0, held.until_ms - now_ms),
            returned,
            self.demand_per_s,
            want_per_s,
            held.burst + want_tokens + room,
            want_tokens,
            max(0, len(self.waiting) - int(self.tokens)),
        )

    def recount(self) -> None:
        """Add up the holdings; cut the tokens to the capacity."""
        holdings = self.holdings.values()
        self.rate_per_ms = sum(h.rate_per_s for h in holdings) / 1e3
        self.burst = sum(h.burst for h in holdings)
        self.next_change_ms = min(
            (h.until_ms for h in holdings), default=float('inf')
        )
        self.tokens = min(self.tokens, self.burst)
        self.low_water = self.burst / 4

    def _lapse(self, now_ms: float) -> None:
        while self.next_change_ms <= now_ms:
            change_ms = self.next_change_ms
            grown = max(0.0, change_ms - self.at_ms) * self.rate_per_ms
            self.tokens = min(self.burst, self.tokens + grown)
            self.at_ms = max(self.at_ms, change_ms)
            self.holdings = {
                lender: holding
                for lender, holding in self.holdings.items()
                if holding.until_ms > change_ms
            }
            self.recount()
