"""Which target of a service gets the next call."""

import dataclasses
import hashlib
import random

from parsleystile import errors
from parsleystile import ids
from parsleystile import members

# Targets that this node keeps connections to, by how far they are.
SUBSET_SIZES = (16, 8, 4)
# A target not heard of is taken to bear this much.
COLD_LIMIT = 2
# Load told longer ago says nothing.
TOLD_MS = 2000.0
# Share of its limit in use at which calls begin to go to the next tier,
# and at which all do.
SPILL_FROM = 0.75
SPILL_ALL = 1.25
# A failure that has not led to ejection weighs like so many calls.
FAILURE_LOAD = 2
FAILURES_TO_EJECT = 3
EJECT_MS = 1000.0
EJECT_CAP_MS = 30_000.0
# So long after its time is over, an ejected target that no idempotent call
# has probed is probed by any call: its service may have none.
ANY_PROBE_MS = 2000.0
# Above this share of failing targets the fault may be on this side.
MAX_EJECTED_SHARE = 0.34
# With fewer alive than this share, suspicion says more about this node.
ALIVE_SHARE = 0.5
# A target that said it leaves is not asked again for this long.
LEAVING_MS = 5000.0

_FAULTS = frozenset(
    {
        errors.Reason.UNREACHABLE,
        errors.Reason.LINK_LOST,
        errors.Reason.TARGET_FAILED,
    }
)
_LEAVING = frozenset({errors.Reason.LEAVING, errors.Reason.DOMAIN_OUT})


@dataclasses.dataclass(slots=True, eq=False)
class _Peer:
    """What this node knows of one target."""

    member: members.Member
    in_flight: int = 0
    told_load: int = 0
    told_limit: int = 0
    told_ms: float = float('-inf')
    # Calls seen here in flight when the load was told.
    told_in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    is_ejected: bool = False
    until_ms: float = float('-inf')

    def load(self, now_ms: float) -> int:
        """Return calls at the target, as far as this node can tell."""
        seen = self.in_flight
        if now_ms - self.told_ms >= TOLD_MS:
            return seen
        return max(seen, self.told_load + seen - self.told_in_flight)

    def cost(self, now_ms: float) -> float:
        """Return what one more call means; the lowest is best."""
        if self.is_ejected:
            # Its time is over: the next call that may probes it.
            return 0.0
        load = self.load(now_ms) + FAILURE_LOAD * self.failures
        return (load + 1) / self.limit()

    def limit(self) -> int:
        """Return calls that the target bears, at least 1."""
        if self.told_limit:
            return self.told_limit
        return max(1, min(COLD_LIMIT, self.member.slots))


@dataclasses.dataclass(slots=True)
class _Service:
    """The targets of a service, nearest tier first."""

    peers: list[_Peer]
    tiers: list[list[_Peer]]


class Balancer:
    """Two random choices by load, own failure domain first.

    Calls spill to the rest of the region, then further, as targets nearby
    fill up. Targets that keep failing are ejected, up to a share of the
    service, and probed by idempotent calls once their time is over.
    """

    def __init__(
        self,
        own_domain: ids.FailureDomainId,
        own_region: ids.RegionId,
        own_node_id: ids.NodeId,
        rng: random.Random,
    ) -> None:
        self._own_domain = own_domain
        self._own_region = own_region
        self._own_node_id = own_node_id
        self._rng = rng
        self._peers: dict[ids.NodeId, _Peer] = {}
        self._services: dict[ids.ServiceName, _Service] = {}
        self._domains_out: frozenset[ids.FailureDomainId] = frozenset()
        self._members: dict[ids.ServiceName, list[members.Member]] = {}

    def set_members(
        self, service: ids.ServiceName, found: list[members.Member]
    ) -> None:
        """Replace the members of a service."""
        if found:
            self._members[service] = list(found)
        else:
            self._members.pop(service, None)
        self._rebuild(service)

    def set_domains_out(self, domains: frozenset[ids.FailureDomainId]) -> None:
        """Name the failure domains that get no new work."""
        self._domains_out = frozenset(domains)
        for service in list(self._members):
            self._rebuild(service)

    def choose(
        self,
        service: ids.ServiceName,
        exclude: frozenset[ids.NodeId],
        now_ms: float,
        idempotent: bool = False,
    ) -> members.Member | None:
        """Return the target for one call, or None if there is none.

        Args:
            service: Service to call.
            exclude: Nodes that have refused this very call.
            now_ms: Now.
            idempotent: Whether the call may probe an ejected target.
        """
        known = self._services.get(service)
        if known is None:
            return None
        best = None
        least = float('inf')
        for tier in known.tiers:
            peer = self._pick(tier, exclude, now_ms, idempotent)
            if peer is None:
                continue
            used = peer.load(now_ms) / peer.limit()
            spill = (used - SPILL_FROM) / (SPILL_ALL - SPILL_FROM)
            if spill <= 0.0 or self._rng.random() >= spill:
                return peer.member
            # Full everywhere: being near does not make up for a queue.
            if used < least:
                best = peer
                least = used
        return None if best is None else best.member

    def sent(self, node_id: ids.NodeId) -> None:
        """Note that a call is on its way to a node."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.in_flight += 1

    def answered(self, node_id: ids.NodeId, load, now_ms: float) -> None:
        """Note an answer; ``load`` is what came with it, or None."""
        peer = self._settle(node_id)
        if peer is None:
            return
        peer.failures = 0
        peer.is_ejected = False
        peer.ejections = 0
        if load is not None:
            self._learn(peer, load, now_ms)

    def failed(
        self,
        node_id: ids.NodeId,
        refusal: errors.Refusal,
        now_ms: float,
        load=None,
    ) -> None:
        """Note a refusal by a node, or the loss of a call to it."""
        peer = self._settle(node_id)
        if peer is None:
            return
        if load is not None:
            self._learn(peer, load, now_ms)
        if refusal.reason in _LEAVING:
            peer.until_ms = now_ms + LEAVING_MS
        elif refusal.reason in _FAULTS:
            peer.failures += 1
            if peer.failures >= FAILURES_TO_EJECT or peer.is_ejected:
                self._eject(peer, now_ms)

    def cancelled(self, node_id: ids.NodeId) -> None:
        """Note that nobody waits any more for a call to a node."""
        self._settle(node_id)

    def _settle(self, node_id: ids.NodeId) -> _Peer | None:
        peer = self._peers.get(node_id)
        if peer is not None and peer.in_flight > 0:
            peer.in_flight -= 1
        return peer

    def _learn(self, peer: _Peer, load, now_ms: float) -> None:
        peer.told_load = load.in_flight + load.queued
        peer.told_limit = max(1, load.limit)
        peer.told_in_flight = peer.in_flight
        peer.told_ms = now_ms

    def ejected(self) -> list[tuple[members.Member, float]]:
        """Return ejected targets, each with the weight of its failures."""
        return [
            (peer.member, peer.failures)
            for peer in self._peers.values()
            if peer.is_ejected
        ]

    def _eject(self, peer: _Peer, now_ms: float) -> None:
        service = self._services[peer.member.service]
        out = sum(p.is_ejected for p in service.peers if p is not peer)
        allowed = max(1.0, MAX_EJECTED_SHARE * len(service.peers))
        if out + 1 > allowed or len(service.peers) == 1:
            return
        peer.is_ejected = True
        longest = min(EJECT_CAP_MS, EJECT_MS * 2.0**peer.ejections)
        peer.ejections += 1
        peer.until_ms = now_ms + longest * self._rng.uniform(0.75, 1.25)

    def _pick(
        self,
        tier: list[_Peer],
        exclude: frozenset[ids.NodeId],
        now_ms: float,
        idempotent: bool,
    ) -> _Peer | None:
        count = len(tier)
        at = int(self._rng.random() * count)
        first = _usable_from(tier, at, exclude, now_ms, idempotent)
        if first is None or count == 1:
            return first
        at += 1 + int(self._rng.random() * (count - 1))
        second = _usable_from(tier, at % count, exclude, now_ms, idempotent)
        if second is not first and second.cost(now_ms) < first.cost(now_ms):
            return second
        return first

    def _rebuild(self, service: ids.ServiceName) -> None:
        tiers: list[list[members.Member]] = [[], [], []]
        for member in self._usable(self._members.get(service, [])):
            tiers[self._tier(member)].append(member)
        kept = [
            self._subset(tier, size)
            for tier, size in zip(tiers, SUBSET_SIZES, strict=True)
        ]
        old = self._services.pop(service, None)
        peers = [[self._peer(m) for m in tier] for tier in kept]
        flat = [peer for tier in peers for peer in tier]
        for peer in flat:
            self._peers[peer.member.node_id] = peer
        if flat:
            self._services[service] = _Service(flat, [p for p in peers if p])
        if old is not None:
            self._forget(old.peers, flat)

    def _forget(self, old: list[_Peer], kept: list[_Peer]) -> None:
        kept_ids = {peer.member.node_id for peer in kept}
        for peer in old:
            node_id = peer.member.node_id
            if node_id not in kept_ids and self._peers.get(node_id) is peer:
                del self._peers[node_id]

    def _usable(self, found: list[members.Member]) -> list[members.Member]:
        """Return members to send to; suspects only if most are that."""
        inside = [
            m
            for m in found
            if m.failure_domain not in self._domains_out
            and m.state <= members.MemberState.SUSPECT
        ]
        alive = [m for m in inside if m.state is members.MemberState.ALIVE]
        if len(alive) < ALIVE_SHARE * len(inside):
            return inside
        return alive

    def _tier(self, member: members.Member) -> int:
        if member.failure_domain == self._own_domain:
            return 0
        return 1 if member.region == self._own_region else 2

    def _subset(
        self, tier: list[members.Member], size: int
    ) -> list[members.Member]:
        if len(tier) <= size:
            return tier
        return sorted(tier, key=self._score)[:size]

    def _score(self, member: members.Member) -> bytes:
        """Rendezvous hash: a stable order of its own at each node."""
        pair = f'{self._own_node_id}\0{member.node_id}'.encode()
        return hashlib.blake2b(pair, digest_size=8).digest()

    def _peer(self, member: members.Member) -> _Peer:
        peer = self._peers.get(member.node_id)
        if peer is None or peer.member.incarnation < member.incarnation:
            in_flight = peer.in_flight if peer is not None else 0
            return _Peer(member, in_flight)
        peer.member = member
        return peer


def _usable_from(
    tier: list[_Peer],
    at: int,
    exclude: frozenset[ids.NodeId],
    now_ms: float,
    idempotent: bool,
) -> _Peer | None:
    """Return the first target from a place on that may get the call."""
    count = len(tier)
    for _ in range(count):
        peer = tier[at]
        if (
            peer.until_ms <= now_ms
            and peer.member.node_id not in exclude
            and (not peer.is_ejected or _may_probe(peer, now_ms, idempotent))
        ):
            return peer
        at = at + 1 if at + 1 < count else 0
    return None


def _may_probe(peer: _Peer, now_ms: float, idempotent: bool) -> bool:
    if peer.in_flight:
        return False
    return idempotent or now_ms >= peer.until_ms + ANY_PROBE_MS


def balancer(
    own_domain: ids.FailureDomainId,
    own_region: ids.RegionId,
    own_node_id: ids.NodeId,
    rng: random.Random,
) -> Balancer:
    """Create a balancer that knows no members yet."""
    return Balancer(own_domain, own_region, own_node_id, rng)
