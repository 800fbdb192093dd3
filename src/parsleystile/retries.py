"""Retry decisions, bounded by a per-tree allowance and by retry budgets."""

import dataclasses
import random

from parsleystile import errors
from parsleystile import ids

# Retries of a (caller service, service) pair per first attempt.
RETRY_RATIO = 0.1
# Capacity of the budget of a pair, in retries.
MAX_BUDGET = 10.0
# Overdraft of the budget, in retries, for refusals not caused by load.
MAX_BUDGET_DEBT = 20.0
# Pairs that have a budget; the oldest is discarded for a new one.
MAX_PAIRS = 4096
BACKOFF_BASE_MS = 4.0
MAX_BACKOFF_MS = 200.0

# A node that refuses for these reasons is no longer chosen, so such retries
# can't accumulate.
_LOAD_INDEPENDENT = frozenset(
    {
        errors.Reason.LEAVING,
        errors.Reason.DOMAIN_OUT,
        errors.Reason.UNREACHABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send the call again, to another target, after ``delay_ms``."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Return ``refusal``; no node upstream retries it."""

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A call that was refused and may be sent again.

    Attributes:
        refusal: Result of the last attempt.
        idempotent: Whether the call may run more than once.
        attempt: Attempts made so far, at least 1.
        remaining_ms: Time left until the deadline of the call.
        expected_ms: Estimated time to an answer.
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

    Units lent to a child call leave this ledger until the child's answer
    returns the unspent ones, so each unit exists once in the whole tree. A
    child whose answer is lost counts as having spent all of its units.
    """

    __slots__ = ('_unspent',)

    def __init__(self, allowance: int) -> None:
        self._unspent = max(0, allowance)

    @property
    def unspent(self) -> int:
        """Units that are neither lent nor spent."""
        return self._unspent

    def lend(self) -> int:
        """Lend the larger half to a child call; return the number of units."""
        lent = (self._unspent + 1) // 2
        self._unspent -= lent
        return lent

    def give_back(self, lent: int, unspent: int) -> None:
        """Return units of a child that was lent ``lent``."""
        self._unspent += min(lent, max(0, unspent))

    def spend(self) -> bool:
        """Spend one unit on a retry made here; False if none is left."""
        if self._unspent == 0:
            return False
        self._unspent -= 1
        return True


class RetryPolicy:
    """Decides on retries of the calls that one node sends.

    Each pair of caller service and service has a token bucket: a first
    attempt adds RETRY_RATIO tokens, a retry takes one. Delays are
    exponential backoff with full jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._budgets: dict[tuple[str, str], float] = {}

    def record_first_attempt(
        self, caller_service: ids.ServiceName, service: ids.ServiceName
    ) -> None:
        """Add to the budget: a call is sent for the first time."""
        pair = (caller_service, service)
        budget = self._budgets.get(pair)
        if budget is None:
            if len(self._budgets) >= MAX_PAIRS:
                self._budgets.pop(next(iter(self._budgets)))
            budget = 0.0
        if budget < MAX_BUDGET:
            self._budgets[pair] = min(MAX_BUDGET, budget + RETRY_RATIO)

    def decide(
        self, failure: Failure, ledger: AllowanceLedger
    ) -> Retry | GiveUp:
        """Grant a retry, spending a unit of ``ledger``, or give up."""
        refusal = failure.refusal
        if not refusal.is_retryable or not _is_safe_to_retry(failure):
            return _give_up(refusal)
        delay_ms = self._backoff_ms(failure.attempt)
        if delay_ms + failure.expected_ms >= failure.remaining_ms:
            return _give_up(refusal)
        if ledger.unspent == 0 or not self._withdraw(failure):
            return _give_up(refusal)
        ledger.spend()
        return Retry(delay_ms)

    def _backoff_ms(self, attempt: int) -> float:
        max_backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * 2.0**attempt)
        return self._rng.uniform(0.0, max_backoff_ms)

    def _withdraw(self, failure: Failure) -> bool:
        pair = (failure.caller_service, failure.service)
        budget = self._budgets.get(pair, 0.0)
        floor = 0.0
        if failure.refusal.reason in _LOAD_INDEPENDENT:
            floor = -MAX_BUDGET_DEBT
        # The tolerance absorbs rounding: 0.1 is inexact in binary.
        if budget - 1.0 < floor - 1e-6:
            return False
        self._budgets[pair] = budget - 1.0
        return True


def _is_safe_to_retry(failure: Failure) -> bool:
    if failure.idempotent:
        return True
    return failure.refusal.outcome is errors.Outcome.NOT_RUN


def _give_up(refusal: errors.Refusal) -> GiveUp:
    if refusal.final:
        return GiveUp(refusal)
    return GiveUp(dataclasses.replace(refusal, final=True))


def allowance_ledger(allowance: int) -> AllowanceLedger:
    """Create the ledger of a call that arrived with ``allowance``."""
    return AllowanceLedger(allowance)


def retry_policy(rng: random.Random) -> RetryPolicy:
    """Create a policy with empty budgets."""
    return RetryPolicy(rng)
