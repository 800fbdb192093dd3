"""Names, time bounds and violations of the system's invariants."""

import dataclasses
import enum


class Invariant(enum.Enum):
    """Invariants that hold under every fault."""

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
    """Time limits and tolerances of the invariants.

    Times are in milliseconds.

    Attributes:
        key_withdrawn_ms: From the acceptance of a withdrawal until no node
            admits the key.
        domain_out_ms: From the acceptance of the change until the targets
            of the failure domain get no new work.
        leaving_ms: From the announcement until a target gets no new work.
        config_ms: From acceptance until a version is in force everywhere.
        cold_detection_ms: From the time at which a target turns cold
            without notice until it gets no more than its capacity.
        shed_window_ms: Length of the windows over which ratios of shed
            calls are compared.
        shed_tolerance: By how much the ratio shed of a more important
            class may exceed that of a less important one in a window.
        min_shed_sample: Minimum number of calls of each class in a window
            for a comparison.
    """

    key_withdrawn_ms: float = 3000.0
    domain_out_ms: float = 3000.0
    leaving_ms: float = 3000.0
    config_ms: float = 3000.0
    cold_detection_ms: float = 2000.0
    shed_window_ms: float = 1000.0
    shed_tolerance: float = 0.05
    min_shed_sample: int = 10


DEFAULT_BOUNDS = Bounds()


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant in a history.

    Attributes:
        subject: The request, organisation, target, node or key concerned.
        detail: The evidence in one line; never contains a key.
    """

    invariant: Invariant
    at_ms: float
    subject: str
    detail: str
