"""Suspicion timers, eviction rate limit and reachability of members."""

import dataclasses
import typing

from parsleystile import ids

# Time to refute a suspicion reported by one witness ...
SUSPICION_MAX_MS = 1500
# ... and one reported by two independent witnesses.
SUSPICION_MIN_MS = 800
# In each interval a node declares dead at most this share of its failure
# domain, or EVICTION_MIN members if that is more.
EVICTION_INTERVAL_MS = 3000
EVICTION_SHARE = 0.25
EVICTION_MIN = 3
# A node without any ack for this long assumes that it is isolated itself and
# evicts nobody.
ISOLATION_THRESHOLD_MS = 1000


@dataclasses.dataclass(slots=True)
class _Suspicion:
    incarnation: ids.Incarnation
    since_ms: float
    witnesses: set[ids.NodeId]

    def deadline_ms(self) -> float:
        limit_ms = (
            SUSPICION_MIN_MS if len(self.witnesses) > 1 else SUSPICION_MAX_MS
        )
        return self.since_ms + limit_ms


class SuspicionTimers:
    """Refutation deadlines of suspected members."""

    def __init__(self) -> None:
        self._by_node: dict[ids.NodeId, _Suspicion] = {}

    def __len__(self) -> int:
        return len(self._by_node)

    def add_witness(
        self,
        node_id: ids.NodeId,
        incarnation: ids.Incarnation,
        witness: ids.NodeId,
        now_ms: float,
    ) -> bool:
        """Record that ``witness`` suspects a member.

        Returns:
            Whether the report is worth spreading: it is the first or second
            one at this incarnation.
        """
        known = self._by_node.get(node_id)
        if known is None or known.incarnation < incarnation:
            self._by_node[node_id] = _Suspicion(incarnation, now_ms, {witness})
            return True
        if known.incarnation > incarnation or witness in known.witnesses:
            return False
        known.witnesses.add(witness)
        # Further witnesses do not shorten the deadline any more.
        return len(known.witnesses) == 2

    def clear(self, node_id: ids.NodeId) -> None:
        """Remove the timer of a member that refuted, left or died."""
        self._by_node.pop(node_id, None)

    def expired(self, now_ms: float) -> list[ids.NodeId]:
        """Return members whose deadline has passed, oldest first."""
        return [
            node_id
            for node_id, suspicion in self._by_node.items()
            if suspicion.deadline_ms() <= now_ms
        ]

    def extend(self, by_ms: float) -> None:
        """Extend every deadline by ``by_ms``."""
        for suspicion in self._by_node.values():
            suspicion.since_ms += by_ms


class EvictionLimiter:
    """Limits the rate at which one node evicts members.

    It bounds the damage that a node with a wrong view can do.
    """

    def __init__(self) -> None:
        self._eviction_times_ms: list[float] = []

    def try_acquire(self, domain_size: int, now_ms: float) -> bool:
        """Count one eviction; False if it would exceed the limit.

        Args:
            domain_size: Live members of the own failure domain.
            now_ms: The current time in ms.
        """
        since_ms = now_ms - EVICTION_INTERVAL_MS
        self._eviction_times_ms = [
            t for t in self._eviction_times_ms if t > since_ms
        ]
        # Evicted members are no longer part of ``domain_size``.
        size = domain_size + len(self._eviction_times_ms)
        bound = max(EVICTION_MIN, int(size * EVICTION_SHARE))
        if len(self._eviction_times_ms) >= bound:
            return False
        self._eviction_times_ms.append(now_ms)
        return True


class Reachability:
    """Which failure domains and members this node can reach.

    This is local state and never gossiped: the two sides of a network
    partition see different domains as unreachable, and the first ack after
    the partition corrects each.

    Attributes:
        version: Grows with each change.
    """

    def __init__(self) -> None:
        self._last_ack_ms: dict[ids.FailureDomainId, float] = {}
        self._unreachable_domains: set[ids.FailureDomainId] = set()
        self._unreachable_members: set[ids.NodeId] = set()
        self._last_any_ack_ms = 0.0
        self.version = 0

    def record_ack(
        self,
        domain: ids.FailureDomainId,
        node_id: ids.NodeId,
        now_ms: float,
    ) -> bool:
        """Record an ack of a member; True if its domain was unreachable."""
        self._last_ack_ms[domain] = now_ms
        self.record_any_ack(now_ms)
        self.mark_reachable(node_id)
        if domain not in self._unreachable_domains:
            return False
        self._unreachable_domains.discard(domain)
        self.version += 1
        return True

    def record_any_ack(self, now_ms: float) -> None:
        """Record that some member acked, so this node is not isolated.

        Members found unreachable while this node was isolated count as
        reachable again.
        """
        if (
            self.total_silence_ms(now_ms) >= ISOLATION_THRESHOLD_MS
            and self._unreachable_members
        ):
            self._unreachable_members.clear()
            self.version += 1
        self._last_any_ack_ms = now_ms

    def silence_ms(self, domain: ids.FailureDomainId, now_ms: float) -> float:
        """Return the time since a domain's last ack, in ms."""
        return now_ms - self._last_ack_ms.setdefault(domain, now_ms)

    def total_silence_ms(self, now_ms: float) -> float:
        """Return the time since the last ack of any member, in ms."""
        return now_ms - self._last_any_ack_ms

    def mark_domain_unreachable(self, domain: ids.FailureDomainId) -> bool:
        """Mark a domain as unreachable; False if it already was."""
        if domain in self._unreachable_domains:
            return False
        self._unreachable_domains.add(domain)
        self.version += 1
        return True

    def forget_domain(self, domain: ids.FailureDomainId) -> None:
        """Remove all state of a domain."""
        self._last_ack_ms.pop(domain, None)
        if domain in self._unreachable_domains:
            self._unreachable_domains.discard(domain)
            self.version += 1

    def mark_unreachable(self, node_id: ids.NodeId) -> None:
        """Mark a member as unreachable."""
        if node_id not in self._unreachable_members:
            self._unreachable_members.add(node_id)
            self.version += 1

    def mark_reachable(self, node_id: ids.NodeId) -> None:
        """Remove the mark of a member that is reachable or gone."""
        if node_id in self._unreachable_members:
            self._unreachable_members.discard(node_id)
            self.version += 1

    def reset_silence(self, now_ms: float) -> None:
        """Restart all silence timers, as after a pause of this process."""
        self._last_any_ack_ms = now_ms
        for domain in self._last_ack_ms:
            self._last_ack_ms[domain] = now_ms

    def is_domain_unreachable(self, domain: ids.FailureDomainId) -> bool:
        """Return whether a domain is unreachable."""
        return domain in self._unreachable_domains

    def is_unreachable(self, node_id: ids.NodeId) -> bool:
        """Return whether a member is unreachable."""
        return node_id in self._unreachable_members

    def unreachable_domains(self) -> typing.Collection[ids.FailureDomainId]:
        """Return the unreachable domains."""
        return frozenset(self._unreachable_domains)
