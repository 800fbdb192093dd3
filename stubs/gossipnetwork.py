"""A simulated network with faults for tests of membership."""

import dataclasses
import heapq
import random
import typing

from parsleystile import _gossip_messages as messages
from parsleystile import clock
from parsleystile import ids
from parsleystile import members
from parsleystile import membership
from parsleystile import transport

SAME_DOMAIN_DELAY_MS = 0.5
CROSS_DOMAIN_DELAY_MS = 1.5


@dataclasses.dataclass
class Node:
    """A node, its state machine and the actions it has returned."""

    address: transport.Address
    domain: str
    machine: membership.Membership
    is_dead: bool = False
    paused_until_ms: float = 0.0
    actions: list[membership.Action] = dataclasses.field(default_factory=list)


def make_member(
    node_id: str,
    domain: str,
    port: int,
    incarnation: int,
    service: str = 'stock',
) -> members.Member:
    """Return the record of a node at an example address."""
    address = transport.Address('10.0.0.1', port)
    return members.Member(
        ids.NodeId(node_id),
        ids.VmId(f'vm-{port}'),
        ids.RegionId('savo'),
        ids.FailureDomainId(domain),
        ids.ServiceName(service),
        20,
        address,
        address,
        ids.Incarnation(incarnation),
    )


class Network:
    """Simulates a lossy datagram network on a manual clock.

    Attributes:
        loss_ratio: Share of datagrams lost.
        duplicate_ratio: Share of datagrams delivered a second time, up to
            5 s later.
        partitions: Pairs of domains that cannot reach each other.
        tap: Called with each message that is sent, if set.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = clock.manual_clock(1_000_000.0)
        self.nodes: dict[str, Node] = {}
        self.loss_ratio = 0.0
        self.duplicate_ratio = 0.0
        self.partitions: set[frozenset[str]] = set()
        self.tap: typing.Callable[[Node, messages.Message], None] | None = None
        self._by_address: dict[transport.Address, Node] = {}
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._next_order = 0
        self._next_port = 1

    @property
    def now_ms(self) -> float:
        """Current simulated time."""
        return self.clock.now_ms()

    def add(
        self,
        node_id: str,
        domain: str,
        service: str = 'stock',
        port: int | None = None,
    ) -> Node:
        """Start or restart a node; it knows no other member.

        Args:
            node_id: The node.
            domain: Its failure domain.
            service: Service of its target.
            port: Port of a lost node; by default the node's own.
        """
        old = self.nodes.get(node_id)
        if port is None:
            port = old.address.port if old else self._next_port
            self._next_port += 0 if old else 1
        me = make_member(node_id, domain, port, int(self.now_ms), service)
        machine = membership.membership(
            me, random.Random(self.rng.getrandbits(32))
        )
        node = Node(me.gossip, domain, machine)
        if old:
            old.is_dead = True
        self.nodes[node_id] = node
        self._by_address[node.address] = node
        self._call_later(
            self.rng.random() * membership.TICK_MS, self._make_ticker(node)
        )
        return node

    def share_members(self) -> None:
        """Make all running nodes known to each other."""
        all_members = tuple(n.machine.local_member for n in self.live())
        for node in self.live():
            self.handle(node, membership.Learned(all_members))

    def live(self) -> list[Node]:
        """Return the running nodes."""
        return [n for n in self.nodes.values() if not n.is_dead]

    def handle(self, node: Node, event: membership.Event) -> None:
        """Pass an event to a node and execute its actions."""
        for action in node.machine.handle(event, self.now_ms):
            if isinstance(action, membership.Send):
                self._send(node, action)
            elif not isinstance(action, membership.MemberChanged):
                node.actions.append(action)

    def run(self, duration_ms: float) -> None:
        """Advance the simulation."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, callback = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_ms - self.now_ms))
            callback()
        self.clock.advance(end_ms - self.now_ms)

    def run_until(
        self, is_done: typing.Callable[[], bool], limit_ms: float
    ) -> float:
        """Advance until ``is_done`` or the limit; return the time passed."""
        start_ms = self.now_ms
        while not is_done() and self.now_ms - start_ms < limit_ms:
            self.run(50.0)
        return self.now_ms - start_ms

    def _call_later(
        self, delay_ms: float, callback: typing.Callable[[], None]
    ) -> None:
        self._next_order += 1
        event = (self.now_ms + delay_ms, self._next_order, callback)
        heapq.heappush(self._events, event)

    def _make_ticker(self, node: Node) -> typing.Callable[[], None]:
        def callback() -> None:
            if node.is_dead:
                return
            if node.paused_until_ms > self.now_ms:
                self._call_later(node.paused_until_ms - self.now_ms, callback)
                return
            self.handle(node, membership.Tick())
            self._call_later(membership.TICK_MS, callback)

        return callback

    def _send(self, sender: Node, send: membership.Send) -> None:
        if self.tap:
            self.tap(sender, send.message)
        receiver = self._by_address.get(send.to)
        if receiver is None or sender.is_dead:
            return
        is_same_domain = receiver.domain == sender.domain
        delay_ms = (
            SAME_DOMAIN_DELAY_MS if is_same_domain else CROSS_DOMAIN_DELAY_MS
        ) * self.rng.uniform(0.8, 2)
        if self.rng.random() >= self.loss_ratio:
            self._deliver(sender, send, delay_ms)
        if self.rng.random() < self.duplicate_ratio:
            self._deliver(sender, send, self.rng.uniform(0, 5000))

    def _deliver(
        self, sender: Node, send: membership.Send, delay_ms: float
    ) -> None:
        def callback() -> None:
            receiver = self._by_address[send.to]
            pair = frozenset((sender.domain, receiver.domain))
            if receiver.is_dead or pair in self.partitions:
                return
            if receiver.paused_until_ms > self.now_ms:
                self._call_later(
                    receiver.paused_until_ms - self.now_ms, callback
                )
                return
            received = membership.Received(send.message, sender.address)
            self.handle(receiver, received)

        self._call_later(delay_ms, callback)


def network(
    sizes: typing.Mapping[str, int], seed: int, service: str = 'stock'
) -> Network:
    """Create a network of nodes that know each other.

    Args:
        sizes: Number of nodes by failure domain.
        seed: Seed of the simulation.
        service: Service of the target of each node.
    """
    created = Network(seed)
    for domain, size in sizes.items():
        for i in range(size):
            created.add(f'{domain}-{i}', domain, service)
    created.share_members()
    return created
