"""HTTP/1.1 server that passes on whole requests.

A C parser drives plain callbacks, and each answer is a single write. The
requests of one connection are served in order, one at a time.
"""

import asyncio
import random
import socket
import typing

from parsleystile import acceptqueue
from parsleystile import clock as clocks
from parsleystile.relay import _httpconnection
from parsleystile.relay import heldbytes
from parsleystile.relay import httprequest
from parsleystile.relay import policy as policies

_BACKLOG = 1024
# Time for the first request on a connection that was just accepted.
_SETTLE_MS = 25.0
_MS_PER_S = 1000.0
# Far beyond the deadline of any request.
BODY_TIMEOUT_MS = 300_000.0
# The kernel closes a connection whose peer leaves data unacknowledged for this
# time.
_TCP_USER_TIMEOUT_MS = 5_000

Disconnect = httprequest.Disconnect
Request = httprequest.Request


class HttpServer:
    """HTTP server for one request handler on any number of addresses.

    Attributes:
        clock: Time of arrival of requests.
        limits: Limits on callers; may change while connections are open.
        local_hosts: Peers with these addresses are on this machine.
        held: Count of the bytes that callers leave here.
        body_timeout_ms: Longest time from the first byte of a request with a
            body to its last one.
        is_closing: Whether connections are closed after their next answer.
        on_request: Called with each whole request.
        on_rejected: Called with the status and the reason when a request is
            malformed, too large or too slow, or finds no room.
        on_cut: Called with the reason when the connection of a caller that
            doesn't read its answer is closed.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        local_hosts: frozenset[str],
        on_request: typing.Callable[[Request], None],
        on_rejected: typing.Callable[[int, str], None],
        held: heldbytes.HeldBytes,
    ) -> None:
        self.clock = clock
        self.held = held
        self.body_timeout_ms = BODY_TIMEOUT_MS
        self.on_cut: typing.Callable[[str], None] = lambda why: None
        self.limits = policies.CallerLimits()
        self.local_hosts = local_hosts
        self.on_request = on_request
        self.on_rejected = on_rejected
        self.is_closing = False
        self.connections: set[_httpconnection.Connection] = set()
        self._all_closed: asyncio.Event | None = None
        self._servers: list[asyncio.Server] = []
        self._sockets: list[socket.socket] = []

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Accept connections and return the bound host and port."""
        loop = asyncio.get_running_loop()
        sock = socket.create_server((host, port), backlog=_BACKLOG)
        sock.setblocking(False)
        # Accepted connections inherit the option.
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
        )
        name = sock.getsockname()
        server = await loop.create_server(
            self._connection, sock=sock, backlog=_BACKLOG
        )
        self._servers.append(server)
        self._sockets.append(sock)
        return name[0], name[1]

    def _connection(self) -> _httpconnection.Connection:
        return _httpconnection.Connection(self)

    def close_overdue(self) -> None:
        """Close connections beyond the idle or header timeout."""
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            connection.close_if_overdue(now_ms)

    @property
    def owed_requests(self) -> int:
        """Number of requests that were read and have no answer yet."""
        return sum(c.owed_requests for c in self.connections)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return sum(c.unsent_bytes for c in self.connections)

    def opened(self, connection: _httpconnection.Connection) -> None:
        """Register an accepted connection."""
        self.connections.add(connection)

    def closed(self, connection: _httpconnection.Connection) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        if self._all_closed is not None and not self.connections:
            self._all_closed.set()

    def answer_open(self) -> None:
        """Ask the handlers of open requests to answer at once."""
        for connection in list(self.connections):
            connection.answer_open()

    async def shut_down(self, timeout_ms: float) -> None:
        """Stop listening, deliver what is written and close.

        Connections that are still open after the timeout are aborted.
        """
        self.is_closing = True
        accepted = [
            connection
            for sock in self._sockets
            for connection, _ in acceptqueue.accept_queued(sock)
        ]
        for server in self._servers:
            server.close()
        loop = asyncio.get_running_loop()
        for sock in accepted:
            await loop.connect_accepted_socket(self._connection, sock)
        await asyncio.sleep(_SETTLE_MS / _MS_PER_S)
        self._all_closed = asyncio.Event()
        for connection in list(self.connections):
            connection.close()
        if self.connections:
            try:
                async with asyncio.timeout(timeout_ms / _MS_PER_S):
                    await self._all_closed.wait()
            except TimeoutError:
                self.close()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.abort()


def http_server(
    clock: clocks.Clock,
    local_hosts: frozenset[str],
    on_request: typing.Callable[[Request], None],
    on_rejected: typing.Callable[[int, str], None] = lambda *_: None,
    held: heldbytes.HeldBytes | None = None,
) -> HttpServer:
    """Create a server that does not listen yet.

    Without a count that it shares with others it has one of its own.
    """
    if held is None:
        held = heldbytes.held_bytes(
            heldbytes.DEFAULT_MEMORY_BYTES, random.Random()
        )
    return HttpServer(clock, local_hosts, on_request, on_rejected, held)
