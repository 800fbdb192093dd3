"""Digests of the member rows.

Rows of nodes that are gone count as absent, since nodes forget them at
different times.
"""

import zlib

from parsleystile import bucketdigests
from parsleystile import ids
from parsleystile.relay import departures as departures_module

_ROWS_PER_BUCKET = 8


def bucket_count(size: int) -> int:
    """Return how many buckets suit a number of rows."""
    return bucketdigests.bucket_count(size, _ROWS_PER_BUCKET)


class RowDigests:
    """Digests of rows, given as a node, its revision and its departures."""

    def __init__(self) -> None:
        self._buckets = bucketdigests.bucket_digests()

    def add(
        self,
        node_id: ids.NodeId,
        revision: tuple[int, int],
        is_gone: bool,
        departures: departures_module.Departures = (),
    ) -> None:
        """Add the row of a node that has none."""
        digest = 0 if is_gone else _digest(node_id, revision, departures)
        self._buckets.add(node_id, _bucket_of(node_id), digest)

    def remove(
        self,
        node_id: ids.NodeId,
        revision: tuple[int, int],
        is_gone: bool,
        departures: departures_module.Departures = (),
    ) -> None:
        """Remove a row that was added with the same arguments."""
        digest = 0 if is_gone else _digest(node_id, revision, departures)
        self._buckets.remove(node_id, _bucket_of(node_id), digest)

    @property
    def total(self) -> int:
        """Digest of all rows."""
        return self._buckets.total

    def fold(self, count: int) -> list[int]:
        """Return digests folded to ``count`` buckets, a power of two."""
        return self._buckets.fold(count)

    def nodes_in(self, bucket: int, count: int) -> list[ids.NodeId]:
        """Return the nodes, gone or not, of one of ``count`` buckets."""
        return self._buckets.nodes_in(bucket, count)


def _bucket_of(node_id: ids.NodeId) -> int:
    return zlib.crc32(node_id.encode()) % bucketdigests.MAX_BUCKETS


def _digest(
    node_id: ids.NodeId,
    revision: tuple[int, int],
    departures: departures_module.Departures,
) -> int:
    record = f'{node_id} {revision[0]} {revision[1]}'
    for departure in departures:
        record += f' {departure.target_id} {departure.born_ms}'
    return bucketdigests.record_digest(record)


def row_digests() -> RowDigests:
    """Create the digests of no rows."""
    return RowDigests()
