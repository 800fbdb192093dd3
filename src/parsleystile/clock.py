"""Clocks that count milliseconds since an arbitrary start."""

import abc
import time

# Bound once to save lookups: the clock is read about twenty times per call.
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
        # CLOCK_MONOTONIC stops while a VM is suspended, and a lease holder
        # must notice that its lease expired meanwhile.
        return _clock_gettime(_BOOTTIME) * 1e3

    def wall_ms(self) -> float:
        """Return milliseconds since 1970-01-01 UTC."""
        return time.time_ns() / 1e6


class ManualClock(Clock):
    """A clock that moves only by ``advance``, for tests and simulations."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the current manual time."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the current manual time."""
        return self._now_ms

    def advance(self, by_ms: float) -> float:
        """Move the clock forward by ``by_ms`` and return the new time.

        Raises:
            ValueError: ``by_ms`` is negative.
        """
        if by_ms < 0:
            raise ValueError(f'cannot advance a clock by {by_ms} ms')
        self._now_ms += by_ms
        return self._now_ms


def system_clock() -> Clock:
    """Create the clock of this machine."""
    return SystemClock()


def manual_clock(start_ms: float = 0.0) -> ManualClock:
    """Create a clock that starts at ``start_ms``; see ``ManualClock``."""
    return ManualClock(start_ms)
