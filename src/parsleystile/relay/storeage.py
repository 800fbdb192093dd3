"""How old the reading of the store is that a node's state rests on.

A follower of the store knows this from its own calls. The others learn it
from the replies of their peers: a node that has every change its peer has
knows the store as of the peer's reading, too.

Who follows the store is worked out from beliefs about other nodes, which may
be wrong at all nodes together. A node whose reading grows too old therefore
volunteers to follow the store, whatever it believes. The bound differs from
node to node, so that the first ones to volunteer bring news to the others,
and a volunteer whose call fails waits as long again: while the store is away,
a large fleet makes a few calls for each node and minute.
"""

import random

# Age that the news of followers may have, polls included.
_FOLLOWER_AGE_MS = 4_000.0
# Further time for each doubling of a failure domain; news pass from node to
# node.
_SPREAD_MS = 1_250.0
# A node volunteers between once and this many times the bound. The news of the
# first volunteers need about the bound to keep others from it.
_MAX_PATIENCE = 3.0
# A volunteer goes on for this long.
_VOLUNTEERING_MS = 60_000.0


def bound_ms(domain_size: int) -> float:
    """Return the age that readings have at most in a healthy fleet.

    Args:
        domain_size: Number of nodes of the failure domain.
    """
    return _FOLLOWER_AGE_MS + _SPREAD_MS * domain_size.bit_length()


class StoreAge:
    """Age of the newest reading, and whether this node volunteers.

    Attributes:
        is_overdue: Whether the reading was older than the bound at the last
            check.
    """

    def __init__(self, rng: random.Random, now_ms: float) -> None:
        self._rng = rng
        self._started_ms = now_ms
        self._read_ms: float | None = None
        self._volunteers_until_ms = now_ms
        self._next_volunteering_ms = now_ms
        self._patience = self._draw_patience()
        self.is_overdue = False

    def _draw_patience(self) -> float:
        return self._rng.uniform(1.0, _MAX_PATIENCE)

    def note_reading(self, read_ms: float) -> None:
        """Note that this node's state holds all of the store at a time."""
        if self._read_ms is None or read_ms > self._read_ms:
            self._read_ms = read_ms

    def reading_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the newest reading; None if there is none."""
        return None if self._read_ms is None else now_ms - self._read_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the age of the newest reading, or else of this process."""
        read_ms = self._read_ms
        return now_ms - (self._started_ms if read_ms is None else read_ms)

    def check(self, now_ms: float, limit_ms: float) -> bool:
        """Volunteer if it is time to; return whether ``is_overdue`` changed.

        Args:
            now_ms: Current time.
            limit_ms: Age that readings have at most in a healthy fleet.
        """
        age_ms = self.age_ms(now_ms)
        is_due = age_ms > self._patience * limit_ms
        if is_due and now_ms >= self._next_volunteering_ms:
            self._volunteers_until_ms = now_ms + _VOLUNTEERING_MS
            self._next_volunteering_ms = self._volunteers_until_ms
            self._patience = self._draw_patience()
        was_overdue, self.is_overdue = self.is_overdue, age_ms > limit_ms
        return was_overdue is not self.is_overdue

    def note_failure(self, now_ms: float, limit_ms: float) -> None:
        """Note a failed call; a volunteer withdraws for a while."""
        if self.is_volunteering(now_ms):
            self._volunteers_until_ms = now_ms
            self._next_volunteering_ms = (
                now_ms + self._draw_patience() * limit_ms
            )

    def is_volunteering(self, now_ms: float) -> bool:
        """Whether this node follows the store without being appointed."""
        return now_ms < self._volunteers_until_ms


def store_age(rng: random.Random, now_ms: float) -> StoreAge:
    """Create the age at a node that starts, without any reading."""
    return StoreAge(rng, now_ms)
