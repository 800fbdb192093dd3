"""The little HTTP/1.1 that the stand-ins need, on asyncio streams."""

import asyncio
import dataclasses
import socket

_MAX_HEAD_BYTES = 1 << 20


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
        start: Words of the first line.
        headers: Values by lower-case name; the last one wins.
        body: Whole body, or what arrived of it.
        is_whole: Whether the body is complete.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b''
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(' ', 2), headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a declared length."""
    message = await read_head(reader)
    if message is None:
        return None
    size = int(message.headers.get('content-length', '0'))
    try:
        message.body = await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        message.body, message.is_whole = exc.partial, False
    except ConnectionError:
        message.is_whole = False
    return message


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def open_stream(
    host: str,
    port: int,
    source: str | None = None,
    receive_bytes: int | None = None,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection.

    Args:
        host: Address to connect to.
        port: Its port.
        source: Own address; None for any.
        receive_bytes: Bytes that are received ahead of what is read, twice
            over; None leaves it to the kernel.
    """
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if source is not None:
        sock.bind((source, 0))
    try:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    limit = receive_bytes or _MAX_HEAD_BYTES
    return await asyncio.open_connection(sock=sock, limit=limit)


async def exchange(
    host: str, port: int, request: bytes, timeout_s: float = 1.0
) -> Message | None:
    """Send a request on a new connection; None without a whole answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await open_stream(host, port)
            try:
                writer.write(request)
                found = await read_message(reader)
                return found if found and found.is_whole else None
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
