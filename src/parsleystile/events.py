"""What a record of a run holds: typed events.

A node records what it decides. Callers and targets that take part in a
trial record what they themselves saw, so that a claim of a node can be held
against independent evidence.
"""

import enum
import typing

import msgspec

from parsleystile import context
from parsleystile import errors
from parsleystile import ids

_KEYLESS = ids.KeyId('')


class Stage(enum.Enum):
    """Which part of a node took a decision."""

    INGRESS = 'ingress'
    EGRESS = 'egress'
    GUARD = 'guard'


class _Event(msgspec.Struct, frozen=True, tag=True, tag_field='type'):
    """Something that happened at one node, caller, target or operator."""


class RequestSent(_Event, kw_only=True):
    """A caller sent a request; recorded by the caller.

    A target that calls another service is a caller, too.

    Attributes:
        request_id: Unique to this try; the caller shows it to the target.
        call_path: Names the call within its root request, whichever
            execution of the parent makes it; the same for each try.
        root_request_id: ``request_id`` of the root request of the tree.
        organisation: To whom the key belongs; empty without a valid key.
        key: The key shown, to be searched for in what targets saw.
        via: Node that the caller sent the request to.
        is_open: The route is open to all.
        idempotency_key: As sent; empty for none.
        retry_allowance: Retries for the whole tree; for roots only.
    """

    request_id: str
    call_path: str
    root_request_id: str
    organisation: ids.OrganisationId
    key: str = ''
    key_id: ids.KeyId = _KEYLESS
    via: ids.NodeId
    is_open: bool = False
    importance: context.Importance = context.Importance.NORMAL
    idempotent: bool
    idempotency_key: str = ''
    retry_allowance: int = 0


class RequestAnswered(_Event, kw_only=True):
    """A caller learnt what became of its request; recorded by the caller.

    Attributes:
        outcome: As told by the answer; ``UNKNOWN`` for a lost connection.
        body_digest: Digest of the body as received.
    """

    request_id: str
    outcome: errors.Outcome
    status: int = 0
    reason: errors.Reason = errors.Reason.NONE
    body_digest: str = ''


class RequestCancelled(_Event, kw_only=True):
    """A caller gave up on its request; recorded by the caller."""

    request_id: str


class Executed(_Event, kw_only=True):
    """A target began to run a request; recorded by the target.

    Attributes:
        token: Context token that came with the request.
        headers: All headers that the target saw, as ``name: value``.
        body: The body that the target saw, as text.
    """

    target_id: ids.TargetId
    request_id: str
    call_path: str
    root_request_id: str
    token: ids.ContextToken = ids.ContextToken('')
    headers: tuple[str, ...] = ()
    path: str = ''
    body: str = ''


class ExecutionEnded(_Event, kw_only=True):
    """A target ended a request; recorded by the target.

    Attributes:
        body_digest: Digest of the body as answered; empty if cancelled.
    """

    target_id: ids.TargetId
    request_id: str
    body_digest: str = ''


class TargetCapacity(_Event, kw_only=True):
    """How many requests at once a target can bear from now on.

    Recorded by the target itself, whatever it announces.

    Attributes:
        told: Whether the system could know: at a start, not when a target
            turns cold without a word.
    """

    target_id: ids.TargetId
    slots: int
    told: bool


class TargetAnnounced(_Event, kw_only=True):
    """A target told its node that it is there."""

    target_id: ids.TargetId
    service: ids.ServiceName
    failure_domain: ids.FailureDomainId
    slots: int


class TargetLeaving(_Event, kw_only=True):
    """A target said, or its node was told, that it takes no new work."""

    target_id: ids.TargetId


class TargetCold(_Event, kw_only=True):
    """A guard concluded that its target has turned cold."""

    target_id: ids.TargetId
    limit: int


class Admitted(_Event, kw_only=True):
    """A node let a call pass: at ingress all checks, at a guard to a slot.

    Attributes:
        rank: Admission rank of the call.
        retry_allowance: Retries that the call and its subtree may spend.
    """

    stage: Stage
    root_id: ids.RootId
    organisation: ids.OrganisationId
    importance: context.Importance
    rank: float
    key_id: ids.KeyId = _KEYLESS
    depth: int = 1
    retry_allowance: int = 0


class Refused(_Event, kw_only=True):
    """A node refused a call."""

    stage: Stage
    root_id: ids.RootId
    organisation: ids.OrganisationId
    importance: context.Importance
    rank: float
    outcome: errors.Outcome
    reason: errors.Reason
    depth: int = 1


class TargetCalled(_Event, kw_only=True):
    """A guard is about to write a call to its target."""

    target_id: ids.TargetId
    root_id: ids.RootId
    token: ids.ContextToken
    organisation: ids.OrganisationId
    depth: int


class Retried(_Event, kw_only=True):
    """A node sends a call again to another target.

    Attributes:
        allowance_left: What the call may still spend afterwards.
    """

    root_id: ids.RootId
    depth: int
    after: errors.Reason
    allowance_left: int


class Cancelled(_Event, kw_only=True):
    """A node cancelled a call in flight."""

    root_id: ids.RootId
    depth: int


class KeyIssued(_Event, kw_only=True):
    """An operator's issue of a key was accepted."""

    key_id: ids.KeyId
    organisation: ids.OrganisationId


class KeyWithdrawn(_Event, kw_only=True):
    """An operator's withdrawal of a key was accepted."""

    key_id: ids.KeyId


class LimitsSet(_Event, kw_only=True):
    """Fleet-wide limits of an organisation were accepted."""

    organisation: ids.OrganisationId
    rate_per_s: float
    burst: float


class ConfigAccepted(_Event, kw_only=True):
    """An operator was told that a change is accepted."""

    version: ids.ConfigVersion
    change_id: str
    preset: ids.PresetName


class ConfigInForce(_Event, kw_only=True):
    """A node acts by a version from now on.

    Attributes:
        digest: Digest of the whole document.
    """

    version: ids.ConfigVersion
    preset: ids.PresetName
    digest: str = ''


class DomainOut(_Event, kw_only=True):
    """An operator was told that a failure domain is taken out."""

    failure_domain: ids.FailureDomainId


class DomainIn(_Event, kw_only=True):
    """An operator was told that a failure domain is brought back."""

    failure_domain: ids.FailureDomainId


class QuotaTaken(_Event, kw_only=True):
    """A node let a root request pass its organisation's limits."""

    organisation: ids.OrganisationId
    amount: float = 1.0


class GrantGiven(_Event, kw_only=True):
    """A lease holder lent a share of an organisation's limits."""

    organisation: ids.OrganisationId
    to: ids.NodeId
    epoch: ids.LeaseEpoch
    rate_per_s: float
    burst: float
    life_ms: float


class LeaseHeld(_Event, kw_only=True):
    """A node took or renewed a lease.

    Attributes:
        life_ms: How long the holder relies on it from now on.
    """

    name: str
    epoch: ids.LeaseEpoch
    life_ms: float


class LeaseLost(_Event, kw_only=True):
    """A node no longer relies on a lease."""

    name: str
    epoch: ids.LeaseEpoch


class NodeStarted(_Event, kw_only=True):
    """A node serves; its id is that of the entry."""


class StopPlanned(_Event, kw_only=True):
    """A node was told to stop gracefully."""

    subject: ids.NodeId


class NodeStopped(_Event, kw_only=True):
    """The process of a node ended.

    Attributes:
        exit_code: Negative for the signal that ended it.
    """

    subject: ids.NodeId
    exit_code: int


class FaultStarted(_Event, kw_only=True):
    """A trial began to disturb a node, a link or the platform.

    Attributes:
        subjects: Nodes that feel it; empty for the platform.
    """

    kind: str
    subjects: tuple[ids.NodeId, ...] = ()


class FaultEnded(_Event, kw_only=True):
    """A trial undid a fault."""

    kind: str
    subjects: tuple[ids.NodeId, ...] = ()


ALL = tuple(_Event.__subclasses__())
Event = typing.Union[ALL]  # noqa: UP007


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a record.

    Attributes:
        sequence: Counts the events of one recorder from 1.
        wall_ms: Since 1970; comparable between VMs up to clock skew.
        now_ms: Since boot; comparable between processes of one machine.
    """

    node_id: ids.NodeId
    sequence: int
    wall_ms: float
    now_ms: float
    event: Event


class Occurrence(msgspec.Struct, frozen=True):
    """An event placed on the one time axis of a merged history."""

    at_ms: float
    node_id: ids.NodeId
    event: Event


History = typing.Sequence[Occurrence]


def of_kind(history: History, kind: type[_Event]) -> list[Occurrence]:
    """Return the occurrences of one kind of event, in order."""
    return [at for at in history if isinstance(at.event, kind)]
