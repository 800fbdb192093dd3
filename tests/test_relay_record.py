"""The checks of a record of relay nodes reject what breaks a promise."""

import pytest

from tests import relayrecord


def _record(sent_ms=100.0, ended_ms=150.0, runs=(), **fields):
    record = relayrecord.Record()
    call = record.new_call('n0', 'kept', is_idempotent=False)
    call.sent_ms = sent_ms
    call.ended_ms = ended_ms
    for name, value in fields.items():
        setattr(call, name, value)
    if runs:
        record.runs[call.call_id] = list(runs)
    return record


@pytest.mark.parametrize(
    ('fields', 'is_lost'),
    [
        ({'runs': [120.0]}, True),
        ({'ended_ms': 350.0}, True),
        ({}, False),
        ({'runs': [120.0], 'status': 502}, False),
        ({'runs': [120.0], 'sent_ms': None}, False),
        ({'runs': [120.0], 'ended_ms': None}, False),
    ],
    ids=['run', 'late', 'crossed', 'answered', 'not-sent', 'unfinished'],
)
def test_a_request_without_an_answer_is_lost(fields, is_lost):
    lines = relayrecord.find_lost(_record(**fields))
    assert len(lines) == is_lost


@pytest.mark.parametrize(
    ('node', 'is_lost'), [('n0', False), ('', False), ('n1', True)]
)
def test_only_a_fault_of_its_own_node_excuses_a_lost_request(node, is_lost):
    record = _record(runs=[120.0])
    record.disruptions.append(relayrecord.Disruption(node, 90.0, 130.0))
    assert len(relayrecord.find_lost(record)) == is_lost


def test_a_fault_excuses_nothing_long_after_its_end():
    record = _record(runs=[5_120.0], sent_ms=5_100.0, ended_ms=5_150.0)
    record.disruptions.append(relayrecord.Disruption('n0', 90.0, 130.0))
    assert len(relayrecord.find_lost(record)) == 1
