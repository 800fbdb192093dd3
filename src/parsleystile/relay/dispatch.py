"""Sends a request to a target of its service and retries it if allowed."""

import dataclasses
import typing

from parsleystile import balancer
from parsleystile import clock as clocks
from parsleystile import context
from parsleystile import deadlines
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile import members
from parsleystile.relay import declaredlimit
from parsleystile.relay import guard as guards
from parsleystile.relay import logevents
from parsleystile.relay import noticememory
from parsleystile.relay import policy as policies
from parsleystile.relay import retrybudget
from parsleystile.relay import rolloutgroups
from parsleystile.relay import telemetry
from parsleystile import transport
from parsleystile import wire

# After a guard refused a request before it ran, it is sent to another guard
# at most this often.
_MAX_REROUTES = 3
# If a target is overloaded, the others are likely to be as well.
_MAX_REROUTES_WHEN_OVERLOADED = 1
_OVERLOAD_REASONS = frozenset(
    {errors.Reason.QUEUE_FULL, errors.Reason.SHED, errors.Reason.DEADLINE}
)
# Longest wait for the rate of a target while others take calls at once.
_MAX_RATE_WAIT_MS = 25
# No retry is made in the last part of a request's time: what is left must
# exceed this ratio of the time it had at the start.
_MIN_REMAINING_TIME_RATIO = 0.15
# Refusals that mean that the node itself is unreachable.
_UNREACHABLE_REASONS = frozenset(
    {errors.Reason.UNREACHABLE, errors.Reason.LINK_LOST}
)

Reply = ttypes.Answer | errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of a dispatch.

    Attributes:
        on_unreachable: Called with an unreachable node and the reason.
        on_load: Called for each answer to a request with the route, the
            organisation, the load, the time in milliseconds and whether the
            target failed it.
        on_child_load: Called for each answer to a call made by the local
            target with the load, the time in milliseconds and whether the
            call found no room.
        versions: Chooses among the versions of a service; None to leave
            versions out of account.
    """

    own_node_id: ids.NodeId
    balancer: balancer.Balancer
    budget: retrybudget.RetryBudget
    notices: noticememory.NoticeMemory
    links: links_module.Links
    guard: guards.Guard
    clock: clocks.Clock
    wheel: deadlines.DeadlineWheel
    recorder: telemetry.Recorder
    on_unreachable: typing.Callable[[ids.NodeId, str], None]
    on_load: typing.Callable[
        [ids.RouteId, str, ttypes.Load, float, bool], None
    ]
    on_child_load: typing.Callable[[ttypes.Load, float, bool], None]
    versions: rolloutgroups.VersionChoice | None = None


def lowest_level(load: ttypes.Load) -> float:
    """Return the lowest admission level of a target and of its calls."""
    if load.child_level is None:
        return load.admission_level
    return min(load.admission_level, load.child_level)


def _ignore(reply: Reply) -> None:
    # In place of a handler that refers to the dispatch: such a cycle would
    # keep the body until the collector runs.
    return None


class Dispatch:
    """One request and its attempts, at most one at a time.

    Attributes:
        call: The call on the wire; ``deadline_ms`` is updated for each
            attempt.
        attempts: Attempts made so far.
        targets_reached: Attempts that may have reached a target.
        may_have_run: Whether an attempt ended with an unknown outcome.
        failed_answer: A target's server error after which the request is
            retried; sent if the retries bring no answer.
        node_id: Node of the last attempt.
    """

    __slots__ = (
        '_excluded',
        '_deps',
        '_pending',
        '_generation',
        '_sent_ms',
        '_started_ms',
        '_timer',
        'call',
        'deadline_ms',
        'failed_answer',
        'is_child',
        'may_have_run',
        'node_id',
        'on_done',
        'targets_reached',
        'route',
        'attempts',
        'service',
    )

    def __init__(
        self,
        deps: Dependencies,
        call: ttypes.Call,
        route: policies.Route,
        deadline_ms: float,
        on_done: typing.Callable[[Reply], None],
    ) -> None:
        self._deps = deps
        self.call = call
        self.route = route
        self.service = ids.ServiceName(call.callee_service)
        self.deadline_ms = deadline_ms
        self.on_done = on_done
        self.is_child = call.depth > guards.ROOT_DEPTH
        self.attempts = 0
        self.targets_reached = 0
        self.may_have_run = False
        self.failed_answer: ttypes.Answer | None = None
        self.node_id = ids.NodeId('')
        self._excluded: frozenset[ids.NodeId] = frozenset()
        self._pending: transport.PendingCall | None = None
        self._generation = 0
        self._started_ms = 0.0
        self._sent_ms = 0.0
        self._timer: deadlines.Deadline | None = None

    def start(self) -> None:
        """Make the first attempt; ``on_done`` is called exactly once."""
        deps = self._deps
        now_ms = deps.clock.now_ms()
        deps.budget.count_first_attempt(self.service, now_ms)
        self._started_ms = now_ms
        self._timer = deps.wheel.add(self.deadline_ms, self._expire)
        self._send(now_ms)

    def cancel(self) -> None:
        """Cancel the attempt in flight; ``on_done`` is not called."""
        self._generation += 1
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
            now_ms = self._deps.clock.now_ms()
            self._deps.balancer.cancelled(
                self.node_id,
                now_ms,
                self.route.route_id,
                now_ms - self._sent_ms,
            )

    def _expire(self) -> None:
        self.give_up(errors.Reason.DEADLINE, 'no answer within the time given')

    def give_up(self, reason: errors.Reason, detail: str) -> None:
        """Cancel the attempt in flight and end the request."""
        is_sent = self._pending is not None or self.may_have_run
        self.cancel()
        make = errors.unknown if is_sent else errors.not_run
        self._finish(make(reason, detail))

    def _send(
        self, now_ms: float, refusal: errors.Refusal | None = None
    ) -> None:
        """Send the call to a target.

        Args:
            now_ms: Current time.
            refusal: Ends the request if no other target is left, since it
                says more than that; None for that itself.
        """
        deps = self._deps
        member = self._choose(now_ms, self.route.is_idempotent)
        if member is None:
            self._finish(
                refusal
                or errors.not_run(
                    errors.Reason.NO_TARGET, f'no target of {self.service}'
                )
            )
            return
        self.attempts += 1
        self._generation += 1
        self.node_id = member.node_id
        self.call.deadline_ms = max(1, int(self.deadline_ms - now_ms))
        self.call.notice = deps.notices.of(member.node_id)
        self.call.max_wait_ms = None
        is_last = self.attempts > _MAX_REROUTES
        if not is_last and deps.balancer.has_room_elsewhere(
            member, self._excluded, now_ms
        ):
            self.call.max_wait_ms = _MAX_RATE_WAIT_MS
        deps.balancer.sent(member.node_id, now_ms)
        self._sent_ms = now_ms
        generation = self._generation

        def on_answer(result: Reply) -> None:
            if generation == self._generation:
                self._on_result(result)

        pending = self._submit(member, on_answer)
        if generation == self._generation:
            self._pending = pending

    def _choose(
        self, now_ms: float, is_idempotent: bool
    ) -> members.Member | None:
        versions = self._deps.versions
        if versions is None:
            return self._deps.balancer.choose(
                self.service, self._excluded, now_ms, is_idempotent
            )
        return versions.choose(
            self.service,
            self.route.route_id,
            not self.attempts,
            self._excluded,
            now_ms,
            is_idempotent,
        )

    def _submit(
        self, member: members.Member, on_answer: transport.OnAnswer
    ) -> transport.PendingCall | None:
        deps = self._deps
        if member.node_id == deps.own_node_id:
            return deps.guard.submit(self.call, on_answer)
        return deps.links.call(member.peer, self.call, on_answer)

    def _on_result(self, result: Reply) -> None:
        deps = self._deps
        now_ms = deps.clock.now_ms()
        self._pending = None
        node_id, load = self.node_id, None
        if isinstance(result, ttypes.Answer):
            load = result.load
            has_run = result.outcome == errors.Outcome.ANSWERED
            deps.notices.heard(node_id, load.notice, has_run)
            self._record_rate(node_id, load, now_ms)
            self._report_load(result, now_ms)
            if has_run:
                self.targets_reached += 1
                deps.balancer.answered(
                    node_id,
                    load,
                    now_ms,
                    self.route.route_id,
                    now_ms - self._sent_ms,
                    result.status >= guards.FIRST_SERVER_ERROR,
                )
                self._handle_answer(result, now_ms)
                return
            refusal = wire.refusal_from_answer(result)
        else:
            refusal = result
            if refusal.reason in _UNREACHABLE_REASONS:
                deps.on_unreachable(node_id, refusal.detail)
        deps.balancer.failed(node_id, refusal, now_ms, load)
        self._excluded |= {node_id}
        self._handle_refusal(refusal, now_ms)

    def _report_load(self, answer: ttypes.Answer, now_ms: float) -> None:
        load = answer.load
        has_run = answer.outcome == errors.Outcome.ANSWERED
        is_failure = has_run and answer.status >= guards.FIRST_SERVER_ERROR
        if not self.is_child:
            self._deps.on_load(
                self.route.route_id,
                self.call.organisation,
                load,
                now_ms,
                is_failure,
            )
            return
        is_refused = not has_run and answer.reason in _OVERLOAD_REASONS
        # A call of its own, further down, may have been refused.
        is_shedding = lowest_level(load) < context.RANK_LIMIT
        self._deps.on_child_load(
            load, now_ms, is_refused or (is_failure and is_shedding)
        )

    def _record_rate(
        self, node_id: ids.NodeId, load: ttypes.Load, now_ms: float
    ) -> None:
        notice = load.notice
        limit_per_s = None if notice is None else notice.limit_per_s
        if limit_per_s is not None:
            limit_per_s = declaredlimit.paced_per_s(limit_per_s)
        self._deps.balancer.record_rate(
            node_id, limit_per_s, load.wait_ms, now_ms
        )

    def _handle_answer(self, answer: ttypes.Answer, now_ms: float) -> None:
        is_failure = answer.status >= guards.FIRST_SERVER_ERROR
        # If a target further down the call chain sheds load, the calls above
        # it fail; a retry would only add to the overload.
        is_shedding = lowest_level(answer.load) < context.RANK_LIMIT
        if is_failure and self.route.is_idempotent and not is_shedding:
            self._excluded |= {self.node_id}
            refusal = errors.unknown(
                errors.Reason.TARGET_FAILED, f'status {answer.status}'
            )
            self.failed_answer = answer
            if self._retry(refusal, now_ms):
                return
        self._finish(answer)

    def _handle_refusal(self, refusal: errors.Refusal, now_ms: float) -> None:
        is_unknown = refusal.outcome is errors.Outcome.UNKNOWN
        if is_unknown:
            self.may_have_run = True
        if is_unknown or refusal.reason is errors.Reason.TARGET_FAILED:
            self.targets_reached += 1
            may_retry = self.route.is_idempotent or not is_unknown
            if may_retry and self._retry(refusal, now_ms):
                return
        elif (
            (refusal.is_retryable or refusal.reason in _OVERLOAD_REASONS)
            and self.attempts <= self._max_reroutes(refusal)
            and self._has_time_left(now_ms)
        ):
            self._log_retry(refusal, now_ms)
            is_full = refusal.reason in _OVERLOAD_REASONS
            self._send(now_ms, refusal if is_full else None)
            return
        self._finish(refusal)

    def _retry(self, refusal: errors.Refusal, now_ms: float) -> bool:
        if self.targets_reached >= self.route.max_targets:
            return False
        if not self._has_time_left(now_ms):
            return False
        alternative = self._choose(now_ms, True)
        if alternative is None:
            return False
        if not self._deps.budget.try_acquire(self.service, now_ms):
            self._deps.recorder.count('repeat-budget-spent')
            return False
        self._log_retry(refusal, now_ms)
        self._send(now_ms)
        return True

    def _max_reroutes(self, refusal: errors.Refusal) -> int:
        # Refused since others have room; not for lack of it at the service.
        if self.call.max_wait_ms is not None:
            return _MAX_REROUTES
        if refusal.reason in _OVERLOAD_REASONS:
            return _MAX_REROUTES_WHEN_OVERLOADED
        return _MAX_REROUTES

    def _has_time_left(self, now_ms: float) -> bool:
        budget_ms = self.deadline_ms - self._started_ms
        return (
            self.deadline_ms - now_ms > _MIN_REMAINING_TIME_RATIO * budget_ms
        )

    def _log_retry(self, refusal: errors.Refusal, now_ms: float) -> None:
        recorder = self._deps.recorder
        recorder.count('repeats')
        if not recorder.log.try_acquire(logevents.CallRetried):
            return
        recorder.log.append(
            logevents.CallRetried(
                call=self.call.root_id,
                service=self.service,
                node=self.node_id,
                reason=refusal.reason.name.lower(),
                detail=refusal.detail,
                sends=self.attempts,
                remaining_ms=round(self.deadline_ms - now_ms, 1),
            )
        )

    def _finish(self, reply: Reply) -> None:
        self._generation += 1
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if isinstance(reply, errors.Refusal):
            if self.failed_answer is not None:
                reply = self.failed_answer
            elif self.may_have_run:
                reply = dataclasses.replace(
                    reply, outcome=errors.Outcome.UNKNOWN
                )
        on_done, self.on_done = self.on_done, _ignore
        on_done(reply)
