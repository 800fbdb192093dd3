"""Failure detector of the membership protocol: periodic probes and timeouts.

Members of the own failure domain are monitored as in SWIM: an unanswered
ping leads to indirect probes, then suspicion, then eviction. Other failure
domains are only checked for reachability.
"""

import dataclasses
import random

from parsleystile import _gossip_messages as messages
from parsleystile import _probes
from parsleystile import _suspicion
from parsleystile import _view
from parsleystile import ids
from parsleystile import members
from parsleystile import transport

PROBE_PERIOD_MS = 500
# Members of the own failure domain asked for an indirect probe.
INDIRECT_PROBES = 2
# How often one member of each other failure domain is probed.
REMOTE_PROBE_PERIOD_MS = 700
# A domain without an ack for this long is probed at every tick.
DOMAIN_SUSPECT_MS = 1000
# A domain without an ack for this long counts as unreachable.
DOMAIN_UNREACHABLE_MS = 2500
# With only one other member, its death and a network partition cannot be
# told apart.
MIN_MEMBERS_FOR_ISOLATION = 3
# The members of a failure domain without an ack for this long are dropped.
FORGET_DOMAIN_MS = 3_600_000
# A tick this late means that the process was suspended.
PAUSE_THRESHOLD_MS = 700
DIGEST_PERIOD_MS = 2000
# Dead members are still probed: each side of a network partition may have
# declared the other dead.
RECONNECT_PERIOD_MS = 2000
HOUSEKEEPING_PERIOD_MS = 60_000
# After a pause this long, the view may be older than others' tombstones, so
# the node discards it and joins again.
REJOIN_AFTER_PAUSE_MS = 1_800_000
# Members notified directly of a leave; the others learn of it by gossip.
LEAVE_FANOUT = 64
LEAVE_RETRY_MS = 300
LEAVE_TIMEOUT_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveResult:
    """How many members were notified of a leave, and how many acked."""

    acked: int
    notified: int


@dataclasses.dataclass(slots=True)
class _Leave:
    unacked: set[ids.NodeId]
    notified: int
    deadline_ms: float
    retry_ms: float
    acked: int = 0


class _PeriodicTimer:
    def __init__(self, period_ms: float, rng: random.Random) -> None:
        self._period_ms = period_ms
        self._rng = rng
        self._next_ms: float | None = None

    def is_due(self, now_ms: float) -> bool:
        if self._next_ms is None:
            # A random phase spreads out nodes that start together.
            self._next_ms = now_ms + self._rng.random() * self._period_ms
        if now_ms < self._next_ms:
            return False
        self._next_ms = max(self._next_ms, now_ms - self._period_ms)
        self._next_ms += self._period_ms
        return True


class FailureDetector:
    """Detects failed members and unreachable failure domains."""

    def __init__(self, view: _view.View, rng: random.Random) -> None:
        self._view = view
        self._rng = rng
        self._probes = _probes.Probes(rng)
        self._ring = _probes.MonitoringRing()
        self._eviction_limiter = _suspicion.EvictionLimiter()
        self._monitor_timer = _PeriodicTimer(PROBE_PERIOD_MS, rng)
        self._remote_timer = _PeriodicTimer(REMOTE_PROBE_PERIOD_MS, rng)
        self._digest_timer = _PeriodicTimer(DIGEST_PERIOD_MS, rng)
        self._reconnect_timer = _PeriodicTimer(RECONNECT_PERIOD_MS, rng)
        self._housekeeping_timer = _PeriodicTimer(HOUSEKEEPING_PERIOD_MS, rng)
        self._last_tick_ms: float | None = None
        self._is_rejoining = False
        self._leave: _Leave | None = None
        self._leave_result: LeaveResult | None = None

    def tick(self, now_ms: float) -> None:
        """Run every periodic task that is due."""
        self._detect_pause(now_ms)
        self._expire_probes(now_ms)
        if self._monitor_timer.is_due(now_ms):
            self._probe_own_domain(now_ms)
        self._probe_other_domains(now_ms)
        self._evict_expired_suspects(now_ms)
        if self._digest_timer.is_due(now_ms):
            self._offer_digest()
        if self._reconnect_timer.is_due(now_ms):
            self._probe_dead_member(now_ms)
        if self._housekeeping_timer.is_due(now_ms):
            self._view.member_list.forget_dead(now_ms)
        self._continue_leave(now_ms)

    def pop_leave_result(self) -> LeaveResult | None:
        """Return the result of ``leave`` once; None while there is none."""
        result, self._leave_result = self._leave_result, None
        return result

    def pop_rejoin(self) -> bool:
        """Return whether the view was reset since the last call."""
        is_rejoining, self._is_rejoining = self._is_rejoining, False
        return is_rejoining

    def probe(
        self,
        member: members.Member,
        purpose: _probes.Purpose,
        now_ms: float,
        relay_to: transport.Address | None = None,
        relay_sequence: int = 0,
    ) -> None:
        """Ping a member.

        Args:
            member: Whom to ping.
            purpose: What a missing ack leads to.
            now_ms: The current time in ms.
            relay_to: Where to send the ack of an indirect probe.
            relay_sequence: The requester's sequence number for that ack.
        """
        sequence = self._probes.start(
            _probes.Probe(
                member.node_id,
                purpose,
                now_ms + _probes.ACK_TIMEOUT_MS,
                relay_to=relay_to,
                relay_sequence=relay_sequence,
            )
        )
        priority_updates: tuple[messages.Update, ...] = ()
        if member.state in (
            members.MemberState.SUSPECT,
            members.MemberState.DEAD,
        ):
            # Lets a wrongly suspected member refute at once.
            priority_updates = (
                messages.Update(member, self._view.local_member.node_id),
            )
        elif purpose is _probes.Purpose.LEAVE:
            priority_updates = (messages.Update(self._view.local_member),)
        self._view.send(
            member.gossip, messages.Ping(sequence), member, priority_updates
        )

    def on_ack(
        self, ack: messages.Ack, sender: ids.NodeId, now_ms: float
    ) -> None:
        """Process an ack; one that matches no pending probe is ignored."""
        probe = self._probes.get(ack.sequence)
        if probe is None or not probe.may_ack(sender):
            return
        self._probes.complete(ack.sequence)
        self._view.reachability.record_any_ack(now_ms)
        if ack.is_stranger:
            self._view.broadcast_local()
        if probe.relay_to is not None:
            answer = messages.Ack(probe.relay_sequence)
            self._view.send(probe.relay_to, answer)
        leave = self._leave
        if leave is not None and probe.subject in leave.unacked:
            leave.unacked.discard(probe.subject)
            leave.acked += 1
        member = self._view.member_list.get(probe.subject)
        if member is None or probe.is_indirect:
            # An indirect ack proves that the member is alive, not that this
            # node can reach it.
            return
        if self._view.reachability.record_ack(
            member.failure_domain, member.node_id, now_ms
        ):
            self._send_digest(member)

    def leave(self, now_ms: float) -> None:
        """Start notifying members that this node leaves."""
        peers = self._reachable_peers()
        receivers = self._rng.sample(peers, min(LEAVE_FANOUT, len(peers)))
        self._leave = _Leave(
            {m.node_id for m in receivers},
            len(receivers),
            now_ms + LEAVE_TIMEOUT_MS,
            now_ms,
        )
        self._continue_leave(now_ms)

    def _reachable_peers(self) -> list[members.Member]:
        local_id = self._view.local_member.node_id
        return [
            m
            for m in self._view.member_list.live()
            if m.node_id != local_id
            and not self._view.reachability.is_domain_unreachable(
                m.failure_domain
            )
        ]

    def _continue_leave(self, now_ms: float) -> None:
        leave = self._leave
        if leave is None:
            return
        if not leave.unacked or now_ms >= leave.deadline_ms:
            self._leave_result = LeaveResult(leave.acked, leave.notified)
            self._leave = None
            return
        if now_ms < leave.retry_ms:
            return
        leave.retry_ms = now_ms + LEAVE_RETRY_MS
        for node_id in sorted(leave.unacked):
            member = self._view.member_list.get(node_id)
            if member is None or member.state is members.MemberState.DEAD:
                leave.unacked.discard(node_id)
                continue
            self.probe(member, _probes.Purpose.LEAVE, now_ms)

    def _detect_pause(self, now_ms: float) -> None:
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if last_ms is None:
            self._view.reachability.reset_silence(now_ms)
            return
        paused_ms = now_ms - last_ms
        if paused_ms < PAUSE_THRESHOLD_MS:
            return
        # Missing acks and silence during the pause prove nothing: this
        # process was not receiving.
        self._probes.clear()
        self._view.suspicion_timers.extend(paused_ms)
        self._view.reachability.reset_silence(now_ms)
        if paused_ms >= REJOIN_AFTER_PAUSE_MS:
            self._view.reset(now_ms)
            self._is_rejoining = True

    def _is_isolated(self, now_ms: float) -> bool:
        if len(self._view.member_list) < MIN_MEMBERS_FOR_ISOLATION:
            return False
        return (
            self._view.reachability.total_silence_ms(now_ms)
            >= _suspicion.ISOLATION_THRESHOLD_MS
        )

    def _expire_probes(self, now_ms: float) -> None:
        for sequence, probe in self._probes.overdue(now_ms):
            is_monitor = probe.purpose is _probes.Purpose.MONITOR
            if is_monitor and not probe.is_indirect:
                probe.is_indirect = True
                probe.deadline_ms = now_ms + _probes.INDIRECT_TIMEOUT_MS
                self._request_indirect_probes(sequence, probe)
                continue
            self._probes.complete(sequence)
            if is_monitor:
                self._on_probe_failed(probe.subject, now_ms)

    def _request_indirect_probes(
        self, sequence: int, probe: _probes.Probe
    ) -> None:
        own_domains, other_domains = [], []
        for domain in self._view.member_list.domains():
            if self._view.reachability.is_domain_unreachable(domain):
                continue
            is_own = domain == self._view.local_member.failure_domain
            (own_domains if is_own else other_domains).append(domain)
        # A helper in another domain finds a path around a network fault
        # inside this one.
        helpers = [self._random_peer(d) for d in own_domains * INDIRECT_PROBES]
        helpers += [
            self._random_peer(d)
            for d in self._rng.sample(other_domains, len(other_domains))[:1]
        ]
        request = messages.PingRequest(sequence, probe.subject)
        found = {
            helper.node_id: helper
            for helper in helpers
            if helper is not None and helper.node_id != probe.subject
        }
        probe.helpers = frozenset(found)
        for helper in found.values():
            self._view.send(helper.gossip, request, helper)

    def _random_peer(
        self, domain: ids.FailureDomainId
    ) -> members.Member | None:
        """Return a random member of ``domain`` other than this node."""
        roster = self._view.member_list.roster(domain)
        for _ in range(3):
            if not roster:
                break
            member = self._rng.choice(roster)
            if member.node_id != self._view.local_member.node_id:
                return member
        return None

    def _on_probe_failed(self, node_id: ids.NodeId, now_ms: float) -> None:
        member = self._view.member_list.get(node_id)
        if member is None or member.state is members.MemberState.DEAD:
            return
        if self._is_isolated(now_ms):
            self._view.reachability.mark_unreachable(node_id)
            return
        if member.state is members.MemberState.LEAVING:
            self._declare_dead(member, now_ms)
            return
        suspect = dataclasses.replace(
            member, state=members.MemberState.SUSPECT
        )
        self._view.merge(
            messages.Update(suspect, self._view.local_member.node_id), now_ms
        )
        self.probe(suspect, _probes.Purpose.REACH, now_ms)

    def _evict_expired_suspects(self, now_ms: float) -> None:
        expired = self._view.suspicion_timers.expired(now_ms)
        if not expired:
            return
        is_isolated = self._is_isolated(now_ms)
        domain = self._view.member_list.in_domain(
            self._view.local_member.failure_domain
        )
        for node_id in expired:
            member = self._view.member_list.get(node_id)
            if member is None:
                self._view.suspicion_timers.clear(node_id)
            elif not is_isolated and self._eviction_limiter.try_acquire(
                len(domain), now_ms
            ):
                self._declare_dead(member, now_ms)
            else:
                self._view.reachability.mark_unreachable(node_id)

    def _declare_dead(self, member: members.Member, now_ms: float) -> None:
        dead = dataclasses.replace(member, state=members.MemberState.DEAD)
        self._view.merge(messages.Update(dead), now_ms)

    def _probe_own_domain(self, now_ms: float) -> None:
        local = self._view.local_member
        monitored = self._ring.successors(self._view.member_list, local)
        random_peer = self._random_peer(local.failure_domain)
        if random_peer is not None:
            monitored.append(random_peer)
        for member in monitored:
            if not self._probes.is_monitoring(member.node_id):
                self.probe(member, _probes.Purpose.MONITOR, now_ms)

    def _probe_other_domains(self, now_ms: float) -> None:
        is_due = self._remote_timer.is_due(now_ms)
        reachability = self._view.reachability
        for domain in tuple(self._view.member_list.domains()):
            if domain == self._view.local_member.failure_domain:
                continue
            silence_ms = reachability.silence_ms(domain, now_ms)
            is_suspect = (
                DOMAIN_SUSPECT_MS <= silence_ms < DOMAIN_UNREACHABLE_MS
            )
            if silence_ms >= FORGET_DOMAIN_MS:
                self._forget_domain(domain, now_ms)
                continue
            if silence_ms >= DOMAIN_UNREACHABLE_MS:
                reachability.mark_domain_unreachable(domain)
            if is_due or is_suspect:
                member = self._random_peer(domain)
                if member is not None:
                    self.probe(member, _probes.Purpose.REACH, now_ms)

    def _forget_domain(
        self, domain: ids.FailureDomainId, now_ms: float
    ) -> None:
        # No member of the domain is left to report the deaths of the
        # others. If they are alive, they are found through the seed rows.
        for member in tuple(self._view.member_list.roster(domain)):
            self._view.forget(member.node_id, now_ms)
        self._view.reachability.forget_domain(domain)

    def _offer_digest(self) -> None:
        domains = [
            d
            for d in self._view.member_list.domains()
            if not self._view.reachability.is_domain_unreachable(d)
        ]
        member = (
            self._random_peer(self._rng.choice(domains)) if domains else None
        )
        if member is not None:
            self._send_digest(member)

    def _send_digest(self, member: members.Member) -> None:
        digests = tuple(self._view.member_list.digests())
        pending = sorted(self._view.withdrawn())
        count = min(messages.MAX_WITHDRAWN, len(pending))
        self._view.send(
            member.gossip,
            messages.DigestOffer(digests),
            member,
            withdrawn=tuple(self._rng.sample(pending, count)),
        )

    def _probe_dead_member(self, now_ms: float) -> None:
        dead = self._view.member_list.dead()
        if dead:
            self.probe(self._rng.choice(dead), _probes.Purpose.REACH, now_ms)
