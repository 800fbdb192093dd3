"""Control planes on a simulated network and table, ticked by tests."""

import asyncio
import random

from parsleystile import clock as clocks
from parsleystile import controlplane
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile.gen import ttypes
from parsleystile import keys
from parsleystile import membership
from parsleystile import metrics
from parsleystile import transport
from stubs import gossipnetwork
from stubs import memorytable
from stubs import tablestate

SECRET = b's' * 32
_LOOP_TURNS_PER_TICK = 20


class MemoryTransport(transport.Transport):
    """Delivers at the next turn of the event loop unless partitioned."""

    def __init__(self, fleet: 'Fleet', address: transport.Address) -> None:
        self._fleet = fleet
        self._address = address
        self.controls: dict[str, transport.ControlHandler] = {}
        self.on_datagram: transport.DatagramHandler | None = None

    def call(
        self,
        to: transport.Peer,
        call: ttypes.Call,
        on_answer: transport.OnAnswer,
    ) -> transport.PendingCall:
        """Not used by a control plane."""
        raise NotImplementedError

    def control(
        self,
        to: transport.Peer,
        kind: str,
        payload: bytes,
        timeout_ms: float,
        on_reply: transport.OnControlReply,
    ) -> None:
        """Send a control request."""
        loop = asyncio.get_running_loop()
        peer = self._fleet.reachable_transport(self._address, to.address)
        if peer is None:
            refusal = errors.not_run(errors.Reason.UNREACHABLE, str(to))
            loop.call_soon(on_reply, refusal)
            return

        def reply(answer: bytes) -> None:
            loop.call_soon(on_reply, answer)

        loop.call_soon(peer.controls[kind], payload, reply)

    def handle_control(
        self, kind: str, handler: transport.ControlHandler
    ) -> None:
        """Serve control requests of one kind."""
        self.controls[kind] = handler

    def send_datagram(self, to: transport.Address, payload: bytes) -> None:
        """Send one datagram."""
        peer = self._fleet.reachable_transport(self._address, to)
        if peer is not None and peer.on_datagram is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(peer.on_datagram, payload, self._address)

    def handle_datagrams(self, handler: transport.DatagramHandler) -> None:
        """Set the handler of received datagrams."""
        self.on_datagram = handler


class ControlNode:
    """The control plane of one node and its applied configuration.

    Attributes:
        applied_versions: Every configuration version applied, in order.
    """

    def __init__(
        self,
        fleet: 'Fleet',
        node_id: str,
        domain: str,
        port: int,
        peers: tuple[transport.Address, ...],
    ) -> None:
        incarnation = int(fleet.clock.wall_ms())
        self.member = gossipnetwork.make_member(
            node_id, domain, port, incarnation
        )
        self.network = MemoryTransport(fleet, self.member.link)
        self.key_ring = keys.key_ring(SECRET)
        self.applied_versions: list[int] = []
        self.config = fleetconfig.FleetConfig()
        rng = random.Random(fleet.rng.getrandbits(32))
        self.machine = membership.membership(self.member, rng)
        self.plane = controlplane.control_plane(
            controlplane.Dependencies(
                machine=self.machine,
                key_ring=self.key_ring,
                put_in_force=self._apply_config,
                clock=fleet.clock,
                rng=rng,
                network=self.network,
                rows=memorytable.memory_table(fleet.table, domain),
                metrics=metrics.memory_metrics(),
                peers=peers,
            )
        )

    def _apply_config(self, config: fleetconfig.FleetConfig) -> None:
        self.applied_versions.append(config.version)
        self.config = config
        self.key_ring.load(config)
        event = membership.ConfigInForce(config.version, config.domains_out)
        self.plane.members.handle(event)


class Fleet:
    """Nodes that share a simulated clock, network and table.

    Attributes:
        partitions: Pairs of failure domains that cannot reach each other.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = clocks.manual_clock(1_000_000.0)
        self.table = tablestate.table_state(seed)
        self.nodes: dict[str, ControlNode] = {}
        self.partitions: set[frozenset[str]] = set()
        self._by_address: dict[transport.Address, ControlNode] = {}
        self._next_port = 1

    def add(
        self,
        node_id: str,
        domain: str,
        peers: tuple[transport.Address, ...] = (),
    ) -> ControlNode:
        """Start a node; it contacts ``peers`` if the table has no seeds."""
        node = ControlNode(self, node_id, domain, self._next_port, peers)
        self._next_port += 1
        self.nodes[node_id] = node
        self._by_address[node.member.link] = node
        return node

    def stop(self, node_id: str) -> None:
        """Stop a node without any announcement."""
        node = self.nodes.pop(node_id)
        del self._by_address[node.member.link]
        node.plane.close()

    def reachable_transport(
        self, sender: transport.Address, to: transport.Address
    ) -> MemoryTransport | None:
        """Return the transport at ``to``; None if unreachable."""
        source = self._by_address.get(sender)
        peer = self._by_address.get(to)
        if source is None or peer is None:
            return None
        domains = (source.member.failure_domain, peer.member.failure_domain)
        return None if frozenset(domains) in self.partitions else peer.network

    async def run(self, duration_ms: float) -> None:
        """Advance the simulation, ticking all nodes."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(membership.TICK_MS)
            for node in list(self.nodes.values()):
                node.plane.tick()
            for _ in range(_LOOP_TURNS_PER_TICK):
                await asyncio.sleep(0)

    def close(self) -> None:
        """Stop every node."""
        for node_id in list(self.nodes):
            self.stop(node_id)


async def fleet(sizes: dict[str, int], seed: int) -> Fleet:
    """Create a fleet whose nodes have discovered each other in the table."""
    created = Fleet(seed)
    for domain, size in sizes.items():
        for i in range(size):
            created.add(f'{domain}-{i}', domain)
    await created.run(8000)
    return created
