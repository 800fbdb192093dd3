import heapq
import random

import pytest

from parsleystile import concurrency

BASE_MS = 20.0


class _Server:
    """A target that slows in proportion to calls above its capacity."""

    def __init__(self, slots, capacity, seed=1):
        self.limit = concurrency.ConcurrencyLimit()
        self.limit.announce(slots, 0.0)
        self.capacity = capacity
        self.base_ms = BASE_MS
        self.now_ms = 0.0
        self.running = []
        self.rng = random.Random(seed)

    def run(self, for_ms, is_ok=True, child_ms=0.0, demand=1000):
        """Keep as many calls in flight as the limit and demand allow."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            while len(self.running) < min(self.limit.value, demand):
                self._start(child_ms)
            self.now_ms, spent_ms = heapq.heappop(self.running)
            if is_ok:
                self.limit.answered(
                    'r',
                    spent_ms,
                    child_ms,
                    len(self.running) + 1,
                    self.now_ms,
                )
            else:
                self.limit.failed(spent_ms, self.now_ms)
        return self.limit.value

    def _start(self, child_ms):
        slowdown = max(1.0, (len(self.running) + 1) / self.capacity)
        own_ms = self.base_ms * slowdown * self.rng.uniform(0.6, 1.6)
        spent_ms = own_ms + child_ms
        entry = (self.now_ms + spent_ms, spent_ms)
        heapq.heappush(self.running, entry)
        self.limit.started(len(self.running), self.now_ms)


def test_the_limit_starts_cold_and_grows_to_the_slots():
    server = _Server(slots=250, capacity=250)
    assert server.limit.value == 2
    assert server.run(300.0) < 10
    assert server.run(10_000.0) == 250


def test_a_new_announcement_resets_the_limit():
    server = _Server(slots=20, capacity=20)
    assert server.run(3_000.0) == 20
    server.limit.announce(20, server.now_ms)
    assert server.limit.value == 2


def test_an_underused_limit_does_not_grow():
    server = _Server(slots=250, capacity=250)
    assert server.run(5_000.0, demand=3) <= 5


@pytest.mark.parametrize('seed', range(5))
def test_limit_stays_near_capacity_when_declared_slots_exceed_it(seed):
    server = _Server(slots=200, capacity=10, seed=seed)
    seen = [server.run(200.0) for _ in range(100)]
    assert max(seen) <= 25
    assert sum(seen) / len(seen) >= 7


@pytest.mark.parametrize('seed', range(5))
def test_limit_follows_an_unannounced_loss_of_capacity(seed):
    server = _Server(slots=20, capacity=20, seed=seed)
    assert server.run(3_000.0) == 20
    server.capacity = 3
    assert server.run(1_500.0) <= 7
    server.capacity = 20
    assert server.run(10_000.0) == 20


@pytest.mark.parametrize('seed', range(5))
def test_a_slowdown_not_caused_by_load_keeps_the_limit(seed):
    server = _Server(slots=20, capacity=20, seed=seed)
    server.run(3_000.0)
    server.base_ms = 5 * BASE_MS
    server.run(2_000.0)
    assert server.run(3_000.0) == 20


def test_time_in_child_calls_does_not_lower_the_limit():
    server = _Server(slots=20, capacity=20)
    server.run(3_000.0)
    assert server.run(3_000.0, child_ms=400.0) == 20


def test_errors_lower_the_limit_and_successes_raise_it():
    server = _Server(slots=20, capacity=20)
    server.run(3_000.0)
    assert server.run(500.0, is_ok=False) <= 2
    assert server.run(10_000.0) == 20


def test_a_stalled_target_lowers_the_limit():
    server = _Server(slots=20, capacity=20)
    server.run(3_000.0)
    limit = server.limit
    limit.check_stall(20, server.now_ms + 150.0)
    assert limit.value == 20
    for after_ms in (300.0, 600.0, 900.0):
        limit.check_stall(20, server.now_ms + after_ms)
    assert limit.value == 2
    limit.check_stall(0, server.now_ms + 9_000.0)
    assert limit.value == 2


def test_service_times_are_compared_within_a_route():
    limit = concurrency.ConcurrencyLimit()
    limit.announce(20, 0.0)
    now_ms = 0.0
    for at in range(3000):
        now_ms += 10.0
        limit.started(limit.value, now_ms)
        route, spent_ms = ('slow', 200.0) if at % 3 else ('fast', 2.0)
        limit.answered(route, spent_ms, 0.0, limit.value, now_ms)
    assert limit.value == 20


def test_memory_is_bounded_by_route():
    limit = concurrency.ConcurrencyLimit()
    limit.announce(20, 0.0)
    for at in range(3 * concurrency.MAX_ROUTES):
        limit.answered(f'r{at}', 1.0, 0.0, 1, at * 1.0)
    assert len(limit._baselines) <= concurrency.MAX_ROUTES
