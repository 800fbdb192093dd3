"""System tests of configuration changes while the platform fails."""

import asyncio

import pytest

from parsleystile import checks
from tests import systemtest

_WITHDRAW = {'kind': 'withdraw-key', 'key_id': 'k2'}
_OUT = {'kind': 'take-domain-out', 'domain': 'd1'}
_BACK = {'kind': 'bring-domain-back', 'domain': 'd1'}


def _switch(name):
    return {'kind': 'switch-preset', 'name': name}


async def _withdraw(system):
    load = asyncio.create_task(system.load(5.5, 60))
    await asyncio.sleep(0.5)
    await system.submit_change(_WITHDRAW)
    await load


async def _withdraw_without_platform(system):
    load = asyncio.create_task(system.load(6.0, 60))
    system.set_platform_faults(outage='refuse')
    await asyncio.sleep(0.5)
    await system.submit_change(_WITHDRAW, via='stock0')
    await asyncio.sleep(1.0)
    system.set_platform_faults()
    await load


async def _domain_out(system):
    load = asyncio.create_task(system.load(7.0, 60))
    await asyncio.sleep(0.3)
    await system.submit_change(_OUT)
    await asyncio.sleep(4.5)
    await system.submit_change(_BACK)
    await load


async def _domain_out_while_paused(system):
    load = asyncio.create_task(system.load(6.0, 60))
    system.pause('stock1')
    await system.submit_change(_OUT)
    await asyncio.sleep(1.0)
    system.resume('stock1')
    await load


async def _concurrent_changes(system):
    load = asyncio.create_task(system.load(5.5, 30))
    system.set_platform_faults(lost_answer_share=0.4, delay_ms=20)
    for _ in range(3):
        await asyncio.gather(
            system.submit_change(_switch('peak'), via='reserve0'),
            system.submit_change(_switch('maintenance'), via='stock1'),
            system.submit_change(_switch('ordinary'), via='reserve1'),
        )
    system.set_platform_faults()
    await load


async def _kill_during_change(system):
    load = asyncio.create_task(system.load(6.0, 30))
    change = asyncio.create_task(
        system.submit_change(_switch('peak'), via='reserve0')
    )
    system.pause('stock0')
    system.kill('reserve1')
    await change
    await asyncio.sleep(0.5)
    system.resume('stock0')
    await system.replace('reserve1')
    await load


_SCRIPTS = {
    'key withdrawn': (_withdraw, ['KeyWithdrawn']),
    'key withdrawn without platform': (
        _withdraw_without_platform,
        ['KeyWithdrawn'],
    ),
    'domain out and back': (_domain_out, ['DomainOut', 'DomainIn']),
    'domain out while a node is paused': (
        _domain_out_while_paused,
        ['DomainOut'],
    ),
    'concurrent changes, answers lost': (
        _concurrent_changes,
        ['ConfigAccepted'],
    ),
    'kill and pause during a change': (
        _kill_during_change,
        ['ConfigAccepted'],
    ),
}


@pytest.mark.parametrize('name', _SCRIPTS)
def test_invariants_hold(name):
    script, required_events = _SCRIPTS[name]
    history = systemtest.run(script)
    counts = checks.count_events(history)
    assert [kind for kind in required_events if not counts.get(kind)] == []
    systemtest.assert_invariants_hold(history)
