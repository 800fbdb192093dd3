from parsleystile import logevents
from parsleystile import statechanges


def _state(**changed):
    facts = {
        'service': 'stock',
        'slots': 20,
        'limit': 20,
    }
    return statechanges.NodeState(**{**facts, **changed})


def test_nothing_is_logged_without_a_change():
    assert statechanges.diff(_state(), _state()) == []


def _only_event(before, after):
    (event,) = statechanges.diff(before, after)
    return event


def test_new_leaving_and_cold_targets_are_reported():
    gone = _state(service='', slots=0, limit=0)
    assert isinstance(_only_event(gone, _state()), logevents.TargetAnnounced)
    assert isinstance(_only_event(_state(), gone), logevents.TargetLeaving)
    cold = _only_event(_state(), _state(limit=9))
    assert (cold.limit_before, cold.limit_after) == (20, 9)
    assert statechanges.diff(_state(), _state(limit=12)) == []


def test_ejections_and_readmissions_are_reported():
    out = (statechanges.Ejection('n1', 'stock', 'failures=3.0'),)
    event = _only_event(_state(), _state(ejections=out))
    assert (event.node_id, event.evidence) == ('n1', 'failures=3.0')
    back = _only_event(_state(ejections=out), _state())
    assert isinstance(back, logevents.TargetReadmitted)


def test_each_change_is_logged_once():
    states = [_state(), _state(limit=5), _state(limit=5)]
    events = []
    logger = statechanges.state_change_logger(
        lambda: states.pop(0), events.append
    )
    logger.tick()
    logger.tick()
    assert len(events) == 1
