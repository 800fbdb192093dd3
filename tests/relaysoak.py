"""Runs relay nodes as processes, with overlapping faults from a seed.

``make relay-soak SEED=7`` prints the faults, the requests by status and each
violation of a promise; it exits with 1 if there is any. The seed determines
faults and load, but not the interleaving of the processes.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import random
import signal
import sys

from tests import relayprocesses
from tests import relayrecord

_SECONDS = 30.0
_NODES = 5
_GRACE_S = 3.0
_STYLES = ('kept', 'new', 'pipelined', 'slow-reader', 'slow-sender')
_PLANNED = ('stop', 'roll', 'reload', 'config', 'target', 'store', 'limit')
_UNPLANNED = ('kill', 'pause')
_STORE_FAULTS = ('refuses', 'ignores_requests', 'loses_answers', 'restores')
# Time until the operator writes its rows again.
_WRITTEN_AGAIN_S = 1.0
# Limits that targets name, in calls a second, and for how long.
_LIMITS_PER_S = (0.0, 2.0, 8.5)
_LIMIT_S = 6.0
# Time from the word of a leave in answers to its report, at least.
_LATE_REPORT_S = 2.5
_ROLL_STEP_S = 0.4
# A longer stall of the event loop of callers and targets falsifies times.
_STALL_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault; ``nodes`` are indexes, and some kinds use only the first."""

    at_s: float
    kind: str
    nodes: tuple[int, ...]
    hold_s: float


def draw_faults(seed, seconds, count):
    """Draw series of faults that overlap; most series are planned work."""
    rng = random.Random(seed)
    faults = []
    start_s = rng.uniform(0.3, 1.0)
    while start_s < seconds:
        kinds = _PLANNED if rng.random() < 0.6 else _PLANNED + _UNPLANNED
        for _ in range(rng.randint(1, 5)):
            fault = Fault(
                start_s + rng.uniform(0.0, 2.0),
                rng.choice(kinds),
                tuple(rng.sample(range(count), rng.randint(1, count - 1))),
                rng.uniform(0.2, 2.0),
            )
            faults.append(fault)
        start_s += rng.uniform(3.0, 7.0)
    return sorted(faults, key=lambda fault: fault.at_s)


class _Injector:
    def __init__(self, fleet):
        self._fleet = fleet

    async def inject(self, fault):
        await asyncio.sleep(fault.at_s)
        machines = [self._fleet.machines[i] for i in fault.nodes]
        match fault.kind:
            case 'stop':
                await asyncio.gather(*map(self._replace, machines))
            case 'roll':
                for machine in machines:
                    self._fleet.spawn(self._replace(machine))
                    await asyncio.sleep(_ROLL_STEP_S)
            case 'reload':
                for machine in machines:
                    machine.send_signal(signal.SIGHUP)
            case 'config':
                self._fleet.put_next_document()
            case 'target':
                await machines[0].replace_target(_LATE_REPORT_S + fault.hold_s)
            case 'limit':
                await asyncio.gather(
                    *(
                        machine.name_limit(
                            _LIMITS_PER_S[i % len(_LIMITS_PER_S)],
                            _LIMIT_S + fault.hold_s,
                        )
                        for i, machine in enumerate(machines)
                    )
                )
            case 'store':
                await self._disrupt_store(fault)
            case 'kill' if machines[0].is_serving:
                await self._kill(machines[0], fault.hold_s)
            case 'pause':
                await self._pause(machines[0], fault.hold_s)

    async def _replace(self, machine):
        if machine.is_serving:
            await machine.stop_node()
            await machine.start_node()

    async def _disrupt_store(self, fault):
        store = self._fleet.store
        kind = _STORE_FAULTS[sum(fault.nodes) % len(_STORE_FAULTS)]
        if kind == 'restores':
            store.copy()
            await asyncio.sleep(fault.hold_s)
            store.restore()
            await asyncio.sleep(_WRITTEN_AGAIN_S)
            self._fleet.put_document()
            return
        store.refusal_status = 503 * (kind == 'refuses')
        store.ignores_requests = kind == 'ignores_requests'
        store.loses_answers = kind == 'loses_answers'
        await asyncio.sleep(fault.hold_s)
        store.refusal_status = 0
        store.ignores_requests = store.loses_answers = False

    async def _kill(self, machine, hold_s):
        disruption = self._fleet.record.disrupt(machine.name)
        process = machine.process
        machine.send_signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(hold_s)
        # A stop that began meanwhile starts the node itself.
        if machine.process is process:
            await machine.start_node()
        disruption.end_ms = relayrecord.now_ms()

    async def _pause(self, machine, hold_s):
        disruption = self._fleet.record.disrupt(machine.name)
        machine.send_signal(signal.SIGSTOP)
        await asyncio.sleep(hold_s)
        machine.send_signal(signal.SIGCONT)
        disruption.end_ms = relayrecord.now_ms()


async def _record_stalls(record):
    while True:
        stall = relayrecord.Disruption('', relayrecord.now_ms())
        await asyncio.sleep(0.02)
        stall.end_ms = relayrecord.now_ms()
        if stall.end_ms - stall.start_ms > _STALL_MS:
            record.disruptions.append(stall)


def run(seed, seconds, count):
    """Run nodes with the faults of a seed; return what was seen."""

    async def body(fleet):
        fleet.spawn(_record_stalls(fleet.record))
        for machine in fleet.machines:
            for style in (*_STYLES, 'kept', 'new'):
                fleet.start_caller(machine, style)
        injector = _Injector(fleet)
        faults = draw_faults(seed, seconds, count)
        await asyncio.gather(*map(injector.inject, faults))
        while not all(machine.is_serving for machine in fleet.machines):
            await asyncio.sleep(0.1)
        await asyncio.gather(*(m.stop_node() for m in fleet.machines))
        await fleet.finish_callers()

    return relayprocesses.run(body, count, _GRACE_S, seed, seconds + 45.0)


def summary(record):
    """Return what happened in numbers."""
    statuses = collections.Counter(c.status for c in record.calls if c.sent_ms)
    return {
        'statuses': dict(sorted(statuses.items())),
        'runs': len(record.runs),
        'processes': len(record.processes),
        'disruptions': collections.Counter(d.node for d in record.disruptions),
    }


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    parser.add_argument('--nodes', type=int, default=_NODES)
    options = parser.parse_args(argv)
    for fault in draw_faults(options.seed, options.seconds, options.nodes):
        print(fault)
    record = run(options.seed, options.seconds, options.nodes)
    violations = record.violations()
    print(json.dumps({'seed': options.seed, **summary(record)}))
    print('\n'.join([*violations, f'{len(violations)} violations']))
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
