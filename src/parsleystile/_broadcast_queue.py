"""News on its way through the fleet, a bounded number in each datagram."""

import dataclasses
import heapq
import math
import typing

Item = typing.TypeVar('Item')

# Each node passes an item on this often, times the logarithm of the size.
RETRANSMIT_FACTOR = 2


@dataclasses.dataclass(slots=True)
class _Broadcast(typing.Generic[Item]):
    item: Item
    transmissions: int = 0


def transmit_limit(size: int) -> int:
    """Return how often one node passes on an item in a fleet of ``size``."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(size + 2))


class BroadcastQueue(typing.Generic[Item]):
    """Items by key; a newer item of a key replaces the older one."""

    def __init__(self) -> None:
        self._by_key: dict[str, _Broadcast[Item]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def put(self, key: str, item: Item) -> None:
        """Start spreading an item."""
        self._by_key[key] = _Broadcast(item)

    def discard(self, key: str) -> None:
        """Stop spreading what is known under ``key``."""
        self._by_key.pop(key, None)

    def next_batch(
        self,
        limit: int,
        size: int,
        is_eligible: typing.Callable[[Item], bool] = lambda item: True,
    ) -> list[Item]:
        """Return the items to send next, those sent least first.

        Args:
            limit: At most so many items.
            size: Members in the fleet.
            is_eligible: Whether an item may go to this receiver.
        """
        if not self._by_key:
            return []
        eligible = (
            (broadcast.transmissions, key)
            for key, broadcast in self._by_key.items()
            if is_eligible(broadcast.item)
        )
        picked = []
        limit_per_item = transmit_limit(size)
        for _, key in heapq.nsmallest(limit, eligible):
            broadcast = self._by_key[key]
            broadcast.transmissions += 1
            picked.append(broadcast.item)
            if broadcast.transmissions >= limit_per_item:
                del self._by_key[key]
        return picked
