"""Judges a new version of a service against the old one.

The load that this answers: a version that fails part of its requests or is
several times slower, at once, late, under load or on one route; and a service
that is in trouble as a whole, for which the new version isn't to blame.
"""

import dataclasses
import math

from parsleystile import ids
from parsleystile.relay import rolloutcounts

# Log-likelihood ratio at which a version is taken for bad.
ALARM = 8.0
# What a bad version has more than the old one, as a share of answers.
_EXCESS = 0.15
# Rates of the old version from which on nothing can be told.
_MAX_BASE = 0.6
# Answers that the old version is taken to have had, one of them bad.
_PRIOR_ANSWERS = 100.0
# Buckets above the median at which an answer is slow: 2.4 times.
_SLOW_BUCKETS = 4
_MIN_OLD_TIMES = 20
# Fewer recent bad answers of the old version are chance.
_MIN_RECENT_BAD = 3
# The old version's recent answers weigh half as much after this time.
_HALF_LIFE_MS = 2_000.0
# A report that covers more time tells nothing of the last moments.
_RECENT_MS = 1_250.0


class _Base:
    """Share of bad answers of the old version, overall and of late."""

    def __init__(self) -> None:
        self._overall = (0.0, 0.0)
        self._recent = (0.0, 0.0)
        # Answers of this evaluation's period and of the one before.
        self._current = (0.0, 0.0)
        self._previous = (0.0, 0.0)

    def add(self, answers: int, bad: int, is_recent: bool) -> None:
        self._overall = _plus(self._overall, answers, bad)
        if not is_recent:
            return
        self._recent = _plus(self._recent, answers, bad)
        self._current = _plus(self._current, answers, bad)

    def end_period(self, factor: float) -> None:
        answers, bad = self._recent
        self._recent = (answers * factor, bad * factor)
        self._previous, self._current = self._current, (0.0, 0.0)

    @property
    def rate(self) -> float:
        answers, bad = self._overall
        highest = (bad + 1.0) / (answers + _PRIOR_ANSWERS)
        for answers, bad in (self._recent, self._current, self._previous):
            if bad >= _MIN_RECENT_BAD:
                highest = max(highest, bad / answers)
        return highest


def _plus(
    sums: tuple[float, float], answers: int, bad: int
) -> tuple[float, float]:
    return sums[0] + answers, sums[1] + bad


class Cusum:
    """Sum of log-likelihood ratios that is kept at 0 or above."""

    def __init__(self) -> None:
        self.sum = 0.0

    def add(self, ratio: float) -> bool:
        """Add evidence; True if it is enough."""
        self.sum = max(0.0, self.sum + ratio)
        return self.sum >= ALARM


def likelihood_ratio(answers: int, bad: int, base: float) -> float:
    """Return how much answers speak for a bad version (natural logarithm)."""
    if base > _MAX_BASE:
        return 0.0
    other = base + _EXCESS
    return bad * math.log(other / base) + (answers - bad) * math.log(
        (1.0 - other) / (1.0 - base)
    )


@dataclasses.dataclass(slots=True)
class _Route:
    """What is known of a route.

    Attributes:
        times: Answers of the old version by bucket of their time.
        pending: Answers of the new one since the last evaluation, and
        held: those of the evaluation before.
    """

    failures: _Base = dataclasses.field(default_factory=_Base)
    slowness: _Base = dataclasses.field(default_factory=_Base)
    failed_sum: Cusum = dataclasses.field(default_factory=Cusum)
    slow_sum: Cusum = dataclasses.field(default_factory=Cusum)
    times: dict[int, int] = dataclasses.field(default_factory=dict)
    pending: rolloutcounts.RouteCounts = dataclasses.field(
        default_factory=lambda: rolloutcounts.RouteCounts(times={})
    )
    held: rolloutcounts.RouteCounts = dataclasses.field(
        default_factory=lambda: rolloutcounts.RouteCounts(times={})
    )

    def slow_from(self) -> int | None:
        """Return the lowest bucket that is slow; None if not known yet."""
        total = sum(self.times.values())
        if total < _MIN_OLD_TIMES:
            return None
        passed = 0
        for index in sorted(self.times):
            passed += self.times[index]
            if 2 * passed >= total:
                return index + _SLOW_BUCKETS
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Why a version is bad.

    Attributes:
        route: Route concerned; empty for all together.
        what: ``failures`` or ``slowness``.
        base_ratio: Share that the old version has.
    """

    route: str
    what: str
    base_ratio: float


class Judge:
    """Collects the reports of a service's nodes in one roll-out.

    The new version's answers wait for one evaluation, so that the old
    version's answers of the same time are known.

    Attributes:
        new_answers: Answers of the new version so far.
        new_failed: Those that failed.
        quiet: Nodes of old targets that said that nothing is there.
    """

    def __init__(self, target_version: str) -> None:
        self._target_version = target_version
        self._routes: dict[str, _Route] = {}
        self._all = Cusum()
        self._last: dict[
            ids.NodeId, tuple[int, str, dict[str, rolloutcounts.RouteCounts]]
        ] = {}
        self._heard_ms: dict[ids.NodeId, float] = {}
        self._evaluated_ms: float | None = None
        self.new_answers = 0
        self.new_failed = 0
        self.quiet: set[ids.NodeId] = set()

    def add(self, report: rolloutcounts.Report, now_ms: float) -> None:
        """Take a report over; an older or repeated one adds nothing."""
        if report.is_quiet:
            self.quiet.add(report.node_id)
        else:
            self.quiet.discard(report.node_id)
        if not report.routes:
            return
        epoch, version, before = self._last.get(
            report.node_id, (-1, report.version, {})
        )
        if epoch > report.epoch:
            return
        if epoch < report.epoch or version != report.version:
            before = {}
        self._last[report.node_id] = (
            report.epoch,
            report.version,
            report.routes,
        )
        before_ms = self._heard_ms.get(report.node_id, float('-inf'))
        self._heard_ms[report.node_id] = now_ms
        is_recent = now_ms - before_ms <= _RECENT_MS
        is_new = report.version == self._target_version
        for name, now in report.routes.items():
            known = self._routes.setdefault(name, _Route())
            delta = _difference(now, before.get(name))
            if is_new:
                _accumulate(known.pending, delta)
                self.new_answers += delta.answers
                self.new_failed += delta.failed
            else:
                _add_old(known, delta, is_recent)

    def evaluate(self, now_ms: float) -> Verdict | None:
        """Return why the new version is bad; None if that isn't shown."""
        before_ms, self._evaluated_ms = self._evaluated_ms, now_ms
        period_ms = 0.0 if before_ms is None else now_ms - before_ms
        factor = 0.5 ** (period_ms / _HALF_LIFE_MS)
        verdict: Verdict | None = None
        ratio_of_all = 0.0
        for name, known in self._routes.items():
            held, known.held = known.held, known.pending
            known.pending = rolloutcounts.RouteCounts(times={})
            base = known.failures.rate
            ratio = likelihood_ratio(held.answers, held.failed, base)
            ratio_of_all += ratio
            if known.failed_sum.add(ratio):
                verdict = Verdict(name, 'failures', base)
            if self._is_slow(known, held):
                verdict = Verdict(name, 'slowness', known.slowness.rate)
            known.failures.end_period(factor)
            known.slowness.end_period(factor)
        if self._all.add(ratio_of_all) and verdict is None:
            verdict = Verdict('', 'failures', 0.0)
        return verdict

    @staticmethod
    def _is_slow(known: _Route, held: rolloutcounts.RouteCounts) -> bool:
        slow_from = known.slow_from()
        if slow_from is None:
            return False
        slow = sum(n for i, n in held.times.items() if i >= slow_from)
        total = sum(held.times.values())
        ratio = likelihood_ratio(total, slow, known.slowness.rate)
        return known.slow_sum.add(ratio)


def _add_old(
    known: _Route, delta: rolloutcounts.RouteCounts, is_recent: bool
) -> None:
    known.failures.add(delta.answers, delta.failed, is_recent)
    for index, count in delta.times.items():
        known.times[index] = known.times.get(index, 0) + count
    slow_from = known.slow_from()
    if slow_from is not None:
        slow = sum(n for i, n in delta.times.items() if i >= slow_from)
        known.slowness.add(sum(delta.times.values()), slow, is_recent)


def _difference(
    now: rolloutcounts.RouteCounts, before: rolloutcounts.RouteCounts | None
) -> rolloutcounts.RouteCounts:
    if before is None or now.answers < before.answers:
        return now
    return rolloutcounts.RouteCounts(
        now.answers - before.answers,
        max(0, now.failed - before.failed),
        {
            index: count - before.times.get(index, 0)
            for index, count in now.times.items()
            if count > before.times.get(index, 0)
        },
    )


def _accumulate(
    total: rolloutcounts.RouteCounts, delta: rolloutcounts.RouteCounts
) -> None:
    total.answers += delta.answers
    total.failed += delta.failed
    for index, count in delta.times.items():
        total.times[index] = total.times.get(index, 0) + count


def judge(target_version: str) -> Judge:
    """Create a judge without reports."""
    return Judge(target_version)
