"""The home of idempotency keys: decides which call of a key may run.

Each shard of keys has one home, a node that owns the shard under a lease.
Claims live in the home's memory and in that of its deputies; a call may run
only once every deputy that could take the shard over holds its claim. A
node that takes a shard over without a gapless copy refuses keys that it
does not know until all that could have been claimed before has expired.
"""

import dataclasses
import random
import typing

from parsleystile import claimcopy
from parsleystile import claimstore
from parsleystile import claimwire
from parsleystile import ids
from parsleystile import members as member_types
from parsleystile import ownership
from parsleystile import parts

PRUNE_MS = 1_000.0

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
Action = ownership.Action | claimcopy.SendCopy


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReplied:
    """Event: a deputy's reply; None if there was none."""

    deputy: ids.NodeId
    seq: int
    reply: claimwire.CopyReply | None


Event = ownership.Event | CopyReplied


@dataclasses.dataclass(slots=True)
class _Pending:
    """A claim whose copies are on their way."""

    entry: claimwire.Entry
    missing: int
    deputies: frozenset[ids.NodeId]
    responds: list[Respond]
    has_failed: bool = False


class ClaimHome:
    """One node as home of its shards and as deputy of other homes."""

    def __init__(
        self,
        node_id: ids.NodeId,
        failure_domain: ids.FailureDomainId,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._node_id = node_id
        self._copies = claimcopy.CopyHolder()
        self._shards: claimcopy.Known = {}
        self._pending: dict[claimwire.ClaimKey, _Pending] = {}
        self._channels: dict[ids.NodeId, claimcopy.CopyChannel] = {}
        self._wanted_deputies: tuple[ids.NodeId, ...] = ()
        self._next_prune_ms = now_ms
        plan = ownership.OwnershipConfig(
            LAYOUT,
            claimwire.LEASE_PREFIX,
            self._choose_deputies,
            self._is_heir,
        )
        self.ownership = ownership.ownership(
            plan, node_id, failure_domain, rng, now_ms
        )

    @property
    def is_waiting(self) -> bool:
        """Whether claims wait here until deputies hold them."""
        return bool(self._pending)

    @property
    def claims(self) -> int:
        """Keys remembered here as home."""
        return sum(len(shard.store) for shard in self._shards.values())

    def set_members(self, members: list[member_types.Member]) -> None:
        """Take in who is alive."""
        before = self.ownership.domains
        self.ownership.set_members(members)
        if self.ownership.domains is not before:
            self._wanted_deputies = ownership.deputies_outside_domain(
                self._node_id, self.ownership.domains
            )

    def tick(self, now_ms: float) -> list[Action]:
        """Do what time has made due; wanted every 20 ms or so."""
        actions: list[Action] = list(self.ownership.tick(now_ms))
        self._apply_changes(now_ms)
        if now_ms >= self._next_prune_ms:
            self._next_prune_ms = now_ms + PRUNE_MS
            self._copies.prune(now_ms)
            for shard in self._shards.values():
                shard.store.prune(now_ms)
        self._keep_channels()
        return actions + self.pump(now_ms)

    def pump(self, now_ms: float) -> list[Action]:
        """Return the copies that are due."""
        actions: list[Action] = []
        for channel in self._channels.values():
            actions += channel.due(now_ms)
        return actions

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take in a result of the table or a deputy."""
        match event:
            case CopyReplied(deputy, seq, reply):
                channel = self._channels.get(deputy)
                if channel is None:
                    return []
                if reply is None:
                    channel.on_failed(now_ms)
                else:
                    channel.on_reply(seq, reply, now_ms)
                self._keep_channels()
                return self.pump(now_ms)
            case _:
                actions = list(self.ownership.handle(event, now_ms))
                self._apply_changes(now_ms)
                return actions

    def on_copy(
        self, copy: claimwire.Copy, now_ms: float
    ) -> claimwire.CopyReply:
        """Answer a home that names this node as deputy, or is about to."""
        may_vouch = self.ownership.watch.can_promise(copy.home, copy.epoch)
        if not may_vouch:
            self.ownership.rescan_soon(now_ms)
        return self._copies.on_copy(copy, may_vouch, now_ms)

    def on_claim(
        self, ask: claimwire.ClaimAsk, now_ms: float, respond: Respond
    ) -> list[Action]:
        """Decide on a claim; ``respond`` is called exactly once."""
        shard = self._shards.get(ask.key.shard)
        if shard is None or not self.ownership.lease.is_valid(now_ms):
            respond(claimwire.ClaimReply(Result.NOT_HOME))
            return []
        pending = self._pending.get(ask.key)
        if pending is not None:
            self._join(pending, ask, respond)
            return []
        entry = shard.store.find(ask.key, now_ms)
        if entry is not None:
            respond(_to_reply(entry, ask))
            return []
        if now_ms < shard.forgotten_until_ms:
            respond(claimwire.ClaimReply(Result.FORGOTTEN))
            return []
        if shard.store.is_full:
            respond(claimwire.ClaimReply(Result.FULL))
            return []
        self._claim(shard, ask, now_ms, respond)
        return self.pump(now_ms)

    def on_settle(
        self, settle: claimwire.Settle, now_ms: float
    ) -> claimwire.SettleReply:
        """Take note of what became of a call."""
        shard = self._shards.get(settle.key.shard)
        if shard is None:
            return claimwire.SettleReply(False)
        entry = shard.store.find(settle.key, now_ms)
        if entry is not None and entry.claim_id == settle.claim_id:
            entry = claimwire.Entry(
                entry.key,
                entry.claim_id,
                entry.fingerprint,
                entry.lasts_ms,
                settle.state,
                settle.answer,
            )
            self._put(shard, entry, now_ms)
        return claimwire.SettleReply(True)

    def stop(self, now_ms: float) -> list[Action]:
        """Give every shard up; deputies hold the claims."""
        actions: list[Action] = list(self.ownership.stop(now_ms))
        self._apply_changes(now_ms)
        return actions

    def _claim(
        self,
        shard: claimcopy.KnownShard,
        ask: claimwire.ClaimAsk,
        now_ms: float,
        respond: Respond,
    ) -> None:
        required = self._required_deputies()
        channels = [self._channels.get(deputy) for deputy in required]
        if not all(c is not None and c.is_usable for c in channels):
            respond(claimwire.ClaimReply(Result.NO_COPY))
            return
        entry = claimwire.Entry(
            ask.key, ask.claim_id, ask.fingerprint, ask.lasts_ms
        )
        shard.store.put(entry, now_ms)
        if not channels:
            respond(claimwire.ClaimReply(Result.PROCEED))
            return
        pending = _Pending(entry, len(channels), required, [respond])
        self._pending[ask.key] = pending
        for channel in self._channels.values():
            is_required = channel in channels
            channel.add(entry, self._copied(pending) if is_required else None)

    def _required_deputies(self) -> frozenset[ids.NodeId]:
        """Return the deputies that must hold a claim before it counts."""
        lease = self.ownership.lease
        return frozenset(lease.required_deputies.union(lease.deputies))

    def _copied(self, pending: _Pending) -> claimcopy.OnCopied:
        def on_copied(is_held: bool) -> None:
            pending.missing -= 1
            pending.has_failed = pending.has_failed or not is_held
            if pending.missing == 0:
                self._conclude(pending)

        return on_copied

    def _conclude(self, pending: _Pending) -> None:
        key = pending.entry.key
        self._pending.pop(key, None)
        shard = self._shards.get(key.shard)
        result = Result.PROCEED
        if shard is None:
            result = Result.NOT_HOME
        elif pending.has_failed or (
            not self._required_deputies() <= pending.deputies
        ):
            # Nobody was told to run the call, so the key is free again.
            result = Result.NO_COPY
            pending.entry.state = claimwire.ClaimState.FREED
            shard.store.remove(key)
            for channel in self._channels.values():
                channel.add(pending.entry)
        for respond in pending.responds:
            respond(claimwire.ClaimReply(result))

    @staticmethod
    def _join(
        pending: _Pending, ask: claimwire.ClaimAsk, respond: Respond
    ) -> None:
        if ask.claim_id == pending.entry.claim_id:
            pending.responds.append(respond)
        else:
            respond(_to_reply(pending.entry, ask))

    def _put(
        self,
        shard: claimcopy.KnownShard,
        entry: claimwire.Entry,
        now_ms: float,
    ) -> None:
        shard.store.put(entry, now_ms)
        for channel in self._channels.values():
            channel.add(entry)

    def _keep_channels(self) -> None:
        """Feed the deputies named and those to be named; name the latter."""
        lease = self.ownership.lease
        if lease.is_lost or not lease.is_wanted:
            return
        wanted = self._wanted_deputies
        needed = lease.required_deputies | set(wanted)
        for deputy in needed - self._channels.keys():
            self._channels[deputy] = claimcopy.CopyChannel(
                deputy, self._node_id, lease.epoch, self._shards
            )
        for deputy in self._channels.keys() - needed:
            self._channels.pop(deputy).close()
        if all(self._channels[d].is_caught_up for d in wanted):
            lease.set_deputies(wanted)

    def _choose_deputies(
        self,
        node_id: ids.NodeId,
        domains: dict[ids.NodeId, ids.FailureDomainId],
    ) -> tuple[ids.NodeId, ...]:
        # A deputy is named once its copy is complete, not before.
        return self.ownership.lease.deputies

    def _is_heir(
        self, part: parts.PartId, owner: ids.NodeId, epoch: str
    ) -> bool:
        return self._inherited(part.shard, owner, epoch) is not None

    def _inherited(
        self, shard: int, owner: ids.NodeId, epoch: str
    ) -> claimcopy.KnownShard | None:
        is_own = owner == self._node_id
        if not is_own and not self.ownership.watch.is_deputy(owner, epoch):
            return None
        return self._copies.complete(owner, epoch, shard)

    def _apply_changes(self, now_ms: float) -> None:
        for change in self.ownership.drain_changes():
            match change:
                case ownership.Gained(part, row):
                    self._gain(part.shard, row, now_ms)
                case ownership.Lost(part):
                    self._shards.pop(part.shard, None)
                case ownership.EpochEnded(epoch):
                    self._end_epoch(epoch, now_ms)

    def _gain(self, number: int, row: parts.PartRow, now_ms: float) -> None:
        shard = claimcopy.KnownShard(claimstore.claim_store(), now_ms)
        if not row.is_first:
            known = self._inherited(
                number, row.previous_owner, row.previous_epoch
            )
            if known is None:
                shard.forgotten_until_ms = now_ms + claimstore.FORGET_MS
            else:
                shard.forgotten_until_ms = known.forgotten_until_ms
                _load(shard.store, known.store, number, now_ms)
        self._shards[number] = shard
        for channel in self._channels.values():
            channel.start_over(now_ms)

    def _end_epoch(self, epoch: str, now_ms: float) -> None:
        if self._shards:
            self._copies.keep_own(self._node_id, epoch, self._shards, now_ms)
        self._shards.clear()
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


def _to_reply(
    entry: claimwire.Entry, ask: claimwire.ClaimAsk
) -> claimwire.ClaimReply:
    if entry.fingerprint != ask.fingerprint:
        return claimwire.ClaimReply(Result.MISMATCH)
    is_running = entry.state is claimwire.ClaimState.RUNNING
    if is_running and entry.claim_id == ask.claim_id:
        # The claimant did not hear the first reply.
        return claimwire.ClaimReply(Result.PROCEED)
    return claimwire.ClaimReply(_STATE_RESULTS[entry.state], entry.answer)


def _load(
    store: claimstore.ClaimStore,
    copied: claimstore.ClaimStore,
    shard: int,
    now_ms: float,
) -> None:
    for entry in copied.entries():
        if entry.key.shard == shard:
            store.put(entry, now_ms)


def claim_home(
    node_id: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    rng: random.Random,
    now_ms: float,
) -> ClaimHome:
    """Create a node that is home of nothing yet."""
    return ClaimHome(node_id, failure_domain, rng, now_ms)
