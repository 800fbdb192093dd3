"""The calls that wait for a slot, in order of class and fair share."""

import collections
import dataclasses
import heapq
import typing

import msgspec

from parsleystile import ids

_CLASSES = 3
# Lazily removed entries are swept once they outnumber the live ones so.
_STALE_FACTOR = 2
_STALE_FLOOR = 64


class Waiting(msgspec.Struct, eq=False):
    """A call that waits.

    Attributes:
        importance: Whole part of the rank.
        drop_ms: From then on the call cannot finish by its deadline.
        is_live: False once it was started, dropped or cancelled.
    """

    call_key: typing.Hashable
    organisation: ids.OrganisationId
    importance: int
    deadline_ms: float
    weight: float
    route: str
    drop_ms: float
    is_live: bool = True


@dataclasses.dataclass(slots=True)
class _Share:
    """What one organisation holds."""

    weight: float
    in_use: int = 0
    queued: int = 0
    # Since when some call of it has been queued.
    queued_since_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class _Line:
    """The calls of one organisation and class, oldest first.

    Attributes:
        live: Entries that are still queued; the others are skipped.
    """

    share: _Share
    entries: collections.deque[Waiting]
    live: int = 0

    def newest(self) -> Waiting:
        """Return the newest live entry; there must be one."""
        while not self.entries[-1].is_live:
            self.entries.pop()
        return self.entries[-1]

    def oldest(self) -> Waiting:
        """Return the oldest live entry; there must be one."""
        while not self.entries[0].is_live:
            self.entries.popleft()
        return self.entries[0]


class FairQueue:
    """Weighted max-min fairness over the slots in use.

    The most important class goes first; within it the organisation that
    holds the least slots for its weight; within that the oldest call or,
    if its calls have been queued for long, the newest.

    Attributes:
        calls: Calls that wait, by key; change them by methods only.
    """

    def __init__(self) -> None:
        self._shares: dict[ids.OrganisationId, _Share] = {}
        self._by_class: list[dict[ids.OrganisationId, _Line]] = [
            {} for _ in range(_CLASSES)
        ]
        self.calls: dict[typing.Hashable, Waiting] = {}
        self._drops: list[tuple[float, int, Waiting]] = []
        self._pushed = 0

    def __len__(self) -> int:
        return len(self.calls)

    @property
    def next_drop_ms(self) -> float:
        """When ``pop_late`` may next find something; inf if never."""
        drops = self._drops
        while drops and not drops[0][2].is_live:
            heapq.heappop(drops)
        return drops[0][0] if drops else float('inf')

    def standing(self, since_ms: float) -> typing.Iterator[ids.OrganisationId]:
        """Yield organisations with calls queued ever since a time."""
        for organisation, share in self._shares.items():
            if share.queued and share.queued_since_ms <= since_ms:
                yield organisation

    def occupy(self, organisation: ids.OrganisationId, weight: float) -> None:
        """Count a slot as in use."""
        self._share(organisation, weight).in_use += 1

    def release(self, organisation: ids.OrganisationId) -> None:
        """Count a slot as free again."""
        share = self._shares[organisation]
        share.in_use -= 1
        self._forget_idle(organisation, share)

    def push(self, waiting: Waiting, now_ms: float) -> None:
        """Add a call."""
        share = self._share(waiting.organisation, waiting.weight)
        if share.queued == 0:
            share.queued_since_ms = now_ms
        share.queued += 1
        lines = self._by_class[waiting.importance]
        line = lines.get(waiting.organisation)
        if line is None:
            line = _Line(share, collections.deque())
            lines[waiting.organisation] = line
        line.entries.append(waiting)
        line.live += 1
        self.calls[waiting.call_key] = waiting
        self._pushed += 1
        heapq.heappush(self._drops, (waiting.drop_ms, self._pushed, waiting))

    def pop(self, standing_since_ms: float) -> Waiting | None:
        """Take the call that should start next.

        Organisations with calls queued ever since the time given are
        served newest first, the others oldest first.
        """
        for lines in self._by_class:
            if lines:
                line = _neediest(lines)
                if line.share.queued_since_ms <= standing_since_ms:
                    waiting = line.newest()
                else:
                    waiting = line.oldest()
                self._take(waiting)
                return waiting
        return None

    def pop_late(self, now_ms: float) -> Waiting | None:
        """Take a call that cannot finish any more, if there is one."""
        drops = self._drops
        while drops and drops[0][0] <= now_ms:
            waiting = heapq.heappop(drops)[2]
            if waiting.is_live:
                self._take(waiting)
                return waiting
        return None

    def pop_victim(
        self, organisation: ids.OrganisationId, importance: int
    ) -> Waiting | None:
        """Take the call to refuse in favour of a new one.

        Returns:
            The oldest call of the least important class, of the
            organisation that holds the most there; None if the new call
            is itself the one to refuse.
        """
        for at in range(_CLASSES - 1, importance - 1, -1):
            lines = self._by_class[at]
            if not lines:
                continue
            line, most = _greediest(lines)
            if at == importance and not self._outdoes(most, organisation):
                return None
            victim = line.oldest()
            self._take(victim)
            return victim
        return None

    def remove(self, call_key: typing.Hashable) -> Waiting | None:
        """Take out one call by its key."""
        waiting = self.calls.get(call_key)
        if waiting is not None:
            self._take(waiting)
        return waiting

    def _share(
        self, organisation: ids.OrganisationId, weight: float
    ) -> _Share:
        share = self._shares.get(organisation)
        if share is None:
            share = self._shares[organisation] = _Share(weight)
        return share

    def _forget_idle(
        self, organisation: ids.OrganisationId, share: _Share
    ) -> None:
        if share.in_use or share.queued:
            return
        del self._shares[organisation]

    def _outdoes(self, most: float, organisation: ids.OrganisationId) -> bool:
        """Whether a newcomer of ``organisation`` beats a load of ``most``."""
        share = self._shares.get(organisation)
        if share is None:
            return True
        return (share.in_use + share.queued) / share.weight <= most

    def _take(self, waiting: Waiting) -> None:
        waiting.is_live = False
        del self.calls[waiting.call_key]
        lines = self._by_class[waiting.importance]
        line = lines[waiting.organisation]
        line.live -= 1
        if line.live == 0:
            del lines[waiting.organisation]
        line.share.queued -= 1
        self._forget_idle(waiting.organisation, line.share)
        if len(self._drops) > (_STALE_FACTOR * len(self.calls) + _STALE_FLOOR):
            self._sweep()

    def _sweep(self) -> None:
        """Let go of entries that are no longer queued."""
        self._drops = [d for d in self._drops if d[2].is_live]
        heapq.heapify(self._drops)
        for lines in self._by_class:
            for line in lines.values():
                line.entries = collections.deque(
                    entry for entry in line.entries if entry.is_live
                )


def _neediest(lines: dict[ids.OrganisationId, _Line]) -> _Line:
    """Return the line of the organisation with the least slots in use."""
    best = None
    least = float('inf')
    for line in lines.values():
        share = line.share
        # Half a slot more divides few slots in proportion without bias.
        load = (share.in_use + 0.5) / share.weight
        if load < least:
            best = line
            least = load
    return best


def _greediest(
    lines: dict[ids.OrganisationId, _Line],
) -> tuple[_Line, float]:
    """Return the line of the organisation that holds most, and how much."""
    best = None
    most = 0.0
    for line in lines.values():
        share = line.share
        load = (share.in_use + share.queued) / share.weight
        if load > most:
            best = line
            most = load
    return best, most
