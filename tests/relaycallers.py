"""Callers that use one relay node as long as its process lives."""

import asyncio
import dataclasses
import json
import random
import socket

from tests import platformfleet
from tests import relayrecord

# Longer than any deadline; a request without an answer by then is lost.
_PATIENCE_S = 8.0
_DEADLINE_MS = 5000
_RECONNECT_S = 0.03
_CHILD_SHARE = 0.3
_LONG_SHARE = 0.05
_LONG_WORK_MS = 700
_PIPELINED = 4
# More than the kernel takes from a node at once.
_LARGE_BYTES = 3_500_000
_RECEIVE_BYTES = 65_536
CLOSED = (OSError, asyncio.IncompleteReadError, TimeoutError)


async def connect(address, source):
    """Connect from a loopback address, with a small receive buffer."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    try:
        sock.bind((source, 0))
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock)


async def read_answer(reader, pause_s=0.0):
    """Return status, headers and body, read in parts with a pause each."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines if line)
    size = int(headers.get('content-length', 0))
    body = bytearray()
    while len(body) < size:
        await asyncio.sleep(pause_s)
        part = await reader.read(min(_RECEIVE_BYTES, size - len(body)))
        if not part:
            raise asyncio.IncompleteReadError(bytes(body), size)
        body += part
    return int(first.split()[1]), headers, bytes(body)


async def post(address, path, data):
    """Post a JSON document; return the status."""
    body = json.dumps(data).encode()
    reader, writer = await connect(address, address[0])
    head = f'POST {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n'
    try:
        writer.write(head.encode() + body)
        return (await read_answer(reader))[0]
    finally:
        writer.close()


@dataclasses.dataclass(eq=False, slots=True)
class Caller:
    """Sends requests to one node; the style tells how.

    On ``kept`` or ``new`` connections, ``pipelined``, as a ``slow-reader`` of
    large answers, as a ``slow-sender`` of requests in parts, or as ``child``:
    a target that makes one call while it works on another.

    Attributes:
        is_done: Set to end after the current request.
        last_status: Status of the last complete answer.
    """

    record: relayrecord.Record
    node: str
    address: tuple[str, int]
    source: str
    rng: random.Random
    style: str
    is_done: bool = False
    last_status: int = 0

    async def run(self):
        while not self.is_done:
            await self.run_once()

    async def run_once(self):
        """Use one connection as long as the node keeps it."""
        try:
            reader, writer = await connect(self.address, self.source)
        except OSError:
            await asyncio.sleep(_RECONNECT_S)
            return
        try:
            while await self._send(reader, writer) and not self.is_done:
                await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        finally:
            writer.close()

    async def _send(self, reader, writer):
        """Send requests; return whether to send more on the connection."""
        is_slow = self.style == 'slow-reader'
        pause_s = self.rng.uniform(0.002, 0.008) if is_slow else 0.0
        calls, data = [], b''
        for _ in range(_PIPELINED if self.style == 'pipelined' else 1):
            calls.append(self._new_call())
            data += self._encode(calls[-1])
        headers = {}
        try:
            async with asyncio.timeout(_PATIENCE_S):
                if self.style == 'slow-sender':
                    data = await self._send_parts(reader, writer, data)
                writer.write(data)
                for call in calls:
                    call.sent_ms = relayrecord.now_ms()
                for call in calls:
                    answer = await read_answer(reader, pause_s)
                    headers = answer[1]
                    self._finish(call, *answer)
        except CLOSED:
            for call in calls:
                call.ended_ms = call.ended_ms or relayrecord.now_ms()
            return False
        is_last = self.style in ('new', 'child')
        return headers.get('connection') != 'close' and not is_last

    async def _send_parts(self, reader, writer, data):
        """Send some of the data in parts; return the rest."""
        for _ in range(3):
            size = self.rng.randrange(1, len(data) // 3)
            writer.write(data[:size])
            data = data[size:]
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError
        return data

    def _finish(self, call, status, headers, body):
        call.ended_ms = relayrecord.now_ms()
        call.status = self.last_status = status
        call.is_signed = 'parsleystile-server-signature' in headers
        is_own = headers.get('parsleystile-attempt-id') == call.call_id
        expected = relayrecord.expected_body(call.call_id, call.size)
        call.is_whole = is_own and body == expected

    def _new_call(self):
        size = self.rng.randint(1, 5000)
        return self.record.new_call(
            self.node,
            self.style,
            is_idempotent=self.rng.random() < 0.5,
            size=_LARGE_BYTES if self.style == 'slow-reader' else size,
        )

    def _encode(self, call):
        is_child = self.style == 'child'
        line = 'GET /stock/' if call.is_idempotent else 'POST /reserve/'
        key = '' if is_child else f'Bearer {platformfleet.KEY}'
        work_ms = self.rng.randint(20, 150)
        if self.rng.random() < _LONG_SHARE:
            work_ms = _LONG_WORK_MS
        children = int(not is_child and self.rng.random() < _CHILD_SHARE)
        return (
            f'{line}x?work_ms={work_ms}&size={call.size}'
            f'&children={children} HTTP/1.1\r\n'
            f'Host: {platformfleet.HOST}\r\n'
            f'Parsleystile-Attempt-Id: {call.call_id}\r\n'
            f'Parsleystile-Request-Deadline: {_DEADLINE_MS}\r\n'
            f'Authorization: {key}\r\nContent-Length: 3\r\n\r\n123'
        ).encode()
