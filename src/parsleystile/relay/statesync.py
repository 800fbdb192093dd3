"""Replication of the configuration and the member rows to all nodes.

A few nodes of each failure domain follow the store; the others learn of
changes from their peers. Each node passes on to its peers what is new to it,
and a periodic anti-entropy exchange with one of them makes up for messages
that were lost. The same ways keep the fleet going while the store is down.
All of them carry the same versions, so the order of delivery does not matter.
"""

import abc
import math
import random
import typing

import msgspec

from parsleystile import bucketdigests
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile.relay import logevents
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import policy as policies
from parsleystile.relay import reachability as reachability_module
from parsleystile.relay import rowkeeping
from parsleystile.relay import rowspread
from parsleystile.relay import statemessages
from parsleystile.relay import storeera
from parsleystile.relay import storefollowing
from parsleystile.relay import telemetry
from parsleystile import transport

SYNC_KIND = 'state.sync'
ROW_KIND = 'state.row'
# Time between anti-entropy exchanges; shorter while the last one differed.
SYNC_PERIOD_MS = 1_000.0
_DIFFERING_SYNC_PERIOD_MS = 375.0
# The peers of a node that has announced its end pass nothing on to it, but it
# still makes the calls of its target.
_LEAVING_SYNC_PERIOD_MS = 100.0
_CONTROL_TIMEOUT_MS = 500.0
# Changes that arrive within this time share a message.
_SPREAD_DELAY_MS = 20.0
# A new configuration is offered to other failure domains after this time.
_FAR_OFFER_DELAY_MS = 250.0
# Buckets reconciled in one exchange; the rest follow in later ones.
_MAX_BUCKETS_PER_EXCHANGE = 8
# A node that announced a newer configuration sends it within this time.
_PAYLOAD_WAIT_MS = 300.0
# Replies to a message of rows.
_ROWS_MERGED = b''
_ROWS_REJECTED = b'rejected'
# Source of rows and snapshots that were read from the store.
STORE_SOURCE = 'store'


class StateStore(abc.ABC):
    """Durable storage of this node's row; its methods do not block."""

    @abc.abstractmethod
    def publish(self, row: memberrow.Row) -> None:
        """Write the node's own row in the background; the last call wins."""

    @abc.abstractmethod
    def withdraw(self, row: memberrow.Row) -> None:
        """Remove the node's own row in the background."""


Decode = typing.Callable[[bytes], policies.Policy | errors.SettingsError]
# Encodes a payload with the document of another one, or with the domains that
# the other one takes out, or both.
Combine = typing.Callable[[bytes, bytes, bool, bool], bytes]
OnRow = typing.Callable[[memberrow.Row], None]


class StateSync:
    """Exchanges state with the store and with other nodes.

    Attributes:
        store: Set by the platform adapter before the first publish.
        policy: The policy in force; None before the first one.
        snapshot: The snapshot that the policy was decoded from.
        following: Whether this node follows the store, and the age of the
            reading that the snapshot rests on.
        combine: Set by the platform adapter; without it a whole payload is
            taken for its document.
        eras: The eras of the store that this node knows.
        on_era_risen: Called after the store was restored.
        on_policy_changed: Called after a newer policy came into force.
        on_members_changed: Called after the member list changed.
        on_previous_own_row: Called with each received row of this node, which
            may be from an earlier incarnation.
        on_departures_heard: Called after this node heard of departures of its
            own target, of before a restart or of before it had its address.
        keeping: Whether another place has this node's departures.
    """

    def __init__(
        self,
        links: links_module.Links,
        member_list: memberlist.MemberList,
        reachability: reachability_module.Reachability,
        decode: Decode,
        clock: clocks.Clock,
        wheel: deadlines.DeadlineWheel,
        rng: random.Random,
        recorder: telemetry.Recorder,
    ) -> None:
        self.store: StateStore | None = None
        self.policy: policies.Policy | None = None
        self.snapshot = statemessages.Snapshot()
        self.combine: Combine | None = None
        self.eras = storeera.store_eras()
        self.on_era_risen: typing.Callable[[], None] = lambda: None
        self.on_policy_changed: typing.Callable[[], None] = lambda: None
        self.on_members_changed: typing.Callable[[], None] = lambda: None
        self.on_previous_own_row: OnRow = lambda row: None
        self.on_departures_heard: typing.Callable[[], None] = lambda: None
        self.keeping = rowkeeping.row_keeping(clock, wheel)
        self._links = links
        self._member_list = member_list
        self._reachability = reachability
        self._decode = decode
        self._clock = clock
        self._wheel = wheel
        self._rng = rng
        self._recorder = recorder
        self._spread = rowspread.row_spread()
        self._is_announced = False
        self._has_read_all = False
        # Snapshot of the store that waits for what a peer has.
        self._held: statemessages.Snapshot | None = None
        self._has_heard_peer = False
        self._published: memberrow.Row | None = None
        self._next_sync_ms = 0.0
        # Node that has just become reachable; it is next to exchange with.
        self._returned: ids.NodeId | None = None
        self.following = storefollowing.store_following(
            member_list, clock, rng, recorder
        )
        # Place of a snapshot that a peer is sending, and until when.
        self._awaited = storeera.place(self.snapshot)
        self._awaited_until_ms = 0.0
        # Why the store's last document was not taken, so as to log it once.
        self._kept_why = ''
        reachability.on_reachable = self._on_reachable
        links.handle_control(SYNC_KIND, self._on_sync)
        links.handle_control(ROW_KIND, self._on_rows)

    @property
    def is_following(self) -> bool:
        """Whether this node follows the store rather than its peers."""
        return self.following.is_following

    @property
    def node_count(self) -> int:
        """Number of nodes that are not gone."""
        return len(self._member_list.node_ids)

    # Incoming state.

    def note_era(self, era: int | None) -> bool:
        """Note the era that the store or a peer names.

        Returns:
            False if the era is an earlier one.
        """
        old = self.eras.known
        change = self.eras.note(era, self._clock.now_ms())
        if change is storeera.Change.RISEN:
            self._recorder.count('store-eras-risen')
            self._recorder.log.write(
                logevents.StoreEraChanged(
                    old=old,
                    new=self.eras.known,
                    seen_at=self.snapshot.seen_at,
                )
            )
            self.on_era_risen()
        return change is not storeera.Change.EARLIER

    def store_phase(self) -> statemessages.Phase:
        """Return the phase of a snapshot that is read from the store now."""
        return self.eras.phase(self._clock.now_ms())

    def apply_snapshot(
        self, snapshot: statemessages.Snapshot, source: str
    ) -> bool:
        """Put a snapshot in force as far as it is newer and valid.

        Returns:
            Whether the policy changed.
        """
        if self._is_held(snapshot):
            self._held = snapshot
            return False
        own = self.snapshot
        is_same = snapshot.payload == own.payload
        if is_same and self.policy is not None:
            # A full read returns the same configuration at a later version.
            if storeera.place(snapshot) > storeera.place(own):
                self.snapshot = snapshot
            return False
        policy = self._decode(snapshot.payload)
        if isinstance(policy, errors.SettingsError):
            if storeera.place(snapshot) > storeera.place(own):
                self._reject_policy(snapshot, str(policy))
            return False
        if self.policy is not None:
            joined = self._join(snapshot, policy)
            if joined == own:
                return False
            if joined.payload != snapshot.payload:
                policy = self._decode(joined.payload)
            snapshot = joined
        is_changed = snapshot.payload != own.payload
        self.snapshot = snapshot
        if not is_changed:
            return False
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
        self._offer_snapshot(source)
        return True

    def _is_held(self, snapshot: statemessages.Snapshot) -> bool:
        """Whether to hear a peer before a snapshot is put in force.

        A store that was restored may bring back keys that were withdrawn.
        """
        return (
            self.policy is None
            and not self._has_heard_peer
            and snapshot.phase is statemessages.Phase.UNKNOWN
            and self.store_phase() is statemessages.Phase.UNKNOWN
        )

    def _apply_held(self) -> None:
        held = self._held
        if held is not None and not self._is_held(held):
            self._held = None
            self.apply_snapshot(held, STORE_SOURCE)

    def _join(
        self, snapshot: statemessages.Snapshot, policy: policies.Policy
    ) -> statemessages.Snapshot:
        """Return what is in force after a valid snapshot was received."""
        join = storeera.join(
            self.snapshot, self.policy.version, snapshot, policy.version
        )
        if join.takes_document and join.base is snapshot:
            why = f'version {policy.version} after {self.policy.version}'
            if why != self._kept_why:
                self._kept_why = why
                self._reject_policy(snapshot, why)
        payload = join.base.payload
        if self.combine is not None:
            payload = self.combine(
                payload,
                join.other.payload,
                join.takes_document,
                join.keeps_domains,
            )
        elif join.takes_document:
            payload = join.other.payload
        return msgspec.structs.replace(join.base, payload=payload)

    def _offer_snapshot(self, source: str) -> None:
        """Tell the peers of a new snapshot, those in other domains later.

        Most of them learn of it within their own domain meanwhile.
        """
        offered = self.snapshot
        domain = self._member_list.own_row.domain
        far: list[memberrow.Row] = []
        for peer in self._member_list.peers():
            if peer.domain != domain:
                far.append(peer)
            elif peer.node_id != source:
                self._send(peer, self._own_versions())

        def offer_far() -> None:
            if self.snapshot is not offered:
                return
            for peer in far:
                self._send(peer, self._own_versions())

        self._wheel.add(self._clock.now_ms() + _FAR_OFFER_DELAY_MS, offer_far)

    def _reject_policy(
        self, snapshot: statemessages.Snapshot, why: str
    ) -> None:
        self._recorder.log.write(
            logevents.PolicyRejected(seen_at=snapshot.seen_at, why=why)
        )

    def merge_rows(
        self,
        rows: typing.Iterable[memberrow.Row],
        source: str,
        is_spread: bool = True,
    ) -> None:
        """Merge rows of nodes, including earlier rows of this node.

        A node whose row lacks a departure that is known here is told of it:
        the target must not be used again, and neither the node's memory nor
        the store may have outlasted a restart.

        Args:
            rows: The rows, in any order.
            source: Node that sent them, or the store.
            is_spread: Whether peers may lack them.
        """
        changed = False
        for row in rows:
            if self._member_list.is_predecessor(row):
                changed |= self._end_predecessor(row)
                continue
            is_own = row.node_id == self._member_list.own_row.node_id
            if is_own:
                self.on_previous_own_row(row)
            known = self._member_list.row(row.node_id)
            if not self._member_list.merge(row):
                self._spread.note_copy(row, ids.NodeId(source))
                continue
            changed = True
            merged = self._member_list.row(row.node_id)
            self._log_row(merged, source)
            if is_own:
                # Whoever took this node for gone may have removed its row.
                self._published = None
                self._publish_heard()
                continue
            if not merged.is_gone and _lacks_departure(row, known, merged):
                self._return_row(merged)
            if is_spread:
                self._pass_on(merged, ids.NodeId(source))
        if not changed:
            return
        if not self._is_announced and self._member_list.peers():
            # This node's row was published before it knew any other node.
            self._is_announced = True
            self._pass_on_own()
        self.on_members_changed()

    def _end_predecessor(self, row: memberrow.Row) -> bool:
        """Take a node as gone and tell the others; False if it was.

        Its address is this node's, so that it can't be running.
        """
        gone = msgspec.structs.replace(row, is_gone=True)
        is_changed = self._member_list.merge(gone)
        # A late report of its target arrives here.
        if self._member_list.add_departures(row.departures):
            self._publish_heard()
        if not is_changed:
            return False
        self._log_row(gone, self._member_list.own_row.node_id)
        # Also to the sender of the row, which takes the node for present.
        self._pass_on(gone, gone.node_id)
        return True

    def _return_row(self, row: memberrow.Row) -> None:
        """Send a node its row with departures that it does not name."""
        self._recorder.count('departures-returned')
        own = self._member_list.own_row.node_id
        self._links.control(
            row.peer,
            ROW_KIND,
            msgspec.msgpack.encode(statemessages.RowsMessage(own, [row])),
            _CONTROL_TIMEOUT_MS,
            _ignore_reply,
        )

    def _log_row(self, row: memberrow.Row, source: str) -> None:
        # Bounded, since a large fleet may change as a whole.
        if not self._recorder.log.try_acquire(logevents.MemberChanged):
            return
        self._recorder.log.append(
            logevents.MemberChanged(
                member=row.node_id,
                service=row.service,
                target=row.target_id,
                state=_state_name(row),
                incarnation=row.incarnation,
                sequence=row.sequence,
                source=source,
                departed=[d.target_id for d in row.departures],
            )
        )

    def is_predecessor(self, row: memberrow.Row) -> bool:
        """Whether a row is of a node whose address this node has now."""
        return self._member_list.is_predecessor(row)

    def note_all_rows(self) -> None:
        """Note that this node has read the rows of all nodes.

        A store that may lack some does not tell how many share a rate.
        """
        self._has_read_all = True
        self._check_complete()

    def _check_complete(self) -> None:
        is_settled = self.store_phase() is statemessages.Phase.SETTLED
        if self._has_read_all and is_settled:
            self._note_complete()

    def _note_complete(self) -> None:
        if self._member_list.note_complete():
            self.on_members_changed()

    def remove_row(self, node_id: ids.NodeId, incarnation: int) -> None:
        """Mark a node as gone after its row was removed from the store.

        Args:
            node_id: The node.
            incarnation: Latest incarnation that the removed row may be of.
        """
        row = self._member_list.gone_row(node_id, incarnation)
        if row is not None:
            self.merge_rows([row], STORE_SOURCE)

    # Outgoing state.

    def _publish_heard(self) -> None:
        """Publish this node's row after what others said changed it."""
        is_heard = self.keeping.note_own(self._member_list.own_row)
        self.publish()
        if is_heard:
            self.on_departures_heard()

    def publish(self) -> None:
        """Pass this node's row on, and store what must outlast the fleet."""
        row = self._member_list.own_row
        self.keeping.note_own(row)
        if self.store is not None and is_stored_anew(row, self._published):
            self._published = row
            self.store.publish(row)
        self._pass_on_own()

    def leave(self) -> None:
        """Announce that this node takes no more calls."""
        row = self._member_list.update_own_row(is_serving=False, is_gone=True)
        if self.store is not None:
            # After a restart this node must still reject late reports of a
            # target that left.
            if row.departures:
                self.store.publish(row)
            else:
                self.store.withdraw(row)
        self._next_sync_ms = 0.0
        self._pass_on_own()

    def _pass_on_own(self) -> None:
        row = self._member_list.own_row
        self._pass_on(row, row.node_id)

    def _pass_on(self, row: memberrow.Row, sender: ids.NodeId) -> None:
        if not self._spread:
            due_ms = self._clock.now_ms() + _SPREAD_DELAY_MS
            self._wheel.add(due_ms, self._spread_rows)
        self._spread.put(row, sender)

    def _spread_rows(self) -> None:
        own = self._member_list.own_row
        peers = self._member_list.peers()
        by_id = {peer.node_id: peer for peer in peers}
        messages = self._spread.flush(peers, own.domain)
        for node_id, rows in messages.items():
            self._links.control(
                by_id[node_id].peer,
                ROW_KIND,
                msgspec.msgpack.encode(
                    statemessages.RowsMessage(own.node_id, rows)
                ),
                _CONTROL_TIMEOUT_MS,
                self._own_row_told(rows),
            )

    def _own_row_told(
        self, rows: list[memberrow.Row]
    ) -> transport.OnControlReply:
        """Return what to do with the reply to a message of rows."""
        own = self._member_list.own_row
        sent = [row.revision for row in rows if row.node_id == own.node_id]
        if not sent:
            return _ignore_reply

        def on_reply(reply: bytes | errors.Refusal) -> None:
            if reply == _ROWS_MERGED:
                self.keeping.note_told(sent[0])

        return on_reply

    # Anti-entropy.

    def tick(self) -> None:
        """Exchange state with a random peer if it is due."""
        self.following.check(self.snapshot.seen_at)
        self._check_complete()
        self._apply_held()
        now_ms = self._clock.now_ms()
        returned, self._returned = self._returned, None
        if now_ms < self._next_sync_ms and returned is None:
            return
        is_leaving = self._member_list.own_row.is_gone
        period_ms = _LEAVING_SYNC_PERIOD_MS if is_leaving else SYNC_PERIOD_MS
        period_ms *= self._rng.uniform(0.8, 1.2)
        self._next_sync_ms = now_ms + period_ms
        peer = None if returned is None else self._member_list.row(returned)
        if peer is None:
            peers = self._member_list.peers()
            if not peers:
                return
            peer = self._rng.choice(peers)
        self._send(peer, self._own_versions(self._member_list.digest))

    def _on_reachable(self, node_id: ids.NodeId) -> None:
        self._returned = node_id

    def _own_versions(
        self, digest: int | None = None
    ) -> statemessages.SyncMessage:
        age_ms = self.following.age.reading_age_ms(self._clock.now_ms())
        return statemessages.SyncMessage(
            self.snapshot.seen_at,
            self._member_list.own_row.node_id,
            self.snapshot.payload_digest,
            digest=digest,
            knows_all=self._member_list.is_complete,
            # Rounded up, so that it isn't younger with each hop.
            store_age_ms=None if age_ms is None else math.ceil(age_ms),
            era=self.snapshot.era,
            phase=self.snapshot.phase,
        )

    def _send(
        self, peer: memberrow.Row, message: statemessages.SyncMessage
    ) -> None:
        sent_ms = self._clock.now_ms()

        def on_reply(reply: bytes | errors.Refusal) -> None:
            if isinstance(reply, errors.Refusal):
                self._reachability.note_refusal(peer.node_id, reply)
                return
            remote = self._decode_sync(reply)
            if remote is not None:
                self.following.note_exchange()
                self._on_reply(peer, message, remote)
                self._note_reading_of(remote, sent_ms)

        self._links.control(
            peer.peer,
            SYNC_KIND,
            msgspec.msgpack.encode(message),
            _CONTROL_TIMEOUT_MS,
            on_reply,
        )

    def _on_reply(
        self,
        peer: memberrow.Row,
        sent: statemessages.SyncMessage,
        remote: statemessages.SyncMessage,
    ) -> None:
        self._apply(remote, peer.node_id)
        if remote.seen_at:
            self._has_heard_peer = True
            self._apply_held()
        own = self._own_versions()
        if storeera.needs_payload(self.snapshot, remote):
            payload = self.snapshot.payload
            self._send(peer, msgspec.structs.replace(own, payload=payload))
        if remote.wanted:
            rows = self._rows_of(remote.wanted, remote.wanted_of)
            self._send(peer, msgspec.structs.replace(own, rows=rows))
        elif sent.digest is not None and not sent.buckets:
            self._compare_rows(peer, remote)

    def _note_reading_of(
        self, remote: statemessages.SyncMessage, sent_ms: float
    ) -> None:
        """Note the reading of a peer that knows nothing newer.

        Args:
            remote: The peer's reply.
            sent_ms: When it was asked; the age it tells is of later.
        """
        has_all = self._place_of(remote) <= storeera.place(self.snapshot)
        if has_all and remote.store_age_ms is not None:
            self.following.note_reading(sent_ms - remote.store_age_ms)

    def _note_same_rows(self, remote: statemessages.SyncMessage) -> None:
        """Note what follows if a peer has the same rows as this node."""
        if remote.digest != self._member_list.digest:
            return
        own = self._member_list.own_row
        if not own.is_gone:
            self.keeping.note_told(own.revision)
        if remote.knows_all:
            self._note_complete()

    def _compare_rows(
        self, peer: memberrow.Row, remote: statemessages.SyncMessage
    ) -> None:
        digest = self._member_list.digest
        self._note_same_rows(remote)
        if remote.digest is None or remote.digest == digest:
            return
        self._next_sync_ms = min(
            self._next_sync_ms,
            self._clock.now_ms() + _DIFFERING_SYNC_PERIOD_MS,
        )
        buckets = self._member_list.bucket_digests()
        own = self._own_versions(digest)
        self._send(peer, msgspec.structs.replace(own, buckets=buckets))

    def _apply(
        self, remote: statemessages.SyncMessage, source: ids.NodeId
    ) -> None:
        payload = remote.payload
        is_same = remote.payload_digest == self.snapshot.payload_digest
        if not payload and self.policy is not None and is_same:
            payload = self.snapshot.payload
        at = self._place_of(remote)
        if remote.seen_at and remote.era is not None:
            self.note_era(remote.era)
            self.eras.note_peer(at, self._clock.now_ms())
        if payload:
            self.apply_snapshot(
                statemessages.Snapshot(at.seen_at, payload, at.era, at.phase),
                source,
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
        self._apply(request, request.sender)
        self._note_same_rows(request)
        self._reachability.probe_if_unreachable(request.sender)
        answer = self._own_versions(self._member_list.digest)
        if storeera.needs_payload(self.snapshot, request):
            answer = msgspec.structs.replace(
                answer, payload=self.snapshot.payload
            )
        elif not request.payload:
            answer = self._await_payload(answer, request)
        if request.buckets:
            answer = self._add_differing_rows(answer, request.buckets)
        reply(msgspec.msgpack.encode(answer))

    def _await_payload(
        self,
        answer: statemessages.SyncMessage,
        request: statemessages.SyncMessage,
    ) -> statemessages.SyncMessage:
        """Return the answer to a peer that may have a newer snapshot.

        The peer sends its snapshot if the answer is older. While another peer
        is sending that one already, the answer states the peer's own.
        """
        now_ms = self._clock.now_ms()
        at = self._place_of(request)
        if at <= storeera.place(self.snapshot):
            return answer
        if at <= self._awaited and now_ms < self._awaited_until_ms:
            return msgspec.structs.replace(
                answer,
                seen_at=request.seen_at,
                payload_digest=request.payload_digest,
                era=request.era,
                phase=request.phase,
            )
        self._awaited = at
        self._awaited_until_ms = now_ms + _PAYLOAD_WAIT_MS
        return answer

    def _place_of(self, message: statemessages.SyncMessage) -> storeera.Place:
        return storeera.place(message, self.eras.first)

    def _add_differing_rows(
        self, answer: statemessages.SyncMessage, buckets: list[int]
    ) -> statemessages.SyncMessage:
        count = len(buckets)
        if not bucketdigests.is_bucket_count(count):
            self._recorder.input_rejected(SYNC_KIND, f'{count} buckets')
            return answer
        own = self._member_list.bucket_digests(count)
        differing = [i for i in range(count) if own[i] != buckets[i]]
        picked = self._rng.sample(
            differing, min(_MAX_BUCKETS_PER_EXCHANGE, len(differing))
        )
        return msgspec.structs.replace(
            answer,
            rows=self._rows_of(picked, count),
            wanted=picked,
            wanted_of=count,
        )

    def _rows_of(self, buckets: list[int], count: int) -> list[memberrow.Row]:
        if not bucketdigests.is_bucket_count(count):
            self._recorder.input_rejected(SYNC_KIND, f'{count} buckets')
            return []
        return [
            row
            for bucket in buckets[:_MAX_BUCKETS_PER_EXCHANGE]
            if 0 <= bucket < count
            for row in self._member_list.rows_in(bucket, count)
        ]

    def _on_rows(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            message = msgspec.msgpack.decode(
                payload, type=statemessages.RowsMessage
            )
        except msgspec.MsgspecError as exc:
            self._recorder.input_rejected(ROW_KIND, str(exc))
            reply(_ROWS_REJECTED)
        else:
            self.merge_rows(message.rows, message.sender)
            self._reachability.probe_if_unreachable(message.sender)
            reply(_ROWS_MERGED)

    def _decode_sync(self, payload: bytes) -> statemessages.SyncMessage | None:
        try:
            return msgspec.msgpack.decode(
                payload, type=statemessages.SyncMessage
            )
        except msgspec.MsgspecError as exc:
            self._recorder.input_rejected(SYNC_KIND, str(exc))
            return None


def _ignore_reply(reply: bytes | errors.Refusal) -> None:
    # Anti-entropy makes up for a lost message.
    del reply


def _lacks_departure(
    row: memberrow.Row, known: memberrow.Row | None, merged: memberrow.Row
) -> bool:
    """Whether the latest row by its own node lacks a merged departure.

    Args:
        row: The row that was received.
        known: The row that was known before.
        merged: The two merged.
    """
    latest = row
    if known is not None and known.revision >= row.revision:
        latest = known
    return merged.departures != latest.departures


def is_stored_anew(
    row: memberrow.Row, published: memberrow.Row | None
) -> bool:
    """Whether the store needs a row, given the one that it got last.

    The store serves nodes that start: it tells them where the others are, and
    which target of their own has left. The rest they learn from the others.
    """
    return (
        published is None
        or row.incarnation != published.incarnation
        or row.link != published.link
        or row.departures != published.departures
    )


def _state_name(row: memberrow.Row) -> str:
    if row.is_gone:
        return 'gone'
    return 'serving' if row.is_serving else 'no-target'


def state_sync(
    links: links_module.Links,
    member_list: memberlist.MemberList,
    reachability: reachability_module.Reachability,
    decode: Decode,
    clock: clocks.Clock,
    wheel: deadlines.DeadlineWheel,
    rng: random.Random,
    recorder: telemetry.Recorder,
) -> StateSync:
    """Create the replication of a node without any state."""
    return StateSync(
        links, member_list, reachability, decode, clock, wheel, rng, recorder
    )
