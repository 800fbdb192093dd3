"""HTTP listener of a node, on tornado; turns requests into exchanges."""

import asyncio
import contextlib
import enum
import socket
import typing

from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from parsleystile import acceptqueue
from parsleystile import callerstream
from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import httpanswers
from parsleystile import metrics as metric
from parsleystile import settings

_OVERLOAD_RETRY_AFTER_MS = 1000
# Time for callers to take their last answers before the process ends.
_LINGER_TIMEOUT_S = 1.0
_LINGER_POLL_S = 0.01
_BODY_TIMEOUT_MS = 10_000.0
_IDLE_TIMEOUT_MS = 300_000.0

OnExchange = typing.Callable[[exchanges.Exchange], None]


class _Progress(enum.Enum):
    WAITING = 'waiting'
    READING = 'reading'
    RUNNING = 'running'
    ANSWERED = 'answered'


class _Request(httputil.HTTPMessageDelegate):
    """Receives one request and writes its answer."""

    __slots__ = (
        '_body',
        '_body_bytes',
        '_connection',
        '_exchange',
        '_headers',
        '_listener',
        '_progress',
        '_since_ms',
        '_start',
        'stream',
    )

    def __init__(
        self,
        listener: 'HttpListener',
        connection: httputil.HTTPConnection,
        stream: callerstream.CallerStream,
    ) -> None:
        self._listener = listener
        self._connection = connection
        self.stream = stream
        self._progress = _Progress.WAITING
        self._since_ms = listener.clock.now_ms()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._exchange: exchanges.Exchange | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._start = typing.cast(httputil.RequestStartLine, start_line)
        self._headers = headers
        self._progress = _Progress.READING
        self._since_ms = self._listener.clock.now_ms()

    @property
    def is_reading_body(self) -> bool:
        return self._progress is _Progress.READING

    @property
    def is_owed(self) -> bool:
        """Whether the caller waits for an answer or for a part of one."""
        stream = self.stream
        match self._progress:
            case _Progress.READING | _Progress.RUNNING:
                return True
            case _Progress.WAITING:
                return stream.is_sending or stream.unread_bytes > 0
            case _Progress.ANSWERED:
                return stream.is_sending or (
                    stream.unread_bytes > 0 and not stream.is_ended
                )
            case _:
                typing.assert_never(self._progress)

    def is_overdue(self, now_ms: float) -> bool:
        limit_ms = _BODY_TIMEOUT_MS
        if self._progress is _Progress.WAITING:
            limit_ms = _IDLE_TIMEOUT_MS
        return now_ms - self._since_ms > limit_ms

    def close_connection(self) -> None:
        self._connection.close()

    def end_connection(self) -> None:
        """End the sending direction, after a last answer if one is due."""
        stream = self.stream
        is_idle = self._progress in (_Progress.WAITING, _Progress.ANSWERED)
        if is_idle and not stream.unread_bytes:
            # A client would take an answer for that to its next request.
            stream.end()
        else:
            stream.end(httpanswers.LAST_ANSWER)

    def data_received(self, chunk: bytes) -> None:
        if not self.stream.is_ended:
            self._body.append(chunk)

    def finish(self) -> None:
        listener = self._listener
        listener.on_read_end(self)
        if self.stream.is_ended:
            self._progress = _Progress.ANSWERED
            return
        headers: list[str] = []
        for name, value in self._headers.get_all():
            headers.append(name)
            headers.append(value)
        exchange = exchanges.Exchange(
            self._start.method,
            self._start.path,
            headers,
            b''.join(self._body),
            listener.clock.now_ms(),
            self._answer,
        )
        self._exchange = exchange
        self._progress = _Progress.RUNNING
        # tornado calls on_connection_close only while it reads the request.
        self._connection.set_close_callback(self._on_disconnect)
        listener.on_request(exchange)

    def on_connection_close(self) -> None:
        self._listener.on_read_end(self)

    def _on_disconnect(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._listener.on_exchange_end(exchange)
            exchange.cancel()

    def _answer(
        self, exchange: exchanges.Exchange, reply: exchanges.Reply
    ) -> None:
        self._listener.on_exchange_end(exchange)
        self._exchange = None
        self._progress = _Progress.ANSWERED
        match reply:
            case errors.Refusal():
                parts = httpanswers.refusal_parts(reply, exchange.context)
            case exchanges.Answer():
                parts = httpanswers.answer_parts(reply, self._start.method)
        status, headers, body = parts
        if self._start.method == 'HEAD':
            body = b''
        # A caller drops what it has pipelined behind such an answer.
        if self._listener.is_ending or (
            self._listener.is_closing and not self.stream.unread_bytes
        ):
            headers['Connection'] = 'close'
            self.stream.is_close_announced = True
        try:
            self._connection.write_headers(
                httputil.ResponseStartLine('HTTP/1.1', status, ''),
                headers,
                body,
            )
            self._connection.finish()
        except (iostream.StreamClosedError, httputil.HTTPOutputError):
            self._listener.metrics.incr('http.answers_unsent')
        if self._listener.is_ending:
            self.stream.end()


def _cut(exchange: exchanges.Exchange) -> None:
    """End an exchange that has no answer at the end of the process."""
    if exchange.cancel_send is None:
        refusal = errors.not_run(
            errors.Reason.LEAVING,
            'this node stopped before it sent the call',
            errors.UNAVAILABLE_RETRY_AFTER_MS,
        )
    else:
        exchange.cancel_send()
        refusal = errors.unknown(
            errors.Reason.LEAVING, 'this node stopped before the answer'
        )
    exchange.finish(refusal)


class _Server(httpserver.HTTPServer):
    """Server that also passes the close of a connection to its listener."""

    def initialize(self, listener: 'HttpListener', **options: object) -> None:
        super().initialize(listener, **options)
        self._listener = listener

    def on_close(self, server_conn: object) -> None:
        # HTTPServer keeps this event from its delegate.
        super().on_close(server_conn)
        self._listener.on_close(server_conn)


class HttpListener(httputil.HTTPServerConnectionDelegate):
    """Listens for HTTP and passes each complete request to a handler.

    Attributes:
        clock: Source of the arrival time of each request.
        is_closing: Whether answers ask the caller to close the connection.
        is_ending: Whether each answer is the last on its connection.
    """

    def __init__(
        self,
        on_exchange: OnExchange,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        limits: settings.Limits,
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self._on_exchange = on_exchange
        self.is_closing = False
        self.is_ending = False
        self._limits = limits
        # The request of each connection that is read, run or answered.
        self._connections: dict[object, _Request] = {}
        self._open_exchanges: set[exchanges.Exchange] = set()
        self._sockets: list[socket.socket] = []
        self._server = _Server(
            self,
            no_keep_alive=False,
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
        )
        # Requests that are not completely read. A periodic sweep enforces
        # their timeouts: those of tornado cost a timer and an iteration of
        # the event loop for each request.
        self._unread_requests: set[_Request] = set()

    def listen(self, host: str, port: int) -> int:
        """Start to accept connections; return the bound port."""
        self._sockets = netutil.bind_sockets(port, host)
        self._server.add_sockets(self._sockets)
        return int(self._sockets[0].getsockname()[1])

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Create the delegate of one request; called by tornado."""
        before = self._connections.get(server_conn)
        stream = (
            callerstream.caller_stream(request_conn.stream)
            if before is None
            else before.stream
        )
        request = _Request(self, request_conn, stream)
        self._connections[server_conn] = request
        if self.is_ending:
            request.end_connection()
        if len(self._connections) > self._limits.connections:
            self.metrics.incr('http.connections_refused')
            request.close_connection()
            return request
        self._unread_requests.add(request)
        return request

    def on_read_end(self, request: _Request) -> None:
        """Stop the read timeout of a request: it is read or was aborted."""
        self._unread_requests.discard(request)

    @property
    def is_reading_body(self) -> bool:
        """Whether the body of any request is still incomplete."""
        return any(
            request.is_reading_body for request in self._unread_requests
        )

    def sweep(self) -> None:
        """Close connections that have not sent their request in time."""
        now_ms = self.clock.now_ms()
        for request in list(self._unread_requests):
            if request.is_overdue(now_ms):
                self.metrics.incr('http.slow_requests')
                self._unread_requests.discard(request)
                request.close_connection()

    def on_close(self, server_conn: object) -> None:
        """Handle the close of a connection."""
        self._connections.pop(server_conn, None)

    def on_request(self, exchange: exchanges.Exchange) -> None:
        """Pass a complete request to the handler, within the limit."""
        self._open_exchanges.add(exchange)
        if len(self._open_exchanges) > self._limits.calls_in_flight:
            exchange.finish(
                errors.not_run(
                    errors.Reason.QUEUE_FULL,
                    f'{self._limits.calls_in_flight} calls in flight here',
                    _OVERLOAD_RETRY_AFTER_MS,
                )
            )
            return
        self._on_exchange(exchange)

    def on_exchange_end(self, exchange: exchanges.Exchange) -> None:
        """Handle the end of a request, by an answer or a disconnect."""
        self._open_exchanges.discard(exchange)

    @property
    def open_count(self) -> int:
        """Number of requests without an answer."""
        return len(self._open_exchanges)

    @property
    def owed_count(self) -> int:
        """Number of connections with a request or an answer under way.

        Looks at every socket; ``open_count`` is cheaper.
        """
        return sum(request.is_owed for request in self._connections.values())

    def stop_listening(self) -> None:
        """Accept no more connections; open ones close after an answer."""
        if not self.is_closing:
            self.is_closing = True
            for sock in self._sockets:
                for connection, address in acceptqueue.accept_queued(sock):
                    stream = iostream.IOStream(connection)
                    self._server.handle_stream(stream, address)
            self._server.stop()

    async def close(self) -> None:
        """End what is open with an answer, then close every connection.

        Waits up to a second until callers have taken their answers.
        """
        self.is_ending = True
        self.stop_listening()
        for exchange in list(self._open_exchanges):
            _cut(exchange)
        for request in self._connections.values():
            request.end_connection()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LINGER_TIMEOUT_S):
                while self.owed_count:
                    await asyncio.sleep(_LINGER_POLL_S)
        for request in self._connections.values():
            request.stream.discard_received()
        await self._server.close_all_connections()


def http_listener(
    on_exchange: OnExchange,
    clock: clocks.Clock,
    metrics: metric.Metrics,
    limits: settings.Limits,
) -> HttpListener:
    """Create a listener that is not yet listening."""
    return HttpListener(on_exchange, clock, metrics, limits)
