import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from parsleystile import clock
from parsleystile import errors
from parsleystile import events
from parsleystile import history


def _withdrawn(key_id):
    return events.KeyWithdrawn(key_id=key_id)


@pytest.mark.parametrize('event_type', events.ALL)
@hypothesis.settings(max_examples=10, derandomize=True, deadline=None)
@hypothesis.given(data=st.data())
def test_every_event_round_trips_as_a_line(event_type, data):
    # JSON cannot represent infinity or NaN, and no event contains them.
    finite = st.floats(allow_nan=False, allow_infinity=False)
    floats = [
        f.name for f in msgspec.structs.fields(event_type) if f.type is float
    ]
    event = data.draw(st.builds(event_type, **dict.fromkeys(floats, finite)))
    recorder = history.memory_recorder('n1', clock.manual_clock())
    recorder.record(event)
    line = msgspec.json.encode(recorder.entries[0])
    assert msgspec.json.decode(line, type=events.Entry).event == event


def test_a_file_contains_the_recorded_events(tmp_path):
    time = clock.manual_clock(10.0)
    recorder = history.file_recorder('n1', time, tmp_path / 'a')
    recorder.record(_withdrawn('k1'))
    time.advance(5)
    recorder.record(events.DomainOut(failure_domain='d1'))
    recorder.close()
    assert history.read([tmp_path / 'a']) == [
        events.Occurrence(10.0, 'n1', _withdrawn('k1')),
        events.Occurrence(15.0, 'n1', events.DomainOut(failure_domain='d1')),
    ]


def test_an_unbuffered_recorder_needs_no_close(tmp_path):
    time = clock.manual_clock()
    path = tmp_path / 'a'
    recorder = history.file_recorder('n1', time, path, buffer_entries=1)
    recorder.record(_withdrawn('k1'))
    assert len(history.read_entries(path)) == 1


def test_a_truncated_line_is_skipped_and_an_invalid_one_is_an_error(tmp_path):
    path = tmp_path / 'a'
    recorder = history.file_recorder('n1', clock.manual_clock(), path)
    recorder.record(_withdrawn('k1'))
    recorder.close()
    path.write_bytes(path.read_bytes() + b'{"node_id":"n1","seq')
    assert len(history.read_entries(path)) == 1
    path.write_bytes(path.read_bytes() + b'\n')
    with pytest.raises(errors.HistoryError, match=':2: '):
        history.read_entries(path)


def test_records_merge_by_time_and_keep_their_order():
    first_clock, second_clock = (
        clock.manual_clock(0.0),
        clock.manual_clock(1.0),
    )
    first = history.memory_recorder('n1', first_clock)
    second = history.memory_recorder('n2', second_clock)
    first.record(_withdrawn('a'))
    first.record(_withdrawn('b'))
    second.record(_withdrawn('c'))
    first_clock.advance(2)
    first.record(_withdrawn('d'))
    merged = history.merge([second.entries, first.entries])
    assert [o.event.key_id for o in merged] == ['a', 'b', 'c', 'd']


def test_the_wall_axis_uses_the_wall_clock():
    entries = [
        events.Entry(
            node_id='n',
            sequence=1,
            wall_ms=wall_ms,
            now_ms=now_ms,
            event=_withdrawn(str(wall_ms)),
        )
        for wall_ms, now_ms in ((2.0, 1.0), (1.0, 2.0))
    ]
    merged = history.merge([entries], history.TimeAxis.WALL)
    assert [o.at_ms for o in merged] == [1.0, 2.0]


def test_full_recorders_drop_and_count(tmp_path):
    time = clock.manual_clock()
    memory = history.memory_recorder('n', time, max_entries=2)
    for key_id in 'abc':
        memory.record(_withdrawn(key_id))
    assert [e.event.key_id for e in memory.entries] == ['b', 'c']
    assert memory.dropped == 1
    line = len(msgspec.json.encode(memory.entries[0])) + 1
    file = history.file_recorder('n', time, tmp_path / 'a', 1, line + 1)
    for key_id in 'abc':
        file.record(_withdrawn(key_id))
    file.close()
    assert file.dropped == 2
    assert len(history.read_entries(tmp_path / 'a')) == 1
