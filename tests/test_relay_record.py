"""The checks of a record of relay nodes reject what breaks a promise."""

import pytest

from tests import noticerecord
from tests import relayrecord

_ANSWERED = {'status': 200, 'is_signed': True, 'is_whole': True}


def _record(runs=0, **fields):
    record = relayrecord.Record()
    call = record.new_call('n0', 'kept', is_idempotent=False)
    call.sent_ms = 100.0
    call.ended_ms = 150.0
    for name, value in fields.items():
        setattr(call, name, value)
    record.runs += [call.call_id] * runs
    return record


@pytest.mark.parametrize(
    ('runs', 'fields'),
    [
        (0, {}),
        (0, {'ended_ms': 350.0, 'status': 503}),
        (1, {'sent_ms': 0.0}),
        (1, {'ended_ms': 0.0}),
        (1, _ANSWERED),
        (2, {**_ANSWERED, 'is_idempotent': True}),
        (1, {'status': 502, 'is_signed': True}),
        (0, {'status': 502}),
    ],
)
def test_a_kept_promise_is_no_violation(runs, fields):
    assert _record(runs, **fields).violations() == []


@pytest.mark.parametrize(
    ('runs', 'fields', 'why'),
    [
        (1, {}, 'no answer after 50 ms, has run'),
        (0, {'ended_ms': 350.0}, 'no answer after 250 ms, has not run'),
        (1, {'status': 502}, 'broken off with 502'),
        (1, {'status': 504}, 'broken off with 504'),
        (1, {'status': 503}, 'refused with 503, has run'),
        (1, {'status': 429, 'is_signed': True}, 'refused with 429, has run'),
        (2, _ANSWERED, 'ran 2 times'),
        (0, _ANSWERED, 'success without'),
        (1, {**_ANSWERED, 'is_whole': False}, 'success without'),
        (1, {**_ANSWERED, 'is_signed': False}, 'success without'),
    ],
)
def test_a_broken_promise_is_a_violation(runs, fields, why):
    (line,) = _record(runs, **fields).violations()
    assert line.startswith(f'kept-1 to n0: {why}')


@pytest.mark.parametrize(
    ('node', 'sent_ms', 'count'),
    [('n0', 100.0, 0), ('', 100.0, 0), ('n1', 100.0, 1), ('n0', 5e3, 1)],
)
def test_only_a_recent_fault_of_its_own_node_excuses_a_lost_request(
    node, sent_ms, count
):
    record = _record(runs=1, sent_ms=sent_ms, ended_ms=sent_ms + 50.0)
    record.disruptions.append(relayrecord.Disruption(node, 90.0, 130.0))
    assert len(record.violations()) == count


@pytest.mark.parametrize(('ended_ms', 'count'), [(3_400.0, 1), (3_600.0, 0)])
def test_a_request_may_be_given_up_in_the_last_sixth_of_a_grace(
    ended_ms, count
):
    record = _record(runs=1, sent_ms=2_000.0, ended_ms=ended_ms, status=502)
    record.processes.append(
        relayrecord.Process('n1', 1_000.0, 3_800.0, 0, '{}')
    )
    assert len(record.violations()) == count


@pytest.mark.parametrize(('paused_ms', 'count'), [(1_500.0, 0), (-500.0, 1)])
def test_a_pause_during_a_stop_excuses_the_node_until_its_end(
    paused_ms, count
):
    record = _record(runs=1, sent_ms=3_500.0, ended_ms=3_900.0)
    record.processes.append(
        relayrecord.Process('n0', 1_000.0, 3_900.0, 0, '{}')
    )
    record.disruptions.append(
        relayrecord.Disruption('n0', paused_ms, paused_ms + 100.0)
    )
    assert len(record.violations()) == count


@pytest.mark.parametrize(
    ('asked_ms', 'code', 'output', 'count'),
    [
        (100.0, 0, '{}\n{}\n', 0),
        (100.0, -9, '', 1),
        (0.0, 0, '', 1),
        (100.0, 0, '{}\nTraceback (most recent call last):\n', 1),
    ],
    ids=['clean', 'killed', 'unasked', 'exception'],
)
def test_a_process_ends_after_sigterm_without_an_error(
    asked_ms, code, output, count
):
    record = relayrecord.Record()
    record.processes.append(
        relayrecord.Process('n0', asked_ms, 200.0, code, output)
    )
    assert len(record.violations()) == count


class TestNotices:
    def _arrivals(self, spell, count, start_ms, step_ms, node='n0'):
        for i in range(count):
            at_ms = start_ms + i * step_ms
            spell.arrive(noticerecord.Arrival(at_ms, node, at_ms))

    def test_a_machine_that_was_told_is_held_to_the_limit(self):
        spell = noticerecord.Spell('i-1', 4.0)
        spell.tell('n0', 0.0)
        self._arrivals(spell, 100, 0.0, 20.0)
        assert not list(spell.violations())
        self._arrivals(spell, 100, 4_000.0, 20.0, 'untold')
        assert not list(spell.violations())
        self._arrivals(spell, 100, 7_000.0, 20.0)
        assert len(list(spell.violations())) == 1

    def test_a_restart_excuses_a_machine_until_it_is_told_again(self):
        spell = noticerecord.Spell('i-1', 4.0)
        spell.tell('n0', 0.0)
        spell.forget('n0')
        self._arrivals(spell, 100, 4_000.0, 20.0)
        assert not list(spell.violations())
        spell.tell('n0', 6_000.0)
        self._arrivals(spell, 100, 7_000.0, 20.0)
        assert list(spell.violations())

    def test_a_machine_that_was_told_of_a_leave_sends_nothing_later(self):
        spell = noticerecord.Spell('i-1', None)
        spell.tell('n0', 0.0)
        self._arrivals(spell, 3, 100.0, 10.0)
        assert not list(spell.violations())
        self._arrivals(spell, 1, 2_001.0, 10.0)
        assert len(list(spell.violations())) == 1
