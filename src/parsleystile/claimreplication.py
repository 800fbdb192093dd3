"""Replication of a home's claims to its deputies.

A feed sends one message at a time, so that messages arrive in order.
Entries added in the meantime are sent with the next message.
"""

import collections
import dataclasses
import typing

from parsleystile import claimstore
from parsleystile import claimwire
from parsleystile import ids

MAX_ENTRIES_PER_UPDATE = 256
UPDATE_TIMEOUT_MS = 300.0
# A message that failed is sent again after this time.
RETRY_DELAY_MS = 200.0

OnReplicated = typing.Callable[[bool], None]


@dataclasses.dataclass(slots=True)
class ShardClaims:
    """The claims of one shard as its home knows them.

    Attributes:
        store: The known claims.
        incomplete_until_ms: Until then a key that is not in the store may
            have been claimed before.
    """

    store: claimstore.ClaimStore
    incomplete_until_ms: float


# All claims that a home knows, by shard.
ClaimsByShard = dict[int, ShardClaims]


@dataclasses.dataclass(frozen=True, slots=True)
class SendReplicaUpdate:
    """Action: send ``update`` to the deputy ``to``."""

    to: ids.NodeId
    update: claimwire.ReplicaUpdate


@dataclasses.dataclass(slots=True)
class _QueuedEntry:
    """An entry to send; ``on_replicated`` gets whether it arrived."""

    entry: claimwire.Entry
    on_replicated: OnReplicated | None


class ReplicaFeed:
    """Keeps the replica at one deputy up to date.

    Attributes:
        deputy: The node that holds the replica.
        is_synced: The initial transfer is complete, so the replica lacks
            only entries that are queued or in flight.
    """

    def __init__(
        self,
        deputy: ids.NodeId,
        home: ids.NodeId,
        epoch: str,
        claims: ClaimsByShard,
    ) -> None:
        self.deputy = deputy
        self.is_synced = False
        self._home = home
        self._epoch = epoch
        self._claims = claims
        self._queue: collections.deque[_QueuedEntry] = collections.deque()
        self._in_flight: list[_QueuedEntry] = []
        self._message: claimwire.ReplicaUpdate | None = None
        self._sent_at_ms = 0.0
        self._is_awaiting_reply = False
        self._retry_at_ms = 0.0
        self._seq = 0

    @property
    def is_caught_up(self) -> bool:
        """Whether the replica holds everything that the home knows now."""
        return self.is_usable and not self._queue and not self._in_flight

    @property
    def is_usable(self) -> bool:
        """Whether a claim may rely on this replica now."""
        return self.is_synced and self._retry_at_ms == 0.0

    def add(
        self, entry: claimwire.Entry, on_replicated: OnReplicated | None = None
    ) -> None:
        """Queue an entry; before the first message its callback fails."""
        if self._seq == 0:
            # The first message is built from everything in the stores.
            if on_replicated is not None:
                on_replicated(False)
            return
        self._queue.append(_QueuedEntry(entry, on_replicated))

    def due(self, now_ms: float) -> list[SendReplicaUpdate]:
        """Return the message to send now, if any."""
        if self._is_awaiting_reply:
            if now_ms < self._sent_at_ms + UPDATE_TIMEOUT_MS:
                return []
            self.on_failed(now_ms)
        if now_ms < self._retry_at_ms:
            return []
        if self._message is None:
            self._next_message(now_ms)
        if self._message is None:
            return []
        self._is_awaiting_reply = True
        self._sent_at_ms = now_ms
        return [SendReplicaUpdate(self.deputy, self._message)]

    def on_reply(
        self, seq: int, reply: claimwire.ReplicaUpdateReply, now_ms: float
    ) -> None:
        """Handle a deputy's reply to the message ``seq``."""
        if self._message is None or self._message.seq != seq:
            return
        if not reply.is_held or reply.last_seq != seq:
            self._reset(now_ms)
            return
        is_complete = self._message.is_complete
        self._is_awaiting_reply = False
        self._retry_at_ms = 0.0
        self._message = None
        in_flight, self._in_flight = self._in_flight, []
        self.is_synced = self.is_synced or is_complete
        for item in in_flight:
            if item.on_replicated is not None:
                item.on_replicated(True)

    def on_failed(self, now_ms: float) -> None:
        """Handle a message that was not answered; it is sent again."""
        self._is_awaiting_reply = False
        self._retry_at_ms = now_ms + RETRY_DELAY_MS
        self._fail_callbacks()

    def close(self) -> None:
        """Fail the callbacks of all entries not yet replicated."""
        self._fail_callbacks()

    def _reset(self, now_ms: float) -> None:
        self.is_synced = False
        self._is_awaiting_reply = False
        self._retry_at_ms = now_ms + RETRY_DELAY_MS
        self._message = None
        self._seq = 0
        self._fail_callbacks()
        self._in_flight.clear()
        self._queue.clear()

    def _fail_callbacks(self) -> None:
        # The entries are still sent, but no claim relies on them.
        for item in [*self._in_flight, *self._queue]:
            on_replicated, item.on_replicated = item.on_replicated, None
            if on_replicated is not None:
                on_replicated(False)

    def resync(self, now_ms: float) -> None:
        """Send everything again, since the home has gained a shard."""
        self._reset(now_ms)
        self._retry_at_ms = 0.0

    def _next_message(self, now_ms: float) -> None:
        if self._seq == 0:
            claims = self._claims.values()
            entries = [e for shard in claims for e in shard.store.entries()]
            self._queue.clear()
            self._queue.extend(_QueuedEntry(entry, None) for entry in entries)
        elif not self._queue:
            return
        self._seq += 1
        count = min(MAX_ENTRIES_PER_UPDATE, len(self._queue))
        self._in_flight = [self._queue.popleft() for _ in range(count)]
        self._message = claimwire.ReplicaUpdate(
            self._home,
            self._epoch,
            self._seq,
            not self._queue,
            [
                claimwire.ReplicatedShard(
                    number, max(0.0, shard.incomplete_until_ms - now_ms)
                )
                for number, shard in self._claims.items()
            ],
            [item.entry for item in self._in_flight],
        )


class ReplicaStore:
    """A deputy's replicas of other homes' claims, by home and epoch."""

    def __init__(self) -> None:
        self._replicas: dict[tuple[ids.NodeId, str], _Replica] = {}

    def on_replica_update(
        self,
        update: claimwire.ReplicaUpdate,
        is_lease_valid: bool,
        now_ms: float,
    ) -> claimwire.ReplicaUpdateReply:
        """Apply a home's message.

        Args:
            update: The message.
            is_lease_valid: Whether this node is not revoking the home's
                lease.
            now_ms: Time of receipt.
        """
        if not is_lease_valid:
            return claimwire.ReplicaUpdateReply(False, 0)
        name = (update.home, update.epoch)
        if update.seq == 1:
            self._replicas[name] = _Replica()
        replica = self._replicas.get(name)
        if replica is None:
            return claimwire.ReplicaUpdateReply(True, 0)
        if update.seq == replica.last_seq + 1:
            replica.last_seq = update.seq
            replica.updated_at_ms = now_ms
            if update.is_complete:
                replica.is_complete = True
                replica.incomplete_until_ms = {
                    s.shard: now_ms + s.incomplete_for_ms
                    for s in update.shards
                }
            for entry in update.entries:
                replica.store.put(entry, now_ms)
        return claimwire.ReplicaUpdateReply(True, replica.last_seq)

    def find_complete(
        self, home: ids.NodeId, epoch: str, shard: int
    ) -> ShardClaims | None:
        """Return a complete replica of a shard; None if there is none.

        The store may hold keys of other shards too.
        """
        replica = self._replicas.get((home, epoch))
        if replica is None or not replica.is_complete:
            return None
        until_ms = replica.incomplete_until_ms.get(shard)
        return (
            None if until_ms is None else ShardClaims(replica.store, until_ms)
        )

    def retain_own(
        self,
        home: ids.NodeId,
        epoch: str,
        claims: ClaimsByShard,
        now_ms: float,
    ) -> None:
        """Keep as a replica what this node knew when its lease ended."""
        replica = _Replica(is_complete=True, updated_at_ms=now_ms)
        for number, shard in claims.items():
            replica.incomplete_until_ms[number] = shard.incomplete_until_ms
            for entry in shard.store.entries():
                replica.store.put(entry, now_ms)
        self._replicas[(home, epoch)] = replica

    def prune(self, now_ms: float) -> None:
        """Remove expired entries and old replicas."""
        for name, replica in list(self._replicas.items()):
            replica.store.prune(now_ms)
            is_old = (
                now_ms > replica.updated_at_ms + claimstore.MAX_CLAIM_AGE_MS
            )
            if is_old and not len(replica.store):
                del self._replicas[name]


@dataclasses.dataclass(slots=True)
class _Replica:
    """Replica of one home's claims in one epoch."""

    store: claimstore.ClaimStore = dataclasses.field(
        default_factory=claimstore.claim_store
    )
    incomplete_until_ms: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    last_seq: int = 0
    is_complete: bool = False
    updated_at_ms: float = 0.0
