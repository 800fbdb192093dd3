"""Decisions of a roll-out, driven without a network."""

import itertools
import random
import typing

import pytest

from parsleystile.relay import rollout
from parsleystile.relay import rolloutcounts
from parsleystile.relay import rolloutgroups
from parsleystile.relay import rolloutjudge

_PERIOD_MS = 500.0


def _progress(order=1, stage=0, **fields):
    return rollout.Progress('yard', order, 'v2', stage, **fields)


def test_a_stage_never_goes_back_in_whatever_order_it_is_heard():
    heard = [
        _progress(1, rollout.Stage.WHOLE),
        _progress(1, rollout.Stage.ROLLED_BACK),
        _progress(1, rollout.Stage.TRIAL, age_ms=9, barred=('v0',)),
        _progress(1, rollout.Stage.COMPLETED, left=('v1',)),
        _progress(0, rollout.Stage.COMPLETED),
    ]
    results = set()
    for rows in itertools.permutations(heard):
        known = None
        for row in rows:
            before = known
            known = rollout.join(known, row)
            if before is not None:
                assert (known.order, known.stage) >= (
                    before.order,
                    before.stage,
                )
        results.add(known)
    assert results == {
        _progress(
            1,
            rollout.Stage.COMPLETED,
            age_ms=9,
            barred=('v0',),
            left=('v1',),
        )
    }


def test_a_second_order_bars_what_the_first_did_not_complete():
    first = _progress(1, rollout.Stage.TRIAL, barred=('v0', 'v3'))
    second = rollout.begin(first, 'yard', 2, 'v3')
    assert second.barred == ('v0', 'v2')
    done = _progress(1, rollout.Stage.COMPLETED, left=('v1',))
    assert rollout.begin(done, 'yard', 2, 'v3').barred == ('v1',)
    assert rollout.begin(done, 'yard', 2, 'v1').barred == ()


def test_stages_follow_one_by_one_also_after_a_long_silence():
    stage = rollout.Stage.TRIAL
    seen = []
    while stage < rollout.Stage.WHOLE:
        stage = rollout.next_stage(stage, 99_000.0, 12_000.0)
        seen.append(stage)
    assert seen == [2, 3, 4, 5]
    assert rollout.next_stage(1, 7_000.0, 12_000.0) is rollout.Stage.TRIAL


def test_a_stage_of_a_later_build_gets_nothing():
    assert rollout.share(99, 0.1) == 0.0


def _play(rng, target, size, seconds, new_share, is_bad, trouble=None):
    """Drive a judge; return the time of its verdict and the bad requests.

    Args:
        rng: Source of all draws.
        target: Judge.
        size: Nodes of the service, a fifth of them new.
        seconds: Length of the play.
        new_share: Share of the requests that goes to new targets.
        is_bad: Tells time and route of a request to a new target; returns
            whether it fails and a factor for its time.
        trouble: Share of requests that fail at all targets, by time.
    """
    per_tick = int(size * 15 * _PERIOD_MS / 1e3)
    new_count = max(1, int(new_share * size))
    nodes = {
        (version, i): rolloutcounts.counts()
        for version, count in (('v1', size), ('v2', new_count))
        for i in range(count)
    }
    for tick in range(int(seconds * 1e3 / _PERIOD_MS)):
        at_s = tick * _PERIOD_MS / 1e3
        for _ in range(per_tick):
            is_new = rng.random() < new_share
            route = 'rare' if rng.random() < 0.2 else 'often'
            time_ms = rng.lognormvariate(3.0, 0.35)
            fails = rng.random() < (trouble(at_s) if trouble else 0.002)
            if is_new:
                also, factor = is_bad(at_s, route)
                fails, time_ms = fails or also, time_ms * factor
            key = ('v2', rng.randrange(new_count))
            if not is_new:
                key = ('v1', rng.randrange(size))
            nodes[key].add(route, fails, time_ms, False)
        for (version, i), counts in nodes.items():
            routes = {
                name: rolloutcounts.RouteCounts(
                    c.answers, c.failed, {**c.times}
                )
                for name, c in counts.routes.items()
            }
            target.add(
                rolloutcounts.Report(
                    f'{version}-{i}', 1, version, _progress(), routes
                ),
                at_s * 1e3,
            )
        if target.evaluate(at_s * 1e3) is not None:
            return at_s
    return None


def _bad(kind, rng):
    share = 0.3
    return {
        'at once': lambda at_s, route: (rng.random() < share, 1.0),
        'slow': lambda at_s, route: (False, 5.0 if rng.random() < 0.5 else 1),
        'late': lambda at_s, route: (at_s > 6 and rng.random() < share, 1.0),
        'one route': lambda at_s, route: (
            route == 'rare' and rng.random() < 2 * share,
            1.0,
        ),
    }[kind]


@pytest.mark.parametrize('size', [9, 60, 300])
@pytest.mark.parametrize('kind', ['at once', 'slow', 'late', 'one route'])
def test_a_bad_version_is_found_in_the_trial(kind, size):
    rng = random.Random(f'{kind} {size}')
    judge = rolloutjudge.judge('v2')
    found_s = _play(rng, judge, size, 20, 0.05, _bad(kind, rng))
    assert found_s is not None
    begun_s = 6.0 if kind == 'late' else 0.0
    assert begun_s <= found_s <= begun_s + (10.0 if size == 9 else 3.0)


@pytest.mark.parametrize('size', [9, 60])
@pytest.mark.parametrize('share', [0.05, 0.5])
def test_a_good_version_is_not_taken_for_bad(size, share):
    for seed in range(4):
        rng = random.Random(seed)
        judge = rolloutjudge.judge('v2')
        good = _play(rng, judge, size, 30, share, lambda at, route: (False, 1))
        assert good is None, seed


@pytest.mark.parametrize('level', [0.1, 0.5, 0.9])
def test_a_service_in_trouble_is_not_the_new_versions_fault(level):
    def trouble(at_s):
        return level if 5 <= at_s < 12 else 0.002

    for seed in range(4):
        rng = random.Random(seed)
        judge = rolloutjudge.judge('v2')
        assert (
            _play(
                rng, judge, 60, 20, 0.1, lambda at, route: (False, 1), trouble
            )
            is None
        ), (level, seed)


def test_a_report_that_comes_again_or_late_counts_once():
    judge = rolloutjudge.judge('v2')
    counts = {'r': rolloutcounts.RouteCounts(5, 1, {3: 4})}
    report = rolloutcounts.Report('n1', 7, 'v2', _progress(), counts)
    for _ in range(3):
        judge.add(report, 0.0)
    judge.add(rolloutcounts.Report('n1', 6, 'v2', _progress(), counts), 0.0)
    assert (judge.new_answers, judge.new_failed) == (5, 1)
    judge.add(rolloutcounts.Report('n1', 8, 'v2', _progress(), counts), 0.0)
    assert (judge.new_answers, judge.new_failed) == (10, 2)


@pytest.mark.parametrize('duration_s', [6, 8, 12, 60, 3600])
def test_the_trial_lasts_most_of_the_time_and_the_rest_is_enough(duration_s):
    duration_ms = duration_s * 1e3
    starts = {}
    for i in range(1000):
        age_ms = duration_ms * i / 1000
        starts.setdefault(rollout.due_stage(age_ms, duration_ms), age_ms)
    assert list(starts) == [1, 2, 3, 4, 5]
    assert duration_ms - starts[5] >= 2_400
    if duration_s >= 12:
        assert starts[2] >= 0.59 * duration_ms


class _Member(typing.NamedTuple):
    node_id: str
    failure_domain: str


def _split(stage, versions, **fields):
    found = [_Member(f'n{i}', 'ab'[i % 2]) for i in range(len(versions))]
    groups = rolloutgroups.split(
        found,
        lambda node_id: versions[int(node_id[1:])],
        _progress(1, stage, **fields),
        0.1,
        {'a'},
    )
    return (
        [versions[int(m.node_id[1:])] for m in groups.usual],
        [m.node_id for m in groups.new],
    )


def test_a_trial_uses_few_targets_and_none_of_a_domain_that_is_out():
    usual, new = _split(rollout.Stage.TRIAL, ['v1'] * 10 + ['v2'] * 10)
    assert usual == ['v1'] * 10
    assert len(new) == 1
    assert int(new[0][1:]) % 2 == 1


def test_versions_left_or_barred_get_nothing():
    versions = ['v0', 'v1', 'v2', 'v3']
    barred = {'barred': ('v0',)}
    usual, new = _split(rollout.Stage.STEP_1, versions, **barred)
    assert (usual, new) == (['v1', 'v3'], ['n2'])
    usual, new = _split(rollout.Stage.ROLLED_BACK, versions, **barred)
    assert (usual, new) == (['v1', 'v3'], [])
    done = {'left': ('v1', 'v3'), **barred}
    usual, new = _split(rollout.Stage.COMPLETED, [*versions, 'v4'], **done)
    assert (usual, new) == (['v2', 'v4'], [])
