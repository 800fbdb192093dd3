"""How old the reading of the store is that a node's state rests on.

A follower of the store knows this from its own calls. The others learn it
from the replies of their peers: a node that has every change its peer has
knows the store as of the peer's reading, too.
"""

# Age that the news of followers may have, polls included.
_FOLLOWER_AGE_MS = 4_000.0
# Further time for each doubling of a failure domain; news pass from node to
# node.
_SPREAD_MS = 1_000.0


def bound_ms(domain_size: int) -> float:
    """Return the age that readings have at most in a healthy fleet.

    Args:
        domain_size: Number of nodes of the failure domain.
    """
    return _FOLLOWER_AGE_MS + _SPREAD_MS * domain_size.bit_length()


class StoreAge:
    """Age of the newest reading.

    Attributes:
        is_overdue: Whether the reading was older than the bound at the last
            check.
    """

    def __init__(self, now_ms: float) -> None:
        self._started_ms = now_ms
        self._read_ms: float | None = None
        self.is_overdue = False

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
        """Return whether ``is_overdue`` changed.

        Args:
            now_ms: Current time.
            limit_ms: Age that readings have at most in a healthy fleet.
        """
        was_overdue = self.is_overdue
        self.is_overdue = self.age_ms(now_ms) > limit_ms
        return was_overdue is not self.is_overdue


def store_age(now_ms: float) -> StoreAge:
    """Create the age at a node that starts, without any reading."""
    return StoreAge(now_ms)
