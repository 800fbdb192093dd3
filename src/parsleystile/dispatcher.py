"""Sends a call to a target of its service and decides on retries."""

import dataclasses
import typing

from parsleystile import balancer
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile.gen import ttypes
from parsleystile import guard as guards
from parsleystile import ids
from parsleystile import members
from parsleystile import metrics as metric
from parsleystile import observer
from parsleystile import retries
from parsleystile import shedding
from parsleystile import transport
from parsleystile import wire

# The answer of a call that ends at its deadline still needs the way back.
_DEADLINE_GRACE_MS = 20.0
_SERVICE_TIME_WEIGHT = 0.1
_FIRST_SERVICE_TIME_MS = 5.0

OnLevel = typing.Callable[[float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Collaborators:
    """What a dispatcher decides and sends with."""

    own_node_id: ids.NodeId
    balancer: balancer.Balancer
    retries: retries.RetryPolicy
    shedder: shedding.Shedder
    transport: transport.Transport
    guard: guards.Guard
    clock: clocks.Clock
    wheel: deadlines.DeadlineWheel
    metrics: metric.Metrics
    observed: observer.Observer


class _Attempts:
    """The attempts of one exchange; at most one is under way."""

    __slots__ = (
        '_deadline',
        '_dispatcher',
        '_exchange',
        '_excluded',
        '_lent',
        '_may_have_run',
        '_member',
        '_on_level',
        '_pending',
        '_serial',
        '_started_ms',
        '_tries',
    )

    def __init__(
        self,
        dispatcher: 'Dispatcher',
        exchange: exchanges.Exchange,
        on_level: OnLevel | None,
    ) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._on_level = on_level
        self._excluded: frozenset[ids.NodeId] = frozenset()
        self._tries = 0
        self._serial = 0
        self._lent = 0
        self._may_have_run = False
        self._member: members.Member | None = None
        self._pending: transport.PendingCall | None = None
        self._deadline: deadlines.Deadline | None = None
        self._started_ms = 0.0

    def start(self) -> None:
        """Make the first attempt."""
        parts = self._dispatcher.parts
        context = self._exchange.context
        route = self._exchange.route
        parts.retries.first_try(context.caller_service, route.service)
        self._exchange.cancel_send = self.cancel
        self._deadline = parts.wheel.add(
            context.deadline_ms + _DEADLINE_GRACE_MS, self._expire
        )
        self._send()

    def cancel(self) -> None:
        """Give up: nobody waits for the answer."""
        self._stop()
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
        if self._member is not None:
            self._dispatcher.parts.balancer.cancelled(self._member.node_id)
            self._member = None

    def _stop(self) -> None:
        # Answers to earlier attempts are recognised by an old serial.
        self._serial += 1
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _expire(self) -> None:
        refusal = errors.unknown(errors.Reason.DEADLINE, 'no answer in time')
        if self._tries == 0 or (self._pending is None and not self._member):
            refusal = errors.not_run(
                errors.Reason.DEADLINE, 'refused until the deadline'
            )
        self.cancel()
        self._exchange.finish(self._as_told(refusal))

    def _send(self) -> None:
        parts = self._dispatcher.parts
        exchange = self._exchange
        now_ms = parts.clock.now_ms()
        context = exchange.context
        service = exchange.route.service
        member = parts.balancer.choose(
            service, self._excluded, now_ms, context.idempotent
        )
        if member is None:
            self._finish(
                errors.not_run(
                    errors.Reason.NO_TARGET, f'no target of {service}'
                )
            )
            return
        self._tries += 1
        self._serial += 1
        self._member = member
        self._started_ms = now_ms
        self._lent = exchange.ledger.lend()
        call = _call_of(exchange, self._lent, context.remaining_ms(now_ms))
        parts.balancer.sent(member.node_id)
        parts.observed.sent(context, member.node_id, self._tries, now_ms)
        serial = self._serial

        def on_answer(result: ttypes.Answer | errors.Refusal) -> None:
            if serial == self._serial:
                self._answered(result)

        pending = self._hand_over(member, call, on_answer)
        if serial == self._serial:
            self._pending = pending

    def _hand_over(
        self,
        member: members.Member,
        call: ttypes.Call,
        on_answer: transport.OnAnswer,
    ) -> transport.PendingCall | None:
        parts = self._dispatcher.parts
        if member.node_id == parts.own_node_id:
            return parts.guard.submit(call, on_answer)
        return parts.transport.call(member.link, call, on_answer)

    def _answered(self, result: ttypes.Answer | errors.Refusal) -> None:
        parts = self._dispatcher.parts
        exchange = self._exchange
        now_ms = parts.clock.now_ms()
        node_id = self._member.node_id
        self._member = None
        self._pending = None
        if isinstance(result, ttypes.Answer):
            load = result.load
            self._note_level(load.admission_level, now_ms)
            if result.outcome == errors.Outcome.ANSWERED:
                parts.balancer.answered(node_id, result.load, now_ms)
                exchange.ledger.give_back(self._lent, result.retry_unspent)
                self._dispatcher.note_service_time(
                    exchange.route.service, now_ms - self._started_ms
                )
                self._finish(
                    exchanges.Answer(
                        result.status, result.headers, result.body
                    )
                )
                return
            unspent = result.retry_unspent
            refusal = wire.refusal_from_answer(result)
        else:
            load = None
            is_unsent = result.outcome is errors.Outcome.NOT_RUN
            unspent = self._lent if is_unsent else 0
            refusal = result
        exchange.ledger.give_back(self._lent, unspent)
        parts.balancer.failed(node_id, refusal, now_ms, load)
        if refusal.outcome is errors.Outcome.UNKNOWN:
            self._may_have_run = True
        self._excluded |= {node_id}
        self._retry_or_finish(refusal, now_ms)

    def _note_level(self, level: float, now_ms: float) -> None:
        parts = self._dispatcher.parts
        parts.shedder.told(
            self._exchange.route_id,
            level,
            now_ms,
            self._exchange.context.organisation,
        )
        if self._on_level is not None:
            self._on_level(level)

    def _retry_or_finish(self, refusal: errors.Refusal, now_ms: float) -> None:
        parts = self._dispatcher.parts
        exchange = self._exchange
        context = exchange.context
        service = exchange.route.service
        failure = retries.Failure(
            refusal=refusal,
            idempotent=context.idempotent,
            attempt=self._tries,
            remaining_ms=context.remaining_ms(now_ms),
            expected_ms=self._dispatcher.service_time_ms(service),
            caller_service=context.caller_service,
            service=service,
        )
        match parts.retries.decide(failure, exchange.ledger):
            case retries.Retry(delay_ms):
                parts.metrics.incr('retries.sent')
                parts.observed.retried(
                    context, refusal.reason, exchange.ledger.unspent, now_ms
                )
                self._serial += 1
                serial = self._serial

                def again() -> None:
                    if serial == self._serial:
                        self._send()

                parts.wheel.add(now_ms + delay_ms, again)
            case retries.GiveUp(final):
                self._finish(final)

    def _finish(self, reply: exchanges.Reply) -> None:
        self._stop()
        self._exchange.finish(self._as_told(reply))

    def _as_told(self, reply: exchanges.Reply) -> exchanges.Reply:
        """Keep a refusal of the last attempt from hiding an earlier one."""
        if self._may_have_run and isinstance(reply, errors.Refusal):
            return dataclasses.replace(reply, outcome=errors.Outcome.UNKNOWN)
        return reply


class Dispatcher:
    """Sends exchanges that have passed the filters.

    Attributes:
        parts: What it decides and sends with.
    """

    def __init__(self, parts: Collaborators) -> None:
        self.parts = parts
        self._service_time_ms: dict[ids.ServiceName, float] = {}

    def dispatch(
        self, exchange: exchanges.Exchange, on_level: OnLevel | None = None
    ) -> None:
        """Send a call; the exchange is finished exactly once.

        Args:
            exchange: With context, route and ledger set.
            on_level: Told the admission level of each answer.
        """
        _Attempts(self, exchange, on_level).start()

    def service_time_ms(self, service: ids.ServiceName) -> float:
        """Return the usual time to an answer of a service."""
        return self._service_time_ms.get(service, _FIRST_SERVICE_TIME_MS)

    def note_service_time(
        self, service: ids.ServiceName, spent_ms: float
    ) -> None:
        """Learn the time that one answer of a service took."""
        usual_ms = self._service_time_ms.get(service, spent_ms)
        usual_ms += _SERVICE_TIME_WEIGHT * (spent_ms - usual_ms)
        self._service_time_ms[service] = usual_ms


def _call_of(
    exchange: exchanges.Exchange, lent: int, remaining_ms: float
) -> ttypes.Call:
    context = exchange.context
    return ttypes.Call(
        call_id=0,
        root_id=context.root_id,
        organisation=context.organisation,
        importance=context.importance,
        deadline_ms=int(remaining_ms),
        depth=context.depth,
        retry_allowance=lent,
        idempotent=context.idempotent,
        draw=context.draw,
        caller_service=context.caller_service,
        callee_service=exchange.route.service,
        route=exchange.route_id,
        method=exchange.method,
        path=exchange.path,
        headers=exchange.headers,
        body=exchange.body,
        idempotency_key=exchange.idempotency_key,
    )


def dispatcher(parts: Collaborators) -> Dispatcher:
    """Create a dispatcher."""
    return Dispatcher(parts)
