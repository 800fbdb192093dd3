import random

from parsleystile import context
from parsleystile import errors
from parsleystile import shedding


def _shedder():
    return shedding.shedder(random.Random(1))


def _report(shedder, level, from_ms, until_ms, organisation='a'):
    for now_ms in range(from_ms, until_ms, 10):
        shedder.record_level('r', level, now_ms, organisation)


def test_nothing_is_shed_without_a_low_level():
    shedder = _shedder()
    assert shedder.decide('r', 2.99, 0.0, 'a') is None
    _report(shedder, context.RANK_LIMIT, 0, 100)
    assert shedder.decide('r', 2.99, 100.0, 'a') is None


def test_ranks_at_or_above_the_reported_level_are_refused():
    shedder = _shedder()
    _report(shedder, 1.4, 0, 2000)
    refusal = shedder.decide('r', 1.6, 2000.0, 'a')
    assert refusal.reason is errors.Reason.SHED
    assert refusal.outcome is errors.Outcome.NOT_RUN
    assert 500 <= refusal.retry_after_ms <= 1500
    assert shedder.decide('r', 1.3, 2000.0, 'a') is None
    assert shedder.decide('other', 1.6, 2000.0, 'a') is None


def test_an_organisation_is_not_shed_for_another():
    shedder = _shedder()
    _report(shedder, 1.2, 0, 2000, 'greedy')
    assert shedder.decide('r', 1.6, 2000.0, 'greedy') is not None
    assert shedder.decide('r', 1.6, 2000.0, 'modest') is None


def test_one_overloaded_target_of_many_does_not_close_the_service():
    shedder = _shedder()
    for now_ms in range(0, 5000, 10):
        level = 0.02 if now_ms % 100 == 0 else context.RANK_LIMIT
        shedder.record_level('r', level, now_ms, 'a')
    assert shedder.level('r', 5000.0, 'a') > 2.5


def test_a_level_without_reports_recovers():
    shedder = _shedder()
    _report(shedder, 0.02, 0, 2000)
    assert shedder.decide('r', 1.0, 2000.0, 'a') is not None
    assert shedder.decide('r', 1.0, 3500.0, 'a') is None
    assert shedder.decide('r', 2.9, 3500.0, 'a') is None, 'the probe'
    assert shedder.decide('r', 2.9, 3500.0, 'a') is not None
    assert shedder.decide('r', 2.9, 6000.0, 'a') is None


def test_probes_pass_without_reports_though_the_level_refuses_all():
    shedder = _shedder()
    _report(shedder, 0.0, 0, 5000)
    passed = [
        now_ms
        for now_ms in range(5000, 5700)
        if shedder.decide('r', 1.0, now_ms, 'a') is None
    ]
    assert len(passed) == 2


def test_a_recovered_level_is_discarded():
    shedder = _shedder()
    _report(shedder, 1.0, 0, 1000)
    _report(shedder, context.RANK_LIMIT, 1000, 4000)
    assert not shedder._levels


def test_memory_is_bounded():
    shedder = _shedder()
    for number in range(2 * shedding.MAX_LEVELS):
        shedder.record_level(f'r{number}', 1.0, 0.0, 'a')
    assert len(shedder._levels) <= shedding.MAX_LEVELS
