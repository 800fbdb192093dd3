import random

import pytest

from parsleystile import burn
from parsleystile import errors
from parsleystile import objectives

_OBJECTIVES = objectives.Objectives(
    goodput_ratio=0.9,
    worst_organisation_ratio=0.5,
    refused_inside_rate_ratio=0.01,
    recovery_ms=5000,
)


def _snapshot(node, domain, outcomes):
    """Record tuples (organisation, good, refused) at one node."""
    recorder = burn.burn_recorder(node, domain, 0.0)
    for organisation, good, refused in outcomes:
        for is_answered, count in ((True, good), (False, refused)):
            outcome = errors.Outcome.ANSWERED
            reason = errors.Reason.NONE
            if not is_answered:
                outcome = errors.Outcome.NOT_RUN
                reason = errors.Reason.SHED
            for _ in range(count):
                recorder.record(organisation, outcome, reason, 3, True, 1.0)
    return recorder.snapshot(2.0)


@pytest.fixture
def snapshots():
    return [
        _snapshot('n1', 'd1', [('a', 90, 10), ('b', 1, 9)]),
        _snapshot('n2', 'd2', [('a', 90, 10)]),
    ]


def test_snapshots_are_summed(snapshots):
    fleet_total = objectives.sum_snapshots(snapshots)
    assert fleet_total.nodes == 2
    row = fleet_total.windows[0]
    assert row[burn.Count.DEMANDED] == 210
    assert row[burn.Count.GOOD] == 181
    assert fleet_total.reasons == {'shed': 29}
    assert fleet_total.recent[0] == [210, 181]
    b_counts = objectives.sum_snapshots(snapshots, 'b').windows[0]
    assert b_counts[burn.Count.DEMANDED] == 10


def test_burn_rate_is_misses_over_allowed_misses(snapshots):
    fleet_total = objectives.sum_snapshots(snapshots)
    goodput = objectives.goodput_burns(fleet_total, _OBJECTIVES)[0]
    assert goodput.missed == 29
    assert goodput.rate == pytest.approx(29 / 210 / 0.1)
    refused = objectives.refused_inside_rate_burns(fleet_total, _OBJECTIVES)[0]
    assert refused.rate == pytest.approx(29 / 210 / 0.01)


def test_the_worst_served_organisation_is_the_subject(snapshots):
    by_name = {n: objectives.sum_snapshots(snapshots, n) for n in 'ab'}
    worst_burn = objectives.worst_organisation_burns(by_name, _OBJECTIVES)[0]
    assert worst_burn.subject == 'b'
    assert worst_burn.rate == pytest.approx(0.9 / 0.5)


def test_an_idle_fleet_burns_no_budget():
    fleet_total = objectives.sum_snapshots([])
    assert objectives.goodput_burns(fleet_total, _OBJECTIVES)[0].rate == 0
    assert (
        objectives.worst_organisation_burns({}, _OBJECTIVES)[0].demanded == 0
    )
    assert objectives.recovery_burn(fleet_total, _OBJECTIVES).rate == 0


@pytest.mark.parametrize(
    ('seconds', 'dip_s'),
    [
        # Oldest first: demanded and good.
        ([(10, 10)] * 5, 0),
        ([(10, 10), (10, 5), (10, 5), (10, 10)], 2),
        ([(10, 5), (0, 0), (10, 5), (10, 10)], 3),
        ([(10, 5), (0, 0), (10, 10)], 1),
        ([(10, 5), (10, 10), (10, 0), (10, 0)], 2),
        ([(10, 9), (10, 9)], 0),
    ],
)
def test_a_dip_lasts_until_goodput_recovers(seconds, dip_s):
    newest_first = seconds[::-1]
    assert objectives.longest_dip_ms(newest_first, 0.9) == dip_s * 1000


def test_percentiles_are_upper_bounds():
    latency = [0] * burn.LATENCY_BUCKETS
    latency[2] = 99  # 2 and 3 ms
    latency[6] = 1  # 32 to 63 ms
    assert objectives.percentile_ms(latency, 0.5) == 4
    assert objectives.percentile_ms(latency, 1.0) == 64


class _TokenBucket:
    """Reference implementation: an exact token bucket."""

    def __init__(self, rate_per_s, burst):
        self.rate_per_s, self.burst = rate_per_s, burst
        self.tokens, self.at_s = float(burst), 0.0

    def try_acquire(self, at_s):
        refill = (at_s - self.at_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + refill)
        self.at_s = at_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def _rate_series(events):
    """Return rows, newest first, of (seconds, admitted) events."""
    rows = [[0, 0] for _ in range(burn.WINDOWS[0].buckets)]
    for at_s, admitted in events:
        rows[int(at_s // 10)][0 if admitted else 1] += 1
    return rows[::-1]


@pytest.mark.parametrize('seed', range(5))
def test_justified_rate_refusals_are_not_counted(seed):
    rng = random.Random(seed)
    bucket = _TokenBucket(8.0, 30)
    events, at_s = [], 0.0
    while at_s < 299:
        # Alternate low and high load: a peak after a quiet period exceeds
        # the rate although the minute as a whole does not.
        offered_per_s = rng.choice((0.5, 4.0, 40.0))
        ends_s = min(299.0, at_s + rng.uniform(5, 40))
        while at_s < ends_s:
            events.append((at_s, bucket.try_acquire(at_s)))
            at_s += rng.expovariate(offered_per_s)
    assert any(not admitted for _, admitted in events)
    assert (
        objectives.count_refused_inside_rate(_rate_series(events), 8.0, 30)
        == 0
    )


def test_refusals_far_inside_the_rate_are_counted():
    # 5 requests/s at a limit of 120/s, every tenth of them refused.
    events = [(n / 5, n % 10 != 0) for n in range(5 * 299)]
    counted = objectives.count_refused_inside_rate(
        _rate_series(events), 120.0, 240
    )
    refused = sum(not admitted for _, admitted in events)
    assert 0.9 * refused < counted <= refused
