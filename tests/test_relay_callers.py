"""Connections of callers that read ahead, leave or meet failing handlers."""

import asyncio
import contextlib
import socket

import pytest
import uvloop

from parsleystile import clock as clocks
from parsleystile.relay import httpserver
from tests import asyncutil

_LOOPS = [asyncio.SelectorEventLoop, uvloop.new_event_loop]


class _Server:
    def __init__(self, on_request=None):
        self.requests = []
        self.cut = []
        self._on_request = on_request
        self.server = httpserver.http_server(
            clocks.system_clock(), frozenset(), self._handle
        )

    def _handle(self, request):
        self.requests.append(request)
        request.on_disconnect = lambda why: self.cut.append(request.path)
        if self._on_request is not None:
            self._on_request(request)

    async def connect(self):
        address = await self.server.listen('127.0.0.1', 0)
        return await asyncio.open_connection(*address)


def _get(path):
    return f'GET {path} HTTP/1.1\r\n\r\n'.encode()


@pytest.mark.parametrize('loop', _LOOPS)
def test_answers_to_a_pipelining_caller_do_not_unbound_its_queue(loop):
    async def body():
        server = _Server()
        reader, writer = await server.connect()
        reading = asyncio.ensure_future(reader.read(-1))
        writer.write(_get('/x') * 200_000)
        await asyncutil.wait_until(lambda: server.requests)
        await asyncio.sleep(0.05)
        before = server.server.owed_requests
        for number in range(20):
            await asyncutil.wait_until(
                lambda number=number: len(server.requests) > number
            )
            server.requests[number].answer(200, [], b'ok')
            await asyncio.sleep(0.01)
        after = server.server.owed_requests
        reading.cancel()
        server.server.close()
        assert after <= before

    asyncutil.run(body(), loop)


@pytest.mark.parametrize('loop', _LOOPS)
def test_a_caller_that_leaves_while_reading_is_paused_is_noticed(loop):
    async def body():
        server = _Server()
        _, writer = await server.connect()
        writer.write(_get('/x') * 40)
        await asyncutil.wait_until(lambda: server.requests)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        server.server.close_overdue()
        await asyncutil.wait_until(lambda: server.cut)
        assert server.cut == ['/x']
        server.server.close()

    asyncutil.run(body(), loop)


@pytest.mark.parametrize('loop', _LOOPS)
def test_a_failing_handler_does_not_hold_its_caller(loop):
    async def body():
        def fail(request):
            raise KeyError(request.path)

        server = _Server(fail)
        reader, writer = await server.connect()
        writer.write(_get('/x'))
        try:
            async with asyncio.timeout(0.5):
                await reader.read()
        finally:
            server.server.close()

    asyncutil.run(body(), loop)


@pytest.mark.parametrize('loop', _LOOPS)
def test_a_handler_that_fails_at_shutdown_does_not_stop_the_others(loop):
    async def body():
        server = _Server()
        answered = []

        def fail():
            raise KeyError

        address = await server.server.listen('127.0.0.1', 0)
        callers = [await asyncio.open_connection(*address) for _ in range(8)]
        for i, (_, writer) in enumerate(callers):
            writer.write(_get(f'/{i}'))
        await asyncutil.wait_until(lambda: len(server.requests) == 8)
        for request in server.requests:
            request.on_shutdown = lambda r=request: (
                answered.append(r.path),
                r.answer(503, [], b''),
            )
        server.requests[3].on_shutdown = fail
        with contextlib.suppress(KeyError):
            server.server.answer_open()
        server.server.close()
        assert len(answered) == 7

    asyncutil.run(body(), loop)


@pytest.mark.parametrize('loop', _LOOPS)
def test_a_request_behind_a_large_answer_is_answered_by_the_shutdown(loop):
    async def body():
        server = _Server()
        reader, writer = await server.connect()
        writer.write(_get('/1') + _get('/2'))
        await asyncutil.wait_until(lambda: server.requests)
        server.requests[0].answer(200, [], b'x' * 20_000_000)
        await asyncio.sleep(0.05)
        assert len(server.requests) == 1
        shutdown = asyncio.ensure_future(server.server.shut_down(2_000.0))
        reading = asyncio.ensure_future(reader.read())
        await asyncutil.wait_until(lambda: len(server.requests) == 2)
        server.requests[1].answer(503, [], b'')
        data = await reading
        writer.close()
        await shutdown
        assert b'HTTP/1.1 503 ' in data
        assert server.cut == []

    asyncutil.run(body(), loop)


@pytest.mark.parametrize('loop', _LOOPS)
def test_connections_in_the_accept_queue_are_served_by_the_shutdown(loop):
    async def body():
        server = _Server(lambda request: request.answer(503, [], b''))
        address = await server.server.listen('127.0.0.1', 0)
        await asyncio.sleep(0.01)
        # The loop does not accept while these callers connect and send.
        callers = [socket.create_connection(address) for _ in range(20)]
        for sock in callers:
            sock.sendall(_get('/x'))
        await server.server.shut_down(1_000.0)
        for sock in callers:
            sock.settimeout(1.0)
            assert sock.recv(100).startswith(b'HTTP/1.1 503 ')
            sock.close()

    asyncutil.run(body(), loop)


@pytest.mark.parametrize('loop', _LOOPS)
def test_no_connection_is_accepted_after_the_shutdown(loop):
    async def body():
        server = _Server()
        address = await server.server.listen('127.0.0.1', 0)
        await server.server.shut_down(1_000.0)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)

    asyncutil.run(body(), loop)


_HEAD = b'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
_ENDLESS = {
    'header': (b'GET /x HTTP/1.1\r\nA: ', b'x' * 4096),
    'headers': (b'GET /x HTTP/1.1\r\n', b'A: b\r\n' * 700),
    'header behind a request': (_get('/1') + b'GET /x HTTP/1.1\r\nA: ', b'x'),
    'chunk extension': (_HEAD + b'1;', b'x' * 4096),
    'trailer': (_HEAD + b'1\r\nx\r\n0\r\nA: ', b'x' * 4096),
    'trailers': (_HEAD + b'1\r\nx\r\n0\r\n', b'A: b\r\n' * 700),
}


@pytest.mark.parametrize('name', _ENDLESS)
def test_a_request_without_end_is_rejected(name):
    start, part = _ENDLESS[name]

    async def body():
        rejected = []
        server = _Server(lambda request: request.answer(200, [], b''))
        server.server.on_rejected = lambda status, why: rejected.append(status)
        reader, writer = await server.connect()
        writer.write(start)
        sent_bytes = 0
        while not rejected:
            assert sent_bytes < 4_000_000
            # Several reads of the server, each with a part of the request.
            writer.write(part * (8192 // len(part)))
            sent_bytes += 8192
            await asyncio.sleep(0.001)
        assert rejected == [431]
        data = await reader.read()
        assert data.endswith(b'header bytes')
        writer.close()

    asyncutil.run(body())


def test_a_trailer_does_not_pass_for_a_header():
    async def body():
        server = _Server(lambda request: request.answer(200, [], b''))
        reader, writer = await server.connect()
        writer.write(_HEAD + b'1\r\nx\r\n0\r\nAuthorization: Bearer k\r\n\r\n')
        await asyncutil.wait_until(lambda: server.requests)
        (request,) = server.requests
        assert request.headers == ['Transfer-Encoding', 'chunked']
        assert request.body == b'x'
        writer.close()
        server.server.close()

    asyncutil.run(body())


@pytest.mark.parametrize('loop', _LOOPS)
def test_a_body_that_trickles_has_a_time_of_its_own(loop):
    async def body():
        server = _Server()
        reader, writer = await server.connect()
        writer.write(b'POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\n1')
        (connection,) = await _opened(server)
        await asyncutil.wait_until(lambda: connection._body_bytes)
        server.server.close_overdue()
        assert not connection._rejection
        server.server.body_timeout_ms = -1.0
        server.server.close_overdue()
        assert (await reader.readline()).startswith(b'HTTP/1.1 408 ')
        server.server.close()

    asyncutil.run(body(), loop)


async def _opened(server):
    await asyncutil.wait_until(lambda: server.server.connections)
    return server.server.connections
