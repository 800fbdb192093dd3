"""Runs a node's quota decisions on its transport, table and clock."""

import asyncio
import random
import typing

import msgspec

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import leases
from parsleystile import metrics as metric
from parsleystile import ownership
from parsleystile import ownershiptasks
from parsleystile import promiseservice
from parsleystile import quota
from parsleystile import quotabucket
from parsleystile import quotalinks
from parsleystile import quotawire
from parsleystile import settings as node_settings
from parsleystile import table
from parsleystile import tableio
from parsleystile import transport

TICK_MS = 20.0


class QuotaService:
    """Fleet-wide rate and burst for the calls that arrive at this node."""

    def __init__(
        self,
        identity: node_settings.Identity,
        clock: clocks.Clock,
        rng: random.Random,
        network: transport.Transport,
        rows: table.TableClient,
        metrics: metric.Metrics,
        get_config: quota.GetConfig,
        get_members: ownershiptasks.GetMembers,
        promises: promiseservice.PromiseService,
    ) -> None:
        self._clock = clock
        self._network = network
        self._metrics = metrics
        self._runner = tableio.table_runner(rows, clock)
        self._is_pump_due = False
        self.node = quota.quota_node(
            identity.node_id,
            identity.failure_domain,
            rng,
            get_config,
            self._pump_soon,
            clock.now_ms(),
        )
        network.handle_control(quotawire.ASK_KIND, self._on_ask)
        self._duties = ownershiptasks.ownership_tasks(
            'quota',
            quotawire.LEASE_PREFIX,
            self.node,
            clock,
            rng,
            network,
            get_members,
            promises,
            self._report,
        )

    def try_take(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> errors.Refusal | None:
        """Take one token; None if the call may run.

        The clock is read here, since a process that was paused must not
        spend by an old reading.
        """
        return self.node.try_take(organisation, self._clock.now_ms())

    def take(
        self,
        organisation: ids.OrganisationId,
        on_take: quotabucket.OnTake,
    ) -> None:
        """Take one token, waiting a little for a grant.

        ``on_take`` is called exactly once, at once where that is possible.
        """
        self.node.take(organisation, self._clock.now_ms(), on_take)

    @property
    def is_busy(self) -> bool:
        """Whether calls wait, so that ticks must not be far apart."""
        return self.node.borrower.is_waiting

    def tick(self, now_ms: float) -> None:
        """Do what time has made due; wanted every ``TICK_MS``."""
        self._duties.before_tick(now_ms)
        self._perform(self.node.tick(now_ms))
        self._duties.after_tick(now_ms)

    async def stop(self) -> None:
        """Give back and give up everything; takes no longer succeed."""
        self._perform(self.node.stop(self._clock.now_ms()))
        await self._runner.drain()

    def _pump_soon(self) -> None:
        if not self._is_pump_due:
            self._is_pump_due = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._is_pump_due = False
        self._perform(self.node.pump(self._clock.now_ms()))

    def _perform(self, actions: typing.Iterable[quota.Action]) -> None:
        for action in actions:
            match action:
                case quotalinks.SendAsk():
                    self._send_ask(action)
                case leases.RequestPromise():
                    self._duties.request_promise(action, self._handle)
                case _:
                    self._runner.submit(action, self._on_table)

    def _on_table(self, event: ownership.Event, now_ms: float) -> None:
        self._perform(self.node.handle(event, now_ms))

    def _handle(self, event: quota.Event) -> None:
        self._perform(self.node.handle(event, self._clock.now_ms()))

    def _send_ask(self, action: quotalinks.SendAsk) -> None:
        seq = action.ask.seq
        address = self._duties.addresses.get(action.to)
        if address is None:
            self._handle(quota.GrantsReceived(action.to, seq, None))
            return

        def on_reply(reply: bytes | errors.Refusal) -> None:
            grants = self._decode_grants(reply)
            self._handle(quota.GrantsReceived(action.to, seq, grants))

        self._metrics.incr('quota.asks')
        self._network.control(
            address,
            quotawire.ASK_KIND,
            msgspec.msgpack.encode(action.ask),
            quotalinks.ASK_TIMEOUT_MS,
            on_reply,
        )

    def _decode_grants(
        self, reply: bytes | errors.Refusal
    ) -> quotawire.Grants | None:
        if isinstance(reply, errors.Refusal) or not reply:
            return None
        try:
            return msgspec.msgpack.decode(reply, type=quotawire.Grants)
        except msgspec.DecodeError:
            self._metrics.incr('quota.malformed')
            return None

    def _on_ask(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            ask = msgspec.msgpack.decode(payload, type=quotawire.Ask)
        except msgspec.DecodeError:
            self._metrics.incr('quota.malformed')
            reply(b'')
            return
        grants = self.node.on_ask(ask, self._clock.now_ms())
        reply(b'' if grants is None else msgspec.msgpack.encode(grants))

    def _report(self) -> None:
        lease = self.node.ownership.lease
        is_valid = lease.is_valid(self._clock.now_ms())
        self._metrics.gauge('quota.lease_valid', float(is_valid))
        borrower = self.node.borrower
        self._metrics.gauge('quota.borrowed', borrower.organisations)
        self._metrics.gauge('quota.lent', self.node.lender.books)


def quota_service(
    identity: node_settings.Identity,
    clock: clocks.Clock,
    rng: random.Random,
    network: transport.Transport,
    rows: table.TableClient,
    metrics: metric.Metrics,
    get_config: typing.Callable[[], fleetconfig.FleetConfig],
    get_members: ownershiptasks.GetMembers,
    promises: promiseservice.PromiseService,
) -> QuotaService:
    """Create the service; the caller drives ``tick`` every ``TICK_MS``.

    Args:
        identity: This node.
        clock: This node's clock.
        rng: Source of epochs, nonces and jitter.
        network: Reaches lenders and deputies.
        rows: The platform's table service.
        metrics: Sink of numbers.
        get_config: Returns the configuration in force here.
        get_members: Returns the members known here.
        promises: Answers and asks for deputies' promises.
    """
    return QuotaService(
        identity,
        clock,
        rng,
        network,
        rows,
        metrics,
        get_config,
        get_members,
        promises,
    )
