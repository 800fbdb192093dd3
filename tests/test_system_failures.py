"""System tests under load while nodes and targets fail."""

import asyncio

import pytest

from parsleystile import checks
from tests import systemtest


def _run_and_check(script, required_events=(), specs=None, seed=1):
    history = systemtest.run(script, seed, specs)
    counts = checks.count_events(history)
    assert [kind for kind in required_events if not counts.get(kind)] == []
    systemtest.assert_invariants_hold(history)


async def _quiet(system):
    await system.load(1.5, 60)


async def _kill(system):
    load = asyncio.create_task(system.load(3.0, 80))
    await asyncio.sleep(0.7)
    system.kill('stock0')
    await asyncio.sleep(0.5)
    system.kill('reserve1')
    await system.replace('stock0')
    await load


async def _pause(system):
    load = asyncio.create_task(system.load(4.0, 60))
    await asyncio.sleep(0.5)
    system.pause('reserve0')
    await asyncio.sleep(0.3)
    system.resume('reserve0')
    system.pause('stock1')
    await asyncio.sleep(2.0)
    system.resume('stock1')
    await load


async def _kill_without_platform(system):
    load = asyncio.create_task(system.load(3.0, 60))
    system.set_platform_faults(outage='hang')
    await asyncio.sleep(0.5)
    system.kill('stock1')
    system.pause('reserve1')
    await asyncio.sleep(1.0)
    system.resume('reserve1')
    await system.replace('stock1')
    await load
    system.set_platform_faults()


async def _rolling_replacement(system):
    load = asyncio.create_task(system.load(8.0, 40))
    for name in list(system.nodes):
        await system.stop(name)
        await system.replace(name)
        # Let the restarted node begin to serve before the next one stops.
        await asyncio.sleep(0.8)
    await load


async def _target_leaves(system):
    load = asyncio.create_task(system.load(5.0, 60))
    await asyncio.sleep(0.5)
    await system.stop_target('stock0')
    await load


_SCRIPTS = {
    'quiet': (_quiet, []),
    'kill': (_kill, ['FaultStarted']),
    'pause': (_pause, ['FaultStarted']),
    'kill without platform': (_kill_without_platform, ['FaultEnded']),
    'rolling replacement': (_rolling_replacement, ['StopPlanned']),
    'target leaves': (_target_leaves, ['TargetLeaving']),
}


@pytest.mark.parametrize('name', _SCRIPTS)
def test_invariants_hold(name):
    script, required_events = _SCRIPTS[name]
    _run_and_check(script, required_events)
