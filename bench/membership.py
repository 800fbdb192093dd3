"""Cost of membership per node, and dissemination times of changes.

Fleets of three sizes run on a simulated network with a manual clock. A
single node with simulated peers is measured at fleet sizes up to the target
size.
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
# Share of the fleet that fails at once.
MASS_LOSS = 0.2
SINGLE_NODE_SIZES = (768, 2400, 6200)
WARM_UP_MS = 3000.0
SINGLE_NODE_DURATION_S = 30
# 880 restarts a day with three updates each (leave, death and start), and
# 6 crashes with two.
UPDATES_PER_S = (880 * 3 + 6 * 2) / 86_400
BYTES_TARGET = 26_000.0
CPU_TARGET_MS = 17.0
IN_FORCE_TARGET_MS = 16_000.0
SERVICE = ids.ServiceName('stock')


def _sizes(total: int) -> dict[str, int]:
    return {domain: total // len(DOMAINS) for domain in DOMAINS}


def _is_removed_everywhere(
    network: gossipnetwork.Network, removed: set[str]
) -> typing.Callable[[], bool]:
    def check() -> bool:
        return not any(
            m.node_id in removed
            for node in network.live()
            for m in node.machine.members_of(SERVICE)
        )

    return check


def _is_removed_somewhere(
    network: gossipnetwork.Network, removed: set[str]
) -> typing.Callable[[], bool]:
    def check() -> bool:
        return any(
            not removed & {m.node_id for m in node.machine.members_of(SERVICE)}
            for node in network.live()
        )

    return check


def _version_rollout_ms(network: gossipnetwork.Network) -> float:
    """Return the time until all nodes apply a version of one node."""
    first = network.nodes['b1-0']
    version = ids.ConfigVersion(7)
    network.handle(first, membership.ConfigInForce(version))
    applied = {first.machine.local_member.node_id}

    def fetch() -> bool:
        for node in network.live():
            node_id = node.machine.local_member.node_id
            was_notified = any(
                isinstance(a, membership.FetchConfig) for a in node.actions
            )
            if was_notified and node_id not in applied:
                applied.add(node_id)
                network.handle(node, membership.ConfigInForce(version))
        return len(applied) == len(network.live())

    return network.run_until(fetch, 60_000)


def _measure_fleet(total: int) -> typing.Iterator[bench.Result]:
    prefix = f'membership.fleet{total}'
    network = gossipnetwork.network(_sizes(total), SEED, SERVICE)
    network.run(WARM_UP_MS)
    removed = {'a1-1'}
    network.nodes['a1-1'].is_dead = True
    first_ms = network.run_until(
        _is_removed_somewhere(network, removed), 20_000
    )
    remaining_ms = network.run_until(
        _is_removed_everywhere(network, removed), 20_000
    )
    yield bench.Result(f'{prefix}.death_detected', first_ms, 'ms')
    yield bench.compare(
        f'{prefix}.death_known_everywhere',
        first_ms + remaining_ms,
        'ms',
        IN_FORCE_TARGET_MS,
    )
    in_force_ms = _version_rollout_ms(network)
    yield bench.compare(
        f'{prefix}.version_in_force_everywhere',
        in_force_ms,
        'ms',
        IN_FORCE_TARGET_MS,
    )
    leaver = network.nodes['b2-0']
    network.handle(leaver, membership.Leave())
    leave_ms = network.run_until(
        _is_removed_everywhere(network, {'b2-0'}), 20_000
    )
    yield bench.Result(f'{prefix}.leave_known_everywhere', leave_ms, 'ms')
    leaver.is_dead = True
    rack = {f'a2-{i}' for i in range(total // len(DOMAINS) // 3)}
    for node_id in rack:
        network.nodes[node_id].is_dead = True
    rack_ms = network.run_until(_is_removed_everywhere(network, rack), 60_000)
    yield bench.Result(f'{prefix}.rack_known_everywhere', rack_ms, 'ms')
    lost = set(
        network.rng.sample(
            sorted(n.machine.local_member.node_id for n in network.live()),
            int(total * MASS_LOSS),
        )
    )
    for node_id in lost:
        network.nodes[node_id].is_dead = True
    mass_ms = network.run_until(_is_removed_everywhere(network, lost), 60_000)
    yield bench.Result(f'{prefix}.mass_loss_known_everywhere', mass_ms, 'ms')
    healthy = {n.machine.local_member.node_id for n in network.live()}
    evicted = {
        m
        for n in network.live()
        for m in healthy
        if n.machine.get(m).state is members.MemberState.DEAD
    }
    yield bench.Result(f'{prefix}.healthy_evicted', len(evicted), 'members')
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

    def views_agree() -> bool:
        return all(
            {m.node_id for m in n.machine.members_of(SERVICE)} == before
            for n in network.live()
        )

    healed_ms = network.run_until(views_agree, 60_000)
    yield bench.Result(f'{prefix}.views_agree_after_cut', healed_ms, 'ms')


@dataclasses.dataclass
class _Meter:
    sent: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    received: int = 0


class _SingleNode:
    """A node with simulated peers, which answer and ping at its own rate."""

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
        self._pending_updates = 0.0

    def run(self, seconds: int) -> None:
        for tick in range(seconds * 10):
            now_ms = tick * 100.0
            self._measure(lambda at=now_ms: self._tick(at))
            arrived, self._incoming = self._incoming, []
            for datagram, peer in arrived:
                self.meter.received += 1
                self.meter.received_bytes += len(datagram)
                self._measure(
                    lambda d=datagram, p=peer, at=now_ms: self._receive(
                        d, p, at
                    )
                )

    def _measure(self, operation: typing.Callable[[], list]) -> None:
        start_ns = time.process_time_ns()
        sent = operation()
        self.cpu_ns += time.process_time_ns() - start_ns
        for to, datagram in sent:
            self.meter.sent += 1
            self.meter.sent_bytes += len(datagram)
            self._simulate_peer(to, datagram)

    def _tick(self, now_ms: float) -> list:
        return self._encode(self.machine.handle(membership.Tick(), now_ms))

    def _receive(
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

    def _simulate_peer(self, to: typing.Any, datagram: bytes) -> None:
        """Answer a ping, and mirror pings and digest offers."""
        peer = self.by_address[to]
        message = gossipcodec.decode(self.authenticator.verify(datagram))
        match message.body:
            case messages.Ping(sequence=sequence):
                self._enqueue(peer, messages.Ack(sequence))
                self._enqueue(peer, messages.Ping(sequence + 7))
            case messages.DigestOffer():
                self._enqueue(peer, message.body)

    def _enqueue(self, peer: members.Member, body: messages.Body) -> None:
        updates = ()
        # Each update arrives once as new, and in about ten more datagrams.
        self._pending_updates += UPDATES_PER_S / 2
        if self._pending_updates >= 1:
            self._pending_updates -= 1
            member = self._rng.choice(self.peers[1:])
            updates = (messages.Update(member),)
        message = messages.Message(
            peer.node_id, peer.incarnation, 0, body, updates
        )
        signed = self.authenticator.sign(gossipcodec.encode(message))
        self._incoming.append((signed, peer))


def _measure_single_node(total: int) -> typing.Iterator[bench.Result]:
    prefix = f'membership.node_of_{total}'
    single_node = _SingleNode(total)
    single_node.run(5)
    single_node.meter, single_node.cpu_ns = _Meter(), 0
    single_node.run(SINGLE_NODE_DURATION_S)
    meter = single_node.meter
    datagrams = (meter.sent + meter.received) / SINGLE_NODE_DURATION_S
    sent_bytes = meter.sent_bytes / SINGLE_NODE_DURATION_S
    received_bytes = meter.received_bytes / SINGLE_NODE_DURATION_S
    yield bench.Result(f'{prefix}.datagrams', datagrams, '1/s')
    yield bench.compare(
        f'{prefix}.bytes_both_ways',
        sent_bytes + received_bytes,
        'B/s',
        BYTES_TARGET,
    )
    yield bench.compare(
        f'{prefix}.cpu',
        single_node.cpu_ns / 1e6 / SINGLE_NODE_DURATION_S,
        'ms/s',
        CPU_TARGET_MS,
    )


def _memory_per_member(total: int) -> bench.Result:
    encoded = gossipcodec.encode_view(_SingleNode(total).peers)
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
    """Measure single nodes and fleets of several sizes."""
    for total in SINGLE_NODE_SIZES:
        yield from _measure_single_node(total)
        yield _memory_per_member(total)
    for total in FLEET_SIZES:
        yield from _measure_fleet(total)
