import pytest

from parsleystile import burn
from parsleystile import clock
from parsleystile import context
from parsleystile import errors
from parsleystile import events as history_events
from parsleystile import exchange as exchanges
from parsleystile import explain
from parsleystile import fleetconfig
from parsleystile import history
from parsleystile import observer


@pytest.fixture
def events():
    return []


@pytest.fixture
def seen(events):
    return observer.observer('n1', 'savo-1', 0.0, events.append)


def _exchange(root_id):
    made = exchanges.Exchange('GET', '/stock', [], b'', 10.0, None)
    made.organisation = 'homes'
    made.route = fleetconfig.Route(path_prefix='/stock', service='stock')
    made.context = context.CallContext(
        root_id=root_id,
        organisation='homes',
        importance=context.Importance.NORMAL,
        draw=0.5,
        deadline_ms=99.0,
        depth=1,
        retry_allowance=0,
        idempotent=True,
        caller_service='',
    )
    return made


def _row(seen):
    found = seen.burn_recorder.snapshot(20.0).organisations['homes']
    return found.windows[0]


def _sampled(wanted):
    names = (f'root-{n}' for n in range(10_000))
    return next(n for n in names if explain.is_sampled(n) is wanted)


def test_a_refusal_is_counted_remembered_and_logged(seen, events):
    root_id = _sampled(False)
    refusal = errors.not_run(errors.Reason.SHED, 'level 1.2')
    seen.root_done(_exchange(root_id), refusal, 14.0)
    assert _row(seen)[burn.Count.NOT_RUN] == 1
    (entry,) = seen.call_log.explain(root_id, 20.0).entries
    assert 'level 1.2' in entry.text
    (event,) = events
    assert (event.why, event.reason) == ('level 1.2', errors.Reason.SHED)


def test_a_rate_refusal_burns_nothing(seen):
    refusal = errors.not_run(errors.Reason.RATE_LIMITED)
    seen.root_done(_exchange('r'), refusal, 14.0)
    assert _row(seen)[burn.Count.DEMANDED] == 0
    assert _row(seen)[burn.Count.OVER_RATE] == 1


@pytest.mark.parametrize('sampled', [True, False])
def test_answers_are_counted_and_remembered_for_the_sample(seen, sampled):
    root_id = _sampled(sampled)
    answer = exchanges.Answer(200, [], b'')
    seen.root_done(_exchange(root_id), answer, 14.0)
    assert _row(seen)[burn.Count.GOOD] == 1
    assert len(seen.call_log.explain(root_id, 20.0).entries) == sampled


def test_a_request_without_context_is_logged_all_the_same(seen, events):
    exchange = _exchange('r')
    exchange.context = exchange.route = None
    refusal = errors.not_run(errors.Reason.NO_ROUTE, 'no route')
    seen.root_done(exchange, refusal, 14.0)
    assert events[0].root_id == ''
    assert _row(seen)[burn.Count.CALLER_FAULT] == 1


def test_a_guard_refusal_names_its_stage(seen, events):
    refusal = errors.not_run(errors.Reason.QUEUE_FULL)
    seen.guard_refused(_exchange('r9').context, 'stock', refusal, 14.0)
    (entry,) = seen.call_log.explain('r9', 20.0).entries
    assert 'refused at admit' in entry.text
    assert events[0].evidence == 'stage=admit'


def test_a_trial_records_each_decision_on_a_call():
    recorder = history.memory_recorder('n1', clock.manual_clock())
    seen = observer.observer('n1', 'd', 0.0, lambda event: None, recorder)
    exchange = _exchange('r')
    call = exchange.context
    seen.root_admitted(exchange, 11.0)
    seen.target_called(call, 'stock:1', 'token', (1, 2), 12.0)
    seen.retried(call, errors.Reason.SHED, 1, 13.0)
    seen.cancelled(call)
    refusal = errors.not_run(errors.Reason.SHED)
    seen.guard_refused(call, 'stock', refusal, 14.0)
    seen.root_done(exchange, refusal, 15.0)
    assert [type(entry.event) for entry in recorder.entries] == [
        history_events.Admitted,
        history_events.Admitted,
        history_events.TargetCalled,
        history_events.Retried,
        history_events.Cancelled,
        history_events.Refused,
        history_events.Refused,
    ]
