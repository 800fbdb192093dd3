"""Claimed keys in memory, bounded in number, bytes and time."""

import dataclasses

from parsleystile import claimwire

# A key is remembered for so long after its call has ended.
RETENTION_MS = 900_000.0
# A call is taken to last no longer.
MAX_LASTS_MS = 300_000.0
# After this time no claim of before is remembered anywhere.
FORGET_MS = RETENTION_MS + MAX_LASTS_MS
# A call that has not been settled this long after its end is unknown.
SETTLE_GRACE_MS = 5_000.0
MAX_ENTRIES = 200_000
MAX_ANSWER_BYTES = 33_554_432

_FREED = claimwire.ClaimState.FREED
_RUNNING = claimwire.ClaimState.RUNNING
_UNKNOWN = claimwire.ClaimState.UNKNOWN


@dataclasses.dataclass(slots=True)
class _Kept:
    """An entry and when the last news of it came."""

    entry: claimwire.Entry
    at_ms: float

    @property
    def until_ms(self) -> float:
        """Return when the key is forgotten."""
        lasts_ms = min(self.entry.lasts_ms, MAX_LASTS_MS)
        return self.at_ms + lasts_ms + RETENTION_MS


class ClaimStore:
    """Entries by key, the oldest news first.

    Attributes:
        answer_bytes: Bytes of kept answers.
    """

    def __init__(self) -> None:
        self._kept: dict[claimwire.ClaimKey, _Kept] = {}
        self.answer_bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    @property
    def is_full(self) -> bool:
        """Whether no further key is taken."""
        return len(self._kept) >= MAX_ENTRIES

    def entries(self) -> list[claimwire.Entry]:
        """Return every entry, the oldest news first."""
        return [kept.entry for kept in self._kept.values()]

    def find(
        self, key: claimwire.ClaimKey, now_ms: float
    ) -> claimwire.Entry | None:
        """Return the entry of a key, as far as it is still remembered."""
        kept = self._kept.get(key)
        if kept is None or now_ms >= kept.until_ms:
            return None
        entry = kept.entry
        if entry.state is _RUNNING:
            ended_ms = kept.at_ms + entry.lasts_ms + SETTLE_GRACE_MS
            if now_ms >= ended_ms:
                entry.state = _UNKNOWN
        return entry

    def put(self, entry: claimwire.Entry, now_ms: float) -> None:
        """Keep or replace an entry; a freed one is forgotten."""
        self.remove(entry.key)
        if entry.state is _FREED:
            return
        size = _answer_bytes(entry)
        if self.answer_bytes + size > MAX_ANSWER_BYTES:
            entry.answer, size = None, 0
        self.answer_bytes += size
        self._kept[entry.key] = _Kept(entry, now_ms)

    def remove(self, key: claimwire.ClaimKey) -> None:
        """Forget a key."""
        kept = self._kept.pop(key, None)
        if kept is not None:
            self.answer_bytes -= _answer_bytes(kept.entry)

    def prune(self, now_ms: float) -> None:
        """Forget what is older than the retention."""
        while self._kept:
            key, kept = next(iter(self._kept.items()))
            if now_ms < kept.until_ms:
                return
            self.remove(key)


def _answer_bytes(entry: claimwire.Entry) -> int:
    answer = entry.answer
    if answer is None:
        return 0
    return len(answer.body) + sum(map(len, answer.headers))


def claim_store() -> ClaimStore:
    """Create an empty store."""
    return ClaimStore()
