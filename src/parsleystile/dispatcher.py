"""Dispatches calls to targets of their service, with retries."""

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

# Extra time for an answer sent at the deadline to arrive.
_DEADLINE_GRACE_MS = 20.0
# Smoothing factor of the moving average, and its value before any answer.
_SERVICE_TIME_SMOOTHING = 0.1
_INITIAL_SERVICE_TIME_MS = 5.0

OnLevel = typing.Callable[[float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of a dispatcher."""

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
    """Attempts of one exchange; at most one is in flight."""

    __slots__ = (
        '_deadline',
        '_dispatcher',
        '_exchange',
        '_excluded',
        '_lent_units',
        '_may_have_run',
        '_member',
        '_on_level',
        '_pending',
        '_attempt_id',
        '_started_ms',
        '_attempt_count',
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
        self._attempt_count = 0
        self._attempt_id = 0
        self._lent_units = 0
        self._may_have_run = False
        self._member: members.Member | None = None
        self._pending: transport.PendingCall | None = None
        self._deadline: deadlines.Deadline | None = None
        self._started_ms = 0.0

    def start(self) -> None:
        """Make the first attempt."""
        deps = self._dispatcher.deps
        context = self._exchange.context
        route = self._exchange.route
        deps.retries.record_first_attempt(
            context.caller_service, route.service
        )
        self._exchange.cancel_send = self.cancel
        self._deadline = deps.wheel.add(
            context.deadline_ms + _DEADLINE_GRACE_MS, self._on_deadline
        )
        self._send()

    def cancel(self) -> None:
        """Cancel the attempt in flight and all later ones."""
        self._stop()
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
        if self._member is not None:
            self._dispatcher.deps.balancer.cancelled(self._member.node_id)
            self._member = None

    def _stop(self) -> None:
        # A late answer to an earlier attempt is ignored by its old id.
        self._attempt_id += 1
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _on_deadline(self) -> None:
        refusal = errors.unknown(errors.Reason.DEADLINE, 'no answer in time')
        if self._attempt_count == 0 or (
            self._pending is None and not self._member
        ):
            refusal = errors.not_run(
                errors.Reason.DEADLINE, 'refused until the deadline'
            )
        self.cancel()
        self._exchange.finish(self._with_final_outcome(refusal))

    def _send(self) -> None:
        deps = self._dispatcher.deps
        exchange = self._exchange
        now_ms = deps.clock.now_ms()
        context = exchange.context
        service = exchange.route.service
        member = deps.balancer.choose(
            service, self._excluded, now_ms, context.idempotent
        )
        if member is None:
            self._finish(
                errors.not_run(
                    errors.Reason.NO_TARGET,
                    f'no target of {service}',
                    errors.UNAVAILABLE_RETRY_AFTER_MS,
                )
            )
            return
        self._attempt_count += 1
        self._attempt_id += 1
        self._member = member
        self._started_ms = now_ms
        self._lent_units = exchange.ledger.lend()
        call = _make_call(
            exchange, self._lent_units, context.remaining_ms(now_ms)
        )
        deps.balancer.sent(member.node_id)
        deps.observed.sent(
            context, member.node_id, self._attempt_count, now_ms
        )
        attempt_id = self._attempt_id

        def on_answer(result: ttypes.Answer | errors.Refusal) -> None:
            if attempt_id == self._attempt_id:
                self._handle_result(result)

        pending = self._submit(member, call, on_answer)
        if attempt_id == self._attempt_id:
            self._pending = pending

    def _submit(
        self,
        member: members.Member,
        call: ttypes.Call,
        on_answer: transport.OnAnswer,
    ) -> transport.PendingCall | None:
        deps = self._dispatcher.deps
        if member.node_id == deps.own_node_id:
            return deps.guard.submit(call, on_answer)
        return deps.transport.call(member.peer, call, on_answer)

    def _handle_result(self, result: ttypes.Answer | errors.Refusal) -> None:
        deps = self._dispatcher.deps
        exchange = self._exchange
        now_ms = deps.clock.now_ms()
        node_id = self._member.node_id
        self._member = None
        self._pending = None
        if isinstance(result, ttypes.Answer):
            load = result.load
            self._report_level(load.admission_level, now_ms)
            if result.outcome == errors.Outcome.ANSWERED:
                deps.balancer.answered(node_id, result.load, now_ms)
                exchange.ledger.give_back(
                    self._lent_units, result.retry_unspent
                )
                self._dispatcher.record_service_time(
                    exchange.route.service, now_ms - self._started_ms
                )
                self._finish(
                    exchanges.Answer(
                        result.status, result.headers, bytes(result.body)
                    )
                )
                return
            unspent = result.retry_unspent
            refusal = wire.refusal_from_answer(result)
        else:
            load = None
            is_not_run = result.outcome is errors.Outcome.NOT_RUN
            unspent = self._lent_units if is_not_run else 0
            refusal = result
        exchange.ledger.give_back(self._lent_units, unspent)
        deps.balancer.failed(node_id, refusal, now_ms, load)
        if refusal.outcome is errors.Outcome.UNKNOWN:
            self._may_have_run = True
        self._excluded |= {node_id}
        self._retry_or_finish(refusal, now_ms)

    def _report_level(self, level: float, now_ms: float) -> None:
        deps = self._dispatcher.deps
        deps.shedder.record_level(
            self._exchange.route_id,
            level,
            now_ms,
            self._exchange.context.organisation,
        )
        if self._on_level is not None:
            self._on_level(level)

    def _retry_or_finish(self, refusal: errors.Refusal, now_ms: float) -> None:
        deps = self._dispatcher.deps
        exchange = self._exchange
        context = exchange.context
        service = exchange.route.service
        failure = retries.Failure(
            refusal=refusal,
            idempotent=context.idempotent,
            attempt=self._attempt_count,
            remaining_ms=context.remaining_ms(now_ms),
            expected_ms=self._dispatcher.service_time_ms(service),
            caller_service=context.caller_service,
            service=service,
        )
        match deps.retries.decide(failure, exchange.ledger):
            case retries.Retry(delay_ms):
                deps.metrics.incr('retries.sent')
                deps.observed.retried(
                    context, refusal.reason, exchange.ledger.unspent, now_ms
                )
                self._attempt_id += 1
                attempt_id = self._attempt_id

                def resend() -> None:
                    if attempt_id == self._attempt_id:
                        self._send()

                deps.wheel.add(now_ms + delay_ms, resend)
            case retries.GiveUp(final):
                self._finish(final)

    def _finish(self, reply: exchanges.Reply) -> None:
        self._stop()
        self._exchange.finish(self._with_final_outcome(reply))

    def _with_final_outcome(self, reply: exchanges.Reply) -> exchanges.Reply:
        """Return the reply with the outcome of all attempts.

        A refusal becomes ``UNKNOWN`` if an earlier attempt may have run.
        """
        if self._may_have_run and isinstance(reply, errors.Refusal):
            return dataclasses.replace(reply, outcome=errors.Outcome.UNKNOWN)
        return reply


class Dispatcher:
    """Sends exchanges that have passed the filters.

    Attributes:
        deps: Components used to choose targets, send calls and retry.
    """

    def __init__(self, deps: Dependencies) -> None:
        self.deps = deps
        self._service_time_ms: dict[ids.ServiceName, float] = {}

    def dispatch(
        self, exchange: exchanges.Exchange, on_level: OnLevel | None = None
    ) -> None:
        """Send a call and finish its exchange exactly once.

        Args:
            exchange: Its context, route and ledger must be set.
            on_level: Called with the admission level of each answer.
        """
        _Attempts(self, exchange, on_level).start()

    def service_time_ms(self, service: ids.ServiceName) -> float:
        """Return the moving average of the time to an answer, in ms."""
        return self._service_time_ms.get(service, _INITIAL_SERVICE_TIME_MS)

    def record_service_time(
        self, service: ids.ServiceName, spent_ms: float
    ) -> None:
        """Update the moving average of a service with one answer."""
        mean_ms = self._service_time_ms.get(service, spent_ms)
        mean_ms += _SERVICE_TIME_SMOOTHING * (spent_ms - mean_ms)
        self._service_time_ms[service] = mean_ms


def _make_call(
    exchange: exchanges.Exchange, lent_units: int, remaining_ms: float
) -> ttypes.Call:
    context = exchange.context
    return ttypes.Call(
        call_id=0,
        root_id=context.root_id,
        organisation=context.organisation,
        importance=context.importance,
        deadline_ms=int(remaining_ms),
        depth=context.depth,
        retry_allowance=lent_units,
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


def dispatcher(deps: Dependencies) -> Dispatcher:
    """Create a dispatcher."""
    return Dispatcher(deps)
