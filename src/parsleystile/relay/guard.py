"""The only way in to the target beside this node.

What a single guard can know exactly is kept here: which incarnation of the
target is expected, whether it leaves, its slots, its cold rate, whether its
failure domain is out, and how long its callers still wait.
"""

import dataclasses
import itertools
import typing

from parsleystile import admission
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile.relay import declaredlimit
from parsleystile.relay import headernames
from parsleystile.relay import httpclient
from parsleystile.relay import telemetry
from parsleystile import targetanswer
from parsleystile import transport as transports
from parsleystile import wire

# Depth of a request from outside; calls of targets lie deeper. They can't be
# traced to the request above them, so they are never shed by level: what
# belongs to an admitted request is finished.
ROOT_DEPTH = 1
CHILD_DEPTH = 2
# A target that lost connections is taken as cold until it reports again, for
# so long at most.
_SUSPECT_MS = 3_000.0
# A target's own word that the deadline passed comes within this time.
_OVERDUE_MS = 250.0
_REFUSED_STATUS = frozenset({400, 421, 429, 503})
_MISDIRECTED = 421

OnAnswer = typing.Callable[[ttypes.Answer], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The target beside this node as it last reported itself.

    Attributes:
        target_id: Of this incarnation.
        cold_until_ms: On the clock of this node.
        cold_per_s: What it bears while cold.
    """

    target_id: ids.TargetId
    service: ids.ServiceName
    slots: int
    cold_until_ms: float
    cold_per_s: float


class _Running(transports.PendingCall):
    """A call between its arrival here and its answer."""

    __slots__ = (
        'call',
        'deadline_ms',
        'guard',
        'key',
        'on_answer',
        'pending',
        'started_ms',
        'timer',
    )

    def __init__(
        self,
        guard: 'Guard',
        key: int,
        call: ttypes.Call,
        deadline_ms: float,
        on_answer: OnAnswer,
    ) -> None:
        self.guard = guard
        self.key = key
        self.call = call
        self.deadline_ms = deadline_ms
        self.on_answer = on_answer
        self.pending: transports.PendingCall | None = None
        self.started_ms = 0.0
        self.timer: deadlines.Deadline | None = None

    def cancel(self) -> None:
        self.guard.cancel(self)


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What a gate works with.

    Attributes:
        child_level: Admission level that the target's own calls were told.
        on_lost: Called when the target can't be reached.
    """

    queue: admission.AdmissionQueue
    limit: declaredlimit.DeclaredLimit
    origin: httpclient.OriginClient
    names: headernames.HeaderNames
    clock: clocks.Clock
    wheel: deadlines.DeadlineWheel
    recorder: telemetry.Recorder
    child_level: typing.Callable[[float], float]


class Guard:
    """Admits calls to the target, sends them and answers them."""

    def __init__(self, parts: Dependencies) -> None:
        self._parts = parts
        self._keys = itertools.count(1)
        self._calls: dict[int, _Running] = {}
        self._target: Target | None = None
        self._closed_for: errors.Reason | None = None
        self._tick_due_ms = float('inf')
        self._not_run_name = parts.names.not_run.lower()
        self.on_lost: typing.Callable[[str], None] = lambda why: None

    @property
    def target(self) -> Target | None:
        """The target that may get calls now."""
        return self._target

    @property
    def in_flight(self) -> int:
        """Calls that wait or run."""
        return len(self._calls)

    def open(self, target: Target) -> None:
        """Serve a target; the same one may report itself again."""
        now_ms = self._parts.clock.now_ms()
        before, self._target = self._target, target
        self._parts.limit.set_cold(
            target.cold_until_ms, target.cold_per_s, now_ms
        )
        is_new = before is None or before.target_id != target.target_id
        if is_new or before.slots != target.slots:
            self._handle(admission.Announce(target.slots), now_ms)

    def close(self, why: errors.Reason) -> None:
        """Start nothing more at the target; running calls go on."""
        self._target = None
        for running in list(self._calls.values()):
            if running.pending is None:
                self._give_up(running, errors.not_run(why, 'target leaves'))

    def refuse_new(self, reason: errors.Reason | None) -> None:
        """Refuse new and queued calls; None takes calls again."""
        self._closed_for = reason
        if reason is None:
            return
        for running in list(self._calls.values()):
            if running.pending is None:
                self._give_up(
                    running, errors.not_run(reason, 'no new work here')
                )

    @property
    def is_refusing(self) -> bool:
        """Whether every new call is refused."""
        return self._closed_for is not None

    def suspect(self) -> None:
        """Hold the rate down until the target reports itself again."""
        target = self._target
        if target is None:
            return
        now_ms = self._parts.clock.now_ms()
        until_ms = max(target.cold_until_ms, now_ms + _SUSPECT_MS)
        self._parts.limit.set_cold(until_ms, target.cold_per_s, now_ms)

    def _load(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> ttypes.Load:
        """Return the load to tell on an answer to an organisation."""
        load = self._parts.queue.load(now_ms, organisation)
        limit = load.limit if self._target is not None else 0
        if self._parts.limit.is_cold(now_ms):
            limit = min(limit, load.in_flight + 1)
        return ttypes.Load(
            load.in_flight,
            limit,
            load.queued,
            min(load.admission_level, self._parts.child_level(now_ms)),
        )

    def submit(
        self, call: ttypes.Call, on_answer: OnAnswer
    ) -> transports.PendingCall | None:
        """Take a call; ``on_answer`` is called exactly once."""
        now_ms = self._parts.clock.now_ms()
        refusal = self._refusal(call)
        if refusal is not None:
            on_answer(self._refused(call, refusal, now_ms))
            return None
        running = _Running(
            self,
            next(self._keys),
            call,
            now_ms + call.deadline_ms,
            on_answer,
        )
        self._calls[running.key] = running
        self._handle(
            admission.Arrive(
                running.key,
                ids.OrganisationId(call.organisation),
                call.importance + call.draw,
                running.deadline_ms,
                1.0,
                call.route,
                call.depth == ROOT_DEPTH,
            ),
            now_ms,
        )
        return running

    def _refusal(self, call: ttypes.Call) -> errors.Refusal | None:
        if self._closed_for is not None:
            return errors.not_run(self._closed_for, 'no new work here')
        target = self._target
        if target is None or call.callee_service != target.service:
            return errors.not_run(
                errors.Reason.LEAVING,
                f'no target of {call.callee_service} here',
            )
        return None

    def cancel(self, running: _Running) -> None:
        """Give up a call: its caller wants no answer."""
        if self._calls.pop(running.key, None) is None:
            return
        self._stop(running, self._parts.clock.now_ms())
        self._parts.recorder.count('guard-cancelled')

    def _stop(self, running: _Running, now_ms: float) -> None:
        if running.pending is None:
            self._handle(admission.Cancel(running.key), now_ms)
            return
        self._drop_timer(running)
        running.pending.cancel()
        spent_ms = now_ms - running.started_ms
        self._handle(admission.Cancel(running.key), now_ms)
        self._handle(admission.Complete(running.key, True, spent_ms), now_ms)

    def _give_up(self, running: _Running, refusal: errors.Refusal) -> None:
        if self._calls.pop(running.key, None) is None:
            return
        now_ms = self._parts.clock.now_ms()
        self._stop(running, now_ms)
        running.on_answer(self._refused(running.call, refusal, now_ms))

    def _handle(self, event: admission.Event, now_ms: float) -> None:
        parts = self._parts
        for action in parts.queue.handle(event, now_ms):
            match action:
                case admission.Start(call_key):
                    running = self._calls.get(call_key)
                    if running is None:
                        # Cancelled by an action before this one.
                        done = admission.Complete(call_key, True, 0.0)
                        self._handle(done, now_ms)
                    else:
                        self._start(running, now_ms)
                case admission.Refuse(call_key, refusal):
                    running = self._calls.pop(call_key, None)
                    if running is not None:
                        answer = self._refused(running.call, refusal, now_ms)
                        running.on_answer(answer)
        due_ms = parts.queue.next_tick_ms
        if due_ms < self._tick_due_ms:
            self._tick_due_ms = due_ms
            parts.wheel.add(due_ms, self._tick)

    def _tick(self) -> None:
        self._tick_due_ms = float('inf')
        self._handle(admission.Tick(), self._parts.clock.now_ms())

    def _start(self, running: _Running, now_ms: float) -> None:
        target = self._target
        running.started_ms = now_ms
        if target is None:
            del self._calls[running.key]
            self._handle(admission.Complete(running.key, True, 0.0), now_ms)
            refusal = errors.not_run(errors.Reason.LEAVING, 'target left')
            running.on_answer(self._refused(running.call, refusal, now_ms))
            return
        call = running.call
        outbound = httpclient.OutboundRequest(
            self._request_bytes(call, target, running.deadline_ms - now_ms),
            call.root_id,
            not call.idempotent,
            call.method == 'HEAD',
        )

        def on_answer(
            result: targetanswer.TargetAnswer | errors.Refusal,
        ) -> None:
            self._finish(running, target, result)

        # Callers end their calls at the deadline; one that is cut off can't.
        running.timer = self._parts.wheel.add(
            running.deadline_ms + _OVERDUE_MS,
            lambda: self._give_up(
                running,
                errors.unknown(
                    errors.Reason.DEADLINE, 'no answer by the deadline'
                ),
            ),
        )
        running.pending = self._parts.origin.send(outbound, on_answer)

    @staticmethod
    def _drop_timer(running: _Running) -> None:
        timer, running.timer = running.timer, None
        if timer is not None:
            timer.cancel()

    def _request_bytes(
        self, call: ttypes.Call, target: Target, remaining_ms: float
    ) -> bytes:
        names = self._parts.names
        lines = [f'{call.method} {call.path} HTTP/1.1']
        headers = call.headers
        for i in range(0, len(headers), 2):
            lines.append(f'{headers[i]}: {headers[i + 1]}')
        lines.append(f'{names.deadline}: {max(1, int(remaining_ms))}')
        lines.append(f'{names.expected_target}: {target.target_id}')
        lines.append(f'{names.caller_service}: {call.caller_service}')
        if call.organisation:
            lines.append(f'{names.organisation}: {call.organisation}')
        if call.body or call.method in ('POST', 'PUT', 'PATCH'):
            lines.append(f'Content-Length: {len(call.body)}')
        head = '\r\n'.join(lines).encode('latin-1', 'replace')
        return head + b'\r\n\r\n' + call.body

    def _finish(
        self,
        running: _Running,
        target: Target,
        result: targetanswer.TargetAnswer | errors.Refusal,
    ) -> None:
        if self._calls.pop(running.key, None) is None:
            return
        self._drop_timer(running)
        now_ms = self._parts.clock.now_ms()
        spent_ms = now_ms - running.started_ms
        if isinstance(result, targetanswer.TargetAnswer):
            result = self._judge(result, target)
        is_ok = isinstance(result, targetanswer.TargetAnswer)
        self._handle(admission.Complete(running.key, is_ok, spent_ms), now_ms)
        if is_ok:
            running.on_answer(self._answered(running.call, result, now_ms))
            return
        if result.reason is errors.Reason.UNREACHABLE:
            self.on_lost(result.detail)
        elif result.reason is errors.Reason.TARGET_FAILED:
            self._parts.recorder.target_failed(
                running.call.root_id, target.target_id, result, spent_ms
            )
        running.on_answer(self._refused(running.call, result, now_ms))

    def _judge(
        self, answer: targetanswer.TargetAnswer, target: Target
    ) -> targetanswer.TargetAnswer | errors.Refusal:
        """Return the refusal that an answer stands for, or the answer."""
        if answer.status not in _REFUSED_STATUS:
            return answer
        names = answer.headers[::2]
        is_not_run = answer.status == _MISDIRECTED or any(
            name.lower() == self._not_run_name for name in names
        )
        if not is_not_run:
            return answer
        if answer.status == _MISDIRECTED:
            self.on_lost(f'{target.target_id} has gone from its address')
            return errors.not_run(errors.Reason.LEAVING, 'another target')
        return errors.not_run(
            errors.Reason.TARGET_FAILED, f'target refused: {answer.status}'
        )

    def _answered(
        self,
        call: ttypes.Call,
        answer: targetanswer.TargetAnswer,
        now_ms: float,
    ) -> ttypes.Answer:
        return ttypes.Answer(
            call_id=call.call_id,
            outcome=errors.Outcome.ANSWERED,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            reason=errors.Reason.NONE,
            detail='',
            retry_after_ms=0,
            retry_unspent=0,
            load=self._load(ids.OrganisationId(call.organisation), now_ms),
            is_final=False,
        )

    def _refused(
        self, call: ttypes.Call, refusal: errors.Refusal, now_ms: float
    ) -> ttypes.Answer:
        load = self._load(ids.OrganisationId(call.organisation), now_ms)
        self._parts.recorder.guard_refused(
            call.root_id, call.callee_service, refusal, load
        )
        return wire.answer_from_refusal(call.call_id, refusal, 0, load)


def guard(parts: Dependencies) -> Guard:
    """Create a gate that has no target yet."""
    return Guard(parts)
