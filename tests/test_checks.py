"""Each checker accepts valid histories and rejects invalid ones."""

import pytest

from parsleystile import checks
from parsleystile import context
from parsleystile import errors
from parsleystile import events
from parsleystile import invariants
from parsleystile.invariants import Invariant
from tests import histories as h

_CRITICAL = context.Importance.CRITICAL
_SHEDDABLE = context.Importance.SHEDDABLE
_NOT_RUN = errors.Outcome.NOT_RUN
_UNKNOWN = errors.Outcome.UNKNOWN


def _timed(*pairs):
    return [h.at(at_ms, event) for at_ms, event in pairs]


def _tokens_taken_at(*times_ms):
    head = (0, h.limits(rate_per_s=10, burst=2))
    return _timed(head, *((t, h.quota_taken()) for t in times_ms))


def _executed_at(*times_ms):
    pairs = [(0, h.limits(rate_per_s=10, burst=2))]
    for number, at_ms in enumerate(times_ms):
        pairs.append((at_ms - 1, h.sent(f'r{number}')))
        pairs.append((at_ms, h.executed(f'r{number}')))
    return _timed(*pairs)


def _shed_load(critical_shed, sheddable_shed, per_class=20):
    history = []
    for importance, count in (
        (_CRITICAL, critical_shed),
        (_SHEDDABLE, sheddable_shed),
    ):
        for number in range(per_class):
            root_id = f'{importance}-{number}'
            passed = h.admitted(importance, root_id=root_id)
            history.append(h.at(10, passed))
            if number < count:
                history.append(h.at(11, h.shed(importance, root_id)))
    return history


def _over_rate(importance, count):
    """Return calls that the rate limit refused."""
    reason = errors.Reason.RATE_LIMITED
    return [
        h.at(12, h.shed(importance, f'rate-{importance}-{number}', reason))
        for number in range(count)
    ]


_STARTED = events.NodeStarted()
_STOP = events.StopPlanned(subject='n2')


def _stopped(exit_code=0):
    return events.NodeStopped(subject='n2', exit_code=exit_code)


def _fault(kind='pause', node='n1'):
    return events.FaultStarted(kind=kind, subjects=(node,))


def _fault_ended(kind='pause', node='n1'):
    return events.FaultEnded(kind=kind, subjects=(node,))


_CHILD = {'root_request_id': 'r1', 'call_path': 'book/stock'}

_VALID_HISTORIES = {
    'retry within the allowance': (
        Invariant.RETRIES_BOUNDED,
        _timed(
            (0, h.sent(retry_allowance=1)),
            (1, h.admitted(retry_allowance=1)),
            (2, h.executed()),
            (3, h.executed(target='t2')),
            (4, h.sent('c1', **_CHILD)),
            (5, h.executed('c1', **_CHILD)),
        ),
    ),
    'sheddable is shed first': (
        Invariant.IMPORTANT_SHED_LAST,
        _shed_load(2, 10),
    ),
    'only one class exceeds its rate': (
        Invariant.IMPORTANT_SHED_LAST,
        _shed_load(10, 10) + _over_rate(_SHEDDABLE, 60),
    ),
    'too few calls to compare': (
        Invariant.IMPORTANT_SHED_LAST,
        _shed_load(5, 0, per_class=9),
    ),
    'runs for its own organisation': (
        Invariant.ORGANISATION_ISOLATED,
        _timed((0, h.sent()), (1, h.called()), (2, h.executed(token='x'))),
    ),
    'open route without a key': (
        Invariant.ORGANISATION_ISOLATED,
        _timed(
            (0, h.sent(organisation='', key='', is_open=True)),
            (1, h.called(organisation='')),
            (2, h.executed(token='x')),
        ),
    ),
    'headers without the key': (
        Invariant.KEY_CONFIDENTIAL,
        _timed((0, h.sent()), (1, h.executed(headers=('accept: */*',)))),
    ),
    'key used until the bound': (
        Invariant.KEY_WITHDRAWN,
        _timed(
            (0, events.KeyWithdrawn(key_id='k1')),
            (2900, h.sent()),
            (2950, h.admitted()),
            (3500, h.executed()),
            (4000, h.sent('r2')),
        ),
    ),
    'burst, then rate': (
        Invariant.RATE_LIMITED,
        _tokens_taken_at(5, 6, 105, 205, 1000, 1000),
    ),
    'limits raised': (
        Invariant.RATE_LIMITED,
        _tokens_taken_at(1, 2)
        + _timed((3, h.limits(rate_per_s=10, burst=50)))
        + _timed((5003, h.quota_taken()), *[(5003, h.quota_taken())] * 49),
    ),
    'runs within rate': (Invariant.RATE_LIMITED, _executed_at(10, 20, 210)),
    'cold target within its slots': (
        Invariant.COLD_TARGET_SPARED,
        _timed(
            (0, h.capacity(1, is_announced=True)),
            (1, h.executed('r1')),
            (2, h.ended('r1')),
            (3, h.executed('r2')),
            (4, h.capacity(4, is_announced=False)),
            (5, h.executed('r3')),
        ),
    ),
    'turned cold within the detection time': (
        Invariant.COLD_TARGET_SPARED,
        _timed(
            (0, h.capacity(4, is_announced=True)),
            (10, h.capacity(1, is_announced=False)),
            (11, h.executed('r1')),
            (12, h.executed('r2')),
        ),
    ),
    'domain taken out, another domain, and brought back': (
        Invariant.DOMAIN_OUT_IDLE,
        _timed(
            (0, h.announced()),
            (0, h.announced('t2', 'd2')),
            (1, events.DomainOut(failure_domain='d1')),
            (2000, h.executed()),
            (9000, h.executed(target='t2')),
            (9001, events.DomainIn(failure_domain='d1')),
            (9002, h.executed()),
        ),
    ),
    'answers in reverse order': (
        Invariant.ANSWER_WHOLE,
        _timed(
            (0, h.ended('r2', digest='b')),
            (1, h.ended('r1', digest='a')),
            (2, h.answered('r1', 'a')),
            (3, h.answered('r2', 'b')),
        ),
    ),
    'answer to another attempt of the operation': (
        Invariant.ANSWER_WHOLE,
        _timed(
            (0, h.sent(idempotent=False, idempotency_key='i')),
            (1, h.sent('r2', idempotent=False, idempotency_key='i')),
            (2, h.ended('r1', digest='a')),
            (3, h.answered('r2', 'a')),
        ),
    ),
    'not run and unknown': (
        Invariant.NOT_RUN_TRUE,
        _timed(
            (0, h.answered('r1', outcome=_NOT_RUN)),
            (1, h.executed('r2')),
            (2, h.answered('r2', outcome=_UNKNOWN)),
        ),
    ),
    'idempotent twice, non-idempotent once': (
        Invariant.AT_MOST_ONCE,
        _timed(
            (0, h.sent('r1')),
            (1, h.executed('r1')),
            (2, h.executed('r1')),
            (3, h.sent('r2', idempotent=False, idempotency_key='i')),
            (4, h.executed('r2')),
            (5, h.sent('r3', idempotent=False, idempotency_key='j')),
            (6, h.executed('r3')),
        ),
    ),
    'leaving, then announced again': (
        Invariant.LEAVING_TARGET_IDLE,
        _timed(
            (0, events.TargetLeaving(target_id='t1')),
            (2000, h.executed()),
            (9000, h.announced()),
            (9001, h.executed()),
        ),
    ),
    'planned stop after the answers': (
        Invariant.STOP_GRACEFUL,
        _timed(
            (0, h.sent('r1')),
            (1, _STOP),
            (2, h.answered('r1')),
            (3, h.sent('r2')),
            (4, h.answered('r2', outcome=_NOT_RUN)),
            (5, _stopped()),
        ),
    ),
    'kill long after a planned stop': (
        Invariant.STOP_GRACEFUL,
        _timed((1, _STOP), (2, _stopped()), (9, _stopped(exit_code=-9))),
    ),
    'kill during a planned stop': (
        Invariant.STOP_GRACEFUL,
        _timed(
            (0, h.sent('r1')),
            (1, _STOP),
            (2, _fault('kill')),
            (3, _stopped()),
        ),
    ),
    'in force everywhere in time': (
        Invariant.CONFIG_DURABLE,
        _timed((0, _STARTED), (1, h.in_force(1)), (2, h.accepted(2)))
        + [h.at(3, _STARTED, 'n2'), h.at(4, h.in_force(2), 'n2')]
        + _timed((90, h.in_force(2)), (9000, h.quota_taken())),
    ),
    'paused node catches up': (
        Invariant.CONFIG_DURABLE,
        _timed(
            (0, _STARTED),
            (1, _fault()),
            (2, h.accepted(2)),
            (8000, _fault_ended()),
            (9000, h.in_force(2)),
            (99000, h.quota_taken()),
        ),
    ),
}

_INVALID_HISTORIES = {
    'retry over the allowance, recorded by targets': (
        Invariant.RETRIES_BOUNDED,
        _timed((0, h.sent()), (1, h.executed()), (2, h.executed())),
    ),
    'two parents each make the child call': (
        Invariant.RETRIES_BOUNDED,
        _timed(
            (0, h.sent()),
            (1, h.executed('c1', **_CHILD)),
            (2, h.executed('c2', **_CHILD)),
        ),
    ),
    'retry over the allowance, recorded by nodes': (
        Invariant.RETRIES_BOUNDED,
        _timed(
            (0, h.admitted(retry_allowance=0)),
            (
                1,
                events.Retried(
                    root_id='root',
                    depth=2,
                    after=errors.Reason.SHED,
                    allowance_left=0,
                ),
            ),
        ),
    ),
    'critical is shed first': (
        Invariant.IMPORTANT_SHED_LAST,
        _shed_load(10, 2),
    ),
    'critical is shed first among calls over their rate': (
        Invariant.IMPORTANT_SHED_LAST,
        _shed_load(10, 2) + _over_rate(_CRITICAL, 100),
    ),
    'runs for another organisation': (
        Invariant.ORGANISATION_ISOLATED,
        _timed(
            (0, h.sent()),
            (1, h.called(organisation='other')),
            (2, h.executed(token='x')),
        ),
    ),
    'child runs for another organisation': (
        Invariant.ORGANISATION_ISOLATED,
        _timed(
            (0, h.sent()),
            (1, h.sent('c1', organisation='', **_CHILD)),
            (2, h.called('y', organisation='other')),
            (3, h.executed('c1', token='y', **_CHILD)),
        ),
    ),
    'runs without a valid key': (
        Invariant.ORGANISATION_ISOLATED,
        _timed((0, h.sent(organisation='')), (1, h.executed())),
    ),
    'runs though no caller sent it': (
        Invariant.ORGANISATION_ISOLATED,
        _timed((1, h.executed())),
    ),
    'key in a header': (
        Invariant.KEY_CONFIDENTIAL,
        _timed(
            (0, h.sent()),
            (1, h.executed(headers=('x-api-key: secret-of-org',))),
        ),
    ),
    'key in the path of a child call': (
        Invariant.KEY_CONFIDENTIAL,
        _timed(
            (0, h.sent()),
            (1, h.executed('c1', path='/a?k=secret-of-org')),
        ),
    ),
    'withdrawn key admitted': (
        Invariant.KEY_WITHDRAWN,
        _timed((0, events.KeyWithdrawn(key_id='k1')), (3001, h.admitted())),
    ),
    'withdrawn key executed': (
        Invariant.KEY_WITHDRAWN,
        _timed(
            (0, events.KeyWithdrawn(key_id='k1')),
            (3001, h.sent()),
            (3002, h.executed()),
        ),
    ),
    'withdrawn key issued again': (
        Invariant.KEY_WITHDRAWN,
        _timed(
            (0, events.KeyWithdrawn(key_id='k1')),
            (1, events.KeyIssued(key_id='k1', organisation='org')),
        ),
    ),
    'over the burst': (Invariant.RATE_LIMITED, _tokens_taken_at(5, 6, 7)),
    'over the rate after a quiet period': (
        Invariant.RATE_LIMITED,
        _tokens_taken_at(5000, 5001, 5050),
    ),
    'split over two nodes': (
        Invariant.RATE_LIMITED,
        _tokens_taken_at(1, 2) + [h.at(3, h.quota_taken(), 'n2')],
    ),
    'targets run more than allowed': (
        Invariant.RATE_LIMITED,
        _executed_at(10, 11, 12),
    ),
    'cold target gets more than its slots': (
        Invariant.COLD_TARGET_SPARED,
        _timed(
            (0, h.capacity(1, is_announced=True)),
            (1, h.executed('r1')),
            (2, h.executed('r2')),
        ),
    ),
    'turned cold before the detection time': (
        Invariant.COLD_TARGET_SPARED,
        _timed(
            (0, h.capacity(4, is_announced=True)),
            (10, h.capacity(1, is_announced=False)),
            (2011, h.executed('r1')),
            (2012, h.executed('r2')),
        ),
    ),
    'domain taken out still gets work': (
        Invariant.DOMAIN_OUT_IDLE,
        _timed(
            (0, h.announced()),
            (1, events.DomainOut(failure_domain='d1')),
            (3002, h.executed()),
        ),
    ),
    'taken out twice, bound counts from the first': (
        Invariant.DOMAIN_OUT_IDLE,
        _timed(
            (0, h.announced()),
            (1, events.DomainOut(failure_domain='d1')),
            (3000, events.DomainOut(failure_domain='d1')),
            (3002, h.executed()),
        ),
    ),
    "another request's answer": (
        Invariant.ANSWER_WHOLE,
        _timed((0, h.ended('r2', digest='b')), (1, h.answered('r1', 'b'))),
    ),
    'answer to another operation': (
        Invariant.ANSWER_WHOLE,
        _timed(
            (0, h.sent(idempotent=False, idempotency_key='i')),
            (1, h.sent('r2', idempotent=False, idempotency_key='j')),
            (2, h.ended('r1', digest='a')),
            (3, h.answered('r2', 'a')),
        ),
    ),
    'answer truncated': (
        Invariant.ANSWER_WHOLE,
        _timed((0, h.ended()), (1, h.answered(digest='part'))),
    ),
    'answered twice': (
        Invariant.ANSWER_WHOLE,
        _timed((0, h.ended()), (1, h.answered()), (2, h.answered())),
    ),
    'reported not run after it ran': (
        Invariant.NOT_RUN_TRUE,
        _timed((0, h.executed()), (1, h.answered(outcome=_NOT_RUN))),
    ),
    'reported not run, ran later': (
        Invariant.NOT_RUN_TRUE,
        _timed((0, h.answered(outcome=_NOT_RUN)), (1, h.executed())),
    ),
    'run twice by the system': (
        Invariant.AT_MOST_ONCE,
        _timed(
            (0, h.sent(idempotent=False)),
            (1, h.executed()),
            (2, h.executed(target='t2')),
        ),
    ),
    "run twice by its caller's retry": (
        Invariant.AT_MOST_ONCE,
        _timed(
            (0, h.sent(idempotent=False, idempotency_key='i')),
            (1, h.sent('r2', idempotent=False, idempotency_key='i')),
            (2, h.executed('r1')),
            (3, h.executed('r2')),
        ),
    ),
    'leaving target gets work': (
        Invariant.LEAVING_TARGET_IDLE,
        _timed(
            (0, events.TargetLeaving(target_id='t1')),
            (3001, h.executed()),
        ),
    ),
    'planned stop interrupts a request': (
        Invariant.STOP_GRACEFUL,
        _timed(
            (0, h.sent()),
            (1, _STOP),
            (2, h.answered(outcome=_UNKNOWN)),
            (3, _stopped()),
        ),
    ),
    'request never ends': (
        Invariant.STOP_GRACEFUL,
        _timed((0, h.sent()), (1, _STOP), (3, _stopped())),
    ),
    'request interrupted after an earlier fault': (
        Invariant.STOP_GRACEFUL,
        _timed(
            (0, _fault()),
            (1, _fault_ended()),
            (2, h.sent()),
            (3, _STOP),
            (4, _stopped()),
        ),
    ),
    'second planned stop interrupts a request': (
        Invariant.STOP_GRACEFUL,
        _timed(
            (1, _STOP),
            (2, _stopped()),
            (3, h.sent()),
            (4, _STOP),
            (5, h.answered(outcome=_UNKNOWN)),
            (6, _stopped()),
        ),
    ),
    'planned stop fails': (
        Invariant.STOP_GRACEFUL,
        _timed((1, _STOP), (3, _stopped(exit_code=-9))),
    ),
    'not in force in time': (
        Invariant.CONFIG_DURABLE,
        _timed(
            (0, _STARTED),
            (1, h.in_force(1)),
            (2, h.accepted(2)),
            (4000, h.in_force(2)),
        ),
    ),
    'reverted': (
        Invariant.CONFIG_DURABLE,
        _timed((1, h.in_force(2)), (2, h.in_force(1))),
    ),
    'a new node applies an old version': (
        Invariant.CONFIG_DURABLE,
        _timed(
            (0, h.accepted(2)),
            (5000, _STARTED),
            (5001, h.in_force(1)),
            (9000, h.quota_taken()),
        ),
    ),
    'two presets in force': (
        Invariant.CONFIG_DURABLE,
        _timed((1, h.in_force(2)), (2, h.in_force(2, preset='peak'))),
    ),
    'two changes accepted as one version': (
        Invariant.CONFIG_DURABLE,
        _timed((1, h.accepted(2, 'a')), (2, h.accepted(2, 'b'))),
    ),
    'accepted preset is not the one in force': (
        Invariant.CONFIG_DURABLE,
        _timed((1, h.accepted(2, preset='peak')), (2, h.in_force(2))),
    ),
}


def test_every_invariant_has_a_checker_and_both_kinds_of_history():
    assert set(checks.CHECKERS) == set(Invariant)
    assert {invariant for invariant, _ in _VALID_HISTORIES.values()} == set(
        Invariant
    )
    assert {invariant for invariant, _ in _INVALID_HISTORIES.values()} == set(
        Invariant
    )


@pytest.mark.parametrize('name', _VALID_HISTORIES)
def test_a_valid_history_is_accepted(name):
    invariant, history = _VALID_HISTORIES[name]
    assert checks.CHECKERS[invariant](history, invariants.Bounds()) == []


@pytest.mark.parametrize('name', _INVALID_HISTORIES)
def test_an_invalid_history_is_rejected(name):
    invariant, history = _INVALID_HISTORIES[name]
    violations = checks.check(history)
    assert invariant in {violation.invariant for violation in violations}


def test_events_are_counted_by_type():
    history = _timed((0, h.sent()), (1, h.executed()), (2, h.executed()))
    assert checks.count_events(history) == {'Executed': 2, 'RequestSent': 1}


def test_an_empty_history_has_no_violations():
    assert checks.check([]) == []
