"""State machine of a planned stop (graceful shutdown), without I/O.

The leave is announced and confirmed before the guard refuses calls, so that
few calls are refused. Calls in flight are then completed, and grants and
leases are handed back last.
"""

import dataclasses
import enum
import typing

# Time without calls in flight before the node hands back. Nodes that missed
# the announcement may still send calls for this long.
QUIET_PERIOD_MS = 500.0
# A call may take its whole deadline, and so may its child calls.
DRAIN_TIMEOUT_MS = 30_000.0
# Callers that go on sending are refused from then on, so that the calls in
# flight can end in time.
REFUSE_CALLERS_AFTER_MS = 25_000.0
HAND_BACK_TIMEOUT_MS = 1_000.0


class Phase(enum.Enum):
    """Phase of a planned stop."""

    SERVING = 'serving'
    ANNOUNCING = 'announcing'
    DRAINING = 'draining'
    HANDING_BACK = 'handing-back'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """SIGTERM was received, or an operator requested a drain.

    Attributes:
        is_final: Whether the process ends after the drain.
    """

    is_final: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveConfirmed:
    """The fleet has confirmed that this node gets no new calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandedBack:
    """Grants and leases have been handed back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed.

    Attributes:
        in_flight: Calls in flight at this node, of every kind, and
            connections with a request or an answer under way.
    """

    in_flight: int


Event = StopRequested | LeaveConfirmed | HandedBack | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceLeave:
    """Announce the leave to the fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseNew:
    """Refuse new calls and accept no new connections of callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseCallers:
    """Refuse requests of callers on open connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandBack:
    """Refuse requests of callers, and hand back grants and leases."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """End the process.

    Attributes:
        calls_cut: Calls still in flight; 0 unless the drain timed out.
        drained_ms: Duration of the planned stop.
    """

    calls_cut: int
    drained_ms: float


Action = AnnounceLeave | RefuseNew | RefuseCallers | HandBack | Exit


class Drain:
    """Planned stop of one node."""

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self._is_final = False
        self._refuses_callers = False
        self._started_ms = 0.0
        self._last_busy_ms = 0.0
        self._handing_back_ms = 0.0
        self._in_flight = 0

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has started."""
        return self.phase is not Phase.SERVING

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process one event; return the actions to take, in order."""
        match event:
            case StopRequested(is_final=is_final):
                return self._stop(is_final, now_ms)
            case LeaveConfirmed():
                if self.phase is not Phase.ANNOUNCING:
                    return []
                self.phase = Phase.DRAINING
                self._last_busy_ms = now_ms
                return [RefuseNew()]
            case HandedBack():
                return self._exit(now_ms)
            case Tick(in_flight=in_flight):
                self._in_flight = in_flight
                return self._tick(now_ms)
            case _:
                typing.assert_never(event)

    def _stop(self, is_final: bool, now_ms: float) -> list[Action]:
        self._is_final = self._is_final or is_final
        if self.is_leaving:
            return []
        self.phase = Phase.ANNOUNCING
        self._started_ms = now_ms
        return [AnnounceLeave()]

    def _tick(self, now_ms: float) -> list[Action]:
        if self.phase is Phase.HANDING_BACK:
            is_late = now_ms - self._handing_back_ms >= HAND_BACK_TIMEOUT_MS
            return self._exit(now_ms) if is_late else []
        if self.phase is not Phase.DRAINING or not self._is_final:
            return []
        if self._in_flight:
            self._last_busy_ms = now_ms
        is_quiet = now_ms - self._last_busy_ms >= QUIET_PERIOD_MS
        is_late = now_ms - self._started_ms >= DRAIN_TIMEOUT_MS
        if not is_quiet and not is_late:
            return self._refuse_callers(now_ms)
        self.phase = Phase.HANDING_BACK
        self._handing_back_ms = now_ms
        return [HandBack()]

    def _refuse_callers(self, now_ms: float) -> list[Action]:
        is_due = now_ms - self._started_ms >= REFUSE_CALLERS_AFTER_MS
        if self._refuses_callers or not is_due:
            return []
        self._refuses_callers = True
        return [RefuseCallers()]

    def _exit(self, now_ms: float) -> list[Action]:
        if self.phase is not Phase.HANDING_BACK:
            return []
        self.phase = Phase.STOPPED
        return [Exit(self._in_flight, now_ms - self._started_ms)]


def drain() -> Drain:
    """Create the planned stop of a serving node."""
    return Drain()
