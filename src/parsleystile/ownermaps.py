"""Lets a node that cannot read the table learn owners from its peers.

What a peer tells is only used to find owners; who owns what is settled by
leases, and an owner that lends or decides checks its own.
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
    """An owner as last seen in the table."""

    shard: int
    part: int
    owner: ids.NodeId


class MapReply(msgspec.Struct, frozen=True, array_like=True):
    """Owners as the answering node knows them; empty if it does not."""

    owners: list[PartOwner]


class OwnerMapSync:
    """Asks peers for one map of owners and answers them."""

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
        addresses: typing.Collection[transport.Address],
        now_ms: float,
    ) -> None:
        """Ask a peer, if the table was never read and it is time to."""
        if self._ownership.part_map.read_at_ms is not None or not addresses:
            return
        if now_ms < self._next_request_ms:
            return
        self._next_request_ms = now_ms + REQUEST_PERIOD_MS
        self._network.control(
            self._rng.choice(list(addresses)),
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
    """Create the map of one kind of parts at one node."""
    return OwnerMapSync(owner, network, clock, rng)
