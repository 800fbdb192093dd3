"""What happened to recent calls at one node and why, by root id.

Refusals are always noted; steps of calls that go well only for a sample.
The sample is drawn by a checksum of the root id, so that every node notes
the same calls and a sampled call can be followed through the whole fleet.
"""

import collections
import dataclasses
import enum
import typing
import zlib

import msgspec

from parsleystile import errors
from parsleystile import ids

MAX_STEPS = 8192
MAX_REFUSALS = 8192
MAX_DETAIL_CHARS = 200
# One call in so many is followed step by step.
SAMPLE_ONE_IN = 64


class Stage(enum.Enum):
    """Where on its way through a node a call was refused."""

    AUTHENTICATE = 'authenticate'
    CLASSIFY = 'classify'
    DEADLINE = 'deadline'
    RATE_LIMIT = 'rate limit'
    DEDUPLICATE = 'deduplicate'
    SHED = 'shed'
    CHOOSE_TARGET = 'choose target'
    SEND = 'send'
    ADMIT = 'admit'
    CALL = 'call'
    EGRESS = 'egress'


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A root request came in, or a child call of a target."""

    organisation: ids.OrganisationId
    service: ids.ServiceName
    depth: int
    remaining_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """The call was sent to the guard of a target."""

    node_id: ids.NodeId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Retried:
    """A refused try was followed by another."""

    reason: errors.Reason
    allowance_left: int


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The guard had no slot free."""

    ahead: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The guard gave the call a slot of its target."""

    in_flight: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The call was answered whole."""

    status: int
    latency_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call was refused.

    Attributes:
        detail: The evidence in one line, never a key.
    """

    stage: Stage
    outcome: errors.Outcome
    reason: errors.Reason
    detail: str = ''


Step = Received | Sent | Retried | Queued | Admitted | Answered | Refused


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One step as told to people.

    Attributes:
        ago_ms: Age of the step when the node was asked.
    """

    node_id: ids.NodeId
    ago_ms: float
    step: str
    text: str


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """All that one node remembers of a call, oldest first."""

    root_id: ids.RootId
    node_id: ids.NodeId
    is_sampled: bool
    entries: list[Entry]


class _Note(typing.NamedTuple):
    root_id: ids.RootId
    at_ms: float
    step: Step


def is_sampled(root_id: ids.RootId) -> bool:
    """Return whether every node follows this call step by step."""
    return zlib.crc32(root_id.encode()) % SAMPLE_ONE_IN == 0


class CallLog:
    """A bounded memory of steps; the oldest are forgotten first."""

    def __init__(self, node_id: ids.NodeId) -> None:
        self._node_id = node_id
        self._steps: collections.deque[_Note] = collections.deque(
            maxlen=MAX_STEPS
        )
        self._refusals: collections.deque[_Note] = collections.deque(
            maxlen=MAX_REFUSALS
        )
        # An organisation far over its rate must not push out the rest.
        self._rate_refusals: collections.deque[_Note] = collections.deque(
            maxlen=MAX_REFUSALS
        )

    def record(self, root_id: ids.RootId, step: Step, now_ms: float) -> None:
        """Remember a step; call it for sampled calls and all refusals."""
        ring = self._steps
        if type(step) is Refused:
            ring = self._refusals
            if step.reason is errors.Reason.RATE_LIMITED:
                ring = self._rate_refusals
        ring.append(_Note(root_id, now_ms, step))

    def explain(self, root_id: ids.RootId, now_ms: float) -> Explanation:
        """Return all that is remembered of a call."""
        rings = (self._steps, self._refusals, self._rate_refusals)
        notes = [n for ring in rings for n in ring if n.root_id == root_id]
        notes.sort(key=lambda note: note.at_ms)
        entries = [self._entry(note, now_ms) for note in notes]
        return Explanation(
            root_id=root_id,
            node_id=self._node_id,
            is_sampled=is_sampled(root_id),
            entries=entries,
        )

    def _entry(self, note: _Note, now_ms: float) -> Entry:
        return Entry(
            node_id=self._node_id,
            ago_ms=round(now_ms - note.at_ms, 3),
            step=type(note.step).__name__.lower(),
            text=describe(note.step),
        )


def call_log(node_id: ids.NodeId) -> CallLog:
    """Create an empty memory for the node ``node_id``."""
    return CallLog(node_id)


def _word(value: enum.Enum) -> str:
    return value.name.lower().replace('_', ' ')


def describe(step: Step) -> str:
    """Return a step as one line for people."""
    match step:
        case Received():
            who = step.organisation or 'nobody (open route)'
            return (
                f'received for {who}, service {step.service or "unknown"},'
                f' depth {step.depth}, {step.remaining_ms:.0f} ms left'
            )
        case Sent(node_id=node_id, attempt=attempt):
            return f'sent to {node_id}, try {attempt}'
        case Retried(reason=reason, allowance_left=left):
            return f'tried again after {_word(reason)}; {left} retries left'
        case Queued(ahead=ahead, limit=limit):
            return f'queued behind {ahead} calls, limit {limit}'
        case Admitted(in_flight=in_flight, limit=limit):
            return f'admitted, {in_flight} of {limit} slots in use'
        case Answered(status=status, latency_ms=latency_ms):
            return f'answered with status {status} in {latency_ms:.1f} ms'
        case Refused():
            told = (
                f'refused at {step.stage.value}: {_word(step.reason)},'
                f' {_word(step.outcome)}'
            )
            detail = step.detail[:MAX_DETAIL_CHARS]
            return f'{told} ({detail})' if detail else told
    raise TypeError(f'{step!r} is no step of a call')


def encode(explanation: Explanation) -> bytes:
    """Return an explanation as JSON."""
    return msgspec.json.encode(explanation)


def decode(body: bytes) -> Explanation:
    """Read an explanation; raise ``msgspec.DecodeError`` if it is none."""
    return msgspec.json.decode(body, type=Explanation)
