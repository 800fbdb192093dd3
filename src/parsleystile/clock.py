"""The one clock type: milliseconds since an arbitrary start."""

import abc
import time

# The present is asked for some twenty times a call.
_clock_gettime = time.clock_gettime
_BOOTTIME = time.CLOCK_BOOTTIME


class Clock(abc.ABC):
    """A source of time in milliseconds."""

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary start; never goes back."""

    @abc.abstractmethod
    def wall_ms(self) -> float:
        """Return milliseconds since 1970-01-01 UTC, for records only."""


class SystemClock(Clock):
    """The clock of this machine."""

    def now_ms(self) -> float:
        """Return milliseconds since boot, time in suspend included."""
        # CLOCK_MONOTONIC stands still while a VM is suspended; a lease
        # holder that slept through its lease must notice, so boot time.
        return _clock_gettime(_BOOTTIME) * 1e3

    def wall_ms(self) -> float:
        """Return milliseconds since 1970-01-01 UTC."""
        return time.time_ns() / 1e6


class ManualClock(Clock):
    """A clock that moves only when told, for tests and driven runs."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the time last set."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the time last set."""
        return self._now_ms

    def advance(self, by_ms: float) -> float:
        """Move the clock on by ``by_ms`` and return the new time."""
        if by_ms < 0:
            raise ValueError(f'cannot advance a clock by {by_ms} ms')
        self._now_ms += by_ms
        return self._now_ms


def system_clock() -> Clock:
    """Create the clock of this machine."""
    return SystemClock()


def manual_clock(start_ms: float = 0.0) -> ManualClock:
    """Create a clock that starts at ``start_ms`` and moves when told."""
    return ManualClock(start_ms)
