"""What a node knows of other nodes' leases, and when it may revoke one."""

import dataclasses
import random

import msgspec

from parsleystile import ids
from parsleystile import leases
from parsleystile import table
from parsleystile import tableio

# A row in a final state is removed after this time.
ENDED_ROW_RETENTION_MS = 600_000.0
# A new process gives no promise until any write that an earlier process of
# the same node left under way has taken effect and could be seen.
STARTUP_QUIET_MS = 3_000.0

_HELD = leases.LeaseState.HELD


@dataclasses.dataclass(slots=True)
class ObservedLease:
    """A lease row, since when it was seen unchanged, and when last read."""

    row: leases.LeaseRow
    version: int
    since_ms: float
    read_at_ms: float


class LeaseWatch:
    """Sightings of lease rows, promises given, revocations under way."""

    def __init__(
        self,
        prefix: str,
        node_id: ids.NodeId,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._prefix = prefix
        self._node_id = node_id
        self._rng = rng
        self._started_at_ms = now_ms
        self._observed: dict[ids.NodeId, ObservedLease] = {}
        self._promised_until_ms: dict[ids.NodeId, float] = {}
        # True while the write is under way, False while in doubt or done
        # and not yet seen in the table.
        self._revoking: dict[ids.NodeId, bool] = {}

    def observe(self, rows: tuple[table.Row, ...], now_ms: float) -> None:
        """Take in all lease rows, as read by an answer that came now."""
        found = {ids.NodeId(r.key.removeprefix(self._prefix)) for r in rows}
        for node_id in self._observed.keys() - found:
            self._forget(node_id)
        for row in rows:
            self.observe_one(row, now_ms)

    def observe_one(self, row: table.Row, now_ms: float) -> None:
        """Take in one lease row, as read by an answer that came now."""
        node_id = ids.NodeId(row.key.removeprefix(self._prefix))
        found = leases.decode_row(row.value)
        old = self._observed.get(node_id)
        if old is not None and old.row == found:
            old.read_at_ms = now_ms
            return
        if old is not None and self._is_outdated(row, found, old):
            return
        self._forget(node_id)
        self._observed[node_id] = ObservedLease(
            found, row.version, now_ms, now_ms
        )

    def revocable_keys(self) -> list[str]:
        """Return the keys of the leases that this node may revoke early."""
        return [
            self._prefix + node_id
            for node_id, observed in self._observed.items()
            if self._node_id in observed.row.deputies
        ]

    def epoch_of(self, owner: ids.NodeId) -> str | None:
        """Return the epoch that holds the lease of ``owner``, if any."""
        observed = self._observed.get(owner)
        if observed is None or observed.row.state is not _HELD:
            return None
        return observed.row.epoch

    @staticmethod
    def _is_outdated(
        row: table.Row, found: leases.LeaseRow, seen: ObservedLease
    ) -> bool:
        # Answers of reads may cross.
        return found.epoch == seen.row.epoch and row.version < seen.version

    def _forget(self, node_id: ids.NodeId) -> None:
        self._observed.pop(node_id, None)
        if self._revoking.get(node_id) is False:
            del self._revoking[node_id]

    def is_free(
        self,
        owner: ids.NodeId,
        epoch: str,
        quarantine_ms: float,
        now_ms: float,
    ) -> bool:
        """Return whether what ``owner`` held under ``epoch`` is free.

        True only if the epoch has ended for good and, after a release,
        ``quarantine_ms`` have passed.
        """
        observed = self._observed.get(owner)
        if observed is None or observed.row.epoch != epoch:
            return True
        match observed.row.state:
            case leases.LeaseState.HELD:
                return False
            case leases.LeaseState.REVOKED:
                return True
            case leases.LeaseState.RELEASED:
                return now_ms >= observed.since_ms + quarantine_ms

    def promise(
        self, request: leases.PromiseRequest, now_ms: float
    ) -> leases.PromiseReply:
        """Promise not to revoke a lease, unless that has begun."""
        if not self.can_promise(request.holder, request.epoch):
            return leases.PromiseReply(False)
        until_ms = now_ms + leases.PROMISE_MS + leases.CLOCK_DRIFT_MARGIN_MS
        self._promised_until_ms[request.holder] = until_ms
        return leases.PromiseReply(True)

    def can_promise(self, holder: ids.NodeId, epoch: str) -> bool:
        """Return whether the lease is known not to be revoked from here."""
        if holder in self._revoking:
            return False
        observed = self._observed.get(holder)
        if observed is None or observed.row.epoch != epoch:
            return False
        is_starting = (
            observed.read_at_ms < self._started_at_ms + STARTUP_QUIET_MS
        )
        return not is_starting and observed.row.state is _HELD

    def is_deputy(self, owner: ids.NodeId, epoch: str) -> bool:
        """Return whether the lease, live or ended, names this node."""
        observed = self._observed.get(owner)
        if observed is None or observed.row.epoch != epoch:
            return False
        return self._node_id in observed.row.deputies

    def revoke_lapsed(self, now_ms: float) -> list[tableio.Swap]:
        """Return the writes that revoke or remove rows, a row each."""
        swaps = []
        for node_id, observed in self._observed.items():
            if self._may_revoke(node_id, observed, now_ms):
                self._revoking[node_id] = True
                swaps.append(self._revocation(node_id, observed))
            elif self._may_remove(observed, now_ms):
                key = self._prefix + node_id
                write = table.Write(key, None, observed.version)
                swaps.append(tableio.Swap((write,)))
        return swaps

    def on_swapped(self, event: tableio.SwapDone) -> None:
        """Take in what became of a revocation."""
        key = event.swap.writes[0].key
        node_id = ids.NodeId(key.removeprefix(self._prefix))
        if node_id not in self._revoking:
            return
        match event.outcome:
            case tableio.SwapOutcome.WRITTEN | tableio.SwapOutcome.UNKNOWN:
                # No promise until the row is seen changed.
                self._revoking[node_id] = False
            case _:
                del self._revoking[node_id]

    def _may_revoke(
        self, node_id: ids.NodeId, observed: ObservedLease, now_ms: float
    ) -> bool:
        if observed.row.state is not _HELD or self._revoking.get(node_id):
            return False
        age_ms = now_ms - observed.since_ms - leases.CLOCK_DRIFT_MARGIN_MS
        if age_ms < leases.LEASE_MS:
            return False
        deputies = observed.row.deputies
        if deputies and self._node_id not in deputies:
            return age_ms >= leases.MAX_EXTENSION_MS
        return now_ms >= self._promised_until_ms.get(node_id, 0.0)

    def _may_remove(self, observed: ObservedLease, now_ms: float) -> bool:
        if observed.row.state is _HELD:
            return False
        # One node in some tens finds the time for it on any one scan.
        is_old = now_ms >= observed.since_ms + ENDED_ROW_RETENTION_MS
        return is_old and self._rng.random() < 1 / 16

    def _revocation(
        self, node_id: ids.NodeId, observed: ObservedLease
    ) -> tableio.Swap:
        row = leases.LeaseRow(
            observed.row.epoch,
            f'{self._rng.getrandbits(64):016x}',
            leases.LeaseState.REVOKED,
            observed.row.deputies,
        )
        key = self._prefix + node_id
        value = msgspec.msgpack.encode(row)
        return tableio.Swap((table.Write(key, value, observed.version),))


def lease_watch(
    prefix: str, node_id: ids.NodeId, rng: random.Random, now_ms: float
) -> LeaseWatch:
    """Create a watch that has seen nothing yet, in a new process."""
    return LeaseWatch(prefix, node_id, rng, now_ms)
