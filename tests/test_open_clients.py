"""Clients that keep no limit, against a node with little memory.

A node's process lives, stays within the memory that its settings name and
answers an ordinary request while the crowd is still there. Nothing here
depends on speed.
"""

import asyncio
import os

import pytest

from tests import opencrowd
from tests import relayprocesses

# The memory of the machine, which is the bound.
_MEMORY_MB = 100
# A node without callers opens fewer than 40.
_SPARE_DESCRIPTORS = 100
# Clients of each kind.
_CROWDS = {
    opencrowd.long_heads: 60,
    opencrowd.endless_heads: 60,
    opencrowd.many_headers: 400,
    opencrowd.empty_lines: 60,
    opencrowd.short_bodies: 40,
    opencrowd.short_pieces: 40,
    opencrowd.whole_bodies: 40,
    opencrowd.queued_bodies: 20,
    opencrowd.large_chunks: 40,
    opencrowd.tiny_chunks: 12,
    opencrowd.large_answers: 40,
}
# Time until the crowd's bytes are read and its whole requests sent on.
_SETTLE_S = 2.0


def _run(body, count=1):
    return relayprocesses.run(
        body,
        count=count,
        grace_s=3.0,
        seed=1,
        timeout_s=180.0,
        settings={'limits': {'memory_mb': _MEMORY_MB, 'max_fds': 4100}},
        limits={
            'max_header_bytes': opencrowd.HEADER_BYTES,
            'max_body_bytes': opencrowd.BODY_BYTES,
        },
    )


def _address(machine):
    return machine.host, relayprocesses.CALLERS_PORT


@pytest.mark.parametrize('kind', _CROWDS, ids=lambda kind: kind.__name__)
def test_a_node_outlives_a_crowd(kind):
    async def body(fleet):
        machine = fleet.machines[0]
        pid = machine.process.pid
        source = f'{fleet.host_prefix}.3'
        count = _CROWDS[kind]
        crowd = await opencrowd.connect_all(_address(machine), source, count)
        parts = [kind(i) for i in range(count)]
        await asyncio.gather(*map(opencrowd.Client.send, crowd, parts))
        await asyncio.sleep(_SETTLE_S)
        assert opencrowd.open_descriptors(pid) < count + _SPARE_DESCRIPTORS
        await opencrowd.ask_until_served(_address(machine), source, 'beside')
        for client in crowd:
            client.close()
        await opencrowd.ask_until_served(_address(machine), source, 'after')
        assert machine.process.returncode is None
        peak_bytes = opencrowd.peak_bytes(pid)
        print(f'{kind.__name__}: peak {peak_bytes / 1e6:.1f} MB')
        assert peak_bytes < _MEMORY_MB * 1e6
        os.kill(pid, 0)

    _run(body)


def test_a_refused_upload_is_told_that_it_did_not_run():
    async def body(fleet):
        machine = fleet.machines[0]
        source = f'{fleet.host_prefix}.3'
        crowd = await opencrowd.connect_all(_address(machine), source, 40)
        parts = [opencrowd.whole_bodies(i) for i in range(len(crowd))]
        await asyncio.gather(*map(opencrowd.Client.send, crowd, parts))
        found = [await client.first_status() for client in crowd]
        answers = [answer for answer in found if answer is not None]
        refused = [a for a in answers if a[0] != 200]
        assert answers
        assert refused
        for status, headers in refused:
            assert status == 503
            assert float(headers['retry-after']) > 0
        runs = [run for run in fleet.record.runs if run.startswith('crowd-')]
        assert len(runs) == len(set(runs)) == len(answers) - len(refused)

    _run(body)


def test_a_body_of_the_largest_size_is_served_in_calm():
    async def body(fleet):
        machine = fleet.machines[0]
        source = f'{fleet.host_prefix}.3'
        for kind in (opencrowd.whole_bodies, opencrowd.whole_chunks):
            data = b''.join(kind('calm'))
            found = await opencrowd.ask(_address(machine), source, data)
            assert found[0] == 200

    _run(body)


def test_a_body_of_64_mib_crosses_a_link_between_machines_of_200_mb():
    size = 64 * opencrowd.MIB

    async def body(fleet):
        machine = fleet.machines[0]
        await machine.withdraw_target()
        source = f'{fleet.host_prefix}.3'
        head = opencrowd.upload('large', f'Content-Length: {size}')
        data = head + bytes(size)
        found = await opencrowd.ask(_address(machine), source, data)
        assert found[0] == 200
        for machine in fleet.machines:
            peak_bytes = opencrowd.peak_bytes(machine.process.pid)
            print(f'{machine.name}: peak {peak_bytes / 1e6:.1f} MB')
            assert peak_bytes < 200e6

    relayprocesses.run(
        body,
        count=2,
        grace_s=3.0,
        seed=1,
        timeout_s=120.0,
        settings={'limits': {'memory_mb': 200}},
        limits={'max_body_bytes': size},
    )


def test_a_node_behind_several_others_outlives_their_crowds():
    async def body(fleet):
        *entries, behind = fleet.machines
        for machine in entries:
            await machine.withdraw_target()
        source = f'{fleet.host_prefix}.3'
        crowd = []
        for machine in entries:
            crowd += await opencrowd.connect_all(_address(machine), source, 10)
        parts = [opencrowd.whole_bodies(i) for i in range(len(crowd))]
        await asyncio.gather(*map(opencrowd.Client.send, crowd, parts))
        await opencrowd.ask_until_served(_address(entries[0]), source, 'x')
        for client in crowd:
            client.close()
        for machine in fleet.machines:
            assert machine.process.returncode is None
            peak_bytes = opencrowd.peak_bytes(machine.process.pid)
            print(f'{machine.name}: peak {peak_bytes / 1e6:.1f} MB')
            assert peak_bytes < _MEMORY_MB * 1e6

    _run(body, count=7)


def test_a_head_of_many_headers_is_carried_to_another_node():
    # More headers than fit into 512 strings, within the header limit.
    lines = [f'X-{i}: {i}' for i in range(400)]

    async def body(fleet):
        machine = fleet.machines[0]
        await machine.withdraw_target()
        source = f'{fleet.host_prefix}.3'
        path = '/stock/x?work_ms=0&size=1&children=0'
        data = opencrowd.head(path, 'many', *lines, method='GET') + b'\r\n'
        found = await opencrowd.ask(_address(machine), source, data)
        assert found[0] == 200

    relayprocesses.run(body, count=2, grace_s=3.0, seed=1, timeout_s=60.0)
