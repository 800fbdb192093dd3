import random

import hypothesis
from hypothesis import strategies as st
import pytest

from bench import quotaworld
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import leases
from parsleystile import quotalender
from parsleystile import quotawire
from stubs import tablestate
from tests import envelope

_DOMAINS = ['a', 'a', 'b', 'b', 'c', 'c']
_RATE, _BURST = 20.0, 20
# Grants made before the nodes apply a lower limit are valid for this long.
_GRACE_MS = quotalender.GRANT_DURATION_MS + 100.0
_END_MS = 30_000.0


def _config(rate_per_s=_RATE, burst=_BURST, **presets):
    limits = fleetconfig.Organisation(rate_per_s=rate_per_s, burst=burst)
    return fleetconfig.FleetConfig(organisations={'o': limits}, **presets)


def _offer(world, rng, per_s, until_ms):
    """Offer calls at nodes that change about every second."""
    at_ms, names = 2_000.0, list(world.hosts)
    while at_ms < until_ms:
        chosen = rng.sample(names, rng.choice([1, 1, 2, len(names)]))
        end_ms = at_ms + rng.uniform(300.0, 2_000.0)
        while at_ms < end_ms:
            name = rng.choice(chosen)
            world.schedule_at(at_ms, lambda name=name: world.call(name, 'o'))
            at_ms += rng.expovariate(per_s / 1e3)


def _excess(world, limits=None, grace_ms=0.0):
    times_ms = [take.at_ms for take in world.decisions if take.is_admitted]
    assert len(times_ms) > 50
    limits = limits or [envelope.Limit(0.0, _RATE, _BURST)]
    return envelope.find_excess(times_ms, limits, grace_ms)


def _apply(world, fault):
    """Inject one fault; every index selects a node, whatever came before."""
    kind, index = fault
    names = sorted(world.hosts)
    name = names[index % len(names)]
    faults = world.table.faults
    match kind:
        case 'kill' if world.hosts[name].is_alive:
            world.kill(name)
            domain = world.hosts[name].member.failure_domain
            world.add_host(f'{name}x', domain)
        case 'stop' if world.hosts[name].is_alive:
            world.stop(name)
        case 'restart' if world.hosts[name].is_alive:
            world.hosts[name].is_alive = False
            world.add_host(name, world.hosts[name].member.failure_domain)
        case 'pause':
            world.pause(name, 1_500.0 * (1 + index % 12))
        case 'cut':
            pairs = [('a', 'b'), ('a', 'c'), ('b', 'c')]
            world.partition(*pairs[index % 3])
        case 'heal':
            world.heal()
            world.table.faults = tablestate.Faults()
        case 'outage':
            faults.outage = tablestate.Outage.REFUSE
        case 'lost':
            faults.lost_answer_share = 0.5
        case 'slow':
            faults.delay_ms = 3_000.0
            faults.answer_delay_ms = 1_000.0
        case 'partly':
            faults.reachable_domains = frozenset('abc'[index % 3])


_KINDS = ['kill', 'stop', 'restart', 'pause', 'cut', 'heal']
_KINDS += ['outage', 'lost', 'slow', 'partly']
_FAULTS = st.lists(
    st.tuples(
        st.floats(1_000.0, 22_000.0),
        st.tuples(st.sampled_from(_KINDS), st.integers(0, 11)),
    ),
    max_size=8,
)


@hypothesis.settings(
    max_examples=25,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(faults=_FAULTS, seed=st.integers(0, 2**16))
def test_no_window_exceeds_rate_and_burst_whatever_fails(faults, seed):
    world = quotaworld.World(seed, _DOMAINS, _config())
    for at_ms, fault in faults:
        world.schedule_at(at_ms, lambda fault=fault: _apply(world, fault))
    _offer(world, random.Random(seed), 3 * _RATE, _END_MS)
    world.run_until(_END_MS)
    assert _excess(world) is None


def _run_overloaded(seed, fault=None, end_ms=25_000.0):
    world = quotaworld.World(seed, _DOMAINS, _config())
    if fault is not None:
        world.schedule_at(6_000.0, lambda: fault(world))
    _offer(world, random.Random(seed), 4 * _RATE, end_ms)
    world.run_until(end_ms)
    return world


def _pause_all_lenders(world):
    shard = quotawire.shard_of(ids.OrganisationId('o'))
    owners = world.hosts['n0'].node.ownership.part_map.owners(shard)
    assert len(owners) == 3
    for name in owners:
        world.pause(name, 16_000.0)


@pytest.mark.parametrize('seed', range(3))
def test_ignoring_loans_exceeds_the_limit(monkeypatch, seed):
    nothing = quotalender.Quota(0.0, 0.0)
    monkeypatch.setattr(quotalender._Loan, 'max_held', lambda *_: nothing)
    assert _excess(_run_overloaded(seed)) is not None


def _pause_lenders_then_fail_table(world):
    _pause_all_lenders(world)
    outage = tablestate.Faults(outage=tablestate.Outage.REFUSE)
    world.schedule_at(21_000.0, lambda: setattr(world.table, 'faults', outage))


def test_ignoring_the_lease_exceeds_the_limit(monkeypatch):
    def valid_until_ms(lease):
        return 0.0 if lease.is_lost or not lease._confirmed else 1e18

    monkeypatch.setattr(leases.Lease, 'valid_until_ms', valid_until_ms)
    world = _run_overloaded(1, _pause_lenders_then_fail_table, 45_000.0)
    assert _excess(world) is not None


def test_a_paused_lender_lends_nothing_without_the_table():
    world = _run_overloaded(1, _pause_lenders_then_fail_table, 45_000.0)
    assert _excess(world) is None


def test_resumed_lenders_check_their_lease_before_lending():
    assert _excess(_run_overloaded(1, _pause_all_lenders)) is None


def test_a_paused_lender_is_replaced():
    world = _run_overloaded(1, _pause_all_lenders)
    late = [t for t in world.decisions if t.is_admitted and t.at_ms > 21_000.0]
    assert len(late) > 0.8 * _RATE * 4.0


def test_a_lower_rate_applies_once_older_grants_expire():
    world = quotaworld.World(3, _DOMAINS, _config())
    world.schedule_at(9_000.0, lambda: world.set_config(_config(8.0, 6)))
    _offer(world, random.Random(3), 4 * _RATE, 20_000.0)
    world.run_until(20_000.0)
    limits = [envelope.Limit(0.0, _RATE, _BURST)]
    limits.append(envelope.Limit(9_000.0, 8.0, 6))
    assert _excess(world, limits, _GRACE_MS) is None


def test_a_preset_scales_the_rate():
    preset = fleetconfig.Preset(rate_factor=0.25)
    config = _config(presets={'calm': preset}, active_preset='calm')
    world = quotaworld.World(4, _DOMAINS, config)
    _offer(world, random.Random(4), 2 * _RATE, 22_000.0)
    world.run_until(22_000.0)
    limits = [envelope.Limit(0.0, _RATE / 4, _BURST)]
    assert _excess(world, limits) is None
    admitted = sum(take.is_admitted for take in world.decisions)
    assert admitted > 0.9 * _RATE / 4 * 20.0


def _offer_steady(world, choose_name, per_s, start_ms, end_ms):
    count = int((end_ms - start_ms) / 1e3 * per_s)
    for i in range(count):
        name = choose_name(i)
        at_ms = start_ms + i / per_s * 1e3
        world.schedule_at(at_ms, lambda name=name: world.call(name, 'o'))


def _count_refused(world):
    return sum(not take.is_admitted for take in world.decisions)


def test_calls_within_the_rate_at_one_node_are_admitted():
    world = quotaworld.World(5, _DOMAINS, _config())
    _offer_steady(world, lambda i: 'n5', 0.9 * _RATE, 3_000.0, 13_000.0)
    world.run_until(14_000.0)
    assert (len(world.decisions), _count_refused(world)) == (180, 0)


def test_one_node_can_spend_the_whole_burst():
    world = quotaworld.World(5, _DOMAINS, _config())
    for _ in range(_BURST):
        world.schedule_at(5_000.0, lambda: world.call('n3', 'o'))
    world.run_until(6_000.0)
    assert (len(world.decisions), _count_refused(world)) == (_BURST, 0)


def test_quotas_survive_a_table_outage():
    world = quotaworld.World(6, _DOMAINS, _config())
    outage = tablestate.Faults(outage=tablestate.Outage.REFUSE)
    world.schedule_at(8_000.0, lambda: setattr(world.table, 'faults', outage))
    _offer_steady(world, lambda i: 'n1', 0.8 * _RATE, 30_000.0, 60_000.0)
    world.run_until(61_000.0)
    assert (len(world.decisions), _count_refused(world)) == (480, 0)


def test_a_partitioned_domain_keeps_its_share():
    world = quotaworld.World(7, _DOMAINS, _config())
    cut = tablestate.Faults(reachable_domains=frozenset('ab'))

    def cut_off():
        world.partition('a', 'c')
        world.partition('b', 'c')
        world.table.faults = cut

    world.schedule_at(8_000.0, cut_off)
    _offer_steady(world, lambda i: 'n4', 0.3 * _RATE, 30_000.0, 50_000.0)
    _offer_steady(world, lambda i: 'n0', 0.6 * _RATE, 30_000.0, 50_000.0)
    world.run_until(51_000.0)
    assert (len(world.decisions), _count_refused(world)) == (360, 0)


def test_unused_organisations_keep_no_state():
    world = quotaworld.World(8, _DOMAINS, _config())
    _offer_steady(world, lambda i: 'n1', 10.0, 3_000.0, 5_000.0)
    world.run_until(20_000.0)
    for host in world.hosts.values():
        assert host.node.borrower.organisation_count == 0
        assert host.node.lender.organisation_count == 0


def test_an_organisation_without_quota_is_refused():
    world = quotaworld.World(9, ['a'], _config())
    refusal = world.hosts['n0'].node.try_acquire(ids.OrganisationId('x'), 0.0)
    assert "'x'" in refusal.detail
    refusal = world.hosts['n0'].node.try_acquire(ids.OPEN_ORGANISATION, 0.0)
    assert refusal is None


def test_the_checker_detects_one_call_too_many():
    limits = [envelope.Limit(0.0, 10.0, 3)]
    assert envelope.find_excess([0, 0, 0, 100], limits) is None
    assert envelope.find_excess([0, 0, 0, 99], limits) == 99
    lower = [*limits, envelope.Limit(1_000.0, 1.0, 1)]
    assert envelope.find_excess([2_000, 2_001], lower, 500.0) == 2_001
