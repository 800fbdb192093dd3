"""Decides whose bytes a node gives up when its memory is short.

The load that it answers: many callers with large bodies that stop before
their end, or that don't read their answers. Each is within the operator's
limits, and all together exceed the machine.
"""

import enum
import random
import typing

# Holders are counted in steps of this size, and not at all below it.
STEP_BYTES = 16_384
# Memory of a machine that names none; the bound of a node's design.
DEFAULT_MEMORY_BYTES = 256_000_000
# What a node takes without callers.
_REST_BYTES = 56_000_000
# What a connection takes that holds less than a step.
_CONNECTION_BYTES = 24_576
# A holder without a step for this time stands still.
_STALL_MS = 1_000.0
# Spreads the return of those who found no room.
_RETRY_AFTER_RANGE_MS = (500, 1_500)
# Below this part of the bound a holder yields last.
_SMALL_PART = 64
# Holders that stand still yield until this part of the bound is free, so that
# they are not sorted again for each step of another.
_FREE_PART = 16


class Use(enum.Enum):
    """What the bytes of a holder are."""

    # A request that is not whole.
    READING = 'reading'
    # An answer that its caller doesn't take.
    UNSENT = 'unsent'
    # A whole request, or one of many answers: it can't yield.
    FIXED = 'fixed'


class Holder(typing.Protocol):
    """Something that holds bytes.

    Attributes:
        held_bytes: As last counted.
        started_ms: Start of what it holds.
        progressed_ms: Time of its last step.
    """

    held_bytes: int
    started_ms: float
    progressed_ms: float

    @property
    def use(self) -> Use:
        """What it holds, as far as it could yield it."""

    def yield_bytes(self, why: str) -> None:
        """Give up what it can and count again."""


class Fixed:
    """Bytes that can't yield, of a part that bounds them itself."""

    use = Use.FIXED

    def __init__(self) -> None:
        self.held_bytes = 0
        self.started_ms = 0.0
        self.progressed_ms = 0.0

    def yield_bytes(self, why: str) -> None:
        """Keep them."""


class HeldBytes:
    """Counts the bytes that callers leave at a node.

    Attributes:
        max_bytes: The bound.
        held_bytes: Bytes of all holders.
        connections: Returns the number of open connections.
    """

    def __init__(self, max_bytes: int, rng: random.Random) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.connections: typing.Callable[[], int] = lambda: 0
        self._holders: set[Holder] = set()
        self._is_making_room = False
        self._rng = rng

    @property
    def room_bytes(self) -> int:
        """What is free; negative when the bound is exceeded."""
        taken = self.held_bytes + _CONNECTION_BYTES * self.connections()
        return self.max_bytes - taken

    def count(self, holder: Holder, size: int, now_ms: float) -> None:
        """Count a holder with its present size; 0 when it holds nothing.

        Others yield if the bound is exceeded, or the holder itself.
        """
        before = holder.held_bytes
        self.held_bytes += size - before
        holder.held_bytes = size
        holder.progressed_ms = now_ms
        if size:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)
        if size > before and self.room_bytes < 0:
            self._make_room(now_ms)

    def has_room(self, holder: Holder, size: int, now_ms: float) -> bool:
        """Whether a holder may grow to a size that it has announced.

        Holders that stand still don't count: they yield first.
        """
        others = sum(
            h.held_bytes
            for h in self._holders
            if h is not holder and not _stands_still(h, now_ms)
        )
        taken = others + _CONNECTION_BYTES * self.connections()
        return not others or taken + size <= self.max_bytes

    def retry_after_ms(self) -> int:
        """Return when a caller who found no room may return."""
        return self._rng.randint(*_RETRY_AFTER_RANGE_MS)

    def _make_room(self, now_ms: float) -> None:
        if self._is_making_room:
            return
        self._is_making_room = True
        try:
            self._yield_until_free(now_ms)
        finally:
            self._is_making_room = False

    def _yield_until_free(self, now_ms: float) -> None:
        small_bytes = self.max_bytes // _SMALL_PART
        free_bytes = self.max_bytes // _FREE_PART
        holders = [h for h in self._holders if h.use is not Use.FIXED]
        if len(self._holders) == 1:
            # Alone on its node.
            return
        holders.sort(key=lambda h: _yield_order(h, small_bytes, now_ms))
        for holder in holders:
            is_needed = self.room_bytes < 0 or (
                self.room_bytes < free_bytes and _stands_still(holder, now_ms)
            )
            if not is_needed:
                return
            holder.yield_bytes('no room for it at this node')


def _stands_still(holder: Holder, now_ms: float) -> bool:
    return (
        holder.use is not Use.FIXED
        and now_ms - holder.progressed_ms >= _STALL_MS
    )


def _yield_order(
    holder: Holder, small_bytes: int, now_ms: float
) -> tuple[int, float]:
    """Return the rank of a holder; the lowest yields first."""
    if _stands_still(holder, now_ms):
        return 0, holder.progressed_ms
    if holder.held_bytes < small_bytes:
        return 3, -holder.started_ms
    if holder.use is Use.READING:
        return 1, -holder.started_ms
    return 2, -holder.held_bytes


def held_bytes(memory_bytes: int, rng: random.Random) -> HeldBytes:
    """Create a count for a machine with this memory."""
    max_bytes = max(memory_bytes - _REST_BYTES, memory_bytes // 4)
    return HeldBytes(max_bytes, rng)
