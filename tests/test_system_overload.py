"""System tests of rate limits, overload and cold targets."""

import asyncio

import pytest

from parsleystile import checks
from parsleystile import fleetconfig
from tests import systemtest

_RATE_LIMITS = {
    'org1': fleetconfig.Organisation(rate_per_s=400.0, burst=200),
    'org2': fleetconfig.Organisation(rate_per_s=20.0, burst=10),
}


async def _over_rate(system):
    system.paths = ['/look']
    system.organisations = ['org2']
    await system.load(4.0, 120)


async def _over_rate_with_faults(system):
    system.paths = ['/look']
    system.organisations = ['org2']
    load = asyncio.create_task(system.load(7.0, 100))
    await asyncio.sleep(1.0)
    system.pause('reserve0')
    await asyncio.sleep(0.5)
    system.set_platform_faults(outage='hang')
    system.kill('stock1')
    await asyncio.sleep(1.5)
    system.resume('reserve0')
    system.set_platform_faults()
    await system.replace('stock1')
    await load


async def _overload(system):
    system.organisations = ['org1']
    await system.load(4.0, 350)


async def _cold(system):
    system.organisations = ['org1']
    system.paths = ['/look']
    load = asyncio.create_task(system.load(6.0, 250))
    await asyncio.sleep(2.5)
    await system.turn_cold('reserve0')
    await load


_SLOW = systemtest.specs(work_ms=20, options=('--slots=4',))
_COLD = systemtest.specs(
    work_ms=20,
    options=('--slots=16', '--cold-slots=2', '--warm-up-s=3'),
)
_SCRIPTS = {
    'over rate': (_over_rate, ['QuotaTaken'], None),
    'over rate with faults': (_over_rate_with_faults, ['QuotaTaken'], None),
    'overload': (_overload, ['Refused'], _SLOW),
    'cold': (_cold, ['TargetCapacity'], _COLD),
}


@pytest.mark.parametrize('name', _SCRIPTS)
def test_invariants_hold(name):
    script, required_events, specs = _SCRIPTS[name]
    history = systemtest.run(
        script, node_specs=specs, organisations=_RATE_LIMITS
    )
    counts = checks.count_events(history)
    assert [kind for kind in required_events if not counts.get(kind)] == []
    systemtest.assert_invariants_hold(history)
