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
def logged_events():
    return []


@pytest.fixture
def node_observer(logged_events):
    return observer.observer('n1', 'savo-1', 0.0, logged_events.append)


def _exchange(root_id):
    exchange = exchanges.Exchange('GET', '/stock', [], b'', 10.0, None)
    exchange.organisation = 'homes'
    exchange.route = fleetconfig.Route(path_prefix='/stock', service='stock')
    exchange.context = context.CallContext(
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
    return exchange


def _five_minute_counts(node_observer):
    counts = node_observer.burn_recorder.snapshot(20.0).organisations['homes']
    return counts.windows[0]


def _root_id(expected):
    names = (f'root-{n}' for n in range(10_000))
    return next(n for n in names if explain.is_sampled(n) is expected)


def test_a_refusal_is_counted_recorded_and_logged(
    node_observer, logged_events
):
    root_id = _root_id(False)
    refusal = errors.not_run(errors.Reason.SHED, 'level 1.2')
    node_observer.root_done(_exchange(root_id), refusal, 14.0)
    assert _five_minute_counts(node_observer)[burn.Count.NOT_RUN] == 1
    (entry,) = node_observer.call_log.explain(root_id, 20.0).entries
    assert 'level 1.2' in entry.text
    (event,) = logged_events
    assert (event.why, event.reason) == ('level 1.2', errors.Reason.SHED)


def test_a_rate_refusal_does_not_count_as_demanded(node_observer):
    refusal = errors.not_run(errors.Reason.RATE_LIMITED)
    node_observer.root_done(_exchange('r'), refusal, 14.0)
    assert _five_minute_counts(node_observer)[burn.Count.DEMANDED] == 0
    assert _five_minute_counts(node_observer)[burn.Count.OVER_RATE] == 1


@pytest.mark.parametrize('sampled', [True, False])
def test_answers_are_counted_and_recorded_for_sampled_calls(
    node_observer, sampled
):
    root_id = _root_id(sampled)
    answer = exchanges.Answer(200, [], b'')
    node_observer.root_done(_exchange(root_id), answer, 14.0)
    assert _five_minute_counts(node_observer)[burn.Count.GOOD] == 1
    assert (
        len(node_observer.call_log.explain(root_id, 20.0).entries) == sampled
    )


def test_a_refusal_without_context_is_logged(node_observer, logged_events):
    exchange = _exchange('r')
    exchange.context = exchange.route = None
    refusal = errors.not_run(errors.Reason.NO_ROUTE, 'no route')
    node_observer.root_done(exchange, refusal, 14.0)
    assert logged_events[0].root_id == ''
    assert _five_minute_counts(node_observer)[burn.Count.CALLER_FAULT] == 1


def test_a_guard_refusal_has_the_stage_admit(node_observer, logged_events):
    refusal = errors.not_run(errors.Reason.QUEUE_FULL)
    node_observer.guard_refused(
        _exchange('r9').context, 'stock', refusal, 14.0
    )
    (entry,) = node_observer.call_log.explain('r9', 20.0).entries
    assert 'refused at admit' in entry.text
    assert logged_events[0].evidence == 'stage=admit'


def test_the_history_records_each_decision_on_a_call():
    recorder = history.memory_recorder('n1', clock.manual_clock())
    node_observer = observer.observer(
        'n1', 'd', 0.0, lambda event: None, recorder
    )
    exchange = _exchange('r')
    call = exchange.context
    node_observer.root_admitted(exchange, 11.0)
    node_observer.target_called(call, 'stock:1', 'token', (1, 2), 12.0)
    node_observer.retried(call, errors.Reason.SHED, 1, 13.0)
    node_observer.cancelled(call)
    refusal = errors.not_run(errors.Reason.SHED)
    node_observer.guard_refused(call, 'stock', refusal, 14.0)
    node_observer.root_done(exchange, refusal, 15.0)
    assert [type(entry.event) for entry in recorder.entries] == [
        history_events.Admitted,
        history_events.Admitted,
        history_events.TargetCalled,
        history_events.Retried,
        history_events.Cancelled,
        history_events.Refused,
        history_events.Refused,
    ]
