import pytest

from parsleystile import clock


def test_manual_clock_moves_only_by_advance():
    manual = clock.manual_clock(5.0)
    assert manual.now_ms() == 5.0
    assert manual.advance(2.5) == 7.5
    with pytest.raises(ValueError, match='-1'):
        manual.advance(-1)


def test_system_clock_does_not_go_back():
    system = clock.system_clock()
    readings = [system.now_ms() for _ in range(100)]
    assert readings == sorted(readings)
