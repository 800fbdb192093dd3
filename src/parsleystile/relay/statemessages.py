"""Messages by which nodes exchange the configuration and the member rows."""

import enum
import functools
import typing
import zlib

import msgspec

from parsleystile import ids
from parsleystile.relay import memberrow


_MAX_ERA = 2**40


class Phase(enum.IntEnum):
    """Whether a store that was restored holds what was accepted before."""

    # The reader has just started and can't tell.
    UNKNOWN = 0
    # Rows may be missing until their writers write them again.
    SETTLING = 1
    SETTLED = 2


class Snapshot(msgspec.Struct, frozen=True, dict=True):
    """The operators' configuration as of one version of the store.

    Attributes:
        seen_at: Version of the store; only grows within an era.
        payload: Encoded configuration; ``Decode`` turns it into a policy.
        era: Era of the store; rises each time that it is restored.
        phase: How much its reader knew of what a restored store still
            lacks.
    """

    seen_at: int = 0
    payload: bytes = b''
    era: int = 0
    phase: Phase = Phase.SETTLED

    @functools.cached_property
    def payload_digest(self) -> int:
        """Checksum of the payload."""
        return zlib.crc32(self.payload)


class SyncMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request and reply of an exchange; both state the sender's versions.

    Attributes:
        seen_at: Version of the sender's snapshot, or of one on its way to it.
        payload_digest: Checksum of that snapshot's payload.
        payload: The snapshot itself, for a receiver that has an older one.
        digest: Checksum of the sender's rows; None if only the
            configuration is compared.
        buckets: Checksums of the sender's rows by bucket.
        wanted: Buckets, out of ``wanted_of``, whose rows the sender requests.
        rows: Rows for the receiver.
        knows_all: Whether the sender knew all nodes at some time.
        store_age_ms: Age of the reading of the store that the sender's
            snapshot rests on; None without one.
        era: Era of that snapshot; None from builds that know no eras.
        phase: Phase of that snapshot.
    """

    seen_at: int
    sender: ids.NodeId = ids.NodeId('')
    payload_digest: int = 0
    payload: bytes = b''
    digest: int | None = None
    buckets: list[int] = []
    wanted: list[int] = []
    wanted_of: int = 0
    rows: list[memberrow.Row] = []
    knows_all: bool = False
    store_age_ms: int | None = None
    era: typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_ERA)] | None = None
    phase: Phase = Phase.SETTLED


class RowsMessage(msgspec.Struct, frozen=True):
    """New rows, passed on by a node."""

    sender: ids.NodeId
    rows: list[memberrow.Row]
