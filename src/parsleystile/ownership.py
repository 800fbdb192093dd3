"""A node's parts of something shared: its lease, its claims, its map."""

import dataclasses
import random
import typing
import zlib

from parsleystile import ids
from parsleystile import leases
from parsleystile import leasewatch
from parsleystile import members as member_types
from parsleystile import parts
from parsleystile import tableio

MIN_SCAN_PERIOD_MS = 1_500.0
MAX_SCAN_PERIOD_MS = 240_000.0
# A scan period for each member, so that the fleet's scans stay few.
SCAN_PERIOD_MS_PER_MEMBER = 40.0
DEPUTY_READ_PERIOD_MS = 2_000.0
# After a claim or a failed scan, the rows are read again soon.
RESCAN_DELAY_MS = 150.0
RESCAN_SPREAD_MS_PER_MEMBER = 1.0
SCAN_RETRY_MS = 700.0
# Taking in the members costs in proportion to their number.
MIN_MEMBERS_REFRESH_MS = 200.0
MEMBERS_REFRESH_MS_PER_MEMBER = 1.0

ChooseDeputies = typing.Callable[
    [ids.NodeId, dict[ids.NodeId, ids.FailureDomainId]],
    tuple[ids.NodeId, ...],
]
Action = leases.Action
Event = leases.Event


def members_refresh_period_ms(members: list[member_types.Member]) -> float:
    """Return how far apart a service takes in the members, in ms."""
    return max(
        MIN_MEMBERS_REFRESH_MS, MEMBERS_REFRESH_MS_PER_MEMBER * len(members)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Gained:
    """Change: a part is owned here from now on."""

    part: parts.PartId
    row: parts.PartRow


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Change: a part is not owned here any more."""

    part: parts.PartId


@dataclasses.dataclass(frozen=True, slots=True)
class EpochEnded:
    """Change: nothing is owned here, the lease was lost for good."""

    epoch: str


Change = Gained | Lost | EpochEnded


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipConfig:
    """What is owned and how.

    Attributes:
        layout: How it is cut.
        lease_prefix: Of the rows of the leases that guard it.
        choose_deputies: Picks the deputies of this node.
        has_state: See ``parts.ClaimContext``.
    """

    layout: parts.Layout
    lease_prefix: str
    choose_deputies: ChooseDeputies
    has_state: parts.HasState | None = None


class Ownership:
    """Claims and keeps parts for this node.

    Attributes:
        lease: Current lease; replaced by one of a new epoch when lost.
        part_map: Owners as last read.
        watch: Other nodes' leases as last read.
    """

    def __init__(
        self,
        config: OwnershipConfig,
        node_id: ids.NodeId,
        failure_domain: ids.FailureDomainId,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._config = config
        self._node_id = node_id
        self._failure_domain = failure_domain
        self._rng = rng
        self._domains = {node_id: failure_domain}
        self.part_map = parts.part_map(config.layout, rng)
        self.watch = leasewatch.lease_watch(
            config.lease_prefix, node_id, rng, now_ms
        )
        self.lease = leases.node_lease(config.lease_prefix, node_id, rng)
        self._owned: set[parts.PartId] = set()
        self._changes: list[Change] = []
        self._next_scan_ms = now_ms
        self._next_deputy_read_ms = now_ms
        self._is_scanning = False
        self._is_stopping = False

    @property
    def domains(self) -> dict[ids.NodeId, ids.FailureDomainId]:
        """Failure domains of the members that are alive."""
        return self._domains

    def set_members(self, members: list[member_types.Member]) -> None:
        """Take in who is alive."""
        domains = {
            m.node_id: m.failure_domain
            for m in members
            if m.state is member_types.MemberState.ALIVE
        }
        domains[self._node_id] = self._failure_domain
        if domains != self._domains:
            self._domains = domains
            deputies = self._config.choose_deputies(self._node_id, domains)
            self.lease.set_deputies(deputies)

    def drain_changes(self) -> list[Change]:
        """Return what changed since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    def tick(self, now_ms: float) -> list[Action]:
        """Keep the lease, the map and the watch up to date."""
        if self._is_stopping:
            return []
        if self.lease.is_lost:
            self._start_epoch()
        actions = self.lease.tick(now_ms)
        if not self._is_scanning and now_ms >= self._next_scan_ms:
            self._is_scanning = True
            prefixes = (self._config.layout.prefix, self._config.lease_prefix)
            actions.append(tableio.Scan(prefixes))
        if now_ms >= self._next_deputy_read_ms:
            self._next_deputy_read_ms = now_ms + DEPUTY_READ_PERIOD_MS
            if self._scan_period_ms() > 2 * DEPUTY_READ_PERIOD_MS:
                actions += [
                    tableio.Read(k) for k in self.watch.revocable_keys()
                ]
        return actions

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take in a result that concerns this lease or these parts."""
        match event:
            case tableio.ScanDone():
                return self._on_scanned(event, now_ms)
            case tableio.ReadDone():
                return self._on_read(event, now_ms)
            case tableio.SwapDone():
                return self._on_swapped(event, now_ms)
            case leases.PromiseReplied():
                return self.lease.handle(event, now_ms)
        return []

    def concerns(self, event: Event) -> bool:
        """Return whether an event is meant for this object."""
        match event:
            case tableio.ScanDone(prefixes):
                return self._config.layout.prefix in prefixes
            case tableio.ReadDone(key):
                return key.startswith(self._config.lease_prefix)
            case tableio.SwapDone(swap):
                key = swap.writes[0].key
                return key.startswith(
                    (self._config.layout.prefix, self._config.lease_prefix)
                )
            case leases.PromiseReplied(prefix):
                return prefix == self._config.lease_prefix
        return False

    def stop(self, now_ms: float) -> list[Action]:
        """Give up everything by one write."""
        self._is_stopping = True
        epoch = self.lease.epoch
        actions = self.lease.release(now_ms)
        self._end_epoch(epoch)
        return actions

    def rescan_soon(self, now_ms: float) -> None:
        """Read the map again soon, since it seems out of date."""
        # Many nodes notice at once; their scans are spread.
        spread_ms = RESCAN_SPREAD_MS_PER_MEMBER * len(self._domains)
        soon_ms = now_ms + RESCAN_DELAY_MS + spread_ms * self._rng.random()
        self._next_scan_ms = min(self._next_scan_ms, soon_ms)

    def rescan_now(self, now_ms: float) -> None:
        """Read the map at the next tick: owners are known to change."""
        self._next_scan_ms = now_ms

    def _start_epoch(self) -> None:
        was_wanted = self.lease.is_wanted
        self._end_epoch(self.lease.epoch)
        self.lease = leases.node_lease(
            self._config.lease_prefix, self._node_id, self._rng
        )
        self.lease.is_wanted = was_wanted
        deputies = self._config.choose_deputies(self._node_id, self._domains)
        self.lease.set_deputies(deputies)

    def _end_epoch(self, epoch: str) -> None:
        self._owned.clear()
        self._changes.append(EpochEnded(epoch))

    def _on_scanned(
        self, event: tableio.ScanDone, now_ms: float
    ) -> list[Action]:
        self._is_scanning = False
        if event.rows is None:
            self._next_scan_ms = now_ms + self._jitter(SCAN_RETRY_MS)
            return []
        self._next_scan_ms = now_ms + self._jitter(self._scan_period_ms())
        part_rows, lease_rows = event.rows
        self.part_map.observe(part_rows, now_ms)
        self.watch.observe(lease_rows, now_ms)
        if self._is_stopping:
            return []
        self._update_owned()
        return self._decide(now_ms)

    def _decide(self, now_ms: float) -> list[Action]:
        is_valid = self.lease.is_valid(now_ms) and not self.lease.is_lost
        context = parts.ClaimContext(
            self._node_id,
            self._failure_domain,
            self.lease.epoch if is_valid else None,
            self._domains,
            self.watch,
            self._config.has_state,
        )
        actions: list[Action] = list(self.watch.revoke_lapsed(now_ms))
        for part in self.part_map.releases(context, now_ms):
            self._drop_part(part)
            actions.append(self.part_map.release_swap(part))
        for part in self.part_map.pending_releases(context):
            actions.append(self.part_map.release_swap(part))
        if not self.lease.is_wanted:
            self.lease.is_wanted = self.part_map.has_claimable_parts(
                context, now_ms
            )
            if self.lease.is_wanted:
                self._next_scan_ms = now_ms + RESCAN_DELAY_MS
        return actions + self.part_map.claims(context, now_ms)

    def _update_owned(self) -> None:
        owned = self.part_map.owned(self._node_id, self.lease.epoch)
        for part in sorted(self._owned - owned.keys()):
            self._drop_part(part)
        for part in sorted(owned.keys() - self._owned):
            self._owned.add(part)
            self._changes.append(Gained(part, owned[part]))

    def _drop_part(self, part: parts.PartId) -> None:
        self._owned.discard(part)
        self._changes.append(Lost(part))

    def _on_read(self, event: tableio.ReadDone, now_ms: float) -> list[Action]:
        node_id = event.key.removeprefix(self._config.lease_prefix)
        if node_id == self._node_id:
            return self.lease.handle(event, now_ms)
        if event.row is not None:
            self.watch.observe_one(event.row, now_ms)
            return list(self.watch.revoke_lapsed(now_ms))
        return []

    def _on_swapped(
        self, event: tableio.SwapDone, now_ms: float
    ) -> list[Action]:
        key = event.swap.writes[0].key
        if key.startswith(self._config.layout.prefix):
            self.part_map.on_swapped(event)
            self.rescan_soon(now_ms)
            return []
        if key == self._config.lease_prefix + self._node_id:
            had_lease = self.lease.valid_until_ms() > 0
            self.lease.handle(event, now_ms)
            if had_lease:
                return []
        self.watch.on_swapped(event)
        self.rescan_soon(now_ms)
        return []

    def _scan_period_ms(self) -> float:
        period_ms = SCAN_PERIOD_MS_PER_MEMBER * len(self._domains)
        return min(max(period_ms, MIN_SCAN_PERIOD_MS), MAX_SCAN_PERIOD_MS)

    def _jitter(self, period_ms: float) -> float:
        return period_ms * self._rng.uniform(0.75, 1.25)


def _rank_by_hash(
    node_id: ids.NodeId, candidates: list[ids.NodeId]
) -> list[ids.NodeId]:
    return sorted(
        candidates, key=lambda n: zlib.crc32(f'{node_id}>{n}'.encode())
    )


def deputies_in_domain(
    node_id: ids.NodeId, domains: dict[ids.NodeId, ids.FailureDomainId]
) -> tuple[ids.NodeId, ...]:
    """Choose two of the own failure domain, else one of another."""
    local_domain = domains[node_id]
    others = [n for n in domains if n != node_id]
    same_domain = _rank_by_hash(
        node_id, [n for n in others if domains[n] == local_domain]
    )
    return tuple(same_domain[:2]) or tuple(_rank_by_hash(node_id, others)[:1])


def deputies_outside_domain(
    node_id: ids.NodeId, domains: dict[ids.NodeId, ids.FailureDomainId]
) -> tuple[ids.NodeId, ...]:
    """Choose one of another failure domain, else one of the own."""
    local_domain = domains[node_id]
    others = [n for n in domains if n != node_id]
    other_domains = _rank_by_hash(
        node_id, [n for n in others if domains[n] != local_domain]
    )
    return tuple(other_domains[:1]) or tuple(
        _rank_by_hash(node_id, others)[:1]
    )


def ownership(
    config: OwnershipConfig,
    node_id: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    rng: random.Random,
    now_ms: float,
) -> Ownership:
    """Create the ownership of a node that owns nothing yet."""
    return Ownership(config, node_id, failure_domain, rng, now_ms)
