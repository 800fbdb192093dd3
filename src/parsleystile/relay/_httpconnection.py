"""One connection of a caller to the HTTP server."""

import asyncio
import collections
import enum
import http
import typing

import httptools

from parsleystile import clock as clocks
from parsleystile.relay import policy as policies

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
# Statuses that have no body by definition (RFC 9110, 6.4.1).
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_EXPECT_BYTES = len(b'expect')
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Requests that may be queued on a connection ahead of their answers.
_MAX_PIPELINED = 16
# A connection with more unsent bytes than this is aborted: its caller does not
# read.
_MAX_UNREAD_BYTES = 4 * 1_048_576


class Disconnect(enum.Enum):
    """Why a connection closed before the answer to a request."""

    CALLER_LEFT = 'caller-left'
    NOT_ACKNOWLEDGED = 'not-acknowledged'
    ANSWERS_UNREAD = 'answers-unread'
    TOO_MANY_REQUESTS = 'too-many-requests'
    INVALID_REQUEST = 'invalid-request'
    SERVER_CLOSED = 'server-closed'


class Request:
    """A whole request; it is answered once or abandoned by its caller.

    Attributes:
        method: HTTP method.
        path: Path with query, as sent.
        headers: Names and values in turn, as sent.
        body: Whole body.
        arrived_ms: Time at which its last byte was read.
        on_disconnect: Called with the reason if the connection closes before
            the answer.
    """

    __slots__ = (
        '_connection',
        'arrived_ms',
        'body',
        'headers',
        'method',
        'on_disconnect',
        'path',
    )

    def __init__(
        self,
        connection: 'Connection',
        method: str,
        path: str,
        headers: list[str],
        body: bytes,
        arrived_ms: float,
    ) -> None:
        self._connection = connection
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.on_disconnect: typing.Callable[[Disconnect], None] | None = None

    @property
    def is_local(self) -> bool:
        """Whether it came from a local host."""
        return self._connection.is_local

    @property
    def is_open(self) -> bool:
        """Whether the caller is still waiting for the answer."""
        return self._connection.current is self

    def answer(self, status: int, headers: list[str], body: bytes) -> None:
        """Send the answer; does nothing if the caller has disconnected."""
        if self.is_open:
            self._connection.answer(self, status, headers, body)


class Server(typing.Protocol):
    """What a connection needs of its server; see ``HttpServer``."""

    clock: clocks.Clock
    limits: policies.CallerLimits
    local_hosts: frozenset[str]
    is_closing: bool
    connections: set['Connection']
    on_request: typing.Callable[[Request], None]
    on_rejected: typing.Callable[[int, str], None]


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        '_body',
        '_disconnect',
        '_expects_continue',
        '_headers',
        '_will_close',
        '_is_local',
        '_parser',
        '_queue',
        '_request_bytes',
        '_server',
        '_transport',
        '_url',
        'current',
        'phase_started_ms',
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._headers: list[str] = []
        self._body: list[bytes] = []
        # The caller waits for 100 Continue before it sends the body.
        self._expects_continue = False
        self._request_bytes = 0
        self._queue: collections.deque[Request] = collections.deque()
        self._will_close = False
        self._disconnect = Disconnect.CALLER_LEFT
        self.current: Request | None = None
        self._is_local: bool | None = None
        self.phase_started_ms = server.clock.now_ms()

    @property
    def is_local(self) -> bool:
        """Whether the caller is a local host."""
        # Computed on demand: it costs a system call and few requests need it.
        if self._is_local is None:
            peer = self._transport.get_extra_info('peername')
            hosts = self._server.local_hosts
            self._is_local = peer is not None and peer[0] in hosts
        return self._is_local

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._will_close:
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
            self._reject(400, 'upgrades are not served')
            return
        limits = self._server.limits
        if (
            not self._body
            and not self._queue
            and self.current is None
            and self._request_bytes > limits.header_bytes + len(data)
        ):
            self._reject(431, f'over {limits.header_bytes} header bytes')

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._queue.clear()
        if isinstance(exc, TimeoutError):
            self._disconnect = Disconnect.NOT_ACKNOWLEDGED
        request, self.current = self.current, None
        if request is not None and request.on_disconnect is not None:
            request.on_disconnect(self._disconnect)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._url = b''
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(name) == _EXPECT_BYTES and name.lower() == b'expect':
            self._expects_continue = True
        headers = self._headers
        headers.append(name.decode('latin-1'))
        headers.append(value.decode('latin-1'))

    def on_headers_complete(self) -> None:
        if self._request_bytes > self._server.limits.header_bytes:
            size = sum(map(len, self._headers)) + len(self._url)
            if size > self._server.limits.header_bytes:
                self._reject(431, 'header too large')
                return
        if self._expects_continue:
            self._expects_continue = False
            self._transport.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        self._body.append(chunk)
        limit = self._server.limits.body_bytes
        if self._request_bytes > limit and sum(map(len, self._body)) > limit:
            self._reject(413, f'over {limit} body bytes')

    def on_message_complete(self) -> None:
        if self._will_close:
            return
        self._request_bytes = 0
        body = self._body
        request = Request(
            self,
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            self._headers,
            body[0] if len(body) == 1 else b''.join(body),
            self._server.clock.now_ms(),
        )
        self._body = []
        if not self._parser.should_keep_alive():
            self._will_close = True
        if self.current is None:
            self.current = request
            self._server.on_request(request)
        elif len(self._queue) < _MAX_PIPELINED:
            self._queue.append(request)
        else:
            self.abort(Disconnect.TOO_MANY_REQUESTS)

    # Answers.

    def answer(
        self, request: Request, status: int, headers: list[str], body: bytes
    ) -> None:
        """Write the answer to the current request, then serve the next."""
        transport = self._transport
        if transport.get_write_buffer_size() > _MAX_UNREAD_BYTES:
            self.abort(Disconnect.ANSWERS_UNREAD)
            return
        is_last = self._will_close and not self._queue
        closes = is_last or self._server.is_closing
        transport.write(
            _encode(status, headers, body, closes, request.method == 'HEAD')
        )
        self.current = None
        self.phase_started_ms = self._server.clock.now_ms()
        if self._queue and not self._server.is_closing:
            self.current = self._queue.popleft()
            self._server.on_request(self.current)
        elif closes:
            self._will_close = True
            transport.close()

    def close_if_overdue(self, now_ms: float) -> None:
        """Close the connection if it is idle or slow."""
        if self.current is not None:
            return
        limits = self._server.limits
        waited_ms = now_ms - self.phase_started_ms
        if self._request_bytes:
            if waited_ms > limits.header_timeout_ms and not self._body:
                self._reject(408, 'the request did not arrive in time')
        elif waited_ms > limits.idle_timeout_ms:
            self._transport.close()

    @property
    def queued_requests(self) -> int:
        """Number of whole requests behind an unanswered one."""
        return len(self._queue)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    def abort(self, why: Disconnect = Disconnect.SERVER_CLOSED) -> None:
        """Close at once and discard what is not written."""
        self._disconnect = why
        self._transport.abort()

    def _reject(self, status: int, why: str) -> None:
        if self._will_close:
            return
        self._will_close = True
        self._disconnect = Disconnect.INVALID_REQUEST
        self._server.on_rejected(status, why)
        if self.current is None:
            body = why.encode()
            self._transport.write(_encode(status, [], body, True, False))
        self._transport.close()


def _encode(
    status: int,
    headers: list[str],
    body: bytes,
    closes: bool,
    is_head: bool,
) -> bytes:
    lines = [f'HTTP/1.1 {status} {_REASONS.get(status, "Unknown")}']
    for i in range(0, len(headers), 2):
        lines.append(f'{headers[i]}: {headers[i + 1]}')
    has_body = not is_head and status not in _STATUSES_WITHOUT_BODY
    if has_body:
        lines.append(f'Content-Length: {len(body)}')
    if closes:
        lines.append('Connection: close')
    head = '\r\n'.join(lines).encode('latin-1', 'replace') + b'\r\n\r\n'
    return head + body if has_body else head
