"""Which nodes there are and what they guard, merged from any source.

Each node is the only author of its own row. Rows reach others through the
store's feed, from the author or from any node that has them; the pair of
incarnation and sequence says which is newer, so order does not matter.
"""

import zlib

import msgspec

from parsleystile import ids
from parsleystile import members
from parsleystile import transport


class Row(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A node's account of itself.

    Attributes:
        service: Of the target it guards; empty while there is none.
        target_id: Incarnation of that target.
        is_serving: Whether calls for the target may be sent here.
        departed_id: Incarnation that has taken its leave; it must not be
            taken back on the word of a report that was on its way.
        departed_born_ms: When that incarnation started, as it told.
        is_gone: The node ends for good.
        incarnation: Grows with each life of the process.
        sequence: Grows with each change within a life.
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
    is_gone: bool = False
    incarnation: int = 0
    sequence: int = 0

    @property
    def age(self) -> tuple[int, int]:
        """Orders the rows of one node."""
        return self.incarnation, self.sequence

    @property
    def link(self) -> transport.Address:
        """Where the node takes links."""
        return transport.Address(self.host, self.port)


def encode_row(row: Row) -> bytes:
    """Return a row as it is stored and sent."""
    return msgspec.msgpack.encode(row)


def decode_row(data: bytes) -> Row | None:
    """Return the row in some bytes; None if they hold none."""
    try:
        return msgspec.msgpack.decode(data, type=Row)
    except msgspec.MsgspecError:
        return None


class MemberList:
    """All rows as this node knows them.

    Attributes:
        me: This node's own row.
        version: Grows with every change.
    """

    def __init__(self, me: Row) -> None:
        self.me = me
        self.version = 0
        self._rows: dict[ids.NodeId, Row] = {me.node_id: me}
        self._unreached: set[ids.NodeId] = set()
        self._digest = (-1, 0)

    def change_me(self, **fields: object) -> Row:
        """Change this node's own row; returns it for publishing."""
        self.me = msgspec.structs.replace(
            self.me, sequence=self.me.sequence + 1, **fields
        )
        self._rows[self.me.node_id] = self.me
        self.version += 1
        return self.me

    def merge(self, row: Row) -> bool:
        """Take in a row; False if it is no news.

        A row of an earlier life of this node that looks newer, since the
        time of day went back, makes this life count on from it.
        """
        if row.node_id == self.me.node_id:
            if row.incarnation > self.me.incarnation or (
                row.incarnation == self.me.incarnation
                and row.sequence > self.me.sequence
            ):
                self.change_me(incarnation=row.incarnation + 1)
                return True
            return False
        known = self._rows.get(row.node_id)
        if known is not None and known.age >= row.age:
            return False
        self._rows[row.node_id] = row
        if known is None or known.incarnation < row.incarnation:
            self._unreached.discard(row.node_id)
        self.version += 1
        return True

    def forget(self, node_id: ids.NodeId) -> None:
        """Note that a node's row was taken out of the store."""
        known = self._rows.get(node_id)
        if known is None or known.is_gone or node_id == self.me.node_id:
            return
        self._rows[node_id] = msgspec.structs.replace(known, is_gone=True)
        self.version += 1

    def set_reached(self, node_id: ids.NodeId, is_reached: bool) -> bool:
        """Note whether a node answers; False if that is no news."""
        if node_id not in self._rows or node_id == self.me.node_id:
            return False
        if is_reached == (node_id not in self._unreached):
            return False
        if is_reached:
            self._unreached.discard(node_id)
        else:
            self._unreached.add(node_id)
        self.version += 1
        return True

    def row(self, node_id: ids.NodeId) -> Row | None:
        """Return what is known of a node."""
        return self._rows.get(node_id)

    def rows(self) -> list[Row]:
        """Return all rows, also of nodes that are gone."""
        return list(self._rows.values())

    def others(self) -> list[Row]:
        """Return the rows of the other nodes that are not gone."""
        own = self.me.node_id
        return [
            row
            for row in self._rows.values()
            if not row.is_gone and row.node_id != own
        ]

    def unreached(self) -> list[Row]:
        """Return the rows of nodes that do not answer."""
        return [row for row in self.others() if row.node_id in self._unreached]

    def reached(self) -> list[Row]:
        """Return the rows of the other nodes that answer, as far as known."""
        return [
            row for row in self.others() if row.node_id not in self._unreached
        ]

    @property
    def node_ids(self) -> list[ids.NodeId]:
        """Nodes that are not gone, reached or not, in order."""
        return sorted(
            row.node_id for row in self._rows.values() if not row.is_gone
        )

    @property
    def digest(self) -> int:
        """Equal at nodes that know the same rows."""
        if self._digest[0] != self.version:
            ages = sorted(
                (row.node_id, row.age, row.is_gone)
                for row in self._rows.values()
            )
            self._digest = (self.version, zlib.crc32(repr(ages).encode()))
        return self._digest[1]

    def members_by_service(
        self,
    ) -> dict[ids.ServiceName, list[members.Member]]:
        """Return where calls of each service may be sent now."""
        found: dict[ids.ServiceName, list[members.Member]] = {}
        for row in self._rows.values():
            if not row.is_serving or row.is_gone:
                continue
            if row.node_id in self._unreached:
                continue
            found.setdefault(row.service, []).append(_member(row))
        return found


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
        # Sequences stay far below this in one life.
        incarnation=ids.Incarnation(
            row.incarnation * 1_000_000 + row.sequence
        ),
    )


def member_list(me: Row) -> MemberList:
    """Create a roster that knows this node only."""
    return MemberList(me)
