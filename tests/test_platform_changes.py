"""Changes of configuration and members on a simulated platform."""

import asyncio

import msgspec


from parsleystile import errors
from parsleystile.relay import memberrow
from parsleystile.relay import statemessages
from parsleystile.relay import targetreports
from tests import asyncutil
from tests import platformfleet

# Bounds of the users' platform.
_STABLE_WINDOW_S = 3.0
_CONFIG_APPLY_S = 2.0


def test_an_evacuated_domain_gets_no_calls_until_it_is_back():
    async def body(fleet):
        first, second = fleet.machines
        fleet.store.put('op', 'evacuate/b', b'{}')
        await asyncutil.wait_until(
            lambda: all(
                m.node.state_sync.policy.domains_out for m in fleet.machines
            )
        )
        answers = [await first.call(call_id=f'c{i}') for i in range(20)]
        assert {a.status for a in answers} == {200}
        assert second.target.executed_headers == []
        fleet.store.remove('op', 'evacuate/b')
        await asyncutil.wait_until(
            lambda: not first.node.state_sync.policy.domains_out
        )
        second.report()
        await fleet.wait_serving(2)
        answers = [await second.call(call_id=f'd{i}') for i in range(20)]
        assert {a.status for a in answers} == {200}
        assert second.target.executed_headers

    platformfleet.run_with_fleet(body)


def test_a_node_without_the_store_learns_from_its_peers():
    async def body(fleet):
        first, second = fleet.machines
        second.store_client.close()
        second.store_client.mark_unreachable()
        fleet.put_document(platformfleet.document(version=9))
        await asyncutil.wait_until(
            lambda: second.node.state_sync.policy.version == 9
        )
        assert first.node.state_sync.policy.version == 9

    platformfleet.run_with_fleet(body)


def test_a_silent_store_does_not_hold_back_a_later_configuration():
    # All followers waited 17 s for answers to polls that had been lost.
    async def body(fleet):
        # Each node follows the store once it has read both tables.
        await asyncutil.wait_until(
            lambda: fleet.store.request_paths.count('/v1/rows-feed') >= 4
        )
        fleet.store.lose_feeds()
        lost_s = asyncio.get_running_loop().time()
        fleet.put_document(platformfleet.document(version=9))
        async with asyncio.timeout(_STABLE_WINDOW_S + _CONFIG_APPLY_S):
            while any(
                m.node.state_sync.policy.version != 9 for m in fleet.machines
            ):
                await asyncio.sleep(0.02)
        # Not by the next poll of a connection that was not lost.
        assert asyncio.get_running_loop().time() - lost_s > 1.0

    platformfleet.run_with_fleet(body)


def test_the_stored_row_of_a_lost_node_is_removed_by_its_successor():
    # The store named lost nodes to each node that started, for ever.
    async def body(fleet):
        own = fleet.machines[0].node.member_list.own_row
        lost = msgspec.structs.replace(own, node_id='lost', incarnation=7)
        fleet.store.put('nodes', 'lost', memberrow.encode_row(lost))
        await asyncutil.wait_until(
            lambda: fleet.store.value('nodes', 'lost') is None
        )
        # The other node hears of it from the successor or from the store.
        await asyncutil.wait_until(
            lambda: (
                not any(
                    'lost' in m.node.member_list.node_ids
                    for m in fleet.machines
                )
            )
        )
        for machine in fleet.machines:
            assert fleet.store.value('nodes', machine.name) is not None

    platformfleet.run_with_fleet(body)


def test_members_are_replicated_while_the_store_is_down():
    async def body(fleet):
        first, second = fleet.machines
        fleet.store.refusal_status = 503
        fleet.store.drop_connections()
        second.report(targetreports.TargetState.DRAINING)
        await fleet.wait_serving(1)
        assert (await first.call()).status == 200
        fleet.store.refusal_status = 0
        await asyncutil.wait_until(
            lambda: b'i-n1' in (fleet.store.value('nodes', 'n1') or b'')
        )

    platformfleet.run_with_fleet(body)


def test_the_same_policy_at_a_later_store_version_changes_nothing():
    async def body(fleet):
        state_sync = fleet.machines[0].node.state_sync
        changes = []
        state_sync.on_policy_changed = lambda: changes.append(1)
        later_snapshot = statemessages.Snapshot(
            state_sync.snapshot.seen_at + 5, state_sync.snapshot.payload
        )
        assert not state_sync.apply_snapshot(later_snapshot, 'store')
        assert state_sync.snapshot.seen_at == later_snapshot.seen_at
        assert not changes

    platformfleet.run_with_fleet(body, count=1)


def test_a_lost_feed_history_causes_a_full_read():
    async def body(fleet):
        fleet.store.drop_history()
        fleet.put_document(platformfleet.document(version=5))
        await asyncutil.wait_until(
            lambda: all(
                m.node.state_sync.policy.version == 5 for m in fleet.machines
            )
        )

    platformfleet.run_with_fleet(body)


def test_a_planned_stop_finishes_open_requests():
    async def body(fleet):
        first, second = fleet.machines
        ended = []
        first.node.on_end = lambda: ended.append(True)
        second.target.work_ms = first.target.work_ms = 100.0
        calls = [
            asyncio.ensure_future(first.call(call_id=f'c{i}'))
            for i in range(5)
        ]
        await asyncutil.wait_until(lambda: len(fleet.executed_ids()) == 5)
        first.node.stop()
        assert not first.node.is_ready
        answers = await asyncio.gather(*calls)
        assert {a.status for a in answers} == {200}
        # Callers are asked to reconnect elsewhere and served until then.
        assert all('Connection' in a.headers for a in answers)
        assert (await first.call(call_id='late')).status == 200
        assert not ended
        assert fleet.executed_ids().count('late') == 1

    platformfleet.run_with_fleet(body)


def test_lost_answers_never_end_as_not_run():
    async def body(fleet):
        def drop_connection(request):
            request._connection.abort()

        for machine in fleet.machines:
            machine.target.custom_answer = drop_connection
        answer = await fleet.machines[0].call()
        assert answer.status in (502, 504)

    platformfleet.run_with_fleet(body)


def test_outcomes_are_counted_on_the_metrics_page():
    async def body(fleet):
        await fleet.machines[0].call()
        page = fleet.machines[0].node.recorder.metrics_page().decode()
        assert (
            'parsleystile_calls_total{end="answered",reason="2xx"} 1' in page
        )
        assert 'parsleystile_call_seconds_bucket' in page

    platformfleet.run_with_fleet(body)


def test_a_refusal_can_state_not_run():
    assert errors.not_run(errors.Reason.SHED).outcome is errors.Outcome.NOT_RUN


def test_a_departure_is_remembered_by_the_second_restart_too():
    async def body(fleet):
        _, second = fleet.machines
        second.report(started_ms=5)
        second.report(targetreports.TargetState.DRAINING, started_ms=5)
        await asyncutil.wait_until(
            lambda: b'i-n1' in (fleet.store.value('nodes', 'n1') or b'')
        )
        for _ in range(2):
            await second.kill_node()
            await second.start_node()
            await asyncutil.wait_until(
                lambda: (
                    second.store_client.is_row_written
                    and second.node.member_list.own_row.departed_id
                )
            )
        late = second.report(started_ms=5)
        assert late is targetreports.Effect.STALE

    platformfleet.run_with_fleet(body)
