"""Admission control in front of the local target.

Every call to the target passes its guard, so the guard holds the exact state
of the target: the expected incarnation, whether it is leaving, its slots and
cold rate, whether its failure domain is out, and the deadlines of its calls.
"""

import dataclasses
import itertools
import typing

from parsleystile import admission
from parsleystile import clock as clocks
from parsleystile import context
from parsleystile import deadlines
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile.relay import declaredlimit
from parsleystile.relay import headernames
from parsleystile.relay import httpclient
from parsleystile.relay import noticekeeper
from parsleystile.relay import telemetry
from parsleystile import targetanswer
from parsleystile import transport as transports
from parsleystile import wire

# Depth of a request from outside and of a call made by a target. A target's
# call can't be matched to the request that caused it, so it is never shed by
# admission level: work for an admitted request is finished.
ROOT_DEPTH = 1
CHILD_DEPTH = 2
# Larger bodies are written after the head, without a copy.
_LARGE_BODY_BYTES = 65_536
# A target that may have gone cold is limited to its cold rate until its next
# report, or for this time at most.
_ASSUMED_COLD_MS = 3_000.0
# Extra time after the deadline for the target to report the timeout itself.
_DEADLINE_GRACE_MS = 250.0
# Longest wait that is told; a rate of 0 would need longer.
_MAX_WAIT_MS = 60_000.0
_REFUSAL_STATUSES = frozenset({400, 421, 429, 503})
_MISDIRECTED = 421
FIRST_SERVER_ERROR = 500
# A caller that gives up this much before the deadline did so for it.
_DEADLINE_ERROR_MS = 25.0

OnResult = typing.Callable[[str, bool, float, bool], None]
OnAnswer = typing.Callable[[ttypes.Answer], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The local target, as of its last report.

    Attributes:
        target_id: Identifies this incarnation, together with ``born_ms``.
        born_ms: When it started; 0 if it did not report that.
        cold_until_ms: End of the cold phase on this node's clock.
        cold_per_s: Calls a second that it handles while cold.
    """

    target_id: ids.TargetId
    service: ids.ServiceName
    slots: int
    cold_until_ms: float
    cold_per_s: float
    born_ms: int = 0

    @property
    def key(self) -> noticekeeper.TargetKey:
        """Identifies the incarnation."""
        return noticekeeper.TargetKey(self.target_id, self.born_ms)


class _ActiveCall(transports.PendingCall):
    """A call that is queued or running.

    Attributes:
        target: The target that it was sent to; None while it is queued.
    """

    __slots__ = (
        'call',
        'deadline_ms',
        'guard',
        'key',
        'on_answer',
        'pending',
        'started_ms',
        'target',
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
        self.target: Target | None = None
        self.timer: deadlines.Deadline | None = None

    def cancel(self) -> None:
        self.guard.cancel(self)


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of a guard.

    Attributes:
        child_level: Returns the admission level at a time in milliseconds
            that other guards reported for calls made by the local target.
    """

    queue: admission.AdmissionQueue
    limit: declaredlimit.DeclaredLimit
    origin: httpclient.OriginClient
    header_names: headernames.HeaderNames
    clock: clocks.Clock
    wheel: deadlines.DeadlineWheel
    recorder: telemetry.Recorder
    child_level: typing.Callable[[float], float]


class Guard:
    """Admits calls to the local target, sends them and answers them.

    Attributes:
        on_target_lost: Called with the reason when the target is unreachable
            or was replaced by another one.
        on_result: Called for each answer of the target with the route,
            whether it failed, its time in milliseconds and whether the target
            is cold.
        notices: What the target says of itself.
    """

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps
        self._keys = itertools.count(1)
        self._calls: dict[int, _ActiveCall] = {}
        self._target: Target | None = None
        self._refusal_reason: errors.Reason | None = None
        self._tick_due_ms = float('inf')
        self._not_run_header = deps.header_names.not_run.lower()
        self.notices = noticekeeper.notice_keeper(
            deps.header_names, deps.limit, deps.recorder
        )
        self.on_target_lost: typing.Callable[[str], None] = lambda why: None
        self.on_result: OnResult = lambda *result: None
        self.is_version_open = True

    @property
    def target(self) -> Target | None:
        """The target that receives calls; None while there is none."""
        return self._target

    @property
    def in_flight(self) -> int:
        """Number of calls that are queued or running."""
        return len(self._calls)

    @property
    def queued(self) -> int:
        """Number of calls that wait to be started."""
        return self._deps.queue.queued

    def set_target(self, target: Target) -> None:
        """Admit calls to a target; called on each of its reports."""
        now_ms = self._deps.clock.now_ms()
        before, self._target = self._target, target
        self._deps.limit.set_cold(
            target.cold_until_ms, target.cold_per_s, now_ms
        )
        self.notices.set_target(target.key, now_ms)
        is_new = before is None or before.key != target.key
        if (
            is_new
            or before.slots != target.slots
            or before.service != target.service
        ):
            announce = admission.Announce(target.slots, target.service)
            self._apply(announce, now_ms)

    def clear_target(self, why: errors.Reason) -> None:
        """Refuse queued calls and start no more; running calls finish."""
        self._target = None
        for active in list(self._calls.values()):
            if active.pending is None:
                self._refuse_active(
                    active, errors.not_run(why, 'target leaves')
                )

    def refuse_new(self, reason: errors.Reason | None) -> None:
        """Refuse new and queued calls; None admits calls again."""
        self._refusal_reason = reason
        if reason is None:
            return
        for active in list(self._calls.values()):
            if active.pending is None:
                self._refuse_active(
                    active, errors.not_run(reason, 'no new work here')
                )

    def set_version_open(self, is_open: bool) -> None:
        """Set whether the target's version takes calls in a roll-out."""
        if is_open is self.is_version_open:
            return
        self.is_version_open = is_open
        if is_open:
            return
        for active in list(self._calls.values()):
            if active.pending is None:
                self._refuse_active(active, _closed_version())

    def end_all(self, reason: errors.Reason) -> None:
        """Answer all calls at once; running ones may have run."""
        for active in list(self._calls.values()):
            make = errors.not_run if active.pending is None else errors.unknown
            self._refuse_active(active, make(reason, 'the node ends'))

    @property
    def is_refusing(self) -> bool:
        """Whether all new calls are refused."""
        return self._refusal_reason is not None

    def assume_cold(self) -> None:
        """Apply the cold rate until the target's next report."""
        target = self._target
        if target is None:
            return
        now_ms = self._deps.clock.now_ms()
        until_ms = max(target.cold_until_ms, now_ms + _ASSUMED_COLD_MS)
        self._deps.limit.set_cold(until_ms, target.cold_per_s, now_ms)

    def _load(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> ttypes.Load:
        """Return the load that an answer to an organisation reports."""
        load = self._deps.queue.load(now_ms, organisation)
        limit = load.limit if self._target is not None else 0
        if self._deps.limit.is_cold(now_ms):
            limit = min(limit, load.in_flight + 1)
        return ttypes.Load(
            load.in_flight,
            limit,
            load.queued,
            load.admission_level,
            self._wait_ms(load.queued, now_ms),
            self.notices.told,
            self._child_level(now_ms),
            int(self._deps.limit.answer_ms * 1e3) or None,
        )

    def _child_level(self, now_ms: float) -> float | None:
        """Return the level of calls that the target makes; None if open."""
        level = self._deps.child_level(now_ms)
        return level if level < context.RANK_LIMIT else None

    def _wait_ms(self, queued: int, now_ms: float) -> int | None:
        """Return how long the target's rate keeps a call; None if not."""
        wait_ms = self._deps.limit.wait_ms(queued, now_ms)
        return int(min(wait_ms, _MAX_WAIT_MS)) or None

    def submit(
        self,
        call: ttypes.Call,
        on_answer: OnAnswer,
        refusal: errors.Refusal | None = None,
    ) -> transports.PendingCall | None:
        """Admit or refuse a call.

        Args:
            call: The call.
            on_answer: Gets the answer.
            refusal: Why the call can't be admitted, if the node knows.

        ``on_answer`` is called exactly once, unless the call is cancelled
        first. The result cancels the call; it is None if the target takes no
        calls of the service.
        """
        now_ms = self._deps.clock.now_ms()
        if call.notice is not None:
            self.notices.recalled(call.notice, now_ms)
        refusal = refusal or self._admission_refusal(call, now_ms)
        if refusal is not None:
            on_answer(self._refusal_answer(call, refusal, now_ms))
            return None
        active = _ActiveCall(
            self,
            next(self._keys),
            call,
            now_ms + call.deadline_ms,
            on_answer,
        )
        self._calls[active.key] = active
        self._apply(
            admission.Arrive(
                active.key,
                ids.OrganisationId(call.organisation),
                call.importance + call.draw,
                active.deadline_ms,
                1.0,
                call.route,
                call.depth == ROOT_DEPTH,
                ids.ServiceName(call.callee_service),
            ),
            now_ms,
        )
        return active

    def _target_of(self, call: ttypes.Call) -> Target | None:
        """Return the target if it is of the service that a call is for."""
        target = self._target
        if target is None or target.service != call.callee_service:
            return None
        return target

    def _admission_refusal(
        self, call: ttypes.Call, now_ms: float
    ) -> errors.Refusal | None:
        if self._refusal_reason is not None:
            return errors.not_run(self._refusal_reason, 'no new work here')
        if self._target_of(call) is None:
            return errors.not_run(
                errors.Reason.LEAVING,
                f'no target of {call.callee_service} here',
            )
        if not self.is_version_open:
            return _closed_version()
        if call.max_wait_ms is None:
            return None
        wait_ms = self._wait_ms(self._deps.queue.queued, now_ms)
        if wait_ms is not None and wait_ms > call.max_wait_ms:
            return errors.not_run(
                errors.Reason.QUEUE_FULL,
                'the target takes no more for now, and others do',
                wait_ms,
            )
        return None

    def cancel(self, active: _ActiveCall) -> None:
        """Cancel a call without an answer."""
        if self._calls.pop(active.key, None) is None:
            return
        self._remove(active, self._deps.clock.now_ms())
        self._deps.recorder.count('guard-cancelled')

    def _remove(self, active: _ActiveCall, now_ms: float) -> None:
        if active.pending is None:
            self._apply(admission.Cancel(active.key), now_ms)
            return
        self._cancel_timer(active)
        active.pending.cancel()
        spent_ms = now_ms - active.started_ms
        is_late = now_ms >= active.deadline_ms - _DEADLINE_ERROR_MS
        if is_late and self._is_current(active.target):
            self.on_result(active.call.route, True, spent_ms, False)
        self._apply(admission.Cancel(active.key), now_ms)
        self._apply(admission.Complete(active.key, True, spent_ms), now_ms)

    def _refuse_active(
        self, active: _ActiveCall, refusal: errors.Refusal
    ) -> None:
        if self._calls.pop(active.key, None) is None:
            return
        now_ms = self._deps.clock.now_ms()
        self._remove(active, now_ms)
        active.on_answer(self._refusal_answer(active.call, refusal, now_ms))

    def _apply(self, event: admission.Event, now_ms: float) -> None:
        deps = self._deps
        for action in deps.queue.handle(event, now_ms):
            match action:
                case admission.Start(call_key):
                    active = self._calls.get(call_key)
                    if active is None:
                        # Removed by an earlier action of this batch.
                        done = admission.Complete(call_key, True, 0.0)
                        self._apply(done, now_ms)
                    else:
                        self._start(active, now_ms)
                case admission.Refuse(call_key, refusal):
                    active = self._calls.pop(call_key, None)
                    if active is not None:
                        answer = self._refusal_answer(
                            active.call, refusal, now_ms
                        )
                        active.on_answer(answer)
        due_ms = deps.queue.next_tick_ms
        if due_ms < self._tick_due_ms:
            self._tick_due_ms = due_ms
            deps.wheel.add(due_ms, self._tick)

    def _tick(self) -> None:
        self._tick_due_ms = float('inf')
        self._apply(admission.Tick(), self._deps.clock.now_ms())

    def _start(self, active: _ActiveCall, now_ms: float) -> None:
        target = self._target_of(active.call)
        active.started_ms = now_ms
        if target is None:
            del self._calls[active.key]
            self._apply(admission.Complete(active.key, True, 0.0), now_ms)
            refusal = errors.not_run(errors.Reason.LEAVING, 'target left')
            active.on_answer(
                self._refusal_answer(active.call, refusal, now_ms)
            )
            return
        active.target = target
        self.notices.started(now_ms)
        call = active.call
        data = self._request_head(call, target, active.deadline_ms - now_ms)
        body = call.body
        if len(body) < _LARGE_BODY_BYTES:
            data, body = data + body, b''
        outbound = httpclient.OutboundRequest(
            data,
            call.root_id,
            not call.idempotent,
            call.method == 'HEAD',
            body,
        )

        def on_answer(
            result: targetanswer.TargetAnswer | errors.Refusal,
        ) -> None:
            self._finish(active, target, result)

        # The caller's node cancels at the deadline, unless it is cut off from
        # this one.
        active.timer = self._deps.wheel.add(
            active.deadline_ms + _DEADLINE_GRACE_MS,
            lambda: self._refuse_active(
                active,
                errors.unknown(
                    errors.Reason.DEADLINE, 'no answer by the deadline'
                ),
            ),
        )
        active.pending = self._deps.origin.send(outbound, on_answer)

    @staticmethod
    def _cancel_timer(active: _ActiveCall) -> None:
        timer, active.timer = active.timer, None
        if timer is not None:
            timer.cancel()

    def _request_head(
        self, call: ttypes.Call, target: Target, remaining_ms: float
    ) -> bytes:
        names = self._deps.header_names
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
        return head + b'\r\n\r\n'

    def _finish(
        self,
        active: _ActiveCall,
        target: Target,
        result: targetanswer.TargetAnswer | errors.Refusal,
    ) -> None:
        if self._calls.pop(active.key, None) is None:
            return
        self._cancel_timer(active)
        now_ms = self._deps.clock.now_ms()
        spent_ms = now_ms - active.started_ms
        if isinstance(result, targetanswer.TargetAnswer):
            # Another target may have given that answer.
            if result.status != _MISDIRECTED:
                self.notices.answered(
                    target.key, result.headers, active.started_ms, now_ms
                )
            result = self._classify(result, target)
        is_ok = isinstance(result, targetanswer.TargetAnswer)
        if self._is_current(target):
            self._tell_result(active, result, spent_ms, now_ms)
        self._apply(admission.Complete(active.key, is_ok, spent_ms), now_ms)
        if is_ok:
            active.on_answer(self._success_answer(active.call, result, now_ms))
            return
        if result.reason is errors.Reason.UNREACHABLE:
            self._lose(target, result.detail)
        elif result.reason is errors.Reason.TARGET_FAILED:
            self._deps.recorder.target_failed(
                active.call.root_id, target.target_id, result, spent_ms
            )
        active.on_answer(self._refusal_answer(active.call, result, now_ms))

    def _is_current(self, target: Target) -> bool:
        """Whether a target has not been replaced by another incarnation."""
        return self._target is None or self._target.key == target.key

    def _lose(self, target: Target, why: str) -> None:
        """Note that a target can't be reached; its successor may be."""
        if self._is_current(target):
            self.on_target_lost(why)
        else:
            self._deps.recorder.count('late-target-losses')

    def _tell_result(
        self,
        active: _ActiveCall,
        result: targetanswer.TargetAnswer | errors.Refusal,
        spent_ms: float,
        now_ms: float,
    ) -> None:
        if isinstance(result, targetanswer.TargetAnswer):
            is_failure = result.status >= FIRST_SERVER_ERROR
        elif result.reason is errors.Reason.TARGET_FAILED:
            is_failure = True
        else:
            # Refused before it could run: it says nothing of the version.
            return
        is_cold = self._deps.limit.is_cold(now_ms)
        self.on_result(active.call.route, is_failure, spent_ms, is_cold)

    def _classify(
        self, answer: targetanswer.TargetAnswer, target: Target
    ) -> targetanswer.TargetAnswer | errors.Refusal:
        """Return the answer, or a refusal if the target did not run it."""
        if answer.status not in _REFUSAL_STATUSES:
            return answer
        names = answer.headers[::2]
        is_not_run = answer.status == _MISDIRECTED or any(
            name.lower() == self._not_run_header for name in names
        )
        if not is_not_run:
            return answer
        if answer.status == _MISDIRECTED:
            self._lose(
                target, f'{target.target_id} was replaced at its address'
            )
            return errors.not_run(errors.Reason.LEAVING, 'another target')
        return errors.not_run(
            errors.Reason.TARGET_FAILED, f'target refused: {answer.status}'
        )

    def _success_answer(
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

    def _refusal_answer(
        self, call: ttypes.Call, refusal: errors.Refusal, now_ms: float
    ) -> ttypes.Answer:
        load = self._load(ids.OrganisationId(call.organisation), now_ms)
        if refusal.retry_after_ms and load.wait_ms is not None:
            # The jittered value knows nothing of the target's rate.
            retry_after_ms = max(refusal.retry_after_ms, load.wait_ms)
            refusal = dataclasses.replace(
                refusal, retry_after_ms=retry_after_ms
            )
        self._deps.recorder.guard_refused(
            call.root_id, call.callee_service, refusal, load
        )
        return wire.answer_from_refusal(call.call_id, refusal, 0, load)


def _closed_version() -> errors.Refusal:
    # Other targets of the service take the call.
    return errors.not_run(errors.Reason.SHED, 'this version takes no calls')


def guard(deps: Dependencies) -> Guard:
    """Create a guard without a target."""
    return Guard(deps)
