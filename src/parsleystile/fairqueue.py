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


class FairQueue:
    """Weighted max-min fairness over the slots in use.

    The most important class goes first; within it the organisation that
    holds the least slots for its weight; within that the oldest or, when
    asked so, the newest call.
    """

    def __init__(self) -> None:
        self._shares: dict[ids.OrganisationId, _Share] = {}
        self._weights = 0.0
        self._by_class: tuple[dict, ...] = tuple({} for _ in range(_CLASSES))
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
        self._share(waiting.organisation, waiting.weight).queued += 1
        lines = self._by_class[waiting.importance]
        line = lines.get(waiting.organisation)
        if line is None:
            line = lines[waiting.organisation] = collections.deque()
        line.append(waiting)
        self._live[waiting.call_key] = waiting
        self._pushed += 1
        heapq.heappush(self._drops, (waiting.drop_ms, self._pushed, waiting))

    def pop(self, newest_first: bool) -> Waiting | None:
        """Take the call that should start next."""
        for lines in self._by_class:
            line = self._neediest(lines)
            if line is not None:
                waiting = line[-1] if newest_first else line[0]
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
        for queued in range(_CLASSES - 1, importance - 1, -1):
            line = self._greediest(
                self._by_class[queued],
                organisation if queued == importance else None,
            )
            if line is not None:
                victim = line[0]
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
        if share.in_use == 0 and share.queued == 0:
            del self._shares[organisation]
            self._weights = sum(s.weight for s in self._shares.values())

    def _neediest(
        self, lines: dict[ids.OrganisationId, collections.deque]
    ) -> collections.deque | None:
        best = None
        least = float('inf')
        for organisation, line in list(lines.items()):
            if not _trim(line):
                del lines[organisation]
                continue
            share = self._shares[organisation]
            load = share.in_use / share.weight
            if load < least:
                best, least = line, load
        return best

    def _greediest(
        self,
        lines: dict[ids.OrganisationId, collections.deque],
        newcomer: ids.OrganisationId | None,
    ) -> collections.deque | None:
        best = None
        most = 0.0
        for organisation, line in list(lines.items()):
            if not _trim(line):
                del lines[organisation]
                continue
            share = self._shares[organisation]
            held = share.in_use + share.queued
            # A tie goes against the newcomer's own organisation.
            load = (held + (organisation == newcomer)) / share.weight
            if load > most:
                best, most = line, load
        if newcomer is None or newcomer in self._shares:
            return best
        return best if most > 1.0 else None

    def _take(self, waiting: Waiting) -> None:
        waiting.is_live = False
        del self._live[waiting.call_key]
        share = self._shares[waiting.organisation]
        share.queued -= 1
        self._forget_idle(waiting.organisation, share)
        if len(self._drops) > (_STALE_FACTOR * len(self._live) + _STALE_FLOOR):
            self._sweep()

    def _sweep(self) -> None:
        self._drops = [d for d in self._drops if d[2].is_live]
        heapq.heapify(self._drops)
        for lines in self._by_class:
            for organisation, line in list(lines.items()):
                live = collections.deque(w for w in line if w.is_live)
                if live:
                    lines[organisation] = live
                else:
                    del lines[organisation]


def _trim(line: collections.deque) -> bool:
    """Drop dead entries at both ends; tell whether any is left."""
    while line and not line[0].is_live:
        line.popleft()
    while line and not line[-1].is_live:
        line.pop()
    return bool(line)
