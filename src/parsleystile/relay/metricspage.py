"""Conversion of a node's values to the page of the Prometheus library."""

import typing

import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry

from parsleystile.relay import metrics

_Parts = typing.Iterable[metrics.LabelledValues | metrics.Histogram]


class _Page(registry.Collector):
    """Gives the library the metrics of one page."""

    def __init__(self, parts: _Parts) -> None:
        self._parts = parts

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        """Yield the metrics; called by the library."""
        for part in self._parts:
            match part:
                case metrics.LabelledValues():
                    yield _labelled(part)
                case metrics.Histogram():
                    yield _histogram(part)


def _labelled(part: metrics.LabelledValues) -> metrics_core.Metric:
    family: type[metrics_core.Metric]
    match part.kind:
        case metrics.Kind.COUNTER:
            family = metrics_core.CounterMetricFamily
        case metrics.Kind.GAUGE:
            family = metrics_core.GaugeMetricFamily
    metric = family(part.name, part.documentation, labels=part.labels)
    for labels, value in part.values.items():
        metric.add_metric(labels, value)
    return metric


def _histogram(part: metrics.Histogram) -> metrics_core.Metric:
    metric = metrics_core.HistogramMetricFamily(
        part.name, part.documentation, labels=(part.label,)
    )
    for label, buckets, sum_s in part.cumulative():
        metric.add_metric((label,), buckets, sum_s)
    return metric


def text(parts: _Parts) -> bytes:
    """Return the page of some values in the Prometheus text format."""
    page = prometheus_client.CollectorRegistry()
    page.register(_Page(parts))
    return prometheus_client.generate_latest(page)
