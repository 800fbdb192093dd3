"""Calls through whole nodes while links and targets fail."""

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
_PROMISES = {
    Invariant.RETRIES_BOUNDED,
    Invariant.ORGANISATION_ISOLATED,
    Invariant.KEY_CONFIDENTIAL,
    Invariant.ANSWER_WHOLE,
    Invariant.NOT_RUN_TRUE,
    Invariant.AT_MOST_ONCE,
    Invariant.LEAVING_TARGET_IDLE,
}


def test_whole_nodes_hold_under_failing_links_and_targets():
    driven.assert_holds(
        _PLANS, lambda plan: df.Fleet(plan).run(), _PROMISES, examples=150
    )


def test_a_node_without_a_document_denies_no_route():
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


class _Spendthrift(retries.AllowanceLedger):
    """Copies the allowance to each child call in place of dividing it."""

    def lend(self):
        return self.unspent

    def give_back(self, lent, unspent):
        pass


def _as_sent(exchange):
    """Pass every header on."""
    names, values = exchange.headers[::2], exchange.headers[1::2]
    split = dict(zip(names, values, strict=True))
    exchange.key = split.get(exchanges.KEY_HEADER, '')
    exchange.token = split.get(exchanges.CONTEXT_HEADER, '')


def _latest(calls, token):
    """Take the call that started last for the parent of any child call."""
    del token
    return next(reversed(calls._calls.values()), None)


# What is switched off, where, by what, and the invariant that then breaks.
_SWITCHED_OFF = {
    'dispatcher forgets earlier attempts': (
        dispatcher._Attempts,
        '_with_final_outcome',
        lambda self, reply: reply,
        Invariant.NOT_RUN_TRUE,
    ),
    'retries are not divided': (
        retries,
        'allowance_ledger',
        _Spendthrift,
        Invariant.RETRIES_BOUNDED,
    ),
    'unknown calls are sent again': (
        retries,
        '_is_safe_to_retry',
        lambda failure: True,
        Invariant.AT_MOST_ONCE,
    ),
    'context tokens are not looked at': (
        inflight.CallsInFlight,
        'find',
        _latest,
        Invariant.ORGANISATION_ISOLATED,
    ),
    'headers are passed on': (
        exchanges,
        'split_headers',
        _as_sent,
        Invariant.KEY_CONFIDENTIAL,
    ),
    'guard ignores that its target leaves': (
        guard.Guard,
        'drain',
        lambda self: None,
        Invariant.LEAVING_TARGET_IDLE,
    ),
}


@pytest.mark.parametrize('name', _SWITCHED_OFF)
def test_without_a_mechanism_some_plan_breaks(name, monkeypatch):
    owner, attribute, substitute, invariant = _SWITCHED_OFF[name]
    monkeypatch.setattr(owner, attribute, substitute)
    driven.assert_breaks(_PLANS, lambda plan: df.Fleet(plan).run(), invariant)
