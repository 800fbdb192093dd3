"""Frames on a link between two nodes.

A frame is a 4-byte big-endian length of what follows, a 1-byte kind, and
one struct of ``gen.ttypes`` in the thrift binary protocol.
"""

import enum
import math
import operator
import struct

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from parsleystile import context
from parsleystile import errors
from parsleystile.gen import ttypes

_HEADER = struct.Struct('!IB')
_LENGTH_BYTES = 4
# Allowance in a frame for everything except the body.
FRAME_OVERHEAD_BYTES = 65_536
_MAX_HEADER_STRINGS = 512
_MAX_DETAIL_CHARS = 200

Message = (
    ttypes.Call | ttypes.Answer | ttypes.Cancel | ttypes.Hello | ttypes.Control
)


class FrameKind(enum.IntEnum):
    """Type of the message in a frame; the numbers are those on the wire."""

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


# Creating a protocol object costs more than one call of its accelerated
# codec, so both are reused. The encoder has no state; the state of the decoder
# is reset for each message.
_ENCODER = TBinaryProtocol.TBinaryProtocolAccelerated(
    TTransport.TMemoryBuffer(), fallback=False
)
_DECODER = TBinaryProtocol.TBinaryProtocolAccelerated(
    TTransport.TMemoryBuffer(),
    fallback=False,
    container_length_limit=_MAX_HEADER_STRINGS,
)
_STRUCT_SPECS = {t: [t, t.thrift_spec] for t in _TYPES.values()}


def encode(kind: FrameKind, message: Message) -> bytes:
    """Return the frame that carries ``message``."""
    payload = _ENCODER._fast_encode(message, _STRUCT_SPECS[type(message)])
    return _HEADER.pack(len(payload) + 1, kind) + payload


# Fields that a message may lack.
_OPTIONAL_FIELDS: dict[type, tuple[str, ...]] = {
    ttypes.Call: ('notice', 'max_wait_ms', 'has_root_rank'),
    ttypes.Load: ('wait_ms', 'notice', 'child_level', 'root_level'),
    ttypes.TargetNotice: ('limit_per_s',),
}


def _required_fields(message_type: type) -> tuple[str, ...]:
    optional = _OPTIONAL_FIELDS.get(message_type, ())
    return tuple(n for n in message_type.__slots__ if n not in optional)


# Reads all required fields of a message in one call. ``__class__`` is
# included because an attrgetter of a single name does not return a tuple.
_FIELD_GETTERS = {
    t: operator.attrgetter(*_required_fields(t), '__class__')
    for t in (*_TYPES.values(), ttypes.Load, ttypes.TargetNotice)
}
_OUTCOMES = frozenset(map(int, errors.Outcome))
_REASONS = frozenset(map(int, errors.Reason))


def _decode_payload(kind: int, payload: bytes) -> Message:
    message_type = _TYPES.get(kind)
    if message_type is None:
        raise errors.FrameError(f'unknown frame kind {kind}')
    # Created without defaults, so that _check finds fields that the frame
    # does not contain.
    message = message_type.__new__(message_type)
    for name in _OPTIONAL_FIELDS.get(message_type, ()):
        setattr(message, name, None)
    _DECODER.trans = TTransport.TMemoryBuffer(payload)
    _DECODER.string_length_limit = len(payload)
    # On malformed input the decoder raises errors of many types (type,
    # overflow, unicode, protocol), all of which mean a malformed frame.
    try:
        _DECODER._fast_decode(message, _DECODER, _STRUCT_SPECS[message_type])
    except Exception as exc:
        raise errors.FrameError(
            f'malformed {FrameKind(kind).name} frame: {type(exc).__name__}'
        ) from exc
    _check(message)
    return message


def _check(message: Message) -> None:
    _check_required_fields(message)
    if type(message) is ttypes.Call:
        _check_call(message)
    elif type(message) is ttypes.Answer:
        _check_answer(message)


def _check_required_fields(
    message: Message | ttypes.Load | ttypes.TargetNotice,
) -> None:
    kind = type(message)
    try:
        is_complete = None not in _FIELD_GETTERS[kind](message)
    except AttributeError:
        is_complete = False
    if not is_complete:
        names = _required_fields(kind)
        missing = [n for n in names if getattr(message, n, None) is None]
        raise errors.FrameError(
            f'{kind.__name__} frame without field {missing[0]}'
        )


def _check_call(call: ttypes.Call) -> None:
    _check_headers(call.headers)
    if call.notice is not None:
        _check_notice(call.notice)
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
    _check_required_fields(answer.load)
    for level in (answer.load.child_level, answer.load.root_level):
        if level is not None and not 0.0 <= level <= context.RANK_LIMIT:
            raise errors.FrameError(f'Answer frame with child level {level}')
    if answer.load.notice is not None:
        _check_notice(answer.load.notice)
    _check_headers(answer.headers)
    if answer.outcome not in _OUTCOMES:
        raise errors.FrameError(f'Answer frame with outcome {answer.outcome}')
    if answer.reason not in _REASONS:
        raise errors.FrameError(f'Answer frame with reason {answer.reason}')


def _check_notice(notice: ttypes.TargetNotice) -> None:
    _check_required_fields(notice)
    limit_per_s = notice.limit_per_s
    if limit_per_s is not None and not 0.0 <= limit_per_s < math.inf:
        raise errors.FrameError(f'notice with a limit of {limit_per_s}')


def _check_headers(headers: list[str]) -> None:
    if len(headers) % 2:
        raise errors.FrameError(f'header list of odd length {len(headers)}')


class FrameDecoder:
    """Splits a byte stream into messages.

    Args:
        max_frame_bytes: Longest frame accepted; a longer one is an error.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that ``data`` completes.

        Raises:
            errors.FrameError: The stream is invalid and must be closed.
        """
        # Most reads contain whole frames; only an incomplete one is buffered.
        if self._buffer:
            self._buffer += data
            consumed = self._split_frames(self._buffer, messages := [])
            del self._buffer[:consumed]
            return messages
        consumed = self._split_frames(data, messages := [])
        if consumed < len(data):
            self._buffer += data[consumed:]
        return messages

    def _split_frames(
        self, data: bytes | bytearray, messages: list[Message]
    ) -> int:
        """Append the complete messages of ``data``; return bytes consumed."""
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
