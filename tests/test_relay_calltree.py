"""Which run of a target made a call, and who goes first at a guard."""

import heapq
import itertools
import random

import pytest

from parsleystile import admission
from parsleystile.relay import callorder
from parsleystile.relay import calltree

_LONGEST_MS = 700.0


def _tree():
    tree = calltree.call_tree(random.Random(1))
    tree.started(0, calltree.run('first', 0.5, True, 10_000.0), 0.0)
    # From now on shorter times are known to be those of the runs.
    assert tree.origin('below', _LONGEST_MS, 0.0) is not None
    tree.ended(0, 0.0)
    return tree


def test_a_call_that_expires_with_a_run_has_its_rank():
    tree = _tree()
    for key, deadline_ms in enumerate((1_300.0, 1_400.0, 1_500.0), 1):
        rank = key - 0.5
        tree.started(key, calltree.run('r', rank, True, deadline_ms), 0.0)
    origin = tree.origin('below', 399.0, 1_002.0)
    assert origin.match is calltree.Match.EXACT
    assert origin.run.rank == 1.5


def test_a_call_with_its_longest_time_is_not_of_a_run_that_expires_before():
    tree = _tree()
    tree.started(1, calltree.run('r', 0.5, True, 1_300.0), 0.0)
    tree.started(2, calltree.run('r', 2.5, True, 3_000.0), 0.0)
    for _ in range(20):
        origin = tree.origin('below', _LONGEST_MS, 1_000.0)
        assert origin.match is calltree.Match.ASSOCIATED
        assert origin.run.rank == 2.5


def test_a_call_whose_run_has_ended_has_no_origin():
    tree = _tree()
    tree.started(1, calltree.run('r', 0.5, True, 1_300.0), 0.0)
    tree.ended(1, 0.0)
    tree.ended(1, 0.0)
    assert tree.origin('below', 300.0, 1_000.0) is None
    assert tree.origin('below', None, 1_000.0) is None


class _Target:
    """Runs that call at 15 ms and that do not, told apart by nothing else."""

    def __init__(self, seed, calls_by_route):
        self._rng = random.Random(seed)
        self.tree = calltree.call_tree(random.Random(seed))
        self._calls_by_route = calls_by_route
        self._events = []
        self._numbers = itertools.count(1)
        self.made = self.right = 0

    def _at(self, due_ms, action):
        heapq.heappush(self._events, (due_ms, next(self._numbers), action))

    def play(self, duration_ms):
        for route in self._calls_by_route:
            now_ms = 0.0
            while now_ms < duration_ms:
                now_ms += self._rng.expovariate(1.0 / 25.0)
                self._at(now_ms, lambda now_ms, r=route: self._run(r, now_ms))
        while self._events:
            now_ms, _, action = heapq.heappop(self._events)
            action(now_ms)

    def _run(self, route, now_ms):
        key = next(self._numbers)
        run = calltree.run(route, 0.5, True, now_ms + 2_000.0)
        self.tree.started(key, run, now_ms)
        calls = self._calls_by_route[route]
        for i in range(calls):
            self._at(
                now_ms + 15.0 + 40.0 * i,
                lambda at_ms: self._call(route, at_ms),
            )
        spent_ms = 20.0 + 40.0 * calls if calls else 140.0
        self._at(now_ms + spent_ms, lambda at_ms: self.tree.ended(key, at_ms))

    def _call(self, route, now_ms):
        origin = self.tree.origin('below', _LONGEST_MS, now_ms)
        if now_ms > 5_000.0:
            self.made += 1
            self.right += origin is not None and origin.run.route == route


@pytest.mark.parametrize('calls', [1, 4])
@pytest.mark.parametrize('seed', range(3))
def test_routes_that_make_no_calls_are_learned(seed, calls):
    target = _Target(seed, {'caller': calls, 'other': 0})
    target.play(20_000.0)
    assert target.right >= 0.85 * target.made > 0
    assert target.tree.makes_calls('caller')
    assert not target.tree.makes_calls('other')


def test_two_routes_that_make_the_same_calls_keep_theirs():
    target = _Target(1, {'a': 2, 'b': 2})
    target.play(10_000.0)
    assert target.tree.makes_calls('a')
    assert target.tree.makes_calls('b')
    # Half of it would be right by chance alone.
    assert target.right >= 0.5 * target.made


def test_calls_of_begun_requests_go_before_new_ones_of_their_class_only():
    steps = [
        callorder.step(0, 0.99, True),
        callorder.step(0, 0.99, False),
        callorder.step(1, 0.3, True),
        callorder.step(1, 0.0, False),
        callorder.step(1, 0.4, True),
        callorder.step(1, 0.99, False),
        callorder.step(2, 0.0, True),
        callorder.step(2, 0.99, False),
    ]
    assert steps == sorted(set(steps))
    assert steps[-1] == callorder.STEPS - 1


def test_the_route_decides_among_organisations_of_one_class():
    ranks = [
        callorder.rank(0, 2, 0.9),
        callorder.rank(1, 0, 0.9),
        callorder.rank(1, 1, 0.1),
        callorder.rank(1, 1, 0.2),
        callorder.rank(1, 7, 0.0),
        callorder.rank(None, 2, 0.0),
    ]
    assert ranks == sorted(ranks)
    assert int(callorder.rank(None, 0, 0.999)) == 0
    assert int(callorder.rank(2, -1, 0.999)) == 2
    steps = [callorder.step(int(rank), rank % 1.0, False) for rank in ranks]
    assert steps == sorted(steps)


def test_a_less_important_call_gives_way_when_there_is_no_room():
    queue = admission.admission_queue(
        random.Random(1), queue_bound=1, steps=callorder.STEPS
    )
    queue.handle(admission.Announce(1), 0.0)

    def arrive(key, importance, is_child):
        step = callorder.step(importance, 0.5, is_child)
        rank = importance + 0.5
        return queue.handle(
            admission.Arrive(
                key, 'o', rank, 9_000.0, 1.0, 'r', not is_child, step
            ),
            0.0,
        )

    queued = next(key for key in range(99) if not arrive(key, 1, True))
    (refused,) = arrive('child', 2, True)
    assert refused.call_key == 'child'
    (refused,) = arrive('root', 0, False)
    assert refused.call_key == queued
    (refused,) = arrive('begun', 0, True)
    assert refused.call_key == 'root'
