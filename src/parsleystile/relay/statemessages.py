"""Messages by which nodes exchange the configuration and the member rows."""

import functools
import zlib

import msgspec

from parsleystile import ids
from parsleystile.relay import memberlist


class Snapshot(msgspec.Struct, frozen=True, dict=True):
    """The operators' configuration as of one version of the store.

    Attributes:
        seen_at: Version of the store; only grows.
        payload: Encoded configuration; ``Decode`` turns it into a policy.
    """

    seen_at: int = 0
    payload: bytes = b''

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
    """

    seen_at: int
    sender: ids.NodeId = ids.NodeId('')
    payload_digest: int = 0
    payload: bytes = b''
    digest: int | None = None
    buckets: list[int] = []
    wanted: list[int] = []
    wanted_of: int = 0
    rows: list[memberlist.Row] = []
    knows_all: bool = False
    store_age_ms: int | None = None


class RowsMessage(msgspec.Struct, frozen=True):
    """New rows, passed on by a node."""

    sender: ids.NodeId
    rows: list[memberlist.Row]
