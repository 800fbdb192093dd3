"""Notices in the headers of a target's answers."""

import pytest

from adapter import headers as platform_headers
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile.relay import answerparser
from parsleystile.relay import noticememory
from parsleystile.relay import targetnotices
from tests import platformfleet

READER = targetnotices.notice_reader(platform_headers.HEADERS)


def _read(*values, name='Server-Limit'):
    headers = ['Content-Type', 'text/plain']
    for value in values:
        headers += [name, value]
    return READER.read(headers)


class TestReader:
    @pytest.mark.parametrize(
        ('text', 'per_s'),
        [('16.9', 16.9), ('54', 54.0), ('0', 0.0), (' 7. ', 7.0), ('.5', 0.5)],
    )
    def test_decimal_numbers_are_read(self, text, per_s):
        assert _read(text) == targetnotices.Reading(limit_per_s=per_s)

    @pytest.mark.parametrize(
        'text',
        [
            '',
            '-1',
            '+1',
            'nan',
            'inf',
            '1e400',
            '1e2',
            '10 rps',
            '1,5',
            '0x10',
            '\u0663',
            '.',
            '9' * 400,
        ],
    )
    def test_other_values_are_reported_and_bind_nothing(self, text):
        reading = _read(text)
        assert reading.limit_per_s is None
        assert reading.is_limit_unreadable
        (bad,) = reading.bad
        assert bad.fault is targetnotices.Fault.NOT_A_DECIMAL_NUMBER
        assert len(bad.value) <= 32

    def test_the_lowest_of_several_limits_keeps_all_of_them(self):
        assert not _read('9.5', '9.5').bad
        reading = _read('12', '9.5', 'x')
        assert reading.limit_per_s == 9.5
        assert not reading.is_limit_unreadable
        assert [bad.fault for bad in reading.bad] == [
            targetnotices.Fault.NOT_A_DECIMAL_NUMBER,
            targetnotices.Fault.AMBIGUOUS,
        ]

    def test_only_the_flag_says_that_a_target_leaves(self):
        assert _read('1', name='server-leaving').is_leaving
        assert not _read('0', name='Server-Leaving').is_leaving
        for text in ('', 'true', '2', '1, 1'):
            reading = _read(text, name='Server-Leaving')
            assert not reading.is_leaving
            (bad,) = reading.bad
            assert bad.fault is targetnotices.Fault.NOT_A_FLAG

    def test_answers_without_notices_say_nothing(self):
        assert _read() == targetnotices.Reading()

    def test_trailers_and_late_answers_name_nothing(self):
        parser = answerparser.AnswerParser(
            b'parsleystile-attempt-id',
            answerparser.AnswerLimits(),
            lambda: None,
        )
        parser.expect('c2', False)
        parser.feed(
            b'HTTP/1.1 200 OK\r\nParsleystile-Attempt-Id: c1\r\n'
            b'Server-Limit: 1\r\nContent-Length: 0\r\n\r\n'
            b'HTTP/1.1 200 OK\r\nParsleystile-Attempt-Id: c2\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'0\r\nServer-Limit: 2\r\n\r\n'
        )
        reading = READER.read(parser.answer.headers)
        assert reading == targetnotices.Reading()


class TestTracker:
    def test_a_limit_ends_with_an_answer_to_a_later_call(self):
        tracker = targetnotices.notice_tracker()
        assert tracker.answered(_read('9'), 0.0, 100.0)
        # Sent before the limit was named: it may have been answered before.
        assert not tracker.answered(_read(), 50.0, 200.0)
        assert tracker.notice.limit_per_s == 9.0
        assert tracker.answered(_read(), 150.0, 250.0)
        assert not tracker.notice

    def test_a_value_that_cannot_be_read_changes_nothing(self):
        tracker = targetnotices.notice_tracker()
        tracker.answered(_read('9'), 0.0, 100.0)
        assert not tracker.answered(_read('lots'), 150.0, 200.0)
        assert tracker.notice.limit_per_s == 9.0

    def test_a_restarted_guard_holds_the_lowest_limit_that_others_recall(self):
        tracker = targetnotices.notice_tracker()
        assert tracker.recalled(targetnotices.Notice(9.0), 10.0)
        assert not tracker.recalled(targetnotices.Notice(12.0), 20.0)
        assert tracker.recalled(targetnotices.Notice(7.0), 30.0)
        assert tracker.notice.limit_per_s == 7.0

    def test_an_answer_of_the_target_is_newer_than_what_others_recall(self):
        tracker = targetnotices.notice_tracker()
        tracker.recalled(targetnotices.Notice(9.0), 10.0)
        assert tracker.answered(_read(), 20.0, 30.0)
        assert not tracker.recalled(targetnotices.Notice(9.0), 40.0)
        assert tracker.recalled(targetnotices.Notice(9.0, True), 50.0)
        assert tracker.notice == targetnotices.Notice(None, True)

    def test_a_leaving_target_does_not_stay_after_all(self):
        tracker = targetnotices.notice_tracker()
        leaving = _read('1', name='Server-Leaving')
        assert tracker.answered(leaving, 0.0, 10.0)
        assert not tracker.answered(_read(), 20.0, 30.0)
        assert tracker.notice.is_leaving


class TestMemory:
    NODE = ids.NodeId('n1')

    def test_a_refusal_without_a_notice_ends_none(self):
        memory = noticememory.notice_memory()
        notice = ttypes.TargetNotice('i-1', 1, 9.0, False)
        memory.heard(self.NODE, notice, True)
        memory.heard(self.NODE, None, False)
        assert memory.of(self.NODE) == notice
        memory.heard(self.NODE, None, True)
        assert memory.of(self.NODE) is None


def test_bad_values_of_a_target_are_logged_and_its_answers_passed_on(tmp_path):
    notices = ['Server-Limit', 'many', 'Server-Leaving', 'soon']
    log_path = tmp_path / 'log'
    log_path.touch()

    async def body(fleet):
        (machine,) = fleet.machines
        machine.target.notices = notices
        for i in range(5):
            answer = await machine.call(call_id=f'c{i}')
            assert answer.status == 200
            start = answer.headers.index('Server-Limit')
            assert answer.headers[start : start + 4] == notices
        machine.node.recorder.log.flush()

    platformfleet.run_with_fleet(body, count=1, log_path=log_path)
    log = log_path.read_text()
    assert targetnotices.Fault.NOT_A_DECIMAL_NUMBER.value in log
    assert targetnotices.Fault.NOT_A_FLAG.value in log
