"""Whether another place has the departures that this node's row names.

The load that it answers: targets that leave while the store is away or slow,
beside nodes that are killed just then. A departure is acknowledged only once
it outlasts this process: the store has it or, while that does not answer,
another node.
"""

import dataclasses
import typing

from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile.relay import departures
from parsleystile.relay import memberrow

# Time for the store to confirm before another node's word is enough.
STORE_WAIT_MS = 300.0
# Time after which a departure that no other place has is not acknowledged. A
# report waits for one second.
KEEP_TIMEOUT_MS = 800.0

Revision = tuple[int, int]
OnKept = typing.Callable[[bool], None]
_NOTHING: Revision = (-1, -1)


@dataclasses.dataclass(slots=True)
class _Wait:
    revision: Revision
    on_kept: OnKept
    asked_ms: float


class RowKeeping:
    """Which revisions of this node's row the store and other nodes have."""

    def __init__(
        self, clock: clocks.Clock, wheel: deadlines.DeadlineWheel
    ) -> None:
        self._clock = clock
        self._wheel = wheel
        self._departures: departures.Departures = ()
        # First revision of the row that names all its departures.
        self._needed = _NOTHING
        self._stored = _NOTHING
        self._told = _NOTHING
        self._waits: list[_Wait] = []

    def note_own(self, row: memberrow.Row) -> bool:
        """Note this node's row; False if it names no other departures."""
        if row.departures == self._departures:
            return False
        self._departures = row.departures
        self._needed = row.revision
        return True

    def note_stored(self, revision: Revision) -> None:
        """Note that the store has a revision of the row."""
        self._stored = max(self._stored, revision)
        self._check()

    def note_told(self, revision: Revision) -> None:
        """Note that another node has a revision of the row."""
        self._told = max(self._told, revision)
        self._check()

    @property
    def is_kept(self) -> bool:
        """Whether any other place has all departures."""
        return max(self._stored, self._told) >= self._needed

    def when_kept(self, on_kept: OnKept) -> None:
        """Call back, with False if no other place has the departures in time.

        Args:
            on_kept: Called once, at once if the store has them.
        """
        wait = _Wait(self._needed, on_kept, self._clock.now_ms())
        self._waits.append(wait)
        self._check()
        if wait in self._waits:
            for timeout_ms in (STORE_WAIT_MS, KEEP_TIMEOUT_MS):
                self._wheel.add(wait.asked_ms + timeout_ms, self._check)

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        waits, self._waits = self._waits, []
        for wait in waits:
            is_kept = self._is_kept(wait, now_ms)
            if is_kept is None:
                self._waits.append(wait)
            else:
                wait.on_kept(is_kept)

    def _is_kept(self, wait: _Wait, now_ms: float) -> bool | None:
        """Return the verdict; None while there is none."""
        waited_ms = now_ms - wait.asked_ms
        if self._stored >= wait.revision:
            return True
        if waited_ms < STORE_WAIT_MS:
            return None
        if self._told >= wait.revision:
            return True
        return False if waited_ms >= KEEP_TIMEOUT_MS else None


def row_keeping(
    clock: clocks.Clock, wheel: deadlines.DeadlineWheel
) -> RowKeeping:
    """Create the state of a node whose row no other place has."""
    return RowKeeping(clock, wheel)
