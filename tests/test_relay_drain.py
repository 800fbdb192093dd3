"""Planned stop of a relay node, without I/O."""

import pytest

from parsleystile.relay import drain

_NOTHING = drain.Owed()
_SOMETHING = [
    drain.Owed(requests=1),
    drain.Owed(calls=1),
    drain.Owed(unsent_bytes=1),
]


def _actions(steps, stop_ms=6000.0, lame_duck_ms=3000.0):
    """Return the actions of a stop requested at 1000 ms, by time."""
    stop = drain.drain(stop_ms, lame_duck_ms)
    stop.start(1000.0)
    return {
        at_ms: actions
        for at_ms, owed in steps
        if (actions := stop.tick(owed, 1000.0 + at_ms))
    }


def test_nothing_happens_before_the_stop():
    stop = drain.drain(6000.0, 3000.0)
    assert stop.tick(_NOTHING, 90_000.0) == []
    assert not stop.is_stopping


def test_an_idle_node_serves_until_its_callers_had_time_to_leave():
    steps = [(t, _NOTHING) for t in range(0, 4000, 100)]
    assert _actions(steps) == {
        3000: [drain.RefuseNew(), drain.End(False, 3000.0)]
    }


@pytest.mark.parametrize('owed', _SOMETHING)
def test_new_requests_are_refused_although_callers_never_leave(owed):
    steps = [(t, owed) for t in range(0, 7000, 50)]
    assert _actions(steps) == {
        3000: [drain.RefuseNew()],
        5150: [drain.AnswerOpen()],
        5550: [drain.End(True, 5550.0)],
    }


@pytest.mark.parametrize('owed', _SOMETHING)
def test_the_node_ends_once_nothing_is_owed(owed):
    steps = [(3000, owed), (3500, owed), (3600, _NOTHING), (3700, owed)]
    assert _actions(steps) == {
        3000: [drain.RefuseNew()],
        3600: [drain.End(False, 3600.0)],
    }


def test_the_node_ends_once_final_answers_are_delivered():
    owed = drain.Owed(requests=1)
    steps = [(3000, owed), (5300, owed), (5350, owed), (5400, _NOTHING)]
    assert _actions(steps) == {
        3000: [drain.RefuseNew()],
        5350: [drain.AnswerOpen()],
        5400: [drain.End(True, 5400.0)],
    }


def test_a_node_that_wakes_late_gives_up_nothing_that_is_answered():
    owed = drain.Owed(requests=1)
    steps = [(100, owed), (5800, owed), (5850, _NOTHING)]
    assert _actions(steps) == {
        5800: [drain.RefuseNew()],
        5850: [drain.End(False, 5850.0)],
    }


def test_a_short_stop_leaves_half_of_its_time_for_open_requests():
    owed = drain.Owed(requests=1)
    steps = [(t, owed) for t in range(0, 2000, 25)]
    assert list(_actions(steps, stop_ms=2000.0)) == [1000, 1725, 1850]


def test_a_second_stop_request_changes_nothing():
    stop = drain.drain(6000.0, 3000.0)
    stop.start(0.0)
    stop.start(2900.0)
    assert stop.tick(_NOTHING, 3000.0)
