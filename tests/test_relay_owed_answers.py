"""A request that the HTTP server has read is answered before it closes."""

import asyncio
import re
import socket

import pytest

from parsleystile import clock as clocks
from parsleystile.relay import _httpconnection
from parsleystile.relay import httpserver
from parsleystile.relay import policy
from tests import asyncutil

_LARGE = 10_000_000


class _Server:
    """Holds requests until they are answered by the test."""

    def __init__(self, limits=None, answer_at_once=False):
        self.requests = []
        self.cut = []
        self.rejected = []
        self._answer_at_once = answer_at_once
        self.server = httpserver.http_server(
            clocks.system_clock(),
            frozenset(),
            self._handle,
            lambda status, why: self.rejected.append(status),
        )
        if limits is not None:
            self.server.limits = limits

    def _handle(self, request):
        self.requests.append(request)
        request.on_disconnect = lambda why: self.cut.append(request.path)
        if self._answer_at_once:
            self.answer(request)

    def answer(self, request, size=2):
        request.answer(200, ['X-Path', request.path], b'x' * size)

    async def answer_next(self, number, size=2):
        await asyncutil.wait_until(lambda: len(self.requests) >= number)
        self.answer(self.requests[number - 1], size)


async def _connect(server):
    host, port = await server.server.listen('127.0.0.1', 0)
    return await asyncio.open_connection(host, port)


def _get(path):
    return f'GET {path} HTTP/1.1\r\n\r\n'.encode()


def _statuses(data):
    return [int(text) for text in re.findall(rb'HTTP/1\.1 (\d+)', data)]


def test_requests_read_ahead_are_answered_by_a_closing_server():
    async def body():
        server = _Server()
        reader, writer = await _connect(server)
        writer.write(_get('/1') + _get('/2') + _get('/3'))
        await asyncutil.wait_until(lambda: server.requests)
        server.server.is_closing = True
        for number in (1, 2, 3):
            await server.answer_next(number)
        data = await reader.read()
        assert _statuses(data) == [200, 200, 200]
        assert data.count(b'Connection: close') == 1

    asyncutil.run(body())


def test_a_request_is_answered_before_a_malformed_one_behind_it():
    async def body():
        server = _Server()
        reader, writer = await _connect(server)
        writer.write(_get('/1') + b'what is this\r\n\r\n')
        await asyncutil.wait_until(lambda: server.rejected)
        await asyncio.sleep(0.01)
        assert server.cut == []
        await server.answer_next(1)
        assert _statuses(await reader.read()) == [200, 400]

    asyncutil.run(body())


def test_a_request_is_answered_before_a_too_large_one_behind_it():
    async def body():
        server = _Server(policy.CallerLimits(1000, 50, 1000.0, 1000.0))
        reader, writer = await _connect(server)
        large = b'POST /2 HTTP/1.1\r\nContent-Length: 99\r\n\r\n' + b'x' * 99
        writer.write(_get('/1') + large)
        await asyncutil.wait_until(lambda: server.rejected)
        await asyncio.sleep(0.01)
        assert server.cut == []
        await server.answer_next(1)
        assert _statuses(await reader.read()) == [200, 413]

    asyncutil.run(body())


@pytest.mark.parametrize('count', [18, 400])
def test_any_number_of_requests_read_ahead_is_answered(count):
    async def body():
        server = _Server()
        reader, writer = await _connect(server)
        writer.write(b''.join(_get(f'/{i}') for i in range(count)))
        writer.write(b'GET /last HTTP/1.1\r\nConnection: close\r\n\r\n')
        for number in range(1, count + 2):
            await server.answer_next(number)
        data = await reader.read()
        assert _statuses(data) == [200] * (count + 1)
        assert data.index(b'X-Path: /0') < data.index(b'X-Path: /last')

    asyncutil.run(body())


def test_requests_read_ahead_are_bounded():
    async def body():
        server = _Server()
        _, writer = await _connect(server)
        for _ in range(60):
            writer.write(b'POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n')
            writer.write(b'x' * 60_000)
        await asyncutil.wait_until(lambda: server.requests)
        await asyncio.sleep(0.05)
        # One being answered, 16 waiting, and the rest of a read of 256 KiB.
        assert server.server.owed_requests <= 1 + 16 + 5
        server.server.close()

    asyncutil.run(body())


def test_requests_answered_at_once_do_not_exhaust_the_stack():
    async def body():
        server = _Server(answer_at_once=True)
        reader, writer = await _connect(server)
        count = 5000
        writer.write(b''.join(_get(f'/{i}') for i in range(count)))
        writer.write(b'GET /last HTTP/1.1\r\nConnection: close\r\n\r\n')
        assert _statuses(await reader.read()) == [200] * (count + 1)

    asyncutil.run(body())


def test_large_answers_wait_for_a_slow_reader():
    async def body():
        server = _Server()
        host, port = await server.server.listen('127.0.0.1', 0)
        # A small window leaves most of each answer unsent.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(_get('/1') + _get('/2') + _get('/3'))
        received = asyncio.ensure_future(reader.readexactly(3 * _LARGE))
        for number in (1, 2, 3):
            await server.answer_next(number, _LARGE)
        await received
        assert server.cut == []
        server.server.close()

    asyncutil.run(body())


def test_an_unsent_answer_is_delivered_by_the_shutdown():
    async def body():
        server = _Server()
        reader, writer = await _connect(server)
        writer.write(_get('/1'))
        server.server.is_closing = True
        await server.answer_next(1, 3 * _LARGE)
        assert server.server.unsent_bytes
        shutdown = asyncio.ensure_future(server.server.shut_down(10_000.0))
        data = await reader.read()
        writer.close()
        await shutdown
        assert len(data.partition(b'\r\n\r\n')[2]) == 3 * _LARGE

    asyncutil.run(body())


def test_a_request_on_a_connection_just_accepted_is_answered():
    async def body():
        server = _Server(answer_at_once=True)
        reader, writer = await _connect(server)
        await asyncutil.wait_until(lambda: server.server.connections)
        server.server.is_closing = True
        shutdown = asyncio.ensure_future(server.server.shut_down(1000.0))
        await asyncio.sleep(0)
        writer.write(_get('/1'))
        assert _statuses(await reader.read()) == [200]
        writer.close()
        await shutdown

    asyncutil.run(body())


def test_a_shutdown_ends_although_a_caller_does_not_read():
    async def body():
        server = _Server()
        _, writer = await _connect(server)
        writer.write(_get('/1'))
        await server.answer_next(1, 3 * _LARGE)
        await server.server.shut_down(50.0)
        await asyncutil.wait_until(lambda: not server.server.connections)
        writer.close()

    asyncutil.run(body())


def test_a_rejected_body_does_not_reset_the_answer():
    async def body():
        server = _Server(policy.CallerLimits(1000, 50, 1000.0, 1000.0))
        host, port = await server.server.listen('127.0.0.1', 0)
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, port))
        size = 2_000_000
        head = f'POST / HTTP/1.1\r\nContent-Length: {size}\r\n\r\n'
        await loop.sock_sendall(sock, head.encode() + b'x' * 4096)
        await asyncutil.wait_until(lambda: server.rejected)
        # The caller reads only after it has sent its whole body.
        await loop.sock_sendall(sock, b'x' * (size - 4096))
        await asyncio.sleep(0.02)
        answer = await loop.sock_recv(sock, 65_536)
        assert _statuses(answer) == [413]
        sock.close()
        server.server.close()

    asyncutil.run(body())


def test_a_connection_that_the_caller_keeps_open_is_closed(monkeypatch):
    monkeypatch.setattr(_httpconnection, '_LINGER_MS', 20.0)

    async def body():
        server = _Server(policy.CallerLimits(1000, 50, 1000.0, 1000.0))
        reader, writer = await _connect(server)
        writer.write(b'what is this\r\n\r\n')
        await asyncutil.wait_until(lambda: server.rejected)
        await reader.read()
        await asyncutil.wait_until(lambda: not server.server.connections)
        writer.close()

    asyncutil.run(body())


@pytest.mark.parametrize(
    ('extra', 'statuses'),
    [('', [200]), ('Content-Length: 4\r\n', [400])],
    ids=['no-body', 'body'],
)
def test_a_request_to_upgrade_is_answered_once(extra, statuses):
    async def body():
        server = _Server(answer_at_once=True)
        reader, writer = await _connect(server)
        head = f'GET /1 HTTP/1.1\r\nConnection: upgrade\r\n{extra}'
        writer.write(f'{head}Upgrade: h2c\r\n\r\nbody'.encode())
        assert _statuses(await reader.read()) == statuses
        assert len(server.requests) == statuses.count(200)

    asyncutil.run(body())
