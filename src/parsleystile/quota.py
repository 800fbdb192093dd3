"""One node's share in enforcing fleet-wide rate limits per organisation.

A state machine without I/O: events and the time go in, actions come out.
A node owns parts of quotas under its lease, lends from them to other nodes
and to itself, and borrows what the calls that arrive here need.
"""

import dataclasses
import random
import typing

from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import leases
from parsleystile import members as member_types
from parsleystile import ownership
from parsleystile import parts
from parsleystile import quotaborrower
from parsleystile import quotalender
from parsleystile import quotarequests
from parsleystile import quotawire

PRUNE_PERIOD_MS = 1_000.0

LAYOUT = parts.Layout(
    quotawire.PART_PREFIX,
    quotawire.SHARDS,
    quotawire.PARTS,
    leases.QUARANTINE_MS,
)
PLAN = ownership.OwnershipConfig(
    LAYOUT, quotawire.LEASE_PREFIX, ownership.deputies_in_domain
)

GetConfig = typing.Callable[[], fleetconfig.FleetConfig]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Event: a lender's reply to a grant request.

    Attributes:
        grants: None if no reply came.
    """

    lender: ids.NodeId
    seq: int
    grants: quotawire.Grants | None


Action = ownership.Action | quotarequests.SendGrantRequest
Event = ownership.Event | GrantsReceived


class ConfiguredQuotas:
    """Quotas of the configuration in force at this node."""

    def __init__(self, get_config: GetConfig) -> None:
        self._get_config = get_config
        self._config: fleetconfig.FleetConfig | None = None
        self._quotas: dict[ids.OrganisationId, quotalender.Quota] = {}

    def refresh(self) -> bool:
        """Load the current configuration; return whether it changed."""
        config = self._get_config()
        if config is self._config:
            return False
        self._config = config
        preset = config.presets.get(config.active_preset)
        factor = 1.0 if preset is None else preset.rate_factor
        self._quotas = {
            organisation: quotalender.Quota(
                limits.rate_per_s * factor, float(limits.burst)
            )
            for organisation, limits in config.organisations.items()
        }
        return True

    def of(self, organisation: ids.OrganisationId) -> quotalender.Quota | None:
        """Return the quota of an organisation; None if it has none."""
        return self._quotas.get(organisation)


class QuotaNode:
    """Ownership, lending and borrowing of quotas at one node.

    Attributes:
        ownership: Parts that this node owns and the lease they depend on.
        lender: Grants from the parts owned here.
        borrower: Token buckets of the calls that arrive here.
        try_acquire: Acquires a token for an organisation or refuses.
        acquire: The same, waiting briefly for a grant.
    """

    def __init__(
        self,
        node_id: ids.NodeId,
        failure_domain: ids.FailureDomainId,
        rng: random.Random,
        get_config: GetConfig,
        on_requests_due: typing.Callable[[], None],
        now_ms: float,
    ) -> None:
        self._node_id = node_id
        self._quotas = ConfiguredQuotas(get_config)
        self._quotas.refresh()
        self._rng = rng
        self._regions: dict[ids.NodeId, ids.RegionId] = {}
        self._shuffled_owners: dict[int, list[ids.NodeId]] = {}
        self._map_read_at_ms: float | None = None
        self._next_prune_ms = now_ms
        self.ownership = ownership.ownership(
            PLAN, node_id, failure_domain, rng, now_ms
        )
        self.lender = quotalender.lender(self._quotas.of)
        self.borrower = quotaborrower.borrower(
            node_id, self._quotas.of, self._lenders_of, rng, on_requests_due
        )
        self.try_acquire = self.borrower.try_acquire
        self.acquire = self.borrower.acquire

    def set_members(self, members: list[member_types.Member]) -> None:
        """Update the members that are alive."""
        self._regions = {m.node_id: m.region for m in members}
        self.ownership.set_members(members)

    def tick(self, now_ms: float) -> list[Action]:
        """Do what is due; to be called about every 20 ms."""
        if self._quotas.refresh():
            self.lender.refresh_quotas(now_ms)
        actions: list[Action] = list(self.ownership.tick(now_ms))
        self._apply_ownership_changes(now_ms)
        if now_ms >= self._next_prune_ms:
            self._next_prune_ms = now_ms + PRUNE_PERIOD_MS
            self.lender.prune(now_ms)
        self.borrower.tick(now_ms)
        return actions + self.due_requests(now_ms)

    def due_requests(
        self, now_ms: float
    ) -> list[quotarequests.SendGrantRequest]:
        """Return the grant requests due; answer those to this node."""
        to_send = []
        requests = self.borrower.due_requests(now_ms)
        while requests:
            local = [a for a in requests if a.to == self._node_id]
            to_send += [a for a in requests if a.to != self._node_id]
            for action in local:
                grants = self.on_grant_request(action.request, now_ms)
                self._on_grants(
                    self._node_id, action.request.seq, grants, now_ms
                )
            requests = self.borrower.due_requests(now_ms) if local else []
        return to_send

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Handle a result from the table, a deputy or a lender."""
        match event:
            case GrantsReceived(lender, seq, grants):
                self._on_grants(lender, seq, grants, now_ms)
                return self.due_requests(now_ms)
            case _:
                actions = list(self.ownership.handle(event, now_ms))
                self._apply_ownership_changes(now_ms)
                return actions

    def on_grant_request(
        self, request: quotawire.GrantRequest, now_ms: float
    ) -> quotawire.Grants | None:
        """Answer a borrower; return None if the request is stale."""
        lease = self.ownership.lease
        return self.lender.lend(
            request, lease.epoch, lease.valid_until_ms(), now_ms
        )

    def on_promise_ask(
        self, request: leases.PromiseRequest, now_ms: float
    ) -> leases.PromiseReply:
        """Answer a lease holder that names this node as its deputy."""
        return self.ownership.watch.promise(request, now_ms)

    def stop(self, now_ms: float) -> list[Action]:
        """Return what is borrowed and give up the parts owned here."""
        self.borrower.stop(now_ms)
        actions: list[Action] = list(self.due_requests(now_ms))
        actions += self.ownership.stop(now_ms)
        self._apply_ownership_changes(now_ms)
        return actions

    def _on_grants(
        self,
        lender: ids.NodeId,
        seq: int,
        grants: quotawire.Grants | None,
        now_ms: float,
    ) -> None:
        if grants is None:
            self.ownership.rescan_soon(now_ms)
            self.borrower.on_failed(lender, seq, now_ms)
            return
        if not grants.epoch:
            self.ownership.rescan_soon(now_ms)
        self.borrower.on_grants(lender, seq, grants, now_ms)

    def _apply_ownership_changes(self, now_ms: float) -> None:
        for change in self.ownership.drain_changes():
            match change:
                case ownership.Gained(part, row):
                    self.lender.add_part(
                        part.shard, part.part, row.is_first, now_ms
                    )
                case ownership.Lost(part):
                    self.lender.remove_part(part.shard, part.part, now_ms)
                case ownership.EpochEnded():
                    self.lender.clear()
        read_at_ms = self.ownership.part_map.read_at_ms
        if read_at_ms != self._map_read_at_ms:
            self._map_read_at_ms = read_at_ms
            self._shuffled_owners.clear()

    def _lenders_of(self, shard: int) -> list[ids.NodeId]:
        """Return the owners of a shard's parts, this region's first.

        The order is random within each group: otherwise one lender would be
        drained while another is full and loses the tokens that accrue.
        """
        owners = self._shuffled_owners.get(shard)
        if not owners:
            owners = list(self.ownership.part_map.owners(shard))
            self._shuffled_owners[shard] = owners
        self._rng.shuffle(owners)
        return sorted(owners, key=self._is_remote)

    def _is_remote(self, owner: ids.NodeId) -> bool:
        return self._regions.get(owner) != self._regions.get(self._node_id)


def quota_node(
    node_id: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    rng: random.Random,
    get_config: GetConfig,
    on_requests_due: typing.Callable[[], None],
    now_ms: float,
) -> QuotaNode:
    """Create the quota node, with nothing owned or borrowed yet.

    Args:
        node_id: This node.
        failure_domain: Failure domain of this node.
        rng: Random source of epochs, nonces and jitter.
        get_config: Returns the configuration in force here.
        on_requests_due: Called when ``due_requests`` has something to send.
        now_ms: Current time.
    """
    return QuotaNode(
        node_id, failure_domain, rng, get_config, on_requests_due, now_ms
    )
