"""Log events of a node: one frozen data class per type of event.

An event says what happened, why, and which figures the decision is based on.
No event has a field for an API key, an operator's key or the fleet secret; a
key is identified by its id.
"""

import dataclasses
import enum

from parsleystile import errors
from parsleystile import ids


class Level(enum.Enum):
    """Severity of an event."""

    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Base of all events.

    Attributes:
        why: Reason for the event, in one line of text.
        evidence: Figures behind the reason, such as ``p99_ms=40``.
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
    """A node refuses new calls and finishes those in flight."""

    calls_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeStopped(Event):
    """A node finished its planned stop."""

    calls_cut: int
    drained_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRefused(Event):
    """A call was refused or failed without an answer of a target."""

    root_id: ids.RootId
    organisation: ids.OrganisationId
    service: ids.ServiceName
    outcome: errors.Outcome
    reason: errors.Reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetAnnounced(Event):
    """The local target announced its service and slots."""

    service: ids.ServiceName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetLeaving(Event):
    """The local target is draining or has left."""

    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetCold(Event):
    """The concurrency limit was lowered because the target appears cold."""

    service: ids.ServiceName
    limit_before: int
    limit_after: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetEjected(Event):
    """This node ejected a target from load balancing."""

    node_id: ids.NodeId
    service: ids.ServiceName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetReadmitted(Event):
    """This node returned a target to load balancing."""

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
    """A lease was acquired, renewed late, lost or released."""

    lease: str
    state_before: str
    state_after: str
    epoch: ids.LeaseEpoch


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigApplied(Event):
    """A version of the fleet configuration came into force at this node."""

    version_before: ids.ConfigVersion
    version_after: ids.ConfigVersion
    active_preset: ids.PresetName


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeDecided(Event):
    """An operator's change was accepted or refused, or is undecided."""

    change_id: str
    operator: str
    change: str
    outcome: str
    version: ids.ConfigVersion


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyWithdrawn(Event):
    """This node no longer accepts a key."""

    key_id: ids.KeyId
    organisation: ids.OrganisationId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableCutOff(Event):
    """The platform's table became unreachable from this node."""

    failures: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableRestored(Event):
    """The platform's table became reachable again."""

    cut_off_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkChanged(Event):
    """A connection to another node opened or was lost."""

    node_id: ids.NodeId
    address: str
    is_open: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerRejected(Event):
    """A peer or operator failed authentication or violated the protocol."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InternalFault(Event):
    """An error in the program itself, to be reported as a bug."""

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
    """Return the severity of ``event``."""
    match event:
        case InternalFault():
            return Level.ERROR
        case LinkChanged(is_open=True):
            return Level.INFO
        case _ if isinstance(event, _WARNINGS):
            return Level.WARNING
    return Level.INFO
