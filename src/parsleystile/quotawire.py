"""Messages and table rows of the distributed rate-limit quotas.

Each organisation's quota is a token bucket divided among lenders. Borrowers
request grants of rate, capacity and tokens from them.
"""

import zlib

import msgspec

from parsleystile import ids

REQUEST_KIND = 'quota-ask'
PART_PREFIX = 'quota/part/'
LEASE_PREFIX = 'lease/quota/'

# Organisations are hashed to shards, so that no single node lends for all.
# Each shard's quotas are divided into equal parts, each owned by one node.
SHARDS = 16
PARTS = 12


class GrantRequestItem(msgspec.Struct, frozen=True, array_like=True):
    """What a borrower holds and requests of one organisation's quota.

    Attributes:
        held_rate_per_s: Rate still held from this lender, in tokens per
            second.
        held_burst: Bucket capacity still held from this lender, in tokens.
        held_for_ms: Time until that expires; 0 if nothing is held.
        returned_tokens: Tokens returned with this request.
        demand_per_s: Calls per second that arrive at the borrower.
        wanted_rate_per_s: Rate wanted from this lender, including the rate
            held.
        wanted_burst: Capacity wanted, including the capacity held.
        wanted_tokens: Tokens wanted now.
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
        borrower: Node that sends the request.
        process: Unique to the borrower's process.
        seq: Increases with each request; a lender ignores a request that is
            not newer than the last one.
        epoch: Lease epoch of the lender under which the held grants were
            made.
    """

    borrower: ids.NodeId
    process: str
    seq: int
    epoch: str
    items: list[GrantRequestItem]


class GrantItem(msgspec.Struct, frozen=True, array_like=True):
    """A grant that replaces what the borrower held from this lender.

    Attributes:
        rate_per_s: Refill rate, in tokens per second.
        burst: Bucket capacity, in tokens.
        tokens: Tokens added to those that the borrower has.
        retry_after_ms: Time after which another request may yield more; 0
            if everything wanted was granted.
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
        duration_ms: How long the grants are valid, counted from the time
            the borrower sent the request.
    """

    epoch: str
    duration_ms: float
    items: list[GrantItem]


def shard_of(organisation: ids.OrganisationId) -> int:
    """Return the shard of an organisation; the same on every node."""
    return zlib.crc32(organisation.encode()) % SHARDS
