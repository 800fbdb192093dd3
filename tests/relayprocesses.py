"""Relay nodes as processes, with a stub store and stub targets.

The store, the targets and the callers run in the event loop of the test.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import urllib.parse

from stubs import platformstore
from stubs import platformtarget
from tests import platformfleet
from tests import relaycallers
from tests import relayrecord

_ROOT = pathlib.Path(__file__).parent.parent
_CALLERS_PORT = 7001
_READINESS_PORT = 7002
_REPORTS_PORT = 7003
_LINK_PORT = 7004
_METRICS_PORT = 7005
_HEARTBEAT_S = 0.3
_SLOTS = 40


def _host_prefix() -> str:
    # Concurrent test runs must not share addresses.
    high, low = divmod(os.getpid() % 62_500, 250)
    return f'127.{high + 1}.{low + 1}'


class Machine:
    """A machine with a node's process and a target."""

    def __init__(self, fleet: 'Fleet', index: int) -> None:
        self.name = f'n{index}'
        self.host = f'{fleet.host_prefix}.{index + 10}'
        self.domain = 'ab'[index % 2]
        self.target: platformtarget.PlatformTarget | None = None
        self.process: asyncio.subprocess.Process | None = None
        self._fleet = fleet
        self._starts = 0
        self._sequence = 0
        self._asked_ms: float | None = None
        self._is_killed = False
        self._works: set[asyncio.Task[None]] = set()

    @property
    def callers_address(self) -> tuple[str, int]:
        return self.host, _CALLERS_PORT

    # The target.

    async def start_target(self) -> None:
        """Start a new target that reports to the node until it leaves."""
        self._starts += 1
        target = platformtarget.platform_target(
            f'i-{self.name}-{self._starts}'
        )
        target.custom_answer = self._start_work
        port = self.target.address[1] if self.target else 0
        await target.start(self.host, port)
        self.target = target
        self._fleet.spawn(self._report_forever(target))

    async def _report_forever(
        self, target: platformtarget.PlatformTarget
    ) -> None:
        while self.target is target:
            await self.report(target, 'ready')
            await asyncio.sleep(_HEARTBEAT_S)

    async def report(
        self, target: platformtarget.PlatformTarget, state: str
    ) -> None:
        """Report a state to the node, whether or not it is there."""
        self._sequence += 1
        data = {
            'service': 'yard',
            'address': f'{self.host}:{target.address[1]}',
            'slots': _SLOTS,
            'state': state,
            'sequence': self._sequence,
            'born': self._starts,
        }
        path = f'/v1/instances/{target.target_id}/heartbeat'
        try:
            async with asyncio.timeout(1.0):
                await relaycallers.post(self.host, _REPORTS_PORT, path, data)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return

    def _start_work(self, request: object) -> None:
        task = asyncio.get_running_loop().create_task(self._work(request))
        self._works.add(task)
        task.add_done_callback(self._works.discard)

    async def _work(self, request: object) -> None:
        entries = iter(request.headers)
        headers = {
            name.lower(): value
            for name, value in zip(entries, entries, strict=True)
        }
        call_id = headers['parsleystile-attempt-id']
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(request.path).query)
        )
        runs = self._fleet.record.runs
        runs.setdefault(call_id, []).append(relayrecord.now_ms())
        await asyncio.sleep(int(query['work_ms']) / 1e3)
        request.answer(
            200,
            [
                'Parsleystile-Attempt-Id',
                call_id,
                'Parsleystile-Server-Signature',
                f'signed-by-{self.name}',
            ],
            relayrecord.expected_body(call_id, int(query['size'])),
        )

    # The node.

    async def start_node(self) -> None:
        """Start the process of the node."""
        path = self._fleet.directory / f'{self.name}.json'
        path.write_text(json.dumps(self._settings()))
        output = self._fleet.directory / f'{self.name}.log'
        with output.open('wb') as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(_ROOT / 'platform' / 'main.py'),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=file,
                stderr=asyncio.subprocess.STDOUT,
                env={
                    **os.environ,
                    'PYTHONPATH': str(_ROOT / 'src'),
                    'PARSLEYSTILE_NODE_FILE': str(path),
                },
            )
        self.process = process
        self._asked_ms = None
        self._is_killed = False
        self._fleet.spawn(self._record_end(process, output))

    def _settings(self) -> dict[str, object]:
        host = self.host
        store_host, store_port = self._fleet.store_address
        return {
            'node_name': self.name,
            'ip_address': host,
            'zone': self.domain,
            'region': 'r',
            'zones': {'a': 'r', 'b': 'r'},
            'listen_addresses': {
                'outbound': f'{host}:{_CALLERS_PORT}',
                'ready': f'{host}:{_READINESS_PORT}',
                'control': f'{host}:{_REPORTS_PORT}',
            },
            'internal_port_range': [_LINK_PORT, _METRICS_PORT],
            'app_address': f'{host}:{self.target.address[1]}',
            'service': 'yard',
            'platform': {'address': f'{store_host}:{store_port}'},
            'bounds': {'grace': f'{self._fleet.grace_ms:.0f}ms'},
        }

    async def _record_end(
        self, process: asyncio.subprocess.Process, output: pathlib.Path
    ) -> None:
        code = await process.wait()
        self._fleet.record.processes.append(
            relayrecord.Process(
                self.name,
                relayrecord.now_ms(),
                code,
                output.read_text(errors='replace'),
                self._fleet.grace_ms,
                self._asked_ms,
                self._is_killed,
            )
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the node if it runs."""
        if self.process.returncode is not None:
            return
        self.process.send_signal(number)
        if number == signal.SIGTERM and self._asked_ms is None:
            self._asked_ms = relayrecord.now_ms()
        self._is_killed |= number == signal.SIGKILL

    async def stop_node(self) -> None:
        """Stop the node as the platform does: SIGTERM, SIGKILL after grace."""
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self._fleet.grace_ms / 1e3):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


class Fleet:
    """Machines that share one store, and the record of a run."""

    def __init__(
        self, directory: pathlib.Path, count: int, grace_ms: float, seed: int
    ) -> None:
        self.directory = directory
        self.grace_ms = grace_ms
        self.host_prefix = _host_prefix()
        self.record = relayrecord.Record()
        self.store = platformstore.platform_store()
        self.store_address = ('', 0)
        self.rng = random.Random(seed)
        self.machines = [Machine(self, i) for i in range(count)]
        self._callers: dict[relaycallers.Caller, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: object) -> None:
        """Run a coroutine until the fleet is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        """Start everything; return when each node serves requests."""
        self.store_address = await self.store.start(f'{self.host_prefix}.1')
        self.put_document(1)
        for machine in self.machines:
            await machine.start_target()
            await machine.start_node()
        await asyncio.gather(*map(self.wait_serving, self.machines))

    def put_document(self, version: int) -> None:
        """Write a version of the configuration to the store."""
        services = [
            {'name': 'yard', 'max_connections': 200, 'cold_per_s': 1e4}
        ]
        data = platformfleet.document(version, services=services)
        data['tenants'][0].update(rate_per_s=1e5, burst=1e5)
        self.store.put('op', 'config', json.dumps(data).encode())

    async def wait_serving(self, machine: Machine) -> None:
        """Wait until a node serves requests."""
        record = relayrecord.Record()
        while not (record.calls and record.calls[-1].status == 200):
            caller = self._caller(record, machine, 'new')
            caller.is_done = True
            await asyncio.sleep(0.05)
            await caller.run_once()

    def _caller(
        self, record: relayrecord.Record, machine: Machine, style: str
    ) -> relaycallers.Caller:
        return relaycallers.Caller(
            record,
            machine.name,
            machine.callers_address,
            f'{self.host_prefix}.2',
            random.Random(self.rng.random()),
            style,
        )

    def start_caller(self, machine: Machine, style: str) -> None:
        """Start a caller of a node."""
        caller = self._caller(self.record, machine, style)
        task = asyncio.get_running_loop().create_task(caller.run())
        self._callers[caller] = task

    async def finish_callers(self) -> None:
        """Let all callers finish their current requests."""
        for caller in self._callers:
            caller.is_done = True
        await asyncio.gather(*self._callers.values())

    async def close(self) -> None:
        """End everything that was started."""
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        for task in [*self._tasks, *self._callers.values()]:
            task.cancel()
        for machine in self.machines:
            if machine.target:
                machine.target.close()
        self.store.close()
        await asyncio.sleep(0)
