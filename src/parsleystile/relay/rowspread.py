"""Rows that a node passes on to its peers, without I/O.

Each node passes a row on once, when it first receives it, so that a change
costs every node a constant. Changes that arrive close together share a
message. Only the row's own node and those that heard it from there pass it on
to other failure domains: traffic between domains is dear, and each node of a
domain would otherwise send the row across.
"""

import dataclasses

from parsleystile import ids
from parsleystile.relay import memberrow


@dataclasses.dataclass(slots=True)
class _Pending:
    row: memberrow.Row
    # Peers that sent the row and need no copy.
    senders: set[ids.NodeId]
    crosses_domains: bool


class RowSpread:
    """Rows that wait to be passed on, by node."""

    def __init__(self) -> None:
        self._pending: dict[ids.NodeId, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def put(self, row: memberrow.Row, sender: ids.NodeId) -> None:
        """Pass a new row on; it replaces an older one of the same node.

        Args:
            row: The row.
            sender: Node that sent it, also for its own row, or any other name
                of its source.
        """
        crosses_domains = sender == row.node_id
        self._pending[row.node_id] = _Pending(row, {sender}, crosses_domains)

    def note_copy(self, row: memberrow.Row, sender: ids.NodeId) -> None:
        """Note that a peer sent a row that is already known."""
        pending = self._pending.get(row.node_id)
        if pending is not None and row.covers(pending.row):
            pending.senders.add(sender)

    def flush(
        self, peers: list[memberrow.Row], own_domain: ids.FailureDomainId
    ) -> dict[ids.NodeId, list[memberrow.Row]]:
        """Return the rows for each peer that lacks some; none then wait.

        Args:
            peers: Rows of the peers themselves.
            own_domain: Failure domain of this node.
        """
        pending, self._pending = self._pending, {}
        messages: dict[ids.NodeId, list[memberrow.Row]] = {}
        for peer in peers:
            is_near = peer.domain == own_domain
            rows = [
                entry.row
                for entry in pending.values()
                if (is_near or entry.crosses_domains)
                and peer.node_id not in entry.senders
                and peer.node_id != entry.row.node_id
            ]
            if rows:
                messages[peer.node_id] = rows
        return messages


def row_spread() -> RowSpread:
    """Create a queue without rows."""
    return RowSpread()
