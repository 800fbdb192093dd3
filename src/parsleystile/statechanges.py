"""Logs changes of a node's state from one sample to the next.

The decision code itself does not log: it exposes its state, and the logger
compares each sample with the previous one.
"""

import dataclasses
import typing

from parsleystile import ids
from parsleystile import logevents

SAMPLE_PERIOD_MS = 500.0
# A limit that falls to less than this ratio means that the target is cold;
# a smaller drop is an ordinary adjustment.
COLD_LIMIT_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """A target that a node does not choose, with the evidence."""

    node_id: ids.NodeId
    service: ids.ServiceName
    evidence: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeState:
    """One sample of a node's state.

    Attributes:
        service: Service of the node's own target; empty if there is none.
        slots: Number of slots of that target.
        limit: Concurrency limit of that target.
        ejections: Targets ejected by this node.
    """

    service: ids.ServiceName = ids.ServiceName('')
    slots: int = 0
    limit: int = 0
    ejections: tuple[Ejection, ...] = ()


def diff(before: NodeState, after: NodeState) -> list[logevents.Event]:
    """Return the events for the changes between two samples."""
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
    """Logs the differences between successive samples of a node's state."""

    def __init__(
        self,
        get_state: typing.Callable[[], NodeState],
        log_event: typing.Callable[[logevents.Event], object],
    ) -> None:
        self._get_state = get_state
        self._log_event = log_event
        self._last = get_state()

    def tick(self) -> None:
        """Sample and log; to be called every ``SAMPLE_PERIOD_MS``."""
        before, self._last = self._last, self._get_state()
        for event in diff(before, self._last):
            self._log_event(event)


def state_change_logger(
    get_state: typing.Callable[[], NodeState],
    log_event: typing.Callable[[logevents.Event], object],
) -> StateChangeLogger:
    """Create a logger; the first sample is taken now.

    Args:
        get_state: Returns the node's state.
        log_event: Logs an event.
    """
    return StateChangeLogger(get_state, log_event)
