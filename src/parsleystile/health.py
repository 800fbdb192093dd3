"""Health of a node, as reported by its health endpoint."""

import enum

import msgspec

READY_STATUS = 200
NOT_READY_STATUS = 503


class State(enum.Enum):
    """Whether a node accepts new calls."""

    # Without a configuration document nothing can be authenticated.
    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


class Health(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of the health endpoint.

    A node that cannot reach the platform stays ready: it continues with its
    last known state, and taking it out would only reduce capacity.

    Attributes:
        has_target: Whether the local target has announced itself.
        cut_off_ms: Time since the platform's table became unreachable; 0
            while it is reachable.
    """

    state: State
    has_target: bool
    cut_off_ms: int
    config_version: int
    calls_in_flight: int

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        if self.state is State.READY:
            return READY_STATUS
        return NOT_READY_STATUS


def assess(
    *,
    config_version: int,
    is_draining: bool,
    has_target: bool,
    cut_off_since_ms: float | None,
    calls_in_flight: int,
    now_ms: float,
) -> Health:
    """Return the health of a node.

    Args:
        config_version: Version of the document in force; 0 if none.
        is_draining: Whether a planned stop has begun.
        has_target: Whether the target has announced itself.
        cut_off_since_ms: Time at which the table became unreachable, or
            None.
        calls_in_flight: Number of calls in progress at this node.
        now_ms: Current time on the clock of ``cut_off_since_ms``.
    """
    state = State.READY
    if is_draining:
        state = State.DRAINING
    elif not config_version:
        state = State.STARTING
    cut_off_ms = 0
    if cut_off_since_ms is not None:
        cut_off_ms = max(1, int(now_ms - cut_off_since_ms))
    return Health(
        state=state,
        has_target=has_target,
        cut_off_ms=cut_off_ms,
        config_version=config_version,
        calls_in_flight=calls_in_flight,
    )
