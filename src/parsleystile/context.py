"""Context that is propagated with a call from node to node."""

import dataclasses
import enum

from parsleystile import ids

MAX_DEPTH = 22
# Ranks are in [0, RANK_LIMIT); a level of RANK_LIMIT admits every call.
RANK_LIMIT = 3.0


class Importance(enum.IntEnum):
    """Importance class of a route; the lowest number is shed last."""

    CRITICAL = 0
    NORMAL = 1
    SHEDDABLE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class CallContext:
    """Context of one call.

    Attributes:
        root_id: Identifies the root request and its call tree.
        organisation: On whose behalf the call runs.
        importance: Importance class of the root request.
        draw: Random number in [0, 1), drawn at ingress for the whole tree.
        deadline_ms: On the clock of the node that holds the context.
        depth: 1 for a root request.
        retry_allowance: Retries that this call and its subtree may spend.
        idempotent: Whether the call may run more than once.
        caller_service: Service that made the call; empty at ingress.
    """

    root_id: ids.RootId
    organisation: ids.OrganisationId
    importance: Importance
    draw: float
    deadline_ms: float
    depth: int
    retry_allowance: int
    idempotent: bool
    caller_service: ids.ServiceName

    @property
    def rank(self) -> float:
        """Admission rank; a guard refuses ranks at or above its level."""
        return self.importance + self.draw

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time left until the deadline, at least 0."""
        return max(0.0, self.deadline_ms - now_ms)
