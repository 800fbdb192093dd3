"""Services of several nodes in one process, on a manual clock."""

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
    """Delivers control requests to the other transports of one fleet.

    A transport that is cut loses messages; a paused one defers them until it
    resumes; a dead one gets neither requests nor replies.
    """

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._handlers = {}
        self._deferred = []
        fleet.network[address] = self
        self.is_cut = False
        self.is_dead = False
        self.is_paused = False

    def control(self, to, kind, payload, timeout_ms, on_reply):
        other = self._fleet.network.get(to.address)
        lost = errors.unknown(errors.Reason.LINK_LOST, 'lost')
        if other is None or self._loses_message_to(other):
            self._deliver(on_reply, lost)
            return

        def reply(answer):
            self._deliver(
                on_reply, lost if self._loses_message_to(other) else answer
            )

        other._deliver(lambda: other._handlers[kind](payload, reply))

    def resume(self):
        self.is_paused = False
        deferred, self._deferred = self._deferred, []
        for callback, arguments in deferred:
            self._deliver(callback, *arguments)

    def _loses_message_to(self, other):
        if other.is_dead or other.is_cut or self.is_cut:
            return True
        return self._fleet.rng.random() < self._fleet.message_loss_ratio

    def _deliver(self, callback, *arguments):
        if self.is_paused:
            self._deferred.append((callback, arguments))
        elif not self.is_dead:
            asyncio.get_running_loop().call_soon(callback, *arguments)

    def handle_control(self, kind, handler):
        self._handlers[kind] = handler

    def call(self, to, call, on_answer):
        raise NotImplementedError

    def send_datagram(self, to, payload):
        raise NotImplementedError

    def handle_datagrams(self, handler):
        raise NotImplementedError


class Fleet:
    """Nodes ``n0``, ``n1``, ..., one for each failure domain given."""

    def __init__(self, domains, make_service):
        self.clock = clock.manual_clock(1_000.0)
        self.table = tablestate.table_state()
        self.metrics = metrics.memory_metrics()
        self.members = [_member(i, d) for i, d in enumerate(domains)]
        self.transports = []
        self.services = []
        self.network = {}
        self.message_loss_ratio = 0.0
        self.rng = random.Random(7)
        self._make_service = make_service
        for index in range(len(domains)):
            self.transports.append(None)
            self.services.append(None)
            self.start(index)

    def start(self, index):
        """Start a process of the node; the previous one must be gone."""
        member = self.members[index]
        link = FakeTransport(self, member.link)
        identity = settings.Identity(
            node_id=member.node_id,
            vm=member.vm,
            region=member.region,
            failure_domain=member.failure_domain,
        )
        rows = memorytable.memory_table(self.table, identity.failure_domain)
        promises = promiseservice.promise_service(link, self.clock)
        rng = random.Random(f'{member.node_id}/{self.clock.now_ms()}')
        self.transports[index] = link
        self.services[index] = self._make_service(
            self, identity, rng, link, rows, promises
        )

    def kill(self, index):
        """Kill a process, which sends no more messages."""
        self.transports[index].is_dead = True

    async def run(self, for_ms, step_ms=20.0):
        until_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(step_ms)
            for service, link in zip(
                self.services, self.transports, strict=True
            ):
                if not link.is_dead and not link.is_paused:
                    service.tick(self.clock.now_ms())
            await self.run_callbacks()

    async def run_callbacks(self):
        for _ in range(12):
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
