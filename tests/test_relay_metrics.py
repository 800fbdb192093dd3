"""Numbers of a node as its metrics page tells them."""

from parsleystile.relay import metrics


def test_a_duration_on_a_bound_is_within_it():
    times = metrics.Histogram('spent_seconds', 'Time', 'end', (0.1, 1.0))
    for spent_s in (0.05, 0.1, 0.5, 7.0):
        times.observe('answered', spent_s)
    text = metrics.MetricsPage(times).text().decode()
    assert 'spent_seconds_bucket{end="answered",le="0.1"} 2.0' in text
    assert 'spent_seconds_bucket{end="answered",le="1.0"} 3.0' in text
    assert 'spent_seconds_bucket{end="answered",le="+Inf"} 4.0' in text
    assert 'spent_seconds_count{end="answered"} 4.0' in text
    assert 'spent_seconds_sum{end="answered"} 7.65' in text


def test_counters_grow_and_gauges_are_set():
    counts = metrics.counter('calls', 'Calls', 'end', 'reason')
    counts.add(('refused', 'shed'))
    counts.add(('refused', 'shed'), 2)
    gauge = metrics.gauge('nodes', 'Nodes', 'name')
    gauge.values['known',] = 14
    text = metrics.MetricsPage(counts, gauge).text().decode()
    assert 'calls_total{end="refused",reason="shed"} 3.0' in text
    assert 'nodes{name="known"} 14.0' in text
