"""Simulations of the real decision code on a manual clock.

Hypothesis generates plans: plain data that fixes the order, delays and faults
of a run. A run produces an event history, which must satisfy the invariants
for every plan. With one mechanism disabled, some plan must violate one.
"""

import heapq
import itertools
import random

import hypothesis

from parsleystile import checks
from parsleystile import clock
from parsleystile import history

_SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    # Generated plans are small already; shrinking would take minutes.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Scheduler:
    """Runs callbacks in order of time on a manual clock."""

    def __init__(self):
        self.clock = clock.manual_clock()
        self._queue = []
        self._sequence = itertools.count()
        self._recorders = {}

    @property
    def now_ms(self):
        return self.clock.now_ms()

    def after(self, delay_ms, callback, *args):
        at_ms = self.now_ms + delay_ms
        heapq.heappush(
            self._queue, (at_ms, next(self._sequence), callback, args)
        )

    def run(self, until_ms):
        while self._queue and self._queue[0][0] <= until_ms:
            at_ms, _, callback, args = heapq.heappop(self._queue)
            self.clock.advance(at_ms - self.now_ms)
            callback(*args)
        self.clock.advance(max(0.0, until_ms - self.now_ms))

    def recorder(self, node_id):
        if node_id not in self._recorders:
            self._recorders[node_id] = history.memory_recorder(
                node_id, self.clock
            )
        return self._recorders[node_id]

    def record(self, node_id, event):
        self.recorder(node_id).record(event)

    def history(self):
        return history.merge(r.entries for r in self._recorders.values())


def violations(past, invariants):
    return [v for v in checks.check(past) if v.invariant in invariants]


def assert_holds(plans, run, invariants, examples=100):
    """Check that no plan's history violates one of ``invariants``."""

    @hypothesis.settings(_SETTINGS, max_examples=examples)
    @hypothesis.given(plans)
    def hold(plan):
        assert violations(run(plan), invariants) == []

    hold()


def assert_breaks(plans, run, invariant, examples=1000):
    """Check that some plan's history violates ``invariant``."""
    hypothesis.find(
        plans,
        lambda plan: bool(violations(run(plan), {invariant})),
        settings=hypothesis.settings(_SETTINGS, max_examples=examples),
        random=random.Random(1),
    )
