"""What callers and targets of relay nodes saw, and the checks of it."""

import collections
import dataclasses
import itertools
import time

# A younger request may cross the close of its connection.
_CLOSE_RACE_MS = 200.0
# A fault excuses a node for this long after its end.
_SETTLE_MS = 1_000.0
# A caller sees the end of its request this long after the node at most.
_SEEN_AFTER_MS = 100.0
_NEVER_RAN = frozenset({408, 421, 429, 503})


def now_ms():
    return time.monotonic() * 1e3


def expected_body(call_id, size):
    """Return the body of a target's answer to a request."""
    part = call_id.encode() + b';'
    return (part * (size // len(part) + 1))[:size]


@dataclasses.dataclass(slots=True)
class Call:
    """A request as its caller saw it.

    Attributes:
        style: How the caller uses connections.
        sent_ms: When its last byte was sent; 0 if it never was.
        ended_ms: When its answer was complete or its connection closed; 0
            before that.
        status: Status of the complete answer; 0 without one.
        is_signed: Whether the answer is a target's.
        is_whole: Whether the body is the target's for this request.
    """

    call_id: str
    node: str
    style: str
    is_idempotent: bool
    size: int = 0
    sent_ms: float = 0.0
    ended_ms: float = 0.0
    status: int = 0
    is_signed: bool = False
    is_whole: bool = False


@dataclasses.dataclass(slots=True)
class Process:
    """A process that ended; ``asked_ms`` is the time of SIGTERM or 0."""

    node: str
    asked_ms: float
    ended_ms: float
    code: int
    output: str


@dataclasses.dataclass(slots=True)
class Disruption:
    """An unplanned fault of a node, or of all if ``node`` is empty."""

    node: str
    start_ms: float
    end_ms: float = float('inf')


class Record:
    """Events of a run; ``runs`` holds the ids of executed requests."""

    def __init__(self, grace_ms=3_000.0):
        self._grace_ms = grace_ms
        self.calls = []
        self.runs = []
        self.processes = []
        self.disruptions = []
        self.spells = []
        self._by_id = {}
        self._numbers = itertools.count(1)

    def new_call(self, node, style, is_idempotent, size=0):
        call_id = f'{style}-{next(self._numbers)}'
        self.calls.append(Call(call_id, node, style, is_idempotent, size))
        self._by_id[call_id] = self.calls[-1]
        return self.calls[-1]

    def call(self, call_id):
        """Return a call by its id."""
        return self._by_id[call_id]

    def forget_notices(self, node):
        """Record that a node knows nothing of before, or is excused."""
        for spell in self.spells:
            spell.forget(node)

    def disrupt(self, node):
        """Record a fault from now on."""
        self.forget_notices(node)
        self.disruptions.append(Disruption(node, now_ms()))
        return self.disruptions[-1]

    def _is_disrupted(self, node, start_ms, end_ms):
        """Return whether a fault excuses a node; any node for None."""
        return any(
            (node is None or d.node in (node, ''))
            and d.start_ms <= end_ms
            and d.end_ms + _SETTLE_MS >= start_ms
            for d in self.disruptions
        )

    def _stop_of(self, call):
        """Return the stopping process that a request met, or None."""
        for process in self.processes:
            is_met = call.sent_ms <= process.ended_ms
            is_met = is_met and process.asked_ms <= call.ended_ms
            if process.node == call.node and process.asked_ms and is_met:
                return process
        return None

    def _excuses(self, call):
        """Return whether a fault excuses a node that gave no answer."""
        # A node that was paused has less than its grace.
        stop = self._stop_of(call)
        start_ms = min(call.sent_ms, stop.asked_ms if stop else call.sent_ms)
        return self._is_disrupted(call.node, start_ms, call.ended_ms)

    def _ends_late_in_a_stop(self, call):
        """Return whether it ended in the last sixth of a node's grace.

        The platform's rules let a node give up a request whose target is
        still at work then; the node is the caller's or the target's.
        """
        return any(
            process.asked_ms
            and process.asked_ms + self._grace_ms * 5 / 6 <= call.ended_ms
            and call.ended_ms <= process.ended_ms + _SEEN_AFTER_MS
            for process in self.processes
        )

    def _since_stop(self, call):
        stop = self._stop_of(call)
        if stop is None:
            return ''
        asked_ms = stop.asked_ms
        return (
            f'; sent at {call.sent_ms - asked_ms:.0f}, closed at'
            f' {call.ended_ms - asked_ms:.0f}, process ended at'
            f' {stop.ended_ms - asked_ms:.0f} ms after SIGTERM'
        )

    def violations(self):
        """Return a line for each broken promise."""
        runs = collections.Counter(self.runs)
        lines = [
            f'{call.call_id} to {call.node}: {why}{self._since_stop(call)}'
            for call in self.calls
            for why in self._call_faults(call, runs[call.call_id])
        ]
        lines += [
            f'{process.node}: {why}'
            for process in self.processes
            for why in self._process_faults(process)
        ]
        for spell in self.spells:
            lines += spell.violations()
        return lines

    def _call_faults(self, call, runs):
        status = call.status
        if status in _NEVER_RAN and runs:
            yield f'refused with {status}, has run'
        if runs > 1 and not call.is_idempotent:
            yield f'ran {runs} times'
        is_sound = call.is_signed and call.is_whole and runs
        if 200 <= status < 300 and not is_sound:
            yield 'success without the body of a target'
        if not call.sent_ms or not call.ended_ms:
            return
        waited_ms = call.ended_ms - call.sent_ms
        is_late = runs or waited_ms >= _CLOSE_RACE_MS
        if not status and is_late and not self._excuses(call):
            ran = 'has run' if runs else 'has not run'
            yield f'no answer after {waited_ms:.0f} ms, {ran}'
        is_own = status >= 500 and not call.is_signed
        is_own = is_own and status not in _NEVER_RAN
        if not is_own or not runs or self._ends_late_in_a_stop(call):
            return
        if not self._is_disrupted(None, call.sent_ms, call.ended_ms):
            yield f'broken off with {status} after {waited_ms:.0f} ms'

    def _process_faults(self, process):
        strange = [ln for ln in process.output.splitlines() if ln[:1] != '{']
        if strange:
            yield f'wrote {strange[0]!r} and {strange[-1]!r}'
        start_ms = process.asked_ms or process.ended_ms
        if self._is_disrupted(process.node, start_ms, process.ended_ms):
            return
        if process.code or not process.asked_ms:
            took_ms = process.ended_ms - start_ms
            yield f'ended {took_ms:.0f} ms after SIGTERM with {process.code}'
