"""The kinds of lines that a node writes, one class each."""

import msgspec


class LogEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base of all lines; ``event`` names the kind."""


class CallRefused(LogEvent, tag_field='event', tag='call-refused'):
    """A request got an answer of ours that says it has not run."""

    call: str
    organisation: str
    route: str
    reason: str
    detail: str
    status: int
    retry_after_ms: int
    sends: int
    waited_ms: float
    policy_version: int


class CallUnknown(LogEvent, tag_field='event', tag='call-unknown'):
    """A request ended without an answer; it may have run."""

    call: str
    organisation: str
    route: str
    reason: str
    detail: str
    status: int
    sends: int
    waited_ms: float
    policy_version: int


class CallAnswered(LogEvent, tag_field='event', tag='call-answered'):
    """A target's answer went back."""

    call: str
    organisation: str
    route: str
    service: str
    node: str
    status: int
    sends: int
    waited_ms: float
    policy_version: int


class CallRepeated(LogEvent, tag_field='event', tag='call-repeated'):
    """A request is sent to another target."""

    call: str
    service: str
    node: str
    reason: str
    detail: str
    sends: int
    remaining_ms: float


class CallAbandoned(LogEvent, tag_field='event', tag='call-abandoned'):
    """The caller left before its answer."""

    call: str
    route: str
    sends: int
    waited_ms: float


class GuardRefused(LogEvent, tag_field='event', tag='guard-refused'):
    """The guard of a target refused a call before the target saw it."""

    call: str
    service: str
    reason: str
    detail: str
    in_flight: int
    limit: int
    queued: int
    level: float


class TargetFailed(LogEvent, tag_field='event', tag='target-failed'):
    """A call was sent to the target and got no proper answer."""

    call: str
    target: str
    detail: str
    spent_ms: float


class TargetChanged(LogEvent, tag_field='event', tag='target-changed'):
    """What this node holds of the target beside it."""

    target: str
    state: str
    service: str
    slots: int
    cold_ms: float
    sequence: int
    why: str


class PolicyInForce(LogEvent, tag_field='event', tag='policy-in-force'):
    """A newer version binds here from now on."""

    version: int
    seen_at: int
    source: str
    domains_out: list[str]


class PolicyRejected(LogEvent, tag_field='event', tag='policy-rejected'):
    """A version can't be read or doesn't hold; the one before stays."""

    seen_at: int
    why: str


class MemberChanged(LogEvent, tag_field='event', tag='member-changed'):
    """A node's own account of itself, as it reached this one."""

    member: str
    service: str
    target: str
    state: str
    incarnation: int
    sequence: int
    source: str


class NodeReachabilityChanged(LogEvent, tag_field='event', tag='node-reach'):
    """Another node can be reached again, or not any more."""

    member: str
    is_reached: bool
    why: str


class StoreReachabilityChanged(LogEvent, tag_field='event', tag='store-reach'):
    """The platform's store answers again, or not any more."""

    table: str
    is_reached: bool
    why: str
    at_version: int


class ProcessChanged(LogEvent, tag_field='event', tag='process'):
    """This process starts, reloads its settings, drains or ends."""

    state: str
    detail: str


class InputRejected(LogEvent, tag_field='event', tag='input-rejected'):
    """Input from outside that is not what it should be."""

    where: str
    why: str
