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
from parsleystile import targetanswer
from parsleystile import transport


NOW_MS = 1000.0
_ANSWER = targetanswer.TargetAnswer(200, ['A', 'b', 'Host', 'x'], b'ok')


class _Transfer(transport.PendingCall):
    def __init__(self):
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class _Client:
    def __init__(self):
        self.sent = []
        self.on_answers = []
        self.transfers = []

    def send(self, request, on_answer):
        self.sent.append(request)
        self.on_answers.append(on_answer)
        self.transfers.append(_Transfer())
        return self.transfers[-1]


def _guard():
    client = _Client()
    time = clock.manual_clock(NOW_MS)
    target_guard = guard.guard(
        admission.admission_queue(random.Random(1)),
        inflight.calls_in_flight(lambda: f'token{len(client.sent)}'),
        client,
        time,
        deadlines.DeadlineWheel(lambda: None),
        metrics.memory_metrics(),
        observer.observer('a-0', 'a', 0.0, lambda event: None),
        lambda organisation: 1.0,
    )
    target_guard.target_up('stock', 8080, 20)
    client.clock = time
    return target_guard, client


def _call(deadline_ms=1000, retry_allowance=0):
    return ttypes.Call(
        call_id=1,
        root_id='r1',
        organisation='lavapuu',
        importance=1,
        deadline_ms=deadline_ms,
        depth=1,
        retry_allowance=retry_allowance,
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


def _submit(target_guard, **fields):
    answers = []
    target_guard.submit(_call(**fields), answers.append)
    return answers


@pytest.mark.parametrize(
    'reason', [errors.Reason.LEAVING, errors.Reason.DOMAIN_OUT]
)
def test_a_closed_guard_refuses_calls_without_running_them(reason):
    target_guard, client = _guard()
    target_guard.refuse_new(reason)
    [answer] = _submit(target_guard)
    assert answer.outcome == errors.Outcome.NOT_RUN
    assert answer.reason == reason
    assert client.sent == []
    target_guard.refuse_new(None)
    assert _submit(target_guard) == []
    assert len(client.sent) == 1


def test_a_guard_without_a_target_says_when_to_come_back():
    target_guard, client = _guard()
    target_guard.target_down()
    [answer] = _submit(target_guard)
    assert answer.outcome == errors.Outcome.NOT_RUN
    assert answer.reason == errors.Reason.NO_TARGET
    assert answer.retry_after_ms > 0
    assert client.sent == []


def test_a_queued_call_does_not_run_at_a_target_of_another_service():
    target_guard, client = _guard()
    target_guard.target_up('stock', 8080, 1)
    _submit(target_guard)
    waiting = _submit(target_guard)
    assert len(client.sent) == 1
    target_guard.target_up('yard', 8080, 20)
    [answer] = waiting
    assert answer.outcome == errors.Outcome.NOT_RUN
    assert len(client.sent) == 1
    # What the earlier target runs takes no slot of the next one.
    client.on_answers[0](errors.unknown(errors.Reason.TARGET_FAILED))
    assert target_guard.in_flight == 0


def test_a_late_failure_of_a_replaced_target_is_none_of_the_next():
    target_guard, client = _guard()
    lost = []
    target_guard.on_unreachable = lambda: lost.append(True)
    _submit(target_guard)
    target_guard.target_up('yard', 8081, 20)
    client.on_answers[0](errors.not_run(errors.Reason.UNREACHABLE))
    assert not lost


def test_closing_keeps_calls_in_flight():
    target_guard, client = _guard()
    assert _submit(target_guard) == []
    target_guard.refuse_new(errors.Reason.LEAVING)
    assert target_guard.in_flight == 1
    assert len(client.sent) == 1


def test_the_target_gets_token_and_timeout_and_its_answer_is_returned():
    target_guard, client = _guard()
    answers = _submit(target_guard, retry_allowance=3)
    headers = client.sent[0].headers
    assert headers[-4:] == [
        'X-Parsleystile-Context',
        'token0',
        'X-Request-Timeout-Ms',
        '1000',
    ]
    client.on_answers[0](_ANSWER)
    [answer] = answers
    assert (answer.status, answer.body) == (200, b'ok')
    assert answer.headers == ['A', 'b']
    assert answer.retry_unspent == 3
    assert target_guard.in_flight == 0


def test_an_unreachable_target_is_reported():
    target_guard, client = _guard()
    seen = []
    target_guard.on_unreachable = lambda: seen.append(True)
    [answers] = [_submit(target_guard)]
    refused = errors.not_run(errors.Reason.UNREACHABLE)
    client.on_answers[0](refused)
    assert answers[0].outcome == errors.Outcome.NOT_RUN
    assert seen == [True]


def test_cancelling_a_running_call_cancels_its_transfer_and_frees_a_slot():
    target_guard, client = _guard()
    pending = [target_guard.submit(_call(), lambda a: None) for _ in range(3)]
    assert len(client.sent) == 2
    pending[0].cancel()
    assert client.transfers[0].is_cancelled
    assert len(client.sent) == 3


def test_a_call_cancelled_by_an_earlier_refusal_is_not_started():
    target_guard, client = _guard()
    _submit(target_guard)
    _submit(target_guard)
    queued = []
    # Its deadline passes before a slot is free, and its refusal, which is
    # delivered first, cancels the next queued call.
    target_guard.submit(
        _call(deadline_ms=10), lambda answer: [p.cancel() for p in queued]
    )
    queued.append(target_guard.submit(_call(), lambda answer: None))
    client.clock.advance(50.0)
    client.on_answers[0](_ANSWER)
    assert len(client.sent) == 2
    assert target_guard.in_flight == 1
    # Both slots are free again.
    client.on_answers[1](_ANSWER)
    assert _submit(target_guard) == []
    assert _submit(target_guard) == []
    assert len(client.sent) == 4
