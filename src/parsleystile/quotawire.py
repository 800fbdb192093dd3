"""Messages and rows by which nodes share the organisations' quotas."""

import zlib

import msgspec

from parsleystile import ids

REQUEST_KIND = 'quota-ask'
PART_PREFIX = 'quota/part/'
LEASE_PREFIX = 'lease/quota/'

# Organisations are spread over shards, so that no one node lends for all;
# each shard's quotas are cut into equal parts, each owned by one node.
SHARDS = 16
PARTS = 12


class GrantRequestItem(msgspec.Struct, frozen=True, array_like=True):
    """What a borrower holds and wants of one organisation's quota.

    Attributes:
        held_per_s: Rate still held of this lender.
        held_burst: Capacity still held of this lender.
        held_ms: How long that will be held; 0 for nothing.
        returned: Tokens given back with this ask.
        demand_per_s: Calls a second that arrive at the borrower.
        want_per_s: Rate wanted of this lender, what is held included.
        want_burst: Capacity wanted, what is held included.
        want_tokens: Tokens wanted now.
        waiting_calls: Calls that wait for a token.
    """

    organisation: ids.OrganisationId
    held_rate_per_s: float
    held_burst: float
    held_for_ms: float
    returned_tokens: float
    demand_per_s: float
    wanted_rate_per_s: float
    wanted_burst: float
    wanted_tokens: float
    waiting_calls: int


class GrantRequest(msgspec.Struct, frozen=True, array_like=True):
    """A borrower's request to one lender.

    Attributes:
        borrower: Node that asks.
        process: Unique to the borrower's process.
        seq: Grows with each ask; a lender ignores an older one.
        epoch: Lease epoch under which the held items were lent.
    """

    borrower: ids.NodeId
    process: str
    seq: int
    epoch: str
    items: list[GrantRequestItem]


class GrantItem(msgspec.Struct, frozen=True, array_like=True):
    """What the borrower holds from now on, in place of what it held.

    Attributes:
        tokens: Given on top of the tokens that the borrower has.
        retry_after_ms: When it may be worth asking for more; 0 if all that
            was wanted is granted.
    """

    organisation: ids.OrganisationId
    rate_per_s: float
    burst: float
    tokens: float
    retry_after_ms: float


class Grants(msgspec.Struct, frozen=True, array_like=True):
    """A lender's reply.

    Attributes:
        epoch: Lease epoch of the lender; empty if it lends nothing.
        life_ms: How long the grants last from when the borrower asked.
    """

    epoch: str
    duration_ms: float
    items: list[GrantItem]


def shard_of(organisation: ids.OrganisationId) -> int:
    """Return the shard of an organisation; the same at every node."""
    return zlib.crc32(organisation.encode()) % SHARDS
