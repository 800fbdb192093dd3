"""Whether there is a target beside this node, from its announcements."""

import dataclasses

from parsleystile import ids

# A target announces itself every second.
HEARTBEAT_LIMIT_MS = 3500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """The target told what it is; also its heartbeat."""

    service: str
    instance: str
    port: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """The target wants no new calls and will stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionRefused:
    """Nothing listens at the target's port."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Announced | Left | ConnectionRefused | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUp:
    """A target has started, cold."""

    service: ids.ServiceName
    port: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeaving:
    """The target gets nothing new; calls at it run to their end."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDown:
    """There is no target any more."""

    reason: str


Action = TargetUp | TargetLeaving | TargetDown


class TargetWatch:
    """Follows one target through start, heartbeats, leave and death."""

    def __init__(self) -> None:
        self._last: Announced | None = None
        self._heard_ms = 0.0
        self._left_instance: str | None = None

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take in one event; return what changed."""
        match event:
            case Announced():
                return self._announced(event, now_ms)
            case Left():
                return self._left()
            case ConnectionRefused():
                return self._down('nothing listens at its port')
            case Tick():
                if now_ms - self._heard_ms > HEARTBEAT_LIMIT_MS:
                    return self._down('no heartbeat')
        return []

    def _announced(self, said: Announced, now_ms: float) -> list[Action]:
        # A heartbeat on its way while the target left brings nothing back.
        if said.instance == self._left_instance:
            return []
        self._heard_ms = now_ms
        if said == self._last:
            return []
        self._last = said
        self._left_instance = None
        return [TargetUp(ids.ServiceName(said.service), said.port, said.slots)]

    def _left(self) -> list[Action]:
        if self._last is None:
            return []
        self._left_instance = self._last.instance
        self._last = None
        return [TargetLeaving()]

    def _down(self, reason: str) -> list[Action]:
        if self._last is None:
            return []
        # Its next heartbeat starts it anew, cold.
        self._last = None
        return [TargetDown(reason)]


def target_watch() -> TargetWatch:
    """Create a watch that has seen no target yet."""
    return TargetWatch()
