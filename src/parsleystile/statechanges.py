"""Logs what changed at a node from one look to the next.

The decisions stay free of logs: they show their state, and the watcher
compares it with what it saw before.
"""

import dataclasses
import typing

from parsleystile import ids
from parsleystile import logevents

SAMPLE_PERIOD_MS = 500.0
# A limit that falls by less is adjusted, not that of a cold target.
COLD_LIMIT_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """A target that a node does not choose, and on what evidence."""

    node_id: ids.NodeId
    service: ids.ServiceName
    evidence: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeState:
    """State of a node at one look.

    Attributes:
        service: Of the target beside the node; empty if there is none.
        limit: Concurrency limit of that target.
    """

    service: ids.ServiceName = ids.ServiceName('')
    slots: int = 0
    limit: int = 0
    ejections: tuple[Ejection, ...] = ()


def diff(before: NodeState, after: NodeState) -> list[logevents.Event]:
    """Return what changed between two looks, with the evidence."""
    return [
        *_target_changes(before, after),
        *_ejection_changes(before, after),
    ]


def _target_changes(
    before: NodeState, after: NodeState
) -> typing.Iterator[logevents.Event]:
    if before.service != after.service and after.service:
        yield logevents.TargetAnnounced(
            service=after.service,
            slots=after.slots,
            why='the target announced itself',
        )
    elif before.service and not after.service:
        yield logevents.TargetLeaving(
            service=before.service, why='the target left or is gone'
        )
    elif after.limit < COLD_LIMIT_RATIO * before.limit:
        yield logevents.TargetCold(
            service=after.service,
            limit_before=before.limit,
            limit_after=after.limit,
            why='the concurrency limit fell by more than half',
            evidence=f'slots={after.slots}',
        )


def _ejection_changes(
    before: NodeState, after: NodeState
) -> typing.Iterator[logevents.Event]:
    old = {ejection.node_id: ejection for ejection in before.ejections}
    new = {ejection.node_id: ejection for ejection in after.ejections}
    for node_id in sorted(new.keys() - old.keys()):
        yield logevents.TargetEjected(
            node_id=node_id,
            service=new[node_id].service,
            why='calls to it kept failing',
            evidence=new[node_id].evidence,
        )
    for node_id in sorted(old.keys() - new.keys()):
        yield logevents.TargetReadmitted(
            node_id=node_id,
            service=old[node_id].service,
            why='it answered a probe, or is new',
        )


class StateChangeLogger:
    """Compares each look at a node with the one before."""

    def __init__(
        self,
        get_state: typing.Callable[[], NodeState],
        log_event: typing.Callable[[logevents.Event], object],
    ) -> None:
        self._get_state = get_state
        self._log_event = log_event
        self._last = get_state()

    def tick(self) -> None:
        """Look and log; wanted every ``SAMPLE_PERIOD_MS``."""
        before, self._last = self._last, self._get_state()
        for event in diff(before, self._last):
            self._log_event(event)


def state_change_logger(
    get_state: typing.Callable[[], NodeState],
    log_event: typing.Callable[[logevents.Event], object],
) -> StateChangeLogger:
    """Create a watcher that has looked once."""
    return StateChangeLogger(get_state, log_event)
