"""Whether a refused call is sent again: bounded for the whole tree."""

import dataclasses
import random

from parsleystile import errors
from parsleystile import ids

# Retries of a (caller service, service) pair per first try.
BUDGET_SHARE = 0.1
BUDGET_CAP = 10.0
# How far refusals that no load has caused may overdraw the budget.
BUDGET_DEBT = 20.0
MAX_PAIRS = 4096
BACKOFF_BASE_MS = 4.0
BACKOFF_CAP_MS = 200.0

# The refusing node stops being chosen at once, so these can't pile up.
_NO_LOAD = frozenset(
    {
        errors.Reason.LEAVING,
        errors.Reason.DOMAIN_OUT,
        errors.Reason.UNREACHABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send the call once more, to another target, after ``delay_ms``."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Return ``refusal``; it is final for every node further up."""

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A call that was refused and may be sent again.

    Attributes:
        refusal: What the last attempt got.
        idempotent: Whether the call may run more than once.
        attempt: Attempts made so far, at least 1.
        remaining_ms: Time left until the deadline of the call.
        expected_ms: Time that an answer usually takes.
        caller_service: Service that made the call; empty at ingress.
        service: Service that was called.
    """

    refusal: errors.Refusal
    idempotent: bool
    attempt: int
    remaining_ms: float
    expected_ms: float
    caller_service: ids.ServiceName
    service: ids.ServiceName


class AllowanceLedger:
    """The retry allowance of one call in flight at a node.

    What is lent to a child call is gone from here until the child's answer
    returns the unspent rest, so a unit exists once in the whole tree. A
    child whose answer is lost has spent all that it was lent.
    """

    __slots__ = ('_free',)

    def __init__(self, allowance: int) -> None:
        self._free = max(0, allowance)

    @property
    def unspent(self) -> int:
        """Units that are here, neither lent nor spent."""
        return self._free

    def lend(self) -> int:
        """Take the larger half for a child call and return it."""
        lent = (self._free + 1) // 2
        self._free -= lent
        return lent

    def give_back(self, lent: int, unspent: int) -> None:
        """Take back what a child, lent ``lent``, left unspent."""
        self._free += min(lent, max(0, unspent))

    def spend(self) -> bool:
        """Spend one unit on a retry made here; False if none is left."""
        if self._free == 0:
            return False
        self._free -= 1
        return True


class RetryPolicy:
    """Decides on retries of the calls that one node sends."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._budgets: dict[tuple[str, str], float] = {}

    def first_try(
        self, caller_service: ids.ServiceName, service: ids.ServiceName
    ) -> None:
        """Note that a call is sent for the first time."""
        pair = (caller_service, service)
        budget = self._budgets.get(pair)
        if budget is None:
            if len(self._budgets) >= MAX_PAIRS:
                self._budgets.pop(next(iter(self._budgets)))
            budget = 0.0
        if budget < BUDGET_CAP:
            self._budgets[pair] = min(BUDGET_CAP, budget + BUDGET_SHARE)

    def decide(
        self, failure: Failure, ledger: AllowanceLedger
    ) -> Retry | GiveUp:
        """Grant a retry, spending a unit of ``ledger``, or give up."""
        refusal = failure.refusal
        if not refusal.is_retryable or not _is_safe(failure):
            return _give_up(refusal)
        delay_ms = self._backoff_ms(failure.attempt)
        if delay_ms + failure.expected_ms >= failure.remaining_ms:
            return _give_up(refusal)
        if ledger.unspent == 0 or not self._take(failure):
            return _give_up(refusal)
        ledger.spend()
        return Retry(delay_ms)

    def _backoff_ms(self, attempt: int) -> float:
        longest = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2.0**attempt)
        return self._rng.uniform(0.0, longest)

    def _take(self, failure: Failure) -> bool:
        pair = (failure.caller_service, failure.service)
        budget = self._budgets.get(pair, 0.0)
        floor = 0.0
        if failure.refusal.reason in _NO_LOAD:
            floor = -BUDGET_DEBT
        # Tenths do not add up exactly in binary.
        if budget - 1.0 < floor - 1e-6:
            return False
        self._budgets[pair] = budget - 1.0
        return True


def _is_safe(failure: Failure) -> bool:
    if failure.idempotent:
        return True
    return failure.refusal.outcome is errors.Outcome.NOT_RUN


def _give_up(refusal: errors.Refusal) -> GiveUp:
    if refusal.final:
        return GiveUp(refusal)
    return GiveUp(dataclasses.replace(refusal, final=True))


def allowance_ledger(allowance: int) -> AllowanceLedger:
    """Create the ledger of a call that came with ``allowance``."""
    return AllowanceLedger(allowance)


def retry_policy(rng: random.Random) -> RetryPolicy:
    """Create a policy whose budgets are empty."""
    return RetryPolicy(rng)
