"""Tracing a failed request to its cause in the log lines of nodes."""

import json

import pytest

from parsleystile import cli
from parsleystile.relay import logtrace


def _line(time_ms, node, event, prefix='', **fields):
    result = {'time_ms': time_ms, 'node': node, 'event': event, **fields}
    return prefix + json.dumps(result)


_STORE_LOST = _line(100, 'n1', 'store-reach', is_reached=False, at_version=7)
_POLICY = _line(90, 'n1', 'policy-in-force', version=3, source='n2')
_OTHER_NODE = _line(95, 'n2', 'policy-in-force', version=4, source='store')
_QUEUE_FULL = _line(5_000, 'n3', 'guard-refused', call='other', queued=40)
_TOO_OLD = _line(900, 'n3', 'guard-refused', call='old', queued=1)
_NODE_LOST = _line(7_900, 'n1', 'node-reach', member='n3', is_reached=False)
_TARGET_FAILED = _line(7_950, 'n3', 'target-failed', call='c3', detail='cut')
_LINES = [
    _line(5_200, 'n1', 'call-refused', call='c1', reason='shed'),
    _line(6_000, 'n1', 'call-refused', call='c2', reason='key_rejected'),
    _line(8_000, 'n1', 'call-unknown', call='c3', reason='link_lost'),
    _line(8_100, 'n1', 'call-answered', call='c4', status=200, suppressed=9),
    *(
        _STORE_LOST,
        _POLICY,
        _OTHER_NODE,
        _QUEUE_FULL,
        _TOO_OLD,
        _NODE_LOST,
        _TARGET_FAILED,
    ),
]


@pytest.mark.parametrize(
    ('call_id', 'own', 'causes'),
    [
        ('c1', 1, [_QUEUE_FULL]),
        ('c2', 1, [_POLICY, _STORE_LOST]),
        ('c3', 2, [_NODE_LOST]),
        ('c4', 1, []),
    ],
)
def test_each_outcome_is_traced_to_its_cause(call_id, own, causes):
    result = logtrace.trace(call_id, _LINES)
    assert len(result.request_entries) == own
    expected = [json.loads(line)['time_ms'] for line in causes]
    assert [entry.time_ms for entry in result.causes] == expected


def test_lines_that_are_not_log_lines_are_counted():
    other_lines = [
        'Traceback',
        '{"time_ms": "x"}',
        '{"event": 1}',
        '{',
        '',
        '[1]',
    ]
    result = logtrace.trace('c1', [*other_lines, *_LINES])
    assert result.unparsed == 5
    assert len(result.request_entries) == 1


def test_an_unknown_request_reports_suppressed_lines():
    assert '9 lines' in str(logtrace.trace('unknown', _LINES))


def test_lines_may_have_any_prefix(tmp_path, capsys):
    path = tmp_path / 'day.log'
    path.write_text('\n'.join('  1.5 n1 ' + line for line in _LINES))
    assert cli.main(['explain', 'c2', '--log', str(path)]) == 0
    output = capsys.readouterr().out
    assert 'key_rejected' in output
    assert 'at_version=7' in output


def test_a_missing_file_is_named(tmp_path, capsys):
    path = str(tmp_path / 'none.log')
    assert cli.main(['explain', 'c2', '--log', path]) == 2
    assert path in capsys.readouterr().err
