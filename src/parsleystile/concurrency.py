"""Adaptive concurrency limit of one target, learned from its answers."""

import dataclasses
import math

# Limits are in concurrent calls. A target that has just started gets
# COLD_LIMIT.
COLD_LIMIT = 2.0
MIN_LIMIT = 1.0
# Multiplicative decrease of the limit.
DECREASE_FACTOR = 0.5
# When a cut shows that load slows the target down, the new limit is the old
# one divided by the slowdown, within these factors of the old one.
MIN_CUT_FACTOR = 0.5
MAX_CUT_FACTOR = 0.8
# Growth per window without a slowdown: fast below the slow-start threshold,
# slow above it. The threshold is this share of the limit at the last
# decrease and expires after a time.
FAST_GROWTH_FACTOR = 1.25
SLOW_GROWTH_FACTOR = 1.02
SLOW_START_THRESHOLD_SHARE = 0.7
SLOW_START_THRESHOLD_MS = 5_000.0
# A window ends after this many answers, or as many as the limit if that is
# lower, but no earlier than WINDOW_MS.
WINDOW_ANSWERS = 8
MIN_WINDOW_ANSWERS = 3
WINDOW_MS = 100.0
# The limit grows only while more than this share of it is in use.
MIN_UTILISATION = 0.6
# Log slowdown: natural logarithm of a service time over the baseline of its
# route.
# Above this mean, a factor of 1.2, the limit does not grow.
MAX_GROWTH_LOG_SLOWDOWN = 0.2
# CUSUM change detection over answers: slack per answer, and threshold. One
# sum is over log slowdowns, the other over failures.
SLOWDOWN_CUSUM_SLACK = 0.5
SLOWDOWN_CUSUM_THRESHOLD = 4.0
# Log slowdowns are clipped to this magnitude.
MAX_LOG_SLOWDOWN = 2.0
ERROR_CUSUM_SLACK = 0.2
ERROR_CUSUM_THRESHOLD = 3.0
# Smoothing factors of the baseline: in general, and while at most one call
# may be in flight.
SMOOTHING = 0.05
UNLOADED_SMOOTHING = 0.2
# A baseline is the plain mean of this many answers before it is smoothed.
WARMUP_ANSWERS = 10
# How far the baseline may drift above its minimum, as a natural logarithm:
# unbounded, it would rise with the limit and hide overload.
MAX_BASELINE_LOG_DRIFT = 0.15
# Rate at which the minimum follows the mean, per answer while at most half
# of the limit is in use.
MINIMUM_SMOOTHING = 0.002
# A slowdown caused by load recedes after the limit is cut. If less than this
# share of the expected part recedes, load is not the cause.
MIN_RECOVERY_SHARE = 0.5
# Answers after a cut on which that is decided.
CUT_TRIAL_ANSWERS = 8
# A limit that a slowdown keeps from growing for this long is cut on trial.
MAX_BLOCKED_MS = 10_000.0
BLOCKED_TRIAL_ANSWERS = 24
# A target without an answer for this many mean answer times is stalled.
STALL_FACTOR = 5.0
MIN_STALL_MS = 200.0
# All baselines are discarded when one more route would exceed this.
MAX_ROUTES = 256
# Lower bound of service times, whose logarithm is taken.
_MIN_SERVICE_MS = 0.01


@dataclasses.dataclass(slots=True)
class _Baseline:
    """Baseline service time of a route, as logarithms of ms."""

    mean: float
    minimum: float
    answers: int = 1


@dataclasses.dataclass(slots=True)
class _Window:
    """Answers since the last decision on growth."""

    start_ms: float = 0.0
    answers: int = 0
    log_slowdown: float = 0.0
    in_flight: int = 0
    peak_in_flight: int = 0


@dataclasses.dataclass(slots=True)
class _Mean:
    """A running mean."""

    total: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.total += value
        self.count += 1

    @property
    def value(self) -> float:
        return self.total / self.count if self.count else 0.0


@dataclasses.dataclass(slots=True)
class _CutTrial:
    """Trial of whether a cut of the limit makes the target faster.

    Attributes:
        before: Log slowdown of calls started before the cut.
        after: Log slowdown of calls started since.
        needed: Answers needed to decide.
    """

    limit_before: float
    before: _Mean
    needed: int
    after: _Mean = dataclasses.field(default_factory=_Mean)


class ConcurrencyLimit:
    """Adaptive limit on the concurrent calls at one target.

    The limit starts low at ``announce``, grows multiplicatively while
    service times stay near the baseline, and is halved when service times
    jump, errors rise or answers stop. If calls don't get faster after a cut,
    load is not the cause: the new service time becomes the baseline and the
    limit is restored. Declared slots are only an upper bound.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._limit = 0.0
        self._baselines: dict[str, _Baseline] = {}
        self._window = _Window()
        self._cut_trial: _CutTrial | None = None
        # Log slowdown since its CUSUM was last zero.
        self._slow_run = _Mean()
        self._blocked = _Mean()
        self._blocked_since_ms = math.inf
        self._error_cusum = 0.0
        self._slow_start_threshold = math.inf
        self._threshold_expires_ms = 0.0
        self._decreased_ms = 0.0
        self._increased_ms = 0.0
        self._last_answer_ms = 0.0
        self._answer_ms = 0.0

    @property
    def value(self) -> int:
        """Calls that may be in flight now; 0 before any announcement."""
        return int(self._limit)

    @property
    def answer_ms(self) -> float:
        """Moving average of the time from start to answer; 0 if unknown."""
        return self._answer_ms

    def announce(self, slots: int, now_ms: float) -> None:
        """Reset to the cold limit: the target (re)started with ``slots``."""
        self._slots = slots
        self._limit = min(float(slots), COLD_LIMIT)
        self._baselines.clear()
        self._cut_trial = None
        self._slow_start_threshold = math.inf
        self._answer_ms = 0.0
        self._reset(now_ms)
        self._last_answer_ms = now_ms
        self._decreased_ms = now_ms

    def forget(self) -> None:
        """Do nothing: each announcement resets all."""

    def is_open(self, in_flight: int, now_ms: float) -> bool:
        """Return whether one more call may start now."""
        del now_ms
        return in_flight < int(self._limit)

    def next_open_ms(self, now_ms: float) -> float:
        """Return inf: only an answer can open this limit, not time."""
        del now_ms
        return math.inf

    def wait_ms(self, queued: int, now_ms: float) -> float:
        """Return 0: answers alone open this limit, at unknown times."""
        del queued, now_ms
        return 0.0

    def queue_bound(self, bound: int, now_ms: float) -> int:
        """Return ``bound``: answers alone open this limit."""
        del now_ms
        return bound

    def started(self, in_flight: int, now_ms: float) -> None:
        """Record a started call; ``in_flight`` includes it."""
        if in_flight == 1:
            self._last_answer_ms = now_ms
        if in_flight > self._window.peak_in_flight:
            self._window.peak_in_flight = in_flight

    def failed(self, service_ms: float, now_ms: float) -> None:
        """Record that the target failed a call after ``service_ms``."""
        self._last_answer_ms = now_ms
        if now_ms - service_ms < self._decreased_ms:
            return
        self._error_cusum += 1.0 - ERROR_CUSUM_SLACK
        if self._error_cusum > ERROR_CUSUM_THRESHOLD:
            self._decrease(now_ms)

    def answered(
        self,
        route: str,
        service_ms: float,
        child_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Update the limit from one answer.

        Args:
            route: Service times are compared within one route only.
            service_ms: Time from start to answer.
            child_ms: Part of it spent waiting for child calls.
            in_flight: Calls at the target, including this one.
            now_ms: Current time.
        """
        self._last_answer_ms = now_ms
        if self._answer_ms == 0.0:
            self._answer_ms = service_ms
        self._answer_ms += SMOOTHING * (service_ms - self._answer_ms)
        own_ms = max(service_ms - child_ms, _MIN_SERVICE_MS)
        if now_ms - service_ms < self._decreased_ms:
            # Started before the last decrease: it reflects the old load.
            if self._cut_trial is not None:
                self._cut_trial.before.add(self._log_slowdown(route, own_ms))
            return
        self._error_cusum = max(0.0, self._error_cusum - ERROR_CUSUM_SLACK)
        log_slowdown = self._update_baseline(route, own_ms)
        window = self._window
        # Calls started before the last increase don't show its effect.
        if now_ms - service_ms >= self._increased_ms:
            window.answers += 1
            window.log_slowdown += log_slowdown
            window.in_flight += in_flight
        if self._cut_trial is not None:
            self._evaluate_trial(self._cut_trial, log_slowdown, now_ms)
        elif self._is_slowdown_detected(log_slowdown):
            self._decrease_on_trial(self._slow_run, CUT_TRIAL_ANSWERS, now_ms)
        elif now_ms - window.start_ms >= WINDOW_MS:
            self._end_window(now_ms)

    def check_stall(self, in_flight: int, now_ms: float) -> None:
        """Decrease the limit if the target is stalled; see STALL_FACTOR."""
        if in_flight == 0 or self._answer_ms == 0.0:
            return
        timeout_ms = max(MIN_STALL_MS, STALL_FACTOR * self._answer_ms)
        if now_ms - self._last_answer_ms > timeout_ms:
            self._last_answer_ms = now_ms
            self._decrease(now_ms)

    def _log_slowdown(self, route: str, own_ms: float) -> float:
        """Return the clipped logarithm of a time over the baseline."""
        baseline = self._baselines.get(route)
        if baseline is None:
            return 0.0
        log_slowdown = math.log(own_ms) - baseline.mean
        return min(MAX_LOG_SLOWDOWN, max(-MAX_LOG_SLOWDOWN, log_slowdown))

    def _update_baseline(self, route: str, own_ms: float) -> float:
        """Update the baseline with one time; return its log slowdown."""
        baseline = self._baselines.get(route)
        if baseline is None:
            if len(self._baselines) >= MAX_ROUTES:
                self._baselines.clear()
            time = math.log(own_ms)
            self._baselines[route] = _Baseline(time, time)
            return 0.0
        log_slowdown = self._log_slowdown(route, own_ms)
        baseline.answers += 1
        if baseline.answers <= WARMUP_ANSWERS:
            baseline.mean += log_slowdown / baseline.answers
            baseline.minimum = baseline.mean
            return log_slowdown
        if self._limit <= MIN_LIMIT:
            # The only call at the target shows the unloaded service time.
            baseline.mean += UNLOADED_SMOOTHING * log_slowdown
            baseline.minimum = baseline.mean
            return log_slowdown
        mean = baseline.mean + SMOOTHING * log_slowdown
        if mean < baseline.minimum:
            baseline.minimum = mean
        elif 2 * self._window.peak_in_flight <= self._limit:
            baseline.minimum += MINIMUM_SMOOTHING * (mean - baseline.minimum)
        baseline.mean = min(mean, baseline.minimum + MAX_BASELINE_LOG_DRIFT)
        return log_slowdown

    def _is_slowdown_detected(self, log_slowdown: float) -> bool:
        run = self._slow_run
        run.add(log_slowdown)
        cusum = run.total - SLOWDOWN_CUSUM_SLACK * run.count
        if cusum <= 0.0:
            run.total = 0.0
            run.count = 0
        return cusum > SLOWDOWN_CUSUM_THRESHOLD

    def _evaluate_trial(
        self, trial: _CutTrial, log_slowdown: float, now_ms: float
    ) -> None:
        trial.after.add(log_slowdown)
        if trial.after.count < trial.needed:
            return
        self._cut_trial = None
        before = trial.before.value
        after = trial.after.value
        expected = min(before, math.log(trial.limit_before / self._limit))
        if before - after < MIN_RECOVERY_SHARE * expected or expected <= 0.0:
            self._rebase(after, trial.limit_before)
        elif after > SLOWDOWN_CUSUM_SLACK:
            self._decrease_on_trial(trial.after, CUT_TRIAL_ANSWERS, now_ms)
            return
        else:
            factor = min(
                MAX_CUT_FACTOR, max(MIN_CUT_FACTOR, math.exp(-before))
            )
            self._limit = max(self._limit, factor * trial.limit_before)
        self._reset(now_ms)

    def _rebase(self, log_slowdown: float, limit_before: float) -> None:
        """Make current times the baseline and undo the last decrease."""
        for baseline in self._baselines.values():
            baseline.mean += log_slowdown
            baseline.minimum += log_slowdown
        self._limit = min(float(self._slots), limit_before)
        self._slow_start_threshold = math.inf

    def _decrease_on_trial(
        self, before: _Mean, needed: int, now_ms: float
    ) -> None:
        limit_before = self._limit
        self._decrease(now_ms)
        self._cut_trial = _CutTrial(limit_before, before, needed)

    def _decrease(self, now_ms: float) -> None:
        self._slow_start_threshold = SLOW_START_THRESHOLD_SHARE * self._limit
        self._threshold_expires_ms = now_ms + SLOW_START_THRESHOLD_MS
        self._limit = min(
            self._slots, max(MIN_LIMIT, DECREASE_FACTOR * self._limit)
        )
        self._cut_trial = None
        self._reset(now_ms)
        self._decreased_ms = now_ms

    def _reset(self, now_ms: float) -> None:
        self._window = _Window(now_ms)
        self._slow_run = _Mean()
        self._error_cusum = 0.0
        self._blocked_since_ms = math.inf

    def _end_window(self, now_ms: float) -> None:
        window = self._window
        needed = min(WINDOW_ANSWERS, self._limit)
        if window.answers < max(MIN_WINDOW_ANSWERS, needed):
            return
        mean_in_flight = window.in_flight / window.answers
        is_utilised = mean_in_flight > MIN_UTILISATION * int(self._limit)
        is_slow = (
            window.log_slowdown > MAX_GROWTH_LOG_SLOWDOWN * window.answers
        )
        self._window = _Window(now_ms)
        if not is_utilised:
            return
        if is_slow:
            self._record_blocked(window, now_ms)
        else:
            self._blocked_since_ms = math.inf
            self._increase(now_ms)

    def _record_blocked(self, window: _Window, now_ms: float) -> None:
        if self._blocked_since_ms == math.inf:
            self._blocked_since_ms = now_ms
            self._blocked = _Mean()
        self._blocked.total += window.log_slowdown
        self._blocked.count += window.answers
        if now_ms - self._blocked_since_ms >= MAX_BLOCKED_MS:
            self._decrease_on_trial(
                self._blocked, BLOCKED_TRIAL_ANSWERS, now_ms
            )

    def _increase(self, now_ms: float) -> None:
        if (
            self._limit < self._slow_start_threshold
            or now_ms > self._threshold_expires_ms
        ):
            increased = max(
                self._limit * FAST_GROWTH_FACTOR, self._limit + 1.0
            )
        else:
            increased = max(
                self._limit * SLOW_GROWTH_FACTOR, self._limit + 0.25
            )
        if int(increased) > self.value:
            self._increased_ms = now_ms
        self._limit = min(float(self._slots), increased)
