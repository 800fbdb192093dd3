"""Timing wheel: many deadlines served by one timer."""

import heapq
import typing

_SLOT_MS = 4.0


class Deadline:
    """A callback due at a time; may be cancelled."""

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
        """Cancel the deadline; does nothing once it is due or cancelled."""
        if self.callback is None:
            return
        self.callback = None
        entries = self._slots.get(self._slot)
        if entries is not None:
            entries.pop(self, None)
            # An empty slot must not cause a wake-up.
            if not entries:
                del self._slots[self._slot]


class DeadlineWheel:
    """Groups deadlines into slots of 4 ms, all served by one timer.

    An event loop timer per call would cost a heap operation on start and one
    on cancellation, and nearly every deadline is cancelled.
    """

    def __init__(
        self, on_earlier: typing.Callable[[], None] = lambda: None
    ) -> None:
        """Create an empty wheel.

        Args:
            on_earlier: Called when ``next_due_ms`` moves to an earlier time.
        """
        self._slots: dict[int, dict[Deadline, None]] = {}
        # Heap of the slots in use; may contain slots emptied by cancelling.
        self._slot_heap: list[int] = []
        # Last expired slot; a deadline already due goes into the next slot.
        self._expired_slot = -1
        self._next_slot: int | None = None
        self.on_earlier = on_earlier

    @property
    def next_due_ms(self) -> float | None:
        """Time of the next ``expire`` call; None without deadlines."""
        if self._next_slot is None:
            return None
        return self._next_slot * _SLOT_MS

    def add(
        self, due_ms: float, callback: typing.Callable[[], None]
    ) -> Deadline:
        """Call ``callback`` at the first expiry at or after ``due_ms``."""
        slot = max(int(due_ms / _SLOT_MS), self._expired_slot) + 1
        deadline = Deadline(callback, self._slots, slot)
        entries = self._slots.get(slot)
        if entries is None:
            self._slots[slot] = {deadline: None}
            heapq.heappush(self._slot_heap, slot)
            if self._next_slot is None or slot < self._next_slot:
                self._next_slot = slot
                self.on_earlier()
        else:
            entries[deadline] = None
        return deadline

    def expire(self, now_ms: float) -> None:
        """Call the callbacks of all deadlines that are due.

        If a callback raises, the deadlines after it stay due.
        """
        current = int(now_ms / _SLOT_MS)
        if self._next_slot is None or self._next_slot > current:
            return
        self._expired_slot = current
        heap = self._slot_heap
        while heap and heap[0] <= current:
            entries = self._slots.get(heap[0])
            # A callback may cancel others in its slot, or empty a later slot.
            while entries:
                deadline = next(iter(entries))
                del entries[deadline]
                callback, deadline.callback = deadline.callback, None
                callback()
            self._slots.pop(heapq.heappop(heap), None)
        while heap and heap[0] not in self._slots:
            heapq.heappop(heap)
        self._next_slot = heap[0] if heap else None
