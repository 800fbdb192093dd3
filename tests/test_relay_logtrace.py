"""From the id of a failed request to its cause, by lines of nodes."""

import json

import pytest

from parsleystile import cli
from parsleystile.relay import logtrace


def _line(time_ms, node, event, prefix='', **fields):
    found = {'time_ms': time_ms, 'node': node, 'event': event, **fields}
    return prefix + json.dumps(found)


_STALE = _line(100, 'n1', 'store-reach', is_reached=False, at_version=7)
_POLICY = _line(90, 'n1', 'policy-in-force', version=3, source='n2')
_OTHERS = _line(95, 'n2', 'policy-in-force', version=4, source='store')
_FULL = _line(5_000, 'n3', 'guard-refused', call='other', queued=40)
_LONG_AGO = _line(900, 'n3', 'guard-refused', call='old', queued=1)
_LOST = _line(7_900, 'n1', 'node-reach', member='n3', is_reached=False)
_SPOILT = _line(7_950, 'n3', 'target-failed', call='c3', detail='cut')
_LINES = [
    _line(5_200, 'n1', 'call-refused', call='c1', reason='shed'),
    _line(6_000, 'n1', 'call-refused', call='c2', reason='key_rejected'),
    _line(8_000, 'n1', 'call-unknown', call='c3', reason='link_lost'),
    _line(8_100, 'n1', 'call-answered', call='c4', status=200, suppressed=9),
    *(_STALE, _POLICY, _OTHERS, _FULL, _LONG_AGO, _LOST, _SPOILT),
]


@pytest.mark.parametrize(
    ('call_id', 'own', 'causes'),
    [
        ('c1', 1, [_FULL]),
        ('c2', 1, [_POLICY, _STALE]),
        ('c3', 2, [_LOST]),
        ('c4', 1, []),
    ],
)
def test_each_kind_of_end_leads_to_its_cause(call_id, own, causes):
    found = logtrace.trace(call_id, _LINES)
    assert len(found.own) == own
    expected = [json.loads(line)['time_ms'] for line in causes]
    assert [entry.time_ms for entry in found.causes] == expected


def test_what_is_no_line_of_a_node_is_counted():
    junk = ['Traceback', '{"time_ms": "x"}', '{"event": 1}', '{', '', '[1]']
    found = logtrace.trace('c1', [*junk, *_LINES])
    assert found.unread == 5
    assert len(found.own) == 1


def test_a_request_that_no_line_names_says_what_was_left_out():
    assert '9 lines' in str(logtrace.trace('unknown', _LINES))


def test_lines_may_stand_behind_any_prefix(tmp_path, capsys):
    path = tmp_path / 'day.log'
    path.write_text('\n'.join('  1.5 n1 ' + line for line in _LINES))
    assert cli.main(['explain', 'c2', '--log', str(path)]) == 0
    told = capsys.readouterr().out
    assert 'key_rejected' in told
    assert 'at_version=7' in told


def test_a_file_that_is_not_there_is_named(tmp_path, capsys):
    path = str(tmp_path / 'none.log')
    assert cli.main(['explain', 'c2', '--log', path]) == 2
    assert path in capsys.readouterr().err
