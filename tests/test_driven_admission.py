"""The guard's queue before a target that is cold, slow or overrun."""

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
# A target falls over above so many times the calls that it runs at full
# speed. The guard only sees service times, so it must probe above one, and
# calls a target slow at twice its usual time.
_BEARS = 3
_RUN_MS = 5000.0
_DEADLINE_MS = 1000.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """A load and a target.

    Attributes:
        warmth: Calls that the target runs at full speed when it starts.
        warm_up_ms: Until it runs all its slots at full speed.
        load: Arrivals relative to what the warm target can do.
        critical: Share of critical arrivals.
        cold_again_ms: When it turns cold without a word; None for never.
    """

    seed: int
    warmth: int
    warm_up_ms: int
    load: float
    critical: float
    cold_again_ms: int | None


_PLANS = st.builds(
    Plan,
    seed=st.integers(0, 10_000),
    warmth=st.integers(2, 4),
    warm_up_ms=st.sampled_from([1500, 3000, 5000]),
    load=st.sampled_from([0.5, 1.5, 4.0]),
    critical=st.sampled_from([0.1, 0.3]),
    cold_again_ms=st.sampled_from([None, 2000, 4000]),
)


class _Target:
    """Is fast up to ``warmth`` calls, then slower, then falls over."""

    def __init__(self, plan, scheduler):
        self._plan = plan
        self._scheduler = scheduler
        self._cold_ms = 0.0
        self._running = 0
        self._told = 0

    def step(self, told):
        """Record what the target bears, whenever that changes."""
        slots = _BEARS * self._speed_slots()
        if slots != self._told or told:
            self._told = slots
            self._scheduler.record(
                't1',
                events.TargetCapacity(target_id='t1', slots=slots, told=told),
            )

    def turn_cold(self):
        self._cold_ms = self._scheduler.now_ms
        self.step(told=False)

    def _speed_slots(self):
        plan = self._plan
        warm = (self._scheduler.now_ms - self._cold_ms) / plan.warm_up_ms
        grown = plan.warmth + warm * (_SLOTS - plan.warmth)
        return min(_SLOTS, int(grown))

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
        slowdown = max(1.0, self._running / self._speed_slots())
        self._scheduler.after(_BASE_MS * slowdown, self._end, request_id, done)

    def _end(self, request_id, done):
        self._running -= 1
        self._scheduler.record(
            't1',
            events.ExecutionEnded(target_id='t1', request_id=request_id),
        )
        done(request_id)


class _NaiveQueue:
    """A guard without the mechanisms: declared slots, first in first out."""

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


class _Run:
    """Drives one guard with a load."""

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
        self._target.step(told=True)
        self._feed(admission.Announce(_SLOTS))
        self._arrive(0)
        self._tick()
        if self._plan.cold_again_ms is not None:
            scheduler.after(self._plan.cold_again_ms, self._target.turn_cold)
        scheduler.run(_RUN_MS)
        return scheduler.history()

    def _tick(self):
        self._target.step(told=False)
        self._feed(admission.Tick())
        self._scheduler.after(10.0, self._tick)

    def _arrive(self, number):
        is_critical = self._rng.random() < self._plan.critical
        importance = 0 if is_critical else 1 + self._rng.randrange(2)
        key = f'q{number}'
        self._ranks[key] = importance + self._rng.random()
        now_ms = self._scheduler.now_ms
        organisation = f'o{self._rng.randrange(3)}'
        self._feed(
            admission.Arrive(
                key, organisation, self._ranks[key], now_ms + _DEADLINE_MS
            )
        )
        per_ms = self._plan.load * _SLOTS / _BASE_MS
        gap_ms = self._rng.expovariate(per_ms)
        self._scheduler.after(gap_ms, self._arrive, number + 1)

    def _feed(self, event):
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
        self._feed(admission.Complete(key, True, service_ms))

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


_PROMISES = {
    Invariant.COLD_TARGET_SPARED,
    Invariant.IMPORTANT_SHED_LAST,
    Invariant.NOT_RUN_TRUE,
}


def test_a_guard_spares_its_target_and_the_important():
    driven.assert_holds(
        _PLANS, lambda plan: _Run(plan).run(), _PROMISES, examples=15
    )


def test_declared_slots_alone_overrun_a_cold_target():
    driven.assert_breaks(
        _PLANS,
        lambda plan: _Run(plan, _NaiveQueue()).run(),
        Invariant.COLD_TARGET_SPARED,
        examples=20,
    )


def test_first_in_first_out_sheds_the_important_too():
    driven.assert_breaks(
        _PLANS,
        lambda plan: _Run(plan, _NaiveQueue()).run(),
        Invariant.IMPORTANT_SHED_LAST,
        examples=20,
    )
