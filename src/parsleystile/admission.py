"""The guard's decision on each call for its target: start, wait, refuse."""

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

# Events and actions are structs, not data classes: several are made for each
# call, and a frozen data class sets its fields one by one in Python.

QUEUE_PER_SLOT = 4
QUEUE_FLOOR = 8
# Calls of an organisation queued without a break for so long, or for a
# service time up to the cap if that is longer, mean overload.
STANDING_MS = 100.0
STANDING_CAP_MS = 1000.0
# After Drain the queue is still served for this long.
DRAIN_MS = 1000.0
RETRY_AFTER_MS = 1000
_MAX_CLASS = 2


class Arrive(msgspec.Struct, frozen=True):
    """A call for the target.

    Attributes:
        call_key: Names the call at this guard until it is over.
        rank: Importance class plus draw; the lowest is shed last.
        deadline_ms: On the clock of this node.
        weight: Share of the organisation, relative to others.
        route: Service times are kept by route.
        is_sheddable: Whether the admission level may refuse it; what
            belongs to a request admitted further up is not shed.
    """

    call_key: CallKey
    organisation: ids.OrganisationId
    rank: float
    deadline_ms: float
    weight: float = 1.0
    route: str = ''
    is_sheddable: bool = True


class Complete(msgspec.Struct, frozen=True):
    """The target is done with a started call; its slot is free.

    Attributes:
        is_ok: False if the target itself failed: no connection, a lost
            one, 502 to 504 without a refused child call. Other answers
            say nothing against its load.
        service_ms: From start until now.
        child_ms: Part of it that the target spent waiting for the child
            calls it made; it says nothing on the target's own state.
    """

    call_key: CallKey
    is_ok: bool
    service_ms: float
    child_ms: float = 0.0


class Cancel(msgspec.Struct, frozen=True):
    """The caller is gone.

    A queued call is forgotten without an action. A started one keeps its
    slot until Complete, whose figures are then not learned from.
    """

    call_key: CallKey


class Tick(msgspec.Struct, frozen=True):
    """Nothing happened, but time passed."""


class Announce(msgspec.Struct, frozen=True):
    """The target has started, or started anew; with 0 slots it is gone."""

    slots: int


class Drain(msgspec.Struct, frozen=True):
    """The target is leaving: nothing new until the next Announce."""


class Level(msgspec.Struct, frozen=True):
    """The highest admission level that operators allow."""

    admission_level: float


Event = Arrive | Complete | Cancel | Tick | Announce | Drain | Level


class Start(msgspec.Struct, frozen=True):
    """Hand the call to the target now."""

    call_key: CallKey


class Refuse(msgspec.Struct, frozen=True):
    """Refuse the call; nothing of it has reached the target."""

    call_key: CallKey
    refusal: errors.Refusal


Action = Start | Refuse


class Load(msgspec.Struct, frozen=True):
    """What a guard tells upstream on each answer."""

    in_flight: int
    limit: int
    queued: int
    admission_level: float


class Limit(typing.Protocol):
    """How many calls the target may have; see ``ConcurrencyLimit``."""

    @property
    def value(self) -> int:
        """Calls that may be in flight; 0 before any announcement."""

    @property
    def answer_ms(self) -> float:
        """Mean time from start to answer of late; 0 if unknown."""

    def announce(self, slots: int, now_ms: float) -> None:
        """Take in that the target has just (re)started."""

    def is_open(self, in_flight: int, now_ms: float) -> bool:
        """Whether one more call may start now."""

    def next_open_ms(self, now_ms: float) -> float:
        """When time alone may open it; inf if only an answer can."""

    def started(self, in_flight: int, now_ms: float) -> None:
        """Note that a call was handed over."""

    def failed(self, service_ms: float, now_ms: float) -> None:
        """Learn that the target failed a call."""

    def answered(
        self,
        route: str,
        service_ms: float,
        child_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Learn from one answer."""

    def check_silence(self, in_flight: int, now_ms: float) -> None:
        """Look for answers that have stopped."""


class AdmissionQueue:
    """Admits to one target; feed events to ``handle``, do what it says.

    Never more calls are started than the concurrency limit allows. The
    shell sends ``Tick`` at ``next_tick_ms``, which changes with each event.
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
        self._open_ms = math.inf
        self._levels = levels.AdmissionLevels()
        self._times = servicetime.ServiceTimes()
        self._queue = fairqueue.FairQueue()
        self._running: dict[CallKey, Arrive | fairqueue.Waiting] = {}
        self._cancelled: set[CallKey] = set()
        self._drained_ms: float | None = None
        # Organisations of which the full queue refused a call.
        self._overrun: set[ids.OrganisationId] = set()
        self._standing_ms = STANDING_MS
        self._window_end_ms = 0.0

    @property
    def next_tick_ms(self) -> float:
        """When the shell must send Tick at the latest; inf if never."""
        if self._running or self._queue.calls or not self._levels.is_at_rest:
            return min(
                self._window_end_ms, self._queue.next_drop_ms, self._open_ms
            )
        return math.inf

    def load(
        self, now_ms: float, organisation: ids.OrganisationId | None = None
    ) -> Load:
        """Return the state that callers should know.

        Args:
            now_ms: Now.
            organisation: Whose admission level to tell; that of the call
                answered. If None, the lowest of all is told.
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
        """Take in one event; return what to do, in order."""
        actions: list[Action] = []
        if now_ms >= self._window_end_ms:
            self._end_window(now_ms, actions)
        match event:
            case Arrive():
                self._arrive(event, now_ms, actions)
            case Complete():
                self._complete(event, now_ms)
                self._fill(now_ms, actions)
            case Tick():
                self._fill(now_ms, actions)
            case Cancel():
                self._cancel(event)
            case Announce():
                self._limit.announce(event.slots, now_ms)
                self._drained_ms = None
                if event.slots == 0:
                    self._refuse_queue(_no_target(), actions)
                self._fill(now_ms, actions)
            case Drain():
                if self._drained_ms is None:
                    self._drained_ms = now_ms
            case Level():
                self._levels.set_cap(event.admission_level)
        return actions

    def _arrive(
        self, call: Arrive, now_ms: float, actions: list[Action]
    ) -> None:
        refusal = self._refusal(call, now_ms)
        if refusal is not None:
            actions.append(Refuse(call.call_key, refusal))
            return
        is_open = self._limit.is_open(len(self._running), now_ms)
        if is_open and not self._queue.calls:
            self._start(call.call_key, call, now_ms, actions)
            return
        bound = self._bound(self._limit.value)
        if len(self._queue) >= bound and not self._evict(call, actions):
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
        self._open_ms = self._limit.next_open_ms(now_ms)
        if is_open:
            self._fill(now_ms, actions)

    def _refusal(self, call: Arrive, now_ms: float) -> errors.Refusal | None:
        limit = self._limit.value
        if self._drained_ms is not None:
            return _leaving()
        if limit == 0:
            return _no_target()
        is_admitted = self._levels.is_admitted(call.organisation, call.rank)
        if call.is_sheddable and not is_admitted:
            return self._busy(errors.Reason.SHED, 'rank is not admitted')
        remaining_ms = call.deadline_ms - now_ms
        # With nothing in flight the estimate may be stale: try it.
        if remaining_ms <= 0.0 or (
            self._running
            and remaining_ms < self._times.expected_ms(call.route, now_ms)
        ):
            return _too_late()
        return None

    def _evict(self, call: Arrive, actions: list[Action]) -> bool:
        """Make room for a call, or refuse it and return False."""
        victim = self._queue.pop_victim(
            call.organisation, min(int(call.rank), _MAX_CLASS)
        )
        refused = call if victim is None else victim
        self._overrun.add(refused.organisation)
        refusal = self._busy(errors.Reason.QUEUE_FULL, 'the queue is full')
        actions.append(Refuse(refused.call_key, refusal))
        return victim is not None

    def _complete(self, event: Complete, now_ms: float) -> None:
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

    def _fill(self, now_ms: float, actions: list[Action]) -> None:
        """Refuse what is late and start what fits."""
        queue = self._queue
        while (late := queue.pop_late(now_ms)) is not None:
            actions.append(Refuse(late.call_key, _too_late()))
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
                actions.append(Refuse(waiting.call_key, _too_late()))
            else:
                self._start(waiting.call_key, waiting, now_ms, actions)
        self._open_ms = limit.next_open_ms(now_ms) if queue.calls else math.inf

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
        overloaded = self._overrun
        overloaded.update(self._queue.standing(now_ms - self._standing_ms))
        self._levels.end_window(overloaded, answer_ms, now_ms)
        overloaded.clear()
        self._standing_ms = max(STANDING_MS, min(answer_ms, STANDING_CAP_MS))
        self._window_end_ms = now_ms + levels.WINDOW_MS
        self._limit.check_silence(len(self._running), now_ms)
        drained_ms = self._drained_ms
        if drained_ms is not None and now_ms - drained_ms >= DRAIN_MS:
            self._refuse_queue(_leaving(), actions)

    def _refuse_queue(
        self, refusal: errors.Refusal, actions: list[Action]
    ) -> None:
        while self._queue.calls:
            waiting = self._queue.pop(-math.inf)
            actions.append(Refuse(waiting.call_key, refusal))

    def _bound(self, limit: int) -> int:
        if self._queue_bound is not None:
            return self._queue_bound
        return max(QUEUE_FLOOR, self._queue_per_slot * limit)

    def _busy(self, reason: errors.Reason, detail: str) -> errors.Refusal:
        retry_after_ms = int(RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))
        return errors.not_run(reason, detail, retry_after_ms)


def _leaving() -> errors.Refusal:
    return errors.not_run(errors.Reason.LEAVING, 'target is leaving')


def _no_target() -> errors.Refusal:
    return errors.not_run(
        errors.Reason.UNREACHABLE, 'no target has announced itself'
    )


def _too_late() -> errors.Refusal:
    return errors.not_run(
        errors.Reason.DEADLINE, 'cannot finish before the deadline'
    )


def admission_queue(
    rng: random.Random,
    queue_bound: int | None = None,
    limit: Limit | None = None,
    queue_per_slot: int = QUEUE_PER_SLOT,
    newest_first: bool = True,
) -> AdmissionQueue:
    """Create a queue that admits nothing until Announce.

    Args:
        rng: Spreads the times at which callers may come back.
        queue_bound: Calls that may wait; by the limit if None.
        limit: Calls that may run; learned from answers if None.
        queue_per_slot: Calls that may wait for each that may run, where
            ``queue_bound`` is None.
        newest_first: Whether a standing queue is served from its end.
    """
    return AdmissionQueue(
        rng, queue_bound, limit, queue_per_slot, newest_first
    )
