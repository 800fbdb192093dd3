"""Replication of rows and configuration between the nodes of a fleet.

The costs are bounded by the target of a node at 6,200 members: 26 KB a second
for control, in all that a node sends and receives.
"""

import itertools
import random

import msgspec
import pytest

from parsleystile import ids
from parsleystile.relay import memberlist
from parsleystile.relay import overlay
from parsleystile.relay import rowdigest
from parsleystile.relay import rowspread
from parsleystile.relay import statemessages
from parsleystile.relay import storeage
from tests import statefleet

_TARGET_BYTES_PER_S = 26_000


def _domains(size, count=5):
    return {
        ids.FailureDomainId(f'd{d}'): [
            ids.NodeId(f'n{i:04d}') for i in range(d, size, count)
        ]
        for d in range(count)
    }


def _reached(nodes, start, is_reachable):
    """Return the number of hops to the last node that passing on reaches."""
    domain_of = {n: d for d, ring in nodes.items() for n in ring}
    known = {start}
    newest = [start]
    hops = 0
    while newest:
        hops += 1
        heard = {
            peer
            for node in newest
            for peer in overlay.peers(
                node, domain_of[node], nodes, is_reachable
            )
        }
        newest = sorted(heard - known)
        known.update(newest)
    return known, hops


class TestOverlay:
    @pytest.mark.parametrize('size', [1, 2, 3, 14, 48, 195, 768, 6200])
    def test_state_passed_on_reaches_all_nodes_in_few_hops(self, size):
        nodes = _domains(size)
        known, hops = _reached(nodes, ids.NodeId('n0000'), lambda node: True)
        assert len(known) == size
        per_domain = size / 5
        assert hops <= per_domain.__ceil__().bit_length() + 4

    @pytest.mark.parametrize('size', [48, 195, 6200])
    def test_the_number_of_peers_grows_with_the_logarithm(self, size):
        nodes = _domains(size)
        for domain, ring in nodes.items():
            for node in ring[:: max(1, len(ring) // 20)]:
                peers = overlay.peers(node, domain, nodes, lambda n: True)
                assert node not in peers
                assert len(peers) == len(set(peers))
                assert len(peers) <= len(ring).bit_length() + 4

    @pytest.mark.parametrize('seed', range(20))
    def test_state_passes_by_nodes_that_do_not_answer(self, seed):
        rng = random.Random(seed)
        nodes = _domains(195)
        everyone = [n for ring in nodes.values() for n in ring]
        down = set(rng.sample(everyone, 60))
        start = rng.choice([n for n in everyone if n not in down])
        known, _ = _reached(nodes, start, lambda node: node not in down)
        assert known == set(everyone) - down

    def test_followers_are_replaced_when_they_do_not_answer(self):
        nodes = _domains(48)
        first = overlay.followers('d0', nodes, lambda node: True)
        assert len(first) == overlay.FOLLOWERS_PER_DOMAIN
        down = set(first)
        second = overlay.followers('d0', nodes, lambda n: n not in down)
        assert len(second) == overlay.FOLLOWERS_PER_DOMAIN
        assert not down & set(second)


class TestRowDigests:
    def test_digests_depend_on_the_rows_alone(self):
        rows = [
            (ids.NodeId(f'n{i}'), (i, i + 1), i % 7 == 0) for i in range(50)
        ]
        one = rowdigest.row_digests()
        other = rowdigest.row_digests()
        for row in rows:
            one.add(*row)
        other.add(ids.NodeId('n99'), (1, 1), False)
        for row in reversed(rows):
            other.add(*row)
        other.remove(ids.NodeId('n99'), (1, 1), False)
        assert one.total == other.total
        assert one.fold(8) == other.fold(8)

    def test_a_changed_row_changes_its_bucket_only(self):
        digests = rowdigest.row_digests()
        for i in range(100):
            digests.add(ids.NodeId(f'n{i}'), (1, 0), False)
        before = digests.fold(16)
        digests.remove(ids.NodeId('n5'), (1, 0), False)
        digests.add(ids.NodeId('n5'), (1, 1), False)
        after = digests.fold(16)
        changed = [i for i in range(16) if before[i] != after[i]]
        assert len(changed) == 1
        assert 'n5' in digests.nodes_in(changed[0], 16)

    def test_rows_that_change_alike_do_not_cancel_out(self):
        # Checksums did: nodes that missed both changes never learned of them.
        totals = set()
        for sequences in itertools.product(range(3), repeat=2):
            digests = rowdigest.row_digests()
            for name, sequence in zip(('n1', 'n2'), sequences, strict=True):
                digests.add(ids.NodeId(name), (1, sequence), False)
            totals.add(digests.total)
        assert len(totals) == 9

    def test_a_gone_row_counts_as_absent(self):
        digests = rowdigest.row_digests()
        digests.add(ids.NodeId('n1'), (1, 0), True)
        assert digests.total == 0
        assert digests.nodes_in(0, 1) == ['n1']


class TestRowSpread:
    def test_rows_go_to_peers_that_did_not_send_them(self):
        spread = rowspread.row_spread()
        row = statefleet.row('x', incarnation=1)
        spread.put(row, ids.NodeId('a'))
        spread.note_copy(row, ids.NodeId('b'))
        spread.put(statefleet.row('c', incarnation=1), ids.NodeId('a'))
        peers = [statefleet.row(n) for n in 'abc']
        messages = spread.flush(peers, peers[0].domain)
        assert {
            peer: [r.node_id for r in rows] for peer, rows in messages.items()
        } == {'b': ['c'], 'c': ['x']}
        assert not spread.flush(peers, peers[0].domain)

    def test_rows_cross_domains_near_their_own_node_only(self):
        spread = rowspread.row_spread()
        spread.put(statefleet.row('x', incarnation=1), ids.NodeId('x'))
        spread.put(statefleet.row('y', incarnation=1), ids.NodeId('a'))
        messages = spread.flush(
            [statefleet.row('b'), statefleet.row('c')], 'another'
        )
        assert {r.node_id for rows in messages.values() for r in rows} == {'x'}


class TestMemberList:
    def test_a_gone_row_wins_at_the_same_revision(self):
        member_list = memberlist.member_list(
            statefleet.row('own', incarnation=1)
        )
        row = statefleet.row('b', incarnation=3, sequence=2)
        member_list.merge(row)
        gone = msgspec.structs.replace(row, is_gone=True)
        assert member_list.merge(gone)
        assert not member_list.merge(row)
        assert member_list.node_ids == ['own']

    def test_a_removed_row_does_not_end_a_later_incarnation(self):
        member_list = memberlist.member_list(
            statefleet.row('own', incarnation=1)
        )
        member_list.merge(statefleet.row('b', incarnation=4))
        assert member_list.gone_row(ids.NodeId('b'), 3) is None
        assert member_list.gone_row(ids.NodeId('b'), 4).is_gone

    def test_a_node_taken_for_gone_announces_itself_anew(self):
        own = statefleet.row('own', incarnation=1)
        member_list = memberlist.member_list(own)
        gone = msgspec.structs.replace(own, is_gone=True)
        assert member_list.merge(gone)
        assert not member_list.own_row.is_gone
        assert member_list.own_row.revision > own.revision

    def test_rows_of_gone_nodes_do_not_grow_without_bound(self):
        member_list = memberlist.member_list(
            statefleet.row('own', incarnation=1)
        )
        for i in range(2_000):
            member_list.merge(statefleet.row(f'n{i}', incarnation=1))
            member_list.merge(
                statefleet.row(f'n{i}', incarnation=2, is_gone=True)
            )
        rows = [row for i in range(256) for row in member_list.rows_in(i, 256)]
        assert len(rows) < 300
        assert member_list.row(ids.NodeId('n1999')).is_gone

    def test_only_changed_services_are_reported(self):
        member_list = memberlist.member_list(
            statefleet.row('own', incarnation=1)
        )
        for i in range(10):
            member_list.merge(
                statefleet.row(
                    f'n{i}',
                    service=f's{i % 2}',
                    is_serving=True,
                    incarnation=1,
                )
            )
        assert member_list.take_changed_services() == {'s0', 's1'}
        assert not member_list.take_changed_services()
        member_list.set_reachable(ids.NodeId('n3'), False)
        assert member_list.take_changed_services() == {'s1'}
        assert len(member_list.members_of('s1')) == 4


class TestReplication:
    @pytest.mark.parametrize('size', [14, 48, 195])
    def test_a_change_reaches_all_nodes_within_a_second(self, size):
        fleet = statefleet.Fleet(size)
        fleet.timeline.run(3_000.0)
        fleet.nodes[size // 2].serve()
        assert fleet.settle(1_000.0) < 400.0
        for node in fleet.running():
            assert len(node.member_list.members_of('yard')) == 1

    def test_two_rows_that_were_missed_at_once_are_made_up_for(self):
        fleet = statefleet.Fleet(14)
        fleet.timeline.run(1_000.0)
        newcomer = fleet.start('n9999', 'd2')
        # As the store has them: before their targets reported.
        rows = [node.member_list.own_row for node in fleet.nodes]
        for node in fleet.nodes[:2]:
            node.serve()
        fleet.timeline.run(500.0)
        newcomer.sync.merge_rows(rows, 'store', is_spread=False)
        newcomer.sync.publish()
        fleet.timeline.run(8_000.0)
        assert len(newcomer.member_list.members_of('yard')) == 2

    def test_a_configuration_reaches_all_nodes_without_the_store(self):
        fleet = statefleet.Fleet(195)
        fleet.timeline.run(1_000.0)
        payload = b'7' + b' ' * 20_000
        before = sum(fleet.bytes.values())
        fleet.nodes[3].sync.apply_snapshot(
            statemessages.Snapshot(11, payload), 'store'
        )
        fleet.timeline.run(500.0)
        versions = {node.sync.policy.version for node in fleet.running()}
        assert versions == {7}
        # Counted at the sender and at the receiver; each node gets it once.
        sent = (sum(fleet.bytes.values()) - before) / 2
        assert sent < 1.5 * 195 * len(payload)

    @pytest.mark.parametrize('size', [48, 195, 384])
    def test_a_fleet_at_rest_costs_each_node_the_same(self, size):
        fleet = statefleet.Fleet(size)
        fleet.timeline.run(2_000.0)
        fleet.bytes.clear()
        fleet.messages.clear()
        fleet.timeline.run(10_000.0)
        assert max(fleet.bytes.values()) / 10 < _TARGET_BYTES_PER_S / 10
        assert max(fleet.messages.values()) / 10 < 20
        mean = sum(fleet.messages.values()) / size / 10
        assert mean < 6

    @pytest.mark.parametrize('size', [48, 195, 384])
    def test_a_change_costs_each_node_a_constant(self, size):
        fleet = statefleet.Fleet(size)
        fleet.timeline.run(2_000.0)
        fleet.bytes.clear()
        rounds = 20
        for i in range(rounds):
            fleet.nodes[i].serve()
            fleet.timeline.run(500.0)
        mean = sum(fleet.bytes.values()) / size / rounds
        assert mean < _TARGET_BYTES_PER_S / 4
        assert fleet.views() == 1

    def test_only_what_must_outlast_the_fleet_is_stored(self):
        fleet = statefleet.Fleet(3)
        node = fleet.nodes[0]
        node.sync.publish()
        for i in range(5):
            node.serve(f't{i}')
        assert len(node.store.writes) == 1
        node.member_list.update_own_row(
            is_serving=False, departed_id='t4', departed_born_ms=9
        )
        node.sync.publish()
        assert len(node.store.writes) == 2

    def test_a_newcomer_learns_all_and_is_known_to_all(self):
        fleet = statefleet.Fleet(48)
        fleet.timeline.run(1_000.0)
        newcomer = fleet.start('n9999', 'd2')
        newcomer.sync.publish()
        rows = [fleet.nodes[0].member_list.own_row]
        newcomer.sync.merge_rows(rows, 'store', is_spread=False)
        assert fleet.settle(8_000.0) < 5_000.0
        assert len(newcomer.member_list.node_ids) == 49

    def test_a_domain_that_was_cut_off_learns_what_it_missed(self):
        fleet = statefleet.Fleet(60)
        fleet.timeline.run(1_000.0)
        fleet.cut_domains.add('d1')
        fleet.timeline.run(1_000.0)
        fleet.nodes[0].serve()
        fleet.nodes[1].serve()
        fleet.nodes[2].sync.apply_snapshot(
            statemessages.Snapshot(5, b'3'), 'store'
        )
        fleet.timeline.run(6_000.0)
        assert fleet.nodes[6].sync.policy is None
        fleet.cut_domains.clear()
        assert fleet.settle(10_000.0) < 4_000.0
        fleet.timeline.run(1_500.0)
        assert {n.sync.policy.version for n in fleet.running()} == {3}

    def test_a_node_without_peers_follows_the_store(self):
        fleet = statefleet.Fleet(60)
        fleet.timeline.run(2_000.0)
        node = fleet.nodes[-1]
        assert not node.sync.is_following
        assert sum(n.sync.is_following for n in fleet.running()) == 15
        for other in fleet.nodes[:-1]:
            fleet.kill(other)
        fleet.timeline.run(4_000.0)
        assert node.sync.is_following

    @pytest.mark.parametrize('seed', range(12))
    def test_random_histories_end_in_one_view(self, seed):
        fleet = statefleet.Fleet(40, seed)
        rng = fleet.rng
        departed = []
        for step in range(60):
            nodes = fleet.running()
            node = rng.choice(nodes)
            match rng.choice(['serve', 'leave', 'restart', 'cut', 'heal']):
                case 'serve':
                    node.serve(f't{step}')
                case 'leave' if len(nodes) > 20:
                    node.sync.leave()
                    fleet.timeline.run(300.0)
                    fleet.kill(node)
                    departed.append(node.node_id)
                case 'restart':
                    fleet.kill(node)
                    fleet.timeline.run(rng.uniform(0.0, 800.0))
                    domain = node.member_list.own_row.domain
                    again = fleet.start(node.node_id, domain)
                    again.sync.publish()
                    again.sync.merge_rows(
                        [n.member_list.own_row for n in nodes if n != node],
                        'store',
                        is_spread=False,
                    )
                case 'cut':
                    fleet.cut_domains = {f'd{rng.randrange(5)}'}
                case 'heal':
                    fleet.cut_domains = set()
            fleet.timeline.run(rng.uniform(0.0, 700.0))
        fleet.cut_domains = set()
        fleet.settle(20_000.0)
        assert fleet.views() == 1
        running = sorted(node.node_id for node in fleet.running())
        for node in fleet.running():
            assert node.member_list.node_ids == running
        assert not set(departed) & set(running)


class TestStoreAge:
    _LIMIT_MS = 5_000.0

    def _age(self, seed=1):
        return storeage.store_age(random.Random(seed), 0.0)

    def test_an_older_reading_changes_nothing(self):
        age = self._age()
        assert age.reading_age_ms(9.0) is None
        age.note_reading(100.0)
        age.note_reading(50.0)
        assert age.age_ms(300.0) == 200.0

    def test_passing_the_bound_and_coming_back_are_told_once(self):
        age = self._age()
        age.note_reading(0.0)
        assert not age.check(5_000.0, self._LIMIT_MS)
        assert age.check(5_001.0, self._LIMIT_MS)
        assert not age.check(5_200.0, self._LIMIT_MS)
        age.note_reading(5_100.0)
        assert age.check(5_300.0, self._LIMIT_MS)
        assert not age.is_overdue

    def test_a_volunteer_whose_call_fails_waits_before_it_tries_again(self):
        tries = 0
        for seed in range(100):
            age = self._age(seed)
            for now_ms in range(0, 60_000, 125):
                age.check(now_ms, self._LIMIT_MS)
                if age.is_volunteering(now_ms):
                    tries += 1
                    age.note_failure(now_ms, self._LIMIT_MS)
        assert 100 * 60 / 15 <= tries <= 100 * 60 / 5

    def test_nodes_do_not_volunteer_at_once(self):
        nodes = [self._age(seed) for seed in range(200)]
        first = {}
        for now_ms in range(0, 16_000, 125):
            for number, age in enumerate(nodes):
                age.check(now_ms, self._LIMIT_MS)
                if age.is_volunteering(now_ms):
                    first.setdefault(number, now_ms)
        assert len(first) == 200
        for start_ms in range(5_000, 15_000, 500):
            at_once = [
                t for t in first.values() if start_ms <= t < start_ms + 500
            ]
            assert len(at_once) < 25


class TestNewsOfTheStore:
    def _follow(self, fleet, period_ms=5_000.0):
        """Let the nodes that follow the store read it; count the calls."""
        calls = []

        def start(node):
            def poll():
                if not node.is_running:
                    return
                now_ms = fleet.timeline.now_ms()
                if node.sync.is_following:
                    calls.append(node)
                    node.sync.following.age.note_reading(now_ms)
                    if fleet.stored.seen_at:
                        node.sync.apply_snapshot(fleet.stored, 'store')
                fleet.timeline.after(period_ms, poll)

            fleet.timeline.after(period_ms * fleet.rng.random(), poll)

        fleet.stored = statemessages.Snapshot()
        for node in fleet.nodes:
            start(node)
        return calls

    @pytest.mark.parametrize('size', [9, 14, 48, 195])
    def test_readings_of_followers_reach_all_nodes_in_time(self, size):
        fleet = statefleet.Fleet(size)
        self._follow(fleet)
        fleet.timeline.run(12_000.0)
        for _ in range(60):
            fleet.timeline.run(500.0)
            assert not any(
                node.sync.following.age.is_overdue for node in fleet.running()
            )

    @pytest.mark.parametrize('size', [9, 48, 195])
    def test_news_arrive_though_all_appointed_followers_are_wrong(self, size):
        # Each node took others for followers, and nobody read the store.
        fleet = statefleet.Fleet(size)
        calls = self._follow(fleet, 250.0)
        for node in fleet.nodes:
            node.member_list.__class__ = _NeverAppointed
        fleet.timeline.run(30_000.0)
        calls.clear()
        fleet.stored = statemessages.Snapshot(7, b'4')
        fleet.timeline.run(2_000.0)
        assert {node.sync.policy.version for node in fleet.running()} == {4}
        assert len({node.node_id for node in calls}) <= max(3, size / 4)


class _NeverAppointed(memberlist.MemberList):
    is_follower = False


class TestCompleteness:
    def test_only_a_node_that_knows_all_makes_another_one_know_all(self):
        fleet = statefleet.Fleet(0)
        one, other = fleet.start('n1', 'd1'), fleet.start('n2', 'd2')
        rows = [one.member_list.own_row, other.member_list.own_row]
        for node in (one, other):
            node.sync.merge_rows(rows, 'store', is_spread=False)
        fleet.timeline.run(4_000.0)
        assert fleet.views() == 1
        assert not one.member_list.is_complete
        one.sync.note_all_rows()
        fleet.timeline.run(3_000.0)
        assert other.member_list.is_complete


class TestAddressesUsedAgain:
    def _replace(self, fleet, number):
        """Lose a node for good; another one gets its address."""
        lost = fleet.nodes[number]
        fleet.kill(lost)
        fleet.timeline.run(2_200.0)
        rows = [node.member_list.row(lost.node_id) for node in fleet.running()]
        rows += [node.member_list.own_row for node in fleet.running()]
        added = fleet.start(
            f'n{number + 100:04d}',
            lost.member_list.own_row.domain,
            lost.address.host,
        )
        added.sync.publish()
        added.sync.merge_rows(rows, 'store', is_spread=False)
        fleet.timeline.run(1_000.0)
        return lost

    def test_a_lost_node_stays_unreachable_at_an_address_in_use(self):
        # The node there answered for it.
        fleet = statefleet.Fleet(15)
        fleet.timeline.run(1_000.0)
        lost = self._replace(fleet, 1)
        fleet.timeline.run(60_000.0)
        for node in fleet.running():
            peers = [peer.node_id for peer in node.member_list.peers()]
            assert lost.node_id not in peers

    def test_a_domain_has_followers_after_its_nodes_were_replaced(self):
        # The lost nodes counted as reachable, and nobody followed the store.
        fleet = statefleet.Fleet(15)
        fleet.timeline.run(1_000.0)
        for number in range(15):
            self._replace(fleet, number)
        fleet.timeline.run(6_000.0)
        for domain in {n.member_list.own_row.domain for n in fleet.nodes}:
            nodes = [
                node
                for node in fleet.running()
                if node.member_list.own_row.domain == domain
            ]
            assert all(node.sync.is_following for node in nodes)

    def test_the_row_of_a_lost_node_ends_when_its_address_is_used(self):
        # Such rows stayed in the list of each node for ever.
        fleet = statefleet.Fleet(15)
        fleet.timeline.run(1_000.0)
        fleet.nodes[1].serve()
        fleet.settle(1_000.0)
        lost = self._replace(fleet, 1)
        assert fleet.settle(3_000.0) < 3_000.0
        for node in fleet.running():
            assert not node.member_list.members_of('yard')
            assert lost.node_id not in node.member_list.node_ids

    def test_a_node_taken_for_lost_by_mistake_is_stored_again(self):
        fleet = statefleet.Fleet(3)
        node = fleet.nodes[0]
        node.sync.publish()
        gone = msgspec.structs.replace(node.member_list.own_row, is_gone=True)
        node.sync.merge_rows([gone], 'n0001')
        assert not node.member_list.own_row.is_gone
        assert len(node.store.writes) == 2


class TestRestarts:
    def test_a_withdrawn_key_is_not_in_use_again_after_a_restart(self):
        # The store turns the restarted node away, and the first node that it
        # hears from slept through the withdrawal.
        fleet = statefleet.Fleet(20)
        fleet.timeline.run(1_000.0)
        old = statemessages.Snapshot(5, b'1')
        for node in fleet.nodes:
            node.sync.apply_snapshot(old, 'store')
        stale = fleet.nodes[1]
        for node in fleet.nodes:
            if node is not stale:
                node.sync.apply_snapshot(
                    statemessages.Snapshot(9, b'2'), 'store'
                )
        restarted = fleet.nodes[2]
        fleet.kill(restarted)
        again = fleet.start(restarted.node_id, 'd2')
        versions = []
        again.sync.on_policy_changed = lambda: versions.append(
            again.sync.policy.version
        )
        again.sync.apply_snapshot(stale.sync.snapshot, stale.node_id)
        again.sync.merge_rows(
            [n.member_list.own_row for n in fleet.nodes],
            'store',
            is_spread=False,
        )
        fleet.timeline.run(2_000.0)
        assert versions == [1, 2]
        assert stale.sync.policy.version == 2
        assert not again.sync.apply_snapshot(old, stale.node_id)

    def test_a_target_that_left_is_not_offered_again_after_a_restart(self):
        fleet = statefleet.Fleet(20)
        fleet.timeline.run(1_000.0)
        node = fleet.nodes[3]
        node.serve('t9')
        fleet.settle(1_000.0)
        node.member_list.update_own_row(
            is_serving=False, departed_id='t9', departed_born_ms=4
        )
        node.sync.publish()
        fleet.settle(1_000.0)
        fleet.kill(node)
        again = fleet.start(node.node_id, 'd3')
        departed = []
        again.sync.on_previous_own_row = lambda row: departed.append(
            row.departed_id
        )
        # The store is away: it hears of its own earlier row from a peer.
        again.sync.merge_rows(
            [n.member_list.own_row for n in fleet.nodes[:3]],
            'store',
            is_spread=False,
        )
        again.sync.publish()
        fleet.timeline.run(3_000.0)
        assert 't9' in departed
        for other in fleet.running():
            assert not other.member_list.members_of('yard')

    def test_a_node_that_was_suspended_trusts_its_peers(self):
        # Replies to it lie unread; the time for them is up all the same.
        fleet = statefleet.Fleet(20)
        fleet.timeline.run(2_000.0)
        node = fleet.nodes[0]
        fleet.timeline._now_ms += 3_000.0
        fleet.timeline.run(2_000.0)
        assert not node.member_list.unreachable()

    def test_a_node_that_leaves_still_hears_of_new_targets(self):
        # It makes the calls of its target until the end.
        fleet = statefleet.Fleet(20)
        fleet.timeline.run(1_000.0)
        leaving, other = fleet.nodes[:2]
        leaving.sync.leave()
        fleet.timeline.run(50.0)
        other.serve()
        fleet.timeline.run(300.0)
        assert leaving.member_list.members_of('yard')
