from parsleystile import logevents
from parsleystile import statechanges


def _state(**changed):
    facts = {
        'service': 'stock',
        'slots': 20,
        'limit': 20,
    }
    return statechanges.NodeState(**{**facts, **changed})


def test_nothing_changed_nothing_logged():
    assert statechanges.diff(_state(), _state()) == []


def _only(before, after):
    (event,) = statechanges.diff(before, after)
    return event


def test_targets_come_go_and_turn_cold():
    gone = _state(service='', slots=0, limit=0)
    assert isinstance(_only(gone, _state()), logevents.TargetAnnounced)
    assert isinstance(_only(_state(), gone), logevents.TargetLeaving)
    cold = _only(_state(), _state(limit=9))
    assert (cold.limit_before, cold.limit_after) == (20, 9)
    assert statechanges.diff(_state(), _state(limit=12)) == []


def test_ejections_come_and_go():
    out = (statechanges.Ejection('n1', 'stock', 'failures=3.0'),)
    event = _only(_state(), _state(ejections=out))
    assert (event.node_id, event.evidence) == ('n1', 'failures=3.0')
    back = _only(_state(ejections=out), _state())
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
