import dataclasses
import json
import logging as std_logging
import pathlib
import re

import pytest

from parsleystile import clock
from parsleystile import errors
from parsleystile import logevents
from parsleystile import logs

_FORBIDDEN_FIELDS = {'key', 'api_key', 'secret', 'token', 'digest'}


class _Lines(std_logging.Handler):
    def __init__(self):
        super().__init__()
        self.setFormatter(logs.JsonFormatter('node-1'))
        self.lines = []

    def emit(self, record):
        self.lines.append(json.loads(self.format(record)))


@pytest.fixture
def lines():
    handler = _Lines()
    logger = std_logging.getLogger('absl')
    before = logger.level
    logger.setLevel(std_logging.INFO)
    logger.addHandler(handler)
    yield handler.lines
    logger.removeHandler(handler)
    logger.setLevel(before)


def _refused(detail=''):
    return logevents.CallRefused(
        root_id='r1',
        organisation='households',
        service='stock',
        outcome=errors.Outcome.NOT_RUN,
        reason=errors.Reason.RATE_LIMITED,
        why=detail,
        evidence='rate_per_s=5.0',
    )


def test_an_event_is_one_line_with_its_fields(lines):
    logs.event_log(clock.manual_clock()).write(_refused('over its rate'))
    (line,) = lines
    del line['time_ms']
    assert line == {
        'level': 'warning',
        'node': 'node-1',
        'event': 'call-refused',
        'why': 'over its rate',
        'evidence': 'rate_per_s=5.0',
        'root_id': 'r1',
        'organisation': 'households',
        'service': 'stock',
        'outcome': 'not-run',
        'reason': 'rate-limited',
    }


def test_lines_of_one_kind_are_bounded_and_the_rest_counted(lines):
    manual = clock.manual_clock()
    log = logs.event_log(manual)
    written = sum(log.write(_refused()) for _ in range(1000))
    assert written == len(lines) == int(logs.BURST_LINES)
    assert log.write(logevents.NodeDraining(calls_in_flight=3))
    manual.advance(1000 / logs.LINES_PER_S)
    assert log.write(_refused())
    assert lines[-1]['suppressed'] == 1000 - logs.BURST_LINES


@pytest.mark.parametrize(
    'text',
    [
        'X-Api-Key: s3cret',
        "{'x-operator-key': 's3cret'}",
        'Authorization=s3cret',
        'x-parsleystile-context: s3cret',
    ],
)
def test_header_secrets_are_removed(lines, text):
    logs.event_log(clock.manual_clock()).write(_refused(text))
    assert 's3cret' not in json.dumps(lines)
    assert '[removed]' in lines[0]['why']


def test_text_is_bounded_and_stays_on_one_line():
    formatter = logs.JsonFormatter('n')
    record = std_logging.makeLogRecord({'msg': 'a\nb' * 1000})
    line = formatter.format(record)
    assert '\n' not in line
    assert len(json.loads(line)['message']) == logs.MAX_TEXT_CHARS


def test_a_traceback_stays_on_the_line_of_its_message():
    try:
        raise ValueError('odd')
    except ValueError as exc:
        record = std_logging.makeLogRecord(
            {'msg': 'm', 'exc_info': (ValueError, exc, exc.__traceback__)}
        )
    line = json.loads(logs.JsonFormatter('n').format(record))
    assert line['trace'].endswith('ValueError: odd')


def test_no_event_can_carry_a_secret():
    for cls in logevents.Event.__subclasses__():
        names = {field.name for field in dataclasses.fields(cls)}
        assert not names & _FORBIDDEN_FIELDS, cls


def test_every_event_and_field_is_on_the_page():
    page = pathlib.Path(__file__).parent.parent / 'docs' / 'LOGS.md'
    rows = dict(
        re.findall(r'^\| `([^`]+)` \| (.*?) \|', page.read_text(), re.M)
    )
    common = {f.name for f in dataclasses.fields(logevents.Event)}
    assert common <= set(rows)
    # Data classes with slots are made twice; the second is the one in use.
    for cls in {
        getattr(logevents, c.__name__)
        for c in logevents.Event.__subclasses__()
    }:
        own = {f.name for f in dataclasses.fields(cls)} - common
        assert (
            set(re.findall('`([^`]+)`', rows[logs.event_type_name(cls)]))
            == own
        )
