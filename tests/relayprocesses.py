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
import tempfile
import urllib.parse

import uvloop

from stubs import platformstore
from stubs import platformtarget
from tests import noticerecord
from tests import platformfleet
from tests import relaycallers
from tests import relayrecord

_ROOT = pathlib.Path(__file__).parent.parent
CALLERS_PORT, _READINESS_PORT, _REPORTS_PORT = 7001, 7002, 7003
_LINK_PORT, _METRICS_PORT, _TARGET_PORT = 7004, 7005, 7006
_POLL_S = 0.02
_HEARTBEAT_S = 0.3
_SLOTS = 40
# A target that leaves serves for this long after its node acknowledged it.
_DRAIN_S = 1.0


def _host_prefix():
    # Concurrent test runs must not share addresses.
    high, low = divmod(os.getpid() % 62_500, 250)
    return f'127.{high + 1}.{low + 1}'


class Machine:
    """A machine with a node's process and a target."""

    def __init__(self, fleet, index):
        self.name = f'n{index}'
        self.host = f'{fleet.host_prefix}.{index + 10}'
        self.process = None
        self._domain = 'ab'[index % 2]
        self._fleet = fleet
        self.target = None
        # What the target says of itself in its answers.
        self._spell = None
        self._is_leaving = False
        self._is_replacing = False
        self._target_starts = 0
        self._sequence = 0
        self._working = 0
        self._is_listening = False
        self._asked_ms = 0.0

    async def start_target(self):
        fleet = self._fleet
        self._target_starts += 1
        name = f'i-{self.name}-{self._target_starts}'
        self.target = platformtarget.platform_target(name)
        self.target.custom_answer = lambda r: fleet.spawn(self._work(r))
        await self.target.start(self.host, _TARGET_PORT)
        self._is_leaving = False
        fleet.spawn(self._report_forever())

    async def name_limit(self, per_s, hold_s):
        """Let the target name a limit for a time."""
        if self._spell is not None:
            return
        spell = self._start_spell(per_s)
        self.target.notices = ['Server-Limit', str(per_s)]
        await asyncio.sleep(hold_s)
        if self._spell is spell:
            self._spell = None
            self.target.notices = []

    def _start_spell(self, limit_per_s):
        self._spell = noticerecord.Spell(self.target.target_id, limit_per_s)
        self._fleet.record.spells.append(self._spell)
        return self._spell

    async def replace_target(self, hold_s):
        """Let the target leave, then start another one.

        It says so in its answers first, and reports for a while that it is
        ready.
        """
        if self._is_leaving or self._is_replacing:
            return
        self._is_replacing = True
        self._start_spell(None)
        self.target.notices = ['Server-Leaving', '1']
        await asyncio.sleep(hold_s)
        await self.withdraw_target()
        await asyncio.sleep(_DRAIN_S)
        while self._working:
            await asyncio.sleep(_POLL_S)
        self.target.close()
        self._spell = None
        self._is_replacing = False
        await self.start_target()

    async def withdraw_target(self):
        """Report that the target drains, until its node knows."""
        self._is_leaving = True
        while not await self._report('draining'):
            await asyncio.sleep(_HEARTBEAT_S)

    async def _report_forever(self):
        while not self._is_leaving:
            await self._report('ready')
            await asyncio.sleep(_HEARTBEAT_S)

    async def _report(self, state):
        """Report the target's state; return whether it is acknowledged."""
        self._sequence += 1
        data = {
            'service': 'yard',
            'address': f'{self.host}:{_TARGET_PORT}',
            'slots': _SLOTS,
            'state': state,
            'sequence': self._sequence,
            'born': self._target_starts,
        }
        path = f'/v1/instances/{self.target.target_id}/heartbeat'
        address = self.host, _REPORTS_PORT
        try:
            async with asyncio.timeout(1.0):
                return await relaycallers.post(address, path, data) == 200
        except relaycallers.CLOSED:
            return False

    async def _work(self, request):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        names = [name.lower() for name in request.headers[::2]]
        headers = dict(zip(names, request.headers[1::2], strict=True))
        call_id = headers['parsleystile-attempt-id']
        self._fleet.record.runs.append(call_id)
        target = self.target
        if self._spell is not None:
            call = self._fleet.record.call(call_id)
            at_ms = relayrecord.now_ms()
            self._spell.arrive(
                noticerecord.Arrival(at_ms, call.node, call.sent_ms)
            )
        self._working += 1
        await asyncio.sleep(int(query['work_ms']) / 1e3)
        status = 200
        if query['children'] != '0':
            child = self._fleet.caller(self, 'child')
            await child.run_once()
            status = 200 if child.last_status == 200 else 500
        self._working -= 1
        answer_headers = ['Parsleystile-Attempt-Id', call_id]
        answer_headers += ['Parsleystile-Server-Signature', self.name]
        answer_headers += target.notices
        if self._spell is not None and target is self.target:
            node = self._fleet.record.call(call_id).node
            self._spell.tell(node, relayrecord.now_ms())
        body = relayrecord.expected_body(call_id, int(query['size']))
        request.answer(status, answer_headers, body)

    async def start_node(self):
        """Start the process; return when it listens."""
        path = self._fleet.directory / f'{self.name}.json'
        path.write_text(json.dumps(self._settings()))
        output = path.with_suffix('.log')
        with output.open('wb') as file:
            self.process = await asyncio.create_subprocess_exec(
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
        self._asked_ms = 0.0
        self._fleet.spawn(self._record_end(self.process, output))
        while not self._is_listening and self.process.returncode is None:
            await asyncio.sleep(_POLL_S)
            self._is_listening = await self._can_connect()

    async def _can_connect(self):
        address = self.host, _READINESS_PORT
        try:
            _, writer = await relaycallers.connect(address, self.host)
        except OSError:
            return False
        writer.close()
        return True

    def _settings(self):
        host = self.host
        store_host, store_port = self._fleet.store_address
        return {
            'node_name': self.name,
            'ip_address': host,
            'zone': self._domain,
            'region': 'r',
            'zones': {'a': 'r', 'b': 'r'},
            'listen_addresses': {
                'outbound': f'{host}:{CALLERS_PORT}',
                'ready': f'{host}:{_READINESS_PORT}',
                'control': f'{host}:{_REPORTS_PORT}',
            },
            'internal_port_range': [_LINK_PORT, _METRICS_PORT],
            'app_address': f'{host}:{_TARGET_PORT}',
            'service': 'yard',
            'platform': {'address': f'{store_host}:{store_port}'},
            'bounds': {'grace': f'{self._fleet.grace_s}s'},
            **self._fleet.settings,
        }

    async def _record_end(self, process, output):
        code = await process.wait()
        ended_ms = relayrecord.now_ms()
        self._fleet.record.forget_notices(self.name)
        self._is_listening = False
        self._fleet.record.processes.append(
            relayrecord.Process(
                self.name, self._asked_ms, ended_ms, code, output.read_text()
            )
        )

    @property
    def is_serving(self):
        """Whether the node listens and was not asked to stop."""
        return self._is_listening and not self._asked_ms

    def send_signal(self, number):
        """Send a signal to the node if it listens."""
        if self._is_listening and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop_node(self):
        """Stop the node as the platform does: SIGTERM, SIGKILL after grace."""
        process = self.process
        self.send_signal(signal.SIGTERM)
        self._asked_ms = relayrecord.now_ms()
        try:
            async with asyncio.timeout(self._fleet.grace_s):
                await process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await process.wait()


class Fleet:
    """Machines that share one store, and the record of a run.

    Attributes:
        settings: Further fields of the settings file of each node.
        limits: Limits on callers in the configuration, where they differ.
    """

    def __init__(self, directory, count, grace_s, seed):
        self.settings = {}
        self.limits = {}
        self.directory = directory
        self.grace_s = grace_s
        self.host_prefix = _host_prefix()
        self.record = relayrecord.Record(grace_s * 1e3)
        self.store = platformstore.platform_store()
        self.store.era = 0
        self.store_address = ('', 0)
        self.machines = [Machine(self, i) for i in range(count)]
        self._version = 0
        self._rng = random.Random(seed)
        self._callers = {}
        self._tasks = set()

    def spawn(self, work):
        """Run a coroutine until the fleet is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self):
        """Start everything; return when each node serves requests."""
        self.store_address = await self.store.start(f'{self.host_prefix}.1')
        self.put_next_document()
        for machine in self.machines:
            await machine.start_target()
            await machine.start_node()
        for machine in self.machines:
            caller = self.caller(machine, 'new')
            while caller.last_status != 200:
                await caller.run_once()
                await asyncio.sleep(_POLL_S)

    def put_next_document(self, keys=(platformfleet.KEY,)):
        """Write a new version of the configuration to the store."""
        self._version += 1
        self.put_document(keys)

    def put_document(self, keys=(platformfleet.KEY,)):
        """Write the newest version of the configuration, maybe again."""
        services = [
            {'name': 'yard', 'max_connections': 200, 'cold_per_s': 1e4}
        ]
        data = platformfleet.document(self._version, services=services)
        data['tenants'][0].update(
            rate_per_s=1e5, burst=1e5, api_keys=list(keys)
        )
        data['limits'].update(self.limits)
        for route in data['virtual_hosts'][0]['paths']:
            route['timeout'] = '6s'
        self.store.put('op', 'config', json.dumps(data).encode())

    def caller(self, machine, style):
        """Return a caller of a node; a child calls from its machine."""
        is_child = style == 'child'
        return relaycallers.Caller(
            self.record,
            machine.name,
            (machine.host, CALLERS_PORT),
            machine.host if is_child else f'{self.host_prefix}.2',
            random.Random(self._rng.random()),
            style,
        )

    def start_caller(self, machine, style):
        caller = self.caller(machine, style)
        task = asyncio.get_running_loop().create_task(caller.run())
        self._callers[caller] = task

    async def finish_callers(self):
        """Let all callers finish their current requests."""
        for caller in self._callers:
            caller.is_done = True
        await asyncio.gather(*self._callers.values())

    async def close(self):
        """End everything that was started."""
        for task in [*self._tasks, *self._callers.values()]:
            task.cancel()
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
            if machine.target:
                machine.target.close()
        self.store.close()
        await asyncio.sleep(0)


def run(body, count, grace_s, seed, timeout_s, settings=None, limits=None):
    """Run a body with a running fleet; return what was seen."""

    async def bounded():
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(pathlib.Path(directory), count, grace_s, seed)
            fleet.settings = settings or {}
            fleet.limits = limits or {}
            try:
                async with asyncio.timeout(timeout_s):
                    await fleet.start()
                    await body(fleet)
            finally:
                await fleet.close()
            return fleet.record

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())
