"""The invariants that parsleystile keeps, as names, bounds and violations."""

import dataclasses
import enum


class Invariant(enum.Enum):
    """The invariants that hold whatever fails."""

    RETRIES_BOUNDED = 'retries-bounded'
    IMPORTANT_SHED_LAST = 'important-shed-last'
    ORGANISATION_ISOLATED = 'organisation-isolated'
    KEY_CONFIDENTIAL = 'key-confidential'
    KEY_WITHDRAWN = 'key-withdrawn'
    RATE_LIMITED = 'rate-limited'
    COLD_TARGET_SPARED = 'cold-target-spared'
    DOMAIN_OUT_IDLE = 'domain-out-idle'
    ANSWER_WHOLE = 'answer-whole'
    NOT_RUN_TRUE = 'not-run-true'
    AT_MOST_ONCE = 'at-most-once'
    LEAVING_TARGET_IDLE = 'leaving-target-idle'
    STOP_GRACEFUL = 'stop-graceful'
    CONFIG_DURABLE = 'config-durable'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and tolerances that an invariant leaves open.

    Attributes:
        key_withdrawn_ms: From acceptance until a key stops everywhere.
        domain_out_ms: From acceptance until a domain gets no new work.
        leaving_ms: From the announcement until a target gets no new work.
        config_ms: From acceptance until a version is in force everywhere.
        cold_detection_ms: From a target's turning cold without a word
            until it gets no more than it can bear.
        shed_window_ms: Length of the windows over which shares of shed
            calls are compared.
        shed_tolerance: By how much the share shed of a more important
            class may exceed that of a less important one in a window.
        shed_calls: Calls of each class below which a window says nothing.
    """

    key_withdrawn_ms: float = 3000.0
    domain_out_ms: float = 3000.0
    leaving_ms: float = 3000.0
    config_ms: float = 3000.0
    cold_detection_ms: float = 2000.0
    shed_window_ms: float = 1000.0
    shed_tolerance: float = 0.05
    shed_calls: int = 10


DEFAULT_BOUNDS = Bounds()


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One place in a history where an invariant was broken.

    Attributes:
        subject: The request, organisation, target, node or key concerned.
        detail: The evidence, in one line; never holds a key.
    """

    invariant: Invariant
    at_ms: float
    subject: str
    detail: str
