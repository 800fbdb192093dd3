"""Latency, messages and table writes of claims on idempotency keys.

Three nodes, one for each failure domain, run in one process with real links
on the loopback interface. One claim is in flight at a time, so that times
include no queueing.
"""

import asyncio
import dataclasses
import random
import time
import typing

from hdrh import histogram

import bench
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import exchange
from parsleystile import gossipsocket
from parsleystile import idempotency
from parsleystile import idempotencyservice
from parsleystile import ids
from parsleystile import link
from parsleystile import members
from parsleystile import metrics
from parsleystile import nettransport
from parsleystile import promiseservice
from parsleystile import settings
from parsleystile import ticker
from parsleystile import transport
from stubs import memorytable
from stubs import tablestate

CLAIMS = 2_000
WARM_UP_S = 6.0
IDLE_S = 5.0
TARGET_ADDED_P99_MS = 0.37
_HOST = '127.0.0.1'
_MAX_FRAME_BYTES = 1_048_576
_NS_PER_MS = 1e6
_ANSWER = exchange.Answer(201, ['Content-Type', 'text/plain'], b'x' * 200)


class _CountingTransport(transport.Transport):
    """Counts control messages and their bytes."""

    def __init__(self, inner: transport.Transport) -> None:
        self._inner = inner
        self.messages = 0
        self.sent_bytes = 0

    def control(
        self,
        to: transport.Peer,
        kind: str,
        payload: bytes,
        timeout_ms: float,
        on_reply: transport.OnControlReply,
    ) -> None:
        """Send a control request."""

        def counted(reply: object) -> None:
            if isinstance(reply, bytes):
                self.messages += 1
                self.sent_bytes += len(reply)
            on_reply(reply)

        self.messages += 1
        self.sent_bytes += len(payload)
        self._inner.control(to, kind, payload, timeout_ms, counted)

    def handle_control(
        self, kind: str, handler: transport.ControlHandler
    ) -> None:
        """Serve control requests of one kind."""
        self._inner.handle_control(kind, handler)

    def call(self, to: object, call: object, on_answer: object) -> None:
        """Not used by this benchmark."""
        raise NotImplementedError

    def send_datagram(self, to: object, payload: bytes) -> None:
        """Not used by this benchmark."""
        raise NotImplementedError

    def handle_datagrams(self, handler: object) -> None:
        """Not used by this benchmark."""
        raise NotImplementedError


@dataclasses.dataclass(slots=True)
class _Node:
    service: idempotencyservice.IdempotencyService
    network: _CountingTransport
    links: link.Links


class _Fleet:
    """Three nodes on one event loop."""

    def __init__(self) -> None:
        self.table = tablestate.table_state()
        self.members: list[members.Member] = []
        self.nodes: list[_Node] = []
        self._clock = clocks.system_clock()
        self._ticker = ticker.ticker(self._clock)

    async def start(self) -> None:
        for index, domain in enumerate('abc'):
            await self._start_one(index, domain)
        self._ticker.every(idempotencyservice.TICK_MS, self._tick)
        await asyncio.sleep(WARM_UP_S)

    async def stop(self) -> None:
        self._ticker.close()
        for node in self.nodes:
            await node.links.close()

    async def _start_one(self, index: int, domain: str) -> None:
        node_id = ids.NodeId(f'n{index}')
        sink = metrics.memory_metrics()
        wheel: deadlines.DeadlineWheel = self._ticker.wheel
        links = link.links(
            link.LinkSettings(node_id, b'secret', _MAX_FRAME_BYTES),
            self._clock,
            wheel,
            sink,
        )
        address = await links.listen(_HOST, 0)
        inner = nettransport.net_transport(
            links, gossipsocket.gossip_socket(b'secret', sink)
        )
        network = _CountingTransport(inner)
        identity = settings.Identity(
            node_id=node_id,
            vm=ids.VmId(node_id),
            region=ids.RegionId('r'),
            failure_domain=ids.FailureDomainId(domain),
        )
        self.members.append(
            members.Member(
                node_id,
                identity.vm,
                identity.region,
                identity.failure_domain,
                ids.ServiceName('s'),
                1,
                address,
                address,
                ids.Incarnation(1),
            )
        )
        service = idempotencyservice.idempotency_service(
            identity,
            self._clock,
            random.Random(index),
            network,
            memorytable.memory_table(self.table, domain),
            sink,
            lambda: self.members,
            promiseservice.promise_service(network, self._clock),
        )
        self.nodes.append(_Node(service, network, links))

    def _tick(self) -> None:
        for node in self.nodes:
            node.service.tick(self._clock.now_ms())

    async def claim(self, number: int) -> idempotency.Decision:
        service = self.nodes[number % len(self.nodes)].service
        decided = asyncio.get_running_loop().create_future()
        service.claim(
            ids.OrganisationId('o'),
            ids.RouteId('r'),
            f'key-{number}',
            ids.RootId(f'root-{number}'),
            'fingerprint',
            self._clock.now_ms() + 2_000.0,
            decided.set_result,
        )
        return await decided

    def totals(self) -> tuple[int, int]:
        messages = sum(node.network.messages for node in self.nodes)
        sent = sum(node.network.sent_bytes for node in self.nodes)
        return messages, sent


async def _measure() -> list[bench.Result]:
    fleet = _Fleet()
    await fleet.start()
    idle_from = (fleet.table.counts.rows_written, time.process_time())
    await asyncio.sleep(IDLE_S)
    idle_rows = (fleet.table.counts.rows_written - idle_from[0]) / IDLE_S
    idle_cpu = (time.process_time() - idle_from[1]) / IDLE_S
    latencies = histogram.HdrHistogram(1, 60_000_000_000, 3)
    before = (*fleet.totals(), fleet.table.counts.rows_written)
    cpu, began = time.process_time(), time.perf_counter()
    for number in range(CLAIMS):
        started_ns = time.perf_counter_ns()
        decision = await fleet.claim(number)
        latencies.record_value(time.perf_counter_ns() - started_ns)
        if not isinstance(decision, idempotency.Proceed):
            raise RuntimeError(f'claim {number}: {decision}')
        service = fleet.nodes[number % len(fleet.nodes)].service
        service.report_outcome(decision.claim, _ANSWER)
    spent_s = time.perf_counter() - began
    cpu_s = time.process_time() - cpu - idle_cpu * spent_s
    after = (*fleet.totals(), fleet.table.counts.rows_written)
    await fleet.stop()
    rows = after[2] - before[2]
    p50, p99 = (
        latencies.get_value_at_percentile(p) / _NS_PER_MS for p in (50, 99)
    )
    return [
        bench.compare('claim.p50', p50, 'ms', TARGET_ADDED_P99_MS),
        bench.compare('claim.p99', p99, 'ms', TARGET_ADDED_P99_MS),
        bench.Result('claim.cpu_all_nodes', cpu_s / CLAIMS * 1e6, 'us'),
        bench.Result(
            'claim.messages', (after[0] - before[0]) / CLAIMS, '1/claim'
        ),
        bench.Result('claim.sent', (after[1] - before[1]) / CLAIMS, 'B/claim'),
        bench.Result('claim.rate', CLAIMS / spent_s, 'claims/s'),
        bench.Result('claim.rows_written', rows / spent_s, '1/s'),
        bench.Result('claim.rows_written_idle', idle_rows, '1/s'),
        bench.Result('claim.per_row_written', CLAIMS / max(rows, 1), 'claims'),
    ]


def run() -> typing.Iterator[bench.Result]:
    """Measure the time, messages and table writes of a claim."""
    yield from asyncio.run(_measure())
