"""What the targets of other nodes last said of themselves.

A node that has passed a notice on is bound by it, and the guard of the target
may have restarted since and know nothing. So each call takes along what its
sender was last told.
"""

from parsleystile.gen import ttypes
from parsleystile import ids

# The oldest are forgotten beyond this; above the size of the largest fleets.
_MAX_NOTICES = 16_384


class NoticeMemory:
    """The notices that this node was told, by the node of the target."""

    def __init__(self) -> None:
        self._notices: dict[ids.NodeId, ttypes.TargetNotice] = {}

    def heard(
        self,
        node_id: ids.NodeId,
        notice: ttypes.TargetNotice | None,
        has_run: bool,
    ) -> None:
        """Record what came with an answer or a refusal.

        Args:
            node_id: Node of the target.
            notice: The notice in force there; None without one.
            has_run: Whether the target answered. A guard that refuses may
                not have heard of its target yet, so it ends no notice.
        """
        if notice is not None:
            self._notices.pop(node_id, None)
            self._notices[node_id] = notice
            if len(self._notices) > _MAX_NOTICES:
                self._notices.pop(next(iter(self._notices)))
        elif has_run:
            self._notices.pop(node_id, None)

    def of(self, node_id: ids.NodeId) -> ttypes.TargetNotice | None:
        """Return the last notice of a node's target; None without one."""
        return self._notices.get(node_id)


def notice_memory() -> NoticeMemory:
    """Create an empty memory."""
    return NoticeMemory()
