"""Counters, gauges and histograms that are cheap to update.

Values are plain numbers, converted to metrics of the Prometheus client
library only when the page is requested; the library's own metrics take a lock
and a look-up for each update.
"""

import bisect
import typing

import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry

Labels = tuple[str, ...]


class LabelledValues:
    """A counter or gauge with labels.

    Attributes:
        values: Value by label values.
    """

    def __init__(
        self,
        family: type[metrics_core.Metric],
        name: str,
        documentation: str,
        labels: Labels,
    ) -> None:
        self._family = family
        self._name = name
        self._documentation = documentation
        self._labels = labels
        self.values: dict[Labels, float] = {}

    def add(self, labels: Labels, amount: float = 1) -> None:
        """Add to the value of some labels."""
        self.values[labels] = self.values.get(labels, 0) + amount

    def collect(self) -> metrics_core.Metric:
        """Convert to a metric of the library."""
        metric = self._family(
            self._name, self._documentation, labels=self._labels
        )
        for labels, value in self.values.items():
            metric.add_metric(labels, value)
        return metric


class Histogram:
    """A histogram of durations with one label.

    Args:
        bounds_s: Upper bounds of the buckets in seconds, ascending.
    """

    def __init__(
        self,
        name: str,
        documentation: str,
        label: str,
        bounds_s: tuple[float, ...],
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._label = label
        self._bounds_s = bounds_s
        self._buckets: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}

    def observe(self, label: str, spent_s: float) -> None:
        """Add a duration in seconds."""
        buckets = self._buckets.get(label)
        if buckets is None:
            buckets = self._buckets[label] = [0] * (len(self._bounds_s) + 1)
            self._sums_s[label] = 0.0
        buckets[bisect.bisect_left(self._bounds_s, spent_s)] += 1
        self._sums_s[label] += spent_s

    def collect(self) -> metrics_core.Metric:
        """Convert to a metric of the library."""
        metric = metrics_core.HistogramMetricFamily(
            self._name, self._documentation, labels=(self._label,)
        )
        names = [*map(str, self._bounds_s), '+Inf']
        for label, buckets in self._buckets.items():
            total = 0
            pairs: list[tuple[str, int]] = []
            for name, count in zip(names, buckets, strict=True):
                total += count
                pairs.append((name, total))
            metric.add_metric((label,), pairs, self._sums_s[label])
        return metric


class MetricsPage(registry.Collector):
    """The metrics of a node in the Prometheus text format."""

    def __init__(self, *collectors: LabelledValues | Histogram) -> None:
        self._collectors = collectors
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)

    def collect(self) -> typing.Iterable[metrics_core.Metric]:
        """Return the metrics; called by the library."""
        return [part.collect() for part in self._collectors]

    def text(self) -> bytes:
        """Return the page."""
        return prometheus_client.generate_latest(self._registry)


def counter(name: str, documentation: str, *labels: str) -> LabelledValues:
    """Create a counter."""
    return LabelledValues(
        metrics_core.CounterMetricFamily, name, documentation, labels
    )


def gauge(name: str, documentation: str, *labels: str) -> LabelledValues:
    """Create a gauge."""
    return LabelledValues(
        metrics_core.GaugeMetricFamily, name, documentation, labels
    )
