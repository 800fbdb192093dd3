"""What a node decided and why: JSON lines, counters, histograms.

Lines are collected and written a batch at a time to a descriptor that never
blocks; a reader that stops reading costs lines, never time. Lines of one
kind are limited in rate; ``suppressed`` counts what was left out before.
Failures have rates of their own, so that ordinary lines never crowd them
out.
"""

import os

import msgspec

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile.relay import logevents
from parsleystile.relay import metrics

# Lines a second of one kind, and how many may come at once.
_LINES_PER_S = 20.0
_BURST_LINES = 60.0
# Of calls that went well, fewer tell as much.
_SAMPLED_PER_S = 2.0
# Bytes that wait for a reader; older lines are dropped beyond.
_MAX_BUFFERED_BYTES = 262_144
_LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
)


_FREQUENT = (logevents.CallAnswered,)


class _Budget:
    __slots__ = ('at_ms', 'lines', 'per_s', 'suppressed')

    def __init__(self, per_s: float, now_ms: float) -> None:
        self.per_s = per_s
        self.lines = _BURST_LINES if per_s >= _LINES_PER_S else per_s
        self.at_ms = now_ms
        self.suppressed = 0


class LogWriter:
    """Writes lines without ever waiting for their reader.

    Attributes:
        dropped: Lines lost because nobody read.
    """

    def __init__(
        self, node_id: ids.NodeId, clock: clocks.Clock, descriptor: int
    ) -> None:
        self._node = node_id
        self._clock = clock
        self._descriptor = descriptor
        self._budgets: dict[type[logevents.LogEvent], _Budget] = {}
        self._encoder = msgspec.json.Encoder()
        self._chunks: list[bytes] = []
        self._size = 0
        self.dropped = 0

    def wants(self, kind: type[logevents.LogEvent]) -> bool:
        """Take a line of a kind into its rate; False if it is over.

        Whoever asks and gets True writes the line by ``append``; under load
        most lines are then never made.
        """
        now_ms = self._clock.now_ms()
        budget = self._budgets.get(kind)
        if budget is None:
            per_s = _SAMPLED_PER_S if kind in _FREQUENT else _LINES_PER_S
            budget = self._budgets[kind] = _Budget(per_s, now_ms)
        refilled = budget.lines + (now_ms - budget.at_ms) * budget.per_s / 1e3
        budget.lines = min(refilled, max(budget.per_s, budget.lines))
        budget.at_ms = now_ms
        if budget.lines < 1.0:
            budget.suppressed += 1
            return False
        budget.lines -= 1.0
        return True

    def write(self, line: logevents.LogEvent) -> bool:
        """Take a line; False if its kind is over its rate."""
        if not self.wants(type(line)):
            return False
        self.append(line)
        return True

    def append(self, line: logevents.LogEvent) -> None:
        """Write a line that its rate allows."""
        budget = self._budgets[type(line)]
        if self._size > _MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        prefix = f'{{"time_ms":{int(self._clock.wall_ms())},"node":"'
        prefix += f'{self._node}",'
        if budget.suppressed:
            prefix += f'"suppressed":{budget.suppressed},'
            budget.suppressed = 0
        data = prefix.encode() + self._encoder.encode(line)[1:] + b'\n'
        self._chunks.append(data)
        self._size += len(data)

    def flush(self) -> None:
        """Hand what was collected to the reader, as far as it reads."""
        if not self._chunks:
            return
        data = b''.join(self._chunks)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody will ever read: the count is all that can be kept.
            self.dropped += len(self._chunks)
            written = len(data)
        rest = data[written:]
        self._chunks = [rest] if rest else []
        self._size = len(rest)


class Recorder:
    """Counts decisions and writes the lines about them.

    Attributes:
        log: Where lines go.
    """

    def __init__(self, log: LogWriter) -> None:
        self.log = log
        self._ends = metrics.counter(
            'parsleystile_calls',
            'Requests by how they ended here',
            'end',
            'reason',
        )
        self._guard = metrics.counter(
            'parsleystile_guard_refusals',
            'Calls that the guard refused',
            'reason',
        )
        self._events = metrics.counter(
            'parsleystile_events', 'Other events by kind', 'kind'
        )
        self._gauges = metrics.gauge(
            'parsleystile_state', 'Figures of this node now', 'name'
        )
        self._latency = metrics.Histogram(
            'parsleystile_call_seconds',
            'Time from a whole request to its answer',
            'end',
            _LATENCY_BUCKETS_S,
        )
        self._page = metrics.MetricsPage(
            self._ends, self._guard, self._events, self._gauges, self._latency
        )

    def page(self) -> bytes:
        """Return all numbers as text."""
        return self._page.text()

    def count(self, kind: str, amount: int = 1) -> None:
        """Count an event."""
        self._events.add((kind,), amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a figure of this node."""
        self._gauges.values[(name,)] = value

    def ended(self, end: str, reason: str, spent_ms: float) -> None:
        """Count the end of a request."""
        self._ends.add((end, reason))
        self._latency.observe(end, spent_ms / 1e3)

    def guard_refused(
        self,
        call: str,
        service: str,
        refusal: errors.Refusal,
        load: ttypes.Load,
    ) -> None:
        """Record that the guard let a call not pass."""
        reason = refusal.reason.name.lower()
        self._guard.add((reason,))
        if not self.log.wants(logevents.GuardRefused):
            return
        self.log.append(
            logevents.GuardRefused(
                call=call,
                service=service,
                reason=reason,
                detail=refusal.detail,
                in_flight=load.in_flight,
                limit=load.limit,
                queued=load.queued,
                level=round(load.admission_level, 3),
            )
        )

    def target_failed(
        self,
        call: str,
        target: str,
        refusal: errors.Refusal,
        spent_ms: float,
    ) -> None:
        """Record that the target gave no proper answer."""
        self.count('target-failed')
        self.log.write(
            logevents.TargetFailed(
                call=call,
                target=target,
                detail=refusal.detail,
                spent_ms=round(spent_ms, 1),
            )
        )

    def rejected(self, where: str, why: str) -> None:
        """Record input from outside that is not what it should be."""
        self.log.write(logevents.InputRejected(where=where, why=why))


def recorder(
    node_id: ids.NodeId, clock: clocks.Clock, descriptor: int
) -> Recorder:
    """Create a recorder whose lines go to a descriptor.

    The descriptor is set not to block.
    """
    os.set_blocking(descriptor, False)
    return Recorder(LogWriter(node_id, clock, descriptor))
