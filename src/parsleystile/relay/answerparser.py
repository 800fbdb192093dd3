"""Parser of the answers on a connection to an origin.

An answer is accepted only if it is complete, within the limits and echoes the
id of its request where one is expected.
"""

import typing

import httptools
import msgspec

from parsleystile import answermemory
from parsleystile import targetanswer

_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# A connection is not reused in the last part of the idle timeout that the
# origin announced, since the origin may be closing it.
_IDLE_MARGIN_MS = 1_000.0
# Idle limit for an origin that announces no timeout.
_DEFAULT_IDLE_LIMIT_MS = 8_000.0
# Limit on the head of an answer, on the interim answers before it, and on
# chunk framing and trailers.
_MAX_HEAD_BYTES = 65_536
_MAX_HEADERS = 256
# Late answers to earlier requests that are skipped before an answer.
_MAX_LATE_ANSWERS = 4
# Chunk framing beyond this for each byte of the body counts towards the limit;
# a chunk of one byte takes five bytes of framing, or more with extensions.
_FRAMING_PER_BODY_BYTE = 16
_ALLOWANCE = 1 + _FRAMING_PER_BODY_BYTE


class AnswerLimits(msgspec.Struct, frozen=True):
    """Limits on the answers of an origin.

    Attributes:
        body_bytes: Longest body of an answer.
        held_bytes: Limit on all unfinished answers together.
    """

    body_bytes: int = 64 * 1_048_576
    held_bytes: int = answermemory.MAX_HELD_BYTES


class AnswerError(Exception):
    """The answer is not acceptable."""


class AnswerParser:
    """Parses answers to one request at a time.

    Attributes:
        answer: The answer to the request; None until it is complete.
        must_close: Whether the connection cannot be used again.
        size: Memory that the unfinished answer takes.
        idle_limit_ms: Time that the connection may be idle.
    """

    def __init__(
        self,
        echo_header: bytes,
        limits: AnswerLimits,
        on_late_answer: typing.Callable[[], None],
    ) -> None:
        self._echo_header = echo_header
        self._limits = limits
        self._on_late_answer = on_late_answer
        self._parser = httptools.HttpResponseParser(self)
        self._expected_echo = ''
        self._is_head = False
        # Of the head or, after a chunked body, of the trailer.
        self._headers: list[str] = []
        self._final_headers: list[str] = []
        self._body = answermemory.AnswerBody()
        # Bytes of bodies received since the request.
        self._body_bytes = 0
        # Other bytes received since then, less those that the bodies allow.
        self._framing_bytes = 0
        self._echo: str | None = None
        # Whether the current answer is a late one to an earlier request.
        self._is_late = False
        self._late_answers = 0
        self._late_bytes = 0
        self._is_chunked = False
        # Length of the body in the head; None without one.
        self._declared_bytes: int | None = None
        self._idle_text = ''
        self._has_final_head = False
        self._is_delimited = False
        self.answer: targetanswer.TargetAnswer | None = None
        self.must_close = False
        self.size = 0
        self.idle_limit_ms = _DEFAULT_IDLE_LIMIT_MS

    def expect(self, echo: str, is_head: bool) -> None:
        """Expect the answer to a new request."""
        self._expected_echo = echo
        self._is_head = is_head
        self._has_final_head = False
        self._is_delimited = False
        self._body_bytes = 0
        self._framing_bytes = 0
        self._late_answers = 0
        self._late_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            AnswerError: The answer is not in the protocol or exceeds a limit.
        """
        body_bytes = self._body_bytes
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.must_close = True
            if self.answer is None:
                raise _answer_error(exc) from None
        if self.answer is None:
            # Few calls, as this runs for each read of a long body.
            framing_bytes = self._framing_bytes
            framing_bytes -= _ALLOWANCE * (self._body_bytes - body_bytes)
            if framing_bytes < 0:
                framing_bytes = 0
            self._framing_bytes = self.size = framing_bytes
            if not self._is_late:
                self.size += self._body_bytes - self._late_bytes
            if (
                framing_bytes > _MAX_HEAD_BYTES
                or len(self._headers) > 2 * _MAX_HEADERS
            ):
                self._reject_framing()

    def end(self) -> None:
        """Handle the end of the connection.

        Raises:
            AnswerError: The answer ended early.
        """
        if self._has_final_head:
            if self._is_delimited:
                raise AnswerError('the answer ended early')
            self.must_close = True
            self.on_message_complete()

    def clear(self) -> None:
        """Release the memory of an unfinished answer.

        The object itself may stay until the garbage collector runs, since
        the parser of httptools refers back to it.
        """
        self.answer = None
        self._body.clear()

    @property
    def has_declared_length(self) -> bool:
        """Whether the head of the answer declares a length."""
        return self._declared_bytes is not None

    def _reject_framing(self) -> None:
        if len(self._headers) > 2 * _MAX_HEADERS:
            raise AnswerError(f'the answer exceeds {_MAX_HEADERS} headers')
        raise AnswerError(
            f'the answer exceeds {_MAX_HEAD_BYTES} bytes outside of its body'
        )

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a new message."""
        if self.answer is not None:
            # Nothing after it can be trusted.
            raise AnswerError('bytes follow the answer')
        self._headers = []
        self._echo = None
        self._is_chunked = False
        self._declared_bytes = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the head or the trailer."""
        text = value.decode('latin-1')
        headers = self._headers
        headers.append(name.decode('latin-1'))
        headers.append(text)
        key = name.lower()
        if key == b'content-length':
            # The parser has checked the digits.
            self._declared_bytes = int(value)
        elif key == b'transfer-encoding':
            self._is_chunked = True
        elif key == self._echo_header:
            if self._echo is None:
                self._echo = text
        elif key == b'keep-alive':
            self._update_idle_limit(text)

    def on_headers_complete(self) -> None:
        """Check a complete head."""
        status = self._parser.get_status_code()
        problem = targetanswer.status_problem(status)
        if problem:
            # Also below 100: it is no interim answer, and none may follow.
            raise AnswerError(problem)
        if status < _FIRST_FINAL_STATUS:
            return
        if (
            len(self._headers) > 2 * _MAX_HEADERS
            or self._framing_bytes > _MAX_HEAD_BYTES
        ):
            self._check_head()
        self._is_late = False
        if self._echo != self._expected_echo:
            self._check_echo()
        self._has_final_head = True
        # Headers that follow the body are trailers, which are dropped.
        self._final_headers, self._headers = self._headers, []
        self._is_delimited = (
            self._is_chunked
            or self._declared_bytes is not None
            or status in _STATUSES_WITHOUT_BODY
        )
        if self._is_head:
            # The parser can't be told of HEAD and would wait for the body.
            self._is_delimited = True
            self.must_close = True
            self.on_message_complete()
        elif (
            self._declared_bytes is not None
            and self._declared_bytes > self._limits.body_bytes
            and status not in _STATUSES_WITHOUT_BODY
        ):
            raise AnswerError(
                f'the answer declares {self._declared_bytes} bytes,'
                f' over {self._limits.body_bytes} bytes'
            )

    def _check_head(self) -> None:
        headers = self._headers
        if len(headers) > 2 * _MAX_HEADERS:
            raise AnswerError(f'the answer exceeds {_MAX_HEADERS} headers')
        # The bytes that were received may include part of the body.
        if sum(map(len, headers)) > _MAX_HEAD_BYTES:
            raise AnswerError(
                f'the head of the answer exceeds {_MAX_HEAD_BYTES} bytes'
            )

    def _check_echo(self) -> None:
        if self._echo is not None:
            self._is_late = True
            self._late_answers += 1
            if self._late_answers > _MAX_LATE_ANSWERS:
                raise AnswerError(
                    f'over {_MAX_LATE_ANSWERS} answers to other requests'
                )
        elif self._expected_echo:
            raise AnswerError('the answer names no request')

    def on_body(self, chunk: bytes) -> None:
        """Add a part of the body."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._limits.body_bytes:
            raise AnswerError(
                f'the answer exceeds {self._limits.body_bytes} bytes'
            )
        if self._is_late:
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Accept or skip a complete answer."""
        if not self._has_final_head:
            return
        self._has_final_head = False
        if self._is_late:
            # The right answer may follow.
            self._late_bytes = self._body_bytes
            self._on_late_answer()
            self.must_close = True
            return
        if not self._parser.should_keep_alive():
            self.must_close = True
        self.answer = targetanswer.TargetAnswer(
            self._parser.get_status_code(),
            self._final_headers,
            self._body.take(),
        )

    def _update_idle_limit(self, value: str) -> None:
        if value == self._idle_text:
            return
        self._idle_text = value
        _, _, rest = value.partition('timeout=')
        digits = rest.partition(',')[0].strip()
        if digits.isascii() and digits.isdigit():
            self.idle_limit_ms = max(0.0, int(digits) * 1e3 - _IDLE_MARGIN_MS)


def _answer_error(exc: Exception) -> AnswerError:
    if isinstance(exc.__context__, AnswerError):
        return exc.__context__
    return AnswerError('the answer is not in the protocol')
