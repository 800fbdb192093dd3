"""What a node writes to its log: one frozen data class for each event.

Every event says what happened, why, and on what evidence. No event has a
field for a caller's key, an operator's key or the fleet's secret; a key is
named by its id.
"""

import dataclasses
import enum

from parsleystile import errors
from parsleystile import ids


class Level(enum.Enum):
    """How urgent an event is."""

    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Base of all events.

    Attributes:
        why: The decision in one line for people.
        evidence: The figures that it rests on, such as ``p99_ms=40``.
    """

    why: str = ''
    evidence: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeStarted(Event):
    """All listeners of a node are open."""

    failure_domain: ids.FailureDomainId
    caller_address: str
    target_address: str
    link_address: str
    gossip_address: str
    operator_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeDraining(Event):
    """A node takes no new work and finishes what is in flight."""

    calls_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeStopped(Event):
    """A node finished its planned stop."""

    calls_cut: int
    drained_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRefused(Event):
    """A call got no answer from a target."""

    root_id: ids.RootId
    organisation: ids.OrganisationId
    service: ids.ServiceName
    outcome: errors.Outcome
    reason: errors.Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetAnnounced(Event):
    """The target beside this node told its service and slots."""

    service: ids.ServiceName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetLeaving(Event):
    """The target beside this node drains or left."""

    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetCold(Event):
    """The concurrency limit fell since the target seems to be cold."""

    service: ids.ServiceName
    limit_before: int
    limit_after: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetEjected(Event):
    """This node stopped choosing a target."""

    node_id: ids.NodeId
    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetReadmitted(Event):
    """This node chooses a target again."""

    node_id: ids.NodeId
    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberChanged(Event):
    """This node's view of another node changed."""

    node_id: ids.NodeId
    state_before: str
    state_after: str
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseChanged(Event):
    """A lease was acquired, renewed late, lost or handed back."""

    lease: str
    state_before: str
    state_after: str
    epoch: ids.LeaseEpoch


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigApplied(Event):
    """A version of the fleet's configuration is in force at this node."""

    version_before: ids.ConfigVersion
    version_after: ids.ConfigVersion
    active_preset: ids.PresetName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeDecided(Event):
    """An operator's change was accepted, refused or its fate is unknown."""

    change_id: str
    operator: str
    change: str
    outcome: str
    version: ids.ConfigVersion


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyWithdrawn(Event):
    """A key stopped working at this node."""

    key_id: ids.KeyId
    organisation: ids.OrganisationId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableCutOff(Event):
    """The platform's table cannot be reached from this node."""

    failures: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableRestored(Event):
    """The platform's table answers again."""

    cut_off_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkChanged(Event):
    """A connection to another node opened or was lost."""

    node_id: ids.NodeId
    address: str
    is_open: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerRejected(Event):
    """A stranger tried to join, gossip or change something."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InternalFault(Event):
    """A fault in the program itself; always worth a report."""

    where: str


_WARNINGS = (
    CallRefused,
    LinkChanged,
    PeerRejected,
    TableCutOff,
    TargetCold,
    TargetEjected,
)


def level_of(event: Event) -> Level:
    """Return how urgent ``event`` is."""
    match event:
        case InternalFault():
            return Level.ERROR
        case LinkChanged(is_open=True):
            return Level.INFO
        case _ if isinstance(event, _WARNINGS):
            return Level.WARNING
    return Level.INFO
