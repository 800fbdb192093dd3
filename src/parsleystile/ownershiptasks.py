"""Periodic tasks common to all services that own parts of shards.

They refresh the members, exchange owner maps with peers, log lease changes
and report metrics, each with its own period.
"""

import random
import typing

from parsleystile import clock as clocks
from parsleystile import ids
from parsleystile import leaselog
from parsleystile import leases
from parsleystile import logs
from parsleystile import members as member_types
from parsleystile import ownermaps
from parsleystile import ownership as ownerships
from parsleystile import promiseservice
from parsleystile import transport

_REPORT_PERIOD_MS = 5_000.0

GetMembers = typing.Callable[[], list[member_types.Member]]


class OwnershipUser(typing.Protocol):
    """The state machine of a service that owns parts of shards."""

    @property
    def ownership(self) -> ownerships.Ownership:
        """Ownership state of the service's parts."""

    def set_members(self, members: list[member_types.Member]) -> None:
        """Update the members known here."""


class OwnershipTasks:
    """Runs the tasks of one service.

    Attributes:
        peers: Each known member, to connect to.
    """

    def __init__(
        self,
        name: str,
        prefix: str,
        owner: OwnershipUser,
        clock: clocks.Clock,
        rng: random.Random,
        network: transport.Transport,
        get_members: GetMembers,
        promises: promiseservice.PromiseService,
        report: typing.Callable[[], None],
    ) -> None:
        self._owner = owner
        self._get_members = get_members
        self._report = report
        self._lease_logger = leaselog.lease_logger(name, logs.log_event)
        self._owner_map = ownermaps.owner_map_sync(
            owner.ownership, network, clock, rng
        )
        self._next_members_ms = 0.0
        self._next_report_ms = 0.0
        self.peers: dict[ids.NodeId, transport.Peer] = {}
        self._promises = promises
        promises.register(prefix, owner.ownership)

    def request_promise(
        self, action: leases.RequestPromise, on_reply: promiseservice.OnReply
    ) -> None:
        """Request a promise; ``on_reply`` is called if the deputy answers."""
        self._promises.request(action, self.peers, on_reply)

    def before_tick(self, now_ms: float) -> None:
        """Refresh the members if that is due."""
        if now_ms < self._next_members_ms:
            return
        members = self._get_members()
        # A refresh costs time per member, so its period grows with them.
        self._next_members_ms = now_ms + ownerships.members_refresh_period_ms(
            members
        )
        self.peers = {m.node_id: m.peer for m in members}
        self._owner.set_members(members)

    def after_tick(self, now_ms: float) -> None:
        """Exchange owners, log lease changes and report metrics if due."""
        self._owner_map.tick(self.peers.values(), now_ms)
        self._lease_logger.observe(self._owner.ownership, now_ms)
        if now_ms >= self._next_report_ms:
            self._next_report_ms = now_ms + _REPORT_PERIOD_MS
            self._report()


def ownership_tasks(
    name: str,
    prefix: str,
    owner: OwnershipUser,
    clock: clocks.Clock,
    rng: random.Random,
    network: transport.Transport,
    get_members: GetMembers,
    promises: promiseservice.PromiseService,
    report: typing.Callable[[], None],
) -> OwnershipTasks:
    """Create the tasks of a service.

    The service calls ``before_tick`` and ``after_tick`` around its own tick.

    Args:
        name: Name of the service in log events.
        prefix: Key prefix of its leases.
        owner: State machine of the service.
        clock: This node's clock.
        rng: Source of jitter.
        network: Carries control requests.
        get_members: Returns the members known here.
        promises: Sends and answers promise requests.
        report: Reports the service's metrics.
    """
    return OwnershipTasks(
        name,
        prefix,
        owner,
        clock,
        rng,
        network,
        get_members,
        promises,
        report,
    )
