"""How many calls one target can bear at once, from its own answers."""

import dataclasses
import math

# A target that just started is trusted with this many calls.
COLD_LIMIT = 2.0
FLOOR = 1.0
FALL = 0.5
# Once the target is found too loaded, the limit is what slowness implies,
# within these parts of the limit before.
DEEPEST_CUT = 0.5
LEAST_CUT = 0.8
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
# The limit grows only while more than this share of it is in use.
USED_SHARE = 0.6
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
# Slowness caused by load goes along with a fall of the limit. If less than
# this part of it does, load is not what makes the target slow.
LEAST_RELIEF = 0.5
RELIEF_ANSWERS = 8
# A limit that could not rise for so long is lowered on trial.
BLOCKED_MS = 10_000.0
TRIAL_ANSWERS = 24
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
class _Relief:
    """Whether a fall of the limit makes the target faster.

    Attributes:
        before: Slowness of calls started before the fall.
        after: Slowness of calls started since.
        needed: Answers to wait for.
    """

    limit_before: float
    before: _Mean
    needed: int
    after: _Mean = dataclasses.field(default_factory=_Mean)


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
        # Slowness since its sum last did not exceed the slack.
        self._excess = _Mean()
        self._blocked = _Mean()
        self._blocked_since_ms = math.inf
        self._error_sum = 0.0
        self._caution = math.inf
        self._caution_until_ms = 0.0
        self._changed_ms = 0.0
        self._risen_ms = 0.0
        self._last_answer_ms = 0.0
        self._answer_ms = 0.0

    @property
    def value(self) -> int:
        """Calls that may be in flight now; 0 before any announcement."""
        return int(self._limit)

    @property
    def answer_ms(self) -> float:
        """Mean time from start to answer of late; 0 if unknown."""
        return self._answer_ms

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
        self._changed_ms = now_ms

    def is_open(self, in_flight: int, now_ms: float) -> bool:
        """Whether one more call may start now."""
        del now_ms
        return in_flight < int(self._limit)

    def next_open_ms(self, now_ms: float) -> float:
        """Time alone never opens this limit."""
        del now_ms
        return math.inf

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
            self._fall(now_ms)

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
        if self._answer_ms == 0.0:
            self._answer_ms = service_ms
        self._answer_ms += LEARN * (service_ms - self._answer_ms)
        own_ms = max(service_ms - child_ms, _SHORTEST_MS)
        if now_ms - service_ms < self._changed_ms:
            # It tells of the load before the last fall.
            if self._relief is not None:
                self._relief.before.add(self._slowness(route, own_ms))
            return
        self._error_sum = max(0.0, self._error_sum - ERROR_SLACK)
        slowness = self._learn(route, own_ms)
        window = self._window
        # Calls from before the last rise don't show what it did.
        if now_ms - service_ms >= self._risen_ms:
            window.answers += 1
            window.slowness += slowness
            window.in_flight += in_flight
        if self._relief is not None:
            self._weigh_relief(self._relief, slowness, now_ms)
        elif self._is_alarming(slowness):
            self._fall_on_trial(self._excess, RELIEF_ANSWERS, now_ms)
        elif now_ms - window.start_ms >= WINDOW_MS:
            self._end_window(now_ms)

    def check_silence(self, in_flight: int, now_ms: float) -> None:
        """Fall if calls are in flight and answers have stopped."""
        if in_flight == 0 or self._answer_ms == 0.0:
            return
        patience_ms = max(SILENCE_FLOOR_MS, SILENCE_FACTOR * self._answer_ms)
        if now_ms - self._last_answer_ms > patience_ms:
            self._last_answer_ms = now_ms
            self._fall(now_ms)

    def _slowness(self, route: str, own_ms: float) -> float:
        """Return the clipped logarithm of a time over the usual one."""
        usual = self._usual.get(route)
        if usual is None:
            return 0.0
        slowness = math.log(own_ms) - usual.mean
        return min(SLOWNESS_CLIP, max(-SLOWNESS_CLIP, slowness))

    def _learn(self, route: str, own_ms: float) -> float:
        """Fold one time into the usual one; return its slowness."""
        usual = self._usual.get(route)
        if usual is None:
            if len(self._usual) >= MAX_ROUTES:
                self._usual.clear()
            time = math.log(own_ms)
            self._usual[route] = _Usual(time, time)
            return 0.0
        slowness = self._slowness(route, own_ms)
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
        elif 2 * self._window.peak_in_flight <= self._limit:
            usual.best += FORGET * (mean - usual.best)
        usual.mean = min(mean, usual.best + DRIFT_BOUND)
        return slowness

    def _is_alarming(self, slowness: float) -> bool:
        excess = self._excess
        excess.add(slowness)
        beyond = excess.total - SLOWNESS_SLACK * excess.count
        if beyond <= 0.0:
            excess.total = 0.0
            excess.count = 0
        return beyond > SLOWNESS_ALARM

    def _weigh_relief(
        self, relief: _Relief, slowness: float, now_ms: float
    ) -> None:
        relief.after.add(slowness)
        if relief.after.count < relief.needed:
            return
        self._relief = None
        before = relief.before.value
        after = relief.after.value
        by_load = min(before, math.log(relief.limit_before / self._limit))
        if before - after < LEAST_RELIEF * by_load or by_load <= 0.0:
            self._accept(after, relief.limit_before)
        elif after > SLOWNESS_SLACK:
            self._fall_on_trial(relief.after, RELIEF_ANSWERS, now_ms)
            return
        else:
            part = min(LEAST_CUT, max(DEEPEST_CUT, math.exp(-before)))
            self._limit = max(self._limit, part * relief.limit_before)
        self._reset(now_ms)

    def _accept(self, slowness: float, limit_before: float) -> None:
        """Take the present times as usual and undo the last fall."""
        for usual in self._usual.values():
            usual.mean += slowness
            usual.best += slowness
        self._limit = min(float(self._slots), limit_before)
        self._caution = math.inf

    def _fall_on_trial(
        self, before: _Mean, needed: int, now_ms: float
    ) -> None:
        limit_before = self._limit
        self._fall(now_ms)
        self._relief = _Relief(limit_before, before, needed)

    def _fall(self, now_ms: float) -> None:
        self._caution = CAUTION_SHARE * self._limit
        self._caution_until_ms = now_ms + CAUTION_MS
        self._limit = min(self._slots, max(FLOOR, FALL * self._limit))
        self._relief = None
        self._reset(now_ms)
        self._changed_ms = now_ms

    def _reset(self, now_ms: float) -> None:
        self._window = _Window(now_ms)
        self._excess = _Mean()
        self._error_sum = 0.0
        self._blocked_since_ms = math.inf

    def _end_window(self, now_ms: float) -> None:
        window = self._window
        needed = min(WINDOW_ANSWERS, self._limit)
        if window.answers < max(WINDOW_ANSWERS_FLOOR, needed):
            return
        mean_in_flight = window.in_flight / window.answers
        is_used = mean_in_flight > USED_SHARE * int(self._limit)
        is_slow = window.slowness > RISE_SLOWNESS * window.answers
        self._window = _Window(now_ms)
        if not is_used:
            return
        if is_slow:
            self._note_blocked(window, now_ms)
        else:
            self._blocked_since_ms = math.inf
            self._rise(now_ms)

    def _note_blocked(self, window: _Window, now_ms: float) -> None:
        if self._blocked_since_ms == math.inf:
            self._blocked_since_ms = now_ms
            self._blocked = _Mean()
        self._blocked.total += window.slowness
        self._blocked.count += window.answers
        if now_ms - self._blocked_since_ms >= BLOCKED_MS:
            self._fall_on_trial(self._blocked, TRIAL_ANSWERS, now_ms)

    def _rise(self, now_ms: float) -> None:
        if self._limit < self._caution or now_ms > self._caution_until_ms:
            raised = max(self._limit * FAST_RISE, self._limit + 1.0)
        else:
            raised = max(self._limit * SLOW_RISE, self._limit + 0.25)
        if int(raised) > self.value:
            self._risen_ms = now_ms
        self._limit = min(float(self._slots), raised)
