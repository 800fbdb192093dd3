import unittest.mock

import pytest

from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import targetwatch
from parsleystile import ticker as tickers


def test_deadlines_fire_once_in_order_and_never_early():
    wheel = deadlines.DeadlineWheel()
    seen = []
    for due_ms in (30.0, 10.0, 20.0):
        wheel.add(due_ms, lambda due_ms=due_ms: seen.append(due_ms))
    wheel.expire(9.9)
    assert seen == []
    wheel.expire(35.0)
    assert seen == [10.0, 20.0, 30.0]
    wheel.expire(99.0)
    assert len(seen) == 3


def test_a_cancelled_deadline_does_not_fire():
    wheel = deadlines.DeadlineWheel()
    seen = []
    kept = wheel.add(10.0, lambda: seen.append('cancelled'))
    wheel.add(10.0, lambda: seen.append('due'))
    kept.cancel()
    wheel.expire(20.0)
    assert seen == ['due']


def test_an_earlier_deadline_moves_the_next_due_time():
    moved = []
    wheel = deadlines.DeadlineWheel(lambda: moved.append(wheel.next_due_ms))
    wheel.add(100.0, lambda: None)
    wheel.add(200.0, lambda: None)
    wheel.add(50.0, lambda: None)
    assert moved == [104.0, 52.0]


def test_a_callback_may_add_a_deadline():
    wheel = deadlines.DeadlineWheel()
    seen = []
    wheel.add(10.0, lambda: wheel.add(11.0, lambda: seen.append('next')))
    wheel.expire(20.0)
    wheel.expire(40.0)
    assert seen == ['next']


def _announced(instance='i1', port=1):
    return targetwatch.Announced('yard', instance, port, 5)


_UP = targetwatch.TargetUp('yard', 1, 5)


def test_a_target_comes_up_once_per_start():
    watch = targetwatch.target_watch()
    assert watch.handle(_announced(), 0.0) == [_UP]
    assert watch.handle(_announced(), 1000.0) == []
    assert watch.handle(_announced('i2'), 1500.0) == [_UP]


def test_a_silent_or_refusing_target_is_down_until_its_next_heartbeat():
    watch = targetwatch.target_watch()
    watch.handle(_announced(), 0.0)
    assert watch.handle(targetwatch.Tick(), 3000.0) == []
    (down,) = watch.handle(targetwatch.Tick(), 4000.0)
    assert isinstance(down, targetwatch.TargetDown)
    assert watch.handle(_announced(), 4100.0) == [_UP]
    (down,) = watch.handle(targetwatch.ConnectionRefused(), 4200.0)
    assert isinstance(down, targetwatch.TargetDown)


def test_a_late_heartbeat_does_not_undo_a_leave():
    watch = targetwatch.target_watch()
    watch.handle(_announced(), 0.0)
    left = watch.handle(targetwatch.Left(), 10.0)
    assert left == [targetwatch.TargetLeaving()]
    assert watch.handle(_announced(), 20.0) == []
    assert watch.handle(_announced('i2'), 30.0) == [_UP]


def test_a_slot_with_only_cancelled_deadlines_is_not_due():
    wheel = deadlines.DeadlineWheel()
    first = wheel.add(100.0, lambda: None)
    second = wheel.add(100.0, lambda: None)
    wheel.add(500.0, lambda: None)
    first.cancel()
    second.cancel()
    second.cancel()
    wheel.expire(50.0)
    wheel.expire(120.0)
    assert wheel.next_due_ms > 400.0


def test_a_callback_may_cancel_another_in_its_slot():
    wheel = deadlines.DeadlineWheel()
    called = []
    second = None

    def cancel_second():
        called.append(1)
        second.cancel()

    wheel.add(100.0, cancel_second)
    second = wheel.add(100.0, lambda: called.append(2))
    wheel.expire(200.0)
    assert called == [1]
    assert wheel.next_due_ms is None


class _CoarseLoop:
    """Event loop that keeps time in whole milliseconds, like libuv."""

    def __init__(self, clock):
        self._clock = clock
        self._callback = None
        self._at_ms = 0.0

    def call_later(self, delay, callback):
        self._at_ms = int(self._clock.now_ms()) + round(delay * 1000)
        self._callback = callback
        return unittest.mock.Mock()

    def run_timer(self):
        self._clock.advance(max(0.0, self._at_ms - self._clock.now_ms()))
        callback, self._callback = self._callback, None
        callback()


@pytest.mark.parametrize('start_ms', [1000.0, 1000.3, 1001.9, 1003.999])
def test_each_wake_up_of_a_coarse_loop_finds_a_due_deadline(start_ms):
    clock = clocks.manual_clock(start_ms)
    loop = _CoarseLoop(clock)
    ticks = []
    tickers.ticker(clock, loop).every(10.0, lambda: ticks.append(1))
    for turns in range(1, 50):
        loop.run_timer()
        assert len(ticks) == turns


def test_a_deadline_in_the_past_fires_once_per_expiry():
    wheel = deadlines.DeadlineWheel()
    seen = []

    def rearm():
        seen.append('again')
        wheel.add(10.0, rearm)

    wheel.add(10.0, rearm)
    wheel.expire(100.0)
    assert seen == ['again']
    assert wheel.next_due_ms == 104.0


def test_many_emptied_slots_are_skipped():
    wheel = deadlines.DeadlineWheel()
    for i in range(1, 500):
        wheel.add(i * 4.0, lambda: None).cancel()
    kept = []
    wheel.add(3000.0, lambda: kept.append(1))
    wheel.add(1.0, lambda: None)
    wheel.expire(5.0)
    assert wheel.next_due_ms == 3004.0
    wheel.expire(3004.0)
    assert kept == [1]
    assert wheel.next_due_ms is None


def test_a_failing_callback_does_not_lose_others():
    wheel = deadlines.DeadlineWheel()
    seen = []

    def fail():
        raise ValueError('on purpose')

    wheel.add(10.0, fail)
    wheel.add(20.0, lambda: seen.append('kept'))
    with pytest.raises(ValueError, match='on purpose'):
        wheel.expire(50.0)
    wheel.expire(50.0)
    assert seen == ['kept']


def test_a_failing_callback_does_not_lose_others_of_its_slot():
    wheel = deadlines.DeadlineWheel()
    seen = []

    def fail():
        raise ValueError('a fault')

    wheel.add(10.0, fail)
    wheel.add(10.0, lambda: seen.append('second'))
    with pytest.raises(ValueError, match='a fault'):
        wheel.expire(20.0)
    assert wheel.next_due_ms <= 20.0
    wheel.expire(20.0)
    assert seen == ['second']
