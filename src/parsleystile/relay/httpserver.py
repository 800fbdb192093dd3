"""HTTP/1.1 from callers: connections in, whole requests out.

A C parser feeds plain callbacks and each answer is one write. Requests of
one connection are served in order, one at a time.
"""

import asyncio
import collections
import http
import socket
import typing

import httptools

from parsleystile import clock as clocks
from parsleystile.relay import policy as policies

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
# A status without a body by definition (RFC 9110, 6.4.1).
_BODILESS = frozenset({204, 304})
_EXPECT_BYTES = len(b'expect')
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Requests that a connection may send ahead of its answers.
_MAX_PIPELINED = 16
# A caller that reads nothing for so many bytes is cut off.
_MAX_UNREAD_BYTES = 4 * 1_048_576
_BACKLOG = 1024
# Dead callers are noticed within about this time.
_TCP_USER_TIMEOUT_MS = 5_000


class Request:
    """One whole request; answered once or abandoned by its caller.

    Attributes:
        method: HTTP method.
        path: Path with query, as sent.
        headers: Names and values in turn, as sent.
        body: Whole body.
        arrived_ms: When its last byte was read.
        on_gone: Called if the caller leaves before the answer.
    """

    __slots__ = (
        '_connection',
        'arrived_ms',
        'body',
        'headers',
        'method',
        'on_gone',
        'path',
    )

    def __init__(
        self,
        connection: '_Connection',
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
        self.on_gone: typing.Callable[[], None] | None = None

    @property
    def is_local(self) -> bool:
        """Whether it came from this machine."""
        return self._connection.is_local

    @property
    def is_open(self) -> bool:
        """Whether the caller still waits for the answer."""
        return self._connection.current is self

    def answer(self, status: int, headers: list[str], body: bytes) -> None:
        """Send the answer; nothing happens if the caller is gone."""
        if self.is_open:
            self._connection.answer(self, status, headers, body)


class _Connection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        '_body',
        '_expects_word',
        '_headers',
        '_is_ending',
        '_is_local',
        '_parser',
        '_queue',
        '_reading_bytes',
        '_server',
        '_transport',
        '_url',
        'current',
        'since_ms',
    )

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._headers: list[str] = []
        self._body: list[bytes] = []
        # Whether the caller sends its body only once it is told to.
        self._expects_word = False
        self._reading_bytes = 0
        self._queue: collections.deque[Request] = collections.deque()
        self._is_ending = False
        self.current: Request | None = None
        self._is_local: bool | None = None
        self.since_ms = server.clock.now_ms()

    @property
    def is_local(self) -> bool:
        # Asked for by few requests; each answer costs a system call.
        if self._is_local is None:
            peer = self._transport.get_extra_info('peername')
            hosts = self._server.own_hosts
            self._is_local = peer is not None and peer[0] in hosts
        return self._is_local

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._is_ending:
            return
        if self.current is None and not self._reading_bytes:
            self.since_ms = self._server.clock.now_ms()
        self._reading_bytes += len(data)
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
            and self._reading_bytes > limits.header_bytes + len(data)
        ):
            self._reject(431, f'over {limits.header_bytes} header bytes')

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._queue.clear()
        request, self.current = self.current, None
        if request is not None and request.on_gone is not None:
            request.on_gone()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._url = b''
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(name) == _EXPECT_BYTES and name.lower() == b'expect':
            self._expects_word = True
        headers = self._headers
        headers.append(name.decode('latin-1'))
        headers.append(value.decode('latin-1'))

    def on_headers_complete(self) -> None:
        if self._reading_bytes > self._server.limits.header_bytes:
            size = sum(map(len, self._headers)) + len(self._url)
            if size > self._server.limits.header_bytes:
                self._reject(431, 'header too large')
                return
        if self._expects_word:
            self._expects_word = False
            self._transport.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        self._body.append(chunk)
        limit = self._server.limits.body_bytes
        if self._reading_bytes > limit and sum(map(len, self._body)) > limit:
            self._reject(413, f'over {limit} body bytes')

    def on_message_complete(self) -> None:
        if self._is_ending:
            return
        self._reading_bytes = 0
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
            self._is_ending = True
        if self.current is None:
            self.current = request
            self._server.on_request(request)
        elif len(self._queue) < _MAX_PIPELINED:
            self._queue.append(request)
        else:
            self._transport.abort()

    # Answers.

    def answer(
        self, request: Request, status: int, headers: list[str], body: bytes
    ) -> None:
        channel = self._transport
        if channel.get_write_buffer_size() > _MAX_UNREAD_BYTES:
            channel.abort()
            return
        is_last = self._is_ending and not self._queue
        closes = is_last or self._server.is_closing
        channel.write(
            _encode(status, headers, body, closes, request.method == 'HEAD')
        )
        self.current = None
        self.since_ms = self._server.clock.now_ms()
        if self._queue and not self._server.is_closing:
            self.current = self._queue.popleft()
            self._server.on_request(self.current)
        elif closes:
            self._is_ending = True
            channel.close()

    def close_if_overdue(self, now_ms: float) -> None:
        if self.current is not None:
            return
        limits = self._server.limits
        waited_ms = now_ms - self.since_ms
        if self._reading_bytes:
            if waited_ms > limits.header_timeout_ms and not self._body:
                self._reject(408, 'the request did not arrive in time')
        elif waited_ms > limits.idle_timeout_ms:
            self._transport.close()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, status: int, why: str) -> None:
        if self._is_ending:
            return
        self._is_ending = True
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
    has_body = not is_head and status not in _BODILESS
    if has_body:
        lines.append(f'Content-Length: {len(body)}')
    if closes:
        lines.append('Connection: close')
    head = '\r\n'.join(lines).encode('latin-1', 'replace') + b'\r\n\r\n'
    return head + body if has_body else head


class HttpServer:
    """Listens on some addresses for one handler of requests.

    Attributes:
        clock: Stamps the arrival of each request.
        limits: May change while connections are open.
        own_hosts: Peers with these addresses are on this machine.
        is_closing: Each answer ends its connection.
        on_request: Called with each whole request.
        on_rejected: Called with the status and reason of a request that
            is no proper HTTP or too large.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        own_hosts: frozenset[str],
        on_request: typing.Callable[[Request], None],
        on_rejected: typing.Callable[[int, str], None],
    ) -> None:
        self.clock = clock
        self.limits = policies.CallerLimits()
        self.own_hosts = own_hosts
        self.on_request = on_request
        self.on_rejected = on_rejected
        self.is_closing = False
        self.connections: set[_Connection] = set()
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Accept connections; return the address bound."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=_BACKLOG
        )
        self._servers.append(server)
        # Accepted connections inherit it.
        server.sockets[0].setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
        )
        name = server.sockets[0].getsockname()
        return name[0], name[1]

    def sweep(self) -> None:
        """Close connections that are idle or slow beyond the limits."""
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            connection.close_if_overdue(now_ms)

    @property
    def open_requests(self) -> int:
        """Requests that have no answer yet."""
        return sum(c.current is not None for c in self.connections)

    def close(self) -> None:
        """Stop listening and drop every connection."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.abort()


def http_server(
    clock: clocks.Clock,
    own_hosts: frozenset[str],
    on_request: typing.Callable[[Request], None],
    on_rejected: typing.Callable[[int, str], None] = lambda *_: None,
) -> HttpServer:
    """Create a server that listens nowhere yet."""
    return HttpServer(clock, own_hosts, on_request, on_rejected)
