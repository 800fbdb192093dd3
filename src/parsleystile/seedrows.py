"""Table rows through which starting nodes find running ones.

Each failure domain has a bounded number of rows. A row holds an address to
fetch the member list from, and may be of a node that is gone. Several nodes
share a row and overwrite each other, so that the rows stay fresh although
each node writes rarely.
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
# Older rows are ignored: their nodes are most likely gone.
MAX_SEED_AGE_MS = 1_800_000
# Bounds the writes of one node, and of all nodes together.
MIN_WRITE_PERIOD_MS = 30_000.0
MAX_FLEET_WRITES_PER_S = 20.0
_MS_PER_S = 1000.0


class SeedRow(msgspec.Struct, frozen=True, kw_only=True):
    """Address of a node that may serve its member list.

    Attributes:
        node_id: The node.
        link: Address of its link listener.
        at_wall_ms: Wall-clock time of the write.
    """

    node_id: ids.NodeId
    link: transport.Address
    at_wall_ms: int

    @property
    def peer(self) -> transport.Peer:
        """The node, to connect to."""
        return transport.Peer(self.link, self.node_id)


def row_key(node_id: ids.NodeId, domain: ids.FailureDomainId) -> str:
    """Return the key of the row that a node shares with others."""
    digest = hashlib.blake2b(node_id.encode(), digest_size=4).digest()
    number = int.from_bytes(digest, 'big') % ROWS_PER_DOMAIN
    return f'{PREFIX}{domain}/{number:02d}'


def write_period_ms(fleet_size: int) -> float:
    """Return the mean period in ms of one node's writes."""
    return max(
        MIN_WRITE_PERIOD_MS, fleet_size * _MS_PER_S / MAX_FLEET_WRITES_PER_S
    )


class SeedRows:
    """Reads and writes the seed rows."""

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
        """Return recent seeds in random order; None if the read failed."""
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
        """Write this node's address to its row; False if that failed."""
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
        # A conflict needs no retry: the other node's address serves as well.
        return written.is_ok()


def _decode_seed(row: table.Row) -> SeedRow | None:
    try:
        return msgspec.json.decode(row.value, type=SeedRow)
    except msgspec.MsgspecError:
        return None


def seed_rows(
    rows: table.TableClient, clock: clocks.Clock, rng: random.Random
) -> SeedRows:
    """Create the reader and writer of the seed rows."""
    return SeedRows(rows, clock, rng)
