"""Log events of a node; each kind is a class."""

import msgspec


class LogEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base of all log events; the field ``event`` holds the tag."""


class CallRefused(LogEvent, tag_field='event', tag='call-refused'):
    """The node refused a request, which has not run."""

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
    """A target's answer was returned to the caller."""

    call: str
    organisation: str
    route: str
    service: str
    node: str
    status: int
    sends: int
    waited_ms: float
    policy_version: int


class CallRetried(LogEvent, tag_field='event', tag='call-repeated'):
    """A request is about to be sent to another target."""

    call: str
    service: str
    node: str
    reason: str
    detail: str
    sends: int
    remaining_ms: float


class CallAbandoned(LogEvent, tag_field='event', tag='call-abandoned'):
    """The caller disconnected before the answer."""

    call: str
    route: str
    sends: int
    waited_ms: float


class CallCut(LogEvent, tag_field='event', tag='call-cut'):
    """The node closed the caller's connection before the answer."""

    call: str
    route: str
    reason: str
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
    """A call that was sent to the target got no valid answer."""

    call: str
    target: str
    detail: str
    spent_ms: float


class TargetChanged(LogEvent, tag_field='event', tag='target-changed'):
    """The state of the local target changed.

    Attributes:
        before: Service of the target that received calls until now; empty
            without one.
        queued: Calls that wait at the guard at the time of the change.
        running: Calls that its targets are running then.
    """

    target: str
    state: str
    service: str
    slots: int
    cold_ms: float
    sequence: int
    why: str
    before: str = ''
    queued: int = 0
    running: int = 0


class TargetNoticeChanged(LogEvent, tag_field='event', tag='target-notice'):
    """The local target named another limit, or that it leaves.

    ``limit_per_s`` is -1 without a limit. The other counts are about the
    notice that this one replaces: how long it was in force, the calls that
    were started in that time, and the most in any four seconds of it.
    """

    target: str
    limit_per_s: float
    is_leaving: bool
    source: str
    before_per_s: float
    before_ms: float
    calls_started: int
    most_started: int


class PolicyInForce(LogEvent, tag_field='event', tag='policy-in-force'):
    """A newer policy came into force on this node."""

    version: int
    seen_at: int
    source: str
    domains_out: list[str]


class RolloutChanged(LogEvent, tag_field='event', tag='rollout-changed'):
    """A roll-out reached another stage, as far as this node knows.

    ``why`` names what was found, or from where the stage was heard.
    """

    service: str
    order: int
    version: str
    stage: str
    age_ms: int
    barred: list[str]
    why: str


class PolicyRejected(LogEvent, tag_field='event', tag='policy-rejected'):
    """A new policy is invalid; the previous one stays in force."""

    seen_at: int
    why: str


class MemberChanged(LogEvent, tag_field='event', tag='member-changed'):
    """A new row of a node was received.

    Attributes:
        departed: Targets of the node that are known to have left.
    """

    member: str
    service: str
    target: str
    state: str
    incarnation: int
    sequence: int
    source: str
    departed: list[str] = []


class NodeReachabilityChanged(LogEvent, tag_field='event', tag='node-reach'):
    """Another node became reachable or unreachable."""

    member: str
    is_reached: bool
    why: str


class StoreReachabilityChanged(LogEvent, tag_field='event', tag='store-reach'):
    """The store became reachable or unreachable, or a write failed."""

    table: str
    is_reached: bool
    why: str
    at_version: int


class StoreEraChanged(LogEvent, tag_field='event', tag='store-era'):
    """The store was restored from a copy; ``seen_at`` is of before."""

    old: int
    new: int
    seen_at: int


class StoreRowsMissing(LogEvent, tag_field='event', tag='store-rows-missing'):
    """A restored store lacks rows that this node knew; some are named."""

    era: int
    table: str
    missing: int
    names: list[str]


class StoreFollowingChanged(
    LogEvent, tag_field='event', tag='store-following'
):
    """This node began or ceased to follow the store, for a reason."""

    is_following: bool
    why: str


class StoreAgeChanged(LogEvent, tag_field='event', tag='store-age'):
    """The reading of the store behind this node's state is too old or not.

    ``age_ms`` counts from the start if there was no reading.
    """

    is_overdue: bool
    age_ms: int
    limit_ms: int
    seen_at: int


class ProcessChanged(LogEvent, tag_field='event', tag='process'):
    """The process starts, serves, reloads settings, drains or ends."""

    state: str
    detail: str


class DrainEnded(LogEvent, tag_field='event', tag='drain-ended'):
    """A planned stop ended; the other counts say what was still owed."""

    is_timed_out: bool
    drained_ms: float
    requests_given_up: int
    requests_open: int
    calls_at_guard: int
    caller_bytes_unsent: int
    link_bytes_unsent: int


class InputRejected(LogEvent, tag_field='event', tag='input-rejected'):
    """Input from outside is invalid."""

    where: str
    why: str
