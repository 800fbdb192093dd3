"""Callers that use one relay node as long as its process lives."""

import asyncio
import json
import random
import socket

from tests import platformfleet
from tests import relayrecord

# Longer than any deadline of a request; no answer in this time is a loss.
_PATIENCE_S = 8.0
_RECONNECT_S = 0.03
_DEADLINE_MS = 5000
_CLOSED = (OSError, asyncio.IncompleteReadError, TimeoutError)


class Connection:
    """A connection that sends whole requests and reads whole answers."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    async def read_answer(
        self, chunk_pause_s: float = 0.0
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body; raise if they don't come."""
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(': ')
            headers[name.lower()] = value
        size = int(headers.get('content-length', 0))
        body = bytearray()
        while len(body) < size:
            if chunk_pause_s:
                await asyncio.sleep(chunk_pause_s)
            chunk = await self._reader.read(min(65_536, size - len(body)))
            if not chunk:
                raise asyncio.IncompleteReadError(bytes(body), size)
            body += chunk
        return int(first.split()[1]), headers, bytes(body)


async def connect(
    host: str, port: int, source: str, receive_bytes: int = 0
) -> Connection:
    """Connect from a loopback address."""
    sock = socket.socket()
    sock.setblocking(False)
    try:
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.bind((source, 0))
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
        return Connection(*await asyncio.open_connection(sock=sock))
    except BaseException:
        sock.close()
        raise


async def post(host: str, port: int, path: str, data: dict) -> int:
    """Post a JSON document; return the status."""
    body = json.dumps(data).encode()
    connection = await connect(host, port, host)
    try:
        connection.writer.write(
            f'POST {path} HTTP/1.1\r\nHost: {host}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        return (await connection.read_answer())[0]
    finally:
        connection.writer.close()


def encode(call: relayrecord.Call, work_ms: int, key: str = '') -> bytes:
    """Encode a request that a target works on for a time."""
    line = 'GET /stock/' if call.is_idempotent else 'POST /reserve/'
    body = b'' if call.is_idempotent else b'x' * 100
    authorization = f'Authorization: Bearer {key}\r\n' if key else ''
    return (
        f'{line}x?work_ms={work_ms}&size={call.size} HTTP/1.1\r\n'
        f'Host: {platformfleet.HOST}\r\n'
        f'Parsleystile-Attempt-Id: {call.call_id}\r\n'
        f'Parsleystile-Request-Deadline: {_DEADLINE_MS}\r\n'
        f'{authorization}Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


async def finish(
    connection: Connection, call: relayrecord.Call, chunk_pause_s: float = 0.0
) -> bool:
    """Read the answer to a request; return whether the connection stays."""
    status, headers, body = await connection.read_answer(chunk_pause_s)
    call.is_signed = 'parsleystile-server-signature' in headers
    call.is_whole = headers.get(
        'parsleystile-attempt-id'
    ) == call.call_id and body == relayrecord.expected_body(
        call.call_id, call.size
    )
    call.status = status
    call.ended_ms = relayrecord.now_ms()
    return headers.get('connection') != 'close'


class Caller:
    """Sends requests to one node, on kept or on new connections.

    Attributes:
        is_done: Set to end after the current request.
    """

    def __init__(
        self,
        record: relayrecord.Record,
        node: str,
        address: tuple[str, int],
        source: str,
        rng: random.Random,
        style: str,
    ) -> None:
        self._record = record
        self._node = node
        self._address = address
        self._source = source
        self._rng = rng
        self._style = style
        self.is_done = False

    async def run(self) -> None:
        """Send requests until told to end."""
        while not self.is_done:
            await self.run_once()

    async def run_once(self) -> None:
        """Use one connection as long as the node keeps it."""
        try:
            connection = await connect(*self._address, self._source)
        except OSError:
            await asyncio.sleep(_RECONNECT_S)
            return
        try:
            while await self._send(connection) and not self.is_done:
                await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        finally:
            connection.writer.close()

    async def _send(self, connection: Connection) -> bool:
        """Send a request; return whether the connection can be used again."""
        rng = self._rng
        call = self._record.new_call(
            self._node, self._style, rng.random() < 0.5, rng.randint(1, 5000)
        )
        data = encode(call, rng.randint(20, 150), platformfleet.KEY)
        try:
            async with asyncio.timeout(_PATIENCE_S):
                connection.writer.write(data)
                call.sent_ms = relayrecord.now_ms()
                is_kept = await finish(connection, call)
        except _CLOSED:
            call.ended_ms = relayrecord.now_ms()
            return False
        return is_kept and self._style != 'new'
