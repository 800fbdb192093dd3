"""Log events and metrics of a node's decisions.

Log lines are buffered and written in batches to a non-blocking descriptor: a
reader that stops reading loses lines but never delays the node. Each kind of
event has its own rate limit, so that frequent events do not crowd out
failures; ``suppressed`` counts the events that were left out before a line.
"""

import os

import msgspec

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile.relay import logevents
from parsleystile.relay import metrics

# Rate limit of each kind of event, and the burst allowed after the start.
_LINES_PER_S = 20.0
_BURST_LINES = 60.0
# Rate limit of events on successful calls; a sample is enough.
_SAMPLED_PER_S = 2.0
# New lines are dropped while more than this is buffered.
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


_SAMPLED_EVENTS = (logevents.CallAnswered,)


class _EventBudget:
    """Token bucket of one kind of event."""

    __slots__ = ('refilled_ms', 'tokens', 'rate_per_s', 'suppressed')

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        self.rate_per_s = rate_per_s
        self.tokens = (
            _BURST_LINES if rate_per_s >= _LINES_PER_S else rate_per_s
        )
        self.refilled_ms = now_ms
        self.suppressed = 0


class LogWriter:
    """Writes log lines without blocking.

    Attributes:
        dropped: Lines lost because the reader was too slow or gone.
    """

    def __init__(
        self, node_id: ids.NodeId, clock: clocks.Clock, descriptor: int
    ) -> None:
        self._node = node_id
        self._clock = clock
        self._descriptor = descriptor
        self._budgets: dict[type[logevents.LogEvent], _EventBudget] = {}
        self._encoder = msgspec.json.Encoder()
        self._chunks: list[bytes] = []
        self._size = 0
        self.dropped = 0

    def try_acquire(self, kind: type[logevents.LogEvent]) -> bool:
        """Take a token for an event of a kind; False if over its rate.

        A caller that gets True writes the event with ``append``. Under load
        most events are thus never constructed.
        """
        now_ms = self._clock.now_ms()
        budget = self._budgets.get(kind)
        if budget is None:
            rate_per_s = (
                _SAMPLED_PER_S if kind in _SAMPLED_EVENTS else _LINES_PER_S
            )
            budget = self._budgets[kind] = _EventBudget(rate_per_s, now_ms)
        refilled = (
            budget.tokens
            + (now_ms - budget.refilled_ms) * budget.rate_per_s / 1e3
        )
        budget.tokens = min(refilled, max(budget.rate_per_s, budget.tokens))
        budget.refilled_ms = now_ms
        if budget.tokens < 1.0:
            budget.suppressed += 1
            return False
        budget.tokens -= 1.0
        return True

    def write(self, line: logevents.LogEvent) -> bool:
        """Write an event; False if its kind is over its rate."""
        if not self.try_acquire(type(line)):
            return False
        self.append(line)
        return True

    def append(self, line: logevents.LogEvent) -> None:
        """Write an event whose token has been taken."""
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
        """Write the buffered lines, as far as the descriptor accepts them."""
        if not self._chunks:
            return
        data = b''.join(self._chunks)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone for good; only the count is kept.
            self.dropped += len(self._chunks)
            written = len(data)
        rest = data[written:]
        self._chunks = [rest] if rest else []
        self._size = len(rest)


class Recorder:
    """Counts decisions and logs them.

    Attributes:
        log: Writer of the log events.
    """

    def __init__(self, log: LogWriter) -> None:
        self.log = log
        self._requests = metrics.counter(
            'parsleystile_calls',
            'Requests by how they ended here',
            'end',
            'reason',
        )
        self._guard_refusals = metrics.counter(
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
        self._version_answers = metrics.counter(
            'parsleystile_version_answers',
            'Answers of the local target during a roll-out',
            'service',
            'version',
            'result',
        )
        self._metrics_page = metrics.MetricsPage(
            self._requests,
            self._guard_refusals,
            self._events,
            self._gauges,
            self._latency,
            self._version_answers,
        )

    def metrics_page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics_page.text()

    def count(self, kind: str, amount: int = 1) -> None:
        """Count an event."""
        self._events.add((kind,), amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge of this node."""
        self._gauges.values[(name,)] = value

    def request_ended(self, end: str, reason: str, spent_ms: float) -> None:
        """Count the end of a request."""
        self._requests.add((end, reason))
        self._latency.observe(end, spent_ms / 1e3)

    def version_answered(
        self, service: str, version: str, is_failure: bool
    ) -> None:
        """Count an answer of the local target during a roll-out."""
        result = 'failed' if is_failure else 'ok'
        self._version_answers.add((service, version, result))

    def guard_refused(
        self,
        call: str,
        service: str,
        refusal: errors.Refusal,
        load: ttypes.Load,
    ) -> None:
        """Count and log a call that the guard refused."""
        reason = refusal.reason.name.lower()
        self._guard_refusals.add((reason,))
        if not self.log.try_acquire(logevents.GuardRefused):
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
        """Count and log a call that got no valid answer from the target."""
        self.count('target-failed')
        self.log.write(
            logevents.TargetFailed(
                call=call,
                target=target,
                detail=refusal.detail,
                spent_ms=round(spent_ms, 1),
            )
        )

    def input_rejected(self, where: str, why: str) -> None:
        """Log invalid input from outside."""
        self.log.write(logevents.InputRejected(where=where, why=why))


def recorder(
    node_id: ids.NodeId, clock: clocks.Clock, descriptor: int
) -> Recorder:
    """Create a recorder that logs to a descriptor.

    The descriptor is made non-blocking.
    """
    os.set_blocking(descriptor, False)
    return Recorder(LogWriter(node_id, clock, descriptor))
