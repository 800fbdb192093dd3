"""Simulations of retries in a call tree: allowance, budget and safety."""

import dataclasses
import enum
import random

from hypothesis import strategies as st
import pytest

from parsleystile import errors
from parsleystile import events
from parsleystile.invariants import Invariant
from parsleystile import retries
from tests import driven

_ROOT = 'r'


class Fate(enum.Enum):
    """Result of one attempt."""

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True)
class Plan:
    depth: int
    fan_out: int
    is_parallel: bool
    allowance: int
    idempotent: tuple[bool, ...]
    fates: tuple[Fate, ...]


def _plans(allowance, fan_out=1):
    return st.builds(
        Plan,
        depth=st.integers(1, 22 if fan_out == 1 else 4),
        fan_out=st.integers(1, fan_out),
        is_parallel=st.booleans(),
        allowance=st.integers(0, allowance),
        idempotent=st.tuples(*[st.booleans()] * 4),
        fates=st.lists(st.sampled_from(Fate), min_size=1, max_size=40).map(
            tuple
        ),
    )


class _Tree:
    """A root request and its call tree, using the real retry decisions.

    ``is_divided`` and ``is_safe`` disable a mechanism if false.
    """

    def __init__(self, plan, is_divided=True, is_safe=True):
        self._plan = plan
        self._is_divided = is_divided
        self._is_safe = is_safe
        self._scheduler = driven.Scheduler()
        self._policies = {}
        self._attempts = 0
        self._requests = 0

    def run(self):
        self._record(
            events.Admitted(
                stage=events.Stage.INGRESS,
                root_id=_ROOT,
                organisation='org',
                importance=1,
                rank=1.0,
                retry_allowance=self._plan.allowance,
            )
        )
        ledger = retries.allowance_ledger(self._plan.allowance)
        self._call('0', 1, ledger, None)
        return self._scheduler.history()

    def _record(self, event):
        self._scheduler.record('n1', event)

    def _policy(self, depth):
        if depth not in self._policies:
            policy = retries.retry_policy(random.Random(depth))
            for _ in range(200):
                policy.record_first_attempt('a', 'b')
            self._policies[depth] = policy
        return self._policies[depth]

    def _next_fate(self):
        fates = self._plan.fates
        self._attempts += 1
        return fates[self._attempts % len(fates)]

    def _lend(self, ledger):
        if self._is_divided:
            return ledger.lend()
        return ledger.unspent

    def _call(self, path, depth, ledger, lent):
        """Make one logical call; its retries are spent from ``ledger``."""
        plan = self._plan
        idempotent = plan.idempotent[depth % 4]
        self._requests += 1
        request_id = _ROOT if depth == 1 else f'c{self._requests}'
        self._record(
            events.RequestSent(
                request_id=request_id,
                call_path=path,
                root_request_id=_ROOT,
                organisation='org',
                via='n1',
                idempotent=idempotent,
                retry_allowance=plan.allowance,
            )
        )
        self._policy(depth).record_first_attempt('a', 'b')
        for attempt in range(1, 100):
            if lent is None:
                lent = self._lend(ledger)
            refusal = self._attempt(request_id, path, depth, ledger, lent)
            lent = None
            if refusal is None:
                return
            failure = retries.Failure(
                refusal,
                idempotent or not self._is_safe,
                attempt,
                10_000.0,
                1.0,
                'a',
                'b',
            )
            decision = self._policy(depth).decide(failure, ledger)
            if isinstance(decision, retries.GiveUp):
                return
            self._record(
                events.Retried(
                    root_id=_ROOT,
                    depth=depth,
                    after=refusal.reason,
                    allowance_left=ledger.unspent,
                )
            )

    def _attempt(self, request_id, path, depth, ledger, lent):
        fate = self._next_fate()
        if fate is Fate.SHED:
            ledger.give_back(lent if self._is_divided else 0, lent)
            return errors.not_run(errors.Reason.SHED)
        self._record(
            events.Executed(
                target_id=f't{self._attempts}',
                request_id=request_id,
                call_path=path,
                root_request_id=_ROOT,
            )
        )
        own = retries.allowance_ledger(lent)
        if depth < self._plan.depth:
            self._children(path, depth, own)
        if fate is Fate.LOST:
            return errors.unknown(errors.Reason.LINK_LOST)
        if self._is_divided:
            ledger.give_back(lent, own.unspent)
        if fate is Fate.FAILED:
            return errors.unknown(errors.Reason.TARGET_FAILED)
        return None

    def _children(self, path, depth, own):
        count = self._plan.fan_out
        lent = [None] * count
        if self._plan.is_parallel:
            lent = [self._lend(own) for _ in range(count)]
        for child in range(count):
            self._call(f'{path}/{child}', depth + 1, own, lent[child])


_INVARIANTS = {Invariant.RETRIES_BOUNDED, Invariant.AT_MOST_ONCE}


@pytest.mark.parametrize('fan_out', [1, 3])
def test_a_tree_stays_within_its_allowance(fan_out):
    driven.assert_holds(
        _plans(allowance=6, fan_out=fan_out),
        lambda plan: _Tree(plan).run(),
        _INVARIANTS,
        examples=200,
    )


def test_an_undivided_allowance_amplifies_some_tree():
    driven.assert_breaks(
        _plans(allowance=2),
        lambda plan: _Tree(plan, is_divided=False).run(),
        Invariant.RETRIES_BOUNDED,
    )


def test_without_the_safety_check_some_call_runs_twice():
    driven.assert_breaks(
        _plans(allowance=2),
        lambda plan: _Tree(plan, is_safe=False).run(),
        Invariant.AT_MOST_ONCE,
    )
