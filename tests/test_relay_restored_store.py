"""Nodes as processes whose store comes back from a copy."""

import asyncio
import itertools

from tests import platformfleet
from tests import relaycallers
from tests import relayprocesses

_POLL_S = 0.05
_WITHDRAWN, _NEW = 'a-withdrawn-key', 'a-new-key'
_CALLERS_PORT = 7001
_call_ids = itertools.count(1)


async def _status(machine, key):
    """Send a request; return its status, 0 before the node listens."""
    address = (machine.host, _CALLERS_PORT)
    try:
        reader, writer = await relaycallers.connect(address, machine.host)
    except ConnectionRefusedError:
        return 0
    try:
        writer.write(
            f'GET /stock/x?work_ms=1&size=3&children=0 HTTP/1.1\r\n'
            f'Host: {platformfleet.HOST}\r\n'
            f'Parsleystile-Attempt-Id: {next(_call_ids)}\r\n'
            f'Parsleystile-Request-Deadline: 2000\r\n'
            f'Authorization: Bearer {key}\r\n\r\n'.encode()
        )
        return (await relaycallers.read_answer(reader))[0]
    finally:
        writer.close()


async def _wait_statuses(machines, key, status):
    for machine in machines:
        while await _status(machine, key) != status:
            await asyncio.sleep(_POLL_S)


def test_a_restored_store_is_followed_and_gets_back_what_it_lost():
    async def body(fleet):
        fleet.put_next_document((platformfleet.KEY, _WITHDRAWN))
        await _wait_statuses(fleet.machines, _WITHDRAWN, 200)
        fleet.store.copy()
        for machine in fleet.machines:
            fleet.store.change_copy('nodes', machine.name, None)
        fleet.put_next_document()
        await _wait_statuses(fleet.machines, _WITHDRAWN, 401)
        fleet.store.restore()
        # Their rows are read by nodes that start.
        for machine in fleet.machines:
            while fleet.store.value('nodes', machine.name) is None:
                await asyncio.sleep(_POLL_S)
        restarted = fleet.machines[0]
        await restarted.stop_node()
        await restarted.start_node()
        await _wait_statuses([restarted], platformfleet.KEY, 200)
        for machine in fleet.machines:
            assert await _status(machine, _WITHDRAWN) == 401
        fleet.put_next_document((platformfleet.KEY, _NEW))
        await _wait_statuses(fleet.machines, _NEW, 200)
        await _wait_statuses(fleet.machines, _WITHDRAWN, 401)

    relayprocesses.run(body, 3, 3.0, 1, 40.0)
