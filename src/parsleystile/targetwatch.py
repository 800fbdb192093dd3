"""Liveness of the target beside this node, from its announcements."""

import dataclasses

from parsleystile import ids

# A target announces itself every second.
HEARTBEAT_TIMEOUT_MS = 3500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """The target announced itself; repeated as its heartbeat."""

    service: str
    instance: str
    port: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """The target takes no new calls and will stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionRefused:
    """The target's port refused a connection."""


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
    """The target gets no new calls; calls in flight are completed."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDown:
    """The target is gone."""

    reason: str


Action = TargetUp | TargetLeaving | TargetDown


class TargetWatch:
    """Tracks one target through start, heartbeats, leave and failure."""

    def __init__(self) -> None:
        self._announcement: Announced | None = None
        self._last_heartbeat_ms = 0.0
        self._left_instance: str | None = None

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process one event; return what changed."""
        match event:
            case Announced():
                return self._announced(event, now_ms)
            case Left():
                return self._left()
            case ConnectionRefused():
                return self._down('nothing listens at its port')
            case Tick():
                if now_ms - self._last_heartbeat_ms > HEARTBEAT_TIMEOUT_MS:
                    return self._down('no heartbeat')
        return []

    def _announced(
        self, announcement: Announced, now_ms: float
    ) -> list[Action]:
        # A heartbeat sent before the leave must not undo it.
        if announcement.instance == self._left_instance:
            return []
        self._last_heartbeat_ms = now_ms
        if announcement == self._announcement:
            return []
        self._announcement = announcement
        self._left_instance = None
        return [
            TargetUp(
                ids.ServiceName(announcement.service),
                announcement.port,
                announcement.slots,
            )
        ]

    def _left(self) -> list[Action]:
        if self._announcement is None:
            return []
        self._left_instance = self._announcement.instance
        self._announcement = None
        return [TargetLeaving()]

    def _down(self, reason: str) -> list[Action]:
        if self._announcement is None:
            return []
        # The next heartbeat brings the target up again, cold.
        self._announcement = None
        return [TargetDown(reason)]


def target_watch() -> TargetWatch:
    """Create a watch without a target."""
    return TargetWatch()
