"""What members tell each other; one datagram carries one ``Message``."""

import dataclasses
import typing

from parsleystile import ids
from parsleystile import members

MAX_UPDATES = 8
# Leaves room in a datagram for the body and the withdrawn keys.
MAX_UPDATE_BYTES = 1000
_FIXED_RECORD_BYTES = 60
MAX_WITHDRAWN = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """News of a member.

    Attributes:
        witness: Who found it unresponsive, if it is suspected; else empty.
    """

    member: members.Member
    witness: ids.NodeId = ids.NodeId('')


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an ``Ack`` with the same sequence number."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a ``Ping``.

    Attributes:
        is_stranger: The sender of the ping is not known here; it should
            spread its own record again.
    """

    sequence: int
    is_stranger: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks for a ping of ``subject``, to be acked here if it answers."""

    sequence: int
    subject: ids.NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class DigestOffer:
    """Digests of the sender's view, one of 32 bits for each bucket."""

    digests: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Asks for the records of some buckets out of ``count``."""

    count: int
    buckets: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Nothing but the updates that it carries."""


Body = Ping | Ack | PingRequest | DigestOffer | RecordsRequest | Records


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A datagram's content.

    Attributes:
        incarnation: Of the sender.
        config_version: That the sender has in force.
        withdrawn: Keys withdrawn ahead of the document.
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
    """Split updates so that each part fits in a datagram."""
    part: list[Update] = []
    size_bytes = 0
    for update in updates:
        needed_bytes = _update_bytes(update)
        is_full = size_bytes + needed_bytes > MAX_UPDATE_BYTES
        if part and (is_full or len(part) >= MAX_UPDATES):
            yield tuple(part)
            part, size_bytes = [], 0
        part.append(update)
        size_bytes += needed_bytes
    if part:
        yield tuple(part)
