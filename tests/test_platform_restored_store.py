"""A small fleet whose store comes back from a copy some seconds old."""

import asyncio
import json

import msgspec

from parsleystile.relay import memberrow
from parsleystile.relay import statemessages
from parsleystile.relay import storeera
from parsleystile.relay import targetreports
from tests import asyncutil
from tests import platformfleet

_OTHER_KEY = 'a-key-that-is-withdrawn'


def _document(version, keys=(platformfleet.KEY,)):
    document = platformfleet.document(version=version)
    document['tenants'][0]['api_keys'] = list(keys)
    return document


def _versions(fleet):
    policies = [m.node.state_sync.policy for m in fleet.machines]
    return {policy and policy.version for policy in policies}


async def _wait_versions(fleet, version):
    await asyncutil.wait_until(lambda: _versions(fleet) == {version})


def _is_out(fleet, domain):
    return [
        domain in m.node.state_sync.policy.domains_out for m in fleet.machines
    ]


def _eras(fleet):
    return {m.node.state_sync.snapshot.era for m in fleet.machines}


def _run(body, count=2):
    platformfleet.run_with_fleet(body, count=count, era=1)


def _write_far(fleet):
    """Raise the version as the writes do that the copy lacks."""
    for i in range(40):
        fleet.store.put('other', f'r{i}', b'')


def test_a_configuration_after_a_restore_is_in_force_at_all_nodes():
    # No change was taken up any more: the versions were lower than before.
    async def body(fleet):
        fleet.store.copy()
        _write_far(fleet)
        fleet.put_document(_document(2))
        await _wait_versions(fleet, 2)
        fleet.store.restore()
        fleet.put_document(_document(2))
        fleet.put_document(_document(3))
        await _wait_versions(fleet, 3)
        assert _eras(fleet) == {2}

    _run(body, count=4)


def test_a_node_without_the_store_learns_of_the_restore_from_its_peers():
    async def body(fleet):
        cut_off = fleet.machines[1]
        fleet.store.copy()
        _write_far(fleet)
        fleet.put_document(_document(2))
        await _wait_versions(fleet, 2)
        cut_off.store_client.close()
        fleet.store.restore()
        fleet.put_document(_document(3))
        await _wait_versions(fleet, 3)
        assert cut_off.node.state_sync.eras.known == 2

    _run(body)


def test_a_withdrawn_key_stays_withdrawn_also_at_a_node_that_starts():
    async def body(fleet):
        first, second = fleet.machines
        fleet.put_document(_document(2, (platformfleet.KEY, _OTHER_KEY)))
        await _wait_versions(fleet, 2)
        fleet.store.copy()
        fleet.put_document(_document(3))
        await _wait_versions(fleet, 3)
        await second.kill_node()
        fleet.store.restore()
        await asyncutil.wait_until(
            lambda: first.node.state_sync.snapshot.era == 2
        )
        assert first.node.state_sync.policy.version == 3
        assert (await first.call(key=_OTHER_KEY)).status == 401
        await second.start_node()
        accepted = []
        second.node.state_sync.on_policy_changed = lambda: accepted.append(
            second.node.state_sync.policy.version
        )
        await _wait_versions(fleet, 3)
        assert accepted == [3]
        for machine in fleet.machines:
            assert (await machine.call(key=_OTHER_KEY)).status == 401
        # The store still has the document with the key.
        assert json.loads(fleet.store.value('op', 'config')) == _document(
            2, (platformfleet.KEY, _OTHER_KEY)
        )

    _run(body)


def test_an_evacuation_that_the_copy_lacks_holds_until_it_is_written_again():
    async def body(fleet):
        fleet.store.copy()
        fleet.store.put('op', 'evacuate/b', b'{}')
        await asyncutil.wait_until(lambda: all(_is_out(fleet, 'b')))
        fleet.store.restore()
        await asyncutil.wait_until(lambda: _eras(fleet) == {2})
        fleet.put_document(_document(4))
        await _wait_versions(fleet, 4)
        assert all(_is_out(fleet, 'b'))
        fleet.store.put('op', 'evacuate/b', b'{}')
        for machine in fleet.machines:
            machine.node.state_sync.eras._settles_at_ms = 0.0
        await asyncutil.wait_until(
            lambda: all(
                m.node.state_sync.snapshot.phase is statemessages.Phase.SETTLED
                for m in fleet.machines
            )
        )
        assert all(_is_out(fleet, 'b'))
        fleet.store.remove('op', 'evacuate/b')
        await asyncutil.wait_until(lambda: not any(_is_out(fleet, 'b')))

    _run(body)


def test_an_evacuation_that_was_withdrawn_ends_when_the_store_has_settled():
    async def body(fleet):
        fleet.store.copy()
        fleet.store.put('op', 'evacuate/b', b'{}')
        await asyncutil.wait_until(lambda: all(_is_out(fleet, 'b')))
        fleet.store.restore()
        await asyncutil.wait_until(lambda: _eras(fleet) == {2})
        assert all(_is_out(fleet, 'b'))
        fleet.machines[0].node.state_sync.eras._settles_at_ms = 0.0
        await asyncutil.wait_until(lambda: not any(_is_out(fleet, 'b')))

    _run(body)


def test_an_evacuation_that_the_copy_brings_back_is_not_in_force_again():
    async def body(fleet):
        fleet.store.put('op', 'evacuate/b', b'{}')
        await asyncutil.wait_until(lambda: all(_is_out(fleet, 'b')))
        # Both nodes follow the store and see the removal.
        await asyncutil.wait_until(
            lambda: fleet.store.request_paths.count('/v1/rows-feed') >= 4
        )
        fleet.store.copy()
        fleet.store.remove('op', 'evacuate/b')
        await asyncutil.wait_until(lambda: not any(_is_out(fleet, 'b')))
        seen = []
        for machine in fleet.machines:
            machine.node.state_sync.on_policy_changed = lambda: seen.extend(
                _is_out(fleet, 'b')
            )
        fleet.store.restore()
        fleet.put_document(_document(4))
        await _wait_versions(fleet, 4)
        assert _eras(fleet) == {2}
        assert not any(seen)
        # A later one is in force at once.
        fleet.store.put('op', 'evacuate/b', b'{}')
        await asyncutil.wait_until(lambda: all(_is_out(fleet, 'b')))

    _run(body)


def test_own_rows_that_the_copy_lacks_are_written_again():
    async def body(fleet):
        fleet.store.copy()
        second = fleet.machines[1]
        second.report(started_ms=5)
        second.report(targetreports.TargetState.DRAINING, started_ms=5)
        await asyncutil.wait_until(
            lambda: b'i-n1' in (fleet.store.value('nodes', 'n1') or b'')
        )
        fleet.store.change_copy('nodes', 'n0', None)
        # An older row, without the departure.
        row = msgspec.structs.replace(
            second.node.member_list.own_row,
            departures=(),
            departed_id='',
            sequence=0,
        )
        older = memberrow.encode_row(row)
        fleet.store.change_copy('nodes', 'n1', older)
        fleet.store.restore()
        await asyncutil.wait_until(
            lambda: b'i-n1' in (fleet.store.value('nodes', 'n1') or b'')
        )
        await asyncutil.wait_until(
            lambda: fleet.store.value('nodes', 'n0') is not None
        )

    _run(body)


def test_nodes_are_not_gone_because_the_copy_lacks_them():
    async def body(fleet):
        fleet.store.copy()
        for machine in fleet.machines:
            fleet.store.change_copy('nodes', machine.name, None)
        gone = []
        for machine in fleet.machines:
            members = machine.node.member_list
            members.gone_row = lambda *args: gone.append(args)
        # Their own rows are not written again, so that they stay absent.
        for machine in fleet.machines:
            machine.store_client._write_again = lambda stored: None
        fleet.store.restore()
        await asyncutil.wait_until(
            lambda: all(m.store_client._nodes_era == 2 for m in fleet.machines)
        )
        for machine in fleet.machines:
            assert len(machine.node.member_list.node_ids) == 2
        assert not gone

    _run(body)


def test_a_late_answer_of_an_earlier_era_changes_nothing():
    async def body(fleet):
        first = fleet.machines[0]
        fleet.store.copy()
        fleet.store.restore()
        await asyncutil.wait_until(lambda: _eras(fleet) == {2})
        fleet.store.era = 1
        fleet.put_document(_document(9))
        calls = len(fleet.store.request_paths)
        await asyncutil.wait_until(
            lambda: len(fleet.store.request_paths) > calls + 4
        )
        assert _versions(fleet) == {1}
        fleet.store.era = 2
        await _wait_versions(fleet, 9)
        assert first.store_client.is_reachable

    _run(body)


def test_a_version_that_is_given_out_again_is_another_change():
    # The feed went on from a version that had another content before.
    async def body(fleet):
        fleet.store.copy()
        fleet.put_document(_document(2))
        at = fleet.store.version
        await _wait_versions(fleet, 2)
        fleet.store.restore()
        fleet.store.put('op', 'evacuate/b', b'{}')
        while fleet.store.version < at:
            fleet.store.put('other', 'r', b'')
        await asyncutil.wait_until(lambda: all(_is_out(fleet, 'b')))
        assert _versions(fleet) == {2}

    _run(body)


def test_an_era_that_is_no_number_is_none():
    async def body(fleet):
        fleet.store.era = 'x' * 100
        fleet.put_document(_document(2))
        await _wait_versions(fleet, 2)
        assert {m.node.state_sync.eras.known for m in fleet.machines} <= {0, 1}

    _run(body)


def test_a_node_that_starts_on_a_copy_does_not_take_its_rows_for_all():
    # It would use a larger part of each rate than is its own.
    async def body(fleet):
        state_sync = fleet.machines[0].node.state_sync
        state_sync.eras = storeera.store_eras()
        members = state_sync._member_list
        members.is_complete = False
        state_sync.eras.note(1, state_sync._clock.now_ms())
        state_sync.note_all_rows()
        assert not members.is_complete
        await asyncio.sleep(0)
        state_sync.eras._settles_at_ms = 0.0
        await asyncutil.wait_until(lambda: members.is_complete)

    _run(body, count=1)
