"""Queue of waiting calls: priority by class, then weighted fair sharing."""

import collections
import dataclasses
import heapq
import typing

import msgspec

from parsleystile import ids

_CLASSES = 3
# Removed entries stay in the heap and the flows until the heap exceeds this
# factor times the live entries, plus the floor; then both are compacted.
_STALE_FACTOR = 2
_STALE_FLOOR = 64


class Waiting(msgspec.Struct, eq=False):
    """A queued call.

    Attributes:
        importance: Importance class; the integer part of the rank.
        latest_start_ms: A call not started before this misses its deadline.
        is_live: False once it is started, refused or cancelled.
    """

    call_key: typing.Hashable
    organisation: ids.OrganisationId
    importance: int
    deadline_ms: float
    weight: float
    route: str
    latest_start_ms: float
    is_live: bool = True


@dataclasses.dataclass(slots=True)
class _Share:
    """Slots in use and queued calls of one organisation."""

    weight: float
    in_use: int = 0
    queued: int = 0
    # Time since which at least one of its calls has been queued.
    queued_since_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class _Flow:
    """The calls of one organisation and class, oldest first.

    Attributes:
        live: Number of entries still queued; the others are skipped.
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

    The most important class is served first. Within a class, the
    organisation with the fewest slots in use per weight is served first:
    its oldest call or, if it has a standing queue, its newest.

    Attributes:
        calls: Queued calls by key; read only.
    """

    def __init__(self) -> None:
        self._shares: dict[ids.OrganisationId, _Share] = {}
        self._flows_by_class: list[dict[ids.OrganisationId, _Flow]] = [
            {} for _ in range(_CLASSES)
        ]
        self.calls: dict[typing.Hashable, Waiting] = {}
        self._expiry_heap: list[tuple[float, int, Waiting]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self.calls)

    @property
    def next_expiry_ms(self) -> float:
        """Earliest time ``pop_expired`` returns a call; inf if never."""
        heap = self._expiry_heap
        while heap and not heap[0][2].is_live:
            heapq.heappop(heap)
        return heap[0][0] if heap else float('inf')

    def standing_since(
        self, since_ms: float
    ) -> typing.Iterator[ids.OrganisationId]:
        """Yield organisations that have had queued calls since a time."""
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
        self._drop_idle_share(organisation, share)

    def push(self, waiting: Waiting, now_ms: float) -> None:
        """Add a call."""
        share = self._share(waiting.organisation, waiting.weight)
        if share.queued == 0:
            share.queued_since_ms = now_ms
        share.queued += 1
        flows = self._flows_by_class[waiting.importance]
        flow = flows.get(waiting.organisation)
        if flow is None:
            flow = _Flow(share, collections.deque())
            flows[waiting.organisation] = flow
        flow.entries.append(waiting)
        flow.live += 1
        self.calls[waiting.call_key] = waiting
        self._sequence += 1
        heapq.heappush(
            self._expiry_heap,
            (waiting.latest_start_ms, self._sequence, waiting),
        )

    def pop(self, standing_since_ms: float) -> Waiting | None:
        """Remove and return the call to start next; None if empty.

        Args:
            standing_since_ms: Organisations that have had queued calls since
                this time are served newest first, others oldest first.
        """
        for flows in self._flows_by_class:
            if flows:
                flow = _least_served(flows)
                if flow.share.queued_since_ms <= standing_since_ms:
                    waiting = flow.newest()
                else:
                    waiting = flow.oldest()
                self._unlink(waiting)
                return waiting
        return None

    def pop_expired(self, now_ms: float) -> Waiting | None:
        """Remove and return a call that can't meet its deadline, if any."""
        heap = self._expiry_heap
        while heap and heap[0][0] <= now_ms:
            waiting = heapq.heappop(heap)[2]
            if waiting.is_live:
                self._unlink(waiting)
                return waiting
        return None

    def pop_victim(
        self, organisation: ids.OrganisationId, importance: int
    ) -> Waiting | None:
        """Remove and return the queued call that a new one displaces.

        Returns:
            The oldest call of the most loaded organisation in the least
            important class; None if the new call is the one to refuse.
        """
        for importance_class in range(_CLASSES - 1, importance - 1, -1):
            flows = self._flows_by_class[importance_class]
            if not flows:
                continue
            flow, highest_load = _most_loaded(flows)
            if importance_class == importance and not self._is_lighter(
                highest_load, organisation
            ):
                return None
            victim = flow.oldest()
            self._unlink(victim)
            return victim
        return None

    def remove(self, call_key: typing.Hashable) -> Waiting | None:
        """Remove a call by its key; return it, or None if not queued."""
        waiting = self.calls.get(call_key)
        if waiting is not None:
            self._unlink(waiting)
        return waiting

    def _share(
        self, organisation: ids.OrganisationId, weight: float
    ) -> _Share:
        share = self._shares.get(organisation)
        if share is None:
            share = self._shares[organisation] = _Share(weight)
        return share

    def _drop_idle_share(
        self, organisation: ids.OrganisationId, share: _Share
    ) -> None:
        if share.in_use or share.queued:
            return
        del self._shares[organisation]

    def _is_lighter(
        self, highest_load: float, organisation: ids.OrganisationId
    ) -> bool:
        """Return whether an organisation's load is at most a given one."""
        share = self._shares.get(organisation)
        if share is None:
            return True
        return (share.in_use + share.queued) / share.weight <= highest_load

    def _unlink(self, waiting: Waiting) -> None:
        waiting.is_live = False
        del self.calls[waiting.call_key]
        flows = self._flows_by_class[waiting.importance]
        flow = flows[waiting.organisation]
        flow.live -= 1
        if flow.live == 0:
            del flows[waiting.organisation]
        flow.share.queued -= 1
        self._drop_idle_share(waiting.organisation, flow.share)
        if len(self._expiry_heap) > (
            _STALE_FACTOR * len(self.calls) + _STALE_FLOOR
        ):
            self._compact()

    def _compact(self) -> None:
        """Remove entries that are no longer queued."""
        self._expiry_heap = [d for d in self._expiry_heap if d[2].is_live]
        heapq.heapify(self._expiry_heap)
        for flows in self._flows_by_class:
            for flow in flows.values():
                flow.entries = collections.deque(
                    entry for entry in flow.entries if entry.is_live
                )


def _least_served(flows: dict[ids.OrganisationId, _Flow]) -> _Flow:
    """Return the flow with the fewest slots in use per weight."""
    best = None
    least = float('inf')
    for flow in flows.values():
        share = flow.share
        # The added half slot (Webster's method) keeps the division of a few
        # slots by weight unbiased.
        load = (share.in_use + 0.5) / share.weight
        if load < least:
            best = flow
            least = load
    return best


def _most_loaded(
    flows: dict[ids.OrganisationId, _Flow],
) -> tuple[_Flow, float]:
    """Return the flow with the most calls per weight, and that load."""
    best = None
    highest_load = 0.0
    for flow in flows.values():
        share = flow.share
        load = (share.in_use + share.queued) / share.weight
        if load > highest_load:
            best = flow
            highest_load = load
    return best, highest_load
