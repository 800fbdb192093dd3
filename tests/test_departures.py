"""Departures of targets: facts that no restart and no order loses."""

import asyncio
import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from adapter import process
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile.relay import departures
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import rowkeeping
from parsleystile.relay import targetreports
from tests import asyncutil
from tests import platformfleet
from tests import statefleet

READY = targetreports.TargetState.READY
DRAINING = targetreports.TargetState.DRAINING
GONE = targetreports.TargetState.GONE
STALE = targetreports.Effect.STALE

_DEPARTURES = st.lists(
    st.builds(
        departures.Departure,
        st.sampled_from([f'i-{i}' for i in range(12)]),
        st.integers(0, 20),
    ),
    max_size=12,
)


def _departed(*names, born_ms=5):
    return tuple(departures.Departure(name, born_ms) for name in names)


class TestJoin:
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(_DEPARTURES, st.randoms(use_true_random=False))
    def test_order_grouping_and_repetition_change_nothing(self, facts, rng):
        def join_all(parts):
            joined = ()
            for part in parts:
                joined = departures.join(joined, part)
            return joined

        expected = join_all((fact,) for fact in facts)
        shuffled = facts + rng.choices(facts, k=len(facts)) if facts else []
        rng.shuffle(shuffled)
        middle = rng.randint(0, len(shuffled))
        left = join_all((fact,) for fact in shuffled[:middle])
        right = join_all((fact,) for fact in shuffled[middle:])
        assert departures.join(left, right) == expected
        assert departures.join(right, left) == expected

    def test_the_targets_that_started_last_are_kept(self):
        joined = ()
        for born_ms in range(2 * departures.MAX_KEPT):
            fact = departures.Departure(f'i-{born_ms}', born_ms)
            joined = departures.join((fact,), joined)
        assert [fact.born_ms for fact in joined] == list(
            range(departures.MAX_KEPT, 2 * departures.MAX_KEPT)
        )

    def test_a_later_incarnation_under_the_same_id_has_not_left(self):
        facts = _departed('i-1', born_ms=5)
        assert departures.includes(facts, 'i-1', 4)
        assert departures.includes(facts, 'i-1', 5)
        assert not departures.includes(facts, 'i-1', 6)
        assert not departures.includes(facts, 'i-2', 4)


def _history(rng):
    """Return rows that a node wrote in its life, and what has left it."""
    rows, left = [], ()
    for incarnation in range(1, 4):
        # A node that was killed has forgotten what had left.
        known = ()
        for sequence in range(4):
            target_id = f'i-{rng.randrange(5)}'
            if rng.random() < 0.4:
                known = departures.join(known, _departed(target_id))
                left = departures.join(left, known)
            rows.append(
                statefleet.row(
                    incarnation=incarnation,
                    sequence=sequence,
                    target_id=target_id,
                    target_born_ms=rng.choice([4, 6]),
                    service='yard',
                    slots=1,
                    is_serving=rng.random() < 0.7,
                    departures=known,
                )
            )
    return rows, left


@pytest.mark.parametrize('seed', range(30))
def test_no_order_of_rows_forgets_a_departure(seed):
    rng = random.Random(seed)
    rows, left = _history(rng)
    digests = set()
    for _ in range(10):
        heard = rows + rng.choices(rows, k=5)
        rng.shuffle(heard)
        members = memberlist.member_list(statefleet.row('a'))
        other = memberlist.member_list(statefleet.row('a'))
        for row in heard:
            rng.choice([members, other]).merge(row)
        # Rows that were joined on the way are passed on as well.
        if other.row('b') is not None:
            members.merge(other.row('b'))
        merged = members.row('b')
        assert merged.departures == left
        assert merged.revision == rows[-1].revision
        assert bool(members.members_of('yard')) == (
            merged.is_serving
            and not departures.includes(
                left, merged.target_id, merged.target_born_ms
            )
        )
        digests.add(members.digest)
    assert len(digests) == 1


def test_a_row_of_a_build_that_names_one_departure_tells_it():
    data = msgspec.to_builtins(statefleet.row())
    data |= {'departed_id': 'i-1', 'departed_born_ms': 5}
    row = memberrow.decode_row(msgspec.msgpack.encode(data))
    assert row.departures == _departed('i-1')


def test_a_row_names_its_last_departure_for_builds_that_know_only_one():
    members = memberlist.member_list(statefleet.row('a'))
    members.add_departures(_departed('i-1', born_ms=5))
    members.add_departures(_departed('i-0', born_ms=4))
    assert members.own_row.departed_id == 'i-1'
    assert members.own_row.departed_born_ms == 5


def test_a_target_of_a_build_that_tells_no_start_time_is_served():
    members = memberlist.member_list(statefleet.row('a'))
    members.merge(
        statefleet.row(
            service='yard',
            slots=1,
            target_id='i-1',
            is_serving=True,
            departures=_departed('i-1'),
        )
    )
    assert members.members_of('yard')


class TestReplication:
    """A node leaves its memory behind while the store is away."""

    def _fleet(self, size=20):
        fleet = statefleet.Fleet(size)
        fleet.timeline.run(1_000.0)
        return fleet

    def _depart(self, fleet, node, *names):
        node.member_list.update_own_row(is_serving=False)
        node.member_list.add_departures(_departed(*names))
        node.sync.publish()
        fleet.timeline.run(300.0)

    def _restart(self, fleet, node):
        """Start a node that reads the rows of before the outage."""
        fleet.kill(node)
        again = fleet.start(node.node_id, node.member_list.own_row.domain)
        again.sync.publish()
        return again

    @pytest.mark.parametrize('ends', ['killed', 'stopped', 'killed-twice'])
    def test_a_departure_survives_its_node_though_the_store_tells_first(
        self, ends
    ):
        fleet = self._fleet()
        stored = [node.member_list.own_row for node in fleet.nodes]
        node = fleet.nodes[3]
        self._depart(fleet, node, 'i-1')
        if ends == 'stopped':
            node.sync.leave()
            fleet.timeline.run(300.0)
        again = self._restart(fleet, node)
        if ends == 'killed-twice':
            fleet.timeline.run(1.0)
            again = self._restart(fleet, again)
        heard = []
        again.sync.on_departures_heard = lambda: heard.append(
            again.member_list.own_row.departures
        )
        # Faster than the message of the node itself.
        for other in fleet.running():
            if other is not again:
                row = again.member_list.own_row
                other.sync.merge_rows([row], 'store', is_spread=False)
        again.sync.merge_rows(stored, 'store', is_spread=False)
        fleet.timeline.run(500.0)
        assert heard == [_departed('i-1')]
        assert fleet.settle(5_000.0) < 5_000.0
        for other in fleet.running():
            row = other.member_list.row(node.node_id)
            assert row.departures == _departed('i-1')

    def test_two_departures_of_one_outage_are_both_kept(self):
        fleet = self._fleet()
        node = fleet.nodes[3]
        self._depart(fleet, node, 'i-1')
        self._depart(fleet, node, 'i-2')
        again = self._restart(fleet, node)
        rows = [other.member_list.own_row for other in fleet.nodes]
        again.sync.merge_rows(rows[:3], 'store', is_spread=False)
        fleet.settle(5_000.0)
        assert again.member_list.own_row.departures == _departed('i-1', 'i-2')
        assert again.store.writes[-1].departures == _departed('i-1', 'i-2')

    def test_a_departure_that_one_node_knows_reaches_its_author(self):
        fleet = self._fleet(60)
        author, witness = fleet.nodes[3], fleet.nodes[41]
        row = author.member_list.own_row
        fact = msgspec.structs.replace(row, departures=_departed('i-1'))
        witness.sync.merge_rows([fact], 'n', is_spread=False)
        fleet.settle(10_000.0)
        assert author.member_list.own_row.departures == _departed('i-1')

    def test_few_nodes_tell_a_restarted_one_what_it_has_forgotten(self):
        fleet = self._fleet(384)
        node = fleet.nodes[3]
        self._depart(fleet, node, 'i-1')
        fleet.settle(2_000.0)
        told = []
        again = self._restart(fleet, node)
        receive = again.links.handlers['state.row']

        def count(payload, reply):
            told.append(payload)
            receive(payload, reply)

        again.links.handlers['state.row'] = count
        rows = [other.member_list.own_row for other in fleet.nodes]
        again.sync.merge_rows(rows, 'store', is_spread=False)
        again.sync.publish()
        fleet.timeline.run(1_000.0)
        assert again.member_list.own_row.departures == _departed('i-1')
        assert len(told) < 40

    def test_the_departures_of_a_lost_node_are_known_at_its_address(self):
        fleet = self._fleet(5)
        lost = fleet.nodes[3]
        self._depart(fleet, lost, 'i-1')
        fleet.kill(lost)
        successor = fleet.start('n9', 'd3', host=lost.node_id)
        successor.sync.publish()
        heard = []
        successor.sync.on_departures_heard = lambda: heard.append(True)
        rows = [other.member_list.own_row for other in fleet.nodes]
        successor.sync.merge_rows(rows, 'store', is_spread=False)
        fleet.timeline.run(1_000.0)
        assert heard == [True]
        assert successor.member_list.own_row.departures == _departed('i-1')


class TestRowKeeping:
    def _keeping(self):
        clock = clocks.manual_clock()
        wheel = deadlines.DeadlineWheel()

        def run(duration_ms):
            clock.advance(duration_ms)
            wheel.expire(clock.now_ms())

        keeping = rowkeeping.row_keeping(clock, wheel)
        row = statefleet.row(
            incarnation=1, sequence=2, departures=_departed('i-1')
        )
        assert keeping.note_own(row)
        return keeping, run

    def test_the_store_confirms_at_once(self):
        keeping, _ = self._keeping()
        kept = []
        keeping.note_stored((1, 2))
        keeping.when_kept(kept.append)
        assert kept == [True]
        later = statefleet.row(
            incarnation=1, sequence=4, departures=_departed('i-1', 'i-2')
        )
        keeping.note_own(later)
        keeping.when_kept(kept.append)
        keeping.note_stored((1, 3))
        assert kept == [True]
        keeping.note_stored((2, 0))
        assert kept == [True, True]

    def test_a_change_without_a_departure_needs_no_other_place(self):
        keeping, _ = self._keeping()
        keeping.note_stored((1, 2))
        row = statefleet.row(
            incarnation=1, sequence=9, departures=_departed('i-1')
        )
        assert not keeping.note_own(row)
        assert keeping.is_kept

    def test_another_node_is_enough_only_if_the_store_is_silent(self):
        keeping, run = self._keeping()
        kept = []
        keeping.note_told((1, 2))
        keeping.when_kept(kept.append)
        assert kept == []
        run(rowkeeping.STORE_WAIT_MS + 10.0)
        assert kept == [True]

    @pytest.mark.parametrize('told', [(), ((1, 1),)])
    def test_what_no_other_place_has_is_not_confirmed(self, told):
        keeping, run = self._keeping()
        kept = []
        keeping.when_kept(kept.append)
        for revision in told:
            keeping.note_told(revision)
        run(rowkeeping.STORE_WAIT_MS + 10.0)
        assert kept == []
        run(rowkeeping.KEEP_TIMEOUT_MS)
        assert kept == [False]
        keeping.note_stored((1, 2))
        assert kept == [False]


async def _kept(machine):
    done = asyncio.get_running_loop().create_future()
    machine.node.state_sync.keeping.when_kept(done.set_result)
    return await done


@pytest.mark.parametrize('state', [DRAINING, GONE])
@pytest.mark.parametrize('ends', ['killed', 'stopped'])
def test_a_departure_acknowledged_in_an_outage_outlasts_its_node(state, ends):
    async def body(fleet):
        first, second = fleet.machines
        fleet.store.refusal_status = 503
        second.report(state)
        assert await _kept(second)
        if ends == 'stopped':
            second.node.state_sync.leave()
            await asyncio.sleep(0.1)
        await second.kill_node()
        fleet.store.refusal_status = 0
        await second.start_node()
        await fleet.wait_settled()
        # The late report may come before the other node was heard.
        second.report(READY)
        tracker = second.node._reports
        await asyncutil.wait_until(lambda: tracker.current is None)
        assert second.report(READY) is STALE
        second.target.arrived_ms.clear()
        for machine in fleet.machines:
            for i in range(5):
                await machine.call(call_id=f'{machine.name}-{i}', wait_ms=300)
        assert not second.target.arrived_ms
        # A new incarnation under the same id is another target.
        assert second.report(READY, started_ms=2) is not STALE
        await fleet.wait_serving(1)
        assert (await first.call(call_id='next')).status == 200

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_departure_without_a_start_time_is_stored_with_that_of_its_target():
    async def body(fleet):
        _, second = fleet.machines
        second.report(GONE, started_ms=0)
        facts = second.node.member_list.own_row.departures
        assert facts == (departures.Departure('i-n1', 1),)

    platformfleet.run_with_fleet(body, serving=[1])


def test_the_departure_of_a_target_that_never_reported_here_is_stored():
    async def body(fleet):
        _, second = fleet.machines
        await second.kill_node()
        await second.start_node()
        assert second.report(GONE, started_ms=5) is STALE
        await asyncutil.wait_until(
            lambda: b'i-n1' in (fleet.store.value('nodes', 'n1') or b'')
        )

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_departure_that_only_this_node_knows_is_not_acknowledged():
    async def body(fleet):
        first, second = fleet.machines
        await first.kill_node()
        fleet.store.refusal_status = 503
        second.report(DRAINING)
        assert not await _kept(second)
        fleet.store.refusal_status = 0
        await asyncutil.wait_until(lambda: second.store_client.is_row_written)
        assert await _kept(second)
        await first.start_node()

    platformfleet.run_with_fleet(body, serving=[1])


def test_rows_without_a_departure_are_kept_without_waiting():
    async def body(fleet):
        fleet.store.refusal_status = 503
        done = []
        fleet.machines[0].node.state_sync.keeping.when_kept(done.append)
        assert done == [True]

    platformfleet.run_with_fleet(body, count=1)


@pytest.mark.parametrize('is_stored', [False, True])
def test_a_stop_leaves_time_to_store_a_departure(is_stored):
    async def body(fleet):
        (machine,) = fleet.machines
        fleet.store.refusal_status = 503
        machine.report(GONE)
        handed_over = asyncio.ensure_future(
            process.hand_over_departures(machine.node.state_sync.keeping)
        )
        await asyncio.sleep(0.1)
        if is_stored:
            fleet.store.refusal_status = 0
        assert await handed_over is is_stored

    platformfleet.run_with_fleet(body, count=1)


def test_a_leaving_target_without_a_name_changes_nothing():
    # A sender's notice of another target may name none.
    async def body(fleet):
        machine = fleet.machines[0]
        machine.node.guard.notices.on_leaving('', 0)
        assert machine.node.member_list.own_row.departures == ()
        assert machine.node.guard.target is not None

    platformfleet.run_with_fleet(body, count=1)


def test_names_of_departures_are_bounded():
    row = statefleet.row(departures=_departed('x' * 300))
    assert memberrow.decode_row(memberrow.encode_row(row)) is None


def test_all_departures_of_a_vm_fit_the_target_size():
    # 6,200 nodes whose rows change once a minute, passed on by each node.
    facts = tuple(
        departures.Departure(f'i-{i:08x}', 1_796_616_000_000 + i)
        for i in range(departures.MAX_KEPT)
    )
    plain = len(memberrow.encode_row(statefleet.row()))
    extra = len(memberrow.encode_row(statefleet.row(departures=facts))) - plain
    assert extra * 6_200 / 60 < 26_000
