"""The admission levels of one guard: which ranks it refuses just now."""

from parsleystile import context
from parsleystile import ids

WINDOW_MS = 100.0
# Counts cover about a service time, up to this.
MEMORY_CAP_MS = 1000.0
# The level never shuts out everyone: some calls must show a recovery.
LEVEL_FLOOR = 0.02
# Share of what was served that is admitted after an overloaded window.
ADMIT_SHARE = 0.97
# A cut is at least, and the first step up at most, this part of the class
# that is shed in part, and no less than the floor.
LEAST_CUT_SHARE = 0.05
FIRST_STEP_SHARE = 0.1
STEP_FLOOR = 0.001
STEP_GROWTH = 1.35
LONGEST_STEP = 0.3
MAX_ORGANISATIONS = 1024
_LEAST_COUNT = 0.01
_BINS = 30
_BIN_WIDTH = context.RANK_LIMIT / _BINS


class _Level:
    """Cuts to what is served when overloaded, rises by itself when not.

    A cut looks at the ranks of the calls that came and sets the level so
    that as many would have been admitted as were served. Each quiet window
    raises the level by a step that grows while it stays quiet.
    """

    __slots__ = ('_bins', '_next_cut_ms', '_served', '_step', 'value')

    def __init__(self) -> None:
        self.value = context.RANK_LIMIT
        self._step = STEP_FLOOR
        self._bins = [0.0] * _BINS
        self._served = 0.0
        self._next_cut_ms = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is lost if this level is forgotten."""
        return (
            self.value >= context.RANK_LIMIT and sum(self._bins) < _LEAST_COUNT
        )

    def arrived(self, rank: float) -> None:
        """Count a call, admitted or not."""
        self._bins[int(rank / _BIN_WIDTH)] += 1.0

    def served(self) -> None:
        """Count a call that a slot was found for."""
        self._served += 1.0

    def end_window(
        self, overloaded: bool, memory_ms: float, now_ms: float
    ) -> None:
        """Decide on the window that ends now."""
        if not overloaded:
            self._rise()
        elif now_ms >= self._next_cut_ms:
            self._cut()
            self._next_cut_ms = now_ms + memory_ms
        memory = 0.5 ** (WINDOW_MS / memory_ms)
        self._bins = [count * memory for count in self._bins]
        self._served *= memory

    def _cut(self) -> None:
        least_cut = max(STEP_FLOOR, LEAST_CUT_SHARE * (self.value % 1.0))
        wanted = min(self._quantile(), self.value - least_cut)
        self.value = max(LEVEL_FLOOR, wanted)
        self._step = max(STEP_FLOOR, FIRST_STEP_SHARE * (self.value % 1.0))

    def _rise(self) -> None:
        self.value = min(context.RANK_LIMIT, self.value + self._step)
        self._step = min(LONGEST_STEP, self._step * STEP_GROWTH)

    def _quantile(self) -> float:
        """Return the rank below which as many came as can be served."""
        room = ADMIT_SHARE * self._served
        for index, count in enumerate(self._bins):
            if count >= room:
                part = room / count if count else 0.0
                return (index + part) * _BIN_WIDTH
            room -= count
        return context.RANK_LIMIT


class AdmissionLevels:
    """One level for each organisation, so that none sheds for another.

    The queue serves important classes first and divides slots fairly, so
    an organisation is overloaded when its own calls have to wait. Levels
    are thresholds on the rank, which stays the same down a call tree: a
    guard further down that sees only what passed a level above it can
    apply the same level again without a further loss.
    """

    def __init__(self) -> None:
        self._levels: dict[ids.OrganisationId, _Level] = {}
        self._cap = context.RANK_LIMIT

    @property
    def is_at_rest(self) -> bool:
        """Whether no level can rise any further by itself."""
        return all(
            level.value >= context.RANK_LIMIT
            for level in self._levels.values()
        )

    @property
    def lowest(self) -> float:
        """Lowest level of any organisation."""
        values = (level.value for level in self._levels.values())
        return min(self._cap, min(values, default=self._cap))

    def set_cap(self, level: float) -> None:
        """Set the highest level, as the preset in force wants it."""
        self._cap = min(max(level, 0.0), context.RANK_LIMIT)

    def value(self, organisation: ids.OrganisationId) -> float:
        """Return the lowest rank refused; 3.0 refuses none."""
        level = self._levels.get(organisation)
        return self._cap if level is None else min(level.value, self._cap)

    def is_admitted(
        self, organisation: ids.OrganisationId, rank: float
    ) -> bool:
        """Count a call and tell whether its rank is admitted."""
        level = self._levels.get(organisation)
        if level is None:
            level = self._add(organisation)
        level.arrived(rank)
        return rank < level.value and rank < self._cap

    def served(self, organisation: ids.OrganisationId) -> None:
        """Count a call that a slot was found for."""
        level = self._levels.get(organisation)
        if level is not None:
            level.served()

    def end_window(
        self,
        overloaded: set[ids.OrganisationId],
        answer_ms: float,
        now_ms: float,
    ) -> None:
        """Decide on the window that ends now.

        Args:
            overloaded: Organisations whose calls wait for too long.
            answer_ms: Usual service time; a cut shows after that only.
            now_ms: Now.
        """
        memory_ms = max(WINDOW_MS, min(answer_ms, MEMORY_CAP_MS))
        for organisation, level in list(self._levels.items()):
            level.end_window(organisation in overloaded, memory_ms, now_ms)
            if level.is_idle:
                del self._levels[organisation]

    def _add(self, organisation: ids.OrganisationId) -> _Level:
        if len(self._levels) >= MAX_ORGANISATIONS:
            self._levels.pop(next(iter(self._levels)))
        level = self._levels[organisation] = _Level()
        return level
