"""One node's view of the fleet, and the datagrams it is about to send."""

import dataclasses

from parsleystile import _broadcast_queue
from parsleystile import _gossip_messages as messages
from parsleystile import _memberlist
from parsleystile import _suspicion
from parsleystile import ids
from parsleystile import members
from parsleystile import transport

# News beyond this size of the fleet is dropped.
MAX_MEMBERS = 16_384
# Members of one fleet forget a lost member within this time of each other.
FORGOTTEN_HOLD_MS = 600_000
MAX_PENDING_WITHDRAWN = 4096


class View:
    """Merges news and spreads what was new.

    Attributes:
        changed: Members before and after news of them, suspicion aside.
        outbox: Datagrams to be sent.
    """

    def __init__(self, local_member: members.Member) -> None:
        self.local_member = local_member
        self.changed: list[tuple[members.Member | None, members.Member]] = []
        self.outbox: list[tuple[transport.Address, messages.Message]] = []
        self.config_version = ids.ConfigVersion(0)
        self.reachability = _suspicion.Reachability()
        self._withdrawn: frozenset[ids.KeyId] = frozenset()
        self.reset(0.0)

    def reset(self, now_ms: float) -> None:
        """Forget everyone but this node."""
        self.member_list = _memberlist.MemberList()
        self.suspicion_timers = _suspicion.SuspicionTimers()
        self._update_queue: _broadcast_queue.BroadcastQueue[
            messages.Update
        ] = _broadcast_queue.BroadcastQueue()
        self._key_queue: _broadcast_queue.BroadcastQueue[ids.KeyId] = (
            _broadcast_queue.BroadcastQueue()
        )
        self._config_versions: dict[ids.NodeId, ids.ConfigVersion] = {}
        self._forgotten: dict[ids.NodeId, tuple[ids.Incarnation, float]] = {}
        self.member_list.merge(self.local_member, now_ms)
        self.broadcast_local()

    def update_local(self, now_ms: float, **changes: object) -> None:
        """Announce this node anew, under a new incarnation."""
        incarnation = changes.pop(
            'incarnation', self.local_member.incarnation + 1
        )
        self.local_member = dataclasses.replace(
            self.local_member, incarnation=incarnation, **changes
        )
        self.member_list.merge(self.local_member, now_ms)
        self.broadcast_local()

    def broadcast_local(self) -> None:
        """Tell again who this node is."""
        self._update_queue.put(
            self.local_member.node_id, messages.Update(self.local_member)
        )

    def merge_without_broadcast(
        self, member: members.Member, now_ms: float
    ) -> None:
        """Take in what others know already; it is not spread again."""
        if self.merge(messages.Update(member), now_ms):
            self._update_queue.discard(member.node_id)

    def merge(self, update: messages.Update, now_ms: float) -> bool:
        """Take news of a member in and spread it; False if it is none."""
        member = update.member
        if member.node_id == self.local_member.node_id:
            self._refute(member, now_ms)
            return False
        is_suspect = member.state is members.MemberState.SUSPECT
        if is_suspect and not self._merge_suspicion(update, now_ms):
            return False
        if not is_suspect:
            if not self._is_admissible(member, now_ms):
                return False
            before = self.member_list.get(member.node_id)
            if not self.member_list.merge(member, now_ms):
                return False
            self.changed.append((before, member))
            self.suspicion_timers.clear(member.node_id)
            self.reachability.mark_reachable(member.node_id)
            if member.state is members.MemberState.DEAD:
                self._config_versions.pop(member.node_id, None)
        self._update_queue.put(member.node_id, update)
        return True

    def forget(self, node_id: ids.NodeId, now_ms: float) -> None:
        """Drop a member that is out of reach for long.

        Until others have forgotten it, too, what they tell of this life of
        it is ignored.
        """
        member = self.member_list.get(node_id)
        if member is not None:
            until_ms = now_ms + FORGOTTEN_HOLD_MS
            self._forgotten[node_id] = (member.incarnation, until_ms)
        self.member_list.forget(node_id)
        self.suspicion_timers.clear(node_id)
        self.reachability.mark_reachable(node_id)
        self._update_queue.discard(node_id)
        self._config_versions.pop(node_id, None)

    def clear_forgotten(self, node_id: ids.NodeId) -> None:
        """Listen to what others tell of a member again."""
        self._forgotten.pop(node_id, None)

    def _is_admissible(self, member: members.Member, now_ms: float) -> bool:
        if self.member_list.get(member.node_id) is not None:
            return True
        incarnation, until_ms = self._forgotten.get(member.node_id, (-1, 0.0))
        if member.incarnation <= incarnation and now_ms < until_ms:
            return False
        # Tombstones that nobody here needs would be passed on for ever.
        is_dead = member.state is members.MemberState.DEAD
        return not is_dead and len(self.member_list) < MAX_MEMBERS

    def _merge_suspicion(self, update: messages.Update, now_ms: float) -> bool:
        member = update.member
        known = self.member_list.get(member.node_id)
        if known is None and not self._is_admissible(member, now_ms):
            return False
        is_repeated = (
            known is not None
            and known.state is members.MemberState.SUSPECT
            and known.incarnation == member.incarnation
        )
        if not is_repeated and not self.member_list.merge(member, now_ms):
            return False
        if member.failure_domain != self.local_member.failure_domain:
            return not is_repeated
        return self.suspicion_timers.add_witness(
            member.node_id, member.incarnation, update.witness, now_ms
        )

    def _refute(self, member: members.Member, now_ms: float) -> None:
        local = self.local_member
        if (member.incarnation, member.state) <= (
            local.incarnation,
            local.state,
        ):
            return
        # Another life of this node, or a doubt about this one.
        self.update_local(
            now_ms, incarnation=ids.Incarnation(member.incarnation + 1)
        )

    def set_withdrawn(self, key_ids: frozenset[ids.KeyId]) -> None:
        """Spread keys that are newly withdrawn, drop those settled."""
        for key_id in self._withdrawn - key_ids:
            self._key_queue.discard(key_id)
        for key_id in key_ids - self._withdrawn:
            self._key_queue.put(key_id, key_id)
        self._withdrawn = key_ids

    def unknown_withdrawn(
        self, key_ids: tuple[ids.KeyId, ...]
    ) -> tuple[ids.KeyId, ...]:
        """Return those of ``key_ids`` that this node does not hold."""
        if not key_ids or len(self._withdrawn) >= MAX_PENDING_WITHDRAWN:
            return ()
        return tuple(k for k in key_ids if k not in self._withdrawn)

    def withdrawn(self) -> frozenset[ids.KeyId]:
        """Return the keys withdrawn ahead of the document."""
        return self._withdrawn

    def config_version_of(self, node_id: ids.NodeId) -> ids.ConfigVersion:
        """Return the version that a member last said it has in force."""
        if node_id == self.local_member.node_id:
            return self.config_version
        return self._config_versions.get(node_id, ids.ConfigVersion(0))

    def record_config_version(
        self, node_id: ids.NodeId, version: ids.ConfigVersion
    ) -> None:
        """Remember what a member says it has in force."""
        if version > self.config_version_of(node_id):
            self._config_versions[node_id] = version

    def send(
        self,
        to: transport.Address,
        body: messages.Body,
        receiver: members.Member | None = None,
        priority_updates: tuple[messages.Update, ...] = (),
        withdrawn: tuple[ids.KeyId, ...] = (),
    ) -> None:
        """Put a datagram in the outbox, with news for the receiver."""
        size = len(self.member_list)
        is_same_domain = (
            receiver is not None
            and receiver.failure_domain == self.local_member.failure_domain
        )

        def is_eligible(update: messages.Update) -> bool:
            # Only its own domain decides on a suspected member.
            is_suspect = update.member.state is members.MemberState.SUSPECT
            return is_same_domain or not is_suspect

        capacity = messages.MAX_UPDATES - len(priority_updates)
        if isinstance(body, messages.DigestOffer):
            capacity = 0
        news = (
            self._update_queue.next_batch(capacity, size, is_eligible)
            if capacity > 0
            else []
        )
        updates = next(messages.chunks([*priority_updates, *news]), ())
        if not withdrawn:
            withdrawn = tuple(
                self._key_queue.next_batch(messages.MAX_WITHDRAWN, size)
            )
        message = messages.Message(
            self.local_member.node_id,
            self.local_member.incarnation,
            self.config_version,
            body,
            updates,
            withdrawn,
        )
        self.outbox.append((to, message))
