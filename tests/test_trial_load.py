"""Real processes under too much load, with cold targets and tight limits."""

import asyncio

import pytest

from parsleystile import checks
from parsleystile import fleetconfig
from tests import trial

_TIGHT = {
    'org1': fleetconfig.Organisation(rate_per_s=400.0, burst=200),
    'org2': fleetconfig.Organisation(rate_per_s=20.0, burst=10),
}


async def _over_rate(run):
    run.paths = ['/look']
    run.organisations = ['org2']
    await run.load(4.0, 120)


async def _over_rate_with_faults(run):
    run.paths = ['/look']
    run.organisations = ['org2']
    load = asyncio.create_task(run.load(7.0, 100))
    await asyncio.sleep(1.0)
    run.pause('reserve0')
    await asyncio.sleep(0.5)
    run.platform(outage='hang')
    run.kill('stock1')
    await asyncio.sleep(1.5)
    run.resume('reserve0')
    run.platform()
    await run.replace('stock1')
    await load


async def _overload(run):
    run.organisations = ['org1']
    await run.load(4.0, 350)


async def _cold(run):
    run.organisations = ['org1']
    run.paths = ['/look']
    load = asyncio.create_task(run.load(6.0, 250))
    await asyncio.sleep(2.5)
    await run.turn_cold('reserve0')
    await load


_SLOW = trial.specs(work_ms=20, options=('--slots=4',))
_COLD = trial.specs(
    work_ms=20,
    options=('--slots=16', '--cold-slots=2', '--warm-up-s=3'),
)
_RUNS = {
    'over rate': (_over_rate, ['QuotaTaken'], None),
    'over rate with faults': (_over_rate_with_faults, ['QuotaTaken'], None),
    'overload': (_overload, ['Refused'], _SLOW),
    'cold': (_cold, ['TargetCapacity'], _COLD),
}


@pytest.mark.parametrize('name', _RUNS)
def test_promises_hold(name):
    script, needs, specs = _RUNS[name]
    past = trial.run(script, specs_=specs, organisations=_TIGHT)
    seen = checks.evidence(past)
    assert [kind for kind in needs if not seen.get(kind)] == []
    trial.assert_holds(past)
