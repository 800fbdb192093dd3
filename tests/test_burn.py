import random

import pytest

from parsleystile import burn
from parsleystile import errors

_ANSWERED = (errors.Outcome.ANSWERED, errors.Reason.NONE)
_SHED = (errors.Outcome.NOT_RUN, errors.Reason.SHED)
_LOST = (errors.Outcome.UNKNOWN, errors.Reason.LINK_LOST)
_LIMITED = (errors.Outcome.NOT_RUN, errors.Reason.RATE_LIMITED)
_NO_KEY = (errors.Outcome.NOT_RUN, errors.Reason.KEY_MISSING)


def _recorder(now_ms=0.0):
    return burn.burn_recorder('n1', 'savo-a', now_ms)


def _record(recorder, what, now_ms, organisation='homes', is_inside=True):
    recorder.record(organisation, *what, 4.0, is_inside, now_ms)


def _window(recorder, now_ms, index=0, organisation='homes'):
    found = recorder.snapshot(now_ms).organisations.get(organisation)
    return found.windows[index] if found else [0] * burn.COUNTS


def test_each_ending_lands_in_its_counters():
    recorder = _recorder()
    for what in (_ANSWERED, _SHED, _LOST, _LIMITED, _NO_KEY):
        _record(recorder, what, 10.0)
    _record(recorder, _LIMITED, 10.0, is_inside=False)
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
def test_a_window_forgets_after_its_span_and_not_before(index):
    window = burn.WINDOWS[index]
    span_ms = window.bucket_ms * window.buckets
    recorder = _recorder()
    _record(recorder, _ANSWERED, 0.0)
    kept = _window(recorder, span_ms - 1, index)
    assert kept[burn.Count.GOOD] == 1
    assert _window(recorder, span_ms, index)[burn.Count.GOOD] == 0


def test_snapshots_do_not_change_the_counts():
    recorder, watched = _recorder(), _recorder()
    rng = random.Random(7)
    now_ms = 0.0
    for _ in range(2000):
        now_ms += rng.expovariate(1 / 40)
        what = rng.choice((_ANSWERED, _SHED, _LIMITED))
        for target in (recorder, watched):
            _record(target, what, now_ms)
        watched.snapshot(now_ms)
    assert recorder.snapshot(now_ms) == watched.snapshot(now_ms)


def test_counts_equal_a_plain_list_of_events():
    rng = random.Random(3)
    recorder = _recorder()
    seen = []
    now_ms = 0.0
    for _ in range(3000):
        now_ms += rng.expovariate(1 / 300)
        what = rng.choice((_ANSWERED, _ANSWERED, _SHED))
        _record(recorder, what, now_ms)
        seen.append((now_ms, what is _ANSWERED))
    for index, window in enumerate(burn.WINDOWS):
        newest = now_ms // window.bucket_ms
        inside = [
            good
            for at_ms, good in seen
            if newest - at_ms // window.bucket_ms < window.buckets
        ]
        row = _window(recorder, now_ms, index)
        assert row[burn.Count.DEMANDED] == len(inside)
        assert row[burn.Count.GOOD] == sum(inside)


def test_the_latest_seconds_tell_demand_and_goodput():
    recorder = _recorder()
    _record(recorder, _ANSWERED, 100.0)
    _record(recorder, _SHED, 1100.0)
    _record(recorder, _ANSWERED, 3100.0)
    recent = recorder.snapshot(3200.0).recent
    assert recent[:4] == [[1, 1], [0, 0], [1, 0], [1, 1]]


def test_organisations_are_bounded_and_none_is_lost():
    recorder = _recorder()
    count = burn.MAX_ORGANISATIONS + 50
    for number in range(count):
        _record(recorder, _ANSWERED, 5.0, f'o{number}')
    found = recorder.snapshot(6.0).organisations
    assert len(found) <= burn.MAX_ORGANISATIONS + 1
    good = sum(o.windows[0][burn.Count.GOOD] for o in found.values())
    assert good == count
    others = found[burn.OTHER_ORGANISATIONS].windows[0]
    assert others[burn.Count.GOOD] == 50


def test_idle_organisations_make_room():
    recorder = _recorder()
    for number in range(burn.MAX_ORGANISATIONS):
        _record(recorder, _ANSWERED, 0.0, f'o{number}')
    later_ms = 4 * 24 * 3_600_000.0
    _record(recorder, _ANSWERED, later_ms, 'late')
    assert set(recorder.snapshot(later_ms).organisations) == {'late'}


def test_a_snapshot_survives_json():
    recorder = _recorder()
    _record(recorder, _SHED, 50.0)
    snapshot = recorder.snapshot(60.0)
    assert burn.decode(burn.encode(snapshot)) == snapshot
