"""Targets that name how many calls a second they take."""

import asyncio
import time

import pytest

from parsleystile import errors
from tests import platformfleet
from tests import windows

LIMIT_PER_S = 10.0
WINDOW_MS = 4_000.0


def _name_limit(machine, per_s=LIMIT_PER_S):
    machine.target.notices = ['Server-Limit', str(per_s)]


async def _send(machine, call_id, results, wait_ms=500):
    result = await machine.call(call_id=call_id, wait_ms=wait_ms)
    results.append(result)


async def _load(senders, per_s, duration_s, **fields):
    """Send requests from machines in turn; return the answers."""
    results = []
    tasks = []
    for i in range(int(per_s * duration_s)):
        machine = senders[i % len(senders)]
        call_id = f'{time.monotonic_ns()}-{i}'
        tasks.append(
            asyncio.ensure_future(_send(machine, call_id, results, **fields))
        )
        await asyncio.sleep(1.0 / per_s)
    await asyncio.gather(*tasks)
    return results


def _allowed(per_s=LIMIT_PER_S):
    return 1.5 * WINDOW_MS / 1e3 * per_s + 5


def _statuses(results):
    return [0 if isinstance(r, errors.Refusal) else r.status for r in results]


def test_a_target_gets_no_more_than_the_limit_that_it_names():
    async def body(fleet):
        first, second = fleet.machines
        target = second.target
        _name_limit(second)
        await _load([first, second], 50.0, 0.5)
        since_ms = target.arrived_ms[-1]
        results = await _load([first, second], 40.0, WINDOW_MS / 1e3)
        most = windows.most_in_window(target.arrived_ms, since_ms, WINDOW_MS)
        assert most <= _allowed()
        # What it takes is used.
        answered = _statuses(results).count(200)
        assert answered >= 0.8 * WINDOW_MS / 1e3 * LIMIT_PER_S
        assert set(_statuses(results)) == {200, 503}

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_limit_is_not_forgotten_with_the_node_beside_the_target():
    async def body(fleet):
        first, second = fleet.machines
        _name_limit(second)
        await _load([first], 20.0, 0.5)
        await second.kill_node()
        await second.start_node()
        await fleet.wait_settled()
        second.report()
        await fleet.wait_serving(1)
        # Nothing is answered, so the new process hears nothing of its target.
        second.target.custom_answer = lambda request: None
        second.target.arrived_ms.clear()
        await _load([first], 60.0, 0.5)
        assert len(second.target.arrived_ms) <= 0.5 * 1.5 * LIMIT_PER_S + 5

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_limit_stays_in_force_while_its_target_is_unreachable():
    async def body(fleet):
        first, second = fleet.machines
        _name_limit(second)
        await _load([first], 20.0, 0.5)
        second.node.guard.on_target_lost('no connection')
        second.report()
        await fleet.wait_serving(1)
        # Nothing is answered, so the limit is not heard again.
        second.target.custom_answer = lambda request: None
        second.target.arrived_ms.clear()
        first.node._ingress._deps.dispatch_deps.notices.heard('n1', None, True)
        await _load([first], 60.0, 0.5)
        assert len(second.target.arrived_ms) <= 0.5 * 1.5 * LIMIT_PER_S + 5

    platformfleet.run_with_fleet(body, serving=[1])


@pytest.mark.parametrize(
    ('wait_ms', 'reason', 'least_s'),
    # Of ten calls, one starts at once and two are queued; those that can't
    # wait for two seconds are not.
    [(10_000, b'queue_full\n', 2.0), (200, b'deadline\n', 1.5)],
)
def test_a_refused_caller_is_told_when_the_target_takes_more(
    wait_ms, reason, least_s
):
    async def body(fleet):
        (machine,) = fleet.machines
        _name_limit(machine, 0.5)
        await machine.call(call_id='first')
        results = await _load([machine], 500.0, 0.02, wait_ms=wait_ms)
        refused = [r for r in results if r.body == reason]
        assert len(refused) >= 5
        for answer in refused:
            start = answer.headers.index('Retry-After')
            assert least_s <= float(answer.headers[start + 1]) <= 6.0

    platformfleet.run_with_fleet(body, count=1)


def test_a_caller_that_is_shed_is_told_when_the_target_takes_more():
    async def body(fleet):
        (machine,) = fleet.machines
        _name_limit(machine, 0.5)
        for call_id in ('named', 'paced'):
            await machine.call(call_id=call_id)
        shedder = machine.node._ingress._deps.shedder
        refusal = errors.not_run(errors.Reason.SHED, 'full', 500)
        shedder.decide = lambda *details: refusal
        answer = await machine.call(call_id='shed')
        assert answer.body == b'shed\n'
        start = answer.headers.index('Retry-After')
        assert 1.5 <= float(answer.headers[start + 1]) <= 2.0

    platformfleet.run_with_fleet(body, count=1)
