import dataclasses
import random

from parsleystile.relay import heldbytes

_MAX_BYTES = 6_400_000
_READING = heldbytes.Use.READING
_UNSENT = heldbytes.Use.UNSENT


@dataclasses.dataclass(eq=False)
class _Holder:
    count: heldbytes.HeldBytes
    yielded: list['_Holder']
    use: heldbytes.Use = _READING
    started_ms: float = 0.0
    held_bytes: int = 0
    progressed_ms: float = 0.0

    def hold(self, size, now_ms):
        self.count.count(self, size, now_ms)

    def yield_bytes(self, why):
        self.yielded.append(self)
        self.count.count(self, 0, self.progressed_ms)


def _count():
    return heldbytes.HeldBytes(_MAX_BYTES, random.Random(1)), []


def test_the_longest_without_progress_yields_first():
    count, yielded = _count()
    first = _Holder(count, yielded)
    second = _Holder(count, yielded, _UNSENT)
    second.hold(3_000_000, 0.0)
    first.hold(3_000_000, 500.0)
    _Holder(count, yielded).hold(2_000_000, 2000.0)
    assert yielded == [second]


def test_the_newest_body_yields_before_an_answer_and_a_small_one():
    count, yielded = _count()
    answer = _Holder(count, yielded, _UNSENT)
    old = _Holder(count, yielded, started_ms=1.0)
    new = _Holder(count, yielded, started_ms=2.0)
    small = _Holder(count, yielded, started_ms=3.0)
    small.hold(20_000, 0.0)
    answer.hold(3_000_000, 0.0)
    new.hold(2_000_000, 0.0)
    old.hold(2_000_000, 0.0)
    assert yielded == [new]
    old.hold(4_000_000, 0.0)
    assert yielded == [new, old]


def test_one_alone_and_one_that_cannot_yield_keep_their_bytes():
    count, yielded = _count()
    alone = _Holder(count, yielded)
    alone.hold(2 * _MAX_BYTES, 0.0)
    assert not yielded
    running = _Holder(count, yielded, heldbytes.Use.FIXED)
    running.hold(_MAX_BYTES, 0.0)
    assert yielded == [alone]
    assert count.held_bytes == _MAX_BYTES


def test_an_announced_size_counts_what_goes_on_and_not_what_stands_still():
    count, yielded = _count()
    other = _Holder(count, yielded)
    asking = _Holder(count, yielded)
    assert count.has_room(asking, 2 * _MAX_BYTES, 0.0)
    other.hold(4_000_000, 0.0)
    assert not count.has_room(asking, 3_000_000, 500.0)
    assert count.has_room(asking, 3_000_000, 1000.0)


def test_open_connections_take_room():
    count, yielded = _count()
    count.connections = lambda: 200
    _Holder(count, yielded).hold(1_000_000, 0.0)
    last = _Holder(count, yielded, started_ms=1.0)
    last.hold(1_000_000, 0.0)
    assert yielded == [last]
    assert count.room_bytes > 0
