"""A small fleet of nodes on a simulated platform, on loopback."""

import asyncio
import dataclasses
import json
import os
import random

import uvloop

from adapter import config
from adapter import process
from adapter import rolloutstatus
from adapter import settings as settings_module
from adapter import store as stores
from parsleystile import clock as clocks
from parsleystile.relay import httpclient
from parsleystile.relay import node as nodes
from parsleystile.relay import targetreports
from parsleystile.relay import telemetry
from parsleystile import transport
from stubs import platformstore
from stubs import platformtarget
from tests import asyncutil

KEY = 'a-key-of-households'
HOST = 'yard.example'


def document(version=1, **changes):
    """Return a configuration document of the operator."""
    data = {
        'version': f'{version:08x}',
        'services': [
            {'name': 'yard', 'max_connections': 50, 'cold_per_s': 40.0},
            {'name': 'stock', 'max_connections': 50, 'cold_per_s': 40.0},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100_000,
            'header_timeout': '3000ms',
            'idle_timeout': '15s',
        },
        'tenants': [
            {
                'name': 'households',
                'api_keys': [KEY],
                'rate_per_s': 1000,
                'burst': 1000,
                'priority': 1,
            }
        ],
        'virtual_hosts': [
            {
                'hostname': HOST,
                'paths': [
                    route('browse', '/stock/', 'safe'),
                    route('reserve', '/reserve/', 'unsafe'),
                    route('lookup', '/lookup/', 'safe', public=True),
                ],
            }
        ],
    }
    data.update(changes)
    return data


def route(name, prefix, kind, **fields):
    """Return a route of a host."""
    return {
        'name': name,
        'prefix': prefix,
        'type': kind,
        'timeout': '2s',
        'target_latency': '500ms',
        'priority': 1,
        'service': 'yard',
        'max_attempts': 2,
        **fields,
    }


class Machine:
    """A machine with a node and its target."""

    def __init__(self, fleet, name, domain):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.target = platformtarget.platform_target(f'i-{name}')
        self.log_path = os.devnull
        self.stop_ms = 6000.0
        self.lame_duck_ms = 3000.0
        self.sequence = 0
        self.node = None
        self.store_client = None
        self.caller = None

    async def start(self):
        """Start the target, then the node, on any free ports."""
        if not self.target.address[0]:
            await self.target.start('127.0.0.1')
        await self.start_node()

    async def start_node(self):
        """Start a new node for the running target."""
        own = self.fleet.free_host()
        settings = settings_module.Settings(
            node_id=self.name,
            own=own,
            domain=self.domain,
            region='r',
            domains=('a', 'b'),
            callers=transport.Address(own, 0),
            readiness=transport.Address(own, 0),
            reports=transport.Address(own, 0),
            first_port=0,
            last_port=0,
            target=transport.Address(*self.target.address),
            service='yard',
            store=transport.Address(*self.fleet.address),
            stop_ms=self.stop_ms,
            repeat_share=0.2,
            repeat_slack=48.0,
            repeat_window_ms=10_000.0,
        )
        clock = clocks.system_clock()
        rng = random.Random(self.name)
        descriptor = os.open(self.log_path, os.O_WRONLY | os.O_APPEND)
        recorder = telemetry.recorder(self.name, clock, descriptor)
        setup = dataclasses.replace(
            process.setup(settings), lame_duck_ms=self.lame_duck_ms
        )
        self.node = nodes.build_node(
            setup, config.decode, clock, rng, recorder
        )
        self.node.service = 'yard'
        self.store_client = stores.store_client(
            settings.store,
            self.node.state_sync,
            self.name,
            clock,
            rng,
            recorder,
        )
        self.node.state_sync.store = self.store_client
        self.status = rolloutstatus.rollout_status(
            settings.store,
            self.node.rollouts.on_row,
            clock,
            rng,
            recorder,
            self.node.state_sync,
        )
        self.node.rollouts.store = self.status
        self.store_client.on_restored = self.status.write_again
        await self.node.start()
        self.store_client.start()
        self.node.state_sync.publish()
        host, port = self.node.caller_address
        self.caller = httpclient.origin_client(
            host, port, clock, 'Parsleystile-Attempt-Id'
        )

    async def kill_node(self):
        """Stop the node without any announcement, as a crash does."""
        self.store_client.close()
        self.status.close()
        self.caller.close()
        await self.node.close()

    def report(self, state=targetreports.TargetState.READY, **fields):
        """Deliver a report of the target to the node."""
        self.sequence += 1
        data = {
            'target_id': self.target.target_id,
            'state': state,
            'started_ms': 1,
            'service': 'yard',
            'slots': 20,
            'sequence': self.sequence,
            **fields,
        }
        return self.node.handle_report(targetreports.Report(**data))

    async def call(
        self,
        path='/stock/x',
        call_id='c1',
        key=KEY,
        method='GET',
        body=b'',
        wait_ms=2000,
        extra='',
    ):
        """Send a request as a caller and return the result."""
        head = f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        if call_id:
            head += f'Parsleystile-Attempt-Id: {call_id}\r\n'
        head += f'Parsleystile-Request-Deadline: {wait_ms}\r\n'
        if key:
            head += f'Authorization: Bearer {key}\r\n'
        if body:
            head += f'Content-Length: {len(body)}\r\n'
        box = asyncutil.CallbackResult()
        data = (head + extra + '\r\n').encode() + body
        request = httpclient.OutboundRequest(
            data, call_id, is_head=method == 'HEAD'
        )
        self.caller.send(request, box.put)
        return await box.get()


class Fleet:
    """Machines that share one store."""

    def __init__(self):
        self.store = platformstore.platform_store()
        self.address = ('', 0)
        self.machines = []
        self._hosts = iter(range(2, 250))

    def free_host(self):
        """Return an unused loopback address."""
        return f'127.0.0.{next(self._hosts)}'

    async def start(
        self,
        count=2,
        serving=None,
        stop_ms=6000.0,
        log_path=os.devnull,
        era=None,
        **changes,
    ):
        """Start machines, the first half of them in domain a."""
        self.store.era = era
        self.address = await self.store.start()
        self.put_document(document(**changes))
        for i in range(count):
            domain = 'a' if i < (count + 1) // 2 else 'b'
            machine = Machine(self, f'n{i}', domain)
            machine.stop_ms = stop_ms
            machine.log_path = log_path
            machine.lame_duck_ms = stop_ms / 2
            self.machines.append(machine)
            await machine.start()
        await self.wait_settled()
        serving = range(count) if serving is None else serving
        for i in serving:
            self.machines[i].report()
        await self.wait_serving(len(serving))
        return self.machines

    def put_document(self, data):
        """Write a configuration to the store."""
        self.store.put('op', 'config', json.dumps(data).encode())

    async def wait_settled(self):
        """Wait until every node has a policy and knows all nodes."""
        count = len(self.machines)
        await asyncutil.wait_until(
            lambda: all(
                m.node.state_sync.policy
                and len(m.node.member_list.node_ids) == count
                for m in self.machines
            )
        )

    async def wait_serving(self, count):
        """Wait until every node knows a number of serving targets."""
        await asyncutil.wait_until(
            lambda: all(
                len(m.node.member_list.members_by_service().get('yard', ()))
                == count
                for m in self.machines
            )
        )

    def executed_ids(self):
        """Return the ids of all requests that ran, one per execution."""
        return [
            headers['parsleystile-attempt-id']
            for m in self.machines
            for headers in m.target.executed_headers
        ]

    async def close(self):
        """Stop all nodes, targets and the store."""
        for machine in self.machines:
            await machine.kill_node()
            machine.target.close()
        self.store.close()
        await asyncio.sleep(0)


def run_with_fleet(body, **fields):
    """Run a test body with a running fleet."""

    async def whole():
        fleet = Fleet()
        try:
            await fleet.start(**fields)
            await body(fleet)
        finally:
            await fleet.close()

    # The loop of the platform's process. asyncio's server, closed just after
    # it accepts a connection, leaves that connection open (Python 3.11).
    asyncutil.run(whole(), uvloop.new_event_loop)
