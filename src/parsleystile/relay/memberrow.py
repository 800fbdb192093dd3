"""The row of a node: what it publishes of itself and of its target.

Each node is the only author of its row, and the pair of incarnation and
sequence determines which of two rows is newer. Departures of targets are
joined instead: a newer row that lacks one, such as that of a node that was
killed, does not take it back.
"""

import typing

import msgspec

from parsleystile import ids
from parsleystile.relay import departures as departures_module
from parsleystile.relay import rollout
from parsleystile import transport

_MAX_NAME_CHARS = 200
# Far beyond any clock, and below what a message can carry.
_MAX_INCARNATION = 2**43
_Sequence = typing.Annotated[int, msgspec.Meta(ge=0, lt=1_000_000)]
_Version = typing.Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]
_Incarnation = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INCARNATION)]


class Row(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """State of a node as published by itself.

    Attributes:
        service: Service of its target; empty while it has none.
        target_id: Identifies the incarnation of its target.
        target_born_ms: Start time that this incarnation reported; None in
            rows of builds that do not tell it.
        is_serving: Whether calls for the target may be sent to the node.
        departures: Targets that have left; a late report must not bring one
            back.
        departed_id: The last of them, for builds that know only one.
        departed_born_ms: Start time that this incarnation reported.
        is_gone: Whether the node has shut down for good.
        incarnation: Grows with each start of the process.
        sequence: Grows with each change within an incarnation.
        version: Version of what its target runs; empty if not known.
        rollouts: Stages of roll-outs that this node knows of as a judge.
    """

    node_id: typing.Annotated[
        ids.NodeId, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARS)
    ]
    domain: ids.FailureDomainId
    region: ids.RegionId
    host: str
    port: typing.Annotated[int, msgspec.Meta(ge=0, le=65_535)]
    service: ids.ServiceName = ids.ServiceName('')
    target_id: ids.TargetId = ids.TargetId('')
    target_born_ms: int | None = None
    slots: typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    is_serving: bool = False
    departures: departures_module.Departures = ()
    departed_id: ids.TargetId = ids.TargetId('')
    departed_born_ms: int = 0
    is_gone: bool = False
    incarnation: _Incarnation = 0
    sequence: _Sequence = 0
    version: _Version = ''
    rollouts: tuple[rollout.Progress, ...] = ()

    def __post_init__(self) -> None:
        if self.departed_id:
            departure = departures_module.Departure(
                self.departed_id, self.departed_born_ms
            )
            joined = departures_module.join(self.departures, (departure,))
            msgspec.structs.force_setattr(self, 'departures', joined)

    @property
    def has_usable_target(self) -> bool:
        """Whether the target takes calls, as far as this row tells."""
        if not self.is_serving or self.is_gone:
            return False
        born_ms = self.target_born_ms
        return born_ms is None or not departures_module.includes(
            self.departures, self.target_id, born_ms
        )

    def covers(self, other: 'Row') -> bool:
        """Whether another row of the node tells nothing beyond this one."""
        joined = departures_module.join(self.departures, other.departures)
        return self.revision >= other.revision and joined == self.departures

    @property
    def revision(self) -> tuple[int, int]:
        """Orders the rows of one node from old to new."""
        return self.incarnation, self.sequence

    @property
    def link(self) -> transport.Address:
        """Address at which the node accepts links."""
        return transport.Address(self.host, self.port)

    @property
    def peer(self) -> transport.Peer:
        """The node, to connect to."""
        return transport.Peer(self.link, self.node_id)


def encode_row(row: Row) -> bytes:
    """Encode a row for the store and for other nodes."""
    return msgspec.msgpack.encode(row)


def decode_row(data: bytes) -> Row | None:
    """Decode a row; None if the bytes are not one."""
    try:
        return msgspec.msgpack.decode(data, type=Row)
    except msgspec.MsgspecError:
        return None


def supersedes(row: Row, known: Row) -> bool:
    """Whether a row is newer; at the same revision a gone one is."""
    return (row.revision, row.is_gone) > (known.revision, known.is_gone)


def join(row: Row, known: Row) -> Row:
    """Return the newer one, with the departures of both."""
    newer = row if supersedes(row, known) else known
    joined = departures_module.join(known.departures, row.departures)
    if joined == newer.departures:
        return newer
    return msgspec.structs.replace(newer, **naming(joined))


def naming(
    departures: departures_module.Departures,
) -> dict[str, object]:
    """Return the fields of a row that name departures; not without one."""
    last = departures[-1]
    return {
        'departures': departures,
        'departed_id': last.target_id,
        'departed_born_ms': last.born_ms,
    }
