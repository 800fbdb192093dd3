"""Counters, gauges and histograms that are cheap to update.

Values are plain numbers, converted to metrics of the Prometheus client
library only when the page is requested; the library's own metrics take a lock
and a look-up for each update. A node whose page nobody requests doesn't load
the library.
"""

import bisect
import enum
import itertools
import typing

Labels = tuple[str, ...]


class Kind(enum.Enum):
    """How the values of a metric behave."""

    COUNTER = 'counter'
    GAUGE = 'gauge'


class LabelledValues:
    """A counter or gauge with labels.

    Attributes:
        labels: Names of the labels.
        values: Value by label values.
    """

    def __init__(
        self, kind: Kind, name: str, documentation: str, labels: Labels
    ) -> None:
        self.kind = kind
        self.name = name
        self.documentation = documentation
        self.labels = labels
        self.values: dict[Labels, float] = {}

    def add(self, labels: Labels, amount: float = 1) -> None:
        """Add to the value of some labels."""
        self.values[labels] = self.values.get(labels, 0) + amount


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
        self.name = name
        self.documentation = documentation
        self.label = label
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

    def cumulative(
        self,
    ) -> typing.Iterator[tuple[str, list[tuple[str, int]], float]]:
        """Yield each label with its cumulative buckets and its sum.

        A bucket is its upper bound in seconds, as text, and its count.
        """
        names = [*map(str, self._bounds_s), '+Inf']
        for label, buckets in self._buckets.items():
            counts = itertools.accumulate(buckets)
            pairs = list(zip(names, counts, strict=True))
            yield label, pairs, self._sums_s[label]


class MetricsPage:
    """The metrics of a node in the Prometheus text format."""

    def __init__(self, *parts: LabelledValues | Histogram) -> None:
        self._parts = parts

    def text(self) -> bytes:
        """Return the page."""
        # Loads the library.
        from parsleystile.relay import metricspage

        return metricspage.text(self._parts)


def counter(name: str, documentation: str, *labels: str) -> LabelledValues:
    """Create a counter."""
    return LabelledValues(Kind.COUNTER, name, documentation, labels)


def gauge(name: str, documentation: str, *labels: str) -> LabelledValues:
    """Create a gauge."""
    return LabelledValues(Kind.GAUGE, name, documentation, labels)
