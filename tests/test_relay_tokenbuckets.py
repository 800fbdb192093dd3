"""Rates divided among nodes: never over, rarely under."""

import random

import pytest

from parsleystile import ids
from parsleystile.relay import policy
from parsleystile.relay import tokenbuckets

ORG = ids.OrganisationId('households')


def _organisations(rate_per_s, burst):
    return {ORG: policy.Organisation(ORG, rate_per_s, burst)}


def _fleet(count, rate_per_s, burst):
    nodes = [ids.NodeId(f'n{i:02d}') for i in range(count)]
    fleet = {}
    for node in nodes:
        fleet[node] = tokenbuckets.token_buckets(random.Random(node))
        fleet[node].configure(
            _organisations(rate_per_s, burst), nodes, node, 0.0
        )
    return fleet


def _ask(fleet, node, now_ms, rng):
    """Do what the shell does: ask holders until one gives."""
    wanted = fleet[node].wanted(ORG, now_ms)
    if not wanted:
        return
    got = 0.0
    holders = [n for n in fleet[node].holders(ORG) if n != node]
    for peer in rng.sample(holders, min(3, len(holders))):
        got = fleet[peer].give(ORG, wanted, now_ms)
        if got:
            break
    fleet[node].received(ORG, got, now_ms)


def _play(fleet, arrivals, rng):
    """Return the times of calls that got a token."""
    taken = []
    for now_ms, node in arrivals:
        if fleet[node].take(ORG, now_ms):
            taken.append(now_ms)
            _ask(fleet, node, now_ms, rng)
            continue
        _ask(fleet, node, now_ms, rng)
        if fleet[node].retake(ORG, now_ms):
            taken.append(now_ms)
    return taken


def _arrivals(fleet, per_s, seconds, rng, weights=None):
    nodes = list(fleet)
    now_ms = 0.0
    while now_ms < seconds * 1e3:
        now_ms += rng.expovariate(per_s / 1e3)
        yield now_ms, rng.choices(nodes, weights)[0]


@pytest.mark.parametrize('burst', [1, 8, 60, 600])
@pytest.mark.parametrize('count', [1, 5, 14, 73])
def test_no_window_sees_more_than_rate_and_burst(count, burst):
    rng = random.Random(count * 1000 + burst)
    fleet = _fleet(count, 50.0, burst)
    taken = _play(fleet, _arrivals(fleet, 400.0, 12, rng), rng)
    window_ms = 5_000.0
    start = 0
    for end, at_ms in enumerate(taken):
        while taken[start] < at_ms - window_ms:
            start += 1
        assert end - start + 1 <= 50.0 * 5 + burst + 1


@pytest.mark.parametrize('count', [5, 14, 16])
def test_a_small_organisation_inside_its_rate_is_served(count):
    rng = random.Random(count)
    fleet = _fleet(count, 12.0, 12.0)
    arrivals = list(_arrivals(fleet, 7.5, 60, rng))
    late = [a for a in arrivals if a[0] > 2_000.0]
    taken = [t for t in _play(fleet, arrivals, rng) if t > 2_000.0]
    assert len(taken) >= 0.99 * len(late)


def test_callers_of_one_node_get_the_tokens_of_others():
    rng = random.Random(3)
    fleet = _fleet(14, 100.0, 100.0)
    weights = [50.0] + [1.0] * 13
    arrivals = list(_arrivals(fleet, 60.0, 30, rng, weights))
    late = [a for a in arrivals if a[0] > 2_000.0]
    taken = [t for t in _play(fleet, arrivals, rng) if t > 2_000.0]
    assert len(taken) >= 0.98 * len(late)


def test_a_handed_over_token_leaves_its_giver():
    fleet = _fleet(2, 10.0, 20.0)
    giver, taker = fleet.values()
    giver.take(ORG, 5_000.0)
    before = giver.tokens(ORG)
    given = giver.give(ORG, 4.0, 5_000.0)
    assert given > 0.0
    assert giver.tokens(ORG) == pytest.approx(before - given)
    taker.received(ORG, given, 5_000.0)


def test_a_lower_rate_binds_at_once():
    fleet = _fleet(1, 100.0, 100.0)
    (node,) = fleet
    own = fleet[node]
    own.take(ORG, 60_000.0)
    own.configure(_organisations(5.0, 5.0), [node], node, 60_000.0)
    taken = sum(own.take(ORG, 60_000.0) for _ in range(100))
    assert taken <= 5


def test_a_node_that_starts_has_little():
    fleet = _fleet(1, 100.0, 100.0)
    (own,) = fleet.values()
    taken = sum(own.take(ORG, 0.0) for _ in range(200))
    assert taken <= tokenbuckets.START_SHARE * 100.0


def test_all_nodes_agree_on_the_holders_of_a_small_rate():
    fleet = _fleet(14, 12.0, 12.0)
    answers = {tuple(node.holders(ORG)) for node in fleet.values()}
    assert len(answers) == 1
    (holders,) = answers
    assert len(holders) == int(12.0 / tokenbuckets.LEAST_DEPTH)


def test_no_rate_is_no_limit():
    own = tokenbuckets.token_buckets(random.Random(1))
    node = ids.NodeId('n')
    own.configure(_organisations(0.0, 0.0), [node], node, 0.0)
    assert not own.is_limited(ORG)
    assert all(own.take(ORG, 0.0) for _ in range(1000))


def test_callers_far_over_the_rate_are_told_to_wait_longer():
    fleet = _fleet(4, 40.0, 40.0)
    node = next(iter(fleet))
    own = fleet[node]
    for i in range(1000):
        own.take(ORG, 10_000.0 + i)
    busy = own.retry_after_ms(ORG, 11_000.0)
    quiet = _fleet(4, 40.0, 40.0)[node]
    while quiet.take(ORG, 10_000.0):
        pass
    assert busy > quiet.retry_after_ms(ORG, 10_000.0)
