"""Copies of a home's claims at its deputies: the sending end of one copy.

Messages go one at a time, so that they arrive in order; what comes up
meanwhile goes along with the next.
"""

import collections
import dataclasses
import typing

from parsleystile import claimstore
from parsleystile import claimwire
from parsleystile import ids

ENTRIES_AT_ONCE = 256
TIMEOUT_MS = 300.0
# A deputy that does not answer is tried again after this time.
PAUSE_MS = 200.0

OnCopied = typing.Callable[[bool], None]


@dataclasses.dataclass(slots=True)
class KnownShard:
    """What a home knows of one shard.

    Attributes:
        forgotten_until_ms: Until then a key that is not in the store may
            have been claimed before.
    """

    store: claimstore.ClaimStore
    forgotten_until_ms: float


# Everything that a home knows, by shard.
Known = dict[int, KnownShard]


@dataclasses.dataclass(frozen=True, slots=True)
class SendCopy:
    """Action: send ``copy`` to the deputy ``to``."""

    to: ids.NodeId
    copy: claimwire.Copy


@dataclasses.dataclass(slots=True)
class _Item:
    """An entry on its way; ``on_copied`` is told whether it arrived."""

    entry: claimwire.Entry
    on_copied: OnCopied | None


class CopyChannel:
    """Keeps one deputy's copy up to date.

    Attributes:
        deputy: Who holds the copy.
        is_synced: The copy has held everything since it was last behind.
    """

    def __init__(
        self,
        deputy: ids.NodeId,
        home: ids.NodeId,
        epoch: str,
        known: Known,
    ) -> None:
        self.deputy = deputy
        self.is_synced = False
        self._home = home
        self._epoch = epoch
        self._known = known
        self._queue: collections.deque[_Item] = collections.deque()
        self._sent: list[_Item] = []
        self._message: claimwire.Copy | None = None
        self._sent_at_ms = 0.0
        self._is_waiting = False
        self._not_before_ms = 0.0
        self._seq = 0

    @property
    def is_caught_up(self) -> bool:
        """Whether the copy holds everything that the home knows now."""
        return self.is_usable and not self._queue and not self._sent

    @property
    def is_usable(self) -> bool:
        """Whether a claim may count on this copy now."""
        return self.is_synced and self._not_before_ms == 0.0

    def add(
        self, entry: claimwire.Entry, on_copied: OnCopied | None = None
    ) -> None:
        """Send an entry along; without a synced copy it fails at once."""
        if self._seq == 0:
            # The copy starts with everything that the home has by then.
            if on_copied is not None:
                on_copied(False)
            return
        self._queue.append(_Item(entry, on_copied))

    def due(self, now_ms: float) -> list[SendCopy]:
        """Return the message to send now, if any."""
        if self._is_waiting:
            if now_ms < self._sent_at_ms + TIMEOUT_MS:
                return []
            self.on_failed(now_ms)
        if now_ms < self._not_before_ms:
            return []
        if self._message is None:
            self._next_message(now_ms)
        if self._message is None:
            return []
        self._is_waiting = True
        self._sent_at_ms = now_ms
        return [SendCopy(self.deputy, self._message)]

    def on_reply(
        self, seq: int, reply: claimwire.CopyReply, now_ms: float
    ) -> None:
        """Take in a deputy's reply to the message ``seq``."""
        if self._message is None or self._message.seq != seq:
            return
        if not reply.is_held or reply.last_seq != seq:
            self._start_over(now_ms)
            return
        is_complete = self._message.is_complete
        self._is_waiting = False
        self._not_before_ms = 0.0
        self._message = None
        sent, self._sent = self._sent, []
        self.is_synced = self.is_synced or is_complete
        for item in sent:
            if item.on_copied is not None:
                item.on_copied(True)

    def on_failed(self, now_ms: float) -> None:
        """Take in that a message was not answered; it is sent again."""
        self._is_waiting = False
        self._not_before_ms = now_ms + PAUSE_MS
        self._fail_items()

    def close(self) -> None:
        """Fail what is on its way."""
        self._fail_items()

    def _start_over(self, now_ms: float) -> None:
        self.is_synced = False
        self._is_waiting = False
        self._not_before_ms = now_ms + PAUSE_MS
        self._message = None
        self._seq = 0
        self._fail_items()
        self._sent.clear()
        self._queue.clear()

    def _fail_items(self) -> None:
        # The entries still go to the copy, but no claim counts on them.
        for item in [*self._sent, *self._queue]:
            on_copied, item.on_copied = item.on_copied, None
            if on_copied is not None:
                on_copied(False)

    def start_over(self, now_ms: float) -> None:
        """Send everything anew, since the home knows of more shards."""
        self._start_over(now_ms)
        self._not_before_ms = 0.0

    def _next_message(self, now_ms: float) -> None:
        if self._seq == 0:
            known = self._known.values()
            entries = [e for shard in known for e in shard.store.entries()]
            self._queue.clear()
            self._queue.extend(_Item(entry, None) for entry in entries)
        elif not self._queue:
            return
        self._seq += 1
        count = min(ENTRIES_AT_ONCE, len(self._queue))
        self._sent = [self._queue.popleft() for _ in range(count)]
        self._message = claimwire.Copy(
            self._home,
            self._epoch,
            self._seq,
            not self._queue,
            [
                claimwire.CopiedShard(
                    number, max(0.0, shard.forgotten_until_ms - now_ms)
                )
                for number, shard in self._known.items()
            ],
            [item.entry for item in self._sent],
        )


class CopyHolder:
    """A deputy's copies of other homes' claims, by home and epoch."""

    def __init__(self) -> None:
        self._copies: dict[tuple[ids.NodeId, str], _Copy] = {}

    def on_copy(
        self, copy: claimwire.Copy, may_vouch: bool, now_ms: float
    ) -> claimwire.CopyReply:
        """Take in a message of a home.

        Args:
            copy: The message.
            may_vouch: Whether the home's lease is not being revoked here.
            now_ms: Time of receipt.
        """
        if not may_vouch:
            return claimwire.CopyReply(False, 0)
        name = (copy.home, copy.epoch)
        if copy.seq == 1:
            self._copies[name] = _Copy()
        held = self._copies.get(name)
        if held is None:
            return claimwire.CopyReply(True, 0)
        if copy.seq == held.last_seq + 1:
            held.last_seq = copy.seq
            held.at_ms = now_ms
            if copy.is_complete:
                held.is_complete = True
                held.forgotten_until_ms = {
                    s.shard: now_ms + s.forgotten_ms for s in copy.shards
                }
            for entry in copy.entries:
                held.store.put(entry, now_ms)
        return claimwire.CopyReply(True, held.last_seq)

    def complete(
        self, home: ids.NodeId, epoch: str, shard: int
    ) -> KnownShard | None:
        """Return a copy that covers a shard; None if it has gaps there.

        The store may hold keys of other shards too.
        """
        held = self._copies.get((home, epoch))
        if held is None or not held.is_complete:
            return None
        until_ms = held.forgotten_until_ms.get(shard)
        return None if until_ms is None else KnownShard(held.store, until_ms)

    def keep_own(
        self,
        home: ids.NodeId,
        epoch: str,
        known: Known,
        now_ms: float,
    ) -> None:
        """Keep what this node knew as home when its lease ended."""
        held = _Copy(is_complete=True, at_ms=now_ms)
        for number, shard in known.items():
            held.forgotten_until_ms[number] = shard.forgotten_until_ms
            for entry in shard.store.entries():
                held.store.put(entry, now_ms)
        self._copies[(home, epoch)] = held

    def prune(self, now_ms: float) -> None:
        """Forget what is older than the retention."""
        for name, held in list(self._copies.items()):
            held.store.prune(now_ms)
            is_old = now_ms > held.at_ms + claimstore.FORGET_MS
            if is_old and not len(held.store):
                del self._copies[name]


@dataclasses.dataclass(slots=True)
class _Copy:
    """One home's claims under one epoch."""

    store: claimstore.ClaimStore = dataclasses.field(
        default_factory=claimstore.claim_store
    )
    forgotten_until_ms: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    last_seq: int = 0
    is_complete: bool = False
    at_ms: float = 0.0
