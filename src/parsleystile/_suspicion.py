"""Suspected members: how long they may refute, and how many may go."""

import dataclasses
import typing

from parsleystile import ids

# A member that one other found unresponsive has the long time to refute,
# one that two found so independently has the short one.
SUSPICION_MAX_MS = 1500
SUSPICION_MIN_MS = 800
# By its own judgement a node evicts no more in one interval than this share
# of its failure domain, or this many if they are more.
EVICTION_INTERVAL_MS = 3000
EVICTION_SHARE = 0.25
EVICTION_MIN = 3
# A node that hears nobody for so long holds itself for cut off and evicts
# nobody.
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
    """Timers of suspected members."""

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
        """Note that ``witness`` suspects a member; False if known."""
        known = self._by_node.get(node_id)
        if known is None or known.incarnation < incarnation:
            self._by_node[node_id] = _Suspicion(incarnation, now_ms, {witness})
            return True
        if known.incarnation > incarnation or witness in known.witnesses:
            return False
        known.witnesses.add(witness)
        # More than two change nothing, so they need not be spread.
        return len(known.witnesses) == 2

    def clear(self, node_id: ids.NodeId) -> None:
        """The member refuted, left or died."""
        self._by_node.pop(node_id, None)

    def expired(self, now_ms: float) -> list[ids.NodeId]:
        """Return members that did not refute in time, oldest first."""
        return [
            node_id
            for node_id, suspicion in self._by_node.items()
            if suspicion.deadline_ms() <= now_ms
        ]

    def extend(self, by_ms: float) -> None:
        """Give every suspected member ``by_ms`` more."""
        for suspicion in self._by_node.values():
            suspicion.since_ms += by_ms


class EvictionLimiter:
    """Bounds what one node's own view can do to the fleet."""

    def __init__(self) -> None:
        self._eviction_times_ms: list[float] = []

    def try_acquire(self, domain_size: int, now_ms: float) -> bool:
        """Count one eviction; False if there were too many of late."""
        since_ms = now_ms - EVICTION_INTERVAL_MS
        self._eviction_times_ms = [
            t for t in self._eviction_times_ms if t > since_ms
        ]
        # The dead have left the domain's count already.
        size = domain_size + len(self._eviction_times_ms)
        bound = max(EVICTION_MIN, int(size * EVICTION_SHARE))
        if len(self._eviction_times_ms) >= bound:
            return False
        self._eviction_times_ms.append(now_ms)
        return True


class Reachability:
    """Failure domains and members that answer, as seen from this node.

    It is never told to others: behind a cut each side has a view of its
    own, and the first answer after the cut makes it right again.
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
        """A member answered; True if its domain was silent before."""
        self._last_ack_ms[domain] = now_ms
        self.record_any_ack(now_ms)
        self.mark_reachable(node_id)
        if domain not in self._unreachable_domains:
            return False
        self._unreachable_domains.discard(domain)
        self.version += 1
        return True

    def record_any_ack(self, now_ms: float) -> None:
        """Note that this node is not cut off from everyone."""
        if (
            self.total_silence_ms(now_ms) >= ISOLATION_THRESHOLD_MS
            and self._unreachable_members
        ):
            self._unreachable_members.clear()
            self.version += 1
        self._last_any_ack_ms = now_ms

    def silence_ms(self, domain: ids.FailureDomainId, now_ms: float) -> float:
        """Return how long a domain has not answered."""
        return now_ms - self._last_ack_ms.setdefault(domain, now_ms)

    def total_silence_ms(self, now_ms: float) -> float:
        """Return how long nobody at all has answered."""
        return now_ms - self._last_any_ack_ms

    def mark_domain_unreachable(self, domain: ids.FailureDomainId) -> bool:
        """Note that a domain can't be reached; False if known."""
        if domain in self._unreachable_domains:
            return False
        self._unreachable_domains.add(domain)
        self.version += 1
        return True

    def forget_domain(self, domain: ids.FailureDomainId) -> None:
        """Drop what is known of a domain."""
        self._last_ack_ms.pop(domain, None)
        if domain in self._unreachable_domains:
            self._unreachable_domains.discard(domain)
            self.version += 1

    def mark_unreachable(self, node_id: ids.NodeId) -> None:
        """Note that a member can't be reached."""
        if node_id not in self._unreachable_members:
            self._unreachable_members.add(node_id)
            self.version += 1

    def mark_reachable(self, node_id: ids.NodeId) -> None:
        """Note that a member can be reached or is gone."""
        if node_id in self._unreachable_members:
            self._unreachable_members.discard(node_id)
            self.version += 1

    def reset_silence(self, now_ms: float) -> None:
        """This process was paused: nobody else was silent meanwhile."""
        self._last_any_ack_ms = now_ms
        for domain in self._last_ack_ms:
            self._last_ack_ms[domain] = now_ms

    def is_domain_unreachable(self, domain: ids.FailureDomainId) -> bool:
        """Whether a domain can't be reached."""
        return domain in self._unreachable_domains

    def is_unreachable(self, node_id: ids.NodeId) -> bool:
        """Whether a member can't be reached."""
        return node_id in self._unreachable_members

    def unreachable_domains(self) -> typing.Collection[ids.FailureDomainId]:
        """Return the domains that can't be reached."""
        return frozenset(self._unreachable_domains)
