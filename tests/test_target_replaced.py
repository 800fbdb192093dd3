"""Targets that are replaced at their address while calls wait for them."""

import asyncio

from parsleystile import ids
from parsleystile.relay import logevents
from parsleystile.relay import rollout
from tests import asyncutil
from tests import platformfleet

QUEUED = 6


async def _ask_busy(fleet, machine):
    """Send calls, of which the target of a machine runs one; return tasks."""
    machine.target.work_ms = 60_000.0
    machine.report(slots=1)
    tasks = [
        asyncio.ensure_future(
            fleet.machines[0].call(
                '/reserve/x', f'c{i}', method='POST', body=b'1', wait_ms=3000
            )
        )
        for i in range(QUEUED + 1)
    ]
    guard = machine.node.guard
    await asyncutil.wait_until(lambda: guard.queued == QUEUED)
    return tasks


def _replace(machine, service='yard', **fields):
    """Let another target take the address of a silent one."""
    machine.target.target_id = 'i-next'
    machine.target.work_ms = 0.0
    machine.report(target_id='i-next', service=service, started_ms=5, **fields)


def test_calls_that_wait_do_not_run_at_a_target_of_another_service():
    async def body(fleet):
        first, second = fleet.machines
        written = []
        second.node.recorder.log.append = written.append
        tasks = await _ask_busy(fleet, second)
        _replace(second, 'stock')
        answers = await asyncio.gather(*tasks)
        assert len(fleet.executed_ids()) == 1
        statuses = sorted(answer.status for answer in answers)
        # One was running at the silent target.
        assert statuses == [503] * QUEUED + [504]
        (change,) = [
            line
            for line in written
            if isinstance(line, logevents.TargetChanged)
            and line.target == 'i-next'
        ]
        assert (change.before, change.queued) == ('yard', QUEUED)
        refused = [w for w in written if isinstance(w, logevents.GuardRefused)]
        assert len(refused) == QUEUED
        page = second.node.recorder.metrics_page().decode()
        assert (
            f'parsleystile_guard_refusals_total{{reason="leaving"}} {QUEUED}'
            in page
        )

    platformfleet.run_with_fleet(body, serving=[1])


def test_calls_that_wait_for_a_replaced_target_run_elsewhere_in_time():
    async def body(fleet):
        _, second, third = fleet.machines
        tasks = await _ask_busy(fleet, second)
        third.report()
        await fleet.wait_serving(2)
        _replace(second, 'stock')
        answers = await asyncio.gather(*tasks)
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [200] * QUEUED + [504]
        assert len(third.target.executed_headers) == QUEUED

    platformfleet.run_with_fleet(body, count=3, serving=[1])


def test_calls_that_wait_run_at_a_successor_of_the_same_service():
    async def body(fleet):
        _, second = fleet.machines
        tasks = await _ask_busy(fleet, second)
        _replace(second, slots=QUEUED + 1)
        answers = await asyncio.gather(*tasks)
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [200] * QUEUED + [504]

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_late_failure_of_a_replaced_target_does_not_end_the_next_one():
    async def body(fleet):
        first, second = fleet.machines
        second.target.work_ms = 300.0
        late = asyncio.ensure_future(first.call(call_id='late'))
        await asyncutil.wait_until(lambda: second.node.guard.in_flight)
        # The request is answered with 421 after the next target reported.
        headers = ['Parsleystile-Attempt-Id', 'late']
        second.target.custom_answer = lambda request: request.answer(
            421, headers, b''
        )
        second.report(target_id='i-next', started_ms=5)
        assert (await late).status == 503
        assert second.node.guard.target.target_id == ids.TargetId('i-next')

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_late_answer_of_a_replaced_target_is_no_result_of_the_next_one():
    # The verdict on a new version would count answers of the old one.
    async def body(fleet):
        first, second = fleet.machines
        results = []
        second.node.guard.on_result = lambda *result: results.append(result)
        assert (await first.call(call_id='before')).status == 200
        assert len(results) == 1
        second.target.work_ms = 300.0
        late = asyncio.ensure_future(first.call(call_id='late'))
        await asyncutil.wait_until(lambda: second.node.guard.in_flight)
        second.report(target_id='i-next', started_ms=5, version='v2')
        assert (await late).status == 200
        assert len(results) == 1

    platformfleet.run_with_fleet(body, serving=[1])


def test_calls_that_wait_do_not_run_at_a_version_that_takes_none():
    async def body(fleet):
        _, second = fleet.machines
        tasks = await _ask_busy(fleet, second)
        second.node.rollouts.hear(
            rollout.Progress(
                'yard', 1, 'v3', rollout.Stage.ROLLED_BACK, barred=('v2',)
            ),
            'test',
        )
        _replace(second, slots=QUEUED + 1, version='v2')
        answers = await asyncio.gather(*tasks)
        assert len(fleet.executed_ids()) == 1
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [503] * QUEUED + [504]

    platformfleet.run_with_fleet(body, serving=[1])
