"""Many deadlines on one timer."""

import heapq
import typing

_SLOT_MS = 4.0


class Deadline:
    """One callback that is due at a time, unless cancelled."""

    __slots__ = ('_slot', '_slots', 'callback')

    def __init__(
        self,
        callback: typing.Callable[[], None],
        slots: dict[int, dict['Deadline', None]],
        slot: int,
    ) -> None:
        self.callback: typing.Callable[[], None] | None = callback
        self._slots = slots
        self._slot = slot

    def cancel(self) -> None:
        """Drop the callback."""
        if self.callback is None:
            return
        self.callback = None
        entries = self._slots.get(self._slot)
        if entries is not None:
            entries.pop(self, None)
            # Nobody need wake up for a slot that holds nothing any more.
            if not entries:
                del self._slots[self._slot]


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
        self._slots: dict[int, dict[Deadline, None]] = {}
        # Each slot in use, and some that were emptied by cancelling.
        self._order: list[int] = []
        # Slots up to here are over; what is due already comes with the next.
        self._over = -1
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
        slot = max(int(due_ms / _SLOT_MS), self._over) + 1
        deadline = Deadline(callback, self._slots, slot)
        entries = self._slots.get(slot)
        if entries is None:
            self._slots[slot] = {deadline: None}
            heapq.heappush(self._order, slot)
            if self._next_slot is None or slot < self._next_slot:
                self._next_slot = slot
                self.on_earlier()
        else:
            entries[deadline] = None
        return deadline

    def expire(self, now_ms: float) -> None:
        """Call back every deadline that is due."""
        current = int(now_ms / _SLOT_MS)
        if self._next_slot is None or self._next_slot > current:
            return
        self._over = current
        order = self._order
        while order and order[0] <= current:
            # A callback may cancel others of its slot, or empty a later one.
            for deadline in self._slots.pop(heapq.heappop(order), ()):
                if deadline.callback is not None:
                    callback, deadline.callback = deadline.callback, None
                    callback()
        while order and order[0] not in self._slots:
            heapq.heappop(order)
        self._next_slot = order[0] if order else None
