import random

import pytest

from parsleystile import burn
from parsleystile import errors

_ANSWERED = (errors.Outcome.ANSWERED, errors.Reason.NONE)
_SHED = (errors.Outcome.NOT_RUN, errors.Reason.SHED)
_LINK_LOST = (errors.Outcome.UNKNOWN, errors.Reason.LINK_LOST)
_RATE_LIMITED = (errors.Outcome.NOT_RUN, errors.Reason.RATE_LIMITED)
_NO_KEY = (errors.Outcome.NOT_RUN, errors.Reason.KEY_MISSING)


def _recorder(now_ms=0.0):
    return burn.burn_recorder('n1', 'savo-a', now_ms)


def _record(recorder, result, now_ms, organisation='homes', is_inside=True):
    recorder.record(organisation, *result, 4.0, is_inside, now_ms)


def _window(recorder, now_ms, index=0, organisation='homes'):
    counts = recorder.snapshot(now_ms).organisations.get(organisation)
    return counts.windows[index] if counts else [0] * burn.COUNTER_COUNT


def test_each_outcome_is_counted():
    recorder = _recorder()
    for result in (_ANSWERED, _SHED, _LINK_LOST, _RATE_LIMITED, _NO_KEY):
        _record(recorder, result, 10.0)
    _record(recorder, _RATE_LIMITED, 10.0, is_inside=False)
    counts = dict(zip(burn.Count, _window(recorder, 20.0), strict=True))
    assert counts == {
        burn.Count.DEMANDED: 4,
        burn.Count.GOOD: 1,
        burn.Count.NOT_RUN: 2,
        burn.Count.UNKNOWN: 1,
        burn.Count.OVER_RATE: 1,
        burn.Count.CALLER_FAULT: 1,
        burn.Count.RATE_LIMITED: 2,
    }
    reasons = recorder.snapshot(20.0).organisations['homes'].reasons
    assert reasons == {
        'shed': 1,
        'link_lost': 1,
        'rate_limited': 2,
        'key_missing': 1,
    }


@pytest.mark.parametrize('index', range(len(burn.WINDOWS)))
def test_counts_expire_after_the_span_of_the_window(index):
    window = burn.WINDOWS[index]
    span_ms = window.bucket_ms * window.buckets
    recorder = _recorder()
    _record(recorder, _ANSWERED, 0.0)
    kept = _window(recorder, span_ms - 1, index)
    assert kept[burn.Count.GOOD] == 1
    assert _window(recorder, span_ms, index)[burn.Count.GOOD] == 0


def test_snapshots_do_not_change_the_counts():
    recorder, polled = _recorder(), _recorder()
    rng = random.Random(7)
    now_ms = 0.0
    for _ in range(2000):
        now_ms += rng.expovariate(1 / 40)
        result = rng.choice((_ANSWERED, _SHED, _RATE_LIMITED))
        for each in (recorder, polled):
            _record(each, result, now_ms)
        polled.snapshot(now_ms)
    assert recorder.snapshot(now_ms) == polled.snapshot(now_ms)


def test_counts_match_a_list_of_events():
    rng = random.Random(3)
    recorder = _recorder()
    recorded = []
    now_ms = 0.0
    for _ in range(3000):
        now_ms += rng.expovariate(1 / 300)
        result = rng.choice((_ANSWERED, _ANSWERED, _SHED))
        _record(recorder, result, now_ms)
        recorded.append((now_ms, result is _ANSWERED))
    for index, window in enumerate(burn.WINDOWS):
        newest = now_ms // window.bucket_ms
        inside = [
            good
            for at_ms, good in recorded
            if newest - at_ms // window.bucket_ms < window.buckets
        ]
        row = _window(recorder, now_ms, index)
        assert row[burn.Count.DEMANDED] == len(inside)
        assert row[burn.Count.GOOD] == sum(inside)


def test_recent_has_demanded_and_good_of_each_second():
    recorder = _recorder()
    _record(recorder, _ANSWERED, 100.0)
    _record(recorder, _SHED, 1100.0)
    _record(recorder, _ANSWERED, 3100.0)
    recent = recorder.snapshot(3200.0).recent
    assert recent[:4] == [[1, 1], [0, 0], [1, 0], [1, 1]]


def test_excess_organisations_are_counted_together():
    recorder = _recorder()
    count = burn.MAX_ORGANISATIONS + 50
    for number in range(count):
        _record(recorder, _ANSWERED, 5.0, f'o{number}')
    counts = recorder.snapshot(6.0).organisations
    assert len(counts) <= burn.MAX_ORGANISATIONS + 1
    good = sum(o.windows[0][burn.Count.GOOD] for o in counts.values())
    assert good == count
    others = counts[burn.OTHER_ORGANISATIONS].windows[0]
    assert others[burn.Count.GOOD] == 50


def test_idle_organisations_are_removed():
    recorder = _recorder()
    for number in range(burn.MAX_ORGANISATIONS):
        _record(recorder, _ANSWERED, 0.0, f'o{number}')
    later_ms = 4 * 24 * 3_600_000.0
    _record(recorder, _ANSWERED, later_ms, 'late')
    assert set(recorder.snapshot(later_ms).organisations) == {'late'}


def test_a_snapshot_round_trips_as_json():
    recorder = _recorder()
    _record(recorder, _SHED, 50.0)
    snapshot = recorder.snapshot(60.0)
    assert burn.decode(burn.encode(snapshot)) == snapshot
