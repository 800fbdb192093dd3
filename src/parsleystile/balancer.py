"""Client-side load balancing: chooses the target of a service for a call."""

import dataclasses
import hashlib
import random

from parsleystile import errors
from parsleystile import ids
from parsleystile import members
from parsleystile import speeds
from parsleystile import targettiers

# Targets that this node connects to, by tier: own failure domain, own
# region, other regions.
SUBSET_SIZES = (16, 8, 4)
# A target drawn twice whose cost exceeds this is compared with another.
MAX_TOLERATED_COST = 2.5
# Utilisation of the chosen target at which all calls spill to the next tier.
SPILL_FULL_UTILISATION = 1.25
# All calls that may spill do if the next tier is less used by this much.
FULL_SPILL_GAIN = 0.2
# Slowness of the chosen target at which calls begin to go to the next tier,
# and at which all of them do.
SLOW_START = 2.5
SLOW_FULL = 5.0
# Wait for the rate of a target that weighs as much as all of its slots.
FULL_WAIT_MS = 100.0
FAILURES_TO_EJECT = 3
BASE_EJECTION_MS = 1000.0
MAX_EJECTION_MS = 30_000.0
NON_IDEMPOTENT_PROBE_DELAY_MS = targettiers.NON_IDEMPOTENT_PROBE_DELAY_MS
# If a larger share of targets fails, the fault may be at this node.
MAX_EJECTED_SHARE = 0.34
# If fewer targets than this share are alive, the fault may be at this node,
# and suspected targets are used too.
MIN_ALIVE_SHARE = 0.5
# A target that refused a call because it leaves is not used for this time.
LEAVING_PAUSE_MS = 5000.0

_FAULTS = frozenset(
    {
        errors.Reason.UNREACHABLE,
        errors.Reason.LINK_LOST,
        errors.Reason.TARGET_FAILED,
    }
)
_LEAVING = frozenset({errors.Reason.LEAVING, errors.Reason.DOMAIN_OUT})


@dataclasses.dataclass(slots=True)
class _Service:
    """Targets of a service, nearest tier first."""

    peers: list[targettiers.Peer]
    tiers: list[targettiers.Tier]


class Balancer:
    """Power-of-two-choices balancing with locality and outlier ejection.

    Targets are drawn by their capacity and compared by the load that they
    told, aged. The own failure domain is preferred. As its targets fill up or
    turn slow, calls spill to the rest of the region and then to other
    regions. Targets
    that keep failing are ejected, up to a share of the service, and probed by
    idempotent calls once the ejection ends.
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
        self._peers: dict[ids.NodeId, targettiers.Peer] = {}
        self._services: dict[ids.ServiceName, _Service] = {}
        self._domains_out: frozenset[ids.FailureDomainId] = frozenset()
        self._members: dict[ids.ServiceName, list[members.Member]] = {}
        self._speeds = speeds.speeds()

    def set_members(
        self, service: ids.ServiceName, found: list[members.Member]
    ) -> None:
        """Replace the known members of a service."""
        if found:
            self._members[service] = list(found)
        else:
            self._members.pop(service, None)
        self._rebuild(service)

    def set_domains_out(self, domains: frozenset[ids.FailureDomainId]) -> None:
        """Set the failure domains that get no new calls."""
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
            exclude: Nodes that have refused this call.
            now_ms: Current time.
            idempotent: Whether the call may probe an ejected target.
        """
        targets = self._services.get(service)
        if targets is None:
            return None
        best = None
        lowest = float('inf')
        tiers = targets.tiers
        for at, tier in enumerate(tiers, 1):
            following = tiers[at] if at < len(tiers) else None
            if now_ms - tier.renewed_ms >= targettiers.SHARE_PERIOD_MS:
                tier.renew(following, now_ms)
            peer = self._choose_in_tier(tier, exclude, now_ms, idempotent)
            if peer is None:
                continue
            spilled = max(
                tier.spilled,
                self._spill_probability(peer, following, now_ms),
            )
            if spilled <= 0.0 or self._rng.random() >= spilled:
                return peer.member
            # If every tier is full or slow, the lowest cost wins, not the
            # nearest tier.
            cost = self._cost(peer, now_ms)
            if cost < lowest:
                best = peer
                lowest = cost
        return None if best is None else best.member

    def _spill_probability(
        self,
        peer: targettiers.Peer,
        following: targettiers.Tier | None,
        now_ms: float,
    ) -> float:
        """Return the share of calls that go to the next tier instead.

        Args:
            peer: Target chosen in a tier.
            following: The next tier; None if there is none.
            now_ms: Current time.
        """
        if not peer.is_open(now_ms):
            return 1.0
        utilisation = peer.load(now_ms) / peer.limit()
        by_load = (utilisation - targettiers.SPILL_START_UTILISATION) / (
            SPILL_FULL_UTILISATION - targettiers.SPILL_START_UTILISATION
        )
        if by_load > 0.0 and following is not None:
            gain = utilisation - following.load.utilisation(now_ms)
            by_load *= min(1.0, gain / FULL_SPILL_GAIN)
        slowness = self._speeds.slowness(peer.member.node_id, now_ms)
        by_speed = (slowness - SLOW_START) / (SLOW_FULL - SLOW_START)
        return max(by_load, by_speed)

    def _cost(self, peer: targettiers.Peer, now_ms: float) -> float:
        """Return the expected wait at a target, relative to the others."""
        slowness = self._speeds.slowness(peer.member.node_id, now_ms)
        cost = peer.cost(now_ms) * max(1.0, slowness / peer.usual_slowness)
        if peer.is_open(now_ms):
            return cost
        return max(1.0, cost) + (peer.opens_ms - now_ms) / FULL_WAIT_MS

    def sent(self, node_id: ids.NodeId, now_ms: float = 0.0) -> None:
        """Record a call sent to a node."""
        peer = self._peers.get(node_id)
        if peer is None:
            return
        peer.in_flight += 1
        if peer.interval_ms:
            opens_ms = max(peer.opens_ms, now_ms)
            peer.opens_ms = (
                opens_ms + targettiers.PACED_INTERVALS * peer.interval_ms
            )

    def record_rate(
        self,
        node_id: ids.NodeId,
        limit_per_s: float | None,
        wait_ms: float | None,
        now_ms: float,
    ) -> None:
        """Record the rate that a target names.

        Args:
            node_id: Node of the target.
            limit_per_s: Calls a second that it gets, over 0; None without a
                limit.
            wait_ms: Time until another call may start; None if it may now.
            now_ms: Current time.
        """
        peer = self._peers.get(node_id)
        if peer is None:
            return
        if limit_per_s is None:
            peer.interval_ms = 0.0
        else:
            peer.interval_ms = 1e3 / limit_per_s
        spread_ms = targettiers.SPREAD_INTERVALS * peer.interval_ms
        peer.spread_ms = spread_ms and self._rng.uniform(0.0, spread_ms)
        if wait_ms is None:
            peer.opens_ms = float('-inf')
        else:
            peer.opens_ms = now_ms + wait_ms

    def has_room_elsewhere(
        self,
        member: members.Member,
        exclude: frozenset[ids.NodeId],
        now_ms: float,
    ) -> bool:
        """Whether a call need not wait for the rate of a target.

        Args:
            member: The target, which may name a rate.
            exclude: Nodes that have refused the call.
            now_ms: Current time.

        Returns:
            True if the target names a rate and another one takes calls now.
        """
        chosen = self._peers.get(member.node_id)
        if chosen is None or not chosen.interval_ms:
            return False
        return any(
            peer is not chosen
            and not peer.is_ejected
            and targettiers.is_eligible(peer, exclude, now_ms, False)
            and peer.is_open(now_ms)
            and peer.load(now_ms) < peer.limit()
            for peer in self._services[member.service].peers
        )

    def rate_wait_ms(self, service: ids.ServiceName, now_ms: float) -> float:
        """Return the time until the rates of the targets allow a call.

        Args:
            service: Service to call.
            now_ms: Current time.

        Returns:
            0 if a target names no rate, or one that it is not at.
        """
        targets = self._services.get(service)
        if targets is None:
            return 0.0
        return max(0.0, min(peer.opens_ms for peer in targets.peers) - now_ms)

    def answered(
        self,
        node_id: ids.NodeId,
        load,
        now_ms: float,
        route: str = '',
        answer_ms: float | None = None,
        is_failure: bool = False,
    ) -> None:
        """Record an answer.

        Args:
            node_id: Node that answered.
            load: Its load report; None without one.
            now_ms: Current time.
            route: Route of the call; answer times are compared by route.
            answer_ms: Time from the call to its answer; None if not known.
            is_failure: Whether the target failed the call.
        """
        peer = self._end_call(node_id)
        if peer is None:
            return
        if is_failure:
            self._speeds.observe_failure(node_id, now_ms)
        elif answer_ms is not None:
            key = (peer.member.service, route)
            self._speeds.observe(key, node_id, answer_ms, now_ms)
        peer.failures = 0
        peer.is_ejected = False
        peer.ejections = 0
        if load is not None:
            self._record_load(peer, load, now_ms)

    def failed(
        self,
        node_id: ids.NodeId,
        refusal: errors.Refusal,
        now_ms: float,
        load=None,
    ) -> None:
        """Record a refusal by a node, or the loss of a call to it."""
        peer = self._end_call(node_id)
        if peer is None:
            return
        if load is not None:
            self._record_load(peer, load, now_ms)
        if refusal.reason in _LEAVING:
            peer.unavailable_until_ms = now_ms + LEAVING_PAUSE_MS
        elif refusal.reason in _FAULTS:
            peer.failures += 1
            self._speeds.observe_failure(node_id, now_ms)
            if peer.failures >= FAILURES_TO_EJECT or peer.is_ejected:
                self._eject(peer, now_ms)

    def cancelled(
        self,
        node_id: ids.NodeId,
        now_ms: float = 0.0,
        route: str = '',
        waited_ms: float | None = None,
    ) -> None:
        """Record that a call to a node was cancelled.

        Args:
            node_id: The node.
            now_ms: Current time.
            route: Route of the call.
            waited_ms: Time that the call had taken; None if not known.
        """
        peer = self._end_call(node_id)
        if peer is not None and waited_ms is not None:
            key = (peer.member.service, route)
            self._speeds.observe_unanswered(key, node_id, waited_ms, now_ms)

    def _end_call(self, node_id: ids.NodeId) -> targettiers.Peer | None:
        peer = self._peers.get(node_id)
        if peer is not None and peer.in_flight > 0:
            peer.in_flight -= 1
        return peer

    def _record_load(
        self, peer: targettiers.Peer, load, now_ms: float
    ) -> None:
        peer.told.record(load, peer.in_flight, peer.tier_load, now_ms)

    def ejected(self) -> list[tuple[members.Member, float]]:
        """Return ejected targets, each with its consecutive failures."""
        return [
            (peer.member, peer.failures)
            for peer in self._peers.values()
            if peer.is_ejected
        ]

    def load_spread(self, now_ms: float) -> float:
        """Return how uneven the estimated load of a service's targets is.

        Returns:
            Highest utilisation over the mean of those targets that told
            their load, of the most uneven service; 1.0 without any load.
        """
        spread = 1.0
        for service in self._services.values():
            used = [
                peer.load(now_ms) / peer.limit()
                for peer in service.peers
                if peer.told.limit
            ]
            total = sum(used)
            if total:
                spread = max(spread, max(used) * len(used) / total)
        return spread

    def _eject(self, peer: targettiers.Peer, now_ms: float) -> None:
        service = self._services[peer.member.service]
        ejected_count = sum(
            p.is_ejected for p in service.peers if p is not peer
        )
        max_ejected = max(1.0, MAX_EJECTED_SHARE * len(service.peers))
        if ejected_count + 1 > max_ejected or len(service.peers) == 1:
            return
        peer.is_ejected = True
        base_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2.0**peer.ejections)
        peer.ejections += 1
        peer.unavailable_until_ms = now_ms + base_ms * self._rng.uniform(
            0.75, 1.25
        )

    def _choose_in_tier(
        self,
        tier: targettiers.Tier,
        exclude: frozenset[ids.NodeId],
        now_ms: float,
        idempotent: bool,
    ) -> targettiers.Peer | None:
        peers = tier.peers
        size = len(peers)
        if size == 1:
            return targettiers.first_eligible(
                peers, 0, exclude, now_ms, idempotent
            )
        random_value = self._rng.random
        index = tier.draw(random_value())
        first = targettiers.first_eligible(
            peers, index, exclude, now_ms, idempotent
        )
        if first is None:
            return None
        index = tier.draw(random_value())
        second = targettiers.first_eligible(
            peers, index, exclude, now_ms, idempotent
        )
        if second is first:
            if self._is_tolerable(first, now_ms):
                return first
            index = (index + 1) % size
            second = targettiers.first_eligible(
                peers, index, exclude, now_ms, idempotent
            )
        best = first
        if second is not first and (
            self._cost(second, now_ms) < self._cost(first, now_ms)
        ):
            best = second
        if best.is_open(now_ms):
            return best
        # Both are at the rates that they name; others may not be.
        eligible = [
            peer
            for peer in peers
            if targettiers.is_eligible(peer, exclude, now_ms, idempotent)
        ]
        return min(eligible, key=lambda peer: self._cost(peer, now_ms))

    def _is_tolerable(self, peer: targettiers.Peer, now_ms: float) -> bool:
        """Whether a target drawn twice may get the call."""
        if not peer.is_open(now_ms):
            return False
        return self._cost(peer, now_ms) < MAX_TOLERATED_COST

    def _rebuild(self, service: ids.ServiceName) -> None:
        tiers: list[list[members.Member]] = [[], [], []]
        for member in self._eligible(self._members.get(service, [])):
            tiers[self._tier_index(member)].append(member)
        subsets = [
            self._subset(tier, size)
            for tier, size in zip(tiers, SUBSET_SIZES, strict=True)
        ]
        previous = self._services.pop(service, None)
        peers = [[self._peer(m) for m in tier] for tier in subsets]
        all_peers = [peer for tier in peers for peer in tier]
        for peer in all_peers:
            self._peers[peer.member.node_id] = peer
        if all_peers:
            self._services[service] = _Service(
                all_peers, self._tiers(peers, previous)
            )
        if previous is not None:
            self._remove_peers(previous.peers, all_peers)

    @staticmethod
    def _tiers(
        peers: list[list[targettiers.Peer]], previous: _Service | None
    ) -> list[targettiers.Tier]:
        """Return tiers of peers; means stay with the peers they are of."""
        known: dict[ids.NodeId, targettiers.Tier] = {}
        if previous is not None:
            for tier in previous.tiers:
                known.update({p.member.node_id: tier for p in tier.peers})
        tiers = []
        for found in peers:
            if not found:
                continue
            of_peers = (known.get(peer.member.node_id) for peer in found)
            before = next(filter(None, of_peers), None)
            tiers.append(targettiers.tier(found, before))
        return tiers

    def _remove_peers(
        self, previous: list[targettiers.Peer], current: list[targettiers.Peer]
    ) -> None:
        kept_ids = {peer.member.node_id for peer in current}
        for peer in previous:
            node_id = peer.member.node_id
            if node_id not in kept_ids and self._peers.get(node_id) is peer:
                del self._peers[node_id]
        self._speeds.retain(self._peers)

    def _eligible(self, found: list[members.Member]) -> list[members.Member]:
        """Return members to send to; suspects only if most are suspect."""
        candidates = [
            m
            for m in found
            if m.failure_domain not in self._domains_out
            and m.state <= members.MemberState.SUSPECT
        ]
        alive = [m for m in candidates if m.state is members.MemberState.ALIVE]
        if len(alive) < MIN_ALIVE_SHARE * len(candidates):
            return candidates
        return alive

    def _tier_index(self, member: members.Member) -> int:
        if member.failure_domain == self._own_domain:
            return 0
        return 1 if member.region == self._own_region else 2

    def _subset(
        self, tier: list[members.Member], size: int
    ) -> list[members.Member]:
        if len(tier) <= size:
            return tier
        return sorted(tier, key=self._rendezvous_hash)[:size]

    def _rendezvous_hash(self, member: members.Member) -> bytes:
        """Return the rendezvous hash: a stable order that varies by node."""
        key = f'{self._own_node_id}\0{member.node_id}'.encode()
        return hashlib.blake2b(key, digest_size=8).digest()

    def _peer(self, member: members.Member) -> targettiers.Peer:
        peer = self._peers.get(member.node_id)
        if peer is None or peer.member.incarnation < member.incarnation:
            if peer is None:
                return targettiers.Peer(member)
            return targettiers.Peer(
                member,
                peer.in_flight,
                opens_ms=peer.opens_ms,
                interval_ms=peer.interval_ms,
            )
        peer.member = member
        return peer


def balancer(
    own_domain: ids.FailureDomainId,
    own_region: ids.RegionId,
    own_node_id: ids.NodeId,
    rng: random.Random,
) -> Balancer:
    """Create a balancer without members."""
    return Balancer(own_domain, own_region, own_node_id, rng)
