"""Leases of nodes by table rows, and how a platform outage is outlasted.

A node that owns something shared, such as parts of a quota, does so under
the lease of its node. The holder counts the lease from when it asked the
table; everyone else counts it from when they first saw the row, so theirs
always ends later.

A lease names deputies, other nodes of the same failure domain. Before
``MAX_EXTENSION_MS`` have passed only a deputy may revoke a lease that was not
renewed, and a deputy may promise not to. While the table is out of reach
the holder lives on the promises of all its deputies.
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
# What others wait on top, for clocks that run apart.
CLOCK_DRIFT_MARGIN_MS = 200.0
# After a release, until what was handed out under the lease has lapsed.
QUARANTINE_MS = 4_000.0


class LeaseState(enum.Enum):
    """What a lease row says of its epoch."""

    HELD = 'held'
    RELEASED = 'released'
    REVOKED = 'revoked'


class LeaseRow(msgspec.Struct, frozen=True):
    """Value of a lease row.

    Attributes:
        epoch: Unique to one holder; owners are named by node and epoch.
        nonce: Unique to one write.
        state: Whether the epoch may still be live.
        deputies: Nodes that may revoke the lease early.
    """

    epoch: str
    nonce: str
    state: LeaseState
    deputies: tuple[ids.NodeId, ...] = ()


class PromiseRequest(msgspec.Struct, frozen=True):
    """Asks a deputy not to revoke a lease for ``PROMISE_MS``.

    Attributes:
        prefix: Of the kind of lease.
    """

    prefix: str
    holder: ids.NodeId
    epoch: str


class PromiseReply(msgspec.Struct, frozen=True):
    """Whether the deputy promises."""

    is_promised: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPromise:
    """Action: send ``request`` to the node ``to``."""

    to: ids.NodeId
    request: PromiseRequest
    requested_at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseReplied:
    """Event: a deputy answered the ask sent at ``requested_at_ms``."""

    prefix: str
    deputy: ids.NodeId
    requested_at_ms: float
    is_promised: bool


Action = tableio.Request | RequestPromise
Event = tableio.Event | PromiseReplied


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A write of the lease row that is under way or in doubt."""

    row: LeaseRow
    version: int
    requested_at_ms: float


def decode_row(value: bytes) -> LeaseRow:
    """Decode the value of a lease row."""
    return msgspec.msgpack.decode(value, type=LeaseRow)


class Lease:
    """The lease of this node; one epoch for the life of the object.

    Attributes:
        epoch: Names this holder in what it owns.
        is_lost: Revoked, released or overtaken; never valid again.
        is_wanted: Whether the node asks for and renews the lease.
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
        """The deputies that the next renewal names."""
        return self._deputies

    @property
    def required_deputies(self) -> set[ids.NodeId]:
        """Every deputy that might now be entitled to revoke the lease."""
        attempts = list(self._unresolved)
        if self._confirmed is not None:
            attempts.append(self._confirmed)
        if self._attempt is not None:
            attempts.append(self._attempt)
        return {d for attempt in attempts for d in attempt.row.deputies}

    def set_deputies(self, deputies: tuple[ids.NodeId, ...]) -> None:
        """Name the deputies from the next renewal on."""
        if deputies != self._deputies:
            self._deputies = deputies
            self._next_write_ms = 0.0

    @property
    def was_confirmed(self) -> bool:
        """Whether the table ever confirmed the lease."""
        return self._confirmed is not None

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether the lease holds by the table alone."""
        confirmed = self._confirmed
        if confirmed is None or self.is_lost:
            return False
        return now_ms < confirmed.requested_at_ms + LEASE_MS

    def valid_until_ms(self) -> float:
        """Return when the lease ends on the holder's clock; 0 if none."""
        if self.is_lost or self._confirmed is None:
            return 0.0
        requested_at_ms = self._confirmed.requested_at_ms
        return max(requested_at_ms + LEASE_MS, self._extended_until_ms())

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the lease holds now."""
        return now_ms < self.valid_until_ms()

    def tick(self, now_ms: float) -> list[Action]:
        """Renew the lease, or seek promises while that does not work."""
        if self.is_lost or not self.is_wanted:
            return []
        actions: list[Action] = []
        if not self._is_busy and now_ms >= self._next_write_ms:
            self._is_busy = True
            self._next_write_ms = now_ms + RETRY_MS
            actions.append(self._write_or_read(now_ms))
        return actions + self._request_promises(now_ms)

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take in a result of the table or a deputy's answer."""
        match event:
            case tableio.SwapDone(swap, outcome):
                if swap == self._swap:
                    self._swap = None
                    self._on_swapped(outcome, now_ms)
            case tableio.ReadDone():
                self._on_read(event, now_ms)
            case PromiseReplied(_, deputy, requested_at_ms, is_promised):
                if is_promised:
                    self._promised_until_ms[deputy] = (
                        requested_at_ms + PROMISE_MS
                    )
        return []

    def release(self, now_ms: float) -> list[Action]:
        """Give the lease up; it is not valid from now on."""
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
        # A holder that has lapsed looks first: its row may have been
        # revoked, removed and written anew up to the same version.
        has_lapsed = self._confirmed is not None and not self.is_valid(now_ms)
        if self._version is None or (has_lapsed and self._needs_read(now_ms)):
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

    def _on_swapped(self, outcome: tableio.SwapOutcome, now_ms: float) -> None:
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

    def _on_read(self, event: tableio.ReadDone, now_ms: float) -> None:
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
        """Return whether an earlier process of this node is surely gone."""
        match found.state:
            case LeaseState.HELD:
                # Its deputies will revoke it.
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
    """Create the lease of a node, not yet asked for.

    Args:
        prefix: Of the rows of this kind of lease; ends with a slash.
        node_id: This node.
        rng: Source of epochs and nonces.
    """
    return Lease(prefix, node_id, rng)
