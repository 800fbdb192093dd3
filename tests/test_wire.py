import pytest

from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import wire
from tests import test_link

_MAX_BYTES = 10_000


def _decode(data):
    return wire.FrameDecoder(_MAX_BYTES).feed(data)


def test_frames_survive_any_cut():
    frames = wire.encode(wire.FrameKind.CALL, test_link.call(body=b'\x00\xff'))
    frames += wire.encode(wire.FrameKind.CANCEL, ttypes.Cancel(7))
    for cut in range(len(frames)):
        decoder = wire.FrameDecoder(_MAX_BYTES)
        found = decoder.feed(frames[:cut]) + decoder.feed(frames[cut:])
        assert [type(m) for m in found] == [ttypes.Call, ttypes.Cancel]
        assert found[0].body == b'\x00\xff'


def _call_with(**fields):
    bad = test_link.call()
    for name, value in fields.items():
        setattr(bad, name, value)
    return wire.encode(wire.FrameKind.CALL, bad)


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
def test_a_malformed_frame_is_a_typed_error(frame):
    with pytest.raises(errors.FrameError):
        _decode(frame)


def test_refusals_come_back_as_they_went():
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
