"""Real processes while operators make changes and the platform fails."""

import asyncio

import pytest

from parsleystile import checks
from tests import trial

_WITHDRAW = {'kind': 'withdraw-key', 'key_id': 'k2'}
_OUT = {'kind': 'take-domain-out', 'domain': 'd1'}
_BACK = {'kind': 'bring-domain-back', 'domain': 'd1'}


def _switch(name):
    return {'kind': 'switch-preset', 'name': name}


async def _withdraw(run):
    load = asyncio.create_task(run.load(5.5, 60))
    await asyncio.sleep(0.5)
    await run.change(_WITHDRAW)
    await load


async def _withdraw_without_platform(run):
    load = asyncio.create_task(run.load(6.0, 60))
    run.platform(outage='refuse')
    await asyncio.sleep(0.5)
    await run.change(_WITHDRAW, via='stock0')
    await asyncio.sleep(1.0)
    run.platform()
    await load


async def _domain_out(run):
    load = asyncio.create_task(run.load(7.0, 60))
    await asyncio.sleep(0.3)
    await run.change(_OUT)
    await asyncio.sleep(4.5)
    await run.change(_BACK)
    await load


async def _domain_out_while_paused(run):
    load = asyncio.create_task(run.load(6.0, 60))
    run.pause('stock1')
    await run.change(_OUT)
    await asyncio.sleep(1.0)
    run.resume('stock1')
    await load


async def _race(run):
    load = asyncio.create_task(run.load(5.5, 30))
    run.platform(lost_answer_share=0.4, delay_ms=20)
    for _ in range(3):
        await asyncio.gather(
            run.change(_switch('peak'), via='reserve0'),
            run.change(_switch('maintenance'), via='stock1'),
            run.change(_switch('ordinary'), via='reserve1'),
        )
    run.platform()
    await load


async def _kill_during_change(run):
    load = asyncio.create_task(run.load(6.0, 30))
    change = asyncio.create_task(run.change(_switch('peak'), via='reserve0'))
    run.pause('stock0')
    run.kill('reserve1')
    await change
    await asyncio.sleep(0.5)
    run.resume('stock0')
    await run.replace('reserve1')
    await load


_RUNS = {
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
    'operators race, answers lost': (_race, ['ConfigAccepted']),
    'kill and pause during a change': (
        _kill_during_change,
        ['ConfigAccepted'],
    ),
}


@pytest.mark.parametrize('name', _RUNS)
def test_promises_hold(name):
    script, needs = _RUNS[name]
    past = trial.run(script)
    seen = checks.evidence(past)
    assert [kind for kind in needs if not seen.get(kind)] == []
    trial.assert_holds(past)
