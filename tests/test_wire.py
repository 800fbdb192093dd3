import pytest

from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import wire
from tests import test_link

_MAX_BYTES = 10_000


def _decode(data):
    return wire.FrameDecoder(_MAX_BYTES).feed(data)


def test_frames_are_decoded_however_they_are_split():
    frames = wire.encode(wire.FrameKind.CALL, test_link.call(body=b'\x00\xff'))
    frames += wire.encode(wire.FrameKind.CANCEL, ttypes.Cancel(7))
    for split_at in range(len(frames)):
        decoder = wire.FrameDecoder(_MAX_BYTES)
        messages = decoder.feed(frames[:split_at]) + decoder.feed(
            frames[split_at:]
        )
        assert [type(m) for m in messages] == [ttypes.Call, ttypes.Cancel]
        assert messages[0].body == b'\x00\xff'


def _call_with(**fields):
    call = test_link.call()
    for name, value in fields.items():
        setattr(call, name, value)
    return wire.encode(wire.FrameKind.CALL, call)


@pytest.mark.parametrize(
    'frame',
    [
        b'\x00\x00\x00\x00\x02',
        b'\x7f\xff\xff\xff\x02',
        b'\x00\x00\x00\x02\x63\x00',
        b'\x00\x00\x00\x05\x02\xff\xff\xff\xff',
        _call_with(headers=['odd']),
        _call_with(importance=9),
        _call_with(draw=float('nan')),
        _call_with(draw=1.0),
        _call_with(depth=0),
        _call_with(retry_allowance=-1),
        _call_with(deadline_ms=-1),
        _call_with(path=None),
        _call_with(headers=['a'] * 2000),
    ],
)
def test_a_malformed_frame_raises_frame_error(frame):
    with pytest.raises(errors.FrameError):
        _decode(frame)


def test_refusals_are_unchanged_by_encoding_and_decoding():
    refusal = errors.Refusal(
        errors.Outcome.NOT_RUN, errors.Reason.SHED, 'full', 30, True
    )
    load = ttypes.Load(1, 2, 3, 1.5)
    frame = wire.encode(
        wire.FrameKind.ANSWER, wire.answer_from_refusal(4, refusal, 2, load)
    )
    (answer,) = _decode(frame)
    assert wire.refusal_from_answer(answer) == refusal
    assert answer.retry_unspent == 2


def _answer_with(load):
    refusal = errors.not_run(errors.Reason.SHED, 'full')
    answer = wire.answer_from_refusal(4, refusal, 2, load)
    return wire.encode(wire.FrameKind.ANSWER, answer)


def test_notices_are_carried_and_absent_ones_are_none():
    notice = ttypes.TargetNotice('i-1', 7, 2.5, False)
    load = ttypes.Load(1, 2, 3, 1.5, 40, notice)
    (answer,) = _decode(_answer_with(load))
    assert answer.load == load
    (answer,) = _decode(_answer_with(ttypes.Load(1, 2, 3, 1.5)))
    assert answer.load.notice is None
    assert answer.load.wait_ms is None
    (call,) = _decode(_call_with(notice=notice))
    assert call.notice == notice
    (call,) = _decode(_call_with())
    assert call.notice is None


def test_levels_of_further_calls_are_carried_and_checked():
    load = ttypes.Load(1, 2, 3, 3.0, child_level=2.4)
    (answer,) = _decode(_answer_with(load))
    assert answer.load == load
    (answer,) = _decode(_answer_with(ttypes.Load(1, 2, 3, 3.0)))
    assert answer.load.child_level is None
    for bad in (-0.1, 3.1, float('nan')):
        with pytest.raises(errors.FrameError):
            _decode(_answer_with(ttypes.Load(1, 2, 3, 3.0, child_level=bad)))


def test_service_times_are_carried_and_checked():
    load = ttypes.Load(1, 2, 3, 3.0, service_us=250_000)
    (answer,) = _decode(_answer_with(load))
    assert answer.load == load
    (answer,) = _decode(_answer_with(ttypes.Load(1, 2, 3, 3.0)))
    assert answer.load.service_us is None
    for bad in (0, -1):
        with pytest.raises(errors.FrameError):
            _decode(_answer_with(ttypes.Load(1, 2, 3, 3.0, service_us=bad)))


@pytest.mark.parametrize('limit_per_s', [-1.0, float('nan'), float('inf')])
def test_a_notice_of_a_peer_with_a_bad_limit_raises_frame_error(limit_per_s):
    notice = ttypes.TargetNotice('i-1', 7, limit_per_s, False)
    with pytest.raises(errors.FrameError):
        _decode(_answer_with(ttypes.Load(1, 2, 3, 1.5, 40, notice)))
    with pytest.raises(errors.FrameError):
        _decode(_call_with(notice=notice))


_LARGE = bytes(range(256)) * 1024


def _parts(message, kind=wire.FrameKind.CALL):
    return b''.join(wire.encode_parts(kind, message))


@pytest.mark.parametrize('encode', [_parts, None])
@pytest.mark.parametrize('piece_bytes', [65_536, 1_000_000])
def test_a_large_body_is_carried_between_other_frames(encode, piece_bytes):
    small = wire.encode(wire.FrameKind.CALL, test_link.call(body=b'x'))
    large = test_link.call(body=_LARGE)
    encoded = encode or (lambda m: wire.encode(wire.FrameKind.CALL, m))
    data = small + encoded(large) * 2 + small
    decoder = wire.FrameDecoder(10_000_000)
    found = []
    for i in range(0, len(data), piece_bytes):
        found += decoder.feed(data[i : i + piece_bytes])
    assert [m.body for m in found] == [b'x', _LARGE, _LARGE, b'x']
    for message in found[1:3]:
        message.body = _LARGE
        assert message == large
    assert large.body is _LARGE


def test_a_large_answer_is_carried():
    answer = test_link.answer(body=_LARGE)
    decoder = wire.FrameDecoder(10_000_000)
    data = _parts(answer, wire.FrameKind.ANSWER)
    found = decoder.feed(data[:9]) + decoder.feed(data[9:])
    assert found[0].body == _LARGE
    found[0].body = _LARGE
    assert found == [answer]


def test_a_large_frame_that_is_malformed_is_rejected():
    data = bytearray(_parts(test_link.call(body=_LARGE)))
    for position in range(5, 60):
        for value in (0, 11, 15, 255):
            changed = bytearray(data)
            changed[position] = value
            decoder = wire.FrameDecoder(10_000_000)
            try:
                decoder.feed(bytes(changed[:9]))
                messages = decoder.feed(bytes(changed[9:]))
            except errors.FrameError:
                continue
            assert all(m.body == _LARGE for m in messages)
