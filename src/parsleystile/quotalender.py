"""The lender's side of quotas: short grants out of the parts owned here.

A quota of ``rate`` and ``burst`` is a token bucket. It is cut into buckets
whose rates and capacities never add up to more, and tokens move between
them but are made only by the passing of time; so all takes together stay
within one bucket of ``rate`` and ``burst``. What a borrower might still
hold is charged to it until it has surely lapsed or been given up. Tokens
move only together with as much capacity, so that those on their way are
covered by a charge.
"""

import dataclasses
import typing

from parsleystile import ids
from parsleystile import quotawire

GRANT_MS = 3_000.0
MARGIN_MS = 50.0
# Spent below the nominal rate, for clocks that run fast.
RATE_SHARE = 0.999
LONGEST_RETRY_MS = 1_000.0
# No ask is under way for longer than this.
FORGET_MS = 600_000.0
_EPSILON = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Rate and burst of one organisation, preset applied."""

    rate_per_s: float
    burst: float


QuotaOf = typing.Callable[[ids.OrganisationId], Quota | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Borrower:
    """One process of a node; an earlier one may still hold something."""

    node_id: ids.NodeId
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class _LastAsk:
    """The newest ask of a borrower."""

    seq: int
    at_ms: float


@dataclasses.dataclass(slots=True)
class _Holding:
    """A rate and capacity that a borrower may hold until some time."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    until_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class _Loan:
    """What one borrower may hold: one of two holdings, never both."""

    held: _Holding
    granted: _Holding
    demand_per_s: float

    def charge(self, now_ms: float) -> Quota:
        """Return the most that the borrower may hold now."""
        rate_per_s = burst = 0.0
        for holding in (self.held, self.granted):
            if now_ms < holding.until_ms:
                rate_per_s = max(rate_per_s, holding.rate_per_s)
                burst = max(burst, holding.burst)
        return Quota(rate_per_s, burst)

    def until_ms(self) -> float:
        """Return when nothing of the loan is left."""
        return max(self.held.until_ms, self.granted.until_ms)


@dataclasses.dataclass(slots=True)
class _Part:
    """A part owned here, and since when."""

    since_ms: float
    is_first: bool


class _Book:
    """The bucket of one organisation in one shard, and its loans."""

    def __init__(self, quota: Quota, parts: int, now_ms: float) -> None:
        self.quota = quota
        self.parts = parts
        self.tokens = 0.0
        self.at_ms = now_ms
        self.loans: dict[_Borrower, _Loan] = {}
        self._lent = Quota(0.0, 0.0)

    @property
    def total(self) -> Quota:
        """The share of the quota that this lender may lend in all."""
        share = self.parts / quotawire.PARTS
        return Quota(
            self.quota.rate_per_s * share * RATE_SHARE,
            self.quota.burst * share,
        )

    def free(self) -> Quota:
        """Return what is not lent, as of the last settling; may be < 0."""
        total = self.total
        return Quota(
            total.rate_per_s - self._lent.rate_per_s,
            total.burst - self._lent.burst,
        )

    def settle(self, now_ms: float) -> None:
        """Add what came in since the last time, and drop lapsed loans."""
        free = self.free()
        passed_s = (now_ms - self.at_ms) / 1e3
        self.tokens += max(0.0, free.rate_per_s) * passed_s
        self.at_ms = now_ms
        lapsed = [n for n, lo in self.loans.items() if lo.until_ms() <= now_ms]
        for node_id in lapsed:
            del self.loans[node_id]
        self.recount(now_ms)

    def recount(self, now_ms: float) -> None:
        """Add up the charges and cut the tokens to what is not lent."""
        charges = [loan.charge(now_ms) for loan in self.loans.values()]
        self._lent = Quota(
            sum(charge.rate_per_s for charge in charges),
            sum(charge.burst for charge in charges),
        )
        self.tokens = max(0.0, min(self.tokens, self.free().burst))

    def change(self, quota: Quota, parts: int, now_ms: float) -> None:
        """Settle under the old limits, then go by the new ones."""
        self.settle(now_ms)
        self.quota = quota
        self.parts = parts
        self.recount(now_ms)


class Lender:
    """Lends the parts owned here, organisation by organisation."""

    def __init__(self, quota_of: QuotaOf) -> None:
        self._quota_of = quota_of
        self._parts: dict[int, dict[int, _Part]] = {}
        self._books: dict[ids.OrganisationId, _Book] = {}
        self._seqs: dict[_Borrower, _LastAsk] = {}

    @property
    def books(self) -> int:
        """Organisations with state here."""
        return len(self._books)

    def parts(self, shard: int) -> int:
        """Return how many parts of a shard are owned here."""
        return len(self._parts.get(shard, ()))

    def add_part(
        self, shard: int, part: int, is_first: bool, now_ms: float
    ) -> None:
        """Own one more part; its tokens start empty unless never used."""
        owned = self._parts.setdefault(shard, {})
        if part in owned:
            return
        owned[part] = _Part(now_ms, is_first)
        self._on_parts(shard, now_ms)
        if is_first:
            self._fill_first(shard)

    def remove_part(self, shard: int, part: int, now_ms: float) -> None:
        """Own one part less; what is lent of it lapses by itself."""
        if self._parts.get(shard, {}).pop(part, None) is not None:
            self._on_parts(shard, now_ms)

    def clear(self) -> None:
        """Own nothing; what was lent has lapsed or lapses by itself."""
        self._parts.clear()
        self._books.clear()

    def refresh_quotas(self, now_ms: float) -> None:
        """Apply a changed configuration to organisations with state."""
        for organisation, book in list(self._books.items()):
            quota = self._quota_of(organisation) or Quota(0.0, 0.0)
            if quota != book.quota:
                book.change(quota, book.parts, now_ms)

    def prune(self, now_ms: float) -> None:
        """Drop the state of organisations that use nothing."""
        for organisation, book in list(self._books.items()):
            book.settle(now_ms)
            if not book.loans and self._is_as_new(organisation, book, now_ms):
                del self._books[organisation]
        for borrower, last in list(self._seqs.items()):
            if now_ms > last.at_ms + FORGET_MS:
                del self._seqs[borrower]

    def lend(
        self,
        ask: quotawire.Ask,
        epoch: str,
        valid_until_ms: float,
        now_ms: float,
    ) -> quotawire.Grants | None:
        """Answer an ask; None if it is older than one answered before."""
        borrower = _Borrower(ask.borrower, ask.process)
        last = self._seqs.get(borrower)
        if last is not None and ask.seq <= last.seq:
            return None
        self._seqs[borrower] = _LastAsk(ask.seq, now_ms)
        life_ms = min(GRANT_MS, valid_until_ms - now_ms)
        if life_ms <= 0:
            return quotawire.Grants('', 0.0, [])
        # Nothing lent under another epoch can still be held.
        is_current = ask.epoch == epoch
        items = [
            self._lend_one(borrower, item, is_current, life_ms, now_ms)
            for item in ask.items
        ]
        return quotawire.Grants(epoch, life_ms, items)

    def _lend_one(
        self,
        borrower: _Borrower,
        item: quotawire.AskItem,
        is_current: bool,
        life_ms: float,
        now_ms: float,
    ) -> quotawire.GrantItem:
        book = self._book(item.organisation, now_ms)
        if book is None:
            return quotawire.GrantItem(
                item.organisation, 0.0, 0.0, 0.0, LONGEST_RETRY_MS
            )
        book.settle(now_ms)
        old = book.loans.pop(borrower, None)
        held = _Holding()
        if is_current:
            until_ms = now_ms + min(item.held_ms, GRANT_MS) + MARGIN_MS
            held = _Holding(item.held_per_s, item.held_burst, until_ms)
        loan = _Loan(held, _Holding(), item.demand_per_s)
        if is_current and old is not None:
            # Only what was charged until now can have come back.
            given_up = old.charge(now_ms).burst - held.burst
            book.tokens += max(0.0, min(item.returned, given_up))
        book.loans[borrower] = loan
        book.recount(now_ms)
        return _grant(book, loan, item, life_ms, now_ms)

    def _book(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> _Book | None:
        book = self._books.get(organisation)
        if book is not None:
            return book
        quota = self._quota_of(organisation)
        owned = self._parts.get(quotawire.shard_of(organisation))
        if quota is None or not owned:
            return None
        book = _Book(quota, len(owned), now_ms)
        book.tokens = self._unused_tokens(quota, owned, now_ms)
        self._books[organisation] = book
        return book

    @staticmethod
    def _unused_tokens(
        quota: Quota, owned: dict[int, _Part], now_ms: float
    ) -> float:
        """Return the tokens of parts of which nothing was lent so far."""
        share = 1 / quotawire.PARTS
        tokens = 0.0
        for part in owned.values():
            full = quota.burst * share
            passed_s = (now_ms - part.since_ms) / 1e3
            grown = quota.rate_per_s * share * RATE_SHARE * passed_s
            tokens += full if part.is_first else min(full, grown)
        return tokens

    def _is_as_new(
        self, organisation: ids.OrganisationId, book: _Book, now_ms: float
    ) -> bool:
        owned = self._parts.get(quotawire.shard_of(organisation), {})
        unused = self._unused_tokens(book.quota, owned, now_ms)
        return book.tokens >= unused - _EPSILON

    def _on_parts(self, shard: int, now_ms: float) -> None:
        parts = self.parts(shard)
        for organisation, book in self._books.items():
            if quotawire.shard_of(organisation) == shard:
                book.change(book.quota, parts, now_ms)

    def _fill_first(self, shard: int) -> None:
        for organisation, book in self._books.items():
            if quotawire.shard_of(organisation) == shard:
                book.tokens += book.quota.burst / quotawire.PARTS


def _grant(
    book: _Book,
    loan: _Loan,
    item: quotawire.AskItem,
    life_ms: float,
    now_ms: float,
) -> quotawire.GrantItem:
    held = loan.held
    free = book.free()
    share = _fair_share(book, loan)
    rate_per_s = _clip(
        min(item.want_per_s, share * book.total.rate_per_s),
        held.rate_per_s + free.rate_per_s,
    )
    burst = _clip(
        min(item.want_burst, max(1.0, share * book.total.burst)),
        held.burst + free.burst,
    )
    room = max(0.0, burst - held.burst)
    # Beyond what waits, half is kept for whoever asks next.
    tokens = min(
        item.want_tokens,
        book.tokens,
        max(item.waiting, book.tokens / 2),
        room,
    )
    # Capacity that holds the tokens kept here is not lent.
    room = min(room, max(tokens, free.burst - (book.tokens - tokens)))
    burst = min(burst, held.burst + room)
    loan.granted = _Holding(rate_per_s, burst, now_ms + life_ms + MARGIN_MS)
    book.tokens -= tokens
    book.recount(now_ms)
    retry_after_ms = 0.0
    is_short = max(item.waiting, item.want_tokens) > tokens + _EPSILON
    if is_short or rate_per_s < item.want_per_s - _EPSILON:
        retry_after_ms = _retry_after_ms(book)
    return quotawire.GrantItem(
        item.organisation, rate_per_s, burst, tokens, retry_after_ms
    )


def _fair_share(book: _Book, loan: _Loan) -> float:
    """Return the share that a borrower may hold, by demand."""
    demand = sum(other.demand_per_s for other in book.loans.values())
    if demand <= book.total.rate_per_s:
        return 1.0
    return loan.demand_per_s / demand


def _retry_after_ms(book: _Book) -> float:
    """Return how long a token takes to come in here, at most."""
    rate_per_s = book.total.rate_per_s
    if rate_per_s <= 0:
        return LONGEST_RETRY_MS
    return min(LONGEST_RETRY_MS, 1e3 / rate_per_s)


def _clip(value: float, high: float) -> float:
    return max(0.0, min(value, high))


def lender(quota_of: QuotaOf) -> Lender:
    """Create a lender that owns no part yet."""
    return Lender(quota_of)
