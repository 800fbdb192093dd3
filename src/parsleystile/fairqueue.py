"""The calls that wait for a slot, in order of class and fair share."""

import collections
import dataclasses
import heapq
import typing

from parsleystile import ids

_CLASSES = 3
# Lazily removed entries are swept once they outnumber the live ones so.
_STALE_FACTOR = 2
_STALE_FLOOR = 64


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
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
    holds the least slots for its weight; within that the oldest or, when
    asked so, the newest call.
    """

    def __init__(self) -> None:
        self._shares: dict[ids.OrganisationId, _Share] = {}
        self._weights = 0.0
        self._by_class: list[dict[ids.OrganisationId, _Line]] = [
            {} for _ in range(_CLASSES)
        ]
        self._live: dict[typing.Hashable, Waiting] = {}
        self._drops: list[tuple[float, int, Waiting]] = []
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._live)

    @property
    def next_drop_ms(self) -> float:
        """When ``pop_late`` may next find something; inf if never."""
        return self._drops[0][0] if self._drops else float('inf')

    def is_under_share(
        self, organisation: ids.OrganisationId, weight: float, limit: int
    ) -> bool:
        """Whether one more call keeps it within an even share of slots."""
        share = self._shares.get(organisation)
        if share is None:
            return weight * limit >= self._weights + weight
        held = share.in_use + share.queued + 1
        return held * self._weights <= share.weight * limit

    def occupy(self, organisation: ids.OrganisationId, weight: float) -> None:
        """Count a slot as in use."""
        self._share(organisation, weight).in_use += 1

    def release(self, organisation: ids.OrganisationId) -> None:
        """Count a slot as free again."""
        share = self._shares[organisation]
        share.in_use -= 1
        self._forget_idle(organisation, share)

    def push(self, waiting: Waiting) -> None:
        """Add a call."""
        share = self._share(waiting.organisation, waiting.weight)
        share.queued += 1
        lines = self._by_class[waiting.importance]
        line = lines.get(waiting.organisation)
        if line is None:
            line = _Line(share, collections.deque())
            lines[waiting.organisation] = line
        line.entries.append(waiting)
        line.live += 1
        self._live[waiting.call_key] = waiting
        self._pushed += 1
        heapq.heappush(self._drops, (waiting.drop_ms, self._pushed, waiting))

    def pop(self, newest_first: bool) -> Waiting | None:
        """Take the call that should start next."""
        for lines in self._by_class:
            if lines:
                line = _neediest(lines)
                waiting = line.newest() if newest_first else line.oldest()
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
        waiting = self._live.get(call_key)
        if waiting is not None:
            self._take(waiting)
        return waiting

    def _share(
        self, organisation: ids.OrganisationId, weight: float
    ) -> _Share:
        share = self._shares.get(organisation)
        if share is None:
            share = self._shares[organisation] = _Share(weight)
            self._weights += weight
        return share

    def _forget_idle(
        self, organisation: ids.OrganisationId, share: _Share
    ) -> None:
        if share.in_use or share.queued:
            return
        del self._shares[organisation]
        # Sums of fractions drift; an empty table puts that right.
        self._weights -= share.weight
        if not self._shares:
            self._weights = 0.0

    def _outdoes(self, most: float, organisation: ids.OrganisationId) -> bool:
        """Whether a newcomer of ``organisation`` beats a load of ``most``."""
        share = self._shares.get(organisation)
        if share is None:
            return True
        return (share.in_use + share.queued) / share.weight <= most

    def _take(self, waiting: Waiting) -> None:
        waiting.is_live = False
        del self._live[waiting.call_key]
        lines = self._by_class[waiting.importance]
        line = lines[waiting.organisation]
        line.live -= 1
        if line.live == 0:
            del lines[waiting.organisation]
        line.share.queued -= 1
        self._forget_idle(waiting.organisation, line.share)
        if len(self._drops) > (_STALE_FACTOR * len(self._live) + _STALE_FLOOR):
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
        load = share.in_use / share.weight
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
