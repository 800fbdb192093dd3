"""Who is in the fleet: what a node hears, and what it concludes.

A state machine without I/O, after SWIM. ``handle`` takes an event and
returns actions; ``_failure_detector`` holds the part that runs on timers.
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
# Pings that one question about a configuration version may cause.
MAX_VERSION_PINGS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; to be sent every ``TICK_MS``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A datagram came in, with a valid fleet proof."""

    message: messages.Message
    source: transport.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """The target beside this node told what it is.

    Attributes:
        service: Empty while there is no target.
        slots: Calls that it can run at once.
    """

    service: ids.ServiceName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """This node is to stop: get no new work, tell everyone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Learned:
    """Members were read from the table or from a peer's full list."""

    members: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigInForce:
    """This node acts on this version of the document from now on."""

    version: ids.ConfigVersion
    domains_out: tuple[ids.FailureDomainId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnKeys:
    """All keys withdrawn here that the document still holds."""

    key_ids: frozenset[ids.KeyId]


@dataclasses.dataclass(frozen=True, slots=True)
class QueryConfigVersions:
    """Somebody waits for a version to be in force everywhere."""

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
    """Send one datagram."""

    to: transport.Address
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveConfirmed:
    """This node's leaving was spread.

    Attributes:
        acked: Members that confirmed it.
        notified: Members that were told directly.
    """

    acked: int
    notified: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfig:
    """A peer has a newer version of the document in force."""

    version: ids.ConfigVersion
    peer: transport.Address


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKeys:
    """Other members know these keys to be withdrawn."""

    key_ids: tuple[ids.KeyId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rejoin:
    """This process slept so long that it starts from the table again."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """There is news of a member, for the record.

    Attributes:
        before: None if it was not known.
    """

    before: members.Member | None
    after: members.Member


Action = (
    Send | LeaveConfirmed | FetchConfig | WithdrawKeys | Rejoin | MemberChanged
)


@dataclasses.dataclass(frozen=True, slots=True)
class DomainRollout:
    """How far a version of the document has got in a failure domain."""

    domain: ids.FailureDomainId
    in_force: int
    total: int
    waiting: tuple[ids.NodeId, ...]


class Membership:
    """Knows the members; callers refresh when ``version`` changes."""

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
        """This node as it announces itself."""
        return self._view.local_member

    @property
    def version(self) -> int:
        """Grows whenever ``members_of`` may answer differently."""
        view = self._view
        return (
            self._local_version
            + view.member_list.version
            + view.reachability.version
        )

    def members_of(self, service: ids.ServiceName) -> list[members.Member]:
        """Return the members of a service that may get new work.

        The list stays the same object until ``version`` changes; it is not
        to be changed.
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
        """Return every member that is not known to be dead."""
        return list(self._view.member_list.live())

    def get(self, node_id: ids.NodeId) -> members.Member | None:
        """Return what is known of a node, also if it is dead."""
        return self._view.member_list.get(node_id)

    def unreachable_domains(
        self,
    ) -> typing.Collection[ids.FailureDomainId]:
        """Return the failure domains that this node can't reach."""
        return self._view.reachability.unreachable_domains()

    def in_force(self, version: ids.ConfigVersion) -> list[DomainRollout]:
        """Return how far a version has got, as told by the members."""
        waiting: dict[ids.FailureDomainId, list[ids.NodeId]] = {}
        totals: collections.Counter[ids.FailureDomainId] = (
            collections.Counter()
        )
        for member in self._view.member_list.live():
            totals[member.failure_domain] += 1
            late = waiting.setdefault(member.failure_domain, [])
            if self._view.config_version_of(member.node_id) < version:
                late.append(member.node_id)
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
        """Take one event in and return what is to be done."""
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
        left = self._detector.pop_leave_result()
        if left is not None:
            actions.append(LeaveConfirmed(left.acked, left.notified))
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
        news = self._process_sender(message)
        self._handle_body(message, source, now_ms)
        return self._drain_actions() + news

    def _process_sender(self, message: messages.Message) -> list[Action]:
        view = self._view
        news: list[Action] = []
        fresh = view.unknown_withdrawn(message.withdrawn)
        if fresh:
            news.append(WithdrawKeys(fresh))
        sender = view.member_list.get(message.sender)
        if sender is None:
            return news
        view.record_config_version(message.sender, message.config_version)
        if message.config_version > view.config_version:
            news.append(FetchConfig(message.config_version, sender.link))
        return news

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
                self._detector.on_ack(message.body, now_ms)
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
            # It lives after all; told so, it takes a new incarnation.
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
        late = [
            m
            for m in self._view.member_list.live()
            if self._view.config_version_of(m.node_id) < version
            and m.node_id != self._view.local_member.node_id
        ]
        count = min(MAX_VERSION_PINGS, len(late))
        for member in self._rng.sample(late, count):
            self._detector.probe(member, _probes.Purpose.REACH, now_ms)


def membership(local_member: members.Member, rng: random.Random) -> Membership:
    """Create the state of a node that knows only itself."""
    return Membership(local_member, rng)
