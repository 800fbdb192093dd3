"""Gossip messages; one datagram carries one ``Message``."""

import dataclasses
import typing

from parsleystile import ids
from parsleystile import members

MAX_UPDATES = 8
# All updates of a message; leaves space in the datagram for its body and the
# withdrawn keys.
MAX_UPDATE_BYTES = 1000
_FIXED_RECORD_BYTES = 60
MAX_WITHDRAWN = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A member record to merge.

    Attributes:
        witness: The node that suspects the member; empty unless suspected.
    """

    member: members.Member
    witness: ids.NodeId = ids.NodeId('')


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Requests an ``Ack`` with the same sequence number."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a ``Ping``.

    Attributes:
        is_stranger: The sender of the ping is unknown here, or known under a
            lower incarnation; it should gossip its own record again.
    """

    sequence: int
    is_stranger: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Requests an indirect probe: ping ``subject`` and relay its ack."""

    sequence: int
    subject: ids.NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class DigestOffer:
    """Digests of the sender's view, 32 bits for each bucket."""

    digests: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Requests the records in some of ``count`` buckets."""

    count: int
    buckets: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Carries only the message's updates."""


Body = Ping | Ack | PingRequest | DigestOffer | RecordsRequest | Records


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """The content of a datagram.

    Attributes:
        sender: The sending node.
        incarnation: The sender's incarnation.
        config_version: Version of the document in force at the sender.
        body: The request, the answer or ``Records``.
        updates: Piggybacked member records.
        withdrawn: Withdrawn keys that the document still contains.
    """

    sender: ids.NodeId
    incarnation: ids.Incarnation
    config_version: ids.ConfigVersion
    body: Body
    updates: tuple[Update, ...] = ()
    withdrawn: tuple[ids.KeyId, ...] = ()


def _update_bytes(update: Update) -> int:
    member = update.member
    names = (
        member.node_id,
        member.vm,
        member.region,
        member.failure_domain,
        member.service,
        member.link.host,
        member.gossip.host,
        update.witness,
    )
    return _FIXED_RECORD_BYTES + sum(map(len, names))


def chunks(updates: list[Update]) -> typing.Iterator[tuple[Update, ...]]:
    """Split updates into chunks that each fit in a datagram."""
    chunk: list[Update] = []
    size_bytes = 0
    for update in updates:
        needed_bytes = _update_bytes(update)
        is_full = size_bytes + needed_bytes > MAX_UPDATE_BYTES
        if chunk and (is_full or len(chunk) >= MAX_UPDATES):
            yield tuple(chunk)
            chunk, size_bytes = [], 0
        chunk.append(update)
        size_bytes += needed_bytes
    if chunk:
        yield tuple(chunk)
