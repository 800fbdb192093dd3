"""How many calls one target can bear at once, from its own answers."""

import dataclasses

# A target that just started is trusted with this many calls.
COLD_LIMIT = 2.0
FLOOR = 1.0
# Growth of the limit per window while no fall is remembered, and after.
FAST_RISE = 1.25
SLOW_RISE = 1.03
SLOW_RISE_SLOTS = 0.5
FALL = 0.5
# Above this share of the last bad limit the rise is slow.
CAUTION_SHARE = 0.7
CAUTION_MS = 10_000.0
# A window ends after this many answers and no sooner than this time.
WINDOW_ANSWERS = 8
WINDOW_MS = 100.0
# Answers that suffice to call for a fall before the window ends.
ALARM_ANSWERS = 4
# Service time over the unloaded one that a healthy target may show.
TOLERANCE = 2.0
ERROR_SHARE = 0.2
# Without any answer for this many times the usual, the target is stuck.
SILENCE_FACTOR = 5.0
SILENCE_FLOOR_MS = 100.0
# The limit grows only while at least this share of it is in use.
USED_SHARE = 0.7
MAX_ROUTES = 256


@dataclasses.dataclass(slots=True)
class _Window:
    """Answers since the last decision."""

    start_ms: float = 0.0
    answers: int = 0
    errors: int = 0
    # Sum over answers of service time relative to the unloaded one.
    slowness: float = 0.0
    peak_in_flight: int = 0

    def reset(self, now_ms: float) -> None:
        self.start_ms = now_ms
        self.answers = 0
        self.errors = 0
        self.slowness = 0.0
        self.peak_in_flight = 0


class ConcurrencyLimit:
    """The exact number of calls that may be at one target at once.

    The limit starts small at ``announce``, rises in proportion while
    answers stay as fast as those of the unloaded target, and is halved
    when service time jumps, errors rise or answers stop. Declared slots
    bound it from above and say nothing else.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._limit = 0.0
        self._usual_ms: dict[str, float] = {}
        self._window = _Window()
        self._caution = float('inf')
        self._caution_until_ms = 0.0
        self._last_sign_ms = 0.0
        self._usual_answer_ms = 0.0

    @property
    def value(self) -> int:
        """Calls that may be in flight now; 0 before any announcement."""
        return int(self._limit)

    @property
    def slots(self) -> int:
        """Slots that the target declared."""
        return self._slots

    def announce(self, slots: int, now_ms: float) -> None:
        """Start cold: the target has just (re)started with ``slots``."""
        self._slots = slots
        self._limit = min(float(slots), COLD_LIMIT)
        self._usual_ms.clear()
        self._caution = float('inf')
        self._usual_answer_ms = 0.0
        self._last_sign_ms = now_ms
        self._window.reset(now_ms)

    def started(self, in_flight: int, now_ms: float) -> None:
        """Note that a call was handed over, ``in_flight`` with it."""
        if in_flight == 1:
            self._last_sign_ms = now_ms
        if in_flight > self._window.peak_in_flight:
            self._window.peak_in_flight = in_flight

    def answered(
        self, route: str, own_ms: float, is_ok: bool, now_ms: float
    ) -> None:
        """Learn from one answer.

        Args:
            route: Calls of one route are compared with each other only.
            own_ms: Service time without the waits for child calls.
            is_ok: False if the target failed.
            now_ms: Now.
        """
        window = self._window
        self._last_sign_ms = now_ms
        window.answers += 1
        if is_ok:
            window.slowness += self._learn(route, own_ms)
        else:
            window.errors += 1
        if window.answers >= ALARM_ANSWERS and self._is_bad():
            self._fall(now_ms)
        elif (
            window.answers >= WINDOW_ANSWERS
            and now_ms - window.start_ms >= WINDOW_MS
        ):
            self._rise(now_ms)

    def check_silence(self, in_flight: int, now_ms: float) -> None:
        """Fall if calls are in flight and answers have stopped."""
        if in_flight == 0 or self._usual_answer_ms == 0.0:
            return
        patience_ms = max(
            SILENCE_FLOOR_MS, SILENCE_FACTOR * self._usual_answer_ms
        )
        if now_ms - self._last_sign_ms > patience_ms:
            self._last_sign_ms = now_ms
            self._fall(now_ms)

    def _learn(self, route: str, own_ms: float) -> float:
        """Fold one time into the usual one; return the ratio of both."""
        own_ms = max(own_ms, 0.01)
        self._usual_answer_ms += 0.1 * (own_ms - self._usual_answer_ms)
        usual = self._usual_ms.get(route)
        if usual is None:
            if len(self._usual_ms) >= MAX_ROUTES:
                self._usual_ms.clear()
            self._usual_ms[route] = own_ms
            return 1.0
        ratio = own_ms / usual
        if self._limit <= FLOOR:
            # Alone at the target a call shows its unloaded time.
            weight = 0.3
        elif ratio > TOLERANCE:
            weight = 0.0
        else:
            weight = 0.05
        self._usual_ms[route] = usual + weight * (own_ms - usual)
        return ratio

    def _is_bad(self) -> bool:
        window = self._window
        if window.errors > ERROR_SHARE * window.answers:
            return True
        good = window.answers - window.errors
        return window.slowness > TOLERANCE * good

    def _fall(self, now_ms: float) -> None:
        self._caution = CAUTION_SHARE * self._limit
        self._caution_until_ms = now_ms + CAUTION_MS
        self._limit = max(FLOOR, FALL * self._limit)
        self._window.reset(now_ms)

    def _rise(self, now_ms: float) -> None:
        used = self._window.peak_in_flight
        self._window.reset(now_ms)
        if used < USED_SHARE * int(self._limit):
            return
        if self._limit < self._caution or now_ms > self._caution_until_ms:
            raised = max(self._limit * FAST_RISE, self._limit + 0.5)
        else:
            raised = self._limit * SLOW_RISE + SLOW_RISE_SLOTS
        self._limit = min(float(self._slots), raised)
