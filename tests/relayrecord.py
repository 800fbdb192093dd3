"""What callers, targets and the platform saw of relay nodes, and its checks.

Each check returns a line for each violation of a promise.
"""

import dataclasses
import itertools
import time
import typing

# A request this old at the close of its connection did not just cross it.
_CLOSE_RACE_MS = 200.0
# An unplanned fault excuses a node for this long after its end.
_SETTLE_MS = 1_000.0


def now_ms() -> float:
    """Return the time of the record."""
    return time.monotonic() * 1e3


def expected_body(call_id: str, size: int) -> bytes:
    """Return the body of a target's answer to a request."""
    part = call_id.encode() + b';'
    return (part * (size // len(part) + 1))[:size]


@dataclasses.dataclass(slots=True)
class Call:
    """A request as its caller saw it.

    Attributes:
        node: Node that the caller sent it to.
        style: How the caller uses connections.
        sent_ms: When its last byte was sent; None if it never was.
        ended_ms: When its answer was complete or its connection closed.
        status: Status of the complete answer; 0 if there was none.
        is_signed: Whether a target gave the answer.
        is_whole: Whether the body is the target's for this request.
    """

    call_id: str
    node: str
    style: str
    is_idempotent: bool
    size: int = 0
    sent_ms: float | None = None
    ended_ms: float | None = None
    status: int = 0
    is_signed: bool = False
    is_whole: bool = False


@dataclasses.dataclass(slots=True)
class Process:
    """A node's process from SIGTERM, or an unexpected end, to its end."""

    node: str
    ended_ms: float
    code: int
    output: str
    grace_ms: float
    asked_ms: float | None = None
    is_killed: bool = False


@dataclasses.dataclass(slots=True)
class Disruption:
    """An unplanned fault of a node; of all nodes if ``node`` is empty."""

    node: str
    start_ms: float
    end_ms: float = float('inf')


class Record:
    """Events of a run; ``runs`` has the times of execution by request."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.runs: dict[str, list[float]] = {}
        self.processes: list[Process] = []
        self.disruptions: list[Disruption] = []
        self._ids = itertools.count(1)

    def new_call(
        self, node: str, style: str, is_idempotent: bool, size: int = 0
    ) -> Call:
        """Record a new request."""
        call = Call(
            f'{style}-{next(self._ids)}', node, style, is_idempotent, size
        )
        self.calls.append(call)
        return call

    def is_disrupted(
        self, node: str | None, start_ms: float, end_ms: float
    ) -> bool:
        """Return whether a fault excuses a node; any node if it is None."""
        return any(
            (node is None or d.node in (node, ''))
            and d.start_ms <= end_ms
            and d.end_ms + _SETTLE_MS >= start_ms
            for d in self.disruptions
        )


def _ended(record: Record) -> typing.Iterator[Call]:
    return (
        c
        for c in record.calls
        if c.sent_ms is not None and c.ended_ms is not None
    )


def find_lost(record: Record) -> list[str]:
    """Whole requests end with an answer, whatever is planned.

    Only a request that did not run may cross the close of its connection.
    """
    lines = []
    for call in _ended(record):
        has_run = call.call_id in record.runs
        waited_ms = call.ended_ms - call.sent_ms
        if call.status or (waited_ms < _CLOSE_RACE_MS and not has_run):
            continue
        if record.is_disrupted(call.node, call.sent_ms, call.ended_ms):
            continue
        lines.append(
            f'no answer: {call.call_id} to {call.node}, closed'
            f' {waited_ms:.0f} ms after it was sent,'
            f' {"has run" if has_run else "has not run"}'
            f'{_since_stop(record, call)}'
        )
    return lines


def _since_stop(record: Record, call: Call) -> str:
    for process in record.processes:
        asked_ms = process.asked_ms
        if (
            process.node == call.node
            and asked_ms is not None
            and asked_ms <= call.ended_ms <= process.ended_ms + _SETTLE_MS
        ):
            return (
                f'; sent {call.sent_ms - asked_ms:.0f} ms and closed'
                f' {call.ended_ms - asked_ms:.0f} ms after SIGTERM,'
                f' the process ended {process.ended_ms - asked_ms:.0f} ms'
                ' after it'
            )
    return ''
