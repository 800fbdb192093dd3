"""Relay nodes as processes with overlapping faults."""

from tests import relaysoak


def test_a_seed_determines_the_faults():
    faults = relaysoak.draw_faults(7, 20.0, 5)
    assert faults == relaysoak.draw_faults(7, 20.0, 5)
    assert faults != relaysoak.draw_faults(8, 20.0, 5)


def test_promises_hold_while_faults_overlap():
    record = relaysoak.run(seed=1, seconds=10.0, count=4)
    statuses = relaysoak.summary(record)['statuses']
    assert statuses[200] > 500
    assert record.violations() == []
