import pytest

from parsleystile import fleetconfig
from parsleystile import logevents
from parsleystile import members
from parsleystile import transport
from parsleystile import watcher

_ADDRESS = transport.Address('127.0.0.1', 1)
_CONFIG = fleetconfig.FleetConfig(
    version=3,
    organisations={'homes': fleetconfig.Organisation(rate_per_s=1, burst=1)},
    keys={'k1': fleetconfig.Key(organisation='homes', digest='0' * 64)},
    next_key=2,
)


def _member(node_id, state=members.MemberState.ALIVE):
    return members.Member(
        node_id, 'vm', 'r', 'd', 'stock', 4, _ADDRESS, _ADDRESS, 1, state
    )


def _view(**changed):
    facts = {
        'config': _CONFIG,
        'everyone': [_member('n1')],
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


def test_a_new_document_tells_its_withdrawn_keys():
    newer = fleetconfig.FleetConfig(version=4, next_key=2)
    events = watcher.differences(_view(), _view(config=newer))
    assert [type(e) for e in events] == [
        logevents.ConfigApplied,
        logevents.KeyWithdrawn,
    ]
    assert (events[0].version_before, events[0].version_after) == (3, 4)
    assert events[1].key_id == 'k1'


@pytest.mark.parametrize(
    ('after', 'state'),
    [
        ([_member('n1', members.MemberState.SUSPECT)], 'suspect'),
        ([], 'unknown'),
    ],
)
def test_a_member_that_changed_is_named(after, state):
    event = _only(_view(), _view(everyone=after))
    assert (event.node_id, event.state_after) == ('n1', state)


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
