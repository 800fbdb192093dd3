"""One connection of a caller to the HTTP server.

Requests are answered in the order in which they were read. A request that
was read is owed an answer: it is answered before the connection closes,
unless the caller leaves first.
"""

import asyncio
import collections
import enum
import socket
import typing

import httptools

from parsleystile import clock as clocks
from parsleystile.relay import heldbytes
from parsleystile.relay import httprequest
from parsleystile.relay import policy as policies

_EXPECT_BYTES = len(b'expect')
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_FRAMING_HEADERS = frozenset({'content-length', 'transfer-encoding'})
# Reading pauses while this many requests wait behind an unanswered one.
_MAX_QUEUED_REQUESTS = 16
# Time for the caller to read the last answer and close. Closing first would
# reset the connection if more bytes arrived, and could discard the answer.
_LINGER_MS = 2_000.0
# Chunk framing beyond this for each byte of the body counts as header bytes.
_FRAMING_PER_BODY_BYTE = 16
# A header string beyond its characters, which its bytes on the wire outweigh
# or not.
_HEADER_STRING_BYTES = 64
# An answer goes to the transport in pieces of this size as its caller takes
# them: what the transport has is not free before a later turn of the loop.
_PIECE_BYTES = 131_072
# Larger bodies are passed on as they were gathered, without a copy.
_LARGE_BODY_BYTES = 65_536
_NO_HEADERS: list[str] = []
_MS_PER_S = 1000.0
_INTERNAL_ERROR = 500
_NO_ROOM = 503
# TCP states CLOSE and CLOSE_WAIT of the kernel.
_STATES_AFTER_CLOSE = frozenset({7, 8})


class Server(typing.Protocol):
    """What a connection needs of its server; see ``HttpServer``."""

    clock: clocks.Clock
    limits: policies.CallerLimits
    held: heldbytes.HeldBytes
    body_timeout_ms: float
    local_hosts: frozenset[str]
    is_closing: bool
    on_request: typing.Callable[[httprequest.Request], None]
    on_rejected: typing.Callable[[int, str], None]
    on_cut: typing.Callable[[str], None]

    def opened(self, connection: 'Connection') -> None:
        """Register an accepted connection."""

    def closed(self, connection: 'Connection') -> None:
        """Remove a connection that is closed."""


def _has_framing(headers: list[str]) -> bool:
    return any(name.lower() in _FRAMING_HEADERS for name in headers[::2])


def _declared_bytes(headers: list[str]) -> int:
    """Return the length that a head declares; 0 without one."""
    for i in range(0, len(headers), 2):
        if headers[i].lower() == 'content-length':
            # The parser accepts digits only.
            return int(headers[i + 1])
    return 0


class _Reading(enum.Enum):
    """What happens to the bytes that a caller sends."""

    REQUESTS = 'requests'
    # The caller asked to close after the last request read.
    ENDED = 'ended'
    # A request was rejected.
    DISCARDED = 'discarded'
    # Everything is sent, and the connection closes once the caller does.
    LINGERING = 'lingering'


class Connection(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
        current: The request that waits for its answer.
        phase_started_ms: Start of the wait for the next request or of the
            request being read.
        held_bytes: Bytes that it holds, as last counted; see
            ``heldbytes.Holder``.
    """

    __slots__ = (
        '_body',
        '_body_bytes',
        '_disconnect',
        '_expects_continue',
        '_fixed_bytes',
        '_headers',
        '_is_head_complete',
        '_is_local',
        '_is_proceeding',
        '_is_reading_paused',
        '_is_room_checked',
        '_is_writing_paused',
        '_left_bytes',
        '_linger_timer',
        '_parser',
        '_queue',
        '_reading',
        '_rejection',
        '_rest',
        '_request_bytes',
        '_server',
        '_transport',
        '_unsent_bytes',
        '_url',
        'current',
        'held_bytes',
        'phase_started_ms',
        'progressed_ms',
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._headers: list[str] = []
        # A buffer from the second chunk on: chunks may be of one byte.
        self._body: bytes | bytearray = b''
        self._body_bytes = 0
        self._is_head_complete = False
        # The caller waits for 100 Continue before it sends the body.
        self._expects_continue = False
        self._request_bytes = 0
        self._queue: collections.deque[httprequest.Request] = (
            collections.deque()
        )
        # Of the last answer; the transport has what came before.
        self._rest: memoryview | bytes = b''
        # Sent after the answers to all requests read before it.
        self._rejection = b''
        self._reading = _Reading.REQUESTS
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._is_proceeding = False
        self._linger_timer: asyncio.TimerHandle | None = None
        self._disconnect = httprequest.Disconnect.CALLER_LEFT
        self.current: httprequest.Request | None = None
        self._is_local: bool | None = None
        # Whole requests without an answer, and answers that are not taken.
        self._fixed_bytes = 0
        self._unsent_bytes = 0
        # Of the answers not taken, as last seen.
        self._left_bytes = 0
        self._is_room_checked = False
        self.held_bytes = 0
        self.phase_started_ms = server.clock.now_ms()
        self.progressed_ms = self.phase_started_ms

    @property
    def is_local(self) -> bool:
        """Whether the caller is a local host."""
        # Computed on demand: it costs a system call and few requests need it.
        if self._is_local is None:
            peer = self._transport.get_extra_info('peername')
            hosts = self._server.local_hosts
            self._is_local = peer is not None and peer[0] in hosts
        return self._is_local

    @property
    def owed_requests(self) -> int:
        """Number of requests that were read and have no answer yet."""
        return len(self._queue) + (self.current is not None)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size() + len(self._rest)

    @property
    def is_lingering(self) -> bool:
        """Whether everything is sent and the caller has not closed yet."""
        return self._reading is _Reading.LINGERING

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._reading is not _Reading.REQUESTS:
            return
        if self.current is None and not self._request_bytes:
            self.phase_started_ms = self._server.clock.now_ms()
        self._request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._reject(400, f'malformed request: {type(exc).__name__}')
            return
        except httptools.HttpParserUpgrade:
            # Any request before it was handled on its completion, and the
            # parser takes no more.
            self._discard_input()
            return
        # Bytes of a request read before may be among the last ones.
        framing_bytes = self._request_bytes - len(data) - self._body_bytes
        allowed_bytes = _FRAMING_PER_BODY_BYTE * self._body_bytes
        limit = self._server.limits.header_bytes
        if framing_bytes > limit + allowed_bytes:
            self._reject(431, f'over {limit} header bytes')
        elif self._size - self.held_bytes >= heldbytes.STEP_BYTES:
            self._count_growth()

    def eof_received(self) -> bool:
        # A caller that closes and one that only ends its side look the same,
        # and work for a caller that left has to stop.
        return False

    def pause_writing(self) -> None:
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        if self._rest:
            self._write_rest()
            if not self._rest:
                self._end_answer()
        if self._unsent_bytes and not self._rest:
            self._unsent_bytes = 0
            self._count()
        self._proceed()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.closed(self)
        self._queue.clear()
        self._release()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if isinstance(exc, TimeoutError):
            self._disconnect = httprequest.Disconnect.NOT_ACKNOWLEDGED
        request, self.current = self.current, None
        if request is not None and request.on_disconnect is not None:
            request.on_disconnect(self._disconnect)
            request.release()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._url = b''
        self._headers = []
        self._body = b''
        self._body_bytes = 0
        self._is_head_complete = False
        self._is_room_checked = False

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_head_complete:
            # A trailer, which must not pass for a header.
            return
        if len(name) == _EXPECT_BYTES and name.lower() == b'expect':
            self._expects_continue = True
        headers = self._headers
        headers.append(name.decode('latin-1'))
        headers.append(value.decode('latin-1'))

    def on_headers_complete(self) -> None:
        self._is_head_complete = True
        if self._request_bytes > self._server.limits.header_bytes:
            size = sum(map(len, self._headers)) + len(self._url)
            if size > self._server.limits.header_bytes:
                self._reject(431, 'header too large')
                return
        if self._expects_continue:
            self._expects_continue = False
            if self._has_room():
                self._transport.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        if self._reading is not _Reading.REQUESTS:
            return
        if not self._body_bytes:
            self._body = chunk
        elif isinstance(self._body, bytearray):
            self._body += chunk
        else:
            self._body = bytearray(self._body)
            self._body += chunk
        self._body_bytes += len(chunk)
        limit = self._server.limits.body_bytes
        if self._body_bytes > limit:
            self._reject(413, f'over {limit} body bytes')

    def on_message_complete(self) -> None:
        if self._reading is not _Reading.REQUESTS:
            return
        self._request_bytes = 0
        size, self._body_bytes = self._reading_bytes, 0
        body, self._body = self._body, b''
        headers, self._headers = self._headers, _NO_HEADERS
        if len(body) < _LARGE_BODY_BYTES:
            body = bytes(body)
        method = self._parser.get_method().decode('latin-1')
        if self._parser.should_upgrade() and (
            method == 'CONNECT' or _has_framing(headers)
        ):
            # The parser takes the body for bytes of the new protocol.
            self._reject(400, 'upgrades are not served')
            return
        request = httprequest.Request(
            self,
            method,
            self._url.decode('latin-1'),
            headers,
            body,
            self._server.clock.now_ms(),
            size,
        )
        self._fixed_bytes += size
        if not self._parser.should_keep_alive():
            self._reading = _Reading.ENDED
        if not self.owed_requests and self._is_free:
            self._serve(request)
            return
        self._queue.append(request)
        if len(self._queue) >= _MAX_QUEUED_REQUESTS:
            self._is_reading_paused = True
            self._transport.pause_reading()

    # Bytes held; see heldbytes.Holder.

    @property
    def _reading_bytes(self) -> int:
        """Memory of the request being read."""
        return self._body_bytes + _HEADER_STRING_BYTES * len(self._headers)

    @property
    def _size(self) -> int:
        return self._reading_bytes + self._fixed_bytes + self._unsent_bytes

    @property
    def started_ms(self) -> float:
        """Start of the request being read, or of the wait for one."""
        return self.phase_started_ms

    @property
    def use(self) -> heldbytes.Use:
        """What it holds, as far as it could yield it."""
        reading_bytes = self._reading_bytes
        if self._unsent_bytes > reading_bytes:
            return heldbytes.Use.UNSENT
        return heldbytes.Use.READING if reading_bytes else heldbytes.Use.FIXED

    def yield_bytes(self, why: str) -> None:
        """Refuse the request being read, or end a reader that stopped."""
        match self.use:
            case heldbytes.Use.READING:
                self._reject(_NO_ROOM, why)
            case heldbytes.Use.UNSENT:
                self._server.on_cut(why)
                self.abort()
                self._release()

    def _count_growth(self) -> None:
        if self._has_room():
            self._count()

    def _has_room(self) -> bool:
        """Refuse a request that announces more than there is room for."""
        if self._is_room_checked or not self._is_head_complete:
            return True
        self._is_room_checked = True
        size = _declared_bytes(self._headers) + self._fixed_bytes
        held = self._server.held
        if size < heldbytes.STEP_BYTES or held.has_room(
            self, size, self._server.clock.now_ms()
        ):
            return True
        self._reject(_NO_ROOM, 'no room for it at this node')
        return False

    def _count(self) -> None:
        size = self._size
        self._server.held.count(
            self,
            size if size >= heldbytes.STEP_BYTES else 0,
            self._server.clock.now_ms(),
        )

    def _release(self) -> None:
        self._drop_unfinished()
        self._fixed_bytes = self._unsent_bytes = 0
        self._rest = b''
        if self.held_bytes:
            self._count()

    def _drop_unfinished(self) -> None:
        self._headers = _NO_HEADERS
        self._body = b''
        self._body_bytes = 0

    # Answers.

    def answer(
        self,
        request: httprequest.Request,
        status: int,
        headers: list[str],
        body: bytes,
    ) -> None:
        """Write the answer to the current request, then serve the next."""
        closes = self._closes_after_answer
        head, body = httprequest.encode_answer(
            status, headers, body, closes, request.method == 'HEAD'
        )
        if len(body) < _LARGE_BODY_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._rest = memoryview(body)
            self._write_rest()
        self.current = None
        request.release()
        self.phase_started_ms = self._server.clock.now_ms()
        self._fixed_bytes -= request.held_bytes
        if self._is_writing_paused or len(body) >= _LARGE_BODY_BYTES:
            self._left_bytes = self.unsent_bytes
            if self._left_bytes:
                # Until its last byte is taken, an answer is held whole; the
                # transport has a copy of a piece.
                self._unsent_bytes += len(body) + _PIECE_BYTES
        if self.held_bytes or self._unsent_bytes:
            self._count()
        if not self._rest:
            self._end_answer()
        elif closes and self._reading is _Reading.REQUESTS:
            # Its head says that no other answer follows.
            self._reading = _Reading.DISCARDED

    @property
    def _closes_after_answer(self) -> bool:
        return (
            not self._queue
            and not self._rejection
            and (
                self._reading is not _Reading.REQUESTS
                or self._server.is_closing
            )
        )

    def _write_rest(self) -> None:
        """Write what the transport takes of the rest of an answer."""
        while self._rest and not self._is_writing_paused:
            piece = bytes(self._rest[:_PIECE_BYTES])
            self._rest = self._rest[_PIECE_BYTES:]
            self._transport.write(piece)

    def _end_answer(self) -> None:
        """Go on after an answer that the transport has."""
        if self.is_lingering:
            # What followed it was refused for lack of room.
            return
        if not self._closes_after_answer:
            self._proceed()
        elif self._reading is _Reading.ENDED:
            self._transport.close()
        else:
            self._linger()

    def _proceed(self) -> None:
        """Serve the queued requests, then reject what followed them."""
        if self._is_proceeding:
            # Called from the loop below by a request answered at once.
            return
        self._is_proceeding = True
        try:
            while self._queue and self._is_free:
                self._serve(self._queue.popleft())
        finally:
            self._is_proceeding = False
        if (
            self._is_reading_paused
            and len(self._queue) < _MAX_QUEUED_REQUESTS
            and not self._transport.is_closing()
        ):
            self._is_reading_paused = False
            self._transport.resume_reading()
        if self._rejection and not self._queue and self._is_free:
            self._transport.write(self._rejection)
            self._rejection = b''
            self._linger()

    @property
    def _is_free(self) -> bool:
        """Whether the next request may be served."""
        return (
            self.current is None
            and not self._is_writing_paused
            and not self._rest
            and not self._transport.is_closing()
        )

    def _serve(self, request: httprequest.Request) -> None:
        self.current = request
        try:
            self._server.on_request(request)
        except Exception as exc:
            self._report_failure('request', exc)
            # What the handler did before it failed is unknown.
            self._reading = _Reading.DISCARDED
            request.answer(_INTERNAL_ERROR, [], b'')

    def _report_failure(self, what: str, exc: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {'message': f'handler of a {what} failed', 'exception': exc}
        )

    def _reject(self, status: int, why: str) -> None:
        if self._reading is not _Reading.REQUESTS:
            return
        self._reading = _Reading.DISCARDED
        self._server.on_rejected(status, why)
        headers: list[str] = []
        if status == _NO_ROOM:
            retry_after_ms = self._server.held.retry_after_ms()
            headers = ['Retry-After', f'{retry_after_ms / _MS_PER_S:.3f}']
        self._rejection = b''.join(
            httprequest.encode_answer(
                status, headers, why.encode(), True, False
            )
        )
        self._drop_unfinished()
        if self.held_bytes:
            self._count()
        self._proceed()

    def _discard_input(self) -> None:
        if self._reading is _Reading.REQUESTS:
            self._reading = _Reading.DISCARDED
            if not self.owed_requests and not self._rest:
                self._linger()

    def _linger(self) -> None:
        self._reading = _Reading.LINGERING
        if self._transport.is_closing():
            return
        self._transport.write_eof()
        self._linger_timer = asyncio.get_running_loop().call_later(
            _LINGER_MS / _MS_PER_S, self._transport.abort
        )

    # Closing.

    def close_if_overdue(self, now_ms: float) -> None:
        """Close the connection if it is idle or slow, or the caller left."""
        if self._is_reading_paused and self._has_caller_closed():
            self._transport.abort()
        if self._unsent_bytes:
            self._record_progress()
        if self.owed_requests or self.unsent_bytes or self.is_lingering:
            return
        limits = self._server.limits
        waited_ms = now_ms - self.phase_started_ms
        if self._request_bytes:
            limit_ms = limits.header_timeout_ms
            if self._body_bytes:
                limit_ms = self._server.body_timeout_ms
            if waited_ms > limit_ms:
                self._reject(408, 'the request did not arrive in time')
        elif waited_ms > limits.idle_timeout_ms:
            self._transport.close()

    def _record_progress(self) -> None:
        """Note what a caller has taken of its answers."""
        left_bytes = self.unsent_bytes
        if not left_bytes:
            self._unsent_bytes = 0
        taken_bytes = self._left_bytes - left_bytes
        if not left_bytes or taken_bytes >= heldbytes.STEP_BYTES:
            self._left_bytes = left_bytes
            self._count()

    def _has_caller_closed(self) -> bool:
        # While reading is paused, only the state of the socket tells.
        sock = self._transport.get_extra_info('socket')
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            # Not known; a lost connection is reported by the event loop.
            return False
        return info[0] in _STATES_AFTER_CLOSE

    def answer_open(self) -> None:
        """Ask the handlers of open requests to answer at once."""
        while self.current is not None:
            request = self.current
            if request.on_shutdown is not None:
                try:
                    request.on_shutdown()
                except Exception as exc:
                    self._report_failure('shutdown', exc)
            if self.current is request:
                return

    def close(self) -> None:
        """Close once all requests are answered and the answers written."""
        self._disconnect = httprequest.Disconnect.SERVER_CLOSED
        is_done = not self.owed_requests and not self._rest
        if is_done and not self.is_lingering:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and discard what is not written."""
        self._disconnect = httprequest.Disconnect.SERVER_CLOSED
        self._transport.abort()
