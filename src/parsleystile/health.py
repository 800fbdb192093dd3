"""What a node's health endpoint tells load balancers and people."""

import enum

import msgspec

READY_STATUS = 200
NOT_READY_STATUS = 503


class State(enum.Enum):
    """Whether a node takes new calls."""

    # No document of the fleet yet: nothing can be authenticated.
    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


class Health(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of the health endpoint.

    A node that is cut off from the platform stays ready: it goes on with
    what it last knew, and taking it out would only lose capacity.

    Attributes:
        has_target: Whether the target beside it has announced itself.
        cut_off_ms: For how long the platform's table has not answered; 0
            if it answers.
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
    """Work out a node's health.

    Args:
        config_version: Version of the document in force; 0 if none.
        is_draining: Whether a planned stop has begun.
        has_target: Whether the target has announced itself.
        cut_off_since_ms: Since when the table has not answered, or None.
        calls_in_flight: Calls that this node is working on.
        now_ms: On the clock of ``cut_off_since_ms``.
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
