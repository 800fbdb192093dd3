"""Frames on a link between two nodes.

A frame is a 4-byte big-endian length of what follows, a 1-byte kind, and
one struct of ``gen.ttypes`` in the thrift binary protocol.
"""

import enum
import math
import operator
import struct

from thrift.protocol import TBinaryProtocol
from thrift import Thrift
from thrift.transport import TTransport

from parsleystile import _framebody
from parsleystile import context
from parsleystile import errors
from parsleystile.gen import ttypes

_HEADER = struct.Struct('!IB')
_LENGTH_BYTES = 4
# Allowance in a frame for everything except the body.
FRAME_OVERHEAD_BYTES = 65_536
# Names and values of a head of 64 KiB in the shortest lines; its bytes are
# limited where callers arrive.
_MAX_HEADER_STRINGS = 32_768
_MAX_DETAIL_CHARS = 200
# Type, id and length of a field of bytes, and the end of a struct.
_FIELD_HEADER = struct.Struct('!BhI')
_STOP = b'\0'
_BODY_FIELDS = {ttypes.Call: 16, ttypes.Answer: 5}
# The body of a longer frame is not copied.
_LARGE_FRAME_BYTES = 131_072

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


def encode_parts(kind: FrameKind, message: Message) -> list[bytes]:
    """Return the frame of a call or an answer in parts.

    Its body is the last field and one part, as it is: neither the codec nor
    the frame copies it.
    """
    body, message.body = message.body, None
    try:
        payload = _ENCODER._fast_encode(message, _STRUCT_SPECS[type(message)])
    finally:
        message.body = body
    size = len(payload) + _FIELD_HEADER.size + len(body)
    return [
        _HEADER.pack(size + 1, kind)
        + payload[: -len(_STOP)]
        + _FIELD_HEADER.pack(
            Thrift.TType.STRING, _BODY_FIELDS[type(message)], len(body)
        ),
        body,
        _STOP,
    ]


# Fields that a message may lack.
_OPTIONAL_FIELDS: dict[type, tuple[str, ...]] = {
    ttypes.Call: ('notice', 'max_wait_ms'),
    ttypes.Load: ('wait_ms', 'notice', 'child_level', 'service_us'),
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
    child_level = answer.load.child_level
    if (
        child_level is not None
        and not 0.0 <= child_level <= context.RANK_LIMIT
    ):
        raise errors.FrameError(f'Answer frame with child level {child_level}')
    service_us = answer.load.service_us
    if service_us is not None and service_us <= 0:
        raise errors.FrameError(f'Answer frame with service time {service_us}')
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
            message = self._take_large()
            if message is not None:
                rest = bytes(self._buffer)
                self._buffer.clear()
                return [message, *self.feed(rest)]
            consumed = self._split_frames(self._buffer, messages := [])
            del self._buffer[:consumed]
            return messages
        consumed = self._split_frames(data, messages := [])
        if consumed < len(data):
            self._buffer += data[consumed:]
        return messages

    def _take_large(self) -> Message | None:
        """Take a large frame off the buffer; None if there is none.

        The buffer becomes the body of its message.
        """
        buffer = self._buffer
        if len(buffer) < _LARGE_FRAME_BYTES:
            return None
        length, kind = _HEADER.unpack_from(buffer)
        end = _LENGTH_BYTES + length
        body_field = _BODY_FIELDS.get(_TYPES.get(kind))
        if body_field is None or not _LARGE_FRAME_BYTES < end <= len(buffer):
            return None
        start = _HEADER.size
        at = _framebody.find_last_body(buffer, start, end, body_field)
        if at is None or end > self._max_frame_bytes + _LENGTH_BYTES:
            return None
        self._buffer = buffer[end:]
        length_at = at - _LENGTH_BYTES
        head = bytes(buffer[start:length_at])
        # Neither end of a buffer costs a copy.
        del buffer[end - len(_STOP) :]
        del buffer[:at]
        message = _decode_payload(kind, head + bytes(_LENGTH_BYTES) + _STOP)
        message.body = buffer
        return message

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
            # A slice of a buffer would be a second copy.
            with memoryview(data) as view:
                payload = bytes(view[start + _HEADER.size : end])
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
