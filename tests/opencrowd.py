"""A crowd of clients that keep no limit, against one node's process."""

import asyncio
import contextlib
import os
import pathlib

from tests import platformfleet
from tests import relaycallers

MIB = 1_048_576
# What each kind of client sends, at most.
BODY_BYTES = 4 * MIB
TINY_CHUNKS = MIB
HEADER_BYTES = 16_384
_PIECE_BYTES = 65_536
_LARGE_CHUNK_BYTES = 262_144
# Time in which a client writes, gets an answer or is closed; generous, since
# nothing here is about speed.
_PATIENCE_S = 60.0
_RETRY_S = 0.1


def head(path, call_id, *lines, method='POST', key=platformfleet.KEY):
    """Return the head of a request without its last empty line."""
    first = [
        f'{method} {path} HTTP/1.1',
        f'Host: {platformfleet.HOST}',
        f'Parsleystile-Attempt-Id: {call_id}',
        f'Authorization: Bearer {key}',
    ]
    return ('\r\n'.join([*first, *lines]) + '\r\n').encode()


def _work(work_ms=0, size=1):
    return f'/reserve/x?work_ms={work_ms}&size={size}&children=0'


def upload(number, *lines, work_ms=0):
    return head(_work(work_ms), f'crowd-{number}', *lines) + b'\r\n'


def _pieces(data):
    return [
        data[i : i + _PIECE_BYTES] for i in range(0, len(data), _PIECE_BYTES)
    ]


def _chunked(data, size):
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)


def long_heads(number):
    """A head over the limit, whole."""
    line = f'X-Long: {"x" * MIB}'
    return [head(_work(), f'crowd-{number}', line) + b'\r\n']


def endless_heads(number):
    """A head of long lines that never ends."""
    return [head(_work(), f'crowd-{number}')] + [
        f'X-{i}: {"x" * 1000}\r\n'.encode() for i in range(1000)
    ]


def many_headers(number):
    """A head within the limit with as many headers as it holds."""
    start = head(_work(), f'crowd-{number}')
    lines = [b'%x:y%x\r\n' % (i, i) for i in range(16**3, 2 * 16**3)]
    count = (HEADER_BYTES - len(start) - 2) // len(lines[0])
    return [start + b''.join(lines[:count])]


def empty_lines(number):
    """Empty lines without a request."""
    return [b'\r\n' * (_PIECE_BYTES // 2)] * 16


def short_bodies(number):
    """A body of the largest size at once, without its last byte."""
    start = upload(number, f'Content-Length: {BODY_BYTES}')
    return [start + bytes(BODY_BYTES - 1)]


def short_pieces(number):
    """The same piece by piece."""
    return _pieces(short_bodies(number)[0])


def whole_bodies(number):
    """Whole bodies of the largest size, for a target that takes its time."""
    start = upload(number, f'Content-Length: {BODY_BYTES}', work_ms=1000)
    return [start + bytes(BODY_BYTES)]


def queued_bodies(number):
    """Whole bodies behind a request that takes its time."""
    start = upload(number, 'Content-Length: 0', work_ms=1500)
    behind = upload(f'{number}-b', f'Content-Length: {BODY_BYTES // 4}')
    return [start] + [behind + bytes(BODY_BYTES // 4)] * 4


def large_chunks(number):
    """A body of large chunks that stops before its end."""
    start = upload(number, 'Transfer-Encoding: chunked')
    data = _chunked(bytes(BODY_BYTES - 1), _LARGE_CHUNK_BYTES)
    return _pieces(start + data)


def whole_chunks(number):
    """A whole body of the largest size in chunks."""
    start = upload(f'{number}-c', 'Transfer-Encoding: chunked')
    data = _chunked(bytes(BODY_BYTES), _LARGE_CHUNK_BYTES)
    return [start + data + b'0\r\n\r\n']


def tiny_chunks(number):
    """A body of chunks of one byte that stops before its end."""
    start = upload(number, 'Transfer-Encoding: chunked')
    return _pieces(start + b'1\r\nx\r\n' * TINY_CHUNKS)


def large_answers(number):
    """A request for a large answer that the client doesn't read."""
    path = _work(size=BODY_BYTES)
    return [head(path, f'crowd-{number}', 'Content-Length: 0') + b'\r\n']


class Client:
    """Sends what it has and then stays, without reading."""

    def __init__(self, writer, reader):
        self._writer = writer
        self._reader = reader

    async def send(self, parts):
        """Send all parts, unless the node ends the connection first."""
        with contextlib.suppress(*relaycallers.CLOSED):
            async with asyncio.timeout(_PATIENCE_S):
                for part in parts:
                    self._writer.write(part)
                    await self._writer.drain()

    async def first_status(self):
        """Return the status of the first answer; None for a closed end."""
        try:
            async with asyncio.timeout(_PATIENCE_S):
                return (await relaycallers.read_answer(self._reader))[:2]
        except relaycallers.CLOSED:
            return None

    def close(self):
        self._writer.transport.abort()


async def connect_all(address, source, count):
    """Return connected clients."""
    pairs = [await relaycallers.connect(address, source) for _ in range(count)]
    return [Client(writer, reader) for reader, writer in pairs]


async def ask(address, source, data):
    """Send a whole request on a new connection; return status and headers."""
    reader, writer = await relaycallers.connect(address, source)
    try:
        writer.write(data)
        async with asyncio.timeout(_PATIENCE_S):
            return (await relaycallers.read_answer(reader))[:2]
    finally:
        writer.transport.abort()


async def ask_until_served(address, source, name):
    """Send an ordinary request until a target serves it."""
    async with asyncio.timeout(_PATIENCE_S):
        number = 0
        while True:
            number += 1
            lines = head(_work(), f'{name}-{number}', 'Content-Length: 3')
            with contextlib.suppress(*relaycallers.CLOSED):
                found = await ask(address, source, lines + b'\r\n123')
                if found[0] == 200:
                    return
            await asyncio.sleep(_RETRY_S)


def peak_bytes(pid):
    """Return the largest resident memory of a living process so far."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(ln for ln in text.splitlines() if ln.startswith('VmHWM:'))
    return int(line.split()[1]) * 1024


def open_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{pid}/fd'))
