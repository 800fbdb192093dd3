"""Drives a deadline wheel with timers of the event loop."""

import asyncio
import typing

from parsleystile import clock as clocks
from parsleystile import deadlines

_MS_PER_S = 1000.0
# A loop that keeps time in whole milliseconds may wake up to 1.5 ms early: it
# truncates the current time and rounds the delay. Without this margin the
# timer would fire repeatedly with nothing due.
_TIMER_ERROR_MS = 2.0


class TimerLoop(typing.Protocol):
    """Part of the event loop interface that a ticker uses."""

    def call_later(
        self, delay: float, callback: typing.Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Call ``callback`` after ``delay`` seconds."""


class Ticker:
    """Expires the deadlines of a wheel on the running event loop."""

    def __init__(self, clock: clocks.Clock, loop: TimerLoop) -> None:
        self._clock = clock
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self.wheel = deadlines.DeadlineWheel(self._schedule)
        self._closed = False

    def every(
        self, period_ms: float, callback: typing.Callable[[], None]
    ) -> None:
        """Call ``callback`` periodically, first after ``period_ms``."""

        def run_and_reschedule() -> None:
            if not self._closed:
                self.wheel.add(
                    self._clock.now_ms() + period_ms, run_and_reschedule
                )
                callback()

        self.wheel.add(self._clock.now_ms() + period_ms, run_and_reschedule)

    def close(self) -> None:
        """Stop; no further callbacks are called."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        due_ms = self.wheel.next_due_ms
        if due_ms is None or self._closed:
            return
        if self._timer is not None:
            self._timer.cancel()
        wait_ms = max(0.0, due_ms - self._clock.now_ms())
        delay_ms = wait_ms + _TIMER_ERROR_MS
        self._timer = self._loop.call_later(delay_ms / _MS_PER_S, self._expire)

    def _expire(self) -> None:
        self._timer = None
        try:
            self.wheel.expire(self._clock.now_ms())
        finally:
            self._schedule()


def ticker(clock: clocks.Clock, loop: TimerLoop | None = None) -> Ticker:
    """Create a ticker on an event loop, by default on the running one."""
    return Ticker(clock, loop or asyncio.get_running_loop())
