"""Frames on a link between two nodes.

A frame is a 4-byte big-endian length of what follows, a 1-byte kind, and
one struct of ``gen.ttypes`` in the thrift binary protocol.
"""

import enum
import operator
import struct

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from parsleystile import context
from parsleystile import errors
from parsleystile.gen import ttypes

_HEADER = struct.Struct('!IB')
_LENGTH_BYTES = 4
# Room in a frame for everything but the body.
FRAME_OVERHEAD_BYTES = 65_536
_MAX_HEADER_STRINGS = 512
_MAX_DETAIL_CHARS = 200

Message = (
    ttypes.Call | ttypes.Answer | ttypes.Cancel | ttypes.Hello | ttypes.Control
)


class FrameKind(enum.IntEnum):
    """What a frame carries; the numbers are those on the wire."""

    HELLO = 1
    CALL = 2
    ANSWER = 3
    CANCEL = 4
    CONTROL = 5


_TYPES: dict[int, type[Message]] = {
    FrameKind.HELLO: ttypes.Hello,
    FrameKind.CALL: ttypes.Call,
    FrameKind.ANSWER: ttypes.Answer,
    FrameKind.CANCEL: ttypes.Cancel,
    FrameKind.CONTROL: ttypes.Control,
}


# Making a protocol object costs more than using its accelerated coder; the
# encoder has no state, and the decoder's is set anew for each message.
_ENCODER = TBinaryProtocol.TBinaryProtocolAccelerated(
    TTransport.TMemoryBuffer(), fallback=False
)
_DECODER = TBinaryProtocol.TBinaryProtocolAccelerated(
    TTransport.TMemoryBuffer(),
    fallback=False,
    container_length_limit=_MAX_HEADER_STRINGS,
)
_SPECS = {t: [t, t.thrift_spec] for t in _TYPES.values()}


def encode(kind: FrameKind, message: Message) -> bytes:
    """Return the frame that carries ``message``."""
    payload = _ENCODER._fast_encode(message, _SPECS[type(message)])
    return _HEADER.pack(len(payload) + 1, kind) + payload


# Reads all fields of a message at once. The type is read as well, since a
# getter of one field returns no tuple.
_FIELDS = {
    t: operator.attrgetter(*t.__slots__, '__class__')
    for t in (*_TYPES.values(), ttypes.Load)
}
_OUTCOMES = frozenset(map(int, errors.Outcome))
_REASONS = frozenset(map(int, errors.Reason))


def _decode_payload(kind: int, payload: bytes) -> Message:
    message_type = _TYPES.get(kind)
    if message_type is None:
        raise errors.FrameError(f'unknown frame kind {kind}')
    # Without its defaults: a field that the frame lacks is missed below.
    message = message_type.__new__(message_type)
    _DECODER.trans = TTransport.TMemoryBuffer(payload)
    _DECODER.string_length_limit = len(payload)
    # The decoder raises whatever its input makes it raise: type, overflow,
    # unicode and protocol errors alike mean a bad frame.
    try:
        _DECODER._fast_decode(message, _DECODER, _SPECS[message_type])
    except Exception as exc:
        raise errors.FrameError(
            f'malformed {FrameKind(kind).name} frame: {type(exc).__name__}'
        ) from exc
    _check(message)
    return message


def _check(message: Message) -> None:
    _check_fields(message)
    if type(message) is ttypes.Call:
        _check_call(message)
    elif type(message) is ttypes.Answer:
        _check_answer(message)


def _check_fields(message: Message | ttypes.Load) -> None:
    kind = type(message)
    try:
        is_whole = None not in _FIELDS[kind](message)
    except AttributeError:
        is_whole = False
    if not is_whole:
        names = kind.__slots__
        lacks = [n for n in names if getattr(message, n, None) is None]
        raise errors.FrameError(f'{kind.__name__} frame without {lacks[0]}')


def _check_call(call: ttypes.Call) -> None:
    _check_headers(call.headers)
    if not 0 <= call.importance < len(context.Importance):
        raise errors.FrameError(
            f'Call frame with importance {call.importance}'
        )
    if not 0.0 <= call.draw < 1.0:
        raise errors.FrameError(f'Call frame with draw {call.draw}')
    if call.depth < 1 or call.retry_allowance < 0 or call.deadline_ms < 0:
        raise errors.FrameError(
            f'Call frame with depth {call.depth},'
            f' retry allowance {call.retry_allowance},'
            f' deadline {call.deadline_ms} ms'
        )


def _check_answer(answer: ttypes.Answer) -> None:
    _check_fields(answer.load)
    _check_headers(answer.headers)
    if answer.outcome not in _OUTCOMES:
        raise errors.FrameError(f'Answer frame with outcome {answer.outcome}')
    if answer.reason not in _REASONS:
        raise errors.FrameError(f'Answer frame with reason {answer.reason}')


def _check_headers(headers: list[str]) -> None:
    if len(headers) % 2:
        raise errors.FrameError(f'header list of odd length {len(headers)}')


class FrameDecoder:
    """Cuts a byte stream into messages.

    Args:
        max_frame_bytes: A longer frame is an error.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that ``data`` completes.

        Raises:
            errors.FrameError: The stream is broken and must be closed.
        """
        # Most reads bring whole frames; only what is cut off is kept.
        if self._buffer:
            self._buffer += data
            used = self._cut(self._buffer, messages := [])
            del self._buffer[:used]
            return messages
        used = self._cut(data, messages := [])
        if used < len(data):
            self._buffer += data[used:]
        return messages

    def _cut(self, data: bytes | bytearray, messages: list[Message]) -> int:
        """Append the whole messages of ``data``; return their bytes."""
        start = 0
        size = len(data)
        while size - start > _LENGTH_BYTES:
            length, kind = _HEADER.unpack_from(data, start)
            if not 0 < length <= self._max_frame_bytes:
                raise errors.FrameError(f'frame of {length} bytes')
            end = start + _LENGTH_BYTES + length
            if size < end:
                break
            payload = bytes(data[start + _HEADER.size : end])
            messages.append(_decode_payload(kind, payload))
            start = end
        return start


def answer_from_refusal(
    call_id: int,
    refusal: errors.Refusal,
    retry_unspent: int,
    load: ttypes.Load,
) -> ttypes.Answer:
    """Create the answer frame that carries a refusal."""
    return ttypes.Answer(
        call_id=call_id,
        outcome=refusal.outcome,
        status=0,
        headers=[],
        body=b'',
        reason=refusal.reason,
        detail=refusal.detail[:_MAX_DETAIL_CHARS],
        retry_after_ms=refusal.retry_after_ms,
        is_final=refusal.final,
        retry_unspent=retry_unspent,
        load=load,
    )


def refusal_from_answer(answer: ttypes.Answer) -> errors.Refusal:
    """Return the refusal that an answer frame carries."""
    return errors.Refusal(
        errors.Outcome(answer.outcome),
        errors.Reason(answer.reason),
        answer.detail,
        answer.retry_after_ms,
        answer.is_final,
    )
