"""Digests of records in buckets, by which two nodes find where they differ.

The digests are kept up to date with each change, so that comparing two fleets
costs the same whatever their size. The digest of several records is the
exclusive or of their digests, so that records that change alike must not have
related digests, as checksums would.
"""

import hashlib

from parsleystile import ids

MAX_BUCKETS = 256
_DIGEST_MASK = 0xFFFFFFFF


def text_hash(text: str) -> int:
    """Return a hash of a text that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def record_digest(text: str) -> int:
    """Return the digest of a record, given as text, in 32 bits."""
    return text_hash(text) & _DIGEST_MASK


def bucket_count(size: int, records_per_bucket: int) -> int:
    """Return how many buckets, a power of two, suit a number of records."""
    count = 1
    while count < MAX_BUCKETS and count * records_per_bucket < size:
        count *= 2
    return count


def is_bucket_count(count: int) -> bool:
    """Whether digests may be folded to a number of buckets."""
    return 0 < count <= MAX_BUCKETS and count & (count - 1) == 0


class BucketDigests:
    """Digests of the records of nodes.

    Attributes:
        total: Digest of all records.
    """

    def __init__(self) -> None:
        self.total = 0
        self._digests = [0] * MAX_BUCKETS
        self._nodes: list[set[ids.NodeId]] = [
            set() for _ in range(MAX_BUCKETS)
        ]

    def add(self, node_id: ids.NodeId, bucket: int, digest: int) -> None:
        """Add the record of a node that has none.

        Args:
            node_id: The node.
            bucket: Its bucket, below ``MAX_BUCKETS``.
            digest: Digest of the record; 0 if it counts as absent.
        """
        self._nodes[bucket].add(node_id)
        self._toggle(bucket, digest)

    def remove(self, node_id: ids.NodeId, bucket: int, digest: int) -> None:
        """Remove a record that was added with the same arguments."""
        self._nodes[bucket].discard(node_id)
        self._toggle(bucket, digest)

    def _toggle(self, bucket: int, digest: int) -> None:
        self._digests[bucket] ^= digest
        self.total ^= digest

    def fold(self, count: int) -> list[int]:
        """Return digests folded to ``count`` buckets, a power of two."""
        folded = [0] * count
        for bucket, digest in enumerate(self._digests):
            folded[bucket % count] ^= digest
        return folded

    def nodes_in(self, bucket: int, count: int) -> list[ids.NodeId]:
        """Return the nodes of one of ``count`` buckets."""
        return [
            node_id
            for i in range(bucket, MAX_BUCKETS, count)
            for node_id in sorted(self._nodes[i])
        ]


def bucket_digests() -> BucketDigests:
    """Create the digests of no records."""
    return BucketDigests()
