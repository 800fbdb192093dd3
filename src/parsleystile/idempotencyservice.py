"""Connects idempotency-key claims to transport, table and clock."""

import asyncio
import functools
import random
import typing

import msgspec

from parsleystile import claimhome
from parsleystile import claimreplication
from parsleystile import claimwire
from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import idempotency
from parsleystile import ids
from parsleystile import leases
from parsleystile import metrics as metric
from parsleystile import ownership
from parsleystile import ownershiptasks
from parsleystile import promiseservice
from parsleystile import settings as node_settings
from parsleystile import table
from parsleystile import tableio
from parsleystile import transport

TICK_MS = 20.0
_RELEASED_TIMEOUT_MS = 300.0

_T = typing.TypeVar('_T')
Send = typing.Callable[[exchanges.Exchange], None]
Reply = typing.Callable[[bytes], None]
Action = claimhome.Action | idempotency.Action


class IdempotencyService:
    """Runs each call with an idempotency key at most once."""

    def __init__(
        self,
        identity: node_settings.Identity,
        clock: clocks.Clock,
        rng: random.Random,
        network: transport.Transport,
        rows: table.TableClient,
        metrics: metric.Metrics,
        get_members: ownershiptasks.GetMembers,
        promises: promiseservice.PromiseService,
    ) -> None:
        self._node_id = identity.node_id
        self._clock = clock
        self._network = network
        self._rng = rng
        self._metrics = metrics
        self._runner = tableio.table_runner(rows, clock)
        self.home = claimhome.claim_home(
            identity.node_id, identity.failure_domain, rng, clock.now_ms()
        )
        self.client = idempotency.claim_client(self._home_of, rng)
        network.handle_control(claimwire.CLAIM_KIND, self._on_claim)
        network.handle_control(claimwire.OUTCOME_KIND, self._on_outcome)
        network.handle_control(
            claimwire.REPLICA_UPDATE_KIND, self._on_replica_update
        )
        network.handle_control(claimwire.RELEASED_KIND, self._on_released)
        self._duties = ownershiptasks.ownership_tasks(
            'claims',
            claimwire.LEASE_PREFIX,
            self.home,
            clock,
            rng,
            network,
            get_members,
            promises,
            lambda: metrics.gauge('claims.remembered', self.home.claim_count),
        )

    def claim(
        self,
        organisation: ids.OrganisationId,
        route_id: ids.RouteId,
        key: str,
        root_id: ids.RootId,
        fingerprint: str,
        deadline_ms: float,
        on_decision: idempotency.OnDecision,
    ) -> None:
        """Claim a key; ``on_decision`` is called exactly once.

        Args:
            organisation: Organisation of the caller; each has its own keys.
            route_id: Route of the call; each has its own keys.
            key: The key as the caller sent it.
            root_id: Root request that the call belongs to.
            fingerprint: Digest of the request.
            deadline_ms: Time at which the call has certainly ended.
            on_decision: Gets the decision.
        """
        now_ms = self._clock.now_ms()
        request = idempotency.claim_request(
            claimwire.ClaimKey(organisation, route_id, key),
            # Two calls of one root request need different claim ids.
            ids.ClaimId(f'{root_id}/{self._rng.getrandbits(64):016x}'),
            fingerprint,
            deadline_ms - now_ms,
        )
        self._metrics.incr('claims.asked')
        self._perform(
            self.client.claim(request, deadline_ms, on_decision, now_ms)
        )

    def report_outcome(
        self,
        claim: idempotency.Claim,
        result: exchanges.Reply,
    ) -> None:
        """Report the outcome of a call that was permitted to run.

        A refusal with the outcome "not run" frees the key; one with the
        outcome "unknown" keeps it claimed.
        """
        if isinstance(result, exchanges.Answer):
            result = claimwire.StoredAnswer(
                result.status, result.headers, result.body
            )
        now_ms = self._clock.now_ms()
        self._perform(self.client.report_outcome(claim, result, now_ms))

    def claim_exchange(self, exchange: exchanges.Exchange, send: Send) -> None:
        """Claim the key of an exchange, then send, replay or refuse it."""

        def on_decision(decision: idempotency.Decision) -> None:
            match decision:
                case idempotency.Proceed(claim):
                    self._run_exchange(exchange, claim, send)
                case idempotency.Replay(answer):
                    self._metrics.incr('claims.replayed')
                    exchange.finish(
                        exchanges.Answer(
                            answer.status, answer.headers, answer.body
                        )
                    )
                case idempotency.Refused(refusal):
                    name = refusal.reason.name.lower()
                    self._metrics.incr(f'claims.refused.{name}')
                    exchange.finish(refusal)

        context = exchange.context
        self.claim(
            exchange.organisation,
            exchange.route_id,
            exchange.idempotency_key,
            context.root_id,
            idempotency.fingerprint_of(
                exchange.method, exchange.path, exchange.body
            ),
            context.deadline_ms,
            on_decision,
        )

    @property
    def is_busy(self) -> bool:
        """Whether calls are waiting, which requires frequent ticks."""
        return bool(self.client.pending_count) or self.home.has_pending_claims

    def tick(self, now_ms: float) -> None:
        """Do what is due; to be called every ``TICK_MS``."""
        self._duties.before_tick(now_ms)
        self._perform(self.home.tick(now_ms))
        self._perform(self.client.tick(now_ms))
        self._duties.after_tick(now_ms)

    async def stop(self) -> None:
        """Give up all shards and notify the deputies, who hold the claims."""
        deputies = self.home.ownership.lease.deputies
        self._perform(self.home.stop(self._clock.now_ms()))
        await self._runner.drain()
        notifications = [self._notify_released(deputy) for deputy in deputies]
        await asyncio.gather(*notifications)

    def _notify_released(self, deputy: ids.NodeId) -> asyncio.Future[None]:
        """Make a deputy read the table now instead of at its next scan."""
        notified = asyncio.get_running_loop().create_future()

        def on_reply(reply: bytes | errors.Refusal) -> None:
            if not notified.done():
                notified.set_result(None)

        peer = self._duties.peers.get(deputy)
        if peer is None:
            notified.set_result(None)
        else:
            self._network.control(
                peer,
                claimwire.RELEASED_KIND,
                b'',
                _RELEASED_TIMEOUT_MS,
                on_reply,
            )
        return notified

    def _on_released(self, payload: bytes, reply: Reply) -> None:
        self.home.ownership.rescan_now(self._clock.now_ms())
        reply(b'')

    def _run_exchange(
        self,
        exchange: exchanges.Exchange,
        claim: idempotency.Claim,
        send: Send,
    ) -> None:
        if exchange.state is not exchanges.ExchangeState.OPEN:
            cancelled = errors.not_run(errors.Reason.CANCELLED, 'caller left')
            self.report_outcome(claim, cancelled)
            return
        exchange.on_settled(functools.partial(self.report_outcome, claim))
        send(exchange)

    def _home_of(self, shard: int) -> ids.NodeId | None:
        owners = self.home.ownership.part_map.owners(shard)
        return next(iter(owners), None)

    def _perform(self, actions: typing.Iterable[Action]) -> None:
        for action in actions:
            match action:
                case idempotency.SendClaim():
                    self._send_claim(action)
                case idempotency.SendOutcome():
                    self._send_outcome(action)
                case claimreplication.SendReplicaUpdate():
                    self._send_replica_update(action)
                case leases.RequestPromise():
                    self._duties.request_promise(action, self._handle)
                case _:
                    self._runner.submit(action, self._on_table_event)

    def _on_table_event(self, event: ownership.Event, now_ms: float) -> None:
        self._perform(self.home.handle(event, now_ms))

    def _handle(self, event: claimhome.Event) -> None:
        self._perform(self.home.handle(event, self._clock.now_ms()))

    def _send_claim(self, action: idempotency.SendClaim) -> None:
        def on_reply(reply: claimwire.ClaimReply | None) -> None:
            now_ms = self._clock.now_ms()
            if reply is None or reply.result is claimwire.ClaimResult.NOT_HOME:
                self.home.ownership.rescan_soon(now_ms)
            event = idempotency.ClaimReplied(action.message_id, reply)
            self._perform(self.client.handle(event, now_ms))

        if action.to == self._node_id:
            now_ms = self._clock.now_ms()
            self._perform(self.home.on_claim(action.request, now_ms, on_reply))
            return
        self._send_request(
            action.to,
            claimwire.CLAIM_KIND,
            action.request,
            idempotency.CLAIM_TIMEOUT_MS,
            claimwire.ClaimReply,
            on_reply,
        )

    def _send_outcome(self, action: idempotency.SendOutcome) -> None:
        def on_reply(reply: claimwire.OutcomeReportReply | None) -> None:
            is_recorded = reply is not None and reply.is_recorded
            event = idempotency.OutcomeReplied(action.message_id, is_recorded)
            now_ms = self._clock.now_ms()
            self._perform(self.client.handle(event, now_ms))

        if action.to == self._node_id:
            now_ms = self._clock.now_ms()
            on_reply(self.home.on_outcome(action.outcome, now_ms))
            return
        self._send_request(
            action.to,
            claimwire.OUTCOME_KIND,
            action.outcome,
            idempotency.OUTCOME_TIMEOUT_MS,
            claimwire.OutcomeReportReply,
            on_reply,
        )

    def _send_replica_update(
        self, action: claimreplication.SendReplicaUpdate
    ) -> None:
        def on_reply(reply: claimwire.ReplicaUpdateReply | None) -> None:
            self._handle(
                claimhome.ReplicaUpdateReplied(
                    action.to, action.update.seq, reply
                )
            )

        self._send_request(
            action.to,
            claimwire.REPLICA_UPDATE_KIND,
            action.update,
            claimreplication.UPDATE_TIMEOUT_MS,
            claimwire.ReplicaUpdateReply,
            on_reply,
        )

    def _send_request(
        self,
        to: ids.NodeId,
        kind: str,
        message: msgspec.Struct,
        timeout_ms: float,
        reply_type: type[_T],
        on_reply: typing.Callable[[_T | None], None],
    ) -> None:
        peer = self._duties.peers.get(to)
        if peer is None:
            on_reply(None)
            return

        def on_answer(answer: bytes | errors.Refusal) -> None:
            if isinstance(answer, errors.Refusal):
                on_reply(None)
            else:
                on_reply(self._decode(answer, reply_type))

        payload = msgspec.msgpack.encode(message)
        self._network.control(peer, kind, payload, timeout_ms, on_answer)

    def _decode(self, payload: bytes, kind: type[_T]) -> _T | None:
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except msgspec.DecodeError:
            self._metrics.incr('claims.malformed')
            return None

    def _on_claim(self, payload: bytes, reply: Reply) -> None:
        request = self._decode(payload, claimwire.ClaimRequest)
        if request is None:
            reply(b'')
            return

        def respond(result: claimwire.ClaimReply) -> None:
            reply(msgspec.msgpack.encode(result))

        now_ms = self._clock.now_ms()
        self._perform(self.home.on_claim(request, now_ms, respond))

    def _on_outcome(self, payload: bytes, reply: Reply) -> None:
        outcome = self._decode(payload, claimwire.OutcomeReport)
        if outcome is None:
            reply(b'')
            return
        now_ms = self._clock.now_ms()
        outcome_reply = self.home.on_outcome(outcome, now_ms)
        self._perform(self.home.due_updates(now_ms))
        reply(msgspec.msgpack.encode(outcome_reply))

    def _on_replica_update(self, payload: bytes, reply: Reply) -> None:
        update = self._decode(payload, claimwire.ReplicaUpdate)
        if update is None:
            reply(b'')
            return
        update_reply = self.home.on_replica_update(
            update, self._clock.now_ms()
        )
        reply(msgspec.msgpack.encode(update_reply))


def idempotency_service(
    identity: node_settings.Identity,
    clock: clocks.Clock,
    rng: random.Random,
    network: transport.Transport,
    rows: table.TableClient,
    metrics: metric.Metrics,
    get_members: ownershiptasks.GetMembers,
    promises: promiseservice.PromiseService,
) -> IdempotencyService:
    """Create the service; the caller drives ``tick`` every ``TICK_MS``.

    Args:
        identity: This node.
        clock: This node's clock.
        rng: Random source of epochs, nonces and jitter.
        network: Transport to homes and deputies.
        rows: Client of the platform's table service.
        metrics: Receives the metrics.
        get_members: Returns the members known here.
        promises: Sends and answers requests for deputies' promises.
    """
    return IdempotencyService(
        identity, clock, rng, network, rows, metrics, get_members, promises
    )
