"""Services of several nodes in one process, on a clock that is driven."""

import asyncio
import random

from parsleystile import clock
from parsleystile import errors
from parsleystile import ids
from parsleystile import members
from parsleystile import metrics
from parsleystile import promiseservice
from parsleystile import settings
from parsleystile import transport
from stubs import memorytable
from stubs import tablestate


class FakeTransport(transport.Transport):
    """Delivers control requests to the other fakes of one network."""

    def __init__(self, network, address):
        self._network = network
        self._handlers = {}
        network[address] = self
        self.is_cut = False

    def control(self, to, kind, payload, timeout_ms, on_reply):
        other = self._network.get(to)
        loop = asyncio.get_running_loop()
        if other is None or other.is_cut or self.is_cut:
            lost = errors.unknown(errors.Reason.LINK_LOST, 'cut')
            loop.call_soon(on_reply, lost)
            return
        handler = other._handlers[kind]

        def reply(answer):
            loop.call_soon(on_reply, answer)

        loop.call_soon(handler, payload, reply)

    def handle_control(self, kind, handler):
        self._handlers[kind] = handler

    def call(self, to, call, on_answer):
        raise NotImplementedError

    def send_datagram(self, to, payload):
        raise NotImplementedError

    def handle_datagrams(self, handler):
        raise NotImplementedError


class Fleet:
    """Nodes ``n0``, ``n1``, ... one for each failure domain given."""

    def __init__(self, domains, make_service):
        self.clock = clock.manual_clock(1_000.0)
        self.table = tablestate.table_state()
        self.metrics = metrics.memory_metrics()
        self.members = [_member(i, d) for i, d in enumerate(domains)]
        self.transports = []
        self.services = []
        network = {}
        for member in self.members:
            link = FakeTransport(network, member.link)
            self.transports.append(link)
            identity = settings.Identity(
                node_id=member.node_id,
                vm=member.vm,
                region=member.region,
                failure_domain=member.failure_domain,
            )
            rows = memorytable.memory_table(
                self.table, identity.failure_domain
            )
            promises = promiseservice.promise_service(link, self.clock)
            rng = random.Random(member.node_id)
            service = make_service(self, identity, rng, link, rows, promises)
            self.services.append(service)

    async def run(self, for_ms, step_ms=20.0):
        until_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(step_ms)
            for service in self.services:
                service.tick(self.clock.now_ms())
            await self.settle()

    async def settle(self):
        for _ in range(30):
            await asyncio.sleep(0)


def _member(index, domain):
    address = transport.Address('127.0.0.1', index + 1)
    return members.Member(
        ids.NodeId(f'n{index}'),
        ids.VmId(f'vm{index}'),
        ids.RegionId('r'),
        ids.FailureDomainId(domain),
        ids.ServiceName('s'),
        1,
        address,
        address,
        ids.Incarnation(1),
    )
