"""Order of what comes from a store that was restored from a copy."""

import collections
import random

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from adapter import config
from parsleystile import ids
from parsleystile.relay import statemessages
from parsleystile.relay import statesync
from parsleystile.relay import storeera
from tests import statefleet

_SETTLED = statemessages.Phase.SETTLED
_SETTLING = statemessages.Phase.SETTLING
_UNKNOWN = statemessages.Phase.UNKNOWN
# A part of the store takes 200 transactions a second.
_PART_WRITES_PER_S = 200


def _snapshot(seen_at, payload, era=0, phase=_SETTLED):
    return statemessages.Snapshot(seen_at, payload, era, phase)


class TestEras:
    def test_the_first_era_is_no_restore(self):
        eras = storeera.store_eras()
        assert eras.note(4, 0.0) is storeera.Change.FIRST
        assert eras.note(4, 0.0) is storeera.Change.NONE
        assert eras.note(None, 0.0) is storeera.Change.NONE
        assert (eras.known, eras.first) == (4, 4)

    def test_a_store_that_names_no_era_at_first_is_in_era_zero(self):
        eras = storeera.store_eras()
        eras.note(None, 0.0)
        assert eras.phase(0.0) is _SETTLED
        assert eras.note(1, 0.0) is storeera.Change.RISEN
        assert eras.first == 0

    def test_an_answer_of_an_earlier_era_is_told_from_others(self):
        eras = storeera.store_eras()
        eras.note(2, 0.0)
        assert eras.note(1, 0.0) is storeera.Change.EARLIER
        assert eras.known == 2

    def test_each_restore_settles_anew(self):
        eras = storeera.store_eras()
        eras.note(1, 0.0)
        eras.note(2, 10_000.0)
        assert eras.phase(29_999.0) is _SETTLING
        eras.note(3, 29_999.0)
        assert eras.phase(49_000.0) is _SETTLING
        assert eras.phase(50_000.0) is _SETTLED

    def test_a_node_that_starts_takes_its_peers_word_for_the_phase(self):
        told = []
        for phase in (_UNKNOWN, _SETTLING, _SETTLED):
            eras = storeera.store_eras()
            eras.note(1, 0.0)
            assert eras.phase(0.0) is _UNKNOWN
            eras.note_peer(storeera.Place(1, phase, 7), 0.0)
            told.append((eras.phase(0.0), eras.phase(5_000.0)))
        assert told == [
            (_UNKNOWN, _SETTLED),
            (_SETTLING, _SETTLING),
            (_SETTLED, _SETTLED),
        ]

    def test_the_phase_of_an_earlier_era_says_nothing(self):
        eras = storeera.store_eras()
        eras.note(1, 0.0)
        eras.note(2, 0.0)
        eras.note_peer(storeera.Place(1, _SETTLED, 900), 0.0)
        assert eras.phase(0.0) is _SETTLING


class TestPlaces:
    def test_the_era_goes_before_the_phase_and_the_version(self):
        places = [
            storeera.Place(0, _SETTLED, 900),
            storeera.Place(1, _UNKNOWN, 50),
            storeera.Place(1, _SETTLING, 40),
            storeera.Place(1, _SETTLING, 41),
            storeera.Place(1, _SETTLED, 40),
            storeera.Place(2, _UNKNOWN, 1),
        ]
        assert places == sorted(places)

    def test_a_message_without_an_era_is_of_the_first_one(self):
        message = statemessages.SyncMessage(900)
        own = _snapshot(40, b'1', 2, _SETTLING)
        assert storeera.place(message, 1) < storeera.place(own)
        # Such a build compares versions, so a payload would be in vain.
        assert not storeera.needs_payload(own, message)

    def test_snapshots_of_one_place_that_differ_are_exchanged(self):
        own = _snapshot(40, b'1', 1)
        remote = statemessages.SyncMessage(40, payload_digest=5, era=1)
        assert storeera.needs_payload(own, remote)
        same = msgspec.structs.replace(
            remote, payload_digest=own.payload_digest
        )
        assert not storeera.needs_payload(own, same)


_states = st.builds(
    lambda version, domains, era, phase, seen_at: (
        version,
        _snapshot(
            seen_at, config.encode(b'%d' % version, domains), era, phase
        ),
    ),
    st.integers(1, 3),
    st.sets(st.sampled_from('ab')),
    st.integers(0, 2),
    st.sampled_from(statemessages.Phase),
    st.integers(1, 3),
)


def _joined(one, two):
    join = storeera.join(one[1], one[0], two[1], two[0])
    payload = config.combine(
        join.base.payload,
        join.other.payload,
        join.takes_document,
        join.keeps_domains,
    )
    joined = msgspec.structs.replace(join.base, payload=payload)
    return int(config.document_of(payload)), joined


class TestJoin:
    @hypothesis.given(_states, _states)
    def test_the_order_of_two_makes_no_difference(self, one, two):
        assert _joined(one, two) == _joined(two, one)

    @hypothesis.given(_states, _states)
    def test_nothing_that_was_accepted_goes_back(self, one, two):
        version, joined = _joined(one, two)
        assert version == max(one[0], two[0])
        assert storeera.place(joined) == max(
            storeera.place(one[1]), storeera.place(two[1])
        )
        if joined.phase is not _SETTLED:
            out = msgspec.msgpack.decode(
                joined.payload, type=config.Payload
            ).domains_out
            for _, snapshot in (one, two):
                held = msgspec.msgpack.decode(
                    snapshot.payload, type=config.Payload
                ).domains_out
                assert {*held} <= {*out}

    @hypothesis.given(_states, _states)
    def test_a_second_exchange_changes_nothing(self, one, two):
        joined = _joined(one, two)
        assert _joined(joined, two) == joined
        assert _joined(joined, one) == joined


class _Restored:
    """A fleet whose nodes check their rows when the era rises."""

    def __init__(self, size):
        self.fleet = statefleet.Fleet(size)
        self.checks = collections.Counter()
        for node in self.fleet.nodes:
            node.sync.on_era_risen = lambda: self._check_later(size)
        self.fleet.timeline.run(2_000.0)

    def _check_later(self, size):
        timeline = self.fleet.timeline
        wait_ms = self.fleet.rng.uniform(0.0, storeera.spread_ms(size))

        def check():
            self.checks[int(timeline.now_ms() / 1e3)] += 1

        timeline.after(wait_ms, check)

    def put(self, snapshot, *nodes):
        """Let some nodes read a snapshot from the store."""
        for i in nodes:
            self.fleet.nodes[i].sync.note_era(snapshot.era)
            self.fleet.nodes[i].sync.apply_snapshot(snapshot, 'store')

    def versions(self, at=None):
        """Return the versions of the policies in force."""
        nodes = self.fleet.nodes if at is None else at
        return {n.sync.policy and n.sync.policy.version for n in nodes}


class TestFleet:
    @pytest.mark.parametrize('size', [9, 65, 195])
    def test_a_change_after_a_restore_reaches_all_nodes(self, size):
        restored = _Restored(size)
        restored.put(_snapshot(900, b'5'), 0, 1, 2)
        restored.fleet.timeline.run(2_000.0)
        assert restored.versions() == {5}
        # The copy has an earlier document.
        restored.put(_snapshot(40, b'4', 1, _SETTLING), 0, 1)
        restored.fleet.timeline.run(1_000.0)
        assert restored.versions() == {5}
        restored.put(_snapshot(41, b'6', 1, _SETTLING), 3)
        restored.fleet.timeline.run(1_000.0)
        assert restored.versions() == {6}

    @pytest.mark.parametrize('size', [65, 384])
    def test_the_checks_of_own_rows_stay_far_below_the_stores_rate(self, size):
        restored = _Restored(size)
        restored.put(_snapshot(900, b'5'), 0)
        restored.fleet.timeline.run(2_000.0)
        restored.put(_snapshot(40, b'5', 1, _SETTLING), 0, 1)
        restored.fleet.timeline.run(30_000.0)
        assert sum(restored.checks.values()) == size
        assert max(restored.checks.values()) < _PART_WRITES_PER_S / 2

    def test_the_spread_suits_the_largest_fleet(self):
        rng = random.Random(1)
        spread_ms = storeera.spread_ms(6_200)
        seconds = collections.Counter(
            int(rng.uniform(0.0, spread_ms) / 1e3) for _ in range(6_200)
        )
        assert max(seconds.values()) < _PART_WRITES_PER_S / 2

    def test_a_domain_that_was_cut_off_during_the_restore_catches_up(self):
        restored = _Restored(65)
        fleet = restored.fleet
        restored.put(_snapshot(900, b'5'), 0, 1)
        fleet.timeline.run(2_000.0)
        fleet.cut_domains.add('d1')
        # Only the domain that is cut off reads it; the store loses it.
        restored.put(_snapshot(905, b'6'), 1)
        fleet.timeline.run(1_000.0)
        restored.put(_snapshot(40, b'5', 1, _SETTLING), 0, 2)
        fleet.timeline.run(3_000.0)
        cut_off = [
            n for n in fleet.nodes if n.member_list.own_row.domain == 'd1'
        ]
        assert restored.versions(cut_off) == {6}
        fleet.cut_domains.clear()
        fleet.timeline.run(8_000.0)
        assert restored.versions() == {6}
        assert {n.sync.snapshot.era for n in fleet.nodes} == {1}
        restored.put(_snapshot(42, b'7', 1, _SETTLING), 1)
        fleet.timeline.run(1_000.0)
        assert restored.versions() == {7}

    def test_a_build_without_eras_does_not_bring_old_versions_back(self):
        restored = _Restored(9)
        restored.put(_snapshot(900, b'5'), 0)
        restored.fleet.timeline.run(2_000.0)
        restored.put(_snapshot(40, b'5', 1, _SETTLING), 0)
        restored.fleet.timeline.run(3_000.0)
        node = restored.fleet.nodes[2]
        old = statemessages.SyncMessage(950, ids.NodeId('n0001'), payload=b'4')
        replies = []
        node.links.handlers[statesync.SYNC_KIND](
            msgspec.msgpack.encode(old), replies.append
        )
        assert storeera.place(node.sync.snapshot) == (1, _SETTLING, 40)
        restored.put(_snapshot(41, b'6', 1, _SETTLING), 0)
        restored.fleet.timeline.run(1_000.0)
        assert restored.versions() == {6}

    def test_a_reading_of_an_earlier_era_does_not_look_fresh(self):
        restored = _Restored(9)
        restored.put(_snapshot(900, b'5'), 0)
        restored.fleet.timeline.run(2_000.0)
        node = restored.fleet.nodes[2]
        newer = statemessages.SyncMessage(
            40, ids.NodeId('n0001'), era=1, store_age_ms=0
        )
        node.sync._note_reading_of(newer, restored.fleet.timeline.now_ms())
        assert node.sync.following.age.reading_age_ms(0.0) is None

    def test_a_snapshot_of_a_later_era_is_asked_of_one_peer_only(self):
        restored = _Restored(9)
        restored.put(_snapshot(900, b'5'), 0)
        restored.fleet.timeline.run(2_000.0)
        node = restored.fleet.nodes[2]
        news = _snapshot(40, b'6', 1, _SETTLING)
        replies = []
        for sender in ('n0003', 'n0004'):
            message = statemessages.SyncMessage(
                40,
                ids.NodeId(sender),
                news.payload_digest,
                era=1,
                phase=_SETTLING,
            )
            node.links.handlers[statesync.SYNC_KIND](
                msgspec.msgpack.encode(message), replies.append
            )
        answers = [
            msgspec.msgpack.decode(reply, type=statemessages.SyncMessage)
            for reply in replies
        ]
        needs = [storeera.needs_payload(news, answer) for answer in answers]
        assert needs == [True, False]
