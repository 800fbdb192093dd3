"""The borrower's side of quotas: takes at this node, out of short grants."""

import random
import typing

from parsleystile import errors
from parsleystile import ids
from parsleystile import quotabucket
from parsleystile import quotalender
from parsleystile import quotalinks
from parsleystile import quotawire

# Everything held is asked for anew after this time.
ROUND_MS = 1_000.0
# An organisation unused for so long gives everything back.
IDLE_MS = 400.0
# All organisations are looked over so often, those with waiting calls at
# every tick.
PASS_MS = 100.0
# A call waits for a grant at most so long; where tokens come in slowly, as
# long as one takes, within bounds.
WAIT_MS = 300.0
LONGEST_WAIT_MS = 1_000.0
MAX_WAITING = 256
SWEEP_GAP_MS = 5.0
# Least time between sweeps that only refill ahead of need.
AHEAD_GAP_MS = 100.0
# While calls wait, the next lender is asked after this time.
HEDGE_MS = 30.0
SHORTEST_RETRY_MS = 20.0
LONGEST_RETRY_MS = 200.0
LONGEST_RETRY_INSIDE_MS = 40.0
RETRY_JITTER = 0.5
# Share of the rate wanted that is not worth asking further for.
_ENOUGH = 0.95
# Share of the rate up to which demand counts as inside it, with some noise.
_INSIDE = 1.5
NOTHING = quotalender.Quota(0.0, 0.0)

LendersOf = typing.Callable[[int], list[ids.NodeId]]


class Borrower:
    """Answers each take at once, and borrows ahead of demand."""

    def __init__(
        self,
        node_id: ids.NodeId,
        quota_of: quotalender.QuotaOf,
        lenders_of: LendersOf,
        rng: random.Random,
        on_due: typing.Callable[[], None],
    ) -> None:
        self._quota_of = quota_of
        self._lenders_of = lenders_of
        self._rng = rng
        self._on_due = on_due
        self._states: dict[ids.OrganisationId, quotabucket.Bucket] = {}
        self._links = quotalinks.lender_links(
            node_id, f'{rng.getrandbits(64):016x}'
        )
        self._urgent: dict[ids.OrganisationId, None] = {}
        self._waiting: dict[ids.OrganisationId, quotabucket.Bucket] = {}
        self._next_pass_ms = 0.0
        self._is_stopping = False

    @property
    def organisations(self) -> int:
        """Organisations with state here."""
        return len(self._states)

    def try_take(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> errors.Refusal | None:
        """Take one token; None if the call may run.

        Args:
            organisation: On whose behalf the call would run.
            now_ms: Must have been read just before.
        """
        state = self._states.get(organisation)
        if state is None:
            return self._refuse_first(organisation, now_ms)
        state.attempts += 1
        if now_ms >= state.next_change_ms:
            state.settle(now_ms)
        tokens = state.tokens + (now_ms - state.at_ms) * state.rate_per_ms
        if tokens > state.burst:
            tokens = state.burst
        state.at_ms = now_ms
        if tokens >= 1.0 and not state.waiting:
            state.tokens = tokens = tokens - 1.0
            if tokens < state.low_water:
                self._refill_ahead(state, now_ms)
            return None
        state.tokens = tokens
        self._make_urgent(state, now_ms)
        return self._refusal(state, now_ms)

    def take(
        self,
        organisation: ids.OrganisationId,
        now_ms: float,
        on_take: quotabucket.OnTake,
    ) -> None:
        """Take one token, waiting a little for a grant.

        ``on_take`` is called exactly once, at once where that is possible.
        """
        refusal = self.try_take(organisation, now_ms)
        state = self._states.get(organisation)
        if refusal is None or state is None or not self._may_wait(state):
            on_take(refusal)
            return
        until_ms = now_ms + self._wait_ms(organisation)
        state.waiting.append(quotabucket.Waiter(until_ms, on_take))
        self._waiting[organisation] = state

    @property
    def is_waiting(self) -> bool:
        """Whether calls wait here for a grant."""
        return bool(self._waiting)

    def tick(self, now_ms: float) -> None:
        """Start rounds that are due and end what has waited too long."""
        for organisation in self._links.expire(now_ms):
            self._next_lender(organisation, now_ms)
        if now_ms >= self._next_pass_ms:
            self._next_pass_ms = now_ms + PASS_MS
            self._waiting.clear()
            for state in list(self._states.values()):
                self._tick_one(state, now_ms)
                if state.waiting:
                    self._waiting[state.organisation] = state
            return
        for state in list(self._waiting.values()):
            state.settle(now_ms)
            self._serve_waiting(state, now_ms)
            self._hedge(state, now_ms)

    def due_asks(self, now_ms: float) -> list[quotalinks.SendAsk]:
        """Return the asks to send now."""
        for organisation in list(self._urgent):
            state = self._states.get(organisation)
            if state is None or state.sweep is not None:
                del self._urgent[organisation]
            elif self._may_sweep(state, now_ms):
                del self._urgent[organisation]
                self._start_sweep(state, now_ms)
        return self._links.due(
            lambda name, lender: self._item(name, lender, now_ms), now_ms
        )

    def on_grants(
        self,
        lender: ids.NodeId,
        seq: int,
        grants: quotawire.Grants,
        now_ms: float,
    ) -> None:
        """Take in a reply; one that comes late is not counted on."""
        if not grants.epoch:
            self.on_failed(lender, seq, now_ms)
            return
        answered = self._links.answered(lender, seq, grants.epoch)
        if answered is None:
            return
        until_ms = answered.asked_at_ms + grants.life_ms
        for item in grants.items:
            state = self._states.get(item.organisation)
            if state is not None:
                self._apply(state, lender, item, until_ms, now_ms)
        for organisation in answered.organisations:
            self._next_lender(organisation, now_ms)

    def on_failed(self, lender: ids.NodeId, seq: int, now_ms: float) -> None:
        """Take in that an ask was not answered."""
        for organisation in self._links.failed(lender, seq, now_ms):
            self._next_lender(organisation, now_ms)

    def stop(self, now_ms: float) -> None:
        """Refuse whoever waits; the asks now due give everything back."""
        self._is_stopping = True
        for state in list(self._states.values()):
            self._refuse_waiting(state, now_ms)
            if state.sweep is None:
                self._start_sweep(state, now_ms)

    def _refuse_first(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> errors.Refusal | None:
        if organisation == ids.OPEN_ORGANISATION:
            return None
        if self._quota_of(organisation) is None:
            return errors.not_run(
                errors.Reason.RATE_LIMITED,
                f'organisation {organisation!r} has no quota',
            )
        state = quotabucket.Bucket(organisation, now_ms)
        state.attempts = 1
        state.counted_ms = now_ms - quotabucket.SMOOTHING_MS
        state.sweep_at_ms = now_ms - ROUND_MS
        self._states[organisation] = state
        self._make_urgent(state, now_ms)
        return self._refusal(state, now_ms)

    def _refusal(
        self, state: quotabucket.Bucket, now_ms: float
    ) -> errors.Refusal:
        quota = self._quota_of(state.organisation)
        rate_per_s = quota.rate_per_s if quota else 0.0
        after_ms = max(state.retry_at_ms - now_ms, 1e3 / max(rate_per_s, 1.0))
        spread = 1.0 + RETRY_JITTER * self._rng.random()
        return errors.not_run(
            errors.Reason.RATE_LIMITED,
            'rate and burst are used up',
            int(after_ms * spread) + 1,
        )

    def _make_urgent(self, state: quotabucket.Bucket, now_ms: float) -> None:
        state.used_ms = now_ms
        if state.sweep is not None or state.organisation in self._urgent:
            return
        self._urgent[state.organisation] = None
        if self._may_sweep(state, now_ms):
            self._on_due()

    def _wait_ms(self, organisation: ids.OrganisationId) -> float:
        quota = self._quota_of(organisation) or NOTHING
        token_ms = 1e3 / max(quota.rate_per_s, 1.0)
        return min(max(token_ms, WAIT_MS), LONGEST_WAIT_MS)

    def _refill_ahead(self, state: quotabucket.Bucket, now_ms: float) -> None:
        if now_ms >= state.sweep_at_ms + AHEAD_GAP_MS:
            self._make_urgent(state, now_ms)

    @staticmethod
    def _may_wait(state: quotabucket.Bucket) -> bool:
        # An organisation far above its rate is told so at once.
        return len(state.waiting) < MAX_WAITING and (
            len(state.waiting) <= 2 + state.burst or not state.retry_at_ms
        )

    @staticmethod
    def _may_sweep(state: quotabucket.Bucket, now_ms: float) -> bool:
        earliest_ms = max(state.sweep_at_ms + SWEEP_GAP_MS, state.retry_at_ms)
        return now_ms >= earliest_ms

    def _tick_one(self, state: quotabucket.Bucket, now_ms: float) -> None:
        state.settle(now_ms)
        self._serve_waiting(state, now_ms)
        if state.attempts != state.attempts_ticked:
            state.attempts_ticked = state.attempts
            state.used_ms = now_ms
        if state.sweep is not None:
            self._hedge(state, now_ms)
            return
        is_idle = self._is_idle(state, now_ms)
        if is_idle and not state.holdings:
            del self._states[state.organisation]
            return
        gap_ms = IDLE_MS if is_idle else ROUND_MS
        if now_ms >= state.sweep_at_ms + gap_ms:
            self._start_sweep(state, now_ms)

    def _hedge(self, state: quotabucket.Bucket, now_ms: float) -> None:
        if state.sweep is None or not state.waiting:
            return
        if now_ms >= state.asked_at_ms + HEDGE_MS:
            self._next_lender(state.organisation, now_ms)

    def _start_sweep(self, state: quotabucket.Bucket, now_ms: float) -> None:
        shard = quotawire.shard_of(state.organisation)
        lenders = list(self._lenders_of(shard))
        others = [h for h in state.holdings if h not in lenders]
        state.sweep = lenders + others
        state.sweep_at_ms = now_ms
        state.retry_at_ms = 0.0
        state.retry_after_ms = LONGEST_RETRY_MS
        state.count_demand(now_ms)
        self._next_lender(state.organisation, now_ms)

    def _next_lender(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> None:
        state = self._states.get(organisation)
        if state is None or state.sweep is None:
            return
        while state.sweep:
            lender = state.sweep.pop(0)
            if self._links.is_down(lender, now_ms):
                continue
            if lender in state.holdings or self._is_short(state, now_ms):
                state.asked_at_ms = now_ms
                if self._links.add(lender, organisation):
                    self._on_due()
                return
        state.sweep = None
        if self._is_short(state, now_ms):
            state.retry_at_ms = now_ms + self._retry_after_ms(state)
        if state.waiting:
            self._make_urgent(state, now_ms)

    def _retry_after_ms(self, state: quotabucket.Bucket) -> float:
        # Inside its rate, an organisation lacks tokens only until those
        # scattered over the fleet have come back to the lenders.
        quota = self._quota_of(state.organisation) or NOTHING
        if state.demand_per_s <= _INSIDE * quota.rate_per_s:
            longest_ms = LONGEST_RETRY_INSIDE_MS
        else:
            longest_ms = LONGEST_RETRY_MS
        return min(max(state.retry_after_ms, SHORTEST_RETRY_MS), longest_ms)

    def _is_short(self, state: quotabucket.Bucket, now_ms: float) -> bool:
        if self._is_idle(state, now_ms):
            return False
        state.settle(now_ms)
        quota = self._quota_of(state.organisation) or NOTHING
        if state.rate_per_ms * 1e3 < _ENOUGH * state.want_per_s(quota):
            return True
        return state.want_stock(quota) > state.tokens

    def _is_idle(self, state: quotabucket.Bucket, now_ms: float) -> bool:
        if self._is_stopping:
            return True
        return now_ms >= state.used_ms + IDLE_MS and not state.waiting

    def _item(
        self,
        organisation: ids.OrganisationId,
        lender: ids.NodeId,
        now_ms: float,
    ) -> quotawire.AskItem | None:
        state = self._states.get(organisation)
        if state is None:
            return None
        state.settle(now_ms)
        quota = self._quota_of(organisation)
        if quota is None or self._is_idle(state, now_ms):
            quota = NOTHING
        return state.ask_item(lender, quota, now_ms)

    def _apply(
        self,
        state: quotabucket.Bucket,
        lender: ids.NodeId,
        item: quotawire.GrantItem,
        until_ms: float,
        now_ms: float,
    ) -> None:
        state.settle(now_ms)
        if item.rate_per_s > 0 or item.burst > 0:
            state.holdings[lender] = quotabucket.Holding(
                item.rate_per_s,
                item.burst,
                until_ms,
                self._links.epoch(lender),
            )
        else:
            state.holdings.pop(lender, None)
        state.tokens += item.tokens
        state.recount()
        # A grant that came too late lapses here and now.
        state.settle(now_ms)
        if item.retry_after_ms:
            shortest_ms = min(state.retry_after_ms, item.retry_after_ms)
            state.retry_after_ms = shortest_ms
        self._serve_waiting(state, now_ms)

    def _serve_waiting(self, state: quotabucket.Bucket, now_ms: float) -> None:
        while state.waiting and state.tokens >= 1.0:
            state.tokens -= 1.0
            state.waiting.popleft().on_take(None)
        while state.waiting and now_ms >= state.waiting[0].until_ms:
            refusal = self._refusal(state, now_ms)
            state.waiting.popleft().on_take(refusal)

    def _refuse_waiting(
        self, state: quotabucket.Bucket, now_ms: float
    ) -> None:
        while state.waiting:
            refusal = self._refusal(state, now_ms)
            state.waiting.popleft().on_take(refusal)


def borrower(
    node_id: ids.NodeId,
    quota_of: quotalender.QuotaOf,
    lenders_of: LendersOf,
    rng: random.Random,
    on_due: typing.Callable[[], None],
) -> Borrower:
    """Create a borrower that holds nothing.

    Args:
        node_id: This node.
        quota_of: Quota of an organisation now; None if it has none.
        lenders_of: Owners of a shard's parts, in the order to ask.
        rng: Source of jitter.
        on_due: Called when ``due_asks`` has something to send.
    """
    return Borrower(node_id, quota_of, lenders_of, rng, on_due)
