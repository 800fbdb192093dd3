"""The home of idempotency keys, which decides whether a call may run.

Each shard of keys has one home, a node that owns the shard under a lease.
Claims are kept in the memory of the home and of its deputies, its standby
replicas. A call may run only once every deputy that could take over the
shard holds its claim. A node that takes over a shard without a complete
replica refuses keys that it does not know until every earlier claim has
expired.
"""

import dataclasses
import random
import typing

from parsleystile import claimreplication
from parsleystile import claimstore
from parsleystile import claimwire
from parsleystile import ids
from parsleystile import members as member_types
from parsleystile import ownership
from parsleystile import parts

PRUNE_PERIOD_MS = 1_000.0

LAYOUT = parts.Layout(
    claimwire.HOME_PREFIX, claimwire.SHARDS, 1, 0.0, by_domain=False
)

Result = claimwire.ClaimResult
_STATE_RESULTS = {
    claimwire.ClaimState.RUNNING: Result.RUNNING,
    claimwire.ClaimState.ANSWERED: Result.ANSWERED,
    claimwire.ClaimState.UNKNOWN: Result.UNKNOWN,
}

Respond = typing.Callable[[claimwire.ClaimReply], None]
Action = ownership.Action | claimreplication.SendReplicaUpdate


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaUpdateReplied:
    """Event: a deputy's reply to a replica update.

    Attributes:
        reply: None if no reply came.
    """

    deputy: ids.NodeId
    seq: int
    reply: claimwire.ReplicaUpdateReply | None


Event = ownership.Event | ReplicaUpdateReplied


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    """A claim that is being replicated.

    Attributes:
        outstanding: Number of deputies that have not confirmed it.
        deputies: Deputies that must hold it.
        responders: Callbacks that get the decision.
    """

    entry: claimwire.Entry
    outstanding: int
    deputies: frozenset[ids.NodeId]
    responders: list[Respond]
    has_failed: bool = False


class ClaimHome:
    """One node as the home of its shards and a deputy of other homes."""

    def __init__(
        self,
        node_id: ids.NodeId,
        failure_domain: ids.FailureDomainId,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._node_id = node_id
        self._replicas = claimreplication.ReplicaStore()
        self._shards: claimreplication.ClaimsByShard = {}
        self._pending: dict[claimwire.ClaimKey, _PendingClaim] = {}
        self._feeds: dict[ids.NodeId, claimreplication.ReplicaFeed] = {}
        self._wanted_deputies: tuple[ids.NodeId, ...] = ()
        self._next_prune_ms = now_ms
        plan = ownership.OwnershipConfig(
            LAYOUT,
            claimwire.LEASE_PREFIX,
            self._current_deputies,
            self._can_inherit,
        )
        self.ownership = ownership.ownership(
            plan, node_id, failure_domain, rng, now_ms
        )

    @property
    def has_pending_claims(self) -> bool:
        """Whether claims are waiting for confirmations from deputies."""
        return bool(self._pending)

    @property
    def claim_count(self) -> int:
        """Number of keys remembered here as home."""
        return sum(len(shard.store) for shard in self._shards.values())

    def set_members(self, members: list[member_types.Member]) -> None:
        """Update the members that are alive."""
        before = self.ownership.domains
        self.ownership.set_members(members)
        if self.ownership.domains is not before:
            self._wanted_deputies = ownership.deputies_outside_domain(
                self._node_id, self.ownership.domains
            )

    def tick(self, now_ms: float) -> list[Action]:
        """Do what is due; to be called about every 20 ms."""
        actions: list[Action] = list(self.ownership.tick(now_ms))
        self._apply_ownership_changes(now_ms)
        if now_ms >= self._next_prune_ms:
            self._next_prune_ms = now_ms + PRUNE_PERIOD_MS
            self._replicas.prune(now_ms)
            for shard in self._shards.values():
                shard.store.prune(now_ms)
        self._update_feeds()
        return actions + self.due_updates(now_ms)

    def due_updates(self, now_ms: float) -> list[Action]:
        """Return the replica updates that are due."""
        actions: list[Action] = []
        for feed in self._feeds.values():
            actions += feed.due(now_ms)
        return actions

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Handle a result from the table or a deputy."""
        match event:
            case ReplicaUpdateReplied(deputy, seq, reply):
                feed = self._feeds.get(deputy)
                if feed is None:
                    return []
                if reply is None:
                    feed.on_failed(now_ms)
                else:
                    feed.on_reply(seq, reply, now_ms)
                self._update_feeds()
                return self.due_updates(now_ms)
            case _:
                actions = list(self.ownership.handle(event, now_ms))
                self._apply_ownership_changes(now_ms)
                return actions

    def on_replica_update(
        self, update: claimwire.ReplicaUpdate, now_ms: float
    ) -> claimwire.ReplicaUpdateReply:
        """Answer a home that names this node as deputy or is about to."""
        may_vouch = self.ownership.watch.can_promise(update.home, update.epoch)
        if not may_vouch:
            self.ownership.rescan_soon(now_ms)
        return self._replicas.on_replica_update(update, may_vouch, now_ms)

    def on_claim(
        self, request: claimwire.ClaimRequest, now_ms: float, respond: Respond
    ) -> list[Action]:
        """Decide on a claim; ``respond`` is called exactly once."""
        shard = self._shards.get(request.key.shard)
        if shard is None or not self.ownership.lease.is_valid(now_ms):
            respond(claimwire.ClaimReply(Result.NOT_HOME))
            return []
        pending = self._pending.get(request.key)
        if pending is not None:
            self._join_pending(pending, request, respond)
            return []
        entry = shard.store.find(request.key, now_ms)
        if entry is not None:
            respond(_to_reply(entry, request))
            return []
        if now_ms < shard.incomplete_until_ms:
            respond(claimwire.ClaimReply(Result.FORGOTTEN))
            return []
        if shard.store.is_full:
            respond(claimwire.ClaimReply(Result.FULL))
            return []
        self._start_claim(shard, request, now_ms, respond)
        return self.due_updates(now_ms)

    def on_outcome(
        self, outcome: claimwire.OutcomeReport, now_ms: float
    ) -> claimwire.OutcomeReportReply:
        """Record the outcome of a call."""
        shard = self._shards.get(outcome.key.shard)
        if shard is None:
            return claimwire.OutcomeReportReply(False)
        entry = shard.store.find(outcome.key, now_ms)
        if entry is not None and entry.claim_id == outcome.claim_id:
            entry = claimwire.Entry(
                entry.key,
                entry.claim_id,
                entry.fingerprint,
                entry.max_duration_ms,
                outcome.state,
                outcome.answer,
            )
            self._store_and_replicate(shard, entry, now_ms)
        return claimwire.OutcomeReportReply(True)

    def stop(self, now_ms: float) -> list[Action]:
        """Give up all shards; the deputies hold the claims."""
        actions: list[Action] = list(self.ownership.stop(now_ms))
        self._apply_ownership_changes(now_ms)
        return actions

    def _start_claim(
        self,
        shard: claimreplication.ShardClaims,
        request: claimwire.ClaimRequest,
        now_ms: float,
        respond: Respond,
    ) -> None:
        required = self._required_deputies()
        feeds = [self._feeds.get(deputy) for deputy in required]
        if not all(c is not None and c.is_usable for c in feeds):
            respond(claimwire.ClaimReply(Result.NO_COPY))
            return
        entry = claimwire.Entry(
            request.key,
            request.claim_id,
            request.fingerprint,
            request.max_duration_ms,
        )
        shard.store.put(entry, now_ms)
        if not feeds:
            respond(claimwire.ClaimReply(Result.PROCEED))
            return
        pending = _PendingClaim(entry, len(feeds), required, [respond])
        self._pending[request.key] = pending
        for feed in self._feeds.values():
            is_required = feed in feeds
            feed.add(
                entry,
                self._make_on_replicated(pending) if is_required else None,
            )

    def _required_deputies(self) -> frozenset[ids.NodeId]:
        """Return the deputies that must hold a claim for a call to run."""
        lease = self.ownership.lease
        return frozenset(lease.required_deputies.union(lease.deputies))

    def _make_on_replicated(
        self, pending: _PendingClaim
    ) -> claimreplication.OnReplicated:
        def on_replicated(is_held: bool) -> None:
            pending.outstanding -= 1
            pending.has_failed = pending.has_failed or not is_held
            if pending.outstanding == 0:
                self._finish_claim(pending)

        return on_replicated

    def _finish_claim(self, pending: _PendingClaim) -> None:
        key = pending.entry.key
        self._pending.pop(key, None)
        shard = self._shards.get(key.shard)
        result = Result.PROCEED
        if shard is None:
            result = Result.NOT_HOME
        elif pending.has_failed or (
            not self._required_deputies() <= pending.deputies
        ):
            # No call was permitted to run, so the key is free again.
            result = Result.NO_COPY
            pending.entry.state = claimwire.ClaimState.FREED
            shard.store.remove(key)
            for feed in self._feeds.values():
                feed.add(pending.entry)
        for respond in pending.responders:
            respond(claimwire.ClaimReply(result))

    @staticmethod
    def _join_pending(
        pending: _PendingClaim,
        request: claimwire.ClaimRequest,
        respond: Respond,
    ) -> None:
        if request.claim_id == pending.entry.claim_id:
            pending.responders.append(respond)
        else:
            respond(_to_reply(pending.entry, request))

    def _store_and_replicate(
        self,
        shard: claimreplication.ShardClaims,
        entry: claimwire.Entry,
        now_ms: float,
    ) -> None:
        shard.store.put(entry, now_ms)
        for feed in self._feeds.values():
            feed.add(entry)

    def _update_feeds(self) -> None:
        """Feed current and wanted deputies; name the latter once caught up."""
        lease = self.ownership.lease
        if lease.is_lost or not lease.is_wanted:
            return
        wanted = self._wanted_deputies
        needed = lease.required_deputies | set(wanted)
        for deputy in needed - self._feeds.keys():
            self._feeds[deputy] = claimreplication.ReplicaFeed(
                deputy, self._node_id, lease.epoch, self._shards
            )
        for deputy in self._feeds.keys() - needed:
            self._feeds.pop(deputy).close()
        if all(self._feeds[d].is_caught_up for d in wanted):
            lease.set_deputies(wanted)

    def _current_deputies(
        self,
        node_id: ids.NodeId,
        domains: dict[ids.NodeId, ids.FailureDomainId],
    ) -> tuple[ids.NodeId, ...]:
        # A deputy is named only once its replica is complete.
        return self.ownership.lease.deputies

    def _can_inherit(
        self, part: parts.PartId, owner: ids.NodeId, epoch: str
    ) -> bool:
        return self._inherited_claims(part.shard, owner, epoch) is not None

    def _inherited_claims(
        self, shard: int, owner: ids.NodeId, epoch: str
    ) -> claimreplication.ShardClaims | None:
        is_own = owner == self._node_id
        if not is_own and not self.ownership.watch.is_deputy(owner, epoch):
            return None
        return self._replicas.find_complete(owner, epoch, shard)

    def _apply_ownership_changes(self, now_ms: float) -> None:
        for change in self.ownership.drain_changes():
            match change:
                case ownership.Gained(part, row):
                    self._take_over_shard(part.shard, row, now_ms)
                case ownership.Lost(part):
                    self._shards.pop(part.shard, None)
                case ownership.EpochEnded(epoch):
                    self._retire_epoch(epoch, now_ms)

    def _take_over_shard(
        self, number: int, row: parts.PartRow, now_ms: float
    ) -> None:
        shard = claimreplication.ShardClaims(claimstore.claim_store(), now_ms)
        if not row.is_first:
            inherited = self._inherited_claims(
                number, row.previous_owner, row.previous_epoch
            )
            if inherited is None:
                shard.incomplete_until_ms = (
                    now_ms + claimstore.MAX_CLAIM_AGE_MS
                )
            else:
                shard.incomplete_until_ms = inherited.incomplete_until_ms
                _copy_entries(shard.store, inherited.store, number, now_ms)
        self._shards[number] = shard
        for feed in self._feeds.values():
            feed.resync(now_ms)

    def _retire_epoch(self, epoch: str, now_ms: float) -> None:
        if self._shards:
            self._replicas.retain_own(
                self._node_id, epoch, self._shards, now_ms
            )
        self._shards.clear()
        for feed in self._feeds.values():
            feed.close()
        self._feeds.clear()


def _to_reply(
    entry: claimwire.Entry, request: claimwire.ClaimRequest
) -> claimwire.ClaimReply:
    if entry.fingerprint != request.fingerprint:
        return claimwire.ClaimReply(Result.MISMATCH)
    is_running = entry.state is claimwire.ClaimState.RUNNING
    if is_running and entry.claim_id == request.claim_id:
        # The claimant repeats its request after a lost reply.
        return claimwire.ClaimReply(Result.PROCEED)
    return claimwire.ClaimReply(_STATE_RESULTS[entry.state], entry.answer)


def _copy_entries(
    store: claimstore.ClaimStore,
    source: claimstore.ClaimStore,
    shard: int,
    now_ms: float,
) -> None:
    for entry in source.entries():
        if entry.key.shard == shard:
            store.put(entry, now_ms)


def claim_home(
    node_id: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    rng: random.Random,
    now_ms: float,
) -> ClaimHome:
    """Create the claim state of a node that owns no shard yet."""
    return ClaimHome(node_id, failure_domain, rng, now_ms)
