"""The nodes of the fleet and their targets, merged from any source.

Each node is the only author of its row. Rows arrive through the store's feed,
from the author or from any other node, in any order: the pair of incarnation
and sequence determines which of two rows is newer.
"""

import zlib

import msgspec

from parsleystile import ids
from parsleystile import members
from parsleystile import transport


class Row(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """State of a node as published by itself.

    Attributes:
        service: Service of its target; empty while it has none.
        target_id: Identifies the incarnation of its target.
        is_serving: Whether calls for the target may be sent to the node.
        departed_id: Incarnation of the target that left last; a late report
            must not bring it back.
        departed_born_ms: Start time that this incarnation reported.
        is_leaving: Whether the node is about to shut down; its target gets
            calls only if no other target of the service does.
        is_gone: Whether the node has shut down for good.
        incarnation: Grows with each start of the process.
        sequence: Grows with each change within an incarnation.
    """

    node_id: ids.NodeId
    domain: ids.FailureDomainId
    region: ids.RegionId
    host: str
    port: int
    service: ids.ServiceName = ids.ServiceName('')
    target_id: ids.TargetId = ids.TargetId('')
    slots: int = 0
    is_serving: bool = False
    departed_id: ids.TargetId = ids.TargetId('')
    departed_born_ms: int = 0
    is_leaving: bool = False
    is_gone: bool = False
    incarnation: int = 0
    sequence: int = 0

    @property
    def revision(self) -> tuple[int, int]:
        """Orders the rows of one node from old to new."""
        return self.incarnation, self.sequence

    @property
    def link(self) -> transport.Address:
        """Address at which the node accepts links."""
        return transport.Address(self.host, self.port)


def encode_row(row: Row) -> bytes:
    """Encode a row for the store and for other nodes."""
    return msgspec.msgpack.encode(row)


def decode_row(data: bytes) -> Row | None:
    """Decode a row; None if the bytes are not one."""
    try:
        return msgspec.msgpack.decode(data, type=Row)
    except msgspec.MsgspecError:
        return None


class MemberList:
    """The rows known to this node, and which nodes it can reach.

    Attributes:
        own_row: This node's own row.
        version: Grows with every change.
    """

    def __init__(self, own_row: Row) -> None:
        self.own_row = own_row
        self.version = 0
        self._rows: dict[ids.NodeId, Row] = {own_row.node_id: own_row}
        self._unreachable: set[ids.NodeId] = set()
        self._digest = (-1, 0)

    def update_own_row(self, **fields: object) -> Row:
        """Change fields of this node's row and return the new row."""
        self.own_row = msgspec.structs.replace(
            self.own_row, sequence=self.own_row.sequence + 1, **fields
        )
        self._rows[self.own_row.node_id] = self.own_row
        self.version += 1
        return self.own_row

    def merge(self, row: Row) -> bool:
        """Merge a row; False if nothing changed.

        Incarnations are taken from the wall clock. If the clock was set back,
        a row of an earlier incarnation of this node looks newer than its
        current row; the node then continues with a higher incarnation.
        """
        if row.node_id == self.own_row.node_id:
            if row.incarnation > self.own_row.incarnation or (
                row.incarnation == self.own_row.incarnation
                and row.sequence > self.own_row.sequence
            ):
                self.update_own_row(incarnation=row.incarnation + 1)
                return True
            return False
        known = self._rows.get(row.node_id)
        if known is not None and known.revision >= row.revision:
            return False
        self._rows[row.node_id] = row
        if known is None or known.incarnation < row.incarnation:
            self._unreachable.discard(row.node_id)
        self.version += 1
        return True

    def mark_gone(self, node_id: ids.NodeId) -> None:
        """Mark a node as gone after its row was removed from the store."""
        known = self._rows.get(node_id)
        if known is None or known.is_gone or node_id == self.own_row.node_id:
            return
        self._rows[node_id] = msgspec.structs.replace(known, is_gone=True)
        self.version += 1

    def set_reachable(self, node_id: ids.NodeId, is_reachable: bool) -> bool:
        """Set whether a node is reachable; False if nothing changed."""
        if node_id not in self._rows or node_id == self.own_row.node_id:
            return False
        if is_reachable == (node_id not in self._unreachable):
            return False
        if is_reachable:
            self._unreachable.discard(node_id)
        else:
            self._unreachable.add(node_id)
        self.version += 1
        return True

    def row(self, node_id: ids.NodeId) -> Row | None:
        """Return the row of a node; None if it is unknown."""
        return self._rows.get(node_id)

    def rows(self) -> list[Row]:
        """Return all rows, including those of nodes that are gone."""
        return list(self._rows.values())

    def others(self) -> list[Row]:
        """Return the rows of the other nodes that are not gone."""
        own = self.own_row.node_id
        return [
            row
            for row in self._rows.values()
            if not row.is_gone and row.node_id != own
        ]

    def unreachable(self) -> list[Row]:
        """Return the rows of the other nodes that do not answer."""
        return [
            row for row in self.others() if row.node_id in self._unreachable
        ]

    def reachable(self) -> list[Row]:
        """Return the rows of the other nodes not known to be unreachable."""
        return [
            row
            for row in self.others()
            if row.node_id not in self._unreachable
        ]

    @property
    def node_ids(self) -> list[ids.NodeId]:
        """Sorted ids of the nodes that are not gone, reachable or not."""
        return sorted(
            row.node_id for row in self._rows.values() if not row.is_gone
        )

    @property
    def digest(self) -> int:
        """Checksum of all rows; equal on nodes that hold the same rows."""
        if self._digest[0] != self.version:
            revisions = sorted(
                (row.node_id, row.revision, row.is_gone)
                for row in self._rows.values()
            )
            self._digest = (self.version, zlib.crc32(repr(revisions).encode()))
        return self._digest[1]

    def members_by_service(
        self,
    ) -> dict[ids.ServiceName, list[members.Member]]:
        """Return the members of each service that may get calls.

        They serve and are reachable. Those of leaving nodes are left out
        unless the service has no others.
        """
        by_service: dict[ids.ServiceName, list[members.Member]] = {}
        leaving: dict[ids.ServiceName, list[members.Member]] = {}
        for row in self._rows.values():
            if not row.is_serving or row.is_gone:
                continue
            if row.node_id in self._unreachable:
                continue
            group = leaving if row.is_leaving else by_service
            group.setdefault(row.service, []).append(_member(row))
        return leaving | by_service


def _member(row: Row) -> members.Member:
    return members.Member(
        node_id=row.node_id,
        vm=ids.VmId(row.node_id),
        region=row.region,
        failure_domain=row.domain,
        service=row.service,
        slots=row.slots,
        link=row.link,
        gossip=row.link,
        # A sequence stays far below a million within one incarnation.
        incarnation=ids.Incarnation(
            row.incarnation * 1_000_000 + row.sequence
        ),
    )


def member_list(own_row: Row) -> MemberList:
    """Create a member list that contains only this node."""
    return MemberList(own_row)
