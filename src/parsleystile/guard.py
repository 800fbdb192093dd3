"""Guard of the target beside this node; every call to it passes here."""

import itertools
import typing

from parsleystile import admission
from parsleystile import clock as clocks
from parsleystile import context
from parsleystile import deadlines
from parsleystile import errors
from parsleystile import exchange
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile import inflight
from parsleystile import metrics as metric
from parsleystile import observer
from parsleystile import targetanswer
from parsleystile import targetclient
from parsleystile import targetfault
from parsleystile import transport
from parsleystile import wire

_TARGET_HOST = '127.0.0.1'

OnAnswer = typing.Callable[[ttypes.Answer], None]


class _GuardedCall(transport.PendingCall):
    """A call that has arrived at the guard and is not answered yet."""

    __slots__ = ('call', 'context', 'guard', 'key', 'on_answer', 'running')

    def __init__(
        self,
        guard: 'Guard',
        key: int,
        call: ttypes.Call,
        call_context: context.CallContext,
        on_answer: OnAnswer,
    ) -> None:
        self.guard = guard
        self.key = key
        self.call = call
        self.context = call_context
        self.on_answer = on_answer
        self.running: inflight.CallInFlight | None = None

    def cancel(self) -> None:
        self.guard.cancel(self)


class Guard:
    """Admits calls to the target, sends them and returns the answers.

    Args:
        queue: Admission queue of the target.
        calls: Registry of the calls at the target.
        client: Sends requests to the target.
        clock: Clock of this node.
        wheel: Calls back when the queue needs a tick.
        metrics: Counters of refused and cancelled calls.
        observed: Records the events of calls.
        weight_of: Returns the fair-sharing weight of an organisation.
    """

    def __init__(
        self,
        queue: admission.AdmissionQueue,
        calls: inflight.CallsInFlight,
        client: targetclient.TargetCaller,
        clock: clocks.Clock,
        wheel: deadlines.DeadlineWheel,
        metrics: metric.Metrics,
        observed: observer.Observer,
        weight_of: typing.Callable[[ids.OrganisationId], float],
    ) -> None:
        self._queue = queue
        self._calls = calls
        self._client = client
        self._clock = clock
        self._wheel = wheel
        self._metrics = metrics
        self._observed = observed
        self._weight_of = weight_of
        self._keys = itertools.count(1)
        self._pending: dict[int, _GuardedCall] = {}
        self._base_url = ''
        self._service = ids.ServiceName('')
        self._tick_due_ms = float('inf')
        self._refuse_reason: errors.Reason | None = None
        self.on_unreachable: typing.Callable[[], None] = lambda: None

    def target_up(
        self, service: ids.ServiceName, port: int, slots: int
    ) -> None:
        """Accept calls for a target that announced itself; it starts cold."""
        self._service = service
        self.target_id = ids.TargetId(f'{service}:{port}')
        self._base_url = f'http://{_TARGET_HOST}:{port}'
        self._handle(admission.Announce(slots, service))

    def target_down(self) -> None:
        """Refuse calls: the target is gone."""
        self._service = ids.ServiceName('')
        self._base_url = ''
        self._handle(admission.Announce(0))

    def drain(self) -> None:
        """Refuse new calls; calls in flight are completed."""
        self._handle(admission.Drain())

    def refuse_new(self, reason: errors.Reason | None) -> None:
        """Refuse all new calls for ``reason``; None accepts calls again."""
        self._refuse_reason = reason

    def set_level_cap(self, level: float) -> None:
        """Set the upper bound of the admission level, from the preset."""
        self._handle(admission.Level(level))

    @property
    def service(self) -> ids.ServiceName:
        """Service of the target; empty while there is none."""
        return self._service

    @property
    def in_flight(self) -> int:
        """Number of calls that are queued or running."""
        return len(self._pending)

    def load(
        self,
        subtree_level: float = context.RANK_LIMIT,
        organisation: ids.OrganisationId | None = None,
    ) -> ttypes.Load:
        """Return the load to report with an answer to an organisation."""
        load = self._queue.load(self._clock.now_ms(), organisation)
        return ttypes.Load(
            load.in_flight,
            load.limit,
            load.queued,
            min(load.admission_level, subtree_level),
        )

    def submit(
        self, call: ttypes.Call, on_answer: OnAnswer
    ) -> transport.PendingCall | None:
        """Submit a call; ``on_answer`` is called at most once.

        It is called exactly once unless the call is cancelled.

        Returns:
            A handle that cancels the call; None if a check refuses it.
        """
        refusal = self._validate(call)
        if refusal is not None:
            on_answer(self._make_refusal_answer(call, refusal))
            return None
        now_ms = self._clock.now_ms()
        call_context = _context_of(call, now_ms)
        guarded = _GuardedCall(
            self, next(self._keys), call, call_context, on_answer
        )
        self._pending[guarded.key] = guarded
        arrive = admission.Arrive(
            guarded.key,
            call_context.organisation,
            call_context.rank,
            call_context.deadline_ms,
            self._weight_of(call_context.organisation),
            call.route,
            service=ids.ServiceName(call.callee_service),
        )
        self._handle(arrive)
        return guarded

    def _validate(self, call: ttypes.Call) -> errors.Refusal | None:
        if self._refuse_reason is not None:
            return errors.not_run(
                self._refuse_reason,
                'no new work here',
                errors.UNAVAILABLE_RETRY_AFTER_MS,
            )
        if not self._base_url or call.callee_service != self._service:
            return errors.not_run(
                errors.Reason.NO_TARGET,
                f'no target of {call.callee_service} here',
                errors.UNAVAILABLE_RETRY_AFTER_MS,
            )
        if call.depth > context.MAX_DEPTH:
            return errors.not_run(
                errors.Reason.TOO_DEEP, f'depth {call.depth}'
            )
        return None

    def cancel(self, guarded: _GuardedCall) -> None:
        """Cancel a call; its ``on_answer`` is not called any more."""
        if self._pending.pop(guarded.key, None) is None:
            return
        self._metrics.incr('guard.cancelled')
        self._observed.cancelled(guarded.context)
        running = guarded.running
        if running is not None:
            if running.transfer is not None:
                running.transfer.cancel()
            self._calls.end(running)
            service_ms = self._clock.now_ms() - running.started_ms
            self._handle(admission.Cancel(guarded.key))
            # Targets support cancellation, so the slot is free at once.
            self._handle(admission.Complete(guarded.key, True, service_ms))
        else:
            self._handle(admission.Cancel(guarded.key))

    def _handle(self, event: admission.Event) -> None:
        now_ms = self._clock.now_ms()
        for action in self._queue.handle(event, now_ms):
            match action:
                case admission.Start(call_key):
                    self._start_or_release(call_key)
                case admission.Refuse(call_key, refusal):
                    guarded = self._pending.pop(call_key, None)
                    if guarded is not None:
                        self._refuse(guarded, refusal)
        self._schedule()

    def _schedule(self) -> None:
        due_ms = self._queue.next_tick_ms
        if due_ms < self._tick_due_ms:
            self._tick_due_ms = due_ms
            self._wheel.add(due_ms, self._tick)

    def _tick(self) -> None:
        self._tick_due_ms = float('inf')
        self._handle(admission.Tick())

    def _start_or_release(self, call_key: admission.CallKey) -> None:
        guarded = self._pending.get(call_key)
        if guarded is not None:
            self._start(guarded)
            return
        # The call was cancelled while an earlier action of the same batch was
        # carried out, but it occupies a slot.
        self._handle(admission.Complete(call_key, True, 0.0))

    def _start(self, guarded: _GuardedCall) -> None:
        now_ms = self._clock.now_ms()
        running = self._calls.start(guarded.context, self._service, now_ms)
        guarded.running = running
        target_id = self.target_id
        load = self._queue.load(now_ms)
        self._observed.target_called(
            guarded.context,
            target_id,
            running.token,
            (load.in_flight, load.limit),
            now_ms,
        )
        call = guarded.call
        remaining_ms = guarded.context.remaining_ms(now_ms)
        headers = [
            *call.headers,
            exchange.CONTEXT_HEADER,
            running.token,
            exchange.TIMEOUT_HEADER,
            str(int(remaining_ms)),
        ]
        request = targetclient.TargetRequest(
            call.method,
            self._base_url + call.path,
            headers,
            # A large one comes as the buffer in which it was received.
            bytes(call.body),
            remaining_ms,
        )

        def on_answer(
            result: targetanswer.TargetAnswer | errors.Refusal,
        ) -> None:
            self._finish(guarded, running, target_id, result)

        running.transfer = self._client.send(request, on_answer)

    def _refuse(self, guarded: _GuardedCall, refusal: errors.Refusal) -> None:
        self._metrics.incr(f'guard.refused.{refusal.reason.name.lower()}')
        self._observed.guard_refused(
            guarded.context, self._service, refusal, self._clock.now_ms()
        )
        guarded.on_answer(self._make_refusal_answer(guarded.call, refusal))

    def _make_refusal_answer(
        self, call: ttypes.Call, refusal: errors.Refusal
    ) -> ttypes.Answer:
        return wire.answer_from_refusal(
            call.call_id,
            refusal,
            call.retry_allowance,
            self.load(organisation=ids.OrganisationId(call.organisation)),
        )

    def _finish(
        self,
        guarded: _GuardedCall,
        running: inflight.CallInFlight,
        target_id: ids.TargetId,
        result: targetanswer.TargetAnswer | errors.Refusal,
    ) -> None:
        self._pending.pop(guarded.key, None)
        now_ms = self._clock.now_ms()
        # Read before the call ends, which drops outstanding child calls.
        child_ms = running.child_ms(now_ms)
        self._calls.end(running)
        is_ok = not targetfault.is_fault(
            result, running.child_refused, child_ms
        )
        service_ms = now_ms - running.started_ms
        self._handle(
            admission.Complete(guarded.key, is_ok, service_ms, child_ms)
        )
        load = self.load(running.subtree_level, guarded.context.organisation)
        match result:
            case errors.Refusal():
                # A target that replaced it may be reachable.
                is_current = target_id == self.target_id
                if result.reason is errors.Reason.UNREACHABLE and is_current:
                    self.on_unreachable()
                answer = wire.answer_from_refusal(
                    guarded.call.call_id, result, running.ledger.unspent, load
                )
            case targetanswer.TargetAnswer():
                answer = ttypes.Answer(
                    call_id=guarded.call.call_id,
                    outcome=errors.Outcome.ANSWERED,
                    status=result.status,
                    headers=exchange.answer_headers(result.headers),
                    body=result.body,
                    reason=errors.Reason.NONE,
                    detail='',
                    retry_after_ms=0,
                    retry_unspent=running.ledger.unspent,
                    load=load,
                    is_final=False,
                )
        guarded.on_answer(answer)


def _context_of(call: ttypes.Call, now_ms: float) -> context.CallContext:
    return context.CallContext(
        root_id=ids.RootId(call.root_id),
        organisation=ids.OrganisationId(call.organisation),
        importance=context.Importance(call.importance),
        draw=call.draw,
        deadline_ms=now_ms + call.deadline_ms,
        depth=call.depth,
        retry_allowance=call.retry_allowance,
        idempotent=call.idempotent,
        caller_service=ids.ServiceName(call.caller_service),
    )


def guard(
    queue: admission.AdmissionQueue,
    calls: inflight.CallsInFlight,
    client: targetclient.TargetCaller,
    clock: clocks.Clock,
    wheel: deadlines.DeadlineWheel,
    metrics: metric.Metrics,
    observed: observer.Observer,
    weight_of: typing.Callable[[ids.OrganisationId], float],
) -> Guard:
    """Create a guard without a target."""
    return Guard(
        queue, calls, client, clock, wheel, metrics, observed, weight_of
    )
