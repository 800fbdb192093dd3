"""Counters and histograms that cost little to add to.

They are plain numbers; only when the page is asked for are they turned into
metrics of the client library, which locks and looks up each one.
"""

import bisect
import typing

import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry

Labels = tuple[str, ...]


class LabelledValues:
    """Numbers by labels, of one name.

    Attributes:
        values: By label values; add to it.
    """

    def __init__(
        self,
        family: type[metrics_core.Metric],
        name: str,
        text: str,
        labels: Labels,
    ) -> None:
        self._family = family
        self._name = name
        self._text = text
        self._labels = labels
        self.values: dict[Labels, float] = {}

    def add(self, labels: Labels, amount: float = 1) -> None:
        """Count something."""
        self.values[labels] = self.values.get(labels, 0) + amount

    def collect(self) -> metrics_core.Metric:
        """Return all as the library's metric."""
        found = self._family(self._name, self._text, labels=self._labels)
        for labels, value in self.values.items():
            found.add_metric(labels, value)
        return found


class Histogram:
    """Durations by one label, in buckets.

    Args:
        bounds_s: Upper bounds of the buckets, ascending.
    """

    def __init__(
        self, name: str, text: str, label: str, bounds_s: tuple[float, ...]
    ) -> None:
        self._name = name
        self._text = text
        self._label = label
        self._bounds_s = bounds_s
        self._buckets: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}

    def observe(self, label: str, spent_s: float) -> None:
        """Take in one duration."""
        buckets = self._buckets.get(label)
        if buckets is None:
            buckets = self._buckets[label] = [0] * (len(self._bounds_s) + 1)
            self._sums_s[label] = 0.0
        buckets[bisect.bisect_left(self._bounds_s, spent_s)] += 1
        self._sums_s[label] += spent_s

    def collect(self) -> metrics_core.Metric:
        """Return all as the library's metric."""
        found = metrics_core.HistogramMetricFamily(
            self._name, self._text, labels=(self._label,)
        )
        names = [*map(str, self._bounds_s), '+Inf']
        for label, buckets in self._buckets.items():
            total = 0
            pairs: list[tuple[str, int]] = []
            for name, count in zip(names, buckets, strict=True):
                total += count
                pairs.append((name, total))
            found.add_metric((label,), pairs, self._sums_s[label])
        return found


class MetricsPage(registry.Collector):
    """All numbers of a node as text."""

    def __init__(self, *parts: LabelledValues | Histogram) -> None:
        self._parts = parts
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)

    def collect(self) -> typing.Iterable[metrics_core.Metric]:
        """Return the metrics; the library calls this."""
        return [part.collect() for part in self._parts]

    def text(self) -> bytes:
        """Return the page."""
        return prometheus_client.generate_latest(self._registry)


def counter(name: str, text: str, *labels: str) -> LabelledValues:
    """Create a counter that only grows."""
    return LabelledValues(metrics_core.CounterMetricFamily, name, text, labels)


def gauge(name: str, text: str, *labels: str) -> LabelledValues:
    """Create a figure that is set anew each time."""
    return LabelledValues(metrics_core.GaugeMetricFamily, name, text, labels)
