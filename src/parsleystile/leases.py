"""Node leases held in table rows, with extension during table outages.

A node owns shared resources, such as parts of a quota, under its node
lease. The holder counts the lease from when it sent the write to the
table; every other node counts it from when it first saw the row. The
holder's lease therefore always expires first.

A lease names deputies, usually other nodes of the same failure domain. For
``MAX_EXTENSION_MS`` after the last renewal only a deputy may revoke an
expired lease, and a deputy may promise not to. While the table is
unavailable, the holder extends its lease by the promises of all deputies.
"""

import dataclasses
import enum
import random

import msgspec

from parsleystile import ids
from parsleystile import table
from parsleystile import tableio

LEASE_MS = 6_000.0
RENEW_MS = 2_000.0
RETRY_MS = 500.0
PROMISE_MS = 3_000.0
PROMISE_PERIOD_MS = 1_000.0
MAX_EXTENSION_MS = 3_600_000.0
# Added by other nodes to every wait, for clocks that run at different rates.
CLOCK_DRIFT_MARGIN_MS = 200.0
# After a release, until everything granted under the lease has expired.
QUARANTINE_MS = 4_000.0


class LeaseState(enum.Enum):
    """State of a lease epoch, as stored in its row."""

    HELD = 'held'
    RELEASED = 'released'
    REVOKED = 'revoked'


class LeaseRow(msgspec.Struct, frozen=True):
    """Value of a lease row.

    Attributes:
        epoch: Unique to one holder; identifies an owner with its node.
        nonce: Unique to one write.
        state: State of the epoch.
        deputies: Nodes that may revoke the lease once it has expired.
    """

    epoch: str
    nonce: str
    state: LeaseState
    deputies: tuple[ids.NodeId, ...] = ()


class PromiseRequest(msgspec.Struct, frozen=True):
    """Asks a deputy not to revoke a lease for ``PROMISE_MS``.

    Attributes:
        prefix: Key prefix of this kind of lease.
        holder: Node that holds the lease.
        epoch: Epoch of the lease.
    """

    prefix: str
    holder: ids.NodeId
    epoch: str


class PromiseReply(msgspec.Struct, frozen=True):
    """Whether the deputy promises not to revoke the lease."""

    is_promised: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPromise:
    """Action: send ``request`` to the node ``to``."""

    to: ids.NodeId
    request: PromiseRequest
    requested_at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseReplied:
    """Event: a deputy answered the request sent at ``requested_at_ms``."""

    prefix: str
    deputy: ids.NodeId
    requested_at_ms: float
    is_promised: bool


Action = tableio.Request | RequestPromise
Event = tableio.Event | PromiseReplied


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A write of the lease row: confirmed, pending or of unknown outcome."""

    row: LeaseRow
    version: int
    requested_at_ms: float


def decode_row(value: bytes) -> LeaseRow:
    """Decode the value of a lease row."""
    return msgspec.msgpack.decode(value, type=LeaseRow)


class Lease:
    """The lease of this node for one epoch.

    Attributes:
        prefix: Key prefix of this kind of lease.
        node_id: This node.
        epoch: Identifies this holder in the rows of what it owns.
        is_lost: Revoked, released or replaced; never valid again.
        is_wanted: Whether the node acquires and renews the lease.
    """

    def __init__(
        self, prefix: str, node_id: ids.NodeId, rng: random.Random
    ) -> None:
        self.prefix = prefix
        self.node_id = node_id
        self.epoch = f'{rng.getrandbits(64):016x}'
        self.is_lost = False
        self.is_wanted = False
        self._rng = rng
        self._key = prefix + node_id
        self._deputies: tuple[ids.NodeId, ...] = ()
        self._version: int | None = None
        self._confirmed: _Attempt | None = None
        self._attempt: _Attempt | None = None
        self._unresolved: list[_Attempt] = []
        self._is_busy = False
        self._swap: tableio.Swap | None = None
        self._next_write_ms = 0.0
        self._next_promise_ms = 0.0
        self._read_at_ms: float | None = None
        self._quarantine_end_ms: float | None = None
        self._promised_until_ms: dict[ids.NodeId, float] = {}

    @property
    def deputies(self) -> tuple[ids.NodeId, ...]:
        """The deputies to be named by the next renewal."""
        return self._deputies

    @property
    def required_deputies(self) -> set[ids.NodeId]:
        """Every deputy that may be entitled to revoke the lease.

        These are the deputies of the confirmed row and of every write whose
        outcome is not known yet.
        """
        attempts = list(self._unresolved)
        if self._confirmed is not None:
            attempts.append(self._confirmed)
        if self._attempt is not None:
            attempts.append(self._attempt)
        return {d for attempt in attempts for d in attempt.row.deputies}

    def set_deputies(self, deputies: tuple[ids.NodeId, ...]) -> None:
        """Set the deputies and renew the lease soon if they changed."""
        if deputies != self._deputies:
            self._deputies = deputies
            self._next_write_ms = 0.0

    @property
    def was_confirmed(self) -> bool:
        """Whether the table ever confirmed the lease."""
        return self._confirmed is not None

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether the lease is valid without any promises."""
        confirmed = self._confirmed
        if confirmed is None or self.is_lost:
            return False
        return now_ms < confirmed.requested_at_ms + LEASE_MS

    def valid_until_ms(self) -> float:
        """Return the expiry in ms on the holder's clock; 0 if not held."""
        if self.is_lost or self._confirmed is None:
            return 0.0
        requested_at_ms = self._confirmed.requested_at_ms
        return max(requested_at_ms + LEASE_MS, self._extended_until_ms())

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the lease is held and has not expired."""
        return now_ms < self.valid_until_ms()

    def tick(self, now_ms: float) -> list[Action]:
        """Renew the lease, and request promises while renewal fails."""
        if self.is_lost or not self.is_wanted:
            return []
        actions: list[Action] = []
        if not self._is_busy and now_ms >= self._next_write_ms:
            self._is_busy = True
            self._next_write_ms = now_ms + RETRY_MS
            actions.append(self._write_or_read(now_ms))
        return actions + self._request_promises(now_ms)

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process a table result or a deputy's answer."""
        match event:
            case tableio.SwapDone(swap, outcome):
                if swap == self._swap:
                    self._swap = None
                    self._on_swap_done(outcome, now_ms)
            case tableio.ReadDone():
                self._on_read_done(event, now_ms)
            case PromiseReplied(_, deputy, requested_at_ms, is_promised):
                if is_promised:
                    self._promised_until_ms[deputy] = (
                        requested_at_ms + PROMISE_MS
                    )
        return []

    def release(self, now_ms: float) -> list[Action]:
        """Release the lease; it is invalid from now on."""
        if self.is_lost or self._confirmed is None:
            self.is_lost = True
            return []
        self.is_lost = True
        row = self._row(LeaseState.RELEASED)
        version = self._confirmed.version
        value = msgspec.msgpack.encode(row)
        return [tableio.Swap((table.Write(self._key, value, version),))]

    def _row(self, state: LeaseState) -> LeaseRow:
        nonce = f'{self._rng.getrandbits(64):016x}'
        return LeaseRow(self.epoch, nonce, state, self._deputies)

    def _write_or_read(self, now_ms: float) -> Action:
        # A holder whose lease has expired reads before it writes: its row
        # may have been revoked, removed and written again up to the same
        # version.
        has_expired = self._confirmed is not None and not self.is_valid(now_ms)
        if self._version is None or (has_expired and self._needs_read(now_ms)):
            return tableio.Read(self._key)
        return self._write(now_ms)

    def _needs_read(self, now_ms: float) -> bool:
        return self._read_at_ms is None or now_ms > self._read_at_ms + LEASE_MS

    def _write(self, now_ms: float) -> tableio.Swap:
        row = self._row(LeaseState.HELD)
        self._attempt = _Attempt(row, self._version + 1, now_ms)
        value = msgspec.msgpack.encode(row)
        write = table.Write(self._key, value, self._version)
        self._swap = tableio.Swap((write,))
        return self._swap

    def _on_swap_done(
        self, outcome: tableio.SwapOutcome, now_ms: float
    ) -> None:
        self._is_busy = False
        attempt, self._attempt = self._attempt, None
        match outcome:
            case tableio.SwapOutcome.WRITTEN:
                self._confirm(attempt)
            case tableio.SwapOutcome.UNAVAILABLE:
                pass
            case tableio.SwapOutcome.CONFLICT | tableio.SwapOutcome.UNKNOWN:
                self._unresolved.append(attempt)
                self._version = None
                self._next_write_ms = now_ms

    def _confirm(self, attempt: _Attempt) -> None:
        self._confirmed = attempt
        self._version = attempt.version
        self._unresolved.clear()
        self._next_write_ms = attempt.requested_at_ms + RENEW_MS

    def _on_read_done(self, event: tableio.ReadDone, now_ms: float) -> None:
        self._is_busy = False
        if not event.is_known:
            return
        self._read_at_ms = now_ms
        row = event.row
        found = None if row is None else decode_row(row.value)
        if found is not None and found.epoch == self.epoch:
            self._on_own_row(found)
        elif self._confirmed is not None:
            self.is_lost = True
        elif found is not None and not self._has_ended(found, now_ms):
            return
        self._version = table.ABSENT if row is None else row.version
        self._next_write_ms = now_ms

    def _has_ended(self, found: LeaseRow, now_ms: float) -> bool:
        """Return whether an earlier process's epoch has surely ended."""
        match found.state:
            case LeaseState.HELD:
                # It ends when its deputies revoke it.
                return False
            case LeaseState.REVOKED:
                return True
            case LeaseState.RELEASED:
                if self._quarantine_end_ms is None:
                    self._quarantine_end_ms = now_ms + QUARANTINE_MS
                return now_ms >= self._quarantine_end_ms

    def _on_own_row(self, found: LeaseRow) -> None:
        if found.state is not LeaseState.HELD:
            self.is_lost = True
            return
        for attempt in self._unresolved:
            if attempt.row.nonce == found.nonce:
                self._confirm(attempt)
                return

    def _extended_until_ms(self) -> float:
        deputies = self.required_deputies
        if not deputies:
            return 0.0
        limit_ms = self._confirmed.requested_at_ms + MAX_EXTENSION_MS
        promised = [self._promised_until_ms.get(d, 0.0) for d in deputies]
        return min(limit_ms, *promised)

    def _request_promises(self, now_ms: float) -> list[Action]:
        confirmed = self._confirmed
        if confirmed is None or now_ms < self._next_promise_ms:
            return []
        if now_ms < confirmed.requested_at_ms + RENEW_MS + RETRY_MS:
            return []
        self._next_promise_ms = now_ms + PROMISE_PERIOD_MS
        request = PromiseRequest(self.prefix, self.node_id, self.epoch)
        return [
            RequestPromise(deputy, request, now_ms)
            for deputy in sorted(self.required_deputies)
        ]


def node_lease(prefix: str, node_id: ids.NodeId, rng: random.Random) -> Lease:
    """Create a node's lease under a new epoch; nothing is written yet.

    Args:
        prefix: Key prefix of this kind of lease; ends with a slash.
        node_id: This node.
        rng: Source of epochs and nonces.
    """
    return Lease(prefix, node_id, rng)
