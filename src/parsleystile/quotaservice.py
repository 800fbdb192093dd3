"""Connects a node's quota state machine to transport, table and clock."""

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
from parsleystile import quotarequests
from parsleystile import quotawire
from parsleystile import settings as node_settings
from parsleystile import table
from parsleystile import tableio
from parsleystile import transport

TICK_MS = 20.0


class QuotaService:
    """Enforces fleet-wide rate limits on the calls that arrive here."""

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
        self._is_send_scheduled = False
        self.node = quota.quota_node(
            identity.node_id,
            identity.failure_domain,
            rng,
            get_config,
            self._schedule_send,
            clock.now_ms(),
        )
        network.handle_control(quotawire.REQUEST_KIND, self._on_grant_request)
        self._duties = ownershiptasks.ownership_tasks(
            'quota',
            quotawire.LEASE_PREFIX,
            self.node,
            clock,
            rng,
            network,
            get_members,
            promises,
            self._report_gauges,
        )

    def try_acquire(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> errors.Refusal | None:
        """Acquire one token without waiting; None if the call may run.

        ``now_ms`` is ignored and the clock read anew: a process that was
        paused must not spend tokens by an old reading.
        """
        return self.node.try_acquire(organisation, self._clock.now_ms())

    def acquire(
        self,
        organisation: ids.OrganisationId,
        on_decision: quotabucket.OnDecision,
    ) -> None:
        """Acquire one token, waiting briefly for a grant if there is none.

        ``on_decision`` is called exactly once, immediately if possible.
        """
        self.node.acquire(organisation, self._clock.now_ms(), on_decision)

    @property
    def is_busy(self) -> bool:
        """Whether calls are waiting, which requires frequent ticks."""
        return self.node.borrower.has_waiting_calls

    def tick(self, now_ms: float) -> None:
        """Do what is due; to be called every ``TICK_MS``."""
        self._duties.before_tick(now_ms)
        self._perform(self.node.tick(now_ms))
        self._duties.after_tick(now_ms)

    async def stop(self) -> None:
        """Return all grants and give up all parts; acquisitions then fail."""
        self._perform(self.node.stop(self._clock.now_ms()))
        await self._runner.drain()

    def _schedule_send(self) -> None:
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_due_requests)

    def _send_due_requests(self) -> None:
        self._is_send_scheduled = False
        self._perform(self.node.due_requests(self._clock.now_ms()))

    def _perform(self, actions: typing.Iterable[quota.Action]) -> None:
        for action in actions:
            match action:
                case quotarequests.SendGrantRequest():
                    self._send_grant_request(action)
                case leases.RequestPromise():
                    self._duties.request_promise(action, self._handle)
                case _:
                    self._runner.submit(action, self._on_table_event)

    def _on_table_event(self, event: ownership.Event, now_ms: float) -> None:
        self._perform(self.node.handle(event, now_ms))

    def _handle(self, event: quota.Event) -> None:
        self._perform(self.node.handle(event, self._clock.now_ms()))

    def _send_grant_request(
        self, action: quotarequests.SendGrantRequest
    ) -> None:
        seq = action.request.seq
        peer = self._duties.peers.get(action.to)
        if peer is None:
            self._handle(quota.GrantsReceived(action.to, seq, None))
            return

        def on_reply(reply: bytes | errors.Refusal) -> None:
            grants = self._decode_grants(reply)
            self._handle(quota.GrantsReceived(action.to, seq, grants))

        self._metrics.incr('quota.asks')
        self._network.control(
            peer,
            quotawire.REQUEST_KIND,
            msgspec.msgpack.encode(action.request),
            quotarequests.REQUEST_TIMEOUT_MS,
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

    def _on_grant_request(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            request = msgspec.msgpack.decode(
                payload, type=quotawire.GrantRequest
            )
        except msgspec.DecodeError:
            self._metrics.incr('quota.malformed')
            reply(b'')
            return
        grants = self.node.on_grant_request(request, self._clock.now_ms())
        reply(b'' if grants is None else msgspec.msgpack.encode(grants))

    def _report_gauges(self) -> None:
        lease = self.node.ownership.lease
        is_valid = lease.is_valid(self._clock.now_ms())
        self._metrics.gauge('quota.lease_valid', float(is_valid))
        borrower = self.node.borrower
        self._metrics.gauge('quota.borrowed', borrower.organisation_count)
        self._metrics.gauge('quota.lent', self.node.lender.organisation_count)


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
        rng: Random source of epochs, nonces and jitter.
        network: Transport to lenders and deputies.
        rows: Client of the platform's table service.
        metrics: Receives the metrics.
        get_config: Returns the configuration in force here.
        get_members: Returns the members known here.
        promises: Sends and answers requests for deputies' promises.
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
