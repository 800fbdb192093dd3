"""Replication of the configuration and the member rows to all nodes.

A node learns of changes in three ways: from the store's feed, from a push by
the author of a row, and from a periodic anti-entropy exchange with a random
peer. The last two serve nodes that can't reach the store and keep the fleet
going while the store is down. All three carry the same versions, so the order
in which they deliver does not matter.
"""

import abc
import random
import typing

import msgspec

from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile.relay import logevents
from parsleystile.relay import memberlist
from parsleystile.relay import policy as policies
from parsleystile.relay import telemetry
from parsleystile import transport

SYNC_KIND = 'state.sync'
ROW_KIND = 'state.row'
PING_KIND = 'state.ping'
# Time between anti-entropy exchanges; shorter while the store is down.
SYNC_PERIOD_MS = 1_000.0
STORE_DOWN_SYNC_PERIOD_MS = 250.0
_CONTROL_TIMEOUT_MS = 500.0
# Peers that a row is pushed to; anti-entropy reaches the others.
_MAX_PUSH_PEERS = 96
# A link with calls in flight that received nothing for one period is pinged,
# and dropped if the ping fails.
LINK_CHECK_PERIOD_MS = 250.0
_PING_TIMEOUT_MS = 450.0
# Time between pings of unreachable nodes.
PROBE_PERIOD_MS = 375.0


class Snapshot(msgspec.Struct, frozen=True):
    """The operators' configuration as of one version of the store.

    Attributes:
        seen_at: Version of the store; only grows.
        payload: Encoded configuration; ``Decode`` turns it into a policy.
    """

    seen_at: int = 0
    payload: bytes = b''


class _SyncMessage(msgspec.Struct, frozen=True):
    """Request and reply of an exchange; both state the sender's versions."""

    seen_at: int
    digest: int
    payload: bytes = b''
    rows: list[memberlist.Row] = []


class StateStore(abc.ABC):
    """Durable storage of this node's row; its methods do not block."""

    @abc.abstractmethod
    def publish(self, row: memberlist.Row) -> None:
        """Write the node's own row in the background; the last call wins."""

    @abc.abstractmethod
    def withdraw(self, row: memberlist.Row) -> None:
        """Remove the node's own row in the background."""

    @property
    @abc.abstractmethod
    def is_reachable(self) -> bool:
        """Whether the store currently answers this node."""


Decode = typing.Callable[[bytes], policies.Policy | errors.SettingsError]
OnRow = typing.Callable[[memberlist.Row], None]


class StateSync:
    """Exchanges state with the store and with other nodes.

    Attributes:
        store: Set by the platform adapter before the first publish.
        policy: The policy in force; None before the first one.
        snapshot: The snapshot that the policy was decoded from.
        on_policy_changed: Called after a newer policy came into force.
        on_members_changed: Called after the member list changed.
        on_previous_own_row: Called with each received row of this node, which
            may be from an earlier incarnation.
    """

    def __init__(
        self,
        links: links_module.Links,
        member_list: memberlist.MemberList,
        decode: Decode,
        clock: clocks.Clock,
        wheel: deadlines.DeadlineWheel,
        rng: random.Random,
        recorder: telemetry.Recorder,
    ) -> None:
        self.store: StateStore | None = None
        self.policy: policies.Policy | None = None
        self.snapshot = Snapshot()
        self.on_policy_changed: typing.Callable[[], None] = lambda: None
        self.on_members_changed: typing.Callable[[], None] = lambda: None
        self.on_previous_own_row: OnRow = lambda row: None
        self._links = links
        self._member_list = member_list
        self._decode = decode
        self._clock = clock
        self._wheel = wheel
        self._rng = rng
        self._recorder = recorder
        self._next_sync_ms = 0.0
        self._pending_pings: set[transport.Address] = set()
        self._received_counts: dict[transport.Address, int] = {}
        links.handle_control(SYNC_KIND, self._on_sync)
        links.handle_control(ROW_KIND, self._on_row)
        links.handle_control(PING_KIND, lambda payload, reply: reply(b''))

    # Incoming state.

    def apply_snapshot(self, snapshot: Snapshot, source: str) -> bool:
        """Put a snapshot in force if it is newer and valid.

        Returns:
            Whether the policy changed.
        """
        if snapshot.seen_at <= self.snapshot.seen_at:
            return False
        is_same = snapshot.payload == self.snapshot.payload
        if is_same and self.policy is not None:
            # A full read returns the same configuration at a later version.
            self.snapshot = snapshot
            return False
        policy = self._decode(snapshot.payload)
        if isinstance(policy, errors.SettingsError):
            self._recorder.log.write(
                logevents.PolicyRejected(
                    seen_at=snapshot.seen_at, why=str(policy)
                )
            )
            return False
        before = self.policy
        if before is not None and policy.version < before.version:
            self._recorder.log.write(
                logevents.PolicyRejected(
                    seen_at=snapshot.seen_at,
                    why=f'version {policy.version} after {before.version}',
                )
            )
            return False
        self.snapshot = snapshot
        self.policy = policy
        self._recorder.log.write(
            logevents.PolicyInForce(
                version=policy.version,
                seen_at=snapshot.seen_at,
                source=source,
                domains_out=sorted(policy.domains_out),
            )
        )
        self.on_policy_changed()
        return True

    def merge_rows(
        self, rows: typing.Iterable[memberlist.Row], source: str
    ) -> None:
        """Merge rows of nodes, including earlier rows of this node."""
        changed = False
        for row in rows:
            if row.node_id == self._member_list.own_row.node_id:
                self.on_previous_own_row(row)
            if not self._member_list.merge(row):
                continue
            changed = True
            if row.node_id == self._member_list.own_row.node_id:
                self.publish()
            self._recorder.log.write(
                logevents.MemberChanged(
                    member=row.node_id,
                    service=row.service,
                    target=row.target_id,
                    state=_state_name(row),
                    incarnation=row.incarnation,
                    sequence=row.sequence,
                    source=source,
                )
            )
        if changed:
            self.on_members_changed()

    def remove_row(self, node_id: ids.NodeId) -> None:
        """Mark a node as gone after its row was removed from the store."""
        self._member_list.mark_gone(node_id)
        self.on_members_changed()

    # Outgoing state.

    def publish(self) -> None:
        """Store this node's row and push it to its peers."""
        row = self._member_list.own_row
        if self.store is not None:
            self.store.publish(row)
        self._push(row)

    def announce_leave(self) -> None:
        """Announce that this node is about to shut down."""
        self._member_list.update_own_row(is_leaving=True)
        self.publish()

    def leave(self) -> None:
        """Announce that this node takes no more calls."""
        row = self._member_list.update_own_row(is_serving=False, is_gone=True)
        if self.store is not None:
            # After a restart this node must still reject late reports of a
            # target that left.
            if row.departed_id:
                self.store.publish(row)
            else:
                self.store.withdraw(row)
        self._push(row)

    def _push(self, row: memberlist.Row) -> None:
        others = self._member_list.reachable()
        if len(others) > _MAX_PUSH_PEERS:
            others = self._rng.sample(others, _MAX_PUSH_PEERS)
        payload = memberlist.encode_row(row)
        for other in others:
            self._links.control(
                other.link,
                ROW_KIND,
                payload,
                _CONTROL_TIMEOUT_MS,
                _ignore_reply,
            )

    # Anti-entropy.

    def tick(self) -> None:
        """Exchange state with a random peer if it is due."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_sync_ms:
            return
        is_store_down = self.store is None or not self.store.is_reachable
        period_ms = (
            STORE_DOWN_SYNC_PERIOD_MS if is_store_down else SYNC_PERIOD_MS
        )
        self._next_sync_ms = now_ms + period_ms * self._rng.uniform(0.8, 1.2)
        others = self._member_list.reachable()
        if others:
            self._sync_with(self._rng.choice(others))

    def _sync_with(self, other: memberlist.Row) -> None:
        def on_reply(reply: bytes | errors.Refusal) -> None:
            if isinstance(reply, errors.Refusal):
                self.mark_unreachable(other.node_id, reply.detail)
                return
            remote = self._decode_sync(reply)
            if remote is None:
                return
            self._apply(remote, other.node_id)
            if remote.digest != self._member_list.digest and not remote.rows:
                return
            if remote.seen_at < self.snapshot.seen_at:
                self._push_full_state(other)

        request = _SyncMessage(self.snapshot.seen_at, self._member_list.digest)
        self._links.control(
            other.link,
            SYNC_KIND,
            msgspec.msgpack.encode(request),
            _CONTROL_TIMEOUT_MS,
            on_reply,
        )

    def _push_full_state(self, other: memberlist.Row) -> None:
        full = _SyncMessage(
            self.snapshot.seen_at,
            self._member_list.digest,
            self.snapshot.payload,
            self._member_list.rows(),
        )
        self._links.control(
            other.link,
            SYNC_KIND,
            msgspec.msgpack.encode(full),
            _CONTROL_TIMEOUT_MS,
            _ignore_reply,
        )

    def _apply(self, remote: _SyncMessage, source: str) -> None:
        if remote.payload:
            self.apply_snapshot(
                Snapshot(remote.seen_at, remote.payload), source
            )
        if remote.rows:
            self.merge_rows(remote.rows, source)

    def _on_sync(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        request = self._decode_sync(payload)
        if request is None:
            reply(b'')
            return
        self._apply(request, 'neighbour')
        own = self.snapshot
        newer = own.payload if own.seen_at > request.seen_at else b''
        differs = request.digest != self._member_list.digest
        answer = _SyncMessage(
            own.seen_at,
            self._member_list.digest,
            newer,
            self._member_list.rows() if differs else [],
        )
        reply(msgspec.msgpack.encode(answer))

    def _on_row(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        row = memberlist.decode_row(payload)
        if row is None:
            self._recorder.input_rejected(ROW_KIND, 'not a row')
        else:
            self.merge_rows([row], 'author')
            self.mark_reachable(row.node_id)
        reply(b'')

    def _decode_sync(self, payload: bytes) -> _SyncMessage | None:
        try:
            return msgspec.msgpack.decode(payload, type=_SyncMessage)
        except msgspec.MsgspecError as exc:
            self._recorder.input_rejected(SYNC_KIND, str(exc))
            return None

    # Failure detection.

    def check_silent_links(self) -> None:
        """Ping the peers of links that have calls in flight but are silent."""
        waiting = self._links.busy_links()
        silent = [
            address
            for address, received in waiting
            if self._received_counts.get(address) == received
        ]
        self._received_counts = dict(waiting)
        for address in silent:
            self._check_link(address)

    def _ping(
        self, address: transport.Address, on_reply: transport.OnControlReply
    ) -> None:
        """Ping an address unless a ping to it is already in flight."""
        if address in self._pending_pings:
            return
        self._pending_pings.add(address)

        def on_done(reply: bytes | errors.Refusal) -> None:
            self._pending_pings.discard(address)
            on_reply(reply)

        self._links.control(address, PING_KIND, b'', _PING_TIMEOUT_MS, on_done)

    def _check_link(self, address: transport.Address) -> None:
        before = self._received_counts[address]

        def on_reply(reply: bytes | errors.Refusal) -> None:
            is_silent = dict(self._links.busy_links()).get(address) == before
            if isinstance(reply, errors.Refusal) and is_silent:
                why = 'no reply on a link that owes answers'
                self._links.drop(address, why)
                for row in self._member_list.others():
                    if row.link == address:
                        self.mark_unreachable(row.node_id, why)

        self._ping(address, on_reply)

    def probe_unreachable(self) -> None:
        """Ping all unreachable nodes."""
        for row in self._member_list.unreachable():
            self._probe_row(row)

    def _probe_row(self, row: memberlist.Row) -> None:
        def on_reply(reply: bytes | errors.Refusal) -> None:
            if not isinstance(reply, errors.Refusal):
                self.mark_reachable(row.node_id)
                self._next_sync_ms = 0.0

        self._ping(row.link, on_reply)

    def mark_reachable(self, node_id: ids.NodeId) -> None:
        """Mark a node as reachable."""
        if self._member_list.set_reachable(node_id, True):
            self._log_reachability(node_id, True, 'it answers')

    def mark_unreachable(self, node_id: ids.NodeId, why: str) -> None:
        """Mark a node as unreachable; it gets no calls until it answers."""
        if self._member_list.set_reachable(node_id, False):
            self._log_reachability(node_id, False, why)

    def _log_reachability(
        self, node_id: ids.NodeId, is_reachable: bool, why: str
    ) -> None:
        self._recorder.log.write(
            logevents.NodeReachabilityChanged(
                member=node_id, is_reached=is_reachable, why=why
            )
        )
        self.on_members_changed()


def _ignore_reply(reply: bytes | errors.Refusal) -> None:
    # Anti-entropy makes up for a lost push.
    del reply


def _state_name(row: memberlist.Row) -> str:
    if row.is_gone:
        return 'gone'
    if row.is_leaving:
        return 'leaving'
    return 'serving' if row.is_serving else 'no-target'


def state_sync(
    links: links_module.Links,
    member_list: memberlist.MemberList,
    decode: Decode,
    clock: clocks.Clock,
    wheel: deadlines.DeadlineWheel,
    rng: random.Random,
    recorder: telemetry.Recorder,
) -> StateSync:
    """Create the replication of a node without any state."""
    return StateSync(links, member_list, decode, clock, wheel, rng, recorder)
