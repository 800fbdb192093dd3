"""What callers of targets of unequal speed get; see ``evenloadplay``."""

import pytest

from parsleystile import admission
from parsleystile import balancer
from parsleystile import ids
from parsleystile import targetload
from tests import evenloadplay
from tests import servicemembers
from tests import twochoices

MAX_BUSIEST_OVER_MEAN = 1.15
QUARTERS = (0.5, 1.0, 1.0, 1.5)
THIRDS = (0.6, 1.0, 1.4)


def _play(pattern, count, seed, make=balancer.balancer):
    speeds = evenloadplay.speeds_of(pattern, count)
    return evenloadplay.Play(speeds, seed, make).run()


@pytest.mark.parametrize('count', [7, 14, 37])
@pytest.mark.parametrize('pattern', [QUARTERS, THIRDS])
@pytest.mark.parametrize('seed', range(2))
def test_load_is_even_where_two_choices_are_not(pattern, count, seed):
    before = _play(pattern, count, seed, twochoices.TwoChoices)
    now = _play(pattern, count, seed)
    assert now.busiest_over_mean <= MAX_BUSIEST_OVER_MEAN
    assert now.busiest_over_mean < before.busiest_over_mean
    assert now.wait_p99_ms < before.wait_p99_ms
    assert now.refused <= before.refused
    assert now.late < before.late
    assert now.messages / now.calls <= before.messages / before.calls


def test_callers_bear_a_target_that_claims_to_be_idle_and_fast():
    speeds = evenloadplay.speeds_of(QUARTERS, 14)
    play = evenloadplay.Play(speeds, 0, used=0.6)
    play.targets['t5'].is_lying = True
    result = play.run()
    assert result.late <= 0.01 * result.calls
    assert result.refused <= 0.01 * result.calls


def _tell(load, tier, in_flight, now_ms, service_us=None):
    report = admission.Load(in_flight, 20, 0, 3.0)
    told = evenloadplay.Load(report, service_us)
    load.record(told, 0, tier, now_ms)


def test_old_news_counts_as_the_mean_of_the_others():
    tier = targetload.tier_load()
    full, idle = targetload.target_load(), targetload.target_load()
    _tell(full, tier, 20, 0.0)
    for i in range(40):
        _tell(idle, tier, 4, 100.0 * i)
    loads = [full.calls(0, tier, age_ms) for age_ms in (4_000.0, 9_000.0)]
    assert loads[0] < 6.0
    assert loads[1] < loads[0]
    # Own calls are known.
    assert full.calls(9, tier, 9_000.0) >= 9


def test_a_wrong_service_time_has_a_bounded_effect():
    tier = targetload.tier_load()
    honest, wrong = targetload.target_load(), targetload.target_load()
    for i in range(100):
        _tell(honest, tier, 10, 50.0 * i, 250_000)
        _tell(wrong, tier, 10, 50.0 * i, 1)
    ratio = wrong.share(20, tier, 5e3) / honest.share(20, tier, 5e3)
    assert ratio <= targetload.MAX_TIME_RATIO / targetload.MIN_TIME_RATIO


def test_a_target_that_was_cold_gets_its_share_without_news():
    tier = targetload.tier_load()
    cold, warm = targetload.target_load(), targetload.target_load()
    for i in range(20):
        _tell(warm, tier, 10, 50.0 * i)
        cold.record(admission.Load(1, 2, 0, 3.0), 0, tier, 50.0 * i)
    ratios = []
    for now_ms in (1_000.0, 6_000.0):
        _tell(warm, tier, 10, now_ms)
        share = cold.share(20, tier, now_ms)
        ratios.append(share / warm.share(20, tier, now_ms))
    assert ratios[0] < 0.2
    assert ratios[1] > 0.8


def test_a_node_that_serves_another_service_than_before_is_chosen():
    own = ids.FailureDomainId('d0')
    names = [ids.ServiceName('before'), evenloadplay.SERVICE]
    rng = evenloadplay.random.Random(1)
    node = balancer.balancer(own, ids.RegionId('r'), ids.NodeId('n'), rng)
    for name in names:
        found = [servicemembers.member(i, own, name, 20) for i in range(3)]
        node.set_members(name, found)
        for now_ms in (0.0, 500.0):
            member = node.choose(name, frozenset(), now_ms)
            node.sent(member.node_id)
            report = admission.Load(5, 20, 0, 3.0)
            told = evenloadplay.Load(report, 250_000)
            node.answered(member.node_id, told, now_ms)


def test_a_domain_without_news_holds_no_calls_back():
    found = [
        servicemembers.member(i, f'd{i}', evenloadplay.SERVICE, 20)
        for i in range(2)
    ]
    rng = evenloadplay.random.Random(1)
    own = ids.FailureDomainId('d0')
    node = balancer.balancer(own, ids.RegionId('r'), ids.NodeId('n'), rng)
    node.set_members(evenloadplay.SERVICE, found)
    full = admission.Load(20, 20, 20, 3.0)
    for member in found:
        node.sent(member.node_id, 0.0)
        node.answered(member.node_id, full, 0.0)
    # The own domain is as full, and its news goes on; that of the other one
    # has stopped.
    chosen = set()
    for i in range(200):
        now_ms = 5_000.0 + 20.0 * i
        node.sent('t0', now_ms)
        node.answered('t0', full, now_ms)
        member = node.choose(evenloadplay.SERVICE, frozenset(), now_ms)
        chosen.add(member.node_id)
    assert chosen == {'t1'}


def test_the_spread_tells_how_much_fuller_the_fullest_target_is():
    own = ids.FailureDomainId('d0')
    found = [
        servicemembers.member(i, own, evenloadplay.SERVICE, 20)
        for i in range(4)
    ]
    rng = evenloadplay.random.Random(1)
    node = balancer.balancer(own, ids.RegionId('r'), ids.NodeId('n'), rng)
    assert node.load_spread(0.0) == 1.0
    node.set_members(evenloadplay.SERVICE, found)
    for member, in_flight in zip(found, (4, 4, 4, 12), strict=True):
        node.sent(member.node_id)
        report = admission.Load(in_flight, 20, 0, 3.0)
        node.answered(member.node_id, report, 0.0)
    assert node.load_spread(0.0) == pytest.approx(2.0)
