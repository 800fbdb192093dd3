"""Decides which stage of a roll-out comes next, at one of its judges.

The load that this answers: a move that must end in time, stop when the new
version is bad and never leave a service without targets.
"""

import dataclasses

from parsleystile import ids
from parsleystile.relay import rollout
from parsleystile.relay import rolloutjudge

# Time between evaluations, and in the steps, in which a version that turns bad
# costs many times as much.
_USUAL_PERIOD_MS = 500.0
_STEP_PERIOD_MS = 200.0
# A trial that began late ends after this part of the duration, or with this
# many answers.
_MIN_TRIAL_PART = 0.3
_MIN_TRIAL_ANSWERS = 60
# Shortest time of each step, as part of the duration and in all.
_MIN_STEP_PART = 0.055
_MIN_STEP_MS = 500.0
_MAX_STEP_MS = 10_000.0
# Targets that vanish for a moment may only have restarted their node.
_MISSING_MS = 2_000.0
# Part of the duration up to which old targets that can't be reached keep the
# move from ending, and the shortest such time.
_PATIENCE_PART = 0.95
_MIN_PATIENCE_MS = 3_000.0


def period_ms(stage: int) -> float:
    """Return the time between evaluations, and between reports."""
    if rollout.Stage.STEP_1 <= stage <= rollout.Stage.STEP_3:
        return _STEP_PERIOD_MS
    return _USUAL_PERIOD_MS


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a judge sees of its service.

    Attributes:
        age_ms: Time since the order was first seen.
        new_targets: Serving targets of the new version.
        old_nodes: Reachable nodes of serving targets of other versions.
        old_unreachable: Whether there are such nodes that can't be reached.
    """

    now_ms: float
    age_ms: float
    new_targets: int
    old_nodes: frozenset[ids.NodeId]
    old_unreachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What follows from a view.

    Attributes:
        stage: Stage to take now.
        wanted: Stage that needs the store's row first; None for none.
        why: Reason in one line.
    """

    stage: rollout.Stage
    wanted: rollout.Stage | None = None
    why: str = ''


class Plan:
    """One order at one judge.

    Attributes:
        judge: Collects the reports.
    """

    def __init__(self, order: int, target: str, duration_ms: float) -> None:
        self.order = order
        self.judge = rolloutjudge.judge(target)
        self._duration_ms = duration_ms
        self._stage: int | None = None
        self._since_ms = 0.0
        self._served_ms: float | None = None
        self._missing_ms: float | None = None
        self._evaluated_ms = float('-inf')

    def decide(self, stage: int, view: View) -> Decision:
        """Return the stage to take, given the one in force."""
        now_ms = view.now_ms
        if stage != self._stage:
            self._stage, self._since_ms = stage, now_ms
        if stage >= rollout.Stage.ROLLED_BACK:
            known = rollout.Stage(min(stage, rollout.Stage.COMPLETED))
            return Decision(known, known)
        if stage == rollout.Stage.PREPARED:
            return Decision(rollout.Stage.PREPARED, rollout.Stage.TRIAL)
        fault = self._fault(stage, view)
        if fault:
            return Decision(rollout.Stage.ROLLED_BACK, why=fault)
        if not view.new_targets:
            return Decision(rollout.Stage(stage))
        if stage == rollout.Stage.WHOLE:
            return self._completion(view)
        if now_ms - self._since_ms < self._min_time_ms(stage):
            return Decision(rollout.Stage(stage))
        follows = rollout.next_stage(stage, view.age_ms, self._duration_ms)
        if follows != stage:
            self._stage, self._since_ms = follows, now_ms
        return Decision(follows, why='no fault so far')

    def _fault(self, stage: int, view: View) -> str:
        """Return why the move is to be undone; empty if it isn't."""
        now_ms = view.now_ms
        if now_ms - self._evaluated_ms >= period_ms(stage):
            self._evaluated_ms = now_ms
            verdict = self.judge.evaluate(now_ms)
            if verdict is not None:
                return (
                    f'{verdict.what} on {verdict.route or "all routes"}:'
                    f' {self.judge.new_failed} of {self.judge.new_answers}'
                    f' answers failed, {verdict.base_ratio:.3f} expected'
                )
        if view.new_targets:
            self._missing_ms = None
            if self._served_ms is None:
                self._served_ms = now_ms
            return ''
        if self._missing_ms is None:
            self._missing_ms = now_ms
        if now_ms - self._missing_ms < _MISSING_MS:
            return ''
        if stage >= rollout.Stage.STEP_1:
            return 'all its targets are gone'
        if view.age_ms >= self._duration_ms:
            return 'no target of it by the deadline'
        return ''

    def _min_time_ms(self, stage: int) -> float:
        if stage == rollout.Stage.TRIAL:
            # Counted from the first target on.
            if self.judge.new_answers >= _MIN_TRIAL_ANSWERS:
                return 0.0
            late_ms = max(0.0, (self._served_ms or 0.0) - self._since_ms)
            return late_ms + _MIN_TRIAL_PART * self._duration_ms
        part_ms = _MIN_STEP_PART * self._duration_ms
        return min(_MAX_STEP_MS, max(_MIN_STEP_MS, part_ms))

    def _completion(self, view: View) -> Decision:
        whole = rollout.Stage.WHOLE
        if not view.old_nodes <= self.judge.quiet:
            return Decision(whole)
        if view.old_unreachable:
            patience_ms = view.now_ms - self._since_ms
            is_early = view.age_ms < _PATIENCE_PART * self._duration_ms
            if is_early or patience_ms < _MIN_PATIENCE_MS:
                return Decision(whole)
        return Decision(whole, rollout.Stage.COMPLETED, 'old targets are idle')


def plan(order: int, target_version: str, duration_ms: float) -> Plan:
    """Create the plan of an order."""
    return Plan(order, target_version, duration_ms)
