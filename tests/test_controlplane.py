import asyncio

import pytest

from parsleystile import changes
from parsleystile import configservice
from parsleystile import configstore
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import keys
from stubs import controlfleet
from stubs import tablestate

SIZES = {'a': 3, 'b': 3, 'c': 3}
BOUND_MS = 3000
ACCEPTED = configservice.ChangeOutcome.ACCEPTED
REFUSED = configservice.ChangeOutcome.REFUSED
UNKNOWN = configservice.ChangeOutcome.UNKNOWN
LIMITS = fleetconfig.Organisation(rate_per_s=5, burst=10)


def _run(body, sizes=SIZES, seed=1):
    async def main():
        fleet = await controlfleet.fleet(sizes, seed)
        try:
            await body(fleet)
        finally:
            fleet.close()

    asyncio.run(main())


def _request(change_id, change, based_on=None):
    return configstore.ChangeRequest(
        change_id=change_id, operator='olli', change=change, based_on=based_on
    )


def _create(name):
    return changes.CreateOrganisation(organisation=name, limits=LIMITS)


async def _submit(fleet, node_id, change_id, change, based_on=None):
    plane = fleet.nodes[node_id].plane
    return await plane.submit(_request(change_id, change, based_on))


async def _issue(fleet, node_id='a-0'):
    key = keys.new_key()
    await _submit(fleet, node_id, 'create', _create('lavapuu'))
    issue = changes.IssueKey(
        organisation='lavapuu', digest=keys.fingerprint(key)
    )
    issued = await _submit(fleet, node_id, 'issue', issue)
    assert issued.outcome is ACCEPTED
    await fleet.run(BOUND_MS)
    assert _nodes_accepting(fleet, key) == set(fleet.nodes)
    return key


def _nodes_accepting(fleet, key):
    return {
        name
        for name, node in fleet.nodes.items()
        if node.key_ring.authenticate(key) is not None
    }


def _versions(fleet):
    return {node.config.version for node in fleet.nodes.values()}


def test_nodes_join_and_apply_accepted_changes():
    async def body(fleet):
        for node in fleet.nodes.values():
            assert len(node.machine.live_members()) == 9
        result = await _submit(fleet, 'a-0', 'c1', _create('lavapuu'))
        assert (result.outcome, result.version) == (ACCEPTED, 1)
        await fleet.run(BOUND_MS)
        assert _versions(fleet) == {1}
        rollout = fleet.nodes['c-2'].plane.in_force(1)
        await fleet.run(200)
        rollout = fleet.nodes['c-2'].plane.in_force(1)
        assert [(d.in_force, d.total) for d in rollout] == [(3, 3)] * 3

    _run(body)


@pytest.mark.parametrize('seed', range(5))
def test_concurrent_changes_get_one_winner_and_a_typed_conflict(seed):
    async def body(fleet):
        results = await asyncio.gather(
            _submit(fleet, 'a-0', 'x', changes.SwitchPreset(name='peak')),
            _submit(
                fleet, 'c-0', 'y', changes.SwitchPreset(name='maintenance')
            ),
        )
        by_outcome = {r.outcome: r for r in results}
        assert by_outcome.keys() == {ACCEPTED, REFUSED}
        conflict = by_outcome[REFUSED].error
        assert isinstance(conflict, errors.ConflictError)
        assert (conflict.path, conflict.winner) == ('active_preset', 1)
        await fleet.run(BOUND_MS)
        won = results.index(by_outcome[ACCEPTED])
        name = ['peak', 'maintenance'][won]
        active = {n.config.active_preset for n in fleet.nodes.values()}
        assert active == {name}

    _run(body, seed=seed)


def test_changes_that_commute_are_both_accepted():
    async def body(fleet):
        results = await asyncio.gather(
            *(
                _submit(fleet, f'{d}-0', f'id-{d}', _create(f'org-{d}'))
                for d in 'abc'
            )
        )
        assert {r.outcome for r in results} == {ACCEPTED}
        assert {r.version for r in results} == {1, 2, 3}
        await fleet.run(BOUND_MS)
        for node in fleet.nodes.values():
            assert len(node.config.organisations) == 3

    _run(body)


@pytest.mark.parametrize('seed', range(5))
def test_a_lost_answer_is_resolved_and_nothing_is_written_twice(seed):
    async def body(fleet):
        fleet.table.faults.lost_answer_share = 0.7
        for i in range(10):
            result = await _submit(
                fleet, 'a-0', f'id-{i}', _create(f'org-{i}')
            )
            assert result.outcome in (ACCEPTED, UNKNOWN)
            again = await _submit(fleet, 'b-0', f'id-{i}', _create(f'org-{i}'))
            assert again.outcome is ACCEPTED
            assert again.version == i + 1
        history = (await fleet.nodes['c-0'].plane.config.history()).ok
        assert [r.change_id for r in history] == [f'id-{i}' for i in range(10)]

    _run(body, seed=seed)


def test_a_change_id_is_bound_to_one_change():
    async def body(fleet):
        await _submit(fleet, 'a-0', 'x', _create('lavapuu'))
        again = await _submit(fleet, 'b-0', 'x', _create('machovec'))
        assert again.outcome is REFUSED
        assert again.error.path == 'change_id'

    _run(body)


def test_an_invalid_change_is_refused_and_not_stored():
    async def body(fleet):
        result = await _submit(
            fleet, 'a-0', 'x', changes.SwitchPreset(name='holiday')
        )
        assert result.outcome is REFUSED
        assert str(result.error) == ("presets.holiday: there is no 'holiday'")
        assert fleet.table.scan(configstore.CHANGE_PREFIX) == []

    _run(body)


def test_a_document_too_large_to_send_is_refused():
    async def body(fleet):
        name = 'n' * 60
        routes = {
            f'{name}{i}': fleetconfig.Route(
                path_prefix=f'/{"p" * 200}{i}', service=name
            )
            for i in range(3000)
        }
        document = fleetconfig.FleetConfig(routes=routes)
        apply = changes.ApplyDocument(document=document)
        result = await _submit(fleet, 'a-0', 'x', apply)
        assert result.outcome is REFUSED
        assert result.error.path == 'document'

    _run(body)


def test_without_the_table_only_a_withdrawal_is_accepted():
    async def body(fleet):
        key = await _issue(fleet)
        before = _versions(fleet)
        fleet.table.faults.outage = tablestate.Outage.REFUSE
        refused = await _submit(
            fleet, 'a-0', 'x', changes.SwitchPreset(name='peak')
        )
        assert refused.outcome is REFUSED
        withdraw = changes.WithdrawKey(key_id='k1')
        result = await _submit(fleet, 'a-0', 'w', withdraw)
        assert result.outcome is ACCEPTED
        await fleet.run(BOUND_MS)
        assert _nodes_accepting(fleet, key) == set()
        # A node that starts now learns of the withdrawal from its peers.
        peers = (fleet.nodes['b-1'].member.link,)
        started = fleet.add('b-9', 'b', peers)
        await fleet.run(2 * BOUND_MS)
        assert started.config.version == max(before)
        assert _nodes_accepting(fleet, key) == set()
        fleet.table.faults.outage = tablestate.Outage.NONE
        fleet.stop('a-0')
        await fleet.run(60_000)
        assert _nodes_accepting(fleet, key) == set()
        for node in fleet.nodes.values():
            assert node.config.is_withdrawn('k1')
            assert node.key_ring.pending_withdrawals == frozenset()

    _run(body)


def test_a_withdrawal_during_a_partition_spreads_after_it():
    async def body(fleet):
        key = await _issue(fleet)
        fleet.partitions = {frozenset('ac'), frozenset('bc')}
        fleet.table.faults.reachable_domains = frozenset('ab')
        await fleet.run(4000)
        withdraw = changes.WithdrawKey(key_id='k1')
        result = await _submit(fleet, 'a-0', 'w', withdraw)
        assert result.outcome is ACCEPTED
        await fleet.run(20_000)
        assert _nodes_accepting(fleet, key) == {'c-0', 'c-1', 'c-2'}
        waiting = fleet.nodes['a-0'].plane.in_force(result.version)
        assert [len(d.waiting) for d in waiting] == [0, 0, 3]
        fleet.partitions = set()
        await fleet.run(BOUND_MS)
        assert _nodes_accepting(fleet, key) == set()

    _run(body)


def test_versions_never_go_back_and_an_old_table_is_refused():
    async def body(fleet):
        for i in range(5):
            await _submit(fleet, 'a-0', f'id-{i}', _create(f'org-{i}'))
        await fleet.run(BOUND_MS)
        fleet.table = tablestate.table_state(2)
        node = fleet.add('d-0', 'd', (fleet.nodes['a-0'].member.link,))
        await fleet.run(2 * BOUND_MS)
        assert node.config.version == 5
        result = await _submit(fleet, 'd-0', 'late', _create('late'))
        assert result.outcome is REFUSED
        assert 'older than version 5' in str(result.error)
        for each in fleet.nodes.values():
            assert each.applied_versions == sorted(set(each.applied_versions))

    _run(body)


def test_a_document_edited_from_an_old_version_is_a_conflict():
    async def body(fleet):
        await _submit(fleet, 'a-0', 'x', _create('lavapuu'))
        edited = fleet.nodes['a-0'].config
        await _submit(fleet, 'a-0', 'y', _create('machovec'))
        apply = changes.ApplyDocument(document=edited)
        result = await _submit(fleet, 'a-0', 'z', apply)
        assert result.outcome is REFUSED
        assert isinstance(result.error, errors.ConflictError)

    _run(body)


def test_a_node_far_behind_fetches_the_whole_document():
    async def body(fleet):
        fleet.partitions = {frozenset('ac'), frozenset('bc')}
        fleet.table.faults.reachable_domains = frozenset('ab')
        count = configstore.MAX_NODE_RECORDS + 10
        for i in range(count):
            preset = fleetconfig.Preset(retry_allowance=i % 9)
            change = changes.PutPreset(name='peak', preset=preset)
            assert (
                await _submit(fleet, 'a-0', f'id-{i}', change)
            ).outcome is ACCEPTED
        fleet.partitions = set()
        await fleet.run(2 * BOUND_MS)
        assert _versions(fleet) == {count}
        assert fleet.nodes['c-0'].applied_versions == [count]

    _run(body)


def test_groups_that_started_apart_find_each_other():
    async def body(fleet):
        fleet.partitions = {frozenset('ab')}
        for domain in 'ab':
            for i in range(2):
                fleet.add(f'{domain}-{i}', domain)
        await fleet.run(20_000)
        for node in fleet.nodes.values():
            assert len(node.machine.live_members()) == 2
        fleet.partitions = set()
        await fleet.run(600_000)
        for node in fleet.nodes.values():
            assert len(node.machine.live_members()) == 4

    _run(body, sizes={})


def test_seed_row_writes_are_bounded():
    async def body(fleet):
        before = fleet.table.counts.rows_written
        await fleet.run(120_000)
        written = fleet.table.counts.rows_written - before
        assert 9 * 2 <= written <= 9 * 8

    _run(body)
