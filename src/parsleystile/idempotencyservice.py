"""Runs claims on idempotency keys on a node's transport, table and clock."""

import asyncio
import functools
import random
import typing

import msgspec

from parsleystile import claimcopy
from parsleystile import claimhome
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
    """Lets calls with an idempotency key run at most once."""

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
        network.handle_control(claimwire.SETTLE_KIND, self._on_settle)
        network.handle_control(claimwire.COPY_KIND, self._on_copy)
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
            lambda: metrics.gauge('claims.remembered', self.home.claims),
        )

    def claim(
        self,
        organisation: ids.OrganisationId,
        route_id: ids.RouteId,
        key: str,
        root_id: ids.RootId,
        fingerprint: str,
        deadline_ms: float,
        on_claim: idempotency.OnClaim,
    ) -> None:
        """Claim a key; ``on_claim`` is called exactly once.

        Args:
            organisation: Keys of two organisations are never the same.
            route_id: Nor are keys on two routes.
            key: As the caller sent it.
            root_id: Root request that the call belongs to.
            fingerprint: Digest of the request.
            deadline_ms: When the call has surely ended.
            on_claim: Gets the decision.
        """
        now_ms = self._clock.now_ms()
        ask = idempotency.claim_ask(
            claimwire.ClaimKey(organisation, route_id, key),
            # Two calls below one root request must not pass for one.
            ids.ClaimId(f'{root_id}/{self._rng.getrandbits(64):016x}'),
            fingerprint,
            deadline_ms - now_ms,
        )
        self._metrics.incr('claims.asked')
        self._perform(self.client.claim(ask, deadline_ms, on_claim, now_ms))

    def settle(
        self,
        claim: idempotency.Claim,
        result: exchanges.Reply,
    ) -> None:
        """Tell what became of a call that was let run.

        A refusal that says "not run" frees the key; one that says
        "unknown" keeps it.
        """
        if isinstance(result, exchanges.Answer):
            result = claimwire.StoredAnswer(
                result.status, result.headers, result.body
            )
        now_ms = self._clock.now_ms()
        self._perform(self.client.settle(claim, result, now_ms))

    def claim_exchange(self, exchange: exchanges.Exchange, send: Send) -> None:
        """Claim the key of an exchange and send it, replay, or refuse."""

        def on_claim(decision: idempotency.Decision) -> None:
            match decision:
                case idempotency.Proceed(claim):
                    self._proceed(exchange, claim, send)
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
            on_claim,
        )

    @property
    def is_busy(self) -> bool:
        """Whether calls wait, so that ticks must not be far apart."""
        return bool(self.client.open_count) or self.home.is_waiting

    def tick(self, now_ms: float) -> None:
        """Do what time has made due; wanted every ``TICK_MS``."""
        self._duties.before_tick(now_ms)
        self._perform(self.home.tick(now_ms))
        self._perform(self.client.tick(now_ms))
        self._duties.after_tick(now_ms)

    async def stop(self) -> None:
        """Give up every shard; the deputies hold the claims."""
        deputies = self.home.ownership.lease.deputies
        self._perform(self.home.stop(self._clock.now_ms()))
        await self._runner.drain()
        told = [self._tell_released(deputy) for deputy in deputies]
        await asyncio.gather(*told)

    def _tell_released(self, deputy: ids.NodeId) -> asyncio.Future[None]:
        """Spare a deputy the time until it reads the table by itself."""
        heard = asyncio.get_running_loop().create_future()

        def on_reply(reply: bytes | errors.Refusal) -> None:
            if not heard.done():
                heard.set_result(None)

        address = self._duties.addresses.get(deputy)
        if address is None:
            heard.set_result(None)
        else:
            self._network.control(
                address,
                claimwire.RELEASED_KIND,
                b'',
                _RELEASED_TIMEOUT_MS,
                on_reply,
            )
        return heard

    def _on_released(self, payload: bytes, reply: Reply) -> None:
        self.home.ownership.rescan_now(self._clock.now_ms())
        reply(b'')

    def _proceed(
        self,
        exchange: exchanges.Exchange,
        claim: idempotency.Claim,
        send: Send,
    ) -> None:
        if exchange.state is not exchanges.ExchangeState.OPEN:
            gone = errors.not_run(errors.Reason.CANCELLED, 'caller left')
            self.settle(claim, gone)
            return
        exchange.on_settled(functools.partial(self.settle, claim))
        send(exchange)

    def _home_of(self, shard: int) -> ids.NodeId | None:
        owners = self.home.ownership.part_map.owners(shard)
        return next(iter(owners), None)

    def _perform(self, actions: typing.Iterable[Action]) -> None:
        for action in actions:
            match action:
                case idempotency.SendClaim():
                    self._send_claim(action)
                case idempotency.SendSettle():
                    self._send_settle(action)
                case claimcopy.SendCopy():
                    self._send_copy(action)
                case leases.RequestPromise():
                    self._duties.request_promise(action, self._handle)
                case _:
                    self._runner.submit(action, self._on_table)

    def _on_table(self, event: ownership.Event, now_ms: float) -> None:
        self._perform(self.home.handle(event, now_ms))

    def _handle(self, event: claimhome.Event) -> None:
        self._perform(self.home.handle(event, self._clock.now_ms()))

    def _send_claim(self, action: idempotency.SendClaim) -> None:
        def on_reply(reply: claimwire.ClaimReply | None) -> None:
            now_ms = self._clock.now_ms()
            if reply is None or reply.result is claimwire.ClaimResult.NOT_HOME:
                self.home.ownership.rescan_soon(now_ms)
            event = idempotency.ClaimReplied(action.serial, reply)
            self._perform(self.client.handle(event, now_ms))

        if action.to == self._node_id:
            now_ms = self._clock.now_ms()
            self._perform(self.home.on_claim(action.ask, now_ms, on_reply))
            return
        self._ask(
            action.to,
            claimwire.CLAIM_KIND,
            action.ask,
            idempotency.CLAIM_TIMEOUT_MS,
            claimwire.ClaimReply,
            on_reply,
        )

    def _send_settle(self, action: idempotency.SendSettle) -> None:
        def on_reply(reply: claimwire.SettleReply | None) -> None:
            is_noted = reply is not None and reply.is_noted
            event = idempotency.SettleReplied(action.serial, is_noted)
            now_ms = self._clock.now_ms()
            self._perform(self.client.handle(event, now_ms))

        if action.to == self._node_id:
            now_ms = self._clock.now_ms()
            on_reply(self.home.on_settle(action.settle, now_ms))
            return
        self._ask(
            action.to,
            claimwire.SETTLE_KIND,
            action.settle,
            idempotency.SETTLE_TIMEOUT_MS,
            claimwire.SettleReply,
            on_reply,
        )

    def _send_copy(self, action: claimcopy.SendCopy) -> None:
        def on_reply(reply: claimwire.CopyReply | None) -> None:
            self._handle(
                claimhome.CopyReplied(action.to, action.copy.seq, reply)
            )

        self._ask(
            action.to,
            claimwire.COPY_KIND,
            action.copy,
            claimcopy.TIMEOUT_MS,
            claimwire.CopyReply,
            on_reply,
        )

    def _ask(
        self,
        to: ids.NodeId,
        kind: str,
        message: msgspec.Struct,
        timeout_ms: float,
        reply_type: type[_T],
        on_reply: typing.Callable[[_T | None], None],
    ) -> None:
        address = self._duties.addresses.get(to)
        if address is None:
            on_reply(None)
            return

        def on_answer(answer: bytes | errors.Refusal) -> None:
            if isinstance(answer, errors.Refusal):
                on_reply(None)
            else:
                on_reply(self._decode(answer, reply_type))

        payload = msgspec.msgpack.encode(message)
        self._network.control(address, kind, payload, timeout_ms, on_answer)

    def _decode(self, payload: bytes, kind: type[_T]) -> _T | None:
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except msgspec.DecodeError:
            self._metrics.incr('claims.malformed')
            return None

    def _on_claim(self, payload: bytes, reply: Reply) -> None:
        ask = self._decode(payload, claimwire.ClaimAsk)
        if ask is None:
            reply(b'')
            return

        def respond(result: claimwire.ClaimReply) -> None:
            reply(msgspec.msgpack.encode(result))

        now_ms = self._clock.now_ms()
        self._perform(self.home.on_claim(ask, now_ms, respond))

    def _on_settle(self, payload: bytes, reply: Reply) -> None:
        settle = self._decode(payload, claimwire.Settle)
        if settle is None:
            reply(b'')
            return
        now_ms = self._clock.now_ms()
        noted = self.home.on_settle(settle, now_ms)
        self._perform(self.home.pump(now_ms))
        reply(msgspec.msgpack.encode(noted))

    def _on_copy(self, payload: bytes, reply: Reply) -> None:
        copy = self._decode(payload, claimwire.Copy)
        if copy is None:
            reply(b'')
            return
        held = self.home.on_copy(copy, self._clock.now_ms())
        reply(msgspec.msgpack.encode(held))


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
        rng: Source of epochs, nonces and jitter.
        network: Reaches homes and deputies.
        rows: The platform's table service.
        metrics: Sink of numbers.
        get_members: Returns the members known here.
        promises: Answers and asks for deputies' promises.
    """
    return IdempotencyService(
        identity, clock, rng, network, rows, metrics, get_members, promises
    )
