import dataclasses
import random

import hypothesis
from hypothesis import strategies as st

from parsleystile import context
from parsleystile import errors
from parsleystile import retries

SHED = errors.not_run(errors.Reason.SHED)
LOST = errors.unknown(errors.Reason.LINK_LOST)


def _failure(refusal=SHED, idempotent=True, remaining_ms=1000.0, attempt=1):
    return retries.Failure(
        refusal, idempotent, attempt, remaining_ms, 10.0, 'a', 'b'
    )


def _policy(first_attempts=100):
    policy = retries.retry_policy(random.Random(1))
    for _ in range(first_attempts):
        policy.record_first_attempt('a', 'b')
    return policy


def _decide(failure, allowance=2, policy=None):
    ledger = retries.allowance_ledger(allowance)
    return (policy or _policy()).decide(failure, ledger), ledger


def test_a_retry_spends_one_unit():
    decision, ledger = _decide(_failure())
    assert isinstance(decision, retries.Retry)
    assert ledger.unspent == 1


def test_a_non_idempotent_call_is_retried_only_if_not_run():
    decision, _ = _decide(_failure(idempotent=False))
    assert isinstance(decision, retries.Retry)
    decision, ledger = _decide(_failure(LOST, idempotent=False))
    assert decision.refusal.outcome is errors.Outcome.UNKNOWN
    assert decision.refusal.final
    assert ledger.unspent == 2
    decision, _ = _decide(_failure(LOST))
    assert isinstance(decision, retries.Retry)


def test_giving_up_is_final_for_every_node_upstream():
    decision, _ = _decide(_failure(), allowance=0)
    assert decision.refusal == dataclasses.replace(SHED, final=True)
    upstream, ledger = _decide(_failure(decision.refusal))
    assert upstream == retries.GiveUp(decision.refusal)
    assert ledger.unspent == 2


def test_a_refusal_that_another_target_would_repeat_is_not_retried():
    for reason in (errors.Reason.DEADLINE, errors.Reason.RATE_LIMITED):
        decision, _ = _decide(_failure(errors.not_run(reason)))
        assert isinstance(decision, retries.GiveUp)


def test_a_retry_must_fit_the_deadline():
    decision, ledger = _decide(_failure(remaining_ms=10.0))
    assert isinstance(decision, retries.GiveUp)
    assert ledger.unspent == 2
    for attempt in range(1, 20):
        decision, _ = _decide(_failure(attempt=attempt, remaining_ms=500.0))
        assert 0.0 <= decision.delay_ms <= retries.MAX_BACKOFF_MS


def test_retries_are_at_most_a_tenth_of_first_attempts():
    policy = retries.retry_policy(random.Random(1))
    granted = 0
    for sent in range(1, 2000):
        policy.record_first_attempt('a', 'b')
        decision, _ = _decide(_failure(), policy=policy)
        granted += isinstance(decision, retries.Retry)
        assert granted <= 0.1 * sent + 1e-6
    assert granted >= 190


def test_an_unused_budget_is_capped():
    policy = _policy(100_000)
    decisions = [_decide(_failure(), policy=policy)[0] for _ in range(50)]
    granted = sum(isinstance(d, retries.Retry) for d in decisions)
    assert granted == retries.MAX_BUDGET


def test_a_planned_stop_may_overdraw_the_budget_up_to_a_limit():
    policy = retries.retry_policy(random.Random(1))
    leaving = _failure(errors.not_run(errors.Reason.LEAVING))
    decisions = [_decide(leaving, policy=policy)[0] for _ in range(50)]
    granted = sum(isinstance(d, retries.Retry) for d in decisions)
    assert granted == retries.MAX_BUDGET_DEBT
    for _ in range(150):
        policy.record_first_attempt('a', 'b')
    assert isinstance(_decide(_failure(), policy=policy)[0], retries.GiveUp)


def test_lent_units_are_unavailable_until_returned():
    ledger = retries.allowance_ledger(5)
    first, second = ledger.lend(), ledger.lend()
    assert (first, second, ledger.unspent) == (3, 1, 1)
    ledger.give_back(first, 99)
    assert ledger.unspent == 4
    ledger.give_back(second, 0)
    assert ledger.unspent == 4


def test_a_single_unit_reaches_the_deepest_node():
    lent = 1
    for _ in range(context.MAX_DEPTH):
        ledger = retries.allowance_ledger(lent)
        lent = ledger.lend()
    assert lent == 1


class _Tree:
    """Runs a call tree whose nodes fail and retry at random.

    Allowance is lent to all children before any of them runs, as for
    concurrent child calls.
    """

    def __init__(self, seed, fail_share, widths):
        self.rng = random.Random(seed)
        self.fail_share = fail_share
        self.widths = widths
        self.runs = [0] * (context.MAX_DEPTH + 1)
        self.policy = _policy()

    def plain(self):
        """Return the number of calls at each depth without failures."""
        counts = [1]
        for width in self.widths:
            counts.append(counts[-1] * width)
        return counts

    def run(self, depth, allowance):
        """Run a call; return its refusal, if any, and unspent allowance."""
        self.runs[depth] += 1
        ledger = retries.allowance_ledger(allowance)
        width = self.widths[depth] if depth < len(self.widths) else 0
        lent = [ledger.lend() for _ in range(width)]
        for share in lent:
            refusal = self._child(depth + 1, share, ledger)
            if refusal is not None:
                return refusal, ledger.unspent
        if self.rng.random() < self.fail_share:
            return self.rng.choice([SHED, LOST]), ledger.unspent
        return None, ledger.unspent

    def _child(self, depth, lent, ledger):
        attempt = 1
        while True:
            # The retry budget is refilled, so that only the allowance of the
            # tree bounds the retries.
            for _ in range(10):
                self.policy.record_first_attempt('a', 'b')
            refusal, unspent = self.run(depth, lent)
            lost = refusal is LOST and self.rng.random() < 0.5
            ledger.give_back(lent, 0 if lost else unspent)
            if refusal is None:
                return None
            failure = _failure(refusal, attempt=attempt, remaining_ms=1e9)
            match self.policy.decide(failure, ledger):
                case retries.GiveUp(final):
                    return final
            attempt += 1
            lent = ledger.lend()


def _mostly_chains(widths):
    return [w if at in (1, 4, 7) else 1 for at, w in enumerate(widths)]


_WIDTHS = st.lists(
    st.integers(1, 3), min_size=context.MAX_DEPTH, max_size=context.MAX_DEPTH
).map(_mostly_chains)


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(
    st.integers(0, 10_000),
    st.floats(0.0, 0.5),
    _WIDTHS,
    st.integers(0, 8),
)
def test_work_at_any_depth_is_bounded_by_the_allowance(
    seed, fail_share, widths, allowance
):
    tree = _Tree(seed, fail_share, widths)
    tree.run(0, allowance)
    for ran, plain in zip(tree.runs, tree.plain(), strict=True):
        assert ran <= (1 + allowance) * plain
