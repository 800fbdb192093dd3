"""Rows by which nodes that start find nodes that run.

A bounded number of rows for each failure domain holds addresses to ask, not
members to use: a row may be of a node long gone. Members sharing a row
write over each other, so the rows stay fresh while each node writes seldom.
"""

import hashlib
import random

import expression
import msgspec

from parsleystile import clock as clocks
from parsleystile import ids
from parsleystile import members
from parsleystile import table
from parsleystile import transport

PREFIX = 'members/'
ROWS_PER_DOMAIN = 16
# Rows older than this point to nodes that are most likely gone.
MAX_SEED_AGE_MS = 1_800_000
# A node writes its row at least so far apart, and in the whole fleet there
# are no more such writes than this.
MIN_WRITE_PERIOD_MS = 30_000.0
MAX_FLEET_WRITES_PER_S = 20.0
_MS_PER_S = 1000.0


class SeedRow(msgspec.Struct, frozen=True, kw_only=True):
    """Where a node could be asked for the members.

    Attributes:
        at_wall_ms: When the row was written.
    """

    node_id: ids.NodeId
    link: transport.Address
    at_wall_ms: int


def row_key(node_id: ids.NodeId, domain: ids.FailureDomainId) -> str:
    """Return the row that a node shares with others of its domain."""
    digest = hashlib.blake2b(node_id.encode(), digest_size=4).digest()
    number = int.from_bytes(digest, 'big') % ROWS_PER_DOMAIN
    return f'{PREFIX}{domain}/{number:02d}'


def write_period_ms(fleet_size: int) -> float:
    """Return how far apart one node's writes are."""
    return max(
        MIN_WRITE_PERIOD_MS, fleet_size * _MS_PER_S / MAX_FLEET_WRITES_PER_S
    )


class SeedRows:
    """Reads and writes the rows."""

    def __init__(
        self,
        rows: table.TableClient,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._table = rows
        self._clock = clock
        self._rng = rng

    async def read(self, local: members.Member) -> list[SeedRow] | None:
        """Return whom to ask, in random order; None without an answer."""
        match await self._table.scan(PREFIX):
            case expression.Result(tag='ok', ok=rows):
                pass
            case _:
                return None
        seeds = [seed for row in rows if (seed := _decode_seed(row))]
        oldest_ms = self._clock.wall_ms() - MAX_SEED_AGE_MS
        found = [
            seed
            for seed in seeds
            if seed.at_wall_ms >= oldest_ms and seed.link != local.link
        ]
        self._rng.shuffle(found)
        return found

    async def write(self, local: members.Member) -> bool:
        """Put this node's address in its row; False if that failed."""
        key = row_key(local.node_id, local.failure_domain)
        match await self._table.read(key):
            case expression.Result(tag='ok', ok=row):
                version = row.version if row else table.ABSENT
            case _:
                return False
        seed = SeedRow(
            node_id=local.node_id,
            link=local.link,
            at_wall_ms=int(self._clock.wall_ms()),
        )
        written = await self._table.transact(
            [table.Write(key, msgspec.json.encode(seed), version)]
        )
        # Whoever won the race put an address there that does as well.
        return written.is_ok()


def _decode_seed(row: table.Row) -> SeedRow | None:
    try:
        return msgspec.json.decode(row.value, type=SeedRow)
    except msgspec.MsgspecError:
        return None


def seed_rows(
    rows: table.TableClient, clock: clocks.Clock, rng: random.Random
) -> SeedRows:
    """Create the reader and writer of the rows."""
    return SeedRows(rows, clock, rng)
