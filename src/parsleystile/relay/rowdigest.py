"""Digests of the member rows, by which two nodes find where they differ.

The rows are hashed into buckets whose digests are kept up to date with each
change, so that comparing two fleets costs the same whatever their size. Rows
of nodes that are gone count as absent, since nodes forget them at different
times.
"""

import zlib

from parsleystile import ids

MAX_BUCKETS = 256
_ROWS_PER_BUCKET = 8


def bucket_count(size: int) -> int:
    """Return how many buckets, a power of two, suit a number of rows."""
    count = 1
    while count < MAX_BUCKETS and count * _ROWS_PER_BUCKET < size:
        count *= 2
    return count


def bucket_of(node_id: ids.NodeId) -> int:
    """Return the bucket of a node, below ``MAX_BUCKETS``."""
    return zlib.crc32(node_id.encode()) % MAX_BUCKETS


def is_bucket_count(count: int) -> bool:
    """Whether digests may be folded to a number of buckets."""
    return 0 < count <= MAX_BUCKETS and count & (count - 1) == 0


class RowDigests:
    """Digests of rows, given as pairs of a node and its revision.

    Attributes:
        total: Digest of all rows.
    """

    def __init__(self) -> None:
        self.total = 0
        self._digests = [0] * MAX_BUCKETS
        self._nodes: list[set[ids.NodeId]] = [
            set() for _ in range(MAX_BUCKETS)
        ]

    def add(
        self, node_id: ids.NodeId, revision: tuple[int, int], is_gone: bool
    ) -> None:
        """Add the row of a node that has none."""
        bucket = bucket_of(node_id)
        self._nodes[bucket].add(node_id)
        if not is_gone:
            self._toggle(bucket, node_id, revision)

    def remove(
        self, node_id: ids.NodeId, revision: tuple[int, int], is_gone: bool
    ) -> None:
        """Remove a row that was added with the same arguments."""
        bucket = bucket_of(node_id)
        self._nodes[bucket].discard(node_id)
        if not is_gone:
            self._toggle(bucket, node_id, revision)

    def _toggle(
        self, bucket: int, node_id: ids.NodeId, revision: tuple[int, int]
    ) -> None:
        digest = zlib.crc32(f'{node_id} {revision[0]} {revision[1]}'.encode())
        self._digests[bucket] ^= digest
        self.total ^= digest

    def fold(self, count: int) -> list[int]:
        """Return digests folded to ``count`` buckets, a power of two."""
        folded = [0] * count
        for bucket, digest in enumerate(self._digests):
            folded[bucket % count] ^= digest
        return folded

    def nodes_in(self, bucket: int, count: int) -> list[ids.NodeId]:
        """Return the nodes, gone or not, of one of ``count`` buckets."""
        return [
            node_id
            for i in range(bucket, MAX_BUCKETS, count)
            for node_id in sorted(self._nodes[i])
        ]


def row_digests() -> RowDigests:
    """Create the digests of no rows."""
    return RowDigests()
