"""The admission level of one guard: which ranks it refuses just now."""

from parsleystile import context

WINDOW_MS = 100.0
# Counts cover about a service time, up to this.
MEMORY_CAP_MS = 1000.0
# The level never shuts out everyone: some calls must show a recovery.
LEVEL_FLOOR = 0.02
# Share of what was served that is admitted after an overloaded window.
ADMIT_SHARE = 0.97
# A cut is at least this deep.
LEAST_CUT = 0.01
FIRST_STEP = 0.01
STEP_GROWTH = 1.35
LONGEST_STEP = 0.3
_BINS = 60
_BIN_WIDTH = context.RANK_LIMIT / _BINS


class AdmissionLevel:
    """Cuts to what is served when overloaded, rises by itself when not.

    A cut looks at the ranks of the calls that came and sets the level so
    that as many would have been admitted as were served. Each quiet window
    raises the level by a step that grows while it stays quiet.
    """

    def __init__(self) -> None:
        self._level = context.RANK_LIMIT
        self._cap = context.RANK_LIMIT
        self._step = FIRST_STEP
        self._bins = [0.0] * _BINS
        self._spared = 0.0
        self._served = 0.0
        self._next_cut_ms = 0.0

    @property
    def value(self) -> float:
        """Ranks at or above are refused; 3.0 refuses none."""
        return min(self._level, self._cap)

    @property
    def cap(self) -> float:
        """Highest level that operators allow."""
        return self._cap

    @property
    def is_at_rest(self) -> bool:
        """Whether the level can rise no further by itself."""
        return self._level >= context.RANK_LIMIT

    def set_cap(self, level: float) -> None:
        """Set the highest level, as the preset in force wants it."""
        self._cap = min(max(level, 0.0), context.RANK_LIMIT)

    def arrived(self, rank: float) -> None:
        """Count a call that is subject to the level."""
        self._bins[int(rank / _BIN_WIDTH)] += 1.0

    def spared(self) -> None:
        """Count a call that is admitted whatever the level."""
        self._spared += 1.0

    def served(self) -> None:
        """Count a call that a slot was found for."""
        self._served += 1.0

    def end_window(
        self, overloaded: bool, answer_ms: float, now_ms: float
    ) -> None:
        """Decide on the window that ends now.

        Args:
            overloaded: Whether calls wait for longer than they should.
            answer_ms: Usual service time; a cut shows after that only.
            now_ms: Now.
        """
        memory_ms = max(WINDOW_MS, min(answer_ms, MEMORY_CAP_MS))
        if not overloaded:
            self._rise()
        elif now_ms >= self._next_cut_ms:
            self._cut()
            self._next_cut_ms = now_ms + memory_ms
        memory = 0.5 ** (WINDOW_MS / memory_ms)
        self._bins = [count * memory for count in self._bins]
        self._spared *= memory
        self._served *= memory

    def _cut(self) -> None:
        self._step = FIRST_STEP
        wanted = min(self._quantile(), self._level - LEAST_CUT)
        self._level = max(LEVEL_FLOOR, wanted)

    def _rise(self) -> None:
        self._level = min(context.RANK_LIMIT, self._level + self._step)
        self._step = min(LONGEST_STEP, self._step * STEP_GROWTH)

    def _quantile(self) -> float:
        """Return the rank below which as many came as can be served."""
        room = ADMIT_SHARE * self._served - self._spared
        for index, count in enumerate(self._bins):
            if count >= room:
                part = max(0.0, room) / count if count else 0.0
                return (index + part) * _BIN_WIDTH
            room -= count
        return context.RANK_LIMIT
