"""Lets a node that cannot read the table learn part owners from its peers.

A peer's answer serves only to locate owners. Ownership itself is decided by
leases, and an owner checks its own lease before it acts as one.
"""

import random
import typing

import msgspec

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import ids
from parsleystile import ownership
from parsleystile import parts
from parsleystile import transport

MAP_KIND = 'owner-map/'
REQUEST_PERIOD_MS = 1_000.0
_TIMEOUT_MS = 500.0


class PartOwner(msgspec.Struct, frozen=True, array_like=True):
    """The owner of a part, as last read from the table."""

    shard: int
    part: int
    owner: ids.NodeId


class MapReply(msgspec.Struct, frozen=True, array_like=True):
    """Owners known to the answering node; empty if it knows none."""

    owners: list[PartOwner]


class OwnerMapSync:
    """Requests the owners of one kind of parts from peers, and serves them."""

    def __init__(
        self,
        owner: ownership.Ownership,
        network: transport.Transport,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._ownership = owner
        self._network = network
        self._rng = rng
        self._kind = MAP_KIND + owner.part_map.layout.prefix
        self._next_request_ms = clock.now_ms() + REQUEST_PERIOD_MS
        network.handle_control(self._kind, self._on_request)

    def tick(
        self,
        peers: typing.Collection[transport.Peer],
        now_ms: float,
    ) -> None:
        """Send a request if one is due and the table was never read.

        Args:
            peers: The other members.
            now_ms: The current time in ms.
        """
        if self._ownership.part_map.read_at_ms is not None or not peers:
            return
        if now_ms < self._next_request_ms:
            return
        self._next_request_ms = now_ms + REQUEST_PERIOD_MS
        self._network.control(
            self._rng.choice(list(peers)),
            self._kind,
            b'',
            _TIMEOUT_MS,
            self._on_reply,
        )

    def _on_request(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        owners = [
            PartOwner(part.shard, part.part, name)
            for part, name in self._ownership.part_map.part_owners().items()
        ]
        reply(msgspec.msgpack.encode(MapReply(owners)))

    def _on_reply(self, payload: bytes | errors.Refusal) -> None:
        if isinstance(payload, errors.Refusal):
            return
        try:
            reply = msgspec.msgpack.decode(payload, type=MapReply)
        except msgspec.DecodeError:
            return
        self._ownership.part_map.learn_owners(
            {parts.PartId(o.shard, o.part): o.owner for o in reply.owners}
        )


def owner_map_sync(
    owner: ownership.Ownership,
    network: transport.Transport,
    clock: clocks.Clock,
    rng: random.Random,
) -> OwnerMapSync:
    """Create the owner map exchange of one kind of parts.

    Args:
        owner: Ownership state of the parts.
        network: Carries control requests.
        clock: This node's clock.
        rng: Chooses the peer.
    """
    return OwnerMapSync(owner, network, clock, rng)
