"""Which of two snapshots is newer, also after the store was restored.

Load: a fleet in use whose store comes back from a copy some seconds old. Its
versions go back and are given out again, rows are missing until their writers
write them again, and nodes that were cut off meanwhile know the old versions
only. Each restore raises the era that the store names.
"""

import enum
import typing

from parsleystile.relay import statemessages

# Writers write again what the store has lost within this time.
_SETTLING_MS = 20_000.0
# A node that has just started learns within this time from its peers whether
# the era settles.
_FIRST_SETTLING_MS = 2_500.0
# Own rows that the fleet reads, and writes if they are missing, in a second.
_RESTORED_ROWS_PER_S = 50.0
_MS_PER_S = 1e3


class Place(typing.NamedTuple):
    """Orders snapshots from old to new."""

    era: int
    phase: statemessages.Phase
    seen_at: int


def place(
    snapshot: statemessages.Snapshot | statemessages.SyncMessage,
    first_era: int = 0,
) -> Place:
    """Return the place of a snapshot or of the one that a message states.

    Args:
        snapshot: The snapshot or message.
        first_era: Era of a message that names none.
    """
    era = first_era if snapshot.era is None else snapshot.era
    return Place(era, snapshot.phase, snapshot.seen_at)


class Change(enum.Enum):
    """What an answer of the store, or a peer, tells of the era."""

    NONE = 'none'
    FIRST = 'first'
    RISEN = 'risen'
    EARLIER = 'earlier'


class StoreEras:
    """The era of the store that a node knows.

    Attributes:
        known: The newest era; 0 before any was known.
        first: The first era that this node knew.
    """

    def __init__(self) -> None:
        self.known = 0
        self.first = 0
        self._is_known = False
        self._unsettled = statemessages.Phase.UNKNOWN
        self._settles_at_ms = 0.0

    def note(self, era: int | None, now_ms: float) -> Change:
        """Note the era of an answer of the store or of a peer's snapshot.

        Args:
            era: The era; None if the store names none.
            now_ms: Current time.
        """
        if era is None or era == self.known:
            self._is_known = True
            return Change.NONE
        if era < self.known:
            return Change.EARLIER
        self.known = era
        if not self._is_known:
            self._is_known = True
            self.first = era
            self._settles_at_ms = now_ms + _FIRST_SETTLING_MS
            return Change.FIRST
        self._settle_from(now_ms)
        return Change.RISEN

    def note_peer(self, peer: Place, now_ms: float) -> None:
        """Note the place of a snapshot that a peer has."""
        if peer.era != self.known:
            return
        match peer.phase:
            case statemessages.Phase.SETTLED:
                self._settles_at_ms = min(self._settles_at_ms, now_ms)
            case statemessages.Phase.SETTLING:
                # The peer knows of the rise, unlike a node that has just
                # started.
                if self.phase(now_ms) is statemessages.Phase.UNKNOWN:
                    self._settle_from(now_ms)

    def _settle_from(self, now_ms: float) -> None:
        self._unsettled = statemessages.Phase.SETTLING
        self._settles_at_ms = now_ms + _SETTLING_MS

    def phase(self, now_ms: float) -> statemessages.Phase:
        """Return the phase of a snapshot that is read now."""
        if now_ms >= self._settles_at_ms:
            return statemessages.Phase.SETTLED
        return self._unsettled


def needs_payload(
    own: statemessages.Snapshot, remote: statemessages.SyncMessage
) -> bool:
    """Whether a peer needs the payload of this node's snapshot.

    A peer that names no era compares versions alone.
    """
    if remote.payload_digest == own.payload_digest:
        return False
    if remote.era is None:
        return remote.seen_at < own.seen_at
    return place(remote) <= place(own)


class Join(typing.NamedTuple):
    """How the snapshot in force follows from two.

    Attributes:
        base: The one whose place and other contents count.
        other: The other one.
        takes_document: Whether the document of ``other`` is the later one.
        keeps_domains: Whether domains that ``other`` takes out stay out.
    """

    base: statemessages.Snapshot
    other: statemessages.Snapshot
    takes_document: bool
    keeps_domains: bool


def join(
    one: statemessages.Snapshot,
    one_version: int,
    two: statemessages.Snapshot,
    two_version: int,
) -> Join:
    """Decide how two snapshots are joined; the order makes no difference.

    Args:
        one: A snapshot.
        one_version: Version of its document.
        two: Another snapshot.
        two_version: Version of its document.
    """

    def rank(
        snapshot: statemessages.Snapshot, version: int
    ) -> tuple[Place, int, bytes]:
        return place(snapshot), version, snapshot.payload

    if rank(one, one_version) < rank(two, two_version):
        one, one_version, two, two_version = two, two_version, one, one_version
    is_unsettled = one.phase is not statemessages.Phase.SETTLED
    return Join(one, two, two_version > one_version, is_unsettled)


def spread_ms(node_count: int) -> float:
    """Return the time over which the nodes of a fleet check their rows."""
    return _MS_PER_S * max(1.0, node_count / _RESTORED_ROWS_PER_S)


def store_eras() -> StoreEras:
    """Create the state of a node that knows no era."""
    return StoreEras()
