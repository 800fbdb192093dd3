"""Two kinds of requests of different importance share the end of their trees.

The load is that of `test_deep_overload`, with important requests that make
more calls than the others do. What counts is who is answered whole.
"""

import pytest

from parsleystile import admission
from parsleystile import ids
from parsleystile.relay import callorder
from parsleystile.relay import declaredlimit
from parsleystile.relay import subtreeshedding
from tests import test_deep_overload as deep

_CALLS = {0: 8, 2: 4}


class _RankedLeaf:
    """A target at the end of the tree, with the order of ranked calls."""

    def __init__(self, rng):
        self.queue = admission.admission_queue(
            rng,
            limit=declaredlimit.declared_limit(),
            queue_per_slot=16,
            newest_first=False,
            steps=callorder.STEPS,
        )
        self.queue.handle(admission.Announce(deep.SLOTS), 0.0)

    def level(self, now_ms):
        organisation = callorder.TREE_ORGANISATION
        return self.queue.load(now_ms, organisation).admission_level


class _SharedEnd(deep._Play):
    """Calls have a rank of their own, as before."""

    is_ranked = False

    def __init__(self, seed):
        super().__init__(seed, (0, 2, 2))
        if self.is_ranked:
            self.leaves = [_RankedLeaf(self.rng) for _ in range(deep.LEAVES)]
        self.middles = [
            subtreeshedding.child_levels(self.rng) for _ in range(deep.MIDDLES)
        ]

    def record(self, node, level, now_ms, organisation, is_whole):
        del organisation
        if self.is_ranked:
            node.record_root_level(deep.ROUTE, level, now_ms)
        else:
            node.record_level(deep.ROUTE, level, now_ms, not is_whole)

    def enter(self, now_ms):
        is_counted = now_ms > 2_000.0
        # 16 calls for three requests, where the other play has 12.
        if self.rng.random() > 12.0 / 16.0:
            return
        self.total += is_counted
        node = self.rng.choice(self.nodes)
        importance = self.rng.choice(self.classes)
        self.asked[importance] += is_counted
        rank = callorder.rank(1, importance, self.rng.random())
        if self.decide(node, rank, now_ms, None) is not None:
            return
        middle = self.rng.choice(self.middles)

        def finish(is_whole, later_ms):
            level = middle.level(later_ms)
            self.record(node, level, later_ms, None, is_whole)
            self.whole += is_whole and is_counted
            self.served[importance] += is_whole and is_counted
            self.in_vain += is_counted and not is_whole

        self.at(
            now_ms + 20.0,
            lambda at_ms: self.call(
                middle, rank, _CALLS[importance], finish, at_ms
            ),
        )

    def call(self, middle, root_rank, left, finish, now_ms):
        if not left:
            finish(True, now_ms)
            return
        leaf = min(
            self.rng.sample(self.leaves, 2),
            key=lambda leaf: leaf.queue.queued,
        )
        key = next(self.numbers)

        def done(is_ok, later_ms):
            middle.record(leaf.level(later_ms), later_ms, not is_ok)
            if is_ok:
                self.call(middle, root_rank, left - 1, finish, later_ms)
            else:
                finish(False, later_ms)

        self.waiting[key] = done
        rank, organisation, step = (
            2.0 + self.rng.random(),
            ids.OPEN_ORGANISATION,
            None,
        )
        if self.is_ranked:
            rank, organisation = root_rank, callorder.TREE_ORGANISATION
            step = callorder.step(int(rank), rank % 1.0, True)
        self.apply(
            leaf,
            admission.Arrive(
                key,
                organisation,
                rank,
                now_ms + deep.LEAF_DEADLINE_MS,
                route='deposit',
                is_sheddable=False,
                step=step,
            ),
            now_ms,
        )

    @staticmethod
    def calls_of_capacity():
        counted_ms = deep.DURATION_MS - 2_000.0
        return deep.LEAVES * deep.SLOTS / deep.WORK_MS * counted_ms

    def share(self, importance):
        return self.served[importance] / self.asked[importance]


class _RankedSharedEnd(_SharedEnd):
    """Calls have the rank of their root request."""

    is_ranked = True


@pytest.mark.parametrize('seed', range(3))
def test_the_important_kind_is_served_better_though_it_makes_more_calls(seed):
    before, play = _SharedEnd(seed), _RankedSharedEnd(seed)
    before.run()
    play.run()
    assert before.share(0) <= 0.9
    assert play.share(0) >= 0.95
    assert play.share(0) >= play.share(2) + 0.2
    assert play.in_vain <= 0.12 * play.total
    calls = sum(_CALLS[kind] * play.served[kind] for kind in _CALLS)
    assert calls >= 0.95 * play.calls_of_capacity()
