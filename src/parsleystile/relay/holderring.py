"""Which nodes hold the tokens of an organisation.

The holders of an organisation are spread over the failure domains in turn, so
that a domain that is cut off holds its part. Within a domain they follow the
organisation's position on a ring of the nodes, so that a node that joins or
leaves moves the share of one holder at most. All nodes with the same list of
nodes find the same holders.
"""

import bisect
import typing
import zlib

from parsleystile import ids

# Least capacity of a holder's bucket in calls: a smaller one would rarely
# hold a whole token. Beyond one holder in each failure domain, buckets are
# larger, since a part of each bucket is lost to nodes that run short.
_MIN_CAPACITY = 3.0
_MIN_CAPACITY_WITHIN_DOMAIN = 6.0

DomainNodes = typing.Mapping[ids.FailureDomainId, typing.Sequence[ids.NodeId]]


class _DomainRing:
    """The nodes of one failure domain in the order of their positions."""

    def __init__(self, nodes: typing.Sequence[ids.NodeId]) -> None:
        placed = sorted((_position(node), node) for node in nodes)
        self._positions = [position for position, _ in placed]
        self.nodes = [node for _, node in placed]
        self.indexes = {node: i for i, node in enumerate(self.nodes)}

    def start(self, position: int) -> int:
        """Return the index of the first node at or after a position."""
        index = bisect.bisect_left(self._positions, position)
        return index % len(self.nodes)


class HolderRing:
    """The nodes of all failure domains."""

    def __init__(self, nodes: DomainNodes) -> None:
        self._rings = {
            domain: _DomainRing(nodes[domain])
            for domain in sorted(nodes)
            if nodes[domain]
        }
        self._domains = list(self._rings)
        self._domain_of = {
            node: domain
            for domain, ring in self._rings.items()
            for node in ring.nodes
        }

    def __len__(self) -> int:
        return len(self._domain_of)

    def domain_of(self, node_id: ids.NodeId) -> ids.FailureDomainId | None:
        """Return the failure domain of a node; None if it is unknown."""
        return self._domain_of.get(node_id)

    def wanted_holders(self, burst: float) -> int:
        """Return how many holders a burst is divided among."""
        spread = min(int(burst / _MIN_CAPACITY), len(self._domains))
        within = int(burst / _MIN_CAPACITY_WITHIN_DOMAIN)
        return max(1, min(len(self), max(spread, within)))

    def holders(
        self, organisation: ids.OrganisationId, wanted: int
    ) -> list[ids.NodeId]:
        """Return the holders of an organisation, ``wanted`` at most."""
        position = _position(organisation)
        holders: list[ids.NodeId] = []
        for domain, count in self._counts(position, wanted):
            ring = self._rings[domain]
            start = ring.start(position)
            wrapped = max(0, start + count - len(ring.nodes))
            holders += ring.nodes[start : start + count] + ring.nodes[:wrapped]
        return holders

    def share(
        self,
        organisation: ids.OrganisationId,
        wanted: int,
        node_id: ids.NodeId,
    ) -> float:
        """Return the part of an organisation's rate that a node holds."""
        own_domain = self._domain_of.get(node_id)
        position = _position(organisation)
        total = 0
        is_holder = False
        for domain, count in self._counts(position, wanted):
            total += count
            if domain == own_domain:
                ring = self._rings[domain]
                distance = ring.indexes[node_id] - ring.start(position)
                is_holder = distance % len(ring.nodes) < count
        return 1.0 / total if is_holder else 0.0

    def _counts(
        self, position: int, wanted: int
    ) -> typing.Iterator[tuple[ids.FailureDomainId, int]]:
        """Yield each failure domain with its number of holders."""
        size = len(self._domains)
        for i in range(size):
            domain = self._domains[(position + i) % size]
            # The first ones get the remainder.
            count = (wanted - i + size - 1) // size
            yield domain, max(0, min(count, len(self._rings[domain].nodes)))


def _position(name: str) -> int:
    return zlib.crc32(name.encode())


def holder_ring(nodes: DomainNodes) -> HolderRing:
    """Create the ring of nodes, given by failure domain."""
    return HolderRing(nodes)
