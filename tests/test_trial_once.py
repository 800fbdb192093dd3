"""Callers that retry non-idempotent requests by themselves."""

import asyncio

import pytest

from parsleystile import checks
from tests import trial


async def _race(run, operation):
    """Send one operation to two nodes at once, and again a little later."""
    key = f'operation-{operation}'
    vias = run.rng.sample(list(run.nodes), 2)
    await asyncio.gather(
        *(run.call(via, 'org1', '/book', key) for via in vias)
    )
    await run.call(run.rng.choice(list(run.nodes)), 'org1', '/book', key)


async def _races(run, count, pause_s):
    races = []
    for operation in range(count):
        races.append(asyncio.create_task(_race(run, operation)))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*races)


async def _quiet(run):
    await _races(run, 60, 0.03)


async def _kill(run):
    races = asyncio.create_task(_races(run, 120, 0.03))
    await asyncio.sleep(1.0)
    run.kill('stock0')
    await asyncio.sleep(0.7)
    run.pause('reserve1')
    await run.replace('stock0')
    await asyncio.sleep(1.0)
    run.resume('reserve1')
    await races


async def _without_platform(run):
    races = asyncio.create_task(_races(run, 120, 0.03))
    run.platform(lost_answer_share=0.5, delay_ms=30)
    await asyncio.sleep(1.5)
    run.platform(outage='hang')
    await asyncio.sleep(0.5)
    run.kill('reserve0')
    await asyncio.sleep(1.0)
    run.platform()
    await run.replace('reserve0')
    await races


_RUNS = {
    'races': _quiet,
    'races and a kill': _kill,
    'races without platform': _without_platform,
}


@pytest.mark.parametrize('name', _RUNS)
def test_an_operation_runs_at_most_once(name):
    past = trial.run(_RUNS[name])
    # Something did run: refusing everything would be no proof.
    assert checks.evidence(past)['Executed'] > 20
    trial.assert_holds(past)
