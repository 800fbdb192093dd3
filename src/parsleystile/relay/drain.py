"""Decisions of a planned stop of a node, without I/O.

A stopping node serves on while callers move elsewhere, then refuses new
requests and completes the open ones. Some callers never move, so the time to
refuse is fixed. What is still open shortly before the platform kills the
process gets a final answer, and there is time left to deliver it.
"""

import dataclasses
import enum
import typing

# Parts of the time until the process is killed.
_MAX_LAME_DUCK_RATIO = 0.5
_FINAL_ANSWERS_RATIO = 0.85
_END_RATIO = 0.92


class Phase(enum.Enum):
    """Phase of a planned stop."""

    SERVING = 'serving'
    LAME_DUCK = 'lame-duck'
    COMPLETING = 'completing'
    TIMED_OUT = 'timed-out'
    DELIVERING = 'delivering'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class Owed:
    """What a node still owes to its callers and to other nodes.

    Attributes:
        requests: Requests of callers that were read and have no answer.
        calls: Calls of other nodes that are queued or run here.
        unsent_bytes: Bytes of answers that the kernel has not taken.
    """

    requests: int = 0
    calls: int = 0
    unsent_bytes: int = 0

    def __bool__(self) -> bool:
        return bool(self.requests or self.calls or self.unsent_bytes)


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseNew:
    """Refuse new requests of callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerOpen:
    """Give open requests and calls a final answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End the process.

    Attributes:
        is_timed_out: Whether open requests had to be given up.
        drained_ms: Duration of the planned stop.
    """

    is_timed_out: bool
    drained_ms: float


Action = RefuseNew | AnswerOpen | End


class Drain:
    """Planned stop of one node.

    Attributes:
        phase: Current phase.
    """

    def __init__(self, stop_ms: float, lame_duck_ms: float) -> None:
        self._refuse_after_ms = min(
            lame_duck_ms, stop_ms * _MAX_LAME_DUCK_RATIO
        )
        self._answer_after_ms = stop_ms * _FINAL_ANSWERS_RATIO
        self._end_after_ms = stop_ms * _END_RATIO
        self._started_ms = 0.0
        self.phase = Phase.SERVING

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has started."""
        return self.phase is not Phase.SERVING

    def start(self, now_ms: float) -> None:
        """Start the planned stop; does nothing if it has started."""
        if not self.is_stopping:
            self.phase = Phase.LAME_DUCK
            self._started_ms = now_ms

    def tick(self, owed: Owed, now_ms: float) -> list[Action]:
        """Return the actions that are due, in order."""
        elapsed_ms = now_ms - self._started_ms
        match self.phase:
            case Phase.SERVING | Phase.ENDED:
                return []
            case Phase.LAME_DUCK:
                if elapsed_ms < self._refuse_after_ms:
                    return []
                self.phase = Phase.COMPLETING
                return [RefuseNew(), *self.tick(owed, now_ms)]
            case Phase.COMPLETING:
                if not owed:
                    return [self._end(False, elapsed_ms)]
                if elapsed_ms >= self._answer_after_ms:
                    self.phase = Phase.TIMED_OUT
                return []
            case Phase.TIMED_OUT:
                # A process that was suspended first reads the answers that
                # arrived meanwhile.
                if not owed:
                    return [self._end(False, elapsed_ms)]
                self.phase = Phase.DELIVERING
                return [AnswerOpen()]
            case Phase.DELIVERING:
                if owed and elapsed_ms < self._end_after_ms:
                    return []
                return [self._end(True, elapsed_ms)]
            case _:
                typing.assert_never(self.phase)

    def _end(self, is_timed_out: bool, elapsed_ms: float) -> End:
        self.phase = Phase.ENDED
        return End(is_timed_out, elapsed_ms)


def drain(stop_ms: float, lame_duck_ms: float) -> Drain:
    """Create the planned stop of a serving node.

    Args:
        stop_ms: Time from the request to stop until the process is killed.
        lame_duck_ms: Time for callers to move elsewhere; shortened if it
            would leave less than half of ``stop_ms`` for open requests.
    """
    return Drain(stop_ms, lame_duck_ms)
