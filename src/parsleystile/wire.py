"""Frames on a link between two nodes.

A frame is a 4-byte big-endian length of what follows, a 1-byte kind, and
one struct of ``gen.ttypes`` in the thrift binary protocol.
"""

import enum
import struct
import typing

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


def _decode_payload(kind: int, payload: bytes) -> Message:
    message_type = _TYPES.get(kind)
    if message_type is None:
        raise errors.FrameError(f'unknown frame kind {kind}')
    message = message_type()
    _DECODER.trans = TTransport.TMemoryBuffer(payload)
    _DECODER.string_length_limit = len(payload)
    # The generated reader raises whatever its input makes it raise: type,
    # overflow, unicode and protocol errors alike mean a bad frame.
    try:
        message.read(_DECODER)
    except Exception as exc:
        raise errors.FrameError(
            f'malformed {FrameKind(kind).name} frame: {type(exc).__name__}'
        ) from exc
    _check(message)
    return message


def _check(message: Message) -> None:
    match message:
        case ttypes.Call():
            _check_call(message)
        case ttypes.Answer():
            _check_answer(message)
        case _:
            _check_fields(message, message.__slots__)


def _check_fields(message: Message, names: typing.Iterable[str]) -> None:
    for name in names:
        if getattr(message, name) is None:
            raise errors.FrameError(
                f'{type(message).__name__} frame without {name}'
            )


def _check_call(call: ttypes.Call) -> None:
    _check_fields(call, call.__slots__)
    _check_headers(call.headers)
    if not 0 <= call.importance < len(context.Importance):
        raise errors.FrameError(
            f'Call frame with importance {call.importance}'
        )
    if not 0.0 <= call.draw < 1.0:
        raise errors.FrameError(f'Call frame with draw {call.draw}')
    if min(call.depth - 1, call.retry_allowance, call.deadline_ms) < 0:
        raise errors.FrameError(
            f'Call frame with depth {call.depth},'
            f' retry allowance {call.retry_allowance},'
            f' deadline {call.deadline_ms} ms'
        )


def _check_answer(answer: ttypes.Answer) -> None:
    _check_fields(answer, answer.__slots__)
    _check_fields(answer.load, answer.load.__slots__)
    _check_headers(answer.headers)
    try:
        errors.Outcome(answer.outcome)
        errors.Reason(answer.reason)
    except ValueError as exc:
        raise errors.FrameError(f'Answer frame: {exc}') from exc


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
        buffer = self._buffer
        buffer += data
        messages: list[Message] = []
        start = 0
        while len(buffer) - start > _LENGTH_BYTES:
            length, kind = _HEADER.unpack_from(buffer, start)
            if not 0 < length <= self._max_frame_bytes:
                raise errors.FrameError(f'frame of {length} bytes')
            end = start + _LENGTH_BYTES + length
            if len(buffer) < end:
                break
            payload = bytes(buffer[start + _HEADER.size : end])
            messages.append(_decode_payload(kind, payload))
            start = end
        del buffer[:start]
        return messages


def refusal_answer(
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


def answer_refusal(answer: ttypes.Answer) -> errors.Refusal:
    """Return the refusal that an answer frame carries."""
    return errors.Refusal(
        errors.Outcome(answer.outcome),
        errors.Reason(answer.reason),
        answer.detail,
        answer.retry_after_ms,
        answer.is_final,
    )
