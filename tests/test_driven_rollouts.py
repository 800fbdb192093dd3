"""Roll-outs of whole fleets, driven without a network."""

import random

import pytest

from parsleystile.relay import rollout
from tests import rolloutfleet

_COMPLETED = rollout.Stage.COMPLETED
_ROLLED_BACK = rollout.Stage.ROLLED_BACK
_ROLLBACK_MS = 5_000.0
_SLACK = 50


def _behaviour(kind, seed):
    rng = random.Random(f'{kind} {seed}')

    def answer(version, at_s, route):
        time_ms = rng.lognormvariate(3.0, 0.35)
        is_failure = rng.random() < 0.002
        if kind == 'trouble' and 4 < at_s < 8:
            is_failure = rng.random() < 0.4
        if version == 'v2':
            match kind:
                case 'at once':
                    is_failure = rng.random() < 0.4
                case 'slow':
                    time_ms *= 5.0 if rng.random() < 0.6 else 1.0
                case 'late':
                    is_failure = at_s > 5 and rng.random() < 0.4
                case 'very late':
                    is_failure = at_s > 8.2 and rng.random() < 0.4
                case 'one route':
                    is_failure = route == 'rare' and rng.random() < 0.6
        return rolloutfleet.Answer(is_failure, time_ms)

    return answer


def _fleet(size, kind, seed=1):
    return rolloutfleet.Fleet(size, seed, _behaviour(kind, seed))


def _assert_exposure(fleet):
    calls = sum(fleet.sent.values())
    bound = rolloutfleet.EXPOSURE_RATIO * calls + _SLACK
    assert fleet.sent['v2'] <= bound
    if len(fleet.bad) >= 50:
        assert fleet.last_new_ms <= fleet.bad[49] + _ROLLBACK_MS


@pytest.mark.parametrize('size', [9, 60, 300])
@pytest.mark.parametrize(
    'kind', ['at once', 'slow', 'late', 'very late', 'one route']
)
def test_a_bad_version_is_rolled_back_within_its_bounds(kind, size):
    fleet = _fleet(size, kind)
    fleet.order()
    fleet.run(12.0)
    assert fleet.row.stage == _ROLLED_BACK, fleet.row
    _assert_exposure(fleet)
    assert {node.stage for node in fleet.nodes.values()} == {_ROLLED_BACK}
    before = fleet.sent['v2']
    fleet.run(1.0)
    assert fleet.sent['v2'] == before


@pytest.mark.parametrize('size', [9, 60, 300])
@pytest.mark.parametrize('kind', ['good', 'trouble'])
def test_a_good_version_is_completed_in_time(kind, size):
    fleet = _fleet(size, kind)
    fleet.order()
    fleet.run(13.0, lambda: fleet.row and fleet.row.stage == _COMPLETED)
    assert fleet.row.stage == _COMPLETED
    assert fleet.now_s < 12.0
    assert fleet.refused == 0
    before = fleet.sent['v1']
    fleet.run(1.0)
    assert fleet.sent['v1'] == before
    assert max(fleet.bytes.values()) / fleet.now_s < 26_000


@pytest.mark.parametrize('at_s', [1.0, 5.0, 7.5, 9.6, 10.6])
def test_the_judges_may_be_restarted_at_any_time(at_s):
    fleet = _fleet(30, 'good')
    fleet.order()
    fleet.run(at_s)
    before = max(node.stage for node in fleet.nodes.values())
    for name in ('n0000', 'n0001', 'n0002'):
        fleet.restart(name)
    fleet.order()
    fleet.run(0.6)
    assert min(node.stage for node in fleet.nodes.values()) >= before
    fleet.run(13.0 - fleet.now_s, lambda: fleet.row.stage == _COMPLETED)
    assert fleet.row.stage == _COMPLETED


@pytest.mark.parametrize('kind', ['at once', 'late', 'very late'])
def test_a_bad_version_keeps_its_bounds_when_judges_restart(kind):
    for at_s in (1.0, 5.2, 8.4):
        fleet = _fleet(30, kind)
        fleet.order()
        fleet.run(at_s)
        for name in ('n0000', 'n0001', 'n0002'):
            fleet.restart(name)
        fleet.order()
        fleet.run(12.0 - at_s)
        assert fleet.row.stage == _ROLLED_BACK, at_s
        _assert_exposure(fleet)


def test_without_the_store_nothing_begins_and_nothing_is_completed():
    fleet = _fleet(30, 'good')
    fleet.has_store = False
    fleet.order()
    fleet.run(1.0)
    # Until all nodes knew the order, the new targets were like others.
    before = fleet.sent['v2']
    fleet.run(3.0)
    assert fleet.sent['v2'] == before
    fleet.has_store = True
    fleet.run(3.0)
    assert fleet.sent['v2'] > before
    fleet.has_store = False
    fleet.run(14.0)
    assert fleet.row.stage == rollout.Stage.TRIAL
    fleet.has_store = True
    fleet.run(2.0)
    assert fleet.row.stage == _COMPLETED
    assert fleet.refused == 0


def test_a_bad_version_stops_without_the_store():
    fleet = _fleet(30, 'late')
    fleet.order()
    fleet.run(2.0)
    fleet.has_store = False
    fleet.run(8.0)
    _assert_exposure(fleet)
    assert {node.stage for node in fleet.nodes.values()} == {_ROLLED_BACK}
    fleet.has_store = True
    fleet.run(1.0)
    assert fleet.row.stage == _ROLLED_BACK


@pytest.mark.parametrize('kind', ['at once', 'late', 'very late'])
@pytest.mark.parametrize('begun_s', [1.0, 7.3])
def test_a_bad_version_keeps_its_bounds_during_a_cut(kind, begun_s):
    fleet = _fleet(60, kind)
    fleet.order()
    fleet.run(begun_s)
    names = sorted(fleet.nodes)
    fleet.set_cut(names[::3])
    fleet.run(3.0)
    fleet.set_cut([])
    fleet.run(12.0 - fleet.now_s)
    _assert_exposure(fleet)
    assert fleet.row.stage == _ROLLED_BACK
    assert {node.stage for node in fleet.nodes.values()} == {_ROLLED_BACK}


def test_a_second_order_replaces_the_first_and_leaves_its_version():
    fleet = _fleet(30, 'good')
    fleet.order()
    fleet.run(4.0)
    for name in sorted(fleet.nodes)[-5:]:
        node = fleet.nodes[name]
        node.version = 'v3'
        node.member_list.update_own_row(version='v3')
        fleet.spread(node)
    fleet.order(2, 'v3')
    fleet.run(1.5)
    before = fleet.sent['v2']
    fleet.run(10.0, lambda: fleet.row.stage == _COMPLETED)
    assert (fleet.row.target_version, fleet.row.stage) == ('v3', _COMPLETED)
    assert fleet.sent['v2'] == before
    assert fleet.refused == 0


def test_a_version_that_nobody_runs_is_rolled_back_at_the_deadline():
    fleet = _fleet(9, 'good')
    fleet.order(1, 'v9')
    fleet.run(11.0)
    assert fleet.row.stage == rollout.Stage.TRIAL
    fleet.run(3.0)
    assert fleet.row.stage == _ROLLED_BACK
    assert fleet.refused == 0


def test_without_an_old_target_the_new_version_keeps_its_share():
    fleet = _fleet(9, 'good')
    fleet.order()
    fleet.run(2.0)
    old = [node for node in fleet.nodes.values() if node.version == 'v1']
    for node in old:
        node.member_list.update_own_row(is_serving=False)
        fleet.spread(node)
    fleet.run(0.5)
    before = (fleet.sent['v2'], fleet.refused)
    fleet.run(4.0)
    new = fleet.sent['v2'] - before[0]
    refused = fleet.refused - before[1]
    assert 0 < new <= rolloutfleet.EXPOSURE_RATIO * (new + refused)
    fleet.run(6.0)
    assert fleet.row.stage == _COMPLETED


def _behind_new_version(size=12):
    """Return a fleet that was moved and whose old targets have ended."""
    fleet = _fleet(size, 'good')
    fleet.order()
    fleet.run(13.0, lambda: fleet.row and fleet.row.stage == _COMPLETED)
    for node in list(fleet.nodes.values()):
        if node.version == 'v1':
            node.member_list.update_own_row(is_serving=False, is_gone=True)
            fleet.spread(node)
    fleet.run(0.5)
    for name, node in list(fleet.nodes.items()):
        if node.version == 'v1':
            del fleet.nodes[name]
    return fleet


@pytest.mark.parametrize('has_store', [True, False])
def test_a_fleet_that_restarts_after_a_move_serves_at_once(has_store):
    fleet = _behind_new_version()
    fleet.has_store = has_store
    fleet.refused = 0
    for name in list(fleet.nodes):
        fleet.restart(name)
    fleet.order()
    fleet.run(3.0)
    assert fleet.refused == 0
    fleet.has_store = True
    fleet.run(1.0)
    assert {node.stage for node in fleet.nodes.values()} == {_COMPLETED}


def test_an_order_for_the_version_that_runs_everywhere_costs_nothing():
    fleet = _behind_new_version()
    fleet.refused = 0
    fleet.order(2, 'v2')
    fleet.run(4.0)
    assert (fleet.row.order, fleet.row.stage) == (2, _COMPLETED)
    assert fleet.refused == 0


def test_a_fleet_of_new_targets_alone_serves_before_it_knows_the_end():
    # All nodes restarted at once: no row tells the stage.
    fleet = rolloutfleet.Fleet(9, 1, _behaviour('good', 1), new_part=1.0)
    fleet.row = rollout.Progress('yard', 1, 'v2', _COMPLETED, left=('v1',))
    fleet.has_store = False
    fleet.order()
    fleet.run(3.0)
    assert fleet.refused == 0
    fleet.has_store = True
    fleet.run(1.0)
    assert {node.stage for node in fleet.nodes.values()} == {_COMPLETED}
