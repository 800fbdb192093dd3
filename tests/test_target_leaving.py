"""Targets that say in their answers that they leave."""

import asyncio

from parsleystile.relay import targetreports
from tests import platformfleet

READY = targetreports.TargetState.READY
STALE = targetreports.Effect.STALE


def _leave(machine):
    machine.target.notices = ['Server-Leaving', '1']


async def _call_until_it_leaves(caller, machine):
    """Call until the target of a machine has answered once."""
    for i in range(50):
        answer = await caller.call(call_id=f'until{i}')
        assert answer.status == 200
        if machine.target.executed_headers:
            return
    raise AssertionError('the target was never chosen')


def test_a_target_that_says_it_leaves_gets_no_more_calls():
    async def body(fleet):
        first, second, third = fleet.machines
        _leave(second)
        await _call_until_it_leaves(first, second)
        second.target.arrived_ms.clear()
        for i in range(30):
            for machine in (first, second, third):
                answer = await machine.call(call_id=f'{machine.name}-{i}')
                assert answer.status == 200
        assert not second.target.arrived_ms

    platformfleet.run_with_fleet(body, count=3, serving=[1, 2])


def test_queued_calls_of_a_target_that_leaves_run_elsewhere():
    async def body(fleet):
        first, second, third = fleet.machines
        _leave(second)
        for machine in (second, third):
            machine.target.work_ms = 50.0
            machine.report(slots=2)
        answers = await asyncio.gather(
            *(first.call(call_id=f'c{i}', wait_ms=2000) for i in range(20))
        )
        assert {answer.status for answer in answers} == {200}
        assert sorted(fleet.executed_ids()) == sorted(
            f'c{i}' for i in range(20)
        )
        assert len(second.target.executed_headers) <= 2

    platformfleet.run_with_fleet(body, count=3, serving=[1, 2])


def test_a_late_report_does_not_bring_a_target_back_that_leaves():
    async def body(fleet):
        first, second, _ = fleet.machines
        _leave(second)
        await _call_until_it_leaves(first, second)
        assert second.report(READY) is STALE
        # A new incarnation under the same id is another target.
        second.target.notices = []
        effect = second.report(READY, started_ms=2)
        assert effect is targetreports.Effect.SERVING

    platformfleet.run_with_fleet(body, count=3, serving=[1, 2])


def test_a_leaving_target_gets_nothing_after_a_restart_of_its_node_in_a_cut():
    async def body(fleet):
        first, second = fleet.machines
        _leave(second)
        assert (await first.call(call_id='last')).status == 200
        fleet.store.close()
        await second.kill_node()
        await second.start_node()
        # Neither the store nor another node tells the new process.
        first.node.state_sync._return_row = lambda row: None
        second.node.state_sync.apply_snapshot(
            first.node.state_sync.snapshot, 'n0'
        )
        second.report(READY)
        for machine in (first, second):
            for row in (first.node, second.node):
                machine.node.state_sync.merge_rows(
                    [row.member_list.own_row], 'n0'
                )
        second.target.arrived_ms.clear()
        for i in range(20):
            answer = await first.call(call_id=f'c{i}', wait_ms=500)
            assert answer.status == 503
        assert not second.target.arrived_ms

    platformfleet.run_with_fleet(body, serving=[1])


def test_news_of_a_target_that_left_does_not_hit_the_next_at_its_address():
    async def body(fleet):
        first, second = fleet.machines
        _leave(second)
        assert (await first.call(call_id='last')).status == 200
        second.target.notices = []
        second.target.target_id = 'i-next'
        second.report(READY, target_id='i-next', started_ms=5)
        await fleet.wait_serving(1)
        await asyncio.sleep(0.1)
        for i in range(20):
            answer = await second.call(call_id=f'own{i}')
            assert answer.status == 200

    platformfleet.run_with_fleet(body, serving=[1])
