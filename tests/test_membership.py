import dataclasses
import random

import pytest

from parsleystile import _gossip_messages as messages
from parsleystile import ids
from parsleystile import members
from parsleystile import membership
from parsleystile import transport
from stubs import gossipnetwork

SIZES = {'a': 5, 'b': 5, 'c': 6}
SERVICE = ids.ServiceName('stock')
BOUND_MS = 3000


def _used_by(node):
    return {m.node_id for m in node.machine.members_of(SERVICE)}


def _is_unused(network, node_ids):
    return lambda: all(not _used_by(n) & node_ids for n in network.live())


def _views_agree(network):
    names = {n.machine.local_member.node_id for n in network.live()}
    return lambda: all(_used_by(n) == names for n in network.live())


def _kill(network, node_ids):
    for node_id in node_ids:
        network.nodes[node_id].is_dead = True


def _is_known_dead(network, node_id, live):
    return any(
        n.machine.get(node_id).state is members.MemberState.DEAD for n in live
    )


@pytest.mark.parametrize('seed', range(8))
def test_a_dead_vm_is_out_of_use_within_bound(seed):
    network = gossipnetwork.network(SIZES, seed)
    network.run(3000)
    _kill(network, {'b-1'})
    took_ms = network.run_until(_is_unused(network, {'b-1'}), 10_000)
    assert took_ms <= BOUND_MS
    assert _views_agree(network)()


@pytest.mark.parametrize('seed', range(8))
def test_a_dead_vm_whose_address_is_used_again_is_out_of_use(seed):
    # The node at its address acked the pings that were meant for it.
    network = gossipnetwork.network(SIZES, seed)
    network.run(3000)
    lost = network.nodes['b-1']
    _kill(network, {'b-1'})
    added = network.add('b-9', 'b', port=lost.address.port)
    known = network.nodes['a-0'].machine.local_member
    network.handle(added, membership.Learned((known,)))
    took_ms = network.run_until(_is_unused(network, {'b-1'}), 10_000)
    assert took_ms <= BOUND_MS
    network.run(2000)
    assert _views_agree(network)()


@pytest.mark.parametrize('seed', range(4))
def test_a_leaving_node_is_out_of_use_and_its_leave_acked(seed):
    network = gossipnetwork.network(SIZES, seed)
    network.run(3000)
    node = network.nodes['a-0']
    network.handle(node, membership.Leave())
    took_ms = network.run_until(_is_unused(network, {'a-0'}), 10_000)
    assert took_ms <= 300
    network.run(500)
    assert node.actions == [membership.LeaveConfirmed(15, 15)]


def test_a_target_that_drains_is_out_of_use_within_bound():
    network = gossipnetwork.network(SIZES, 1)
    network.run(3000)
    node = network.nodes['a-0']
    network.handle(node, membership.Announce('', 0))
    took_ms = network.run_until(_is_unused(network, {'a-0'}), 10_000)
    assert took_ms <= BOUND_MS
    network.handle(node, membership.Announce(SERVICE, 20))
    assert network.run_until(_views_agree(network), 10_000) <= BOUND_MS


def test_a_leave_completes_in_spite_of_loss_and_dead_members():
    network = gossipnetwork.network(SIZES, 5)
    network.run(3000)
    network.loss_ratio = 0.3
    _kill(network, {'b-1'})
    node = network.nodes['a-0']
    network.handle(node, membership.Leave())
    network.run(2500)
    [confirmed] = node.actions
    assert 10 <= confirmed.acked <= 14
    assert _is_unused(network, {'a-0'})()


@pytest.mark.parametrize('seed', range(4))
def test_a_failed_domain_is_out_of_use_within_bound(seed):
    network = gossipnetwork.network(SIZES, seed)
    network.run(3000)
    failed = {n for n in network.nodes if n.startswith('c')}
    _kill(network, failed)
    took_ms = network.run_until(_is_unused(network, failed), 10_000)
    assert took_ms <= BOUND_MS
    assert _views_agree(network)()


@pytest.mark.parametrize('seed', range(4))
def test_a_partition_evicts_no_member_and_heals_within_bound(seed):
    network = gossipnetwork.network(SIZES, seed)
    network.run(3000)
    network.partitions = {frozenset('ac'), frozenset('bc')}
    network.run(60_000)
    assert _used_by(network.nodes['c-0']) == {f'c-{i}' for i in range(6)}
    for node in network.live():
        assert len(node.machine.live_members()) == 16
    restarted = network.add('b-0', 'b')
    network.handle(
        restarted,
        membership.Learned((network.nodes['a-1'].machine.local_member,)),
    )
    network.run(5000)
    network.partitions = set()
    assert network.run_until(_views_agree(network), 20_000) <= BOUND_MS


@pytest.mark.parametrize('seed', range(4))
def test_changes_during_a_partition_are_merged_after_it(seed):
    network = gossipnetwork.network(SIZES, seed)
    network.run(3000)
    network.partitions = {frozenset('ab'), frozenset('ac')}
    network.run(5000)
    network.handle(network.nodes['b-0'], membership.Leave())
    _kill(network, {'c-0'})
    network.run(60_000)
    network.partitions = set()
    departed = {'b-0', 'c-0'}
    names = set(network.nodes) - departed
    took_ms = network.run_until(
        lambda: all(_used_by(n) == names for n in network.live()), 20_000
    )
    assert took_ms <= 2 * BOUND_MS


@pytest.mark.parametrize('seed', range(4))
def test_a_paused_process_evicts_no_member_and_returns(seed):
    network = gossipnetwork.network(SIZES, seed)
    network.run(3000)
    paused = network.nodes['b-2']
    before = paused.machine.local_member.incarnation
    paused.paused_until_ms = network.now_ms + 10_000
    network.run(9_900)
    assert _is_unused(network, {'b-2'})() is False, (
        'the paused node still uses itself'
    )
    others = [n for n in network.live() if n is not paused]
    assert all('b-2' not in _used_by(n) for n in others)
    network.run(200)
    assert network.run_until(_views_agree(network), 10_000) <= BOUND_MS
    assert paused.machine.local_member.incarnation > before
    network.run(5000)
    assert _views_agree(network)()


@pytest.mark.parametrize('seed', range(4))
def test_packet_loss_of_a_third_evicts_no_member(seed):
    network = gossipnetwork.network(SIZES, seed)
    network.loss_ratio = 0.3
    for _ in range(60):
        network.run(1000)
        for node in network.live():
            dead = [
                n
                for n in network.nodes
                if node.machine.get(n).state is members.MemberState.DEAD
            ]
            assert dead == []
    _kill(network, {'a-3'})
    took_ms = network.run_until(_is_unused(network, {'a-3'}), 10_000)
    assert took_ms <= 2 * BOUND_MS


def test_duplicated_and_stale_datagrams_revive_no_member():
    network = gossipnetwork.network(SIZES, 3)
    network.duplicate_ratio = 0.5
    network.run(5000)
    _kill(network, {'a-3'})
    network.run_until(_is_unused(network, {'a-3'}), 10_000)
    for _ in range(60):
        network.run(200)
        assert _is_unused(network, {'a-3'})()


def test_a_dead_incarnation_never_returns_and_a_restart_does():
    network = gossipnetwork.network(SIZES, 1)
    network.run(2000)
    old = network.nodes['a-3'].machine.local_member
    _kill(network, {'a-3'})
    network.run(6000)
    for node in network.live():
        network.handle(node, membership.Learned((old,)))
    network.run(3000)
    assert _is_unused(network, {'a-3'})()
    restarted = network.add('a-3', 'a')
    seed = network.nodes['c-1'].machine.local_member
    network.handle(restarted, membership.Learned((seed,)))
    assert network.run_until(_views_agree(network), 20_000) <= 2 * BOUND_MS


def test_a_restart_with_a_clock_behind_takes_a_higher_incarnation():
    network = gossipnetwork.network({'a': 3, 'b': 3}, 1)
    network.run(2000)
    ahead = ids.Incarnation(int(network.now_ms) + 1_000_000)
    old = dataclasses.replace(
        network.nodes['a-1'].machine.local_member, incarnation=ahead
    )
    _kill(network, {'a-1'})
    for node in network.live():
        network.handle(node, membership.Learned((old,)))
    network.run(6000)
    restarted = network.add('a-1', 'a')
    network.handle(
        restarted,
        membership.Learned((network.nodes['b-0'].machine.local_member,)),
    )
    assert network.run_until(_views_agree(network), 20_000) <= 2 * BOUND_MS
    assert restarted.machine.local_member.incarnation > ahead


@pytest.mark.parametrize('seed', range(2))
def test_failure_of_a_rack_evicts_only_its_members(seed):
    network = gossipnetwork.network({'a': 30, 'b': 30}, seed)
    network.run(2000)
    failed = {f'a-{i}' for i in range(12)}
    _kill(network, failed)
    took_ms = network.run_until(_is_unused(network, failed), 20_000)
    assert took_ms <= 3 * BOUND_MS
    network.run(3000)
    assert _views_agree(network)()


def test_failure_of_a_fifth_evicts_no_other_member():
    network = gossipnetwork.network({'a': 34, 'b': 34, 'c': 34}, 7)
    network.run(2000)
    failed = set(network.rng.sample(sorted(network.nodes), 20))
    _kill(network, failed)
    took_ms = network.run_until(_is_unused(network, failed), 20_000)
    assert took_ms <= 3 * BOUND_MS
    for _ in range(10):
        network.run(500)
        assert _views_agree(network)()


def test_a_partition_inside_a_domain_is_detected_and_heals():
    network = gossipnetwork.network(SIZES, 2)
    network.run(3000)
    isolated = network.nodes['a-0']
    network.partitions = {frozenset('ab'), frozenset('ac')}
    isolated.domain = 'c'
    network.run(20_000)
    assert _used_by(network.nodes['a-1']) == {f'a-{i}' for i in range(1, 5)}
    network.partitions = set()
    isolated.domain = 'a'
    assert network.run_until(_views_agree(network), 30_000) <= 4 * BOUND_MS


def test_an_isolated_node_evicts_no_member():
    network = gossipnetwork.network(SIZES, 4)
    network.run(3000)
    isolated = network.nodes['a-0']
    isolated.domain = 'nowhere'
    network.partitions = {frozenset((d, 'nowhere')) for d in 'abc'}
    network.run(20_000)
    assert not _is_known_dead(network, 'a-1', [isolated])
    assert not _is_known_dead(network, 'b-1', [isolated])
    assert 'a-0' not in _used_by(network.nodes['a-1'])
    network.partitions = set()
    isolated.domain = 'a'
    assert network.run_until(_views_agree(network), 30_000) <= 2 * BOUND_MS


def test_one_node_evicts_a_bounded_share():
    record = gossipnetwork.make_member('a-0', 'a', 1, 1)
    machine = membership.membership(record, random.Random(1))
    others = tuple(
        gossipnetwork.make_member(f'a-{i}', 'a', i + 1, 1)
        for i in range(1, 40)
    )
    far = gossipnetwork.make_member('b-0', 'b', 99, 1)
    machine.handle(membership.Learned((*others, far)), 0.0)
    evicted = []
    for now_ms in range(0, 9000, 100):
        for action in machine.handle(membership.Tick(), now_ms):
            if not isinstance(action, membership.Send):
                continue
            body = action.message.body
            if action.to == far.gossip and isinstance(body, messages.Ping):
                ack = messages.Message(
                    far.node_id, 1, 0, messages.Ack(body.sequence)
                )
                machine.handle(membership.Received(ack, far.gossip), now_ms)
        states = [machine.get(m.node_id).state for m in others]
        evicted.append(states.count(members.MemberState.DEAD))
    assert evicted[-1] > 0
    # At most a quarter of the domain's 40 members within 3 s.
    for before, after in zip(evicted, evicted[30:], strict=False):
        assert after - before <= 10


def test_a_domain_unreachable_for_an_hour_is_forgotten_and_may_return():
    network = gossipnetwork.network({'a': 2, 'b': 1}, 1)
    network.run(2000)
    network.partitions = {frozenset('ab')}
    node = network.nodes['a-0']
    network.run(3_590_000)
    assert node.machine.unreachable_domains() == {'b'}
    assert len(node.machine.live_members()) == 3
    network.run(20_000)
    assert node.machine.unreachable_domains() == set()
    assert _used_by(node) == {'a-0', 'a-1'}
    # After the partition, one node learns the address from a seed row.
    network.run(700_000)
    network.partitions = set()
    seed = network.nodes['b-0'].machine.local_member
    network.handle(node, membership.Learned((seed,)))
    assert network.run_until(_views_agree(network), 20_000) <= 2 * BOUND_MS


def test_members_of_a_domain_taken_out_are_not_used():
    network = gossipnetwork.network(SIZES, 1)
    node = network.nodes['a-0']
    before = node.machine.version
    network.handle(node, membership.ConfigInForce(7, ('a', 'b')))
    assert _used_by(node) == {f'c-{i}' for i in range(6)}
    assert node.machine.version > before


def test_versions_in_force_are_learned_and_newer_ones_fetched():
    network = gossipnetwork.network(SIZES, 1)
    network.run(1000)
    for node_id in network.nodes.keys() - {'c-1'}:
        node = network.nodes[node_id]
        network.handle(node, membership.ConfigInForce(3))
    observer = network.nodes['a-0']
    network.handle(observer, membership.QueryConfigVersions(3))
    network.run(100)
    rollout = {d.domain: d for d in observer.machine.in_force(3)}
    assert rollout['c'].waiting == ('c-1',)
    assert (rollout['c'].in_force, rollout['c'].total) == (5, 6)
    assert rollout['a'].waiting == ()
    network.run(1000)
    fetches = network.nodes['c-1'].actions
    assert fetches
    assert {f.version for f in fetches} == {3}


def test_withdrawn_keys_reach_all_members_after_a_partition():
    network = gossipnetwork.network(SIZES, 1)
    network.partitions = {frozenset('ac'), frozenset('bc')}
    network.run(4000)
    withdrawn = {n: set() for n in network.nodes}

    def exchange_withdrawals():
        for name, node in network.nodes.items():
            for action in node.actions:
                if isinstance(action, membership.WithdrawKeys):
                    withdrawn[name].update(action.key_ids)
            node.actions.clear()
            event = membership.WithdrawnKeys(frozenset(withdrawn[name]))
            network.handle(node, event)
        return all('k5' in keys for keys in withdrawn.values())

    withdrawn['a-0'].add('k5')
    network.run_until(exchange_withdrawals, 10_000)
    near = [n for n in withdrawn if not n.startswith('c')]
    assert all('k5' in withdrawn[n] for n in near)
    assert 'k5' not in withdrawn['c-0']
    network.partitions = set()
    assert network.run_until(exchange_withdrawals, 30_000) <= 3 * BOUND_MS


def test_the_list_version_is_stable_without_changes():
    network = gossipnetwork.network(SIZES, 1)
    network.run(3000)
    node = network.nodes['a-0'].machine
    before, listed = node.version, node.members_of(SERVICE)
    network.run(20_000)
    assert node.version == before
    assert node.members_of(SERVICE) is listed


def test_datagrams_carry_a_bounded_number_of_updates():
    network = gossipnetwork.network({'a': 40, 'b': 40}, 1)
    sizes = []
    network.tap = lambda node, message: sizes.append(len(message.updates))
    _kill(network, {f'b-{i}' for i in range(20)})
    network.run(5000)
    assert max(sizes) == messages.MAX_UPDATES


def test_member_changes_are_returned_as_actions():
    record = gossipnetwork.make_member('a-0', 'a', 1, 1)
    machine = membership.membership(record, random.Random(1))
    other = gossipnetwork.make_member('b-0', 'b', 2, 1)
    failed = dataclasses.replace(other, state=members.MemberState.DEAD)
    assert machine.handle(membership.Learned((other,)), 0.0) == [
        membership.MemberChanged(None, other)
    ]
    assert machine.handle(membership.Learned((other, failed)), 0.0) == [
        membership.MemberChanged(other, failed)
    ]


def test_an_unsolicited_ack_is_ignored():
    record = gossipnetwork.make_member('a-0', 'a', 1, 1)
    machine = membership.membership(record, random.Random(1))
    other = gossipnetwork.make_member('b-0', 'b', 2, 1)
    machine.handle(membership.Learned((other,)), 0.0)
    stale = messages.Message(other.node_id, 1, 0, messages.Ack(1))
    for now_ms in range(0, 6000, 100):
        machine.handle(membership.Tick(), now_ms)
        source = transport.Address('10.0.0.1', 2)
        machine.handle(membership.Received(stale, source), now_ms)
    assert machine.unreachable_domains() == {'b'}
