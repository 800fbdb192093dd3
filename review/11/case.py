"""A back end that left is used again after all nodes were killed."""

import asyncio
import contextlib
import pathlib
import sys
import time

import standins

# As for the site: the store is down, the processes are away, bounds.
_DOWN_S = 4.5
_AWAY_S = 2.0
_DRAIN_S = 2.0
_STABLE_S = 3.0
# How late the heartbeat is that was sent before the departure.
_LATE_S = 4.6
_PLAY_S = 2.0


class _Call:
    """A request of a client."""

    def __init__(self):
        self.attempt = standins.new_attempt()
        self.sent_s = time.monotonic()
        self.status = 0

    async def play(self, fleet, machine):
        head = standins.request_head('/safe/stock/a', self.attempt, 1000)
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(1.0):
                async with await standins.connect(
                    machine.outbound, fleet.client
                ) as connection:
                    connection.writer.write(standins.encode(*head))
                    answer = await standins.read_message(connection.reader)
                    self.status = 0 if answer is None else answer.status


async def _kill_all(fleet):
    fleet.record.note('all nodes are killed')
    for machine in fleet.machines:
        machine.restart_s = _AWAY_S
        machine.process.kill()


async def case(fleet):
    """Let a back end leave while the store is down, then kill all nodes."""
    record = fleet.record
    is_troubled = standins.is_troubled()
    machine = fleet.machines[0]
    target = machine.target
    await asyncio.sleep(_STABLE_S)
    late_beat = target.next_beat()
    sent_s = time.monotonic()
    record.note(f'{target.instance} sends a heartbeat that will be late')
    target.is_silent = True
    if is_troubled:
        await fleet.store.go_down()
        record.note('the store is down')
    down_s = time.monotonic()
    await asyncio.sleep(0.3)
    status = await target.deregister()
    acknowledged_s = time.monotonic()
    record.note(f'{target.instance} deregisters: {status}')
    if status != 200:
        record.note('its departure is not acknowledged, so nobody is bound')
        return []
    await asyncio.sleep(0.3)
    if is_troubled:
        await _kill_all(fleet)
    await asyncio.sleep(max(0.0, down_s + _DOWN_S - time.monotonic()))
    fleet.store.is_down = False
    record.note('the store serves')
    served_s = time.monotonic()
    await asyncio.sleep(max(0.0, sent_s + _LATE_S - time.monotonic()))
    status = await target.send_beat(late_beat)
    late_s = time.monotonic() - sent_s
    record.note(f'the heartbeat arrives, {late_s:.1f} s late: {status}')
    await _wait_ready(fleet)
    ready_s = time.monotonic()
    # All machines are in touch from then on.
    start_s = max(served_s, ready_s) + _STABLE_S + 0.3
    await asyncio.sleep(start_s - time.monotonic())
    calls = await _play(fleet)
    return _check(fleet, target, calls, acknowledged_s)


async def _wait_ready(fleet):
    for machine in fleet.machines:
        while not await machine.is_ready():
            await asyncio.sleep(0.05)


async def _play(fleet):
    calls, tasks = [], []
    until_s = time.monotonic() + _PLAY_S
    fleet.record.note('clients send requests')
    while time.monotonic() < until_s:
        for machine in fleet.machines:
            call = _Call()
            calls.append(call)
            tasks.append(fleet.spawn(call.play(fleet, machine)))
        await asyncio.sleep(0.1)
    await asyncio.wait(tasks)
    return calls


def _check(fleet, target, calls, acknowledged_s):
    sent = {call.attempt: call for call in calls}
    served = sum(call.status == 200 for call in calls)
    fleet.record.note(f'{served} of {len(calls)} requests served')
    late = [
        run.at_s - acknowledged_s
        for run in target.runs
        if run.attempt in sent and run.at_s > acknowledged_s + _DRAIN_S
    ]
    fleet.record.note(
        f'{len(late)} of them ran at {target.instance}, which had left'
    )
    if not late:
        return []
    return [
        f'DRAIN: {len(late)} requests ran at a back end {min(late):.1f} to'
        f' {max(late):.1f} s after its departure was acknowledged'
    ]


if __name__ == '__main__':
    sys.exit(
        standins.run(
            case,
            pathlib.Path(__file__).parent,
            [('a', 'stock'), ('a', 'stock'), ('b', 'stock'), ('c', 'stock')],
        )
    )
