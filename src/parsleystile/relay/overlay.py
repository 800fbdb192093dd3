"""Choice of the peers with which a node exchanges state.

The nodes of a failure domain form a ring in the order of their ids. A node
has peers at distances of 1, 2, 4 and so on, and one peer in each of a few
other domains. State that each node passes on to its peers reaches all nodes
in a number of hops that grows with the logarithm of the domain's size, and
so does the number of links.
"""

import bisect
import typing

from parsleystile import ids

# Other failure domains in which a node has a peer.
_MAX_DOMAINS = 4
# Nodes of each failure domain that follow the store for all of it.
FOLLOWERS_PER_DOMAIN = 3

IsReachable = typing.Callable[[ids.NodeId], bool]
DomainNodes = typing.Mapping[ids.FailureDomainId, list[ids.NodeId]]


def peers(
    own_node_id: ids.NodeId,
    own_domain: ids.FailureDomainId,
    nodes: DomainNodes,
    is_reachable: IsReachable,
) -> list[ids.NodeId]:
    """Return the peers of a node, without duplicates.

    Args:
        own_node_id: The node itself; it need not be among the nodes.
        own_domain: Its failure domain.
        nodes: Sorted ids of the nodes of each failure domain.
        is_reachable: Whether a node answers; one that doesn't is replaced by
            the next on the ring.
    """
    found: dict[ids.NodeId, None] = {}
    ring = nodes.get(own_domain, [])
    position = bisect.bisect_left(ring, own_node_id)
    distance = 1
    while distance < len(ring):
        _add(found, own_node_id, ring, position + distance, is_reachable)
        distance *= 2
    for domain in _other_domains(own_domain, nodes):
        other = nodes[domain]
        # Spreads the nodes of a domain evenly over those of another one.
        index = position * len(other) // max(1, len(ring))
        _add(found, own_node_id, other, index, is_reachable)
    return list(found)


def followers(
    domain: ids.FailureDomainId, nodes: DomainNodes, is_reachable: IsReachable
) -> list[ids.NodeId]:
    """Return the nodes that follow the store for a failure domain."""
    chosen: list[ids.NodeId] = []
    for node_id in nodes.get(domain, []):
        if is_reachable(node_id):
            chosen.append(node_id)
            if len(chosen) == FOLLOWERS_PER_DOMAIN:
                break
    return chosen


def _other_domains(
    own_domain: ids.FailureDomainId, nodes: DomainNodes
) -> list[ids.FailureDomainId]:
    domains = sorted(domain for domain in nodes if nodes[domain])
    start = bisect.bisect_right(domains, own_domain)
    ordered = domains[start:] + domains[:start]
    return [d for d in ordered if d != own_domain][:_MAX_DOMAINS]


def _add(
    found: dict[ids.NodeId, None],
    own_node_id: ids.NodeId,
    ring: list[ids.NodeId],
    index: int,
    is_reachable: IsReachable,
) -> None:
    """Add the first suitable node of a ring at or after an index."""
    for i in range(len(ring)):
        node_id = ring[(index + i) % len(ring)]
        if node_id == own_node_id:
            continue
        if node_id in found:
            return
        if is_reachable(node_id):
            found[node_id] = None
            return
