"""A discrete-event simulation loop with a simulated clock."""

import heapq
import typing


class EventLoop:
    """Runs callbacks in the order of their due times."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple] = []
        self._count = 0

    def call_later(
        self, delay_ms: float, callback: typing.Callable, *args: typing.Any
    ) -> None:
        """Schedule ``callback`` after ``delay_ms``."""
        self._count += 1
        heapq.heappush(
            self._events, (self.now_ms + delay_ms, self._count, callback, args)
        )

    def run(self, until_ms: float) -> None:
        """Run all callbacks due by ``until_ms``."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now_ms = until_ms
