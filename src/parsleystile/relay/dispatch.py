"""Sends a request to a target of its service and decides on repeats."""

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
from parsleystile.relay import guard as guards
from parsleystile.relay import logevents
from parsleystile.relay import policy as policies
from parsleystile.relay import retrybudget
from parsleystile.relay import telemetry
from parsleystile import transport
from parsleystile import wire

# Guards that may refuse one request before it is given back to its caller.
_MAX_MOVES = 3
# Where a target is full or too slow, the others may be no better: one more is
# asked.
_MAX_MOVES_WHEN_FULL = 1
_FULL = frozenset(
    {errors.Reason.QUEUE_FULL, errors.Reason.SHED, errors.Reason.DEADLINE}
)
# A repeat needs at least this part of the time that was there at first.
_LEAST_TIME_SHARE = 0.15
_FIRST_SERVER_ERROR = 500
# Reasons that say the node itself is out of reach.
_OUT_OF_REACH = frozenset({errors.Reason.UNREACHABLE, errors.Reason.LINK_LOST})

Reply = ttypes.Answer | errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What a sender decides and sends with.

    Attributes:
        on_unreached: Called with a node that can't be reached and why.
        on_level: Called with the route and each admission level told.
    """

    own_node_id: ids.NodeId
    balancer: balancer.Balancer
    budget: retrybudget.RetryBudget
    links: links_module.Links
    guard: guards.Guard
    clock: clocks.Clock
    wheel: deadlines.DeadlineWheel
    recorder: telemetry.Recorder
    on_unreached: typing.Callable[[ids.NodeId, str], None]
    on_level: typing.Callable[[ids.RouteId, str, float, float, bool], None]


class Dispatch:
    """One request and its attempts, at most one at a time.

    Attributes:
        call: As it is sent; ``deadline_ms`` is set anew for each attempt.
        sends: Attempts so far.
        reached: Targets that the request may have come to.
        node_id: Where the last attempt went.
    """

    __slots__ = (
        '_excluded',
        '_parts',
        '_pending',
        '_serial',
        '_started_ms',
        '_timer',
        'call',
        'deadline_ms',
        'is_child',
        'may_have_run',
        'node_id',
        'on_done',
        'reached',
        'route',
        'sends',
        'service',
    )

    def __init__(
        self,
        parts: Dependencies,
        call: ttypes.Call,
        route: policies.Route,
        deadline_ms: float,
        on_done: typing.Callable[[Reply], None],
    ) -> None:
        self._parts = parts
        self.call = call
        self.route = route
        self.service = ids.ServiceName(call.callee_service)
        self.deadline_ms = deadline_ms
        self.on_done = on_done
        self.is_child = call.depth > guards.ROOT_DEPTH
        self.sends = 0
        self.reached = 0
        self.may_have_run = False
        self.node_id = ids.NodeId('')
        self._excluded: frozenset[ids.NodeId] = frozenset()
        self._pending: transport.PendingCall | None = None
        self._serial = 0
        self._started_ms = 0.0
        self._timer: deadlines.Deadline | None = None

    def start(self) -> None:
        """Make the first attempt; ``on_done`` is called exactly once."""
        parts = self._parts
        now_ms = parts.clock.now_ms()
        parts.budget.first(self.service, now_ms)
        self._started_ms = now_ms
        self._timer = parts.wheel.add(self.deadline_ms, self._expire)
        self._send(now_ms)

    def cancel(self) -> None:
        """Give up: nobody waits for the answer."""
        self._serial += 1
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
            self._parts.balancer.cancelled(self.node_id)

    def _expire(self) -> None:
        is_sent = self._pending is not None or self.may_have_run
        self.cancel()
        make = errors.unknown if is_sent else errors.not_run
        self.on_done(
            make(errors.Reason.DEADLINE, 'no answer within the time given')
        )

    def _send(self, now_ms: float) -> None:
        parts = self._parts
        member = parts.balancer.choose(
            self.service, self._excluded, now_ms, self.route.is_idempotent
        )
        if member is None:
            self._done(
                errors.not_run(
                    errors.Reason.NO_TARGET, f'no target of {self.service}'
                )
            )
            return
        self.sends += 1
        self._serial += 1
        self.node_id = member.node_id
        self.call.deadline_ms = max(1, int(self.deadline_ms - now_ms))
        parts.balancer.sent(member.node_id)
        serial = self._serial

        def on_answer(result: Reply) -> None:
            if serial == self._serial:
                self._answered(result)

        pending = self._hand_over(member, on_answer)
        if serial == self._serial:
            self._pending = pending

    def _hand_over(
        self, member: members.Member, on_answer: transport.OnAnswer
    ) -> transport.PendingCall | None:
        parts = self._parts
        if member.node_id == parts.own_node_id:
            return parts.guard.submit(self.call, on_answer)
        return parts.links.call(member.link, self.call, on_answer)

    def _answered(self, result: Reply) -> None:
        parts = self._parts
        now_ms = parts.clock.now_ms()
        self._pending = None
        node_id, load = self.node_id, None
        if isinstance(result, ttypes.Answer):
            load = result.load
            parts.on_level(
                self.route.route_id,
                self.call.organisation,
                load.admission_level,
                now_ms,
                self.is_child,
            )
            if result.outcome == errors.Outcome.ANSWERED:
                self.reached += 1
                parts.balancer.answered(node_id, load, now_ms)
                self._judge_answer(result, now_ms)
                return
            refusal = wire.refusal_from_answer(result)
        else:
            refusal = result
            if refusal.reason in _OUT_OF_REACH:
                parts.on_unreached(node_id, refusal.detail)
        parts.balancer.failed(node_id, refusal, now_ms, load)
        self._excluded |= {node_id}
        self._judge_refusal(refusal, now_ms)

    def _judge_answer(self, answer: ttypes.Answer, now_ms: float) -> None:
        is_failure = answer.status >= _FIRST_SERVER_ERROR
        # A target below that sheds fails the calls above it: another run
        # would only add to its load.
        is_full = answer.load.admission_level < context.RANK_LIMIT
        if is_failure and self.route.is_idempotent and not is_full:
            self._excluded |= {self.node_id}
            refusal = errors.unknown(
                errors.Reason.TARGET_FAILED, f'status {answer.status}'
            )
            if self._repeat(refusal, now_ms):
                return
        self._done(answer)

    def _judge_refusal(self, refusal: errors.Refusal, now_ms: float) -> None:
        is_unknown = refusal.outcome is errors.Outcome.UNKNOWN
        if is_unknown:
            self.may_have_run = True
        if is_unknown or refusal.reason is errors.Reason.TARGET_FAILED:
            self.reached += 1
            may_repeat = self.route.is_idempotent or not is_unknown
            if may_repeat and self._repeat(refusal, now_ms):
                return
        elif (
            (refusal.is_retryable or refusal.reason in _FULL)
            and self.sends <= self._most_moves(refusal)
            and self._has_time(now_ms)
        ):
            self._note_repeat(refusal, now_ms)
            self._send(now_ms)
            return
        self._done(refusal)

    def _repeat(self, refusal: errors.Refusal, now_ms: float) -> bool:
        if self.reached >= self.route.max_targets:
            return False
        if not self._has_time(now_ms):
            return False
        has_other = self._parts.balancer.choose(
            self.service, self._excluded, now_ms, True
        )
        if has_other is None:
            return False
        if not self._parts.budget.take(self.service, now_ms):
            self._parts.recorder.count('repeat-budget-spent')
            return False
        self._note_repeat(refusal, now_ms)
        self._send(now_ms)
        return True

    def _most_moves(self, refusal: errors.Refusal) -> int:
        if refusal.reason in _FULL:
            return _MAX_MOVES_WHEN_FULL
        return _MAX_MOVES

    def _has_time(self, now_ms: float) -> bool:
        given_ms = self.deadline_ms - self._started_ms
        return self.deadline_ms - now_ms > _LEAST_TIME_SHARE * given_ms

    def _note_repeat(self, refusal: errors.Refusal, now_ms: float) -> None:
        recorder = self._parts.recorder
        recorder.count('repeats')
        if not recorder.log.wants(logevents.CallRepeated):
            return
        recorder.log.append(
            logevents.CallRepeated(
                call=self.call.root_id,
                service=self.service,
                node=self.node_id,
                reason=refusal.reason.name.lower(),
                detail=refusal.detail,
                sends=self.sends,
                remaining_ms=round(self.deadline_ms - now_ms, 1),
            )
        )

    def _done(self, reply: Reply) -> None:
        self._serial += 1
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if isinstance(reply, errors.Refusal) and self.may_have_run:
            reply = dataclasses.replace(reply, outcome=errors.Outcome.UNKNOWN)
        self.on_done(reply)
