"""Membership protocol of the fleet, based on SWIM, without I/O.

``Membership.handle`` is a state machine: it takes an event and returns
actions. ``_failure_detector`` holds the part that runs on timers.
"""

import collections
import dataclasses
import random
import typing

from parsleystile import _antientropy
from parsleystile import _failure_detector
from parsleystile import _gossip_messages as messages
from parsleystile import _probes
from parsleystile import _view
from parsleystile import ids
from parsleystile import members
from parsleystile import transport

TICK_MS = 100
# Members pinged for one ``QueryConfigVersions``.
MAX_VERSION_PINGS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event: time has passed; expected every ``TICK_MS``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Event: a message arrived whose datagram was authentic."""

    message: messages.Message
    source: transport.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Event: the local target announced itself or left.

    Attributes:
        service: The target's service; empty while there is no target.
        slots: Concurrent calls that the target declares.
    """

    service: ids.ServiceName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Event: this node is about to stop and must get no new calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Learned:
    """Event: members were read from a peer's member list."""

    members: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Event: this node has put a version of the document in force.

    Attributes:
        version: Version of the document.
        domains_out: Failure domains that the document takes out of use.
    """

    version: ids.ConfigVersion
    domains_out: tuple[ids.FailureDomainId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnKeys:
    """Event: the withdrawn keys that the document still contains.

    It replaces the keys of the previous event.
    """

    key_ids: frozenset[ids.KeyId]


@dataclasses.dataclass(frozen=True, slots=True)
class QueryConfigVersions:
    """Event: probe members not known to have a version in force."""

    version: ids.ConfigVersion


Event = (
    Tick
    | Received
    | Announce
    | Leave
    | Learned
    | ConfigInForce
    | WithdrawnKeys
    | QueryConfigVersions
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message."""

    to: transport.Address
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveConfirmed:
    """Action: report that this node's leave was acked or timed out.

    Attributes:
        acked: Members that acked the leave.
        notified: Members that were notified directly.
    """

    acked: int
    notified: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfig:
    """Action: fetch a newer version of the document from a peer."""

    version: ids.ConfigVersion
    peer: transport.Peer


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKeys:
    """Action: withdraw keys that other members report as withdrawn."""

    key_ids: tuple[ids.KeyId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rejoin:
    """Action: join the fleet again; the view was reset after a pause."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Action: log a changed member.

    Attributes:
        before: The previous record; None if the member was unknown.
        after: The new record.
    """

    before: members.Member | None
    after: members.Member


Action = (
    Send | LeaveConfirmed | FetchConfig | WithdrawKeys | Rejoin | MemberChanged
)


@dataclasses.dataclass(frozen=True, slots=True)
class DomainRollout:
    """Rollout of a version of the document in one failure domain.

    Attributes:
        domain: The failure domain.
        in_force: Members that report this version or a later one in force.
        total: Live members.
        waiting: The other live members.
    """

    domain: ids.FailureDomainId
    in_force: int
    total: int
    waiting: tuple[ids.NodeId, ...]


class Membership:
    """Membership state machine of one node."""

    def __init__(
        self, local_member: members.Member, rng: random.Random
    ) -> None:
        self._rng = rng
        self._view = _view.View(local_member)
        self._detector = _failure_detector.FailureDetector(self._view, rng)
        self._domains_out: frozenset[ids.FailureDomainId] = frozenset()
        self._local_version = 0
        self._cache_version = -1
        self._cache: dict[ids.ServiceName, list[members.Member]] = {}

    @property
    def local_member(self) -> members.Member:
        """This node's own record, as announced to the fleet."""
        return self._view.local_member

    @property
    def version(self) -> int:
        """Counter that grows when the result of ``members_of`` may change."""
        view = self._view
        return (
            self._local_version
            + view.member_list.version
            + view.reachability.version
        )

    def members_of(self, service: ids.ServiceName) -> list[members.Member]:
        """Return the members of a service that may get new calls.

        The result is cached until ``version`` changes; callers must not
        change it.
        """
        if self._cache_version != self.version:
            self._cache = {}
            self._cache_version = self.version
        found = self._cache.get(service)
        if found is None:
            serving = self._view.member_list.serving(service)
            found = [m for m in serving if self._is_usable(m)]
            self._cache[service] = found
        return found

    def live_members(self) -> list[members.Member]:
        """Return the members that are not dead."""
        return list(self._view.member_list.live())

    def get(self, node_id: ids.NodeId) -> members.Member | None:
        """Return the record of a node, dead or not; None if unknown."""
        return self._view.member_list.get(node_id)

    def unreachable_domains(
        self,
    ) -> typing.Collection[ids.FailureDomainId]:
        """Return the failure domains that this node cannot reach."""
        return self._view.reachability.unreachable_domains()

    def in_force(self, version: ids.ConfigVersion) -> list[DomainRollout]:
        """Return the rollout of a version, as reported by the members."""
        waiting: dict[ids.FailureDomainId, list[ids.NodeId]] = {}
        totals: collections.Counter[ids.FailureDomainId] = (
            collections.Counter()
        )
        for member in self._view.member_list.live():
            totals[member.failure_domain] += 1
            lagging = waiting.setdefault(member.failure_domain, [])
            if self._view.config_version_of(member.node_id) < version:
                lagging.append(member.node_id)
        return [
            DomainRollout(
                domain,
                total - len(waiting[domain]),
                total,
                tuple(sorted(waiting[domain])),
            )
            for domain, total in sorted(totals.items())
        ]

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process an event and return the actions to perform."""
        match event:
            case Received(message=message, source=source):
                return self._handle_message(message, source, now_ms)
            case Tick():
                return self._tick(now_ms)
            case Announce(service=service, slots=slots):
                self._view.update_local(now_ms, service=service, slots=slots)
            case Leave():
                self._view.update_local(
                    now_ms, state=members.MemberState.LEAVING
                )
                self._detector.leave(now_ms)
            case Learned(members=learned):
                for member in learned:
                    self._view.clear_forgotten(member.node_id)
                    self._view.merge_without_broadcast(member, now_ms)
            case ConfigInForce(version=version, domains_out=domains_out):
                self._view.config_version = version
                self._domains_out = frozenset(domains_out)
                self._local_version += 1
            case WithdrawnKeys(key_ids=key_ids):
                self._view.set_withdrawn(key_ids)
            case QueryConfigVersions(version=version):
                self._probe_lagging_members(version, now_ms)
            case _:
                typing.assert_never(event)
        return self._drain_actions()

    def _is_usable(self, member: members.Member) -> bool:
        domain = member.failure_domain
        if domain in self._domains_out:
            return False
        if member.node_id == self._view.local_member.node_id:
            return True
        reach = self._view.reachability
        return not (
            reach.is_domain_unreachable(domain)
            or reach.is_unreachable(member.node_id)
        )

    def _drain_actions(self) -> list[Action]:
        outbox = self._view.outbox
        self._view.outbox = []
        changed = self._view.changed
        actions: list[Action] = [Send(to, m) for to, m in outbox]
        if changed:
            self._view.changed = []
            actions += [MemberChanged(old, new) for old, new in changed]
        return actions

    def _tick(self, now_ms: float) -> list[Action]:
        self._detector.tick(now_ms)
        actions = self._drain_actions()
        leave_result = self._detector.pop_leave_result()
        if leave_result is not None:
            actions.append(
                LeaveConfirmed(leave_result.acked, leave_result.notified)
            )
        if self._detector.pop_rejoin():
            actions.append(Rejoin())
        return actions

    def _handle_message(
        self,
        message: messages.Message,
        source: transport.Address,
        now_ms: float,
    ) -> list[Action]:
        self._view.clear_forgotten(message.sender)
        for update in message.updates:
            self._view.merge(update, now_ms)
        actions = self._process_sender(message)
        self._handle_body(message, source, now_ms)
        return self._drain_actions() + actions

    def _process_sender(self, message: messages.Message) -> list[Action]:
        view = self._view
        actions: list[Action] = []
        newly_withdrawn = view.unknown_withdrawn(message.withdrawn)
        if newly_withdrawn:
            actions.append(WithdrawKeys(newly_withdrawn))
        sender = view.member_list.get(message.sender)
        if sender is None:
            return actions
        view.record_config_version(message.sender, message.config_version)
        if message.config_version > view.config_version:
            actions.append(FetchConfig(message.config_version, sender.peer))
        return actions

    def _handle_body(
        self,
        message: messages.Message,
        source: transport.Address,
        now_ms: float,
    ) -> None:
        view = self._view
        match message.body:
            case messages.Ping(sequence=sequence):
                self._reply_to_ping(message, source, sequence)
            case messages.Ack():
                self._detector.on_ack(message.body, message.sender, now_ms)
            case messages.PingRequest(sequence=sequence, subject=subject):
                member = self._view.member_list.get(subject)
                if member is not None:
                    self._detector.probe(
                        member,
                        _probes.Purpose.RELAY,
                        now_ms,
                        relay_to=source,
                        relay_sequence=sequence,
                    )
            case messages.DigestOffer(digests=digests):
                _antientropy.reconcile(view, self._rng, digests, source)
            case messages.RecordsRequest(count=count, buckets=buckets):
                _antientropy.send_records(view, buckets, count, source)
            case messages.Records():
                pass
            case _:
                typing.assert_never(message.body)

    def _reply_to_ping(
        self,
        message: messages.Message,
        source: transport.Address,
        sequence: int,
    ) -> None:
        known = self._view.member_list.get(message.sender)
        is_stranger = known is None or known.incarnation < message.incarnation
        priority_updates: tuple[messages.Update, ...] = ()
        if (
            known is not None
            and known.state is members.MemberState.DEAD
            and not is_stranger
        ):
            # The sender is alive but recorded as dead: sending it that
            # record makes it refute with a higher incarnation.
            priority_updates = (messages.Update(known),)
        self._view.send(
            source,
            messages.Ack(sequence, is_stranger),
            known,
            priority_updates,
        )

    def _probe_lagging_members(
        self, version: ids.ConfigVersion, now_ms: float
    ) -> None:
        lagging = [
            m
            for m in self._view.member_list.live()
            if self._view.config_version_of(m.node_id) < version
            and m.node_id != self._view.local_member.node_id
        ]
        count = min(MAX_VERSION_PINGS, len(lagging))
        for member in self._rng.sample(lagging, count):
            self._detector.probe(member, _probes.Purpose.REACH, now_ms)


def membership(local_member: members.Member, rng: random.Random) -> Membership:
    """Create the membership state of a node that knows only itself.

    Args:
        local_member: This node's own record.
        rng: Source of randomness for probes and gossip.
    """
    return Membership(local_member, rng)
