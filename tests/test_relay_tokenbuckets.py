"""Token buckets divided among nodes, with transfers between them."""

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


def _request_tokens(fleet, node, now_ms, rng):
    """Request tokens from holders in turn, as the rate limiter does."""
    needed = fleet[node].start_request(ORG, now_ms)
    if not needed:
        return
    received = 0.0
    holders = [n for n in fleet[node].holders(ORG) if n != node]
    for peer in rng.sample(holders, min(3, len(holders))):
        received = fleet[peer].transfer_out(ORG, needed, now_ms)
        if received:
            break
    fleet[node].finish_request(ORG, received, now_ms)


def _run_calls(fleet, arrivals, rng):
    """Return the times of the calls that got a token."""
    admitted = []
    for now_ms, node in arrivals:
        if fleet[node].try_take(ORG, now_ms):
            admitted.append(now_ms)
            _request_tokens(fleet, node, now_ms, rng)
            continue
        _request_tokens(fleet, node, now_ms, rng)
        if fleet[node].retry_take(ORG, now_ms):
            admitted.append(now_ms)
    return admitted


def _arrivals(fleet, per_s, seconds, rng, weights=None):
    nodes = list(fleet)
    now_ms = 0.0
    while now_ms < seconds * 1e3:
        now_ms += rng.expovariate(per_s / 1e3)
        yield now_ms, rng.choices(nodes, weights)[0]


@pytest.mark.parametrize('burst', [1, 8, 60, 600])
@pytest.mark.parametrize('count', [1, 5, 14, 73])
def test_no_window_exceeds_rate_and_burst(count, burst):
    rng = random.Random(count * 1000 + burst)
    fleet = _fleet(count, 50.0, burst)
    admitted = _run_calls(fleet, _arrivals(fleet, 400.0, 12, rng), rng)
    window_ms = 5_000.0
    start = 0
    for end, at_ms in enumerate(admitted):
        while admitted[start] < at_ms - window_ms:
            start += 1
        assert end - start + 1 <= 50.0 * 5 + burst + 1


@pytest.mark.parametrize('count', [5, 14, 16])
def test_a_small_organisation_within_its_rate_is_served(count):
    rng = random.Random(count)
    fleet = _fleet(count, 12.0, 12.0)
    arrivals = list(_arrivals(fleet, 7.5, 60, rng))
    measured = [a for a in arrivals if a[0] > 2_000.0]
    admitted = [t for t in _run_calls(fleet, arrivals, rng) if t > 2_000.0]
    assert len(admitted) >= 0.99 * len(measured)


def test_a_busy_node_gets_tokens_of_other_nodes():
    rng = random.Random(3)
    fleet = _fleet(14, 100.0, 100.0)
    weights = [50.0] + [1.0] * 13
    arrivals = list(_arrivals(fleet, 60.0, 30, rng, weights))
    measured = [a for a in arrivals if a[0] > 2_000.0]
    admitted = [t for t in _run_calls(fleet, arrivals, rng) if t > 2_000.0]
    assert len(admitted) >= 0.98 * len(measured)


def test_transferred_tokens_are_removed_from_the_sender():
    fleet = _fleet(2, 10.0, 20.0)
    sender, receiver = fleet.values()
    sender.try_take(ORG, 5_000.0)
    before = sender.tokens(ORG)
    transferred = sender.transfer_out(ORG, 4.0, 5_000.0)
    assert transferred > 0.0
    assert sender.tokens(ORG) == pytest.approx(before - transferred)
    receiver.finish_request(ORG, transferred, 5_000.0)


def test_a_lower_rate_applies_at_once():
    fleet = _fleet(1, 100.0, 100.0)
    (node,) = fleet
    buckets = fleet[node]
    buckets.try_take(ORG, 60_000.0)
    buckets.configure(_organisations(5.0, 5.0), [node], node, 60_000.0)
    admitted = sum(buckets.try_take(ORG, 60_000.0) for _ in range(100))
    assert admitted <= 5


def test_a_new_node_starts_nearly_empty():
    fleet = _fleet(1, 100.0, 100.0)
    (buckets,) = fleet.values()
    admitted = sum(buckets.try_take(ORG, 0.0) for _ in range(200))
    assert admitted <= tokenbuckets.INITIAL_FILL_RATIO * 100.0


def test_all_nodes_select_the_same_holders():
    fleet = _fleet(14, 12.0, 12.0)
    answers = {tuple(node.holders(ORG)) for node in fleet.values()}
    assert len(answers) == 1
    (holders,) = answers
    assert len(holders) == int(12.0 / tokenbuckets.MIN_HOLDER_CAPACITY)


def test_a_rate_of_zero_is_no_limit():
    buckets = tokenbuckets.token_buckets(random.Random(1))
    node = ids.NodeId('n')
    buckets.configure(_organisations(0.0, 0.0), [node], node, 0.0)
    assert not buckets.is_limited(ORG)
    assert all(buckets.try_take(ORG, 0.0) for _ in range(1000))


def test_the_last_node_of_a_fleet_can_leave_it():
    buckets = tokenbuckets.token_buckets(random.Random(1))
    node = ids.NodeId('n')
    organisations = _organisations(10.0, 10.0)
    buckets.configure(organisations, [node], node, 0.0)
    buckets.configure(organisations, [], node, 0.0)
    assert buckets.is_limited(ORG)


def test_retry_after_grows_with_the_excess_demand():
    fleet = _fleet(4, 40.0, 40.0)
    node = next(iter(fleet))
    buckets = fleet[node]
    for i in range(1000):
        buckets.try_take(ORG, 10_000.0 + i)
    busy = buckets.retry_after_ms(ORG, 11_000.0)
    quiet = _fleet(4, 40.0, 40.0)[node]
    while quiet.try_take(ORG, 10_000.0):
        pass
    assert busy > quiet.retry_after_ms(ORG, 10_000.0)


def test_a_fleet_whose_last_nodes_leave_keeps_its_shares():
    limits = _organisations(100.0, 60)
    leaving = ids.NodeId('n00')
    last = ids.NodeId('n01')
    fleet = _fleet(2, 100.0, 60)
    fleet[leaving].configure(limits, [last], leaving, 1_000.0)
    fleet[last].configure(limits, [last], last, 1_000.0)
    for node in (leaving, last):
        fleet[node].configure(limits, [], node, 2_000.0)
    assert not fleet[leaving].try_take(ORG, 9_000.0)
    assert fleet[last].try_take(ORG, 9_000.0)
    assert fleet[last].tokens(ORG) == 59.0


def test_a_new_organisation_gets_no_tokens_while_all_nodes_leave():
    buckets = tokenbuckets.token_buckets(random.Random(1))
    buckets.configure(_organisations(100.0, 60), [], ids.NodeId('n00'), 0.0)
    assert not buckets.try_take(ORG, 1_000.0)
