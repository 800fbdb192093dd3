"""Planned stops of relay nodes with slow requests or a frozen process."""

import asyncio
import json
import signal

from tests import platformfleet
from tests import relaycallers
from tests import relayprocesses
from tests import relayrecord

_GRACE_S = 6.0
_TIMEOUT = '10s'


def _put_slow_routes(fleet):
    document = platformfleet.document(
        9,
        services=[{'name': 'yard', 'max_connections': 200, 'cold_per_s': 1e4}],
        virtual_hosts=[
            {
                'hostname': platformfleet.HOST,
                'paths': [
                    platformfleet.route(
                        'reserve', '/reserve/', 'unsafe', timeout=_TIMEOUT
                    )
                ],
            }
        ],
    )
    document['tenants'][0].update(rate_per_s=1e5, burst=1e5)
    fleet.store.put('op', 'config', json.dumps(document).encode())


async def _call(fleet, machine, call_id, work_ms):
    address = machine.host, relayprocesses.CALLERS_PORT
    reader, writer = await relaycallers.connect(
        address, f'{fleet.host_prefix}.2'
    )
    writer.write(
        f'POST /reserve/x?work_ms={work_ms}&size=9&children=0 HTTP/1.1\r\n'
        f'Host: {platformfleet.HOST}\r\n'
        f'Parsleystile-Attempt-Id: {call_id}\r\n'
        'Parsleystile-Request-Deadline: 9000\r\n'
        f'Authorization: Bearer {platformfleet.KEY}\r\n'
        'Content-Length: 3\r\n\r\n123'.encode()
    )
    status, _, _ = await relaycallers.read_answer(reader)
    writer.close()
    return status


def test_requests_sent_late_in_a_stop_are_refused_and_open_ones_served():
    early, late = {}, {}

    async def body(fleet):
        _put_slow_routes(fleet)
        await asyncio.sleep(0.5)
        stopping = fleet.machines[:4]

        async def call(statuses, machine, number, work_ms):
            key = f'{machine.name}-{len(statuses)}-{number}'
            statuses[key] = None
            statuses[key] = await _call(fleet, machine, key, work_ms)

        # They keep the nodes from ending before the late ones.
        held = [
            asyncio.ensure_future(call(early, m, 0, 4_500)) for m in stopping
        ]
        await asyncio.sleep(0.3)
        for machine in stopping:
            machine.send_signal(signal.SIGTERM)
            machine._asked_ms = relayrecord.now_ms()
        await asyncio.sleep(3.02)
        await asyncio.gather(
            *(call(late, m, n, 2_500) for m in stopping for n in range(6))
        )
        await asyncio.gather(*held)
        for machine in stopping:
            await machine.process.wait()

    relayprocesses.run(body, count=5, grace_s=_GRACE_S, seed=1, timeout_s=25.0)
    assert set(early.values()) == {200}
    assert set(late.values()) == {503}


def test_an_answer_that_is_ready_when_a_frozen_node_wakes_is_delivered():
    statuses = {}

    async def body(fleet):
        _put_slow_routes(fleet)
        await asyncio.sleep(0.5)
        frozen = fleet.machines[0]
        calls = [
            asyncio.ensure_future(_call(fleet, frozen, f'c{i}', 400))
            for i in range(6)
        ]
        await asyncio.sleep(0.15)
        stopping = asyncio.ensure_future(frozen.stop_node())
        await asyncio.sleep(0.1)
        frozen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3.35)
        frozen.send_signal(signal.SIGCONT)
        for i, call in enumerate(calls):
            statuses[i] = await call
        await stopping

    relayprocesses.run(body, count=3, grace_s=4.0, seed=1, timeout_s=25.0)
    assert set(statuses.values()) == {200}, statuses
