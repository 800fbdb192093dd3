"""What every service does around the shards that its node owns.

It takes in the members, tells other nodes who owns what, logs what becomes
of the lease and reports its numbers, each in its own time.
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
    """The decisions of a service that owns shards."""

    @property
    def ownership(self) -> ownerships.Ownership:
        """Which shards are owned here."""

    def set_members(self, members: list[member_types.Member]) -> None:
        """Take in the members known here."""


class OwnershipTasks:
    """Runs these duties for one service.

    Attributes:
        addresses: Where each member known here is reached.
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
        self.addresses: dict[ids.NodeId, transport.Address] = {}
        self._promises = promises
        promises.register(prefix, owner.ownership)

    def request_promise(
        self, action: leases.RequestPromise, on_reply: promiseservice.OnReply
    ) -> None:
        """Ask a deputy; ``on_reply`` is called if it answers."""
        self._promises.request(action, self.addresses, on_reply)

    def before_tick(self, now_ms: float) -> None:
        """Take in the members if it is time to."""
        if now_ms < self._next_members_ms:
            return
        members = self._get_members()
        # It costs time with each member: more of them, more seldom.
        self._next_members_ms = now_ms + ownerships.members_refresh_period_ms(
            members
        )
        self.addresses = {m.node_id: m.link for m in members}
        self._owner.set_members(members)

    def after_tick(self, now_ms: float) -> None:
        """Tell, log and report what the tick has changed."""
        self._owner_map.tick(self.addresses.values(), now_ms)
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
    """Create the duties; the service calls both ticks around its own.

    Args:
        name: Of the service, in its log lines.
        prefix: Of its leases' rows.
        owner: Its decisions.
        clock: This node's clock.
        rng: Source of jitter.
        network: Reaches other nodes.
        get_members: Returns the members known here.
        promises: Answers and asks for promises of deputies.
        report: Reports the service's numbers.
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
