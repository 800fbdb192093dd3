import random

import pytest

from parsleystile import admission
from parsleystile import clock
from parsleystile import deadlines
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import guard
from parsleystile import inflight
from parsleystile import metrics
from parsleystile import observer


class _Client:
    def __init__(self):
        self.sent = []

    def send(self, request, on_answer):
        self.sent.append(request)


def _guard():
    client = _Client()
    made = guard.guard(
        admission.admission_queue(random.Random(1)),
        inflight.calls_in_flight(lambda: 'token'),
        client,
        clock.manual_clock(1000.0),
        deadlines.DeadlineWheel(lambda: None),
        metrics.memory_metrics(),
        observer.observer('a-0', 'a', 0.0, lambda event: None),
        lambda organisation: 1.0,
    )
    made.target_up('stock', 8080, 20)
    return made, client


def _submit(made):
    answers = []
    call = ttypes.Call(
        call_id=1,
        root_id='r1',
        organisation='lavapuu',
        importance=1,
        deadline_ms=1000,
        depth=1,
        retry_allowance=0,
        idempotent=False,
        draw=0.5,
        caller_service='',
        callee_service='stock',
        route='stock',
        method='POST',
        path='/stock',
        headers=[],
        body=b'',
        idempotency_key='',
    )
    made.submit(call, answers.append)
    return answers


@pytest.mark.parametrize(
    'reason', [errors.Reason.LEAVING, errors.Reason.DOMAIN_OUT]
)
def test_a_closed_guard_says_not_run_and_reaches_no_target(reason):
    made, client = _guard()
    made.refuse_new(reason)
    [answer] = _submit(made)
    assert answer.outcome == errors.Outcome.NOT_RUN
    assert answer.reason == reason
    assert client.sent == []
    made.refuse_new(None)
    assert _submit(made) == []
    assert len(client.sent) == 1


def test_closing_leaves_what_is_in_flight_alone():
    made, client = _guard()
    assert _submit(made) == []
    made.refuse_new(errors.Reason.LEAVING)
    assert made.in_flight == 1
    assert len(client.sent) == 1
