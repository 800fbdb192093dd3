"""Admission levels of one guard: the lowest rank refused, by organisation."""

from parsleystile import context
from parsleystile import ids

# Levels are adjusted at the end of each window of this length.
WINDOW_MS = 100.0
# Counts decay with a half-life of the mean answer time, up to this.
MAX_HALF_LIFE_MS = 1000.0
# A level never refuses every call: a recovery shows only on admitted ones.
MIN_LEVEL = 0.02
# Calls admitted after an overloaded window, as a share of those served.
ADMITTED_SHARE = 0.97
# Smallest cut and first upward step, as shares of the part of the class that
# is still admitted; both are at least MIN_STEP.
MIN_CUT_SHARE = 0.05
FIRST_STEP_SHARE = 0.1
MIN_STEP = 0.001
STEP_GROWTH = 1.35
MAX_STEP = 0.3
# A cut that only callers further up carry out shows after this time.
UPSTREAM_DELAY_MS = 200.0
MAX_ORGANISATIONS = 1024
# A histogram with fewer arrivals, after decay, counts as empty.
_MIN_COUNT = 0.01
_HISTOGRAM_BINS = 30
_BIN_WIDTH = context.RANK_LIMIT / _HISTOGRAM_BINS


class _Level:
    """Admission level of one organisation.

    An overloaded window lowers the level so that about as many of the recent
    arrivals would have been admitted as were served. Each other window
    raises it by a step that grows until the next cut.
    """

    __slots__ = (
        '_histogram',
        '_is_applied_upstream',
        '_next_cut_ms',
        '_served',
        '_step',
        'value',
    )

    def __init__(self) -> None:
        self.value = context.RANK_LIMIT
        self._step = MIN_STEP
        self._histogram = [0.0] * _HISTOGRAM_BINS
        self._served = 0.0
        self._next_cut_ms = 0.0
        self._is_applied_upstream = False

    @property
    def is_idle(self) -> bool:
        """Whether the level can be discarded without an effect."""
        return (
            self.value >= context.RANK_LIMIT
            and sum(self._histogram) < _MIN_COUNT
        )

    def arrived(self, rank: float, is_sheddable: bool) -> None:
        """Count an arrival, admitted or not."""
        if not is_sheddable:
            self._is_applied_upstream = True
        self._histogram[int(rank / _BIN_WIDTH)] += 1.0

    def served(self) -> None:
        """Count a call that was started."""
        self._served += 1.0

    def end_window(
        self, overloaded: bool, half_life_ms: float, now_ms: float
    ) -> None:
        """Lower or raise the level for the window that ends now."""
        if self._is_applied_upstream:
            half_life_ms = max(half_life_ms, UPSTREAM_DELAY_MS)
        if not overloaded:
            self._raise()
        elif now_ms >= self._next_cut_ms:
            self._lower()
            self._next_cut_ms = now_ms + half_life_ms
        decay = 0.5 ** (WINDOW_MS / half_life_ms)
        self._histogram = [count * decay for count in self._histogram]
        self._served *= decay

    def _lower(self) -> None:
        min_cut = max(MIN_STEP, MIN_CUT_SHARE * (self.value % 1.0))
        lowered = min(self._admissible_rank(), self.value - min_cut)
        self.value = max(MIN_LEVEL, lowered)
        self._step = max(MIN_STEP, FIRST_STEP_SHARE * (self.value % 1.0))

    def _raise(self) -> None:
        self.value = min(context.RANK_LIMIT, self.value + self._step)
        self._step = min(MAX_STEP, self._step * STEP_GROWTH)

    def _admissible_rank(self) -> float:
        """Return the rank below which as many calls arrive as are served."""
        remaining = ADMITTED_SHARE * self._served
        for index, count in enumerate(self._histogram):
            if count >= remaining:
                fraction = remaining / count if count else 0.0
                return (index + fraction) * _BIN_WIDTH
            remaining -= count
        return context.RANK_LIMIT


class AdmissionLevels:
    """Admission levels by organisation, so that none is shed for another.

    The queue serves important classes first and divides slots fairly, so an
    organisation is overloaded when its own calls have to wait. Levels are
    thresholds on the rank, which is the same throughout a call tree: calls
    admitted by one guard also pass the same level at a guard below it.
    """

    def __init__(self) -> None:
        self._levels: dict[ids.OrganisationId, _Level] = {}
        self._cap = context.RANK_LIMIT

    @property
    def is_fully_open(self) -> bool:
        """Whether every level admits all ranks, the cap aside."""
        return all(
            level.value >= context.RANK_LIMIT
            for level in self._levels.values()
        )

    @property
    def lowest(self) -> float:
        """Lowest level of all organisations."""
        values = (level.value for level in self._levels.values())
        return min(self._cap, min(values, default=self._cap))

    def set_cap(self, level: float) -> None:
        """Set the upper bound of all levels, from the preset in force."""
        self._cap = min(max(level, 0.0), context.RANK_LIMIT)

    def forget(self) -> None:
        """Open all levels, as before any load; the cap stays."""
        self._levels.clear()

    def value(self, organisation: ids.OrganisationId) -> float:
        """Return the lowest rank refused; 3.0 refuses none."""
        level = self._levels.get(organisation)
        return self._cap if level is None else min(level.value, self._cap)

    def is_admitted(
        self,
        organisation: ids.OrganisationId,
        rank: float,
        is_sheddable: bool = True,
    ) -> bool:
        """Count an arrival and return whether its rank is admitted.

        Args:
            organisation: Organisation of the call.
            rank: Its rank.
            is_sheddable: Whether it may be refused here for its rank, and
                not only where the request entered.
        """
        level = self._levels.get(organisation)
        if level is None:
            level = self._add(organisation)
        level.arrived(rank, is_sheddable)
        return rank < level.value and rank < self._cap

    def served(self, organisation: ids.OrganisationId) -> None:
        """Count a call that was started."""
        level = self._levels.get(organisation)
        if level is not None:
            level.served()

    def end_window(
        self,
        overloaded: set[ids.OrganisationId],
        answer_ms: float,
        now_ms: float,
    ) -> None:
        """Adjust the levels for the window that ends now.

        Args:
            overloaded: Organisations whose calls wait for too long.
            answer_ms: Mean answer time; a cut has no effect before that.
            now_ms: Current time.
        """
        half_life_ms = max(WINDOW_MS, min(answer_ms, MAX_HALF_LIFE_MS))
        for organisation, level in list(self._levels.items()):
            level.end_window(organisation in overloaded, half_life_ms, now_ms)
            if level.is_idle:
                del self._levels[organisation]

    def _add(self, organisation: ids.OrganisationId) -> _Level:
        if len(self._levels) >= MAX_ORGANISATIONS:
            self._levels.pop(next(iter(self._levels)))
        level = self._levels[organisation] = _Level()
        return level
