"""A bounded in-memory log of the steps of recent calls, by root id.

Refusals and retries are always recorded; other steps only for a sample of
the calls. The sample is chosen by a checksum of the root id, so that every
node samples the same calls and a sampled call can be traced through the
whole fleet.
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
# All steps are recorded for one root id in this many.
SAMPLE_ONE_IN = 64


class Stage(enum.Enum):
    """The processing stage at which a node refused a call."""

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
    """The node received a root request or a child call of its target."""

    organisation: ids.OrganisationId
    service: ids.ServiceName
    depth: int
    remaining_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """The call was sent to the guard at the node of a target."""

    node_id: ids.NodeId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Retried:
    """A refused attempt was followed by a retry."""

    reason: errors.Reason
    allowance_left: int


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The call waits at the guard because no slot is free."""

    ahead: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The guard admitted the call to its target."""

    in_flight: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The call was answered completely."""

    status: int
    latency_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call was refused.

    Attributes:
        detail: The evidence in one line; never contains a key.
    """

    stage: Stage
    outcome: errors.Outcome
    reason: errors.Reason
    detail: str = ''


Step = Received | Sent | Retried | Queued | Admitted | Answered | Refused


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One step in a form for display.

    Attributes:
        ago_ms: Age of the step when the explanation was made.
    """

    node_id: ids.NodeId
    ago_ms: float
    step: str
    text: str


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """All recorded steps of a call at one node, oldest first."""

    root_id: ids.RootId
    node_id: ids.NodeId
    is_sampled: bool
    entries: list[Entry]


class _RecordedStep(typing.NamedTuple):
    root_id: ids.RootId
    at_ms: float
    step: Step


def is_sampled(root_id: ids.RootId) -> bool:
    """Return whether all steps of this call are recorded."""
    return zlib.crc32(root_id.encode()) % SAMPLE_ONE_IN == 0


class CallLog:
    """Records steps in ring buffers, which overwrite the oldest ones."""

    def __init__(self, node_id: ids.NodeId) -> None:
        self._node_id = node_id
        self._steps: collections.deque[_RecordedStep] = collections.deque(
            maxlen=MAX_STEPS
        )
        self._refusals: collections.deque[_RecordedStep] = collections.deque(
            maxlen=MAX_REFUSALS
        )
        # Separate, so that an organisation far over its rate does not
        # displace other refusals.
        self._rate_refusals: collections.deque[_RecordedStep] = (
            collections.deque(maxlen=MAX_REFUSALS)
        )

    def record(self, root_id: ids.RootId, step: Step, now_ms: float) -> None:
        """Record a step; the caller decides whether the call is sampled."""
        buffer = self._steps
        if type(step) is Refused:
            buffer = self._refusals
            if step.reason is errors.Reason.RATE_LIMITED:
                buffer = self._rate_refusals
        buffer.append(_RecordedStep(root_id, now_ms, step))

    def explain(self, root_id: ids.RootId, now_ms: float) -> Explanation:
        """Return all recorded steps of a call."""
        buffers = (self._steps, self._refusals, self._rate_refusals)
        steps = [
            s for buffer in buffers for s in buffer if s.root_id == root_id
        ]
        steps.sort(key=lambda recorded: recorded.at_ms)
        entries = [self._make_entry(recorded, now_ms) for recorded in steps]
        return Explanation(
            root_id=root_id,
            node_id=self._node_id,
            is_sampled=is_sampled(root_id),
            entries=entries,
        )

    def _make_entry(self, recorded: _RecordedStep, now_ms: float) -> Entry:
        return Entry(
            node_id=self._node_id,
            ago_ms=round(now_ms - recorded.at_ms, 3),
            step=type(recorded.step).__name__.lower(),
            text=describe(recorded.step),
        )


def call_log(node_id: ids.NodeId) -> CallLog:
    """Create an empty log for the node ``node_id``."""
    return CallLog(node_id)


def _enum_words(value: enum.Enum) -> str:
    return value.name.lower().replace('_', ' ')


def describe(step: Step) -> str:
    """Return a one-line description of a step."""
    match step:
        case Received():
            caller = step.organisation or 'nobody (open route)'
            return (
                f'received for {caller}, service {step.service or "unknown"},'
                f' depth {step.depth}, {step.remaining_ms:.0f} ms left'
            )
        case Sent(node_id=node_id, attempt=attempt):
            return f'sent to {node_id}, try {attempt}'
        case Retried(reason=reason, allowance_left=left):
            return (
                f'tried again after {_enum_words(reason)}; {left} retries left'
            )
        case Queued(ahead=ahead, limit=limit):
            return f'queued behind {ahead} calls, limit {limit}'
        case Admitted(in_flight=in_flight, limit=limit):
            return f'admitted, {in_flight} of {limit} slots in use'
        case Answered(status=status, latency_ms=latency_ms):
            return f'answered with status {status} in {latency_ms:.1f} ms'
        case Refused():
            summary = (
                f'refused at {step.stage.value}: {_enum_words(step.reason)},'
                f' {_enum_words(step.outcome)}'
            )
            detail = step.detail[:MAX_DETAIL_CHARS]
            return f'{summary} ({detail})' if detail else summary
    raise TypeError(f'{step!r} is not a step of a call')


def encode(explanation: Explanation) -> bytes:
    """Return an explanation as JSON."""
    return msgspec.json.encode(explanation)


def decode(body: bytes) -> Explanation:
    """Decode an explanation.

    Raises:
        msgspec.DecodeError: ``body`` is not an explanation.
    """
    return msgspec.json.decode(body, type=Explanation)
