"""Roll-outs on a simulated platform."""

import asyncio
import json
import os
import random

import pytest

from adapter import config
from adapter import rolloutrows
from parsleystile import clock as clocks
from parsleystile.relay import policy
from parsleystile.relay import telemetry
from tests import asyncutil
from tests import platformfleet


def _order(target='v2', duration='12s', service='yard'):
    value = {'service': service, 'target': target, 'duration': duration}
    return json.dumps(value).encode()


def _rows():
    descriptor = os.open(os.devnull, os.O_WRONLY)
    recorder = telemetry.recorder('n1', clocks.system_clock(), descriptor)
    return rolloutrows.rollout_rows(recorder), recorder


def test_an_order_reaches_the_policy():
    rows, _ = _rows()
    rows.put('rollout/yard', 7, _order())
    document = json.dumps(platformfleet.document()).encode()
    decoded = config.decode(config.encode(document, ['b'], rows.orders))
    expected = policy.Rollout('yard', 7, 'v2', 12_000.0)
    assert decoded.rollouts == {'yard': expected}
    assert decoded.domains_out == {'b'}


def test_without_an_order_the_payload_is_as_before():
    document = json.dumps(platformfleet.document()).encode()
    assert b'rollouts' not in config.encode(document, ['b'])


@pytest.mark.parametrize(
    'value',
    [
        b'{',
        b'{"service":"yard","target":"v2"}',
        _order(target=''),
        _order(duration='soon'),
        _order(service='stock'),
    ],
)
def test_a_row_that_cannot_be_read_costs_nothing_else(value):
    rows, recorder = _rows()
    rows.put('rollout/stock', 6, _order(service='stock'))
    rows.put('rollout/yard', 7, _order())
    rows.put('rollout/yard', 8, value)
    assert [order.service for order in rows.orders] == ['stock']
    assert b'kind="rollout-orders-rejected"} 1' in recorder.metrics_page()


def test_an_order_that_a_restored_store_gets_again_is_the_same_order():
    rows, _ = _rows()
    rows.put('rollout/yard', 7, _order())
    rows.begin()
    assert rows.orders == []
    rows.put('rollout/yard', 3, _order(), is_restored=True)
    assert rows.orders[0].order == 7
    rows.begin()
    rows.put('rollout/yard', 3, _order())
    assert rows.orders[0].order == 7
    rows.put('rollout/yard', 9, _order())
    assert rows.orders[0].order == 9


def test_an_order_after_a_restore_is_later_though_versions_went_back():
    rows, _ = _rows()
    rows.put('rollout/yard', 700, _order(), era=1)
    before = rows.orders[0].order
    rows.begin()
    rows.put('rollout/yard', 3, _order('v3'), era=2, is_restored=True)
    assert rows.orders[0].order > before
    assert rolloutrows.row_version(rows.orders[0].order) == 3


def test_an_order_that_the_copy_lacks_stays_while_the_store_settles():
    rows, _ = _rows()
    rows.put('rollout/yard', 7, _order())
    document = json.dumps(platformfleet.document()).encode()
    accepted = config.encode(document, [], rows.orders)
    copy = config.encode(document, [])
    assert config.combine(copy, accepted, False, False) == copy
    kept = config.combine(copy, accepted, False, True)
    assert config.decode(kept).rollouts['yard'].order == 7


class _Load:
    """Callers that send to all nodes until told to stop."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.statuses = []
        self.is_on = True

    async def run(self):
        i = 0
        while self.is_on:
            i += 1
            machine = self._fleet.machines[i % len(self._fleet.machines)]
            path, key = '/lookup/x', ''
            if i % 3 == 0:
                path, key = '/stock/x', platformfleet.KEY
            answer = await machine.call(path=path, call_id=f'c{i}', key=key)
            self.statuses.append(getattr(answer, 'status', answer))
            await asyncio.sleep(0.002)


def _start_new_targets(fleet, first):
    for machine in fleet.machines[first:]:
        machine.report(version='v2')


def _status(fleet, service='yard'):
    value = fleet.store.value('status', f'rollout/{service}')
    return None if value is None else json.loads(value)


def _ran(machines):
    return sum(len(m.target.executed_headers) for m in machines)


def _run_rollout(
    duration, until, check, spoil=lambda machine: None, count=6, **changes
):
    """Order a roll-out from the first half of the machines to the second."""

    async def body(fleet):
        half = count // 2
        old, new = fleet.machines[:half], fleet.machines[half:]
        for machine in old:
            machine.report(version='v1')
        load = _Load(fleet)
        async with asyncio.TaskGroup() as group:
            for _ in range(4):
                group.create_task(load.run())
            await asyncio.sleep(0.2)
            fleet.store.copy()
            fleet.store.put('op', 'rollout/yard', _order(duration=duration))
            await asyncutil.wait_until(
                lambda: all(
                    m.node.rollouts.progress_of('yard') for m in fleet.machines
                )
            )
            _start_new_targets(fleet, half)
            for machine in new:
                spoil(machine)
            await asyncutil.wait_until(
                lambda: (_status(fleet) or {}).get('state') == until
            )
            await check(fleet, old, new, load)
            load.is_on = False

    platformfleet.run_with_fleet(
        body, count=count, serving=list(range(count // 2)), **changes
    )


def test_a_good_version_gets_everything_and_old_targets_are_idle():
    async def check(fleet, old, new, load):
        # The platform ends the old targets as soon as it reads the row.
        before = _ran(old)
        for machine in old:
            assert machine.node.guard.in_flight == 0
            machine.target.close()
        await asyncio.sleep(0.5)
        assert _ran(old) == before
        assert _ran(new) > 0
        assert set(load.statuses) == {200}
        assert _status(fleet) == {'state': 'completed', 'target': 'v2'}

    _run_rollout('4s', 'completed', check)


def test_a_version_that_fails_is_rolled_back_within_its_share():
    def spoil(machine):
        rng = random.Random(machine.name)
        target = machine.target

        def answer(request):
            headers = dict(
                zip(request.headers[::2], request.headers[1::2], strict=True)
            )
            name = 'Parsleystile-Attempt-Id'
            names = [name, headers[name]]
            status = 500 if rng.random() < 0.5 else 200
            request.answer(status, names, b'')

        target.custom_answer = answer

    async def check(fleet, old, new, load):
        total = _ran(fleet.machines)
        assert _ran(new) <= 0.1 * total + 50
        await asyncio.sleep(0.1)
        before = _ran(new)
        await asyncio.sleep(0.5)
        assert _ran(new) == before
        assert _status(fleet) == {'state': 'rolled_back', 'target': 'v2'}

    _run_rollout('8s', 'rolled_back', check, spoil)


def test_a_verdict_that_the_copy_lacks_is_written_again():
    async def check(fleet, old, new, load):
        orders = {m.node.rollouts.progress_of('yard').order for m in new}
        fleet.store.restore()
        assert _status(fleet) is None
        # The operator writes its order again, at another version.
        for i in range(40):
            fleet.store.put('other', f'r{i}', b'')
        fleet.store.put('op', 'rollout/yard', _order('v2', '4s'))
        await asyncutil.wait_until(lambda: _status(fleet) is not None)
        assert _status(fleet) == {'state': 'completed', 'target': 'v2'}
        await asyncio.sleep(0.3)
        after = {m.node.rollouts.progress_of('yard') for m in new}
        assert {progress.order for progress in after} == orders

    _run_rollout('4s', 'completed', check, era=1)
