"""In-memory store of claimed keys, bounded in number, bytes and age."""

import dataclasses

from parsleystile import claimwire

# A key is remembered for this long after its call has ended.
RETENTION_MS = 900_000.0
# Upper bound on the duration of a call, whatever its deadline.
MAX_CALL_DURATION_MS = 300_000.0
# A claim is forgotten everywhere after this time.
MAX_CLAIM_AGE_MS = RETENTION_MS + MAX_CALL_DURATION_MS
# A call is unknown if its outcome has not been reported this long after it
# must have ended.
OUTCOME_GRACE_MS = 5_000.0
MAX_ENTRIES = 200_000
MAX_ANSWER_BYTES = 33_554_432

_FREED = claimwire.ClaimState.FREED
_RUNNING = claimwire.ClaimState.RUNNING
_UNKNOWN = claimwire.ClaimState.UNKNOWN


@dataclasses.dataclass(slots=True)
class _StoredEntry:
    """An entry and the time of its last update."""

    entry: claimwire.Entry
    updated_at_ms: float

    @property
    def expires_at_ms(self) -> float:
        """Time at which the key is forgotten."""
        max_duration_ms = min(self.entry.max_duration_ms, MAX_CALL_DURATION_MS)
        return self.updated_at_ms + max_duration_ms + RETENTION_MS


class ClaimStore:
    """Entries by key, in the order of their last update.

    Attributes:
        answer_bytes: Size of the stored answers, in bytes.
    """

    def __init__(self) -> None:
        self._entries: dict[claimwire.ClaimKey, _StoredEntry] = {}
        self.answer_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of entries is reached."""
        return len(self._entries) >= MAX_ENTRIES

    def entries(self) -> list[claimwire.Entry]:
        """Return all entries, the least recently updated first."""
        return [stored.entry for stored in self._entries.values()]

    def find(
        self, key: claimwire.ClaimKey, now_ms: float
    ) -> claimwire.Entry | None:
        """Return the entry of a key; None if there is none or it expired."""
        stored = self._entries.get(key)
        if stored is None or now_ms >= stored.expires_at_ms:
            return None
        entry = stored.entry
        if entry.state is _RUNNING:
            unknown_at_ms = (
                stored.updated_at_ms + entry.max_duration_ms + OUTCOME_GRACE_MS
            )
            if now_ms >= unknown_at_ms:
                entry.state = _UNKNOWN
        return entry

    def put(self, entry: claimwire.Entry, now_ms: float) -> None:
        """Add or replace an entry; a freed one is removed."""
        self.remove(entry.key)
        if entry.state is _FREED:
            return
        size = _answer_bytes(entry)
        if self.answer_bytes + size > MAX_ANSWER_BYTES:
            entry.answer, size = None, 0
        self.answer_bytes += size
        self._entries[entry.key] = _StoredEntry(entry, now_ms)

    def remove(self, key: claimwire.ClaimKey) -> None:
        """Remove a key."""
        stored = self._entries.pop(key, None)
        if stored is not None:
            self.answer_bytes -= _answer_bytes(stored.entry)

    def prune(self, now_ms: float) -> None:
        """Remove expired entries."""
        while self._entries:
            key, stored = next(iter(self._entries.items()))
            if now_ms < stored.expires_at_ms:
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
