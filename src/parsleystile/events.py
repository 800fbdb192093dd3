"""Typed events of the recorded history of a run.

A node records its decisions. Callers and targets in a system test record their
own observations, against which the records of nodes are checked.
"""

import enum
import typing

import msgspec

from parsleystile import context
from parsleystile import errors
from parsleystile import ids

_NO_KEY_ID = ids.KeyId('')


class Stage(enum.Enum):
    """Part of a node that made a decision."""

    INGRESS = 'ingress'
    EGRESS = 'egress'
    GUARD = 'guard'


class _Event(msgspec.Struct, frozen=True, tag=True, tag_field='type'):
    """Base of all events of nodes, callers, targets and operators."""


class RequestSent(_Event, kw_only=True):
    """A caller sent a request; recorded by the caller.

    A target that calls another service is also a caller.

    Attributes:
        request_id: Unique to this attempt; the caller sends it to the target.
        call_path: Identifies the call within its root request, regardless
            of which execution of the parent makes it; the same for each
            attempt.
        root_request_id: ``request_id`` of the root request of the tree.
        organisation: Owner of the key; empty without a valid key.
        key: The key sent. Checks verify that no target received it.
        via: Node to which the caller sent the request.
        is_open: Whether the route is open to all.
        idempotency_key: As sent; empty if none.
        retry_allowance: Retries allowed for the whole tree; set for root
            requests only.
    """

    request_id: str
    call_path: str
    root_request_id: str
    organisation: ids.OrganisationId
    key: str = ''
    key_id: ids.KeyId = _NO_KEY_ID
    via: ids.NodeId
    is_open: bool = False
    importance: context.Importance = context.Importance.NORMAL
    idempotent: bool
    idempotency_key: str = ''
    retry_allowance: int = 0


class RequestAnswered(_Event, kw_only=True):
    """A caller's request ended; recorded by the caller.

    Attributes:
        outcome: As stated in the answer; ``UNKNOWN`` for a lost connection.
        body_digest: Digest of the body as received.
    """

    request_id: str
    outcome: errors.Outcome
    status: int = 0
    reason: errors.Reason = errors.Reason.NONE
    body_digest: str = ''


class RequestCancelled(_Event, kw_only=True):
    """A caller cancelled its request; recorded by the caller."""

    request_id: str


class Executed(_Event, kw_only=True):
    """A target began to execute a request; recorded by the target.

    Attributes:
        token: Context token received with the request.
        headers: All headers received, as ``name: value``.
        body: The body received, as text.
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
    """A target finished a request; recorded by the target.

    Attributes:
        body_digest: Digest of the answer's body; empty if cancelled.
    """

    target_id: ids.TargetId
    request_id: str
    body_digest: str = ''


class TargetCapacity(_Event, kw_only=True):
    """The actual concurrency of a target changed.

    Recorded by the target itself, independently of what it announces.

    Attributes:
        slots: Requests that the target can run at once from now on.
        is_announced: Whether the target announced the change to its node:
            true at a start, false when it turns cold unannounced.
    """

    target_id: ids.TargetId
    slots: int
    is_announced: bool = msgspec.field(name='told')


class TargetAnnounced(_Event, kw_only=True):
    """A target announced itself to its node."""

    target_id: ids.TargetId
    service: ids.ServiceName
    failure_domain: ids.FailureDomainId
    slots: int


class TargetLeaving(_Event, kw_only=True):
    """A target takes no new calls, as announced by it or its node."""

    target_id: ids.TargetId


class TargetCold(_Event, kw_only=True):
    """A guard detected that its target has turned cold."""

    target_id: ids.TargetId
    limit: int


class Admitted(_Event, kw_only=True):
    """A node admitted a call, at ingress past all checks or at a guard.

    Attributes:
        rank: Admission rank of the call.
        retry_allowance: Retries that the call and its subtree may spend.
    """

    stage: Stage
    root_id: ids.RootId
    organisation: ids.OrganisationId
    importance: context.Importance
    rank: float
    key_id: ids.KeyId = _NO_KEY_ID
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
    """A guard is about to send a call to its target."""

    target_id: ids.TargetId
    root_id: ids.RootId
    token: ids.ContextToken
    organisation: ids.OrganisationId
    depth: int


class Retried(_Event, kw_only=True):
    """A node sends a call again to another target.

    Attributes:
        after: Reason for which the previous attempt failed.
        allowance_left: Retries that remain after this one.
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
    """A change was confirmed to an operator as accepted."""

    version: ids.ConfigVersion
    change_id: str
    preset: ids.PresetName


class ConfigInForce(_Event, kw_only=True):
    """A version of the configuration came into force at a node.

    Attributes:
        digest: Digest of the whole document.
    """

    version: ids.ConfigVersion
    preset: ids.PresetName
    digest: str = ''


class DomainOut(_Event, kw_only=True):
    """A failure domain was confirmed to an operator as taken out."""

    failure_domain: ids.FailureDomainId


class DomainIn(_Event, kw_only=True):
    """A failure domain was confirmed to an operator as brought back."""

    failure_domain: ids.FailureDomainId


class QuotaTaken(_Event, kw_only=True):
    """A root request passed its organisation's limits at a node."""

    organisation: ids.OrganisationId
    amount: float = 1.0


class GrantGiven(_Event, kw_only=True):
    """A lease holder granted a node a share of an organisation's limits."""

    organisation: ids.OrganisationId
    to: ids.NodeId
    epoch: ids.LeaseEpoch
    rate_per_s: float
    burst: float
    life_ms: float


class LeaseHeld(_Event, kw_only=True):
    """A node acquired or renewed a lease.

    Attributes:
        life_ms: How long the holder relies on the lease from now on.
    """

    name: str
    epoch: ids.LeaseEpoch
    life_ms: float


class LeaseLost(_Event, kw_only=True):
    """A node no longer relies on a lease."""

    name: str
    epoch: ids.LeaseEpoch


class NodeStarted(_Event, kw_only=True):
    """A node started; its id is that of the entry."""


class StopPlanned(_Event, kw_only=True):
    """A node was asked to stop gracefully."""

    subject: ids.NodeId


class NodeStopped(_Event, kw_only=True):
    """The process of a node ended.

    Attributes:
        exit_code: Exit status; negative for the number of a fatal signal.
    """

    subject: ids.NodeId
    exit_code: int


class FaultStarted(_Event, kw_only=True):
    """A system test injected a fault into a node, a link or the platform.

    Attributes:
        subjects: Nodes affected; empty for the platform.
    """

    kind: str
    subjects: tuple[ids.NodeId, ...] = ()


class FaultEnded(_Event, kw_only=True):
    """A system test removed a fault."""

    kind: str
    subjects: tuple[ids.NodeId, ...] = ()


ALL = tuple(_Event.__subclasses__())
Event = typing.Union[ALL]  # noqa: UP007


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a history file.

    Attributes:
        sequence: Number of the event within its recorder, from 1.
        wall_ms: Since 1970; comparable between VMs up to clock skew.
        now_ms: Since boot; comparable between processes of one machine.
    """

    node_id: ids.NodeId
    sequence: int
    wall_ms: float
    now_ms: float
    event: Event


class Occurrence(msgspec.Struct, frozen=True):
    """An event on the common time axis of a merged history."""

    at_ms: float
    node_id: ids.NodeId
    event: Event


History = typing.Sequence[Occurrence]


def of_kind(history: History, kind: type[_Event]) -> list[Occurrence]:
    """Return the occurrences of one type of event, in order."""
    return [at for at in history if isinstance(at.event, kind)]
