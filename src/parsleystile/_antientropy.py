"""Anti-entropy: reconciles the views of two members by bucket digests."""

import random

from parsleystile import _gossip_messages as messages
from parsleystile import _view
from parsleystile import bucketdigests
from parsleystile import transport

# Buckets reconciled in one exchange; the rest follow in later ones.
BUCKETS_PER_EXCHANGE = 4


def reconcile(
    view: _view.View,
    rng: random.Random,
    digests: tuple[int, ...],
    source: transport.Address,
) -> None:
    """Answer a digest offer: send the differing buckets and request theirs.

    Args:
        view: This node's view.
        rng: Chooses among the buckets that differ.
        digests: The peer's digests, one for each bucket.
        source: Address of the peer.
    """
    count = len(digests)
    if not bucketdigests.is_bucket_count(count):
        return
    mine = view.member_list.fold_digests(count)
    differing = [i for i in range(count) if mine[i] != digests[i]]
    if not differing:
        return
    picked = tuple(
        rng.sample(differing, min(BUCKETS_PER_EXCHANGE, len(differing)))
    )
    send_records(view, picked, count, source)
    view.send(source, messages.RecordsRequest(count, picked))


def send_records(
    view: _view.View,
    buckets: tuple[int, ...],
    count: int,
    source: transport.Address,
) -> None:
    """Send the records of all members in some of ``count`` buckets."""
    if not bucketdigests.is_bucket_count(count):
        return
    updates = [
        messages.Update(member)
        for bucket in buckets[:BUCKETS_PER_EXCHANGE]
        if bucket < count
        for member in view.member_list.in_bucket(bucket, count)
    ]
    for chunk in messages.chunks(updates):
        view.send(source, messages.Records(), None, chunk)
