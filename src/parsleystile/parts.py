"""Parts of something shared, each owned by one node under its lease.

Rows ``<prefix><shard>/<part>`` name the owners. A part is claimed only when
its row says that it was given up and what its owner handed out has lapsed,
or when the lease of its owner has ended. Who claims is only a matter of
taste: the rows and the leases keep owners apart.
"""

import dataclasses
import random
import typing
import zlib

import msgspec

from parsleystile import ids
from parsleystile import leasewatch
from parsleystile import table
from parsleystile import tableio

# The next in rank claims a part that has been free for so long.
CLAIM_RANK_DELAY_MS = 4_000.0
# A node without the state of a part leaves it so long to one that has it.
STATE_HOLDER_PRIORITY_MS = 8_000.0
# An uneven spread over failure domains is evened out after this time.
REBALANCE_DELAY_MS = 5_000.0
# Parts of a shard given up at once; each is out of use for a while.
MAX_RELEASES_PER_SHARD = 2


class PartRow(msgspec.Struct, frozen=True):
    """Value of the row of one part.

    Attributes:
        owner: Node that owns the part; empty if it was given up.
        epoch: Lease epoch of the owner.
        nonce: Unique to one write.
        is_first: Nobody owned the part before.
        previous_owner: Who owned it before this owner.
        previous_epoch: Lease epoch of that node.
    """

    owner: ids.NodeId
    epoch: str
    nonce: str
    is_first: bool = False
    previous_owner: ids.NodeId = ids.NodeId('')
    previous_epoch: str = ''


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PartId:
    """One part of one shard."""

    shard: int
    part: int


HasState = typing.Callable[[PartId, ids.NodeId, str], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """How something is cut; fixed for the life of the fleet.

    Attributes:
        prefix: Of the rows; ends with a slash.
        shards: Number of shards.
        parts: Parts of each shard.
        quarantine_ms: How long a part that was given up stays unused, until
            what was handed out of it has lapsed.
        by_domain: Every failure domain gets its share of each shard.
    """

    prefix: str
    shards: int
    parts: int
    quarantine_ms: float
    by_domain: bool = True

    def key(self, part: PartId) -> str:
        """Return the key of the row of a part."""
        return f'{self.prefix}{part.shard:03d}/{part.part:02d}'

    def part_of(self, key: str) -> PartId:
        """Return the part of a row key."""
        shard, _, part = key.removeprefix(self.prefix).partition('/')
        return PartId(int(shard), int(part))


@dataclasses.dataclass(slots=True)
class ObservedPart:
    """A part's row and since when it was seen unchanged."""

    row: PartRow
    version: int
    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimContext:
    """What a node knows when it decides on claims.

    Attributes:
        node_id: This node.
        failure_domain: Where it runs.
        epoch: Its lease epoch; None while the lease does not hold.
        domains: Of the members that are alive, this node included.
        watch: Leases as last seen, read after the part rows.
        has_state: Whether this node has the state of a part that a node
            owned under an epoch; None if parts have no state that matters.
    """

    node_id: ids.NodeId
    failure_domain: ids.FailureDomainId
    epoch: str | None
    domains: dict[ids.NodeId, ids.FailureDomainId]
    watch: leasewatch.LeaseWatch
    has_state: HasState | None = None


class PartMap:
    """Owners of all parts as last read, and the decisions on claims."""

    def __init__(self, layout: Layout, rng: random.Random) -> None:
        self.layout = layout
        self.read_at_ms: float | None = None
        self._rng = rng
        self._observed: dict[PartId, ObservedPart] = {}
        self._free_since_ms: dict[PartId, float] = {}
        self._imbalanced_since_ms: dict[int, float] = {}
        self._claiming: set[int] = set()
        self._released_versions: dict[PartId, int] = {}
        self._learned_owners: dict[PartId, ids.NodeId] = {}
        self._owners: dict[int, dict[ids.NodeId, int]] = {}

    def observe(self, rows: tuple[table.Row, ...], now_ms: float) -> None:
        """Take in all rows, as read by an answer that came now."""
        for row in rows:
            part = self.layout.part_of(row.key)
            old = self._observed.get(part)
            if old is not None and row.version <= old.version:
                continue
            found = msgspec.msgpack.decode(row.value, type=PartRow)
            self._observed[part] = ObservedPart(found, row.version, now_ms)
        self.read_at_ms = now_ms
        self._recount_owners()

    def learn_owners(self, owners: dict[PartId, ids.NodeId]) -> None:
        """Take owners from another node, while none were ever read."""
        if self.read_at_ms is None and owners:
            self._learned_owners = owners
            self._owners = _count_owners(owners)

    def part_owners(self) -> dict[PartId, ids.NodeId]:
        """Return the owners of parts as last read or learned."""
        if self.read_at_ms is None:
            return self._learned_owners
        return {
            part: observed.row.owner
            for part, observed in self._observed.items()
            if observed.row.owner
        }

    def owners(self, shard: int) -> dict[ids.NodeId, int]:
        """Return the owners of a shard and their numbers of parts."""
        return self._owners.get(shard, {})

    def rows(self) -> dict[PartId, ObservedPart]:
        """Return what was seen of every part."""
        return self._observed

    def owned(self, node_id: ids.NodeId, epoch: str) -> dict[PartId, PartRow]:
        """Return the parts that their rows say a holder owns."""
        return {
            part: observed.row
            for part, observed in self._observed.items()
            if observed.row.owner == node_id
            and observed.row.epoch == epoch
            and self._released_versions.get(part, 0) < observed.version
        }

    def has_claimable_parts(
        self, context: ClaimContext, now_ms: float
    ) -> bool:
        """Return whether this node would claim parts if it had a lease."""
        return any(
            self._claimable_parts(shard, context, now_ms)
            for shard in range(self.layout.shards)
        )

    def claims(
        self, context: ClaimContext, now_ms: float
    ) -> list[tableio.Swap]:
        """Return the writes that claim free parts, a shard each."""
        if context.epoch is None:
            return []
        swaps = []
        for shard in range(self.layout.shards):
            if shard in self._claiming:
                continue
            claimable = self._claimable_parts(shard, context, now_ms)
            if claimable:
                self._claiming.add(shard)
                swaps.append(self._claim(claimable, context))
        return swaps

    def releases(self, context: ClaimContext, now_ms: float) -> list[PartId]:
        """Return the parts to give up so that every domain has its share.

        The caller stops using them at once and then writes
        ``release_swap``.
        """
        if context.epoch is None or not self.layout.by_domain:
            return []
        surplus: list[PartId] = []
        for shard in range(self.layout.shards):
            surplus += self._surplus(shard, context, now_ms)
        return surplus

    def release_swap(self, part: PartId) -> tableio.Swap:
        """Return the write that gives up a part; it is not ours any more."""
        version = self._observed[part].version
        self._released_versions[part] = version
        row = PartRow(ids.NodeId(''), '', self._nonce())
        write = table.Write(
            self.layout.key(part), msgspec.msgpack.encode(row), version
        )
        return tableio.Swap((write,))

    def pending_releases(self, context: ClaimContext) -> list[PartId]:
        """Return parts given up whose rows still name this node."""
        return [
            part
            for part, version in self._released_versions.items()
            if self._observed[part].version == version
            and self._observed[part].row.epoch == context.epoch
        ]

    def on_swapped(self, event: tableio.SwapDone) -> None:
        """Take in what became of a claim; a later scan tells the rows."""
        part = self.layout.part_of(event.swap.writes[0].key)
        self._claiming.discard(part.shard)

    def _recount_owners(self) -> None:
        self._owners = _count_owners(self.part_owners())

    def _is_free(
        self, part: PartId, context: ClaimContext, now_ms: float
    ) -> bool:
        observed = self._observed.get(part)
        if observed is None:
            return True
        if not observed.row.owner:
            return now_ms >= observed.since_ms + self.layout.quarantine_ms
        return context.watch.is_free(
            observed.row.owner,
            observed.row.epoch,
            self.layout.quarantine_ms,
            now_ms,
        )

    def _free_parts(
        self, shard: int, context: ClaimContext, now_ms: float
    ) -> list[PartId]:
        free = []
        for number in range(self.layout.parts):
            part = PartId(shard, number)
            if self._is_free(part, context, now_ms):
                self._free_since_ms.setdefault(part, now_ms)
                free.append(part)
            else:
                self._free_since_ms.pop(part, None)
        return free

    def _placement_domains(
        self, context: ClaimContext
    ) -> dict[ids.NodeId, ids.FailureDomainId]:
        if self.layout.by_domain:
            return context.domains
        return dict.fromkeys(context.domains, ids.FailureDomainId(''))

    def _domain_counts(
        self, shard: int, context: ClaimContext
    ) -> dict[ids.FailureDomainId, int]:
        domains = self._placement_domains(context)
        counts = dict.fromkeys(domains.values(), 0)
        for owner, parts in self.owners(shard).items():
            if owner in domains:
                counts[domains[owner]] += parts
        return counts

    def _claimable_parts(
        self, shard: int, context: ClaimContext, now_ms: float
    ) -> list[PartId]:
        free = self._free_parts(shard, context, now_ms)
        if not free:
            return []
        counts = self._domain_counts(shard, context)
        placement = self._placement_domains(context)
        local_domain = placement[context.node_id]
        for part in free:
            observed = self._observed.get(part)
            if observed is not None and observed.row.owner in placement:
                counts[placement[observed.row.owner]] -= 1
        domains = sorted(counts)
        max_per_domain = -(-self.layout.parts // len(domains))
        capacity = max_per_domain - counts[local_domain]
        if capacity <= 0 or not self._is_my_turn(shard, free, context, now_ms):
            return []
        # Domains start at different parts, so that claims rarely clash.
        start = (shard + domains.index(local_domain)) % len(domains)
        free.sort(key=lambda part: (part.part - start) % len(domains))
        return free[:capacity]

    def _is_my_turn(
        self,
        shard: int,
        free: list[PartId],
        context: ClaimContext,
        now_ms: float,
    ) -> bool:
        placement = self._placement_domains(context)
        local_domain = placement[context.node_id]
        same_domain = [
            n for n, place in placement.items() if place == local_domain
        ]
        live_owners = {
            observed.row.owner
            for part, observed in self._observed.items()
            if part.shard == shard and part not in free
        }
        local_owners = [
            node_id for node_id in same_domain if node_id in live_owners
        ]
        if local_owners:
            return context.node_id == min(local_owners)
        since_ms = min(self._free_since_ms[part] for part in free)
        if context.has_state is not None:
            observed = self._observed.get(free[0])
            if observed is not None:
                if context.has_state(
                    free[0], observed.row.owner, observed.row.epoch
                ):
                    return True
                since_ms += STATE_HOLDER_PRIORITY_MS
        ranked = sorted(same_domain, key=lambda n: _rendezvous_hash(shard, n))
        rank = ranked.index(context.node_id)
        return now_ms >= since_ms + rank * CLAIM_RANK_DELAY_MS

    def _claim(
        self, claimable: list[PartId], context: ClaimContext
    ) -> tableio.Swap:
        writes = []
        for part in claimable:
            observed = self._observed.get(part)
            if observed is None:
                version = table.ABSENT
                row = PartRow(
                    context.node_id, context.epoch, self._nonce(), True
                )
            else:
                version = observed.version
                row = PartRow(
                    context.node_id,
                    context.epoch,
                    self._nonce(),
                    previous_owner=observed.row.owner,
                    previous_epoch=observed.row.epoch,
                )
            value = msgspec.msgpack.encode(row)
            writes.append(table.Write(self.layout.key(part), value, version))
        return tableio.Swap(tuple(writes))

    def _surplus(
        self, shard: int, context: ClaimContext, now_ms: float
    ) -> list[PartId]:
        counts = self._domain_counts(shard, context)
        min_per_domain = self.layout.parts // len(counts)
        max_per_domain = -(-self.layout.parts // len(counts))
        surplus = counts[context.failure_domain] - max_per_domain
        if surplus <= 0 or min(counts.values()) >= min_per_domain:
            self._imbalanced_since_ms.pop(shard, None)
            return []
        since_ms = self._imbalanced_since_ms.setdefault(shard, now_ms)
        if now_ms < since_ms + REBALANCE_DELAY_MS:
            return []
        del self._imbalanced_since_ms[shard]
        owned = self.owned(context.node_id, context.epoch)
        owned_in_shard = sorted(p for p in owned if p.shard == shard)
        return owned_in_shard[: min(surplus, MAX_RELEASES_PER_SHARD)]

    def _nonce(self) -> str:
        return f'{self._rng.getrandbits(64):016x}'


def _count_owners(
    owners: dict[PartId, ids.NodeId],
) -> dict[int, dict[ids.NodeId, int]]:
    counts: dict[int, dict[ids.NodeId, int]] = {}
    for part, owner in owners.items():
        shard = counts.setdefault(part.shard, {})
        shard[owner] = shard.get(owner, 0) + 1
    return counts


def _rendezvous_hash(shard: int, node_id: ids.NodeId) -> int:
    return zlib.crc32(f'{shard}/{node_id}'.encode())


def part_map(layout: Layout, rng: random.Random) -> PartMap:
    """Create a map of parts whose owners are not known yet."""
    return PartMap(layout, rng)
