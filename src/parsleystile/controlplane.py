"""What the nodes of a fleet share, put together for one node."""

import dataclasses
import random
import typing

import msgspec

from parsleystile import changes
from parsleystile import clock as clocks
from parsleystile import configservice
from parsleystile import configstore
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import keys
from parsleystile import keywithdrawals
from parsleystile import logevents
from parsleystile import logs
from parsleystile import memberservice
from parsleystile import membership
from parsleystile import metrics as metric
from parsleystile import table
from parsleystile import transport


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What a control plane is built on.

    Attributes:
        put_in_force: Makes the node act on a document.
        peers: Links to ask while neither table nor members are known.
    """

    machine: membership.Membership
    key_ring: keys.KeyRing
    put_in_force: configservice.ApplyConfig
    clock: clocks.Clock
    rng: random.Random
    network: transport.Transport
    rows: table.TableClient
    metrics: metric.Metrics
    peers: tuple[transport.Address, ...] = ()


class ControlPlane:
    """Members, configuration and keys of one node.

    Attributes:
        members: Gossip and joining.
        config: The document and changes of it.
    """

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps
        self._version = ids.ConfigVersion(0)
        self.members = memberservice.member_service(
            deps.machine,
            deps.clock,
            deps.rng,
            deps.network,
            deps.rows,
            deps.metrics,
            deps.peers,
        )
        self.config = configservice.config_service(
            deps.clock,
            deps.rng,
            deps.network,
            deps.rows,
            deps.metrics,
            self._put_in_force,
        )
        self._withdrawals = keywithdrawals.key_withdrawals(
            deps.clock,
            deps.rng,
            deps.key_ring,
            deps.machine,
            self.members,
            self.config,
            deps.network,
            deps.metrics,
        )
        self.members.on_newer_config = self.config.fetch

    def close(self) -> None:
        """Stop what is under way."""
        self.members.close()
        self.config.close()
        self._withdrawals.close()

    def tick(self) -> None:
        """Do what is due; to be called every ``membership.TICK_MS``."""
        now_ms = self._deps.clock.now_ms()
        self.members.tick(now_ms)
        self.config.tick(now_ms, len(self._deps.machine.live_members()))
        self._withdrawals.tick(now_ms)

    def leave(self, on_leave_done: typing.Callable[[], None]) -> None:
        """Tell the fleet that this node gets no new work."""
        self.members.leave(lambda confirmed: on_leave_done())

    async def submit(
        self, request: configstore.ChangeRequest
    ) -> configservice.ChangeResult:
        """Make a change; digests in it are fingerprints of keys."""
        request = self._with_base_version(self._with_key_digest(request))
        result = await self.config.submit(request)
        is_table_error = isinstance(result.error, errors.TableError)
        match request.change:
            case changes.WithdrawKey(key_id=key_id) if is_table_error:
                return await self._withdrawals.withdraw(
                    key_id, request.operator
                )
        return result

    def in_force(
        self, version: ids.ConfigVersion
    ) -> list[membership.DomainRollout]:
        """Return how far a version has got, and ask those that lag."""
        progress = self._deps.machine.in_force(version)
        if any(domain.waiting for domain in progress):
            self.members.handle(membership.QueryConfigVersions(version))
        return progress

    def _put_in_force(self, config: fleetconfig.FleetConfig) -> None:
        logs.log_event(
            logevents.ConfigApplied(
                version_before=self._version,
                version_after=config.version,
                active_preset=config.active_preset,
            )
        )
        self._version = config.version
        self._deps.put_in_force(config)
        self._withdrawals.on_config_applied()

    def _with_key_digest(
        self, request: configstore.ChangeRequest
    ) -> configstore.ChangeRequest:
        change = request.change
        if not isinstance(change, changes.IssueKey | changes.PutOperator):
            return request
        digest = self._deps.key_ring.digest_of(change.digest)
        return msgspec.structs.replace(
            request, change=msgspec.structs.replace(change, digest=digest)
        )

    def _with_base_version(
        self, request: configstore.ChangeRequest
    ) -> configstore.ChangeRequest:
        change = request.change
        if request.based_on is not None:
            return request
        if isinstance(change, changes.ApplyDocument):
            # Edited from this version; others' changes since are kept.
            return msgspec.structs.replace(
                request, based_on=change.document.version or None
            )
        return request


def control_plane(deps: Dependencies) -> ControlPlane:
    """Create the control plane of a node that knows nobody yet."""
    return ControlPlane(deps)
