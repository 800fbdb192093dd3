"""The nodes of the fleet and their targets, merged from any source.

Rows arrive through the store's feed, from their author or from any other node,
in any order; ``memberrow`` says how two of them merge.
"""

import bisect
import typing

import msgspec

from parsleystile import ids
from parsleystile import members
from parsleystile.relay import departures as departures_module
from parsleystile.relay import memberrow
from parsleystile.relay import overlay
from parsleystile.relay import rollout
from parsleystile.relay import rowdigest

# Rows of nodes that are gone are kept, as many as there are nodes and at
# least this many, so that an old row of such a node is recognised.
_MIN_GONE_ROWS = 256


class MemberList:
    """The rows known to this node, and which nodes it can reach.

    The indexes follow each change of a row, so that a change costs the same
    whatever the number of nodes.

    Attributes:
        own_row: This node's own row.
        nodes_version: Grows when a node joins or is gone.
        is_complete: Whether the list was complete at some time; until then
            this node can't tell which part of a rate is its own.
    """

    def __init__(self, own_row: memberrow.Row) -> None:
        self.own_row = own_row
        self.nodes_version = 0
        self.is_complete = False
        self._rows: dict[ids.NodeId, memberrow.Row] = {}
        self._unreachable: set[ids.NodeId] = set()
        self._digests = rowdigest.row_digests()
        # Nodes that are not gone; sorted, also by failure domain.
        self._node_ids: list[ids.NodeId] = []
        self._domains: dict[ids.FailureDomainId, list[ids.NodeId]] = {}
        # Oldest first.
        self._gone: dict[ids.NodeId, None] = {}
        self._serving: dict[
            ids.ServiceName, dict[ids.NodeId, members.Member]
        ] = {}
        self._changed_services: set[ids.ServiceName] = set()
        self._heard_rollouts: list[rollout.Progress] = []
        self._set(own_row)

    def update_own_row(self, **fields: object) -> memberrow.Row:
        """Change fields of this node's row and return the new row."""
        self.own_row = msgspec.structs.replace(
            self.own_row, sequence=self.own_row.sequence + 1, **fields
        )
        self._set(self.own_row)
        return self.own_row

    def merge(self, row: memberrow.Row) -> bool:
        """Merge a row; False if nothing changed.

        Incarnations are taken from the wall clock. If the clock was set back,
        a row of an earlier incarnation of this node looks newer than its
        current row; the node then continues with a higher incarnation.
        """
        if row.node_id == self.own_row.node_id:
            return self._merge_own(row)
        known = self._rows.get(row.node_id)
        joined = row if known is None else memberrow.join(row, known)
        if joined is known:
            return False
        if known is None or known.incarnation < row.incarnation:
            self._unreachable.discard(row.node_id)
        self._set(joined)
        return True

    def _merge_own(self, row: memberrow.Row) -> bool:
        own = self.own_row
        is_changed = self.add_departures(row.departures)
        if row.revision > own.revision:
            self.update_own_row(incarnation=row.incarnation + 1)
            return True
        if row.is_gone and row.revision == own.revision and not own.is_gone:
            # Another node took this one for gone.
            self.update_own_row()
            return True
        return is_changed

    def add_departures(self, departures: departures_module.Departures) -> bool:
        """Add departures to this node's row; False if it names them."""
        joined = departures_module.join(self.own_row.departures, departures)
        if joined == self.own_row.departures:
            return False
        self.update_own_row(**memberrow.naming(joined))
        return True

    def gone_row(
        self, node_id: ids.NodeId, incarnation: int
    ) -> memberrow.Row | None:
        """Return the row that marks an incarnation of a node as gone.

        None if the node is unknown, is this node or has started again.
        """
        known = self._rows.get(node_id)
        if known is None or known.is_gone or node_id == self.own_row.node_id:
            return None
        if known.incarnation > incarnation:
            return None
        return msgspec.structs.replace(known, is_gone=True)

    def note_complete(self) -> bool:
        """Note that all nodes are known; False if it was noted before."""
        if self.is_complete:
            return False
        self.is_complete = True
        self.nodes_version += 1
        return True

    def is_predecessor(self, row: memberrow.Row) -> bool:
        """Whether a row is of a node whose address this node has now."""
        own = self.own_row
        return (
            row.node_id != own.node_id
            and row.link == own.link
            and not own.is_gone
        )

    def set_reachable(self, node_id: ids.NodeId, is_reachable: bool) -> bool:
        """Set whether a node is reachable; False if nothing changed."""
        row = self._rows.get(node_id)
        if row is None or node_id == self.own_row.node_id:
            return False
        if is_reachable == self.is_reachable(node_id):
            return False
        if is_reachable:
            self._unreachable.discard(node_id)
        else:
            self._unreachable.add(node_id)
        self._index_service(row)
        return True

    def is_reachable(self, node_id: ids.NodeId) -> bool:
        """Whether a node is not known to be unreachable."""
        return node_id not in self._unreachable

    def row(self, node_id: ids.NodeId) -> memberrow.Row | None:
        """Return the row of a node; None if it is unknown."""
        return self._rows.get(node_id)

    def rows_in(self, bucket: int, count: int) -> list[memberrow.Row]:
        """Return the rows, also of gone nodes, of one of ``count`` buckets."""
        return [
            self._rows[node_id]
            for node_id in self._digests.nodes_in(bucket, count)
        ]

    def others(self) -> list[memberrow.Row]:
        """Return the rows of the other nodes that are not gone."""
        own = self.own_row.node_id
        return [
            self._rows[node_id] for node_id in self._node_ids if node_id != own
        ]

    def unreachable(self) -> list[memberrow.Row]:
        """Return the rows of the other nodes that do not answer."""
        rows = (self._rows[node_id] for node_id in sorted(self._unreachable))
        return [row for row in rows if not row.is_gone]

    def peers(self) -> list[memberrow.Row]:
        """Return the nodes with which this one exchanges state."""
        chosen = overlay.peers(
            self.own_row.node_id,
            self.own_row.domain,
            self._domains,
            self.is_reachable,
        )
        return [self._rows[node_id] for node_id in chosen]

    @property
    def is_follower(self) -> bool:
        """Whether this node follows the store for its failure domain."""
        chosen = overlay.followers(
            self.own_row.domain, self._domains, self.is_reachable
        )
        return (
            self.own_row.node_id in chosen
            or len(chosen) < overlay.FOLLOWERS_PER_DOMAIN
        )

    @property
    def own_domain_size(self) -> int:
        """Number of nodes of the failure domain that are not gone."""
        return len(self._domains[self.own_row.domain])

    @property
    def node_ids(self) -> list[ids.NodeId]:
        """Sorted ids of the nodes that are not gone, reachable or not."""
        return list(self._node_ids)

    @property
    def nodes_by_domain(
        self,
    ) -> typing.Mapping[ids.FailureDomainId, typing.Sequence[ids.NodeId]]:
        """Sorted ids of the nodes of each failure domain."""
        return self._domains

    @property
    def digest(self) -> int:
        """Checksum of the rows of all nodes that are not gone."""
        return self._digests.total

    def bucket_digests(self, count: int | None = None) -> list[int]:
        """Return a checksum for each of ``count`` buckets of the rows.

        Args:
            count: A power of two; by default one that suits the fleet.
        """
        if count is None:
            count = rowdigest.bucket_count(len(self._node_ids))
        return self._digests.fold(count)

    def members_of(self, service: ids.ServiceName) -> list[members.Member]:
        """Return the serving, reachable members of a service."""
        return list(self._serving.get(service, {}).values())

    def members_by_service(
        self,
    ) -> dict[ids.ServiceName, list[members.Member]]:
        """Return the serving, reachable members of each service."""
        return {
            service: list(found.values())
            for service, found in self._serving.items()
        }

    def take_changed_services(self) -> set[ids.ServiceName]:
        """Return the services whose members changed since the last call."""
        changed, self._changed_services = self._changed_services, set()
        return changed

    def take_heard_rollouts(self) -> list[rollout.Progress]:
        """Return what rows said of roll-outs since the last call."""
        heard, self._heard_rollouts = self._heard_rollouts, []
        return heard

    def _set(self, row: memberrow.Row) -> None:
        """Replace the row of a node in all indexes."""
        known = self._rows.get(row.node_id)
        if row is not self.own_row:
            self._heard_rollouts += row.rollouts
        if known is not None:
            self._digests.remove(*_digested(known))
        self._rows[row.node_id] = row
        self._digests.add(*_digested(row))
        was_present = known is not None and not known.is_gone
        if was_present and (row.is_gone or known.domain != row.domain):
            self._remove_node(known)
            was_present = False
        if not row.is_gone and not was_present:
            self._add_node(row)
        if known is not None and known.service != row.service:
            self._unindex_service(known.service, row.node_id)
        self._index_service(row)
        if row.is_gone:
            self._forget_oldest_gone(row.node_id)

    def _add_node(self, row: memberrow.Row) -> None:
        self._gone.pop(row.node_id, None)
        bisect.insort(self._node_ids, row.node_id)
        bisect.insort(self._domains.setdefault(row.domain, []), row.node_id)
        self.nodes_version += 1

    def _remove_node(self, row: memberrow.Row) -> None:
        _remove_sorted(self._node_ids, row.node_id)
        _remove_sorted(self._domains[row.domain], row.node_id)
        self.nodes_version += 1

    def _forget_oldest_gone(self, node_id: ids.NodeId) -> None:
        self._gone.pop(node_id, None)
        if node_id != self.own_row.node_id:
            self._gone[node_id] = None
        if len(self._gone) <= max(_MIN_GONE_ROWS, len(self._node_ids)):
            return
        oldest = next(iter(self._gone))
        del self._gone[oldest]
        row = self._rows.pop(oldest)
        self._digests.remove(*_digested(row))
        self._unreachable.discard(oldest)

    def _index_service(self, row: memberrow.Row) -> None:
        if not row.has_usable_target or not self.is_reachable(row.node_id):
            self._unindex_service(row.service, row.node_id)
            return
        self._serving.setdefault(row.service, {})[row.node_id] = _member(row)
        self._changed_services.add(row.service)

    def _unindex_service(
        self, service: ids.ServiceName, node_id: ids.NodeId
    ) -> None:
        found = self._serving.get(service)
        if found is None or found.pop(node_id, None) is None:
            return
        if not found:
            del self._serving[service]
        self._changed_services.add(service)


def _digested(
    row: memberrow.Row,
) -> tuple[ids.NodeId, tuple[int, int], bool, departures_module.Departures]:
    return row.node_id, row.revision, row.is_gone, row.departures


def _remove_sorted(node_ids: list[ids.NodeId], node_id: ids.NodeId) -> None:
    index = bisect.bisect_left(node_ids, node_id)
    if index < len(node_ids) and node_ids[index] == node_id:
        del node_ids[index]


def _member(row: memberrow.Row) -> members.Member:
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


def member_list(own_row: memberrow.Row) -> MemberList:
    """Create a member list that contains only this node."""
    return MemberList(own_row)
