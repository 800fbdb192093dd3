"""A request that the HTTP server has read, and its answer."""

import enum
import http
import typing

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
# Statuses that have no body by definition (RFC 9110, 6.4.1).
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Disconnect(enum.Enum):
    """Why a connection closed before the answer to a request."""

    CALLER_LEFT = 'caller-left'
    NOT_ACKNOWLEDGED = 'not-acknowledged'
    SERVER_CLOSED = 'server-closed'


class Caller(typing.Protocol):
    """The connection on which a request came.

    Attributes:
        current: The request that waits for its answer.
    """

    current: 'Request | None'

    @property
    def is_local(self) -> bool:
        """Whether the caller is a local host."""

    def answer(
        self,
        request: 'Request',
        status: int,
        headers: list[str],
        body: bytes,
    ) -> None:
        """Write the answer to the current request."""


class Request:
    """A whole request; it is answered once or abandoned by its caller.

    Attributes:
        method: HTTP method.
        path: Path with query, as sent.
        headers: Names and values in turn, as sent.
        body: Whole body.
        arrived_ms: Time at which its last byte was read.
        held_bytes: Memory that it takes until it is answered.
        on_disconnect: Called with the reason if the connection closes before
            the answer.
        on_shutdown: Called if the server is about to end; answers at once.
    """

    __slots__ = (
        '_connection',
        'arrived_ms',
        'body',
        'held_bytes',
        'headers',
        'method',
        'on_disconnect',
        'on_shutdown',
        'path',
    )

    def __init__(
        self,
        connection: Caller,
        method: str,
        path: str,
        headers: list[str],
        body: bytes | bytearray,
        arrived_ms: float,
        held_bytes: int = 0,
    ) -> None:
        self._connection = connection
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.held_bytes = held_bytes
        self.on_disconnect: typing.Callable[[Disconnect], None] | None = None
        self.on_shutdown: typing.Callable[[], None] | None = None

    @property
    def is_local(self) -> bool:
        """Whether it came from a local host."""
        return self._connection.is_local

    @property
    def is_open(self) -> bool:
        """Whether the caller is still waiting for the answer."""
        return self._connection.current is self

    def release(self) -> None:
        """Forget its handlers, which would keep its body in a cycle."""
        self.on_disconnect = self.on_shutdown = None

    def answer(self, status: int, headers: list[str], body: bytes) -> None:
        """Send the answer; does nothing if the caller has disconnected."""
        if self.is_open:
            self._connection.answer(self, status, headers, body)


def encode_answer(
    status: int,
    headers: list[str],
    body: bytes,
    closes: bool,
    is_head: bool,
) -> tuple[bytes, bytes]:
    """Return the head of an answer and its body as sent.

    Args:
        status: HTTP status.
        headers: Names and values in turn.
        body: Whole body.
        closes: Whether it is the last answer on its connection.
        is_head: Whether it answers a HEAD request, so that it has no body.
    """
    lines = [f'HTTP/1.1 {status} {_REASONS.get(status, "Unknown")}']
    for i in range(0, len(headers), 2):
        lines.append(f'{headers[i]}: {headers[i + 1]}')
    has_body = not is_head and status not in _STATUSES_WITHOUT_BODY
    if has_body:
        lines.append(f'Content-Length: {len(body)}')
    if closes:
        lines.append('Connection: close')
    head = '\r\n'.join(lines).encode('latin-1', 'replace') + b'\r\n\r\n'
    return head, body if has_body else b''
