"""Digest exchange: heals what two members' views miss of each other."""

import random

from parsleystile import _gossip_messages as messages
from parsleystile import _memberlist
from parsleystile import _view
from parsleystile import transport

# Buckets that one exchange reconciles; the rest wait for the next.
BUCKETS_PER_EXCHANGE = 4


def reconcile(
    view: _view.View,
    rng: random.Random,
    digests: tuple[int, ...],
    source: transport.Address,
) -> None:
    """Answer an offer: send the buckets that differ, ask for theirs."""
    count = len(digests)
    if not _is_valid_bucket_count(count):
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
    """Send all that is known of members in some buckets out of ``count``."""
    if not _is_valid_bucket_count(count):
        return
    updates = [
        messages.Update(member)
        for bucket in buckets[:BUCKETS_PER_EXCHANGE]
        if bucket < count
        for member in view.member_list.in_bucket(bucket, count)
    ]
    for part in messages.chunks(updates):
        view.send(source, messages.Records(), None, part)


def _is_valid_bucket_count(count: int) -> bool:
    is_power = count & (count - 1) == 0
    return 0 < count <= _memberlist.MAX_BUCKETS and is_power
