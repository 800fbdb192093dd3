"""Nodes on stand-ins of the users' platform while things change."""

import asyncio


from parsleystile import errors
from parsleystile.relay import statesync
from parsleystile.relay import targetreports
from tests import asyncutil
from tests import platformfleet


def test_a_domain_that_is_out_gets_nothing_and_comes_back():
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
        assert second.target.seen == []
        fleet.store.remove('op', 'evacuate/b')
        await asyncutil.wait_until(
            lambda: not first.node.state_sync.policy.domains_out
        )
        second.report()
        await fleet.seen_serving(2)
        answers = [await second.call(call_id=f'd{i}') for i in range(20)]
        assert {a.status for a in answers} == {200}
        assert second.target.seen

    platformfleet.play(body)


def test_a_node_that_the_store_turns_away_learns_from_its_neighbours():
    async def body(fleet):
        first, second = fleet.machines
        second.client.close()
        second.client.forget_reach()
        fleet.put_document(platformfleet.document(version=9))
        await asyncutil.wait_until(
            lambda: second.node.state_sync.policy.version == 9
        )
        assert first.node.state_sync.policy.version == 9

    platformfleet.play(body)


def test_members_change_hands_while_the_store_is_down():
    async def body(fleet):
        first, second = fleet.machines
        fleet.store.refuses = 503
        fleet.store.drop_connections()
        second.report(targetreports.TargetState.DRAINING)
        await fleet.seen_serving(1)
        assert (await first.call()).status == 200
        fleet.store.refuses = 0
        await asyncutil.wait_until(
            lambda: b'i-n1' in (fleet.store.value('nodes', 'n1') or b'')
        )

    platformfleet.play(body)


def test_the_same_policy_at_a_later_version_changes_nothing():
    async def body(fleet):
        found = fleet.machines[0].node.state_sync
        changes = []
        found.on_policy = lambda: changes.append(1)
        later = statesync.Snapshot(
            found.snapshot.seen_at + 5, found.snapshot.payload
        )
        assert not found.offer(later, 'store')
        assert found.snapshot.seen_at == later.seen_at
        assert not changes

    platformfleet.play(body, count=1)


def test_a_forgotten_history_is_read_anew():
    async def body(fleet):
        fleet.store.drop_history()
        fleet.put_document(platformfleet.document(version=5))
        await asyncutil.wait_until(
            lambda: all(
                m.node.state_sync.policy.version == 5 for m in fleet.machines
            )
        )

    platformfleet.play(body)


def test_a_planned_stop_answers_what_was_begun():
    async def body(fleet):
        first, second = fleet.machines
        ended = []
        first.node.on_end = lambda: ended.append(True)
        second.target.work_ms = first.target.work_ms = 100.0
        calls = [
            asyncio.ensure_future(first.call(call_id=f'c{i}'))
            for i in range(5)
        ]
        await asyncutil.wait_until(lambda: len(fleet.ran()) == 5)
        first.node.stop()
        assert not first.node.is_ready
        answers = await asyncio.gather(*calls)
        assert {a.status for a in answers} == {200}
        # Callers are told to go elsewhere, and served until they have.
        assert all('Connection' in a.headers for a in answers)
        assert (await first.call(call_id='late')).status == 200
        assert not ended
        assert 'late' in [
            headers['parsleystile-attempt-id']
            for headers in second.target.seen
        ]

    platformfleet.play(body)


def test_an_earlier_refusal_never_hides_that_a_call_may_have_run():
    async def body(fleet):
        def lose(request):
            request._connection.abort()

        for machine in fleet.machines:
            machine.target.answer = lose
        answer = await fleet.machines[0].call()
        assert answer.status in (502, 504)

    platformfleet.play(body)


def test_outcomes_are_counted_on_the_metrics_page():
    async def body(fleet):
        await fleet.machines[0].call()
        page = fleet.machines[0].node.recorder.page().decode()
        assert (
            'parsleystile_calls_total{end="answered",reason="2xx"} 1' in page
        )
        assert 'parsleystile_call_seconds_bucket' in page

    platformfleet.play(body)


def test_not_run_is_told_by_a_refusal_alone():
    assert errors.not_run(errors.Reason.SHED).outcome is errors.Outcome.NOT_RUN
