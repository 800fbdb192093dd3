"""Admission control in front of one target: start, queue or refuse a call.

Decides without I/O; the caller feeds events and carries out actions. A queue
belongs to the service of its target: a call of another service is never
started, whether it arrives too late or waits while the target is replaced.
"""

import math
import random
import typing

import msgspec

from parsleystile import concurrency
from parsleystile import errors
from parsleystile import fairqueue
from parsleystile import ids
from parsleystile import levels
from parsleystile import servicetime

CallKey = typing.Hashable

# Events and actions are msgspec structs: several are created per call, and
# a frozen data class is slower because it sets its fields one by one.

# Queue capacity in calls: this many per call that the limit allows, and at
# least the minimum.
QUEUE_PER_SLOT = 4
MIN_QUEUE_BOUND = 8
# An organisation is overloaded if it has had queued calls without a break
# for this long, or for the mean answer time if that is longer, up to the
# maximum.
STANDING_QUEUE_MS = 100.0
MAX_STANDING_QUEUE_MS = 1000.0
# The queue is still served for this long after Drain.
DRAIN_MS = 1000.0
RETRY_AFTER_MS = 1000
# Importance class that is shed first.
_MAX_CLASS = 2


class Arrive(msgspec.Struct, frozen=True):
    """A call for the target.

    Attributes:
        call_key: Identifies the call at this guard until it ends.
        rank: Importance class plus draw; the lowest is shed last.
        deadline_ms: On the clock of this node.
        weight: Weight of the organisation in fair sharing.
        route: Service times are estimated by route.
        is_sheddable: Whether the admission level may refuse the call;
            false for calls of a request already admitted upstream.
        service: Service that it is for.
    """

    call_key: CallKey
    organisation: ids.OrganisationId
    rank: float
    deadline_ms: float
    weight: float = 1.0
    route: str = ''
    is_sheddable: bool = True
    service: ids.ServiceName = ids.ServiceName('')


class Complete(msgspec.Struct, frozen=True):
    """The target has finished a started call; its slot is free.

    Attributes:
        is_ok: False if the target itself failed: connection refused or
            lost, or status 502 to 504 without a refused child call. Other
            answers are no sign of overload.
        service_ms: Time since the start.
        child_ms: Part of it that the target spent waiting for its child
            calls; excluded when judging the target's own speed.
    """

    call_key: CallKey
    is_ok: bool
    service_ms: float
    child_ms: float = 0.0


class Cancel(msgspec.Struct, frozen=True):
    """The caller has given up the call.

    A queued call is removed without an action. A started one keeps its slot
    until Complete, whose service time is then ignored.
    """

    call_key: CallKey


class Tick(msgspec.Struct, frozen=True):
    """Time has passed without another event."""


class Announce(msgspec.Struct, frozen=True):
    """The target has started or restarted; 0 slots mean it is gone.

    Calls that wait run at the new target if it is of the same service, and
    are refused otherwise.
    """

    slots: int
    service: ids.ServiceName = ids.ServiceName('')


class Drain(msgspec.Struct, frozen=True):
    """The target is leaving: no new calls until the next Announce."""


class Level(msgspec.Struct, frozen=True):
    """The highest admission level that operators allow."""

    admission_level: float


Event = Arrive | Complete | Cancel | Tick | Announce | Drain | Level


class Start(msgspec.Struct, frozen=True):
    """Send the call to the target now."""

    call_key: CallKey


class Refuse(msgspec.Struct, frozen=True):
    """Refuse the call; no part of it has reached the target."""

    call_key: CallKey
    refusal: errors.Refusal


Action = Start | Refuse


class Load(msgspec.Struct, frozen=True):
    """Load that a guard reports upstream with each answer."""

    in_flight: int
    limit: int
    queued: int
    admission_level: float


class Limit(typing.Protocol):
    """Limit on concurrent calls at the target; see ``ConcurrencyLimit``."""

    @property
    def value(self) -> int:
        """Calls that may be in flight; 0 before any announcement."""

    @property
    def answer_ms(self) -> float:
        """Moving average of the time from start to answer; 0 if unknown."""

    def announce(self, slots: int, now_ms: float) -> None:
        """Reset the limit: the target has just (re)started."""

    def forget(self) -> None:
        """Forget what was learnt: the next target is of another service."""

    def is_open(self, in_flight: int, now_ms: float) -> bool:
        """Return whether one more call may start now."""

    def next_open_ms(self, now_ms: float) -> float:
        """Return when time alone may open it; inf if only an answer can."""

    def wait_ms(self, queued: int, now_ms: float) -> float:
        """Return the time until one more call may start, if known.

        Args:
            queued: Calls that start before it.
            now_ms: Current time.
        """

    def queue_bound(self, bound: int, now_ms: float) -> int:
        """Return how many calls may be queued, at most ``bound``."""

    def started(self, in_flight: int, now_ms: float) -> None:
        """Record that a call was sent to the target."""

    def failed(self, service_ms: float, now_ms: float) -> None:
        """Record that the target failed a call."""

    def answered(
        self,
        route: str,
        service_ms: float,
        child_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Update the limit from one answer."""

    def check_stall(self, in_flight: int, now_ms: float) -> None:
        """Decrease the limit if calls are in flight but none is answered."""


class AdmissionQueue:
    """Admission control of one target.

    Pass events to ``handle`` and carry out the actions it returns. Calls are
    started only within the concurrency limit. The owner must send ``Tick``
    at ``next_tick_ms``, which may change with each event.
    """

    def __init__(
        self,
        rng: random.Random,
        queue_bound: int | None = None,
        limit: Limit | None = None,
        queue_per_slot: int = QUEUE_PER_SLOT,
        newest_first: bool = True,
    ) -> None:
        self._rng = rng
        self._newest_first = newest_first
        self._queue_bound = queue_bound
        self._queue_per_slot = queue_per_slot
        self._limit = limit or concurrency.ConcurrencyLimit()
        self._limit_opens_ms = math.inf
        self._levels = levels.AdmissionLevels()
        self._times = servicetime.ServiceTimes()
        self._queue = fairqueue.FairQueue()
        self._service = ids.ServiceName('')
        self._running: dict[CallKey, Arrive | fairqueue.Waiting] = {}
        self._cancelled: set[CallKey] = set()
        # Calls still running at targets of an earlier service.
        self._displaced: set[CallKey] = set()
        self._drain_started_ms: float | None = None
        # Organisations that had a call refused because the queue was full.
        self._overflowed: set[ids.OrganisationId] = set()
        self._standing_ms = STANDING_QUEUE_MS
        self._window_end_ms = 0.0

    @property
    def next_tick_ms(self) -> float:
        """Latest time at which ``Tick`` is due; inf if none is needed."""
        if (
            self._running
            or self._queue.calls
            or not self._levels.is_fully_open
        ):
            return min(
                self._window_end_ms,
                self._queue.next_expiry_ms,
                self._limit_opens_ms,
            )
        return math.inf

    @property
    def queued(self) -> int:
        """Number of calls that wait to be started."""
        return len(self._queue)

    def load(
        self, now_ms: float, organisation: ids.OrganisationId | None = None
    ) -> Load:
        """Return the load to report to callers.

        Args:
            now_ms: Current time.
            organisation: Organisation whose admission level is reported; the
                lowest level of all organisations if None.
        """
        del now_ms
        if organisation is None:
            level = self._levels.lowest
        else:
            level = self._levels.value(organisation)
        return Load(
            len(self._running), self._limit.value, len(self._queue), level
        )

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process one event; return the actions to take, in order."""
        actions: list[Action] = []
        if now_ms >= self._window_end_ms:
            self._end_window(now_ms, actions)
        match event:
            case Arrive():
                self._arrive(event, now_ms, actions)
            case Complete():
                self._complete(event, now_ms)
                self._start_queued(now_ms, actions)
            case Tick():
                self._start_queued(now_ms, actions)
            case Cancel():
                self._cancel(event)
            case Announce():
                if event.slots and event.service != self._service:
                    self._change_service(event.service, actions)
                self._limit.announce(event.slots, now_ms)
                self._drain_started_ms = None
                if event.slots == 0:
                    self._refuse_queue(_no_target(), actions)
                self._start_queued(now_ms, actions)
            case Drain():
                if self._drain_started_ms is None:
                    self._drain_started_ms = now_ms
            case Level():
                self._levels.set_cap(event.admission_level)
        return actions

    def _change_service(
        self, service: ids.ServiceName, actions: list[Action]
    ) -> None:
        """Refuse what waits; start anew with nothing learnt or running."""
        self._service = service
        self._refuse_queue(_other_service(), actions)
        self._displaced.update(self._running)
        self._running.clear()
        self._cancelled.clear()
        self._overflowed.clear()
        self._queue = fairqueue.FairQueue()
        self._times = servicetime.ServiceTimes()
        self._levels.forget()
        self._limit.forget()

    def _arrive(
        self, call: Arrive, now_ms: float, actions: list[Action]
    ) -> None:
        refusal = self._check(call, now_ms)
        if refusal is not None:
            actions.append(Refuse(call.call_key, refusal))
            return
        is_open = self._limit.is_open(len(self._running), now_ms)
        if is_open and not self._queue.calls:
            self._start(call.call_key, call, now_ms, actions)
            return
        capacity = self._queue_capacity(now_ms)
        while len(self._queue) >= capacity:
            if not self._make_room(call, actions):
                return
        expected_ms = self._times.expected_ms(call.route, now_ms)
        self._queue.push(
            fairqueue.Waiting(
                call.call_key,
                call.organisation,
                min(int(call.rank), _MAX_CLASS),
                call.deadline_ms,
                call.weight,
                call.route,
                call.deadline_ms - expected_ms,
            ),
            now_ms,
        )
        self._limit_opens_ms = self._limit.next_open_ms(now_ms)
        if is_open:
            self._start_queued(now_ms, actions)

    def _check(self, call: Arrive, now_ms: float) -> errors.Refusal | None:
        limit = self._limit.value
        if self._drain_started_ms is not None:
            return _leaving()
        if limit == 0:
            return _no_target()
        if call.service != self._service:
            return _other_service()
        is_admitted = self._levels.is_admitted(
            call.organisation, call.rank, call.is_sheddable
        )
        if call.is_sheddable and not is_admitted:
            return self._overloaded(errors.Reason.SHED, 'rank is not admitted')
        # What is left once the next call may start at all.
        wait_ms = self._limit.wait_ms(0, now_ms)
        remaining_ms = call.deadline_ms - now_ms - wait_ms
        # With no call in flight the estimate may be stale, so one may start.
        if remaining_ms <= 0.0 or (
            self._running
            and remaining_ms < self._times.expected_ms(call.route, now_ms)
        ):
            return _deadline_unreachable(wait_ms)
        return None

    def _make_room(self, call: Arrive, actions: list[Action]) -> bool:
        """Refuse a queued call to make room; False if ``call`` is refused."""
        victim = self._queue.pop_victim(
            call.organisation, min(int(call.rank), _MAX_CLASS)
        )
        refused = call if victim is None else victim
        self._overflowed.add(refused.organisation)
        refusal = self._overloaded(
            errors.Reason.QUEUE_FULL, 'the queue is full'
        )
        actions.append(Refuse(refused.call_key, refusal))
        return victim is not None

    def _complete(self, event: Complete, now_ms: float) -> None:
        if event.call_key in self._displaced:
            self._displaced.remove(event.call_key)
            return
        running = self._running.pop(event.call_key, None)
        if running is None:
            raise ValueError(f'call {event.call_key!r} was not started')
        self._queue.release(running.organisation)
        if event.call_key in self._cancelled:
            self._cancelled.remove(event.call_key)
            return
        if not event.is_ok:
            self._limit.failed(event.service_ms, now_ms)
            return
        self._times.observe(running.route, event.service_ms, now_ms)
        self._limit.answered(
            running.route,
            event.service_ms,
            event.child_ms,
            len(self._running) + 1,
            now_ms,
        )

    def _cancel(self, event: Cancel) -> None:
        if event.call_key in self._running:
            self._cancelled.add(event.call_key)
        else:
            self._queue.remove(event.call_key)

    def _start_queued(self, now_ms: float, actions: list[Action]) -> None:
        """Refuse expired calls and start queued ones within the limit."""
        queue = self._queue
        while (expired := queue.pop_expired(now_ms)) is not None:
            actions.append(Refuse(expired.call_key, _deadline_unreachable()))
        if not queue.calls:
            return
        limit = self._limit
        standing_since_ms = -math.inf
        if self._newest_first:
            standing_since_ms = now_ms - self._standing_ms
        while queue.calls and limit.is_open(len(self._running), now_ms):
            waiting = queue.pop(standing_since_ms)
            expected_ms = self._times.expected_ms(waiting.route, now_ms)
            if self._running and waiting.deadline_ms - now_ms < expected_ms:
                actions.append(
                    Refuse(waiting.call_key, _deadline_unreachable())
                )
            else:
                self._start(waiting.call_key, waiting, now_ms, actions)
        self._limit_opens_ms = (
            limit.next_open_ms(now_ms) if queue.calls else math.inf
        )

    def _start(
        self,
        call_key: CallKey,
        call: Arrive | fairqueue.Waiting,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        self._running[call_key] = call
        self._queue.occupy(call.organisation, call.weight)
        self._limit.started(len(self._running), now_ms)
        self._levels.served(call.organisation)
        actions.append(Start(call_key))

    def _end_window(self, now_ms: float, actions: list[Action]) -> None:
        answer_ms = self._limit.answer_ms
        overloaded = self._overflowed
        overloaded.update(
            self._queue.standing_since(now_ms - self._standing_ms)
        )
        # A cut shows only once what is queued has been started.
        wait_ms = self._limit.wait_ms(len(self._queue), now_ms)
        self._levels.end_window(overloaded, answer_ms + wait_ms, now_ms)
        overloaded.clear()
        self._standing_ms = max(
            STANDING_QUEUE_MS, min(answer_ms, MAX_STANDING_QUEUE_MS)
        )
        self._window_end_ms = now_ms + levels.WINDOW_MS
        self._limit.check_stall(len(self._running), now_ms)
        drain_started_ms = self._drain_started_ms
        if (
            drain_started_ms is not None
            and now_ms - drain_started_ms >= DRAIN_MS
        ):
            self._refuse_queue(_leaving(), actions)

    def _refuse_queue(
        self, refusal: errors.Refusal, actions: list[Action]
    ) -> None:
        while self._queue.calls:
            waiting = self._queue.pop(-math.inf)
            actions.append(Refuse(waiting.call_key, refusal))

    def _queue_capacity(self, now_ms: float) -> int:
        bound = self._queue_bound
        if bound is None:
            by_slots = self._queue_per_slot * self._limit.value
            bound = max(MIN_QUEUE_BOUND, by_slots)
        return self._limit.queue_bound(bound, now_ms)

    def _overloaded(
        self, reason: errors.Reason, detail: str
    ) -> errors.Refusal:
        retry_after_ms = int(RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return errors.not_run(reason, detail, retry_after_ms)


def _leaving() -> errors.Refusal:
    return errors.not_run(errors.Reason.LEAVING, 'target is leaving')


def _other_service() -> errors.Refusal:
    return errors.not_run(
        errors.Reason.LEAVING, 'the target is of another service'
    )


def _no_target() -> errors.Refusal:
    return errors.not_run(
        errors.Reason.UNREACHABLE, 'no target has announced itself'
    )


def _deadline_unreachable(wait_ms: float = 0.0) -> errors.Refusal:
    return errors.not_run(
        errors.Reason.DEADLINE,
        'cannot finish before the deadline',
        int(wait_ms),
    )


def admission_queue(
    rng: random.Random,
    queue_bound: int | None = None,
    limit: Limit | None = None,
    queue_per_slot: int = QUEUE_PER_SLOT,
    newest_first: bool = True,
) -> AdmissionQueue:
    """Create a queue that admits no calls until ``Announce``.

    Args:
        rng: Adds jitter to the retry-after times.
        queue_bound: Queue capacity; follows the limit if None.
        limit: Concurrency limit; learned from answers if None.
        queue_per_slot: Queue capacity per concurrent call, used if
            ``queue_bound`` is None.
        newest_first: Whether a standing queue is served newest first.
    """
    return AdmissionQueue(
        rng, queue_bound, limit, queue_per_slot, newest_first
    )
