"""Real processes under load while nodes and targets fail."""

import asyncio

import pytest

from parsleystile import checks
from tests import trial


def _judge(script, needs=(), specs=None, seed=1):
    past = trial.run(script, seed, specs)
    seen = checks.evidence(past)
    assert [kind for kind in needs if not seen.get(kind)] == []
    trial.assert_holds(past)


async def _quiet(run):
    await run.load(1.5, 60)


async def _kill(run):
    load = asyncio.create_task(run.load(3.0, 80))
    await asyncio.sleep(0.7)
    run.kill('stock0')
    await asyncio.sleep(0.5)
    run.kill('reserve1')
    await run.replace('stock0')
    await load


async def _pause(run):
    load = asyncio.create_task(run.load(4.0, 60))
    await asyncio.sleep(0.5)
    run.pause('reserve0')
    await asyncio.sleep(0.3)
    run.resume('reserve0')
    run.pause('stock1')
    await asyncio.sleep(2.0)
    run.resume('stock1')
    await load


async def _kill_without_platform(run):
    load = asyncio.create_task(run.load(3.0, 60))
    run.platform(outage='hang')
    await asyncio.sleep(0.5)
    run.kill('stock1')
    run.pause('reserve1')
    await asyncio.sleep(1.0)
    run.resume('reserve1')
    await run.replace('stock1')
    await load
    run.platform()


async def _rolling_replacement(run):
    load = asyncio.create_task(run.load(8.0, 40))
    for name in list(run.nodes):
        await run.stop(name)
        await run.replace(name)
        # The next one leaves only when this one serves.
        await asyncio.sleep(0.8)
    await load


async def _target_leaves(run):
    load = asyncio.create_task(run.load(5.0, 60))
    await asyncio.sleep(0.5)
    await run.stop_target('stock0')
    await load


_RUNS = {
    'quiet': (_quiet, []),
    'kill': (_kill, ['FaultStarted']),
    'pause': (_pause, ['FaultStarted']),
    'kill without platform': (_kill_without_platform, ['FaultEnded']),
    'rolling replacement': (_rolling_replacement, ['StopPlanned']),
    'target leaves': (_target_leaves, ['TargetLeaving']),
}


@pytest.mark.parametrize('name', _RUNS)
def test_promises_hold(name):
    script, needs = _RUNS[name]
    _judge(script, needs)
