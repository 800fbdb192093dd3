from parsleystile import logevents
from parsleystile import watcher


def _view(**changed):
    facts = {
        'service': 'stock',
        'slots': 20,
        'limit': 20,
    }
    return watcher.View(**{**facts, **changed})


def test_nothing_changed_nothing_logged():
    assert watcher.differences(_view(), _view()) == []


def _only(before, after):
    (event,) = watcher.differences(before, after)
    return event


def test_targets_come_go_and_turn_cold():
    gone = _view(service='', slots=0, limit=0)
    assert isinstance(_only(gone, _view()), logevents.TargetAnnounced)
    assert isinstance(_only(_view(), gone), logevents.TargetLeaving)
    cold = _only(_view(), _view(limit=9))
    assert (cold.limit_before, cold.limit_after) == (20, 9)
    assert watcher.differences(_view(), _view(limit=12)) == []


def test_ejections_come_and_go():
    out = (watcher.Ejection('n1', 'stock', 'failures=3.0'),)
    event = _only(_view(), _view(ejections=out))
    assert (event.node_id, event.evidence) == ('n1', 'failures=3.0')
    back = _only(_view(ejections=out), _view())
    assert isinstance(back, logevents.TargetReadmitted)


def test_a_watcher_logs_each_change_once():
    views = [_view(), _view(limit=5), _view(limit=5)]
    events = []
    watched = watcher.watcher(lambda: views.pop(0), events.append)
    watched.tick()
    watched.tick()
    assert len(events) == 1
