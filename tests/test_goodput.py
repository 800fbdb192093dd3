"""Whole requests through a chain under load; figures are in bench/."""

import pytest

from bench import goodput


def _settled(guarded, factor):
    loop, callers = goodput.build(guarded, factor * goodput.CAPACITY_PER_S)
    loop.run(8_000.0)
    return callers.goodput_per_s(4_000.0, 8_000.0)


def test_overload_costs_at_most_a_tenth_of_the_goodput():
    at_capacity = _settled(True, 1.0)
    assert at_capacity >= 0.9 * goodput.CAPACITY_PER_S
    assert _settled(True, 3.0) >= 0.9 * at_capacity


def test_retries_at_each_hop_alone_collapse():
    assert _settled(False, 3.0) <= 0.1 * goodput.CAPACITY_PER_S


@pytest.mark.parametrize('name', goodput.TRIGGERS)
def test_overload_ends_by_itself_with_callers_still_retrying(name):
    loop, callers = goodput.build(True, 0.8 * goodput.CAPACITY_PER_S)
    trigger = goodput.TRIGGERS[name]
    loop.run(4_000.0)
    trigger(callers, True)
    loop.run(7_000.0)
    trigger(callers, False)
    loop.run(14_000.0)
    usual_per_s = 0.8 * goodput.CAPACITY_PER_S
    assert callers.goodput_per_s(11_000.0, 14_000.0) >= 0.9 * usual_per_s


def test_work_below_is_bounded_while_the_slow_service_is_overrun():
    loop, callers = goodput.build(True, 3.0 * goodput.CAPACITY_PER_S)
    loop.run(4_000.0)
    before = list(callers.target.started)
    whole = sum(callers.completed_by_bin.values())
    loop.run(8_000.0)
    ran = [b - a for a, b in zip(before, callers.target.started, strict=True)]
    done = sum(callers.completed_by_bin.values()) - whole
    assert max(ran) <= 1.5 * done


def test_a_greedy_organisation_takes_nothing_from_modest_ones():
    assert goodput.min_served_ratio(True) >= 0.95
