"""Counters, gauges and timings, sent to statsd."""

import abc
import typing

if typing.TYPE_CHECKING:
    import statsd


class Metrics(abc.ABC):
    """Interface to which a node reports its metrics."""

    @abc.abstractmethod
    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to the counter ``name``."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""

    @abc.abstractmethod
    def timing_ms(self, name: str, value_ms: float) -> None:
        """Record one duration under ``name``."""


class StatsdMetrics(Metrics):
    """Sends each metric to statsd over UDP."""

    def __init__(self, client: 'statsd.StatsClient') -> None:
        self._client = client

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to the counter ``name``."""
        self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._client.gauge(name, value)

    def timing_ms(self, name: str, value_ms: float) -> None:
        """Record one duration under ``name``."""
        self._client.timing(name, value_ms)


class MemoryMetrics(Metrics):
    """Keeps metrics in memory, for tests and for nodes without statsd."""

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to the counter ``name``."""
        self.counters[name] = self.counters.get(name, 0) + count

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self.gauges[name] = value

    def timing_ms(self, name: str, value_ms: float) -> None:
        """Keep the latest duration as a gauge."""
        self.gauges[name] = value_ms


def statsd_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Create metrics that are sent to statsd at ``host``:``port``."""
    # Imported here because nodes without statsd do not need the library.
    import statsd

    return StatsdMetrics(statsd.StatsClient(host, port, prefix=prefix))


def memory_metrics() -> MemoryMetrics:
    """Create metrics that are kept in memory."""
    return MemoryMetrics()
