"""Rows and faults of the stub table service."""

import dataclasses
import enum
import random

from parsleystile import errors
from parsleystile import table


class Outage(enum.Enum):
    """How the table responds to data requests."""

    NONE = 'none'
    # Responds with status 503.
    REFUSE = 'refuse'
    # Closes the connection without executing the request.
    RESET = 'reset'
    # Never responds.
    HANG = 'hang'


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that the stub simulates.

    Attributes:
        outage: Applies to every failure domain.
        delay_ms: Delay before a request takes effect.
        answer_delay_ms: Delay of the answer after a request took effect.
        lost_answer_share: Share of writes whose answer is lost after the
            write took effect.
        reachable_domains: Failure domains that can reach the table; None
            for all.
    """

    outage: Outage = Outage.NONE
    delay_ms: float = 0.0
    answer_delay_ms: float = 0.0
    lost_answer_share: float = 0.0
    reachable_domains: frozenset[str] | None = None

    def outage_for(self, failure_domain: str) -> Outage:
        """Return the outage that a client of ``failure_domain`` sees."""
        if self.outage is not Outage.NONE:
            return self.outage
        reachable = self.reachable_domains
        if reachable is not None and failure_domain not in reachable:
            return Outage.RESET
        return Outage.NONE


@dataclasses.dataclass(slots=True)
class Counts:
    """Counts of operations since the start."""

    reads: int = 0
    scans: int = 0
    transactions: int = 0
    rows_written: int = 0
    conflicts: int = 0
    refused: int = 0
    answers_lost: int = 0


class TableState:
    """Rows in memory with multi-row compare-and-swap."""

    def __init__(self, rng: random.Random) -> None:
        self.faults = Faults()
        self.counts = Counts()
        self._rng = rng
        self._rows: dict[str, table.Row] = {}

    def read(self, key: str) -> table.Row | None:
        """Return one row; None if it is absent."""
        self.counts.reads += 1
        return self._rows.get(key)

    def scan(self, prefix: str) -> list[table.Row]:
        """Return the rows whose key starts with ``prefix``, by key."""
        self.counts.scans += 1
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys]

    def transact(
        self, writes: list[table.Write]
    ) -> list[int] | errors.VersionConflictError:
        """Apply all writes or none; return the new versions."""
        conflict = self._find_conflict(writes)
        if conflict is not None:
            self.counts.conflicts += 1
            return conflict
        self.counts.transactions += 1
        self.counts.rows_written += len(writes)
        return [self._apply(write) for write in writes]

    def draw_answer_loss(self) -> bool:
        """Draw whether the answer to an applied write is lost."""
        is_lost = self._rng.random() < self.faults.lost_answer_share
        self.counts.answers_lost += is_lost
        return is_lost

    def _find_conflict(
        self, writes: list[table.Write]
    ) -> errors.VersionConflictError | None:
        for write in writes:
            row = self._rows.get(write.key)
            found = table.ABSENT if row is None else row.version
            if found != write.expected_version:
                return errors.VersionConflictError(
                    write.key, write.expected_version, found
                )
        return None

    def _apply(self, write: table.Write) -> int:
        if write.value is None:
            self._rows.pop(write.key, None)
            return table.ABSENT
        version = write.expected_version + 1
        self._rows[write.key] = table.Row(write.key, write.value, version)
        return version


def table_state(seed: int = 1) -> TableState:
    """Create an empty table; ``seed`` determines which answers are lost."""
    return TableState(random.Random(seed))
