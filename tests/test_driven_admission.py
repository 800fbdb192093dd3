"""Simulations of admission control with a cold, slow or overloaded target."""

import dataclasses
import random

from hypothesis import strategies as st

from parsleystile import admission
from parsleystile import context
from parsleystile import errors
from parsleystile import events
from parsleystile.invariants import Invariant
from tests import driven

_BASE_MS = 20.0
_SLOTS = 10
# Capacity of a target, as a multiple of the calls it runs at full speed. It
# must exceed one: the guard sees only service times, so it probes above full
# speed, and it detects a slowdown only at twice the usual time.
_CAPACITY_FACTOR = 3
_RUN_MS = 5000.0
_DEADLINE_MS = 1000.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """A load and a target.

    Attributes:
        initial_speed_slots: Calls run at full speed after a start.
        warm_up_ms: Time until all slots run at full speed.
        load: Arrival rate relative to the capacity of a warm target.
        critical: Share of critical arrivals.
        reset_ms: Time of an unannounced return to cold; None for never.
    """

    seed: int
    initial_speed_slots: int
    warm_up_ms: int
    load: float
    critical: float
    reset_ms: int | None


_PLANS = st.builds(
    Plan,
    seed=st.integers(0, 10_000),
    initial_speed_slots=st.integers(2, 4),
    warm_up_ms=st.sampled_from([1500, 3000, 5000]),
    load=st.sampled_from([0.5, 1.5, 4.0]),
    critical=st.sampled_from([0.1, 0.3]),
    reset_ms=st.sampled_from([None, 2000, 4000]),
)


class _Target:
    """Target that slows down above a number of calls and warms up."""

    def __init__(self, plan, scheduler):
        self._plan = plan
        self._scheduler = scheduler
        self._warm_up_started_ms = 0.0
        self._running = 0
        self._capacity = 0

    def step(self, is_announced):
        """Record the capacity of the target when it changes."""
        slots = _CAPACITY_FACTOR * self._full_speed_slots()
        if slots != self._capacity or is_announced:
            self._capacity = slots
            self._scheduler.record(
                't1',
                events.TargetCapacity(
                    target_id='t1', slots=slots, is_announced=is_announced
                ),
            )

    def reset_warm_up(self):
        self._warm_up_started_ms = self._scheduler.now_ms
        self.step(is_announced=False)

    def _full_speed_slots(self):
        plan = self._plan
        progress = (
            self._scheduler.now_ms - self._warm_up_started_ms
        ) / plan.warm_up_ms
        slots = plan.initial_speed_slots + progress * (
            _SLOTS - plan.initial_speed_slots
        )
        return min(_SLOTS, int(slots))

    def start(self, request_id, done):
        self._running += 1
        self._scheduler.record(
            't1',
            events.Executed(
                target_id='t1',
                request_id=request_id,
                call_path='p',
                root_request_id=request_id,
            ),
        )
        slowdown = max(1.0, self._running / self._full_speed_slots())
        self._scheduler.after(_BASE_MS * slowdown, self._end, request_id, done)

    def _end(self, request_id, done):
        self._running -= 1
        self._scheduler.record(
            't1',
            events.ExecutionEnded(target_id='t1', request_id=request_id),
        )
        done(request_id)


class _StaticQueue:
    """A guard with a fixed limit of declared slots and a FIFO queue."""

    def __init__(self):
        self._running = set()
        self._waiting = []

    def handle(self, event, now_ms):
        match event:
            case admission.Arrive(call_key=key):
                if len(self._waiting) >= 40:
                    refusal = errors.not_run(errors.Reason.QUEUE_FULL)
                    return [admission.Refuse(key, refusal)]
                self._waiting.append(key)
            case admission.Complete(call_key=key):
                self._running.discard(key)
        actions = []
        while self._waiting and len(self._running) < _SLOTS:
            key = self._waiting.pop(0)
            self._running.add(key)
            actions.append(admission.Start(key))
        return actions


class _Simulation:
    """Runs one guard and target under a load."""

    def __init__(self, plan, queue=None):
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._queue = queue or admission.admission_queue(
            random.Random(plan.seed + 1)
        )
        self._scheduler = driven.Scheduler()
        self._target = _Target(plan, self._scheduler)
        self._ranks = {}
        self._started_ms = {}

    def run(self):
        scheduler = self._scheduler
        self._target.step(is_announced=True)
        self._handle(admission.Announce(_SLOTS))
        self._arrive(0)
        self._tick()
        if self._plan.reset_ms is not None:
            scheduler.after(self._plan.reset_ms, self._target.reset_warm_up)
        scheduler.run(_RUN_MS)
        return scheduler.history()

    def _tick(self):
        self._target.step(is_announced=False)
        self._handle(admission.Tick())
        self._scheduler.after(10.0, self._tick)

    def _arrive(self, number):
        is_critical = self._rng.random() < self._plan.critical
        importance = 0 if is_critical else 1 + self._rng.randrange(2)
        key = f'q{number}'
        self._ranks[key] = importance + self._rng.random()
        now_ms = self._scheduler.now_ms
        organisation = f'o{self._rng.randrange(3)}'
        self._handle(
            admission.Arrive(
                key, organisation, self._ranks[key], now_ms + _DEADLINE_MS
            )
        )
        per_ms = self._plan.load * _SLOTS / _BASE_MS
        gap_ms = self._rng.expovariate(per_ms)
        self._scheduler.after(gap_ms, self._arrive, number + 1)

    def _handle(self, event):
        now_ms = self._scheduler.now_ms
        for action in self._queue.handle(event, now_ms):
            match action:
                case admission.Start(call_key=key):
                    self._started_ms[key] = now_ms
                    self._record(events.Admitted, key)
                    self._target.start(key, self._done)
                case admission.Refuse(call_key=key, refusal=refusal):
                    self._record(
                        events.Refused,
                        key,
                        outcome=refusal.outcome,
                        reason=refusal.reason,
                    )
                    self._answer(key, refusal)

    def _done(self, key):
        service_ms = self._scheduler.now_ms - self._started_ms[key]
        self._handle(admission.Complete(key, True, service_ms))

    def _record(self, kind, key, **fields):
        rank = self._ranks[key]
        event = kind(
            stage=events.Stage.GUARD,
            root_id=key,
            organisation='o',
            importance=context.Importance(int(rank)),
            rank=rank,
            **fields,
        )
        self._scheduler.record('n1', event)

    def _answer(self, key, refusal):
        self._scheduler.record(
            'caller',
            events.RequestAnswered(
                request_id=key,
                outcome=refusal.outcome,
                reason=refusal.reason,
            ),
        )


_INVARIANTS = {
    Invariant.COLD_TARGET_SPARED,
    Invariant.IMPORTANT_SHED_LAST,
    Invariant.NOT_RUN_TRUE,
}


def test_a_guard_protects_a_cold_target_and_important_calls():
    driven.assert_holds(
        _PLANS, lambda plan: _Simulation(plan).run(), _INVARIANTS, examples=15
    )


def test_a_limit_of_declared_slots_overloads_a_cold_target():
    driven.assert_breaks(
        _PLANS,
        lambda plan: _Simulation(plan, _StaticQueue()).run(),
        Invariant.COLD_TARGET_SPARED,
        examples=20,
    )


def test_a_fifo_queue_sheds_important_calls():
    driven.assert_breaks(
        _PLANS,
        lambda plan: _Simulation(plan, _StaticQueue()).run(),
        Invariant.IMPORTANT_SHED_LAST,
        examples=20,
    )
