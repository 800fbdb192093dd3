"""How many calls one target can bear at once, from its own answers."""

import dataclasses
import math

# A target that just started is trusted with this many calls.
COLD_LIMIT = 2.0
FLOOR = 1.0
# A fall goes by the slowness, within these factors.
DEEPEST_FALL = 0.5
LEAST_FALL = 0.8
# Growth per quiet window, and near the limit that lately proved too high.
FAST_RISE = 1.25
SLOW_RISE = 1.02
CAUTION_SHARE = 0.7
CAUTION_MS = 5_000.0
# A window ends after this many answers, or as many as the limit if fewer,
# and no sooner than this time.
WINDOW_ANSWERS = 8
WINDOW_ANSWERS_FLOOR = 3
WINDOW_MS = 100.0
# The limit grows only while at least this share of it is in use.
USED_SHARE = 0.7
# Slowness is the logarithm of a service time over the usual one of the
# route. Above this mean the limit stays; a factor of 1.2.
RISE_SLOWNESS = 0.2
# Cumulative sums over answers: what they lose with each, and the alarm.
SLOWNESS_SLACK = 0.5
SLOWNESS_ALARM = 4.0
SLOWNESS_CLIP = 2.0
ERROR_SLACK = 0.2
ERROR_ALARM = 3.0
# How fast the usual time follows, and how far above its best it may drift:
# else it would creep up with the limit and hide the load.
LEARN = 0.05
LEARN_ALONE = 0.2
FIRST_ANSWERS = 10
DRIFT_BOUND = 0.15
# How fast the best time is forgotten, per answer of a half idle target.
FORGET = 0.002
# If halving the limit took away less of the slowness than this factor,
# load is not what makes the target slow.
LEAST_RELIEF = 0.25
RELIEF_ANSWERS = 4
# Without any answer for this many times the usual, the target is stuck.
SILENCE_FACTOR = 5.0
SILENCE_FLOOR_MS = 200.0
MAX_ROUTES = 256
_SHORTEST_MS = 0.01


@dataclasses.dataclass(slots=True)
class _Usual:
    """Logarithms of the service time of a route in ms."""

    mean: float
    best: float
    answers: int = 1


@dataclasses.dataclass(slots=True)
class _Window:
    """Answers since the last decision to raise."""

    start_ms: float = 0.0
    answers: int = 0
    slowness: float = 0.0
    peak_in_flight: int = 0


@dataclasses.dataclass(slots=True)
class _Relief:
    """Whether the last fall made the target faster."""

    limit_before: float
    slowness_before: float
    answers: int = 0
    slowness: float = 0.0


class ConcurrencyLimit:
    """The exact number of calls that may be at one target at once.

    The limit starts small at ``announce``, rises in proportion while
    answers stay about as fast as usual, and is halved when service time
    jumps, errors rise or answers stop. If a fall brings no relief, the
    target is slow for another reason than its load: the new time becomes
    the usual one and the limit comes back. Declared slots are an upper
    bound and say nothing else.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._limit = 0.0
        self._usual: dict[str, _Usual] = {}
        self._window = _Window()
        self._relief: _Relief | None = None
        self._slow_sum = 0.0
        self._error_sum = 0.0
        self._caution = math.inf
        self._caution_until_ms = 0.0
        self._changed_ms = 0.0
        self._last_answer_ms = 0.0
        self._answer_ms = 0.0

    @property
    def value(self) -> int:
        """Calls that may be in flight now; 0 before any announcement."""
        return int(self._limit)

    def announce(self, slots: int, now_ms: float) -> None:
        """Start cold: the target has just (re)started with ``slots``."""
        self._slots = slots
        self._limit = min(float(slots), COLD_LIMIT)
        self._usual.clear()
        self._relief = None
        self._caution = math.inf
        self._answer_ms = 0.0
        self._reset(now_ms)
        self._last_answer_ms = now_ms

    def started(self, in_flight: int, now_ms: float) -> None:
        """Note that a call was handed over, ``in_flight`` with it."""
        if in_flight == 1:
            self._last_answer_ms = now_ms
        if in_flight > self._window.peak_in_flight:
            self._window.peak_in_flight = in_flight

    def failed(self, service_ms: float, now_ms: float) -> None:
        """Learn that the target failed a call after ``service_ms``."""
        self._last_answer_ms = now_ms
        if now_ms - service_ms < self._changed_ms:
            return
        self._error_sum += 1.0 - ERROR_SLACK
        if self._error_sum > ERROR_ALARM:
            self._fall(SLOWNESS_CLIP, now_ms)

    def answered(
        self,
        route: str,
        service_ms: float,
        child_ms: float,
        in_flight: int,
        now_ms: float,
    ) -> None:
        """Learn from one answer.

        Args:
            route: Calls of one route are compared with each other only.
            service_ms: From start to answer.
            child_ms: Part of it spent waiting for child calls.
            in_flight: Calls at the target, this one with them.
            now_ms: Now.
        """
        self._last_answer_ms = now_ms
        self._answer_ms += 0.1 * (service_ms - self._answer_ms)
        # What started before the last fall tells of the load before it.
        if now_ms - service_ms < self._changed_ms:
            return
        self._error_sum = max(0.0, self._error_sum - ERROR_SLACK)
        slowness = self._learn(route, service_ms - child_ms, in_flight)
        self._slow_sum = max(0.0, self._slow_sum + slowness - SLOWNESS_SLACK)
        window = self._window
        window.answers += 1
        window.slowness += slowness
        if self._relief is not None:
            self._weigh_relief(slowness, now_ms)
        elif self._slow_sum > SLOWNESS_ALARM:
            self._fall(window.slowness / window.answers, now_ms)
        elif now_ms - window.start_ms >= WINDOW_MS:
            self._end_window(now_ms)

    def check_silence(self, in_flight: int, now_ms: float) -> None:
        """Fall if calls are in flight and answers have stopped."""
        if in_flight == 0 or self._answer_ms == 0.0:
            return
        patience_ms = max(SILENCE_FLOOR_MS, SILENCE_FACTOR * self._answer_ms)
        if now_ms - self._last_answer_ms > patience_ms:
            self._last_answer_ms = now_ms
            self._fall(SLOWNESS_CLIP, now_ms)

    def _learn(self, route: str, own_ms: float, in_flight: int) -> float:
        """Fold one time into the usual one; return its slowness."""
        time = math.log(max(own_ms, _SHORTEST_MS))
        usual = self._usual.get(route)
        if usual is None:
            if len(self._usual) >= MAX_ROUTES:
                self._usual.clear()
            self._usual[route] = _Usual(time, time)
            return 0.0
        slowness = time - usual.mean
        slowness = min(SLOWNESS_CLIP, max(-SLOWNESS_CLIP, slowness))
        usual.answers += 1
        if usual.answers <= FIRST_ANSWERS:
            usual.mean += slowness / usual.answers
            usual.best = usual.mean
            return slowness
        if self._limit <= FLOOR:
            # Alone at the target, a call shows the unloaded time.
            usual.mean += LEARN_ALONE * slowness
            usual.best = usual.mean
            return slowness
        mean = usual.mean + LEARN * slowness
        if mean < usual.best:
            usual.best = mean
        elif 2 * in_flight <= self._limit + 1.0:
            usual.best += FORGET * (mean - usual.best)
        usual.mean = min(mean, usual.best + DRIFT_BOUND)
        return slowness

    def _weigh_relief(self, slowness: float, now_ms: float) -> None:
        relief = self._relief
        relief.answers += 1
        relief.slowness += slowness
        if relief.answers < RELIEF_ANSWERS:
            return
        self._relief = None
        after = relief.slowness / relief.answers
        if after < SLOWNESS_SLACK:
            self._reset(now_ms)
        elif relief.slowness_before - after < LEAST_RELIEF:
            self._accept(after, relief.limit_before, now_ms)
        else:
            self._fall(after, now_ms)

    def _accept(
        self, slowness: float, limit_before: float, now_ms: float
    ) -> None:
        """Take the present times as usual and undo the last fall."""
        for usual in self._usual.values():
            usual.mean += slowness
            usual.best += slowness
        self._limit = min(float(self._slots), limit_before)
        self._caution = math.inf
        self._reset(now_ms)

    def _fall(self, slowness: float, now_ms: float) -> None:
        before = self._limit
        self._caution = CAUTION_SHARE * before
        self._caution_until_ms = now_ms + CAUTION_MS
        factor = min(LEAST_FALL, max(DEEPEST_FALL, math.exp(-slowness)))
        self._limit = max(FLOOR, factor * before)
        self._relief = None
        if slowness < SLOWNESS_CLIP:
            self._relief = _Relief(before, slowness)
        self._reset(now_ms)
        self._changed_ms = now_ms

    def _reset(self, now_ms: float) -> None:
        self._window = _Window(now_ms)
        self._slow_sum = 0.0
        self._error_sum = 0.0

    def _end_window(self, now_ms: float) -> None:
        window = self._window
        needed = min(WINDOW_ANSWERS, self._limit)
        if window.answers < max(WINDOW_ANSWERS_FLOOR, needed):
            return
        is_used = window.peak_in_flight >= USED_SHARE * int(self._limit)
        is_slow = window.slowness > RISE_SLOWNESS * window.answers
        self._window = _Window(now_ms)
        if is_used and not is_slow:
            self._rise(now_ms)

    def _rise(self, now_ms: float) -> None:
        if self._limit < self._caution or now_ms > self._caution_until_ms:
            raised = max(self._limit * FAST_RISE, self._limit + 1.0)
        else:
            raised = max(self._limit * SLOW_RISE, self._limit + 0.25)
        self._limit = min(float(self._slots), raised)
