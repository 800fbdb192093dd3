"""Many deadlines on one timer."""

import typing

_SLOT_MS = 4.0


class Deadline:
    """One callback that is due at a time, unless cancelled."""

    __slots__ = ('callback',)

    def __init__(self, callback: typing.Callable[[], None]) -> None:
        self.callback: typing.Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drop the callback."""
        self.callback = None


class DeadlineWheel:
    """Keeps deadlines by slots of 4 ms; one timer serves them all.

    A timer of the event loop for each call costs a heap operation on start
    and one on cancellation; nearly every deadline is cancelled.
    """

    def __init__(
        self, on_earlier: typing.Callable[[], None] = lambda: None
    ) -> None:
        """Create an empty wheel.

        Args:
            on_earlier: Called when ``next_due_ms`` moves to an earlier time.
        """
        self._slots: dict[int, list[Deadline]] = {}
        self._next_slot: int | None = None
        self.on_earlier = on_earlier

    @property
    def next_due_ms(self) -> float | None:
        """When to call ``expire`` next; None while there is no deadline."""
        if self._next_slot is None:
            return None
        return self._next_slot * _SLOT_MS

    def add(
        self, due_ms: float, callback: typing.Callable[[], None]
    ) -> Deadline:
        """Call ``callback`` at the first expiry at or after ``due_ms``."""
        deadline = Deadline(callback)
        slot = int(due_ms / _SLOT_MS) + 1
        entries = self._slots.get(slot)
        if entries is None:
            self._slots[slot] = [deadline]
            if self._next_slot is None or slot < self._next_slot:
                self._next_slot = slot
                self.on_earlier()
        else:
            entries.append(deadline)
        return deadline

    def expire(self, now_ms: float) -> None:
        """Call back every deadline that is due."""
        current = int(now_ms / _SLOT_MS)
        if self._next_slot is None or self._next_slot > current:
            return
        due = sorted(slot for slot in self._slots if slot <= current)
        for slot in due:
            for deadline in self._slots.pop(slot):
                if deadline.callback is not None:
                    callback, deadline.callback = deadline.callback, None
                    callback()
        self._next_slot = min(self._slots, default=None)
