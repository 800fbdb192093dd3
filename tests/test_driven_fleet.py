"""Simulations of calls through whole nodes while links and targets fail."""

from hypothesis import strategies as st

import pytest

from parsleystile import dispatcher
from parsleystile import exchange as exchanges
from parsleystile import guard
from parsleystile import inflight
from parsleystile.invariants import Invariant
from parsleystile import retries
from tests import driven
from tests import drivenfleet as df

_REQUESTS = st.builds(
    df.Request,
    at_ms=st.integers(0, 200) | st.integers(3100, 3200),
    node=st.integers(0, 5),
    organisation=st.sampled_from(['org1', 'org2', '']),
    path=st.sampled_from(['/a', '/book', '/open']),
    cancel_after_ms=st.sampled_from([None, None, None, 3, 20]),
)
_FATES = st.lists(st.sampled_from(df.Fate), min_size=1, max_size=12)
_PLANS = st.builds(
    df.Plan,
    seed=st.integers(0, 1000),
    requests=st.lists(_REQUESTS, min_size=1, max_size=12).map(tuple),
    links=_FATES.map(tuple),
    targets=_FATES.map(tuple),
    leaving=st.lists(st.integers(0, 5), max_size=2, unique=True).map(tuple),
)
_INVARIANTS = {
    Invariant.RETRIES_BOUNDED,
    Invariant.ORGANISATION_ISOLATED,
    Invariant.KEY_CONFIDENTIAL,
    Invariant.ANSWER_WHOLE,
    Invariant.NOT_RUN_TRUE,
    Invariant.AT_MOST_ONCE,
    Invariant.LEAVING_TARGET_IDLE,
}


def test_invariants_hold_while_links_and_targets_fail():
    driven.assert_holds(
        _PLANS, lambda plan: df.Fleet(plan).run(), _INVARIANTS, examples=150
    )


def test_a_node_without_a_configuration_does_not_deny_routes():
    plan = df.Plan(1, (), (df.Fate.WELL,), (df.Fate.WELL,), ())
    node = df.Fleet(plan).new_node()
    replies = []
    node.ingress.handle(
        exchanges.Exchange(
            'GET', '/a', [], b'', 0.0, lambda e, reply: replies.append(reply)
        )
    )
    assert [reply.status for reply in replies] == [503]
    assert replies[0].retry_after_ms > 0


class _CopyingLedger(retries.AllowanceLedger):
    """Copies the allowance to each child call instead of dividing it."""

    def lend(self):
        return self.unspent

    def give_back(self, lent, unspent):
        pass


def _forward_all_headers(exchange):
    """Forward every header."""
    names, values = exchange.headers[::2], exchange.headers[1::2]
    split = dict(zip(names, values, strict=True))
    exchange.key = split.get(exchanges.KEY_HEADER, '')
    exchange.token = split.get(exchanges.CONTEXT_HEADER, '')


def _find_latest(calls, token):
    """Return the call started last as the parent of any child call."""
    del token
    return next(reversed(calls._calls.values()), None)


# Mechanism that is disabled: its owner and attribute, the substitute, and the
# invariant that it protects.
_DISABLED = {
    'dispatcher ignores earlier attempts': (
        dispatcher._Attempts,
        '_with_final_outcome',
        lambda self, reply: reply,
        Invariant.NOT_RUN_TRUE,
    ),
    'retry allowance is not divided': (
        retries,
        'allowance_ledger',
        _CopyingLedger,
        Invariant.RETRIES_BOUNDED,
    ),
    'unknown outcomes are retried': (
        retries,
        '_is_safe_to_retry',
        lambda failure: True,
        Invariant.AT_MOST_ONCE,
    ),
    'context tokens are not checked': (
        inflight.CallsInFlight,
        'find',
        _find_latest,
        Invariant.ORGANISATION_ISOLATED,
    ),
    'headers are not filtered': (
        exchanges,
        'split_headers',
        _forward_all_headers,
        Invariant.KEY_CONFIDENTIAL,
    ),
    'guard ignores a leaving target': (
        guard.Guard,
        'drain',
        lambda self: None,
        Invariant.LEAVING_TARGET_IDLE,
    ),
}


@pytest.mark.parametrize('name', _DISABLED)
def test_disabling_a_mechanism_violates_its_invariant(name, monkeypatch):
    owner, attribute, substitute, invariant = _DISABLED[name]
    monkeypatch.setattr(owner, attribute, substitute)
    driven.assert_breaks(_PLANS, lambda plan: df.Fleet(plan).run(), invariant)
