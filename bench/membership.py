"""What membership costs a node, and how fast news travels.

Fleets of three sizes run over a network in memory with a manual clock; a
single node is measured at sizes up to the target's with its peers played.
"""

import dataclasses
import gc
import random
import time
import tracemalloc
import typing

import bench
from parsleystile import _gossip_messages as messages
from parsleystile import gossipcodec
from parsleystile import ids
from parsleystile import members
from parsleystile import membership
from stubs import gossipnetwork

SEED = 1
DOMAINS = ('a1', 'a2', 'a3', 'b1', 'b2', 'b3')
FLEET_SIZES = (48, 192, 1002)
# Share of the fleet lost at once.
MASS_LOSS = 0.2
SOLO_SIZES = (768, 2400, 6200)
SETTLE_MS = 3000.0
SOLO_S = 30
# 880 restarts a day, each a leave, a death and a start, and 6 deaths.
NEWS_PER_S = (880 * 3 + 6 * 2) / 86_400
BYTES_TARGET = 26_000.0
CPU_TARGET_MS = 17.0
IN_FORCE_TARGET_MS = 16_000.0
SERVICE = ids.ServiceName('stock')


def _sizes(total: int) -> dict[str, int]:
    return {domain: total // len(DOMAINS) for domain in DOMAINS}


def _is_unused(
    network: gossipnetwork.Network, gone: set[str]
) -> typing.Callable[[], bool]:
    def check() -> bool:
        return not any(
            m.node_id in gone
            for node in network.live()
            for m in node.machine.members_of(SERVICE)
        )

    return check


def _first_view(
    network: gossipnetwork.Network, gone: set[str]
) -> typing.Callable[[], bool]:
    def check() -> bool:
        return any(
            not gone & {m.node_id for m in node.machine.members_of(SERVICE)}
            for node in network.live()
        )

    return check


def _put_in_force(network: gossipnetwork.Network) -> float:
    """Return how long a version takes that one node has accepted."""
    first = network.nodes['b1-0']
    version = ids.ConfigVersion(7)
    network.handle(first, membership.ConfigInForce(version))
    has_it = {first.machine.local_member.node_id}

    def fetch() -> bool:
        for node in network.live():
            node_id = node.machine.local_member.node_id
            is_told = any(
                isinstance(a, membership.FetchConfig) for a in node.actions
            )
            if is_told and node_id not in has_it:
                has_it.add(node_id)
                network.handle(node, membership.ConfigInForce(version))
        return len(has_it) == len(network.live())

    return network.run_until(fetch, 60_000)


def _spread(total: int) -> typing.Iterator[bench.Result]:
    head = f'membership.fleet{total}'
    network = gossipnetwork.network(_sizes(total), SEED, SERVICE)
    network.run(SETTLE_MS)
    gone = {'a1-1'}
    network.nodes['a1-1'].is_dead = True
    first_ms = network.run_until(_first_view(network, gone), 20_000)
    rest_ms = network.run_until(_is_unused(network, gone), 20_000)
    yield bench.Result(f'{head}.death_detected', first_ms, 'ms')
    yield bench.compare(
        f'{head}.death_known_everywhere',
        first_ms + rest_ms,
        'ms',
        IN_FORCE_TARGET_MS,
    )
    in_force_ms = _put_in_force(network)
    yield bench.compare(
        f'{head}.version_in_force_everywhere',
        in_force_ms,
        'ms',
        IN_FORCE_TARGET_MS,
    )
    leaver = network.nodes['b2-0']
    network.handle(leaver, membership.Leave())
    leave_ms = network.run_until(_is_unused(network, {'b2-0'}), 20_000)
    yield bench.Result(f'{head}.leave_known_everywhere', leave_ms, 'ms')
    leaver.is_dead = True
    rack = {f'a2-{i}' for i in range(total // len(DOMAINS) // 3)}
    for node_id in rack:
        network.nodes[node_id].is_dead = True
    rack_ms = network.run_until(_is_unused(network, rack), 60_000)
    yield bench.Result(f'{head}.rack_known_everywhere', rack_ms, 'ms')
    lost = set(
        network.rng.sample(
            sorted(n.machine.local_member.node_id for n in network.live()),
            int(total * MASS_LOSS),
        )
    )
    for node_id in lost:
        network.nodes[node_id].is_dead = True
    mass_ms = network.run_until(_is_unused(network, lost), 60_000)
    yield bench.Result(f'{head}.mass_loss_known_everywhere', mass_ms, 'ms')
    healthy = {n.machine.local_member.node_id for n in network.live()}
    evicted = {
        m
        for n in network.live()
        for m in healthy
        if n.machine.get(m).state is members.MemberState.DEAD
    }
    yield bench.Result(f'{head}.healthy_evicted', len(evicted), 'members')
    before = {n.machine.local_member.node_id for n in network.live()}
    cut = frozenset(('a', 'b'))
    network.partitions = {
        frozenset((x, y))
        for x in DOMAINS
        for y in DOMAINS
        if frozenset((x[0], y[0])) == cut
    }
    network.run(8000)
    network.partitions = set()

    def agree() -> bool:
        return all(
            {m.node_id for m in n.machine.members_of(SERVICE)} == before
            for n in network.live()
        )

    healed_ms = network.run_until(agree, 60_000)
    yield bench.Result(f'{head}.views_agree_after_cut', healed_ms, 'ms')


@dataclasses.dataclass
class _Meter:
    sent: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    received: int = 0


class _Solo:
    """One node whose peers answer at once and ping it as often."""

    def __init__(self, total: int) -> None:
        self._rng = random.Random(SEED)
        self.peers = [
            gossipnetwork.make_member(
                f'{DOMAINS[i % len(DOMAINS)]}-yard-stock-{i}',
                DOMAINS[i % len(DOMAINS)],
                i + 1,
                1_790_000_000_000,
                f'service-{i % 350}',
            )
            for i in range(total)
        ]
        self.me = self.peers[0]
        self.by_address = {m.gossip: m for m in self.peers}
        self.machine = membership.membership(self.me, self._rng)
        self.machine.handle(membership.Learned(tuple(self.peers)), 0.0)
        self.authenticator = gossipcodec.authenticator(b's' * 32)
        self.meter = _Meter()
        self.cpu_ns = 0
        self._incoming: list[tuple[bytes, members.Member]] = []
        self._news_debt = 0.0

    def run(self, seconds: int) -> None:
        for tick in range(seconds * 10):
            now_ms = tick * 100.0
            self._do(lambda at=now_ms: self._tick(at))
            arrived, self._incoming = self._incoming, []
            for datagram, peer in arrived:
                self.meter.received += 1
                self.meter.received_bytes += len(datagram)
                self._do(
                    lambda d=datagram, p=peer, at=now_ms: self._take(d, p, at)
                )

    def _do(self, work: typing.Callable[[], list]) -> None:
        start_ns = time.process_time_ns()
        sent = work()
        self.cpu_ns += time.process_time_ns() - start_ns
        for to, datagram in sent:
            self.meter.sent += 1
            self.meter.sent_bytes += len(datagram)
            self._play(to, datagram)

    def _tick(self, now_ms: float) -> list:
        return self._encode(self.machine.handle(membership.Tick(), now_ms))

    def _take(
        self, datagram: bytes, peer: members.Member, now_ms: float
    ) -> list:
        message = gossipcodec.decode(self.authenticator.verify(datagram))
        event = membership.Received(message, peer.gossip)
        return self._encode(self.machine.handle(event, now_ms))

    def _encode(self, actions: list[membership.Action]) -> list:
        return [
            (a.to, self.authenticator.sign(gossipcodec.encode(a.message)))
            for a in actions
            if isinstance(a, membership.Send)
        ]

    def _play(self, to: typing.Any, datagram: bytes) -> None:
        """Answer a ping, and ping or offer digests likewise."""
        peer = self.by_address[to]
        message = gossipcodec.decode(self.authenticator.verify(datagram))
        match message.body:
            case messages.Ping(sequence=sequence):
                self._queue(peer, messages.Ack(sequence))
                self._queue(peer, messages.Ping(sequence + 7))
            case messages.DigestOffer():
                self._queue(peer, message.body)

    def _queue(self, peer: members.Member, body: messages.Body) -> None:
        updates = ()
        # News arrives once as such and in some ten further datagrams.
        self._news_debt += NEWS_PER_S / 2
        if self._news_debt >= 1:
            self._news_debt -= 1
            member = self._rng.choice(self.peers[1:])
            updates = (messages.Update(member),)
        message = messages.Message(
            peer.node_id, peer.incarnation, 0, body, updates
        )
        signed = self.authenticator.sign(gossipcodec.encode(message))
        self._incoming.append((signed, peer))


def _solo(total: int) -> typing.Iterator[bench.Result]:
    head = f'membership.node_of_{total}'
    solo = _Solo(total)
    solo.run(5)
    solo.meter, solo.cpu_ns = _Meter(), 0
    solo.run(SOLO_S)
    meter = solo.meter
    datagrams = (meter.sent + meter.received) / SOLO_S
    sent_bytes = meter.sent_bytes / SOLO_S
    received_bytes = meter.received_bytes / SOLO_S
    yield bench.Result(f'{head}.datagrams', datagrams, '1/s')
    yield bench.compare(
        f'{head}.bytes_both_ways',
        sent_bytes + received_bytes,
        'B/s',
        BYTES_TARGET,
    )
    yield bench.compare(
        f'{head}.cpu', solo.cpu_ns / 1e6 / SOLO_S, 'ms/s', CPU_TARGET_MS
    )


def _memory(total: int) -> bench.Result:
    encoded = gossipcodec.encode_view(_Solo(total).peers)
    gc.collect()
    tracemalloc.start()
    learned = gossipcodec.decode_view(encoded)
    machine = membership.membership(learned[0], random.Random(SEED))
    machine.handle(membership.Learned(learned), 0.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return bench.Result(
        f'membership.node_of_{total}.memory_per_member', used / total, 'B'
    )


def run() -> typing.Iterator[bench.Result]:
    """Measure fleets and single nodes of growing sizes."""
    for total in SOLO_SIZES:
        yield from _solo(total)
        yield _memory(total)
    for total in FLEET_SIZES:
        yield from _spread(total)
