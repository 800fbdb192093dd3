"""System tests of callers that retry non-idempotent requests."""

import asyncio

import pytest

from parsleystile import checks
from tests import systemtest


async def _send_duplicates(system, operation):
    """Send one operation to two nodes concurrently, then retry it."""
    key = f'operation-{operation}'
    entry_nodes = system.rng.sample(list(system.nodes), 2)
    await asyncio.gather(
        *(system.call(via, 'org1', '/book', key) for via in entry_nodes)
    )
    await system.call(
        system.rng.choice(list(system.nodes)), 'org1', '/book', key
    )


async def _send_operations(system, count, pause_s):
    operations = []
    for operation in range(count):
        operations.append(
            asyncio.create_task(_send_duplicates(system, operation))
        )
        await asyncio.sleep(pause_s)
    await asyncio.gather(*operations)


async def _quiet(system):
    await _send_operations(system, 60, 0.03)


async def _kill(system):
    operations = asyncio.create_task(_send_operations(system, 120, 0.03))
    await asyncio.sleep(1.0)
    system.kill('stock0')
    await asyncio.sleep(0.7)
    system.pause('reserve1')
    await system.replace('stock0')
    await asyncio.sleep(1.0)
    system.resume('reserve1')
    await operations


async def _without_platform(system):
    operations = asyncio.create_task(_send_operations(system, 120, 0.03))
    system.set_platform_faults(lost_answer_share=0.5, delay_ms=30)
    await asyncio.sleep(1.5)
    system.set_platform_faults(outage='hang')
    await asyncio.sleep(0.5)
    system.kill('reserve0')
    await asyncio.sleep(1.0)
    system.set_platform_faults()
    await system.replace('reserve0')
    await operations


_SCRIPTS = {
    'concurrent duplicates': _quiet,
    'concurrent duplicates and a kill': _kill,
    'concurrent duplicates without platform': _without_platform,
}


@pytest.mark.parametrize('name', _SCRIPTS)
def test_an_operation_runs_at_most_once(name):
    history = systemtest.run(_SCRIPTS[name])
    # A fleet that refuses every request would pass the check trivially.
    assert checks.count_events(history)['Executed'] > 20
    systemtest.assert_invariants_hold(history)
