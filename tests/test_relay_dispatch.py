"""Reroutes and retries of a request."""

import os
import random

import pytest

from parsleystile import balancer
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile import members
from parsleystile.relay import dispatch
from parsleystile.relay import noticememory
from parsleystile.relay import policy
from parsleystile.relay import retrybudget
from parsleystile.relay import telemetry
from parsleystile import transport
from parsleystile import wire

_FULL = ttypes.Load(20, 20, 5, 3.0)
_SHEDDING = ttypes.Load(20, 20, 90, 2.4)


class _Links:
    """Answers each call with the next step of a script."""

    def __init__(self, script):
        self._script = list(script)
        self.sent = []

    def call(self, to, call, on_answer):
        self.sent.append(to)
        step = self._script.pop(0)
        if isinstance(step, tuple):
            refusal, load = step
            step = wire.answer_from_refusal(1, refusal, 0, load)
        on_answer(step)


def _answer(status, load=_FULL):
    return ttypes.Answer(
        1, errors.Outcome.ANSWERED, status, [], b'', 0, '', 0, 0, load, False
    )


def _send(script, is_idempotent=True, slack=1000.0):
    """Return the reply to one request and the links that carried it."""
    rng = random.Random(4)
    candidates = [
        members.Member(
            ids.NodeId(f'n{i}'),
            ids.VmId(f'n{i}'),
            ids.RegionId('r'),
            ids.FailureDomainId('a'),
            ids.ServiceName('yard'),
            20,
            transport.Address('127.0.0.1', i),
            transport.Address('127.0.0.1', i),
            ids.Incarnation(1),
        )
        for i in range(1, 5)
    ]
    chooser = balancer.balancer('a', 'r', 'n0', rng)
    chooser.set_members('yard', candidates)
    clock = clocks.manual_clock()
    links = _Links(script)
    replies = []
    route = policy.Route(
        ids.RouteId('browse'),
        'h',
        '/a/',
        (policy.Destination(ids.ServiceName('yard')),),
        is_idempotent,
        False,
        1000.0,
        100.0,
        2,
        0,
    )
    call = ttypes.Call(
        callee_service='yard',
        root_id='c1',
        depth=1,
        organisation='',
        idempotent=is_idempotent,
    )
    descriptor = os.open(os.devnull, os.O_WRONLY)
    deps = dispatch.Dependencies(
        own_node_id=ids.NodeId('n0'),
        balancer=chooser,
        budget=retrybudget.retry_budget(
            retrybudget.Settings(0.0, slack, 10_000.0)
        ),
        notices=noticememory.notice_memory(),
        links=links,
        guard=None,
        clock=clock,
        wheel=deadlines.DeadlineWheel(),
        recorder=telemetry.recorder('n0', clock, descriptor),
        on_unreachable=lambda node_id, why: None,
        on_load=lambda *args: None,
        on_child_load=lambda *args: None,
    )
    dispatch.Dispatch(deps, call, route, 1000.0, replies.append).start()
    os.close(descriptor)
    (reply,) = replies
    return reply, links


def _refused(reason, load=_FULL):
    return errors.not_run(reason), load


@pytest.mark.parametrize(
    'reason',
    [
        errors.Reason.DEADLINE,
        errors.Reason.QUEUE_FULL,
        errors.Reason.SHED,
        errors.Reason.LEAVING,
        errors.Reason.DOMAIN_OUT,
        errors.Reason.UNREACHABLE,
    ],
    ids=lambda reason: reason.name,
)
@pytest.mark.parametrize('is_idempotent', [True, False])
def test_refusal_before_execution_is_rerouted(reason, is_idempotent):
    reply, links = _send([_refused(reason), _answer(200)], is_idempotent)
    assert reply.status == 200
    assert links.sent[0] != links.sent[1]


def test_overloaded_targets_are_rerouted_once():
    full = _refused(errors.Reason.QUEUE_FULL)
    reply, links = _send([full] * 4)
    assert reply.outcome is errors.Outcome.NOT_RUN
    assert len(links.sent) == 2


def test_leaving_targets_are_skipped():
    leaving = _refused(errors.Reason.LEAVING)
    reply, links = _send([leaving, leaving, leaving, _answer(200)])
    assert reply.status == 200
    assert len(links.sent) == 4


def test_a_lost_call_is_retried_only_if_idempotent():
    lost = errors.unknown(errors.Reason.LINK_LOST)
    reply, links = _send([lost, _answer(200)])
    assert reply.status == 200
    reply, links = _send([lost, _answer(200)], is_idempotent=False)
    assert reply.outcome is errors.Outcome.UNKNOWN
    assert len(links.sent) == 1


def test_retries_stop_at_the_target_limit_of_the_route():
    lost = errors.unknown(errors.Reason.LINK_LOST)
    reply, links = _send([lost] * 4)
    assert reply.outcome is errors.Outcome.UNKNOWN
    assert len(links.sent) == 2


def test_a_later_refusal_keeps_the_outcome_unknown():
    lost = errors.unknown(errors.Reason.LINK_LOST)
    full = _refused(errors.Reason.QUEUE_FULL)
    reply, _ = _send([lost, full, full, full])
    assert reply.outcome is errors.Outcome.UNKNOWN


def test_no_retry_without_budget():
    lost = errors.unknown(errors.Reason.LINK_LOST)
    reply, links = _send([lost, _answer(200)], slack=0.0)
    assert reply.outcome is errors.Outcome.UNKNOWN
    assert len(links.sent) == 1


def test_a_server_error_is_retried_unless_caused_by_overload():
    reply, links = _send([_answer(500), _answer(200)])
    assert reply.status == 200
    reply, links = _send([_answer(500, _SHEDDING), _answer(200)])
    assert reply.status == 500
    assert len(links.sent) == 1


@pytest.mark.parametrize(
    'second',
    [
        _refused(errors.Reason.QUEUE_FULL),
        errors.unknown(errors.Reason.LINK_LOST),
    ],
    ids=['refused', 'lost'],
)
def test_a_targets_failure_is_the_answer_if_the_retry_brings_none(second):
    reply, links = _send([_answer(500), second, second, second])
    assert len(links.sent) > 1
    assert reply.status == 500
