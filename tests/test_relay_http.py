"""HTTP client and server of the relay, with valid and invalid peers."""

import asyncio
import random
import socket
import string
import struct

import pytest

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile.relay import httpclient
from parsleystile.relay import httpserver
from parsleystile.relay import policy
from tests import asyncutil

_ECHO = 'X-Call-Id'


def _answer(call_id, body=b'hi', extra=''):
    head = f'HTTP/1.1 200 OK\r\n{_ECHO}: {call_id}\r\n{extra}'
    return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body


def _head_answer(call_id):
    return _answer(call_id, b'hello')[: -len(b'hello')]


class _Target:
    """Answers the requests of each connection according to a script.

    The script gets the number of the request, from 1, and returns a step or a
    list of steps: bytes to send, a pause in seconds, None to close the
    connection or 'reset' to reset it.
    """

    def __init__(self, script):
        self._script = script
        self.requests = 0
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        clock = clocks.system_clock()
        return httpclient.origin_client('127.0.0.1', port, clock, _ECHO)

    async def _serve(self, reader, writer):
        self.connections += 1
        while True:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            self.requests += 1
            steps = self._script(self.requests)
            for step in steps if isinstance(steps, list) else [steps]:
                if step is None:
                    writer.close()
                    return
                if step == 'reset':
                    sock = writer.get_extra_info('socket')
                    sock.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack('ii', 1, 0),
                    )
                    writer.transport.abort()
                    return
                if isinstance(step, float):
                    await asyncio.sleep(step)
                else:
                    writer.write(step)


async def _send(origin, call_id, **fields):
    box = asyncutil.CallbackResult()
    data = f'GET / HTTP/1.1\r\nHost: h\r\n{_ECHO}: {call_id}\r\n\r\n'
    origin.send(
        httpclient.OutboundRequest(data.encode(), call_id, **fields), box.put
    )
    return await box.get()


def _run(script, count=1):
    """Send requests in sequence; return the results, target and client."""

    async def body():
        target = _Target(script)
        origin = await target.start()
        results = [await _send(origin, f'c{i + 1}') for i in range(count)]
        origin.close()
        return results, target, origin

    return asyncutil.run(body())


class TestAnswers:
    def test_connections_are_reused(self):
        results, target, _ = _run(lambda n: _answer(f'c{n}'), 5)
        assert [r.status for r in results] == [200] * 5
        assert target.connections == 1

    def test_an_answer_to_head_ends_with_its_headers(self):
        async def body():
            target = _Target(lambda n: _head_answer(f'c{n}'))
            origin = await target.start()
            first = await _send(origin, 'c1', is_head=True)
            second = await _send(origin, 'c2', is_head=True)
            origin.close()
            return first, second

        first, second = asyncutil.run(body())
        assert (first.status, first.body) == (200, b'')
        assert second.headers == [_ECHO, 'c2', 'Content-Length', '5']

    def test_connection_close_in_an_answer_is_honoured(self):
        results, target, _ = _run(
            lambda n: _answer(f'c{n}', extra='Connection: close\r\n'), 3
        )
        assert [r.body for r in results] == [b'hi'] * 3
        assert target.connections == 3

    def test_an_immediate_extra_answer_closes_the_connection(self):
        results, target, _ = _run(
            lambda n: _answer(f'c{n}') + _answer('other', b'stray'), 3
        )
        assert [r.body for r in results] == [b'hi'] * 3
        assert target.connections == 3

    def test_an_extra_answer_while_idle_closes_the_connection(self):
        async def body():
            target = _Target(
                lambda n: [_answer(f'c{n}'), 0.02, _answer(f'c{n}', b'late')]
            )
            origin = await target.start()
            first = await _send(origin, 'c1')
            await asyncutil.wait_until(lambda: origin.unsolicited_answers)
            second = await _send(origin, 'c2')
            return first, second, target.connections

        first, second, connections = asyncutil.run(body())
        assert first.body == second.body == b'hi'
        assert connections == 2

    def test_a_late_answer_to_an_earlier_request_is_skipped(self):
        def script(n):
            if n == 1:
                return _answer('c1')
            return _answer('c1', b'again') + _answer(f'c{n}', b'ours')

        results, _, origin = _run(script, 2)
        assert results[1].body == b'ours'
        assert origin.unsolicited_answers == 1

    def test_an_answer_without_echo_is_rejected(self):
        results, _, _ = _run(
            lambda n: b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        )
        assert results[0].outcome is errors.Outcome.UNKNOWN

    @pytest.mark.parametrize(
        'steps',
        [
            [_answer('c1')[:-1], None],
            [_answer('c1')[:20], None],
            [_answer('c1')[:-1], 'reset'],
            [b'HTTP/9.9 what\r\n\r\n'],
            [b'\x00\x01\x02\x03\r\n\r\n'],
            [None],
            ['reset'],
        ],
        ids=[
            'short-body',
            'short-head',
            'reset-in-body',
            'bad-version',
            'rubbish',
            'closed',
            'reset',
        ],
    )
    def test_an_incomplete_or_invalid_answer_is_unknown(self, steps):
        results, _, _ = _run(lambda n: steps)
        assert results[0].outcome is errors.Outcome.UNKNOWN

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        head = f'HTTP/1.1 200 OK\r\n{_ECHO}: c1\r\n\r\n'.encode()
        results, _, _ = _run(lambda n: [head + b'some', 0.01, b' more', None])
        assert results[0].body == b'some more'

    def test_an_answer_without_a_length_that_is_reset_is_unknown(self):
        head = f'HTTP/1.1 200 OK\r\n{_ECHO}: c1\r\n\r\n'.encode()
        results, _, _ = _run(lambda n: [head + b'some', 0.02, 'reset'])
        assert results[0].outcome is errors.Outcome.UNKNOWN

    def test_a_refused_connection_means_not_run(self):
        async def body():
            clock = clocks.system_clock()
            target = _Target(lambda n: None)
            origin = await target.start()
            target._server.close()
            await target._server.wait_closed()
            origin = httpclient.origin_client(
                '127.0.0.1', origin.port, clock, _ECHO
            )
            return await _send(origin, 'c1')

        refusal = asyncutil.run(body())
        assert refusal.outcome is errors.Outcome.NOT_RUN
        assert refusal.reason is errors.Reason.UNREACHABLE

    def test_a_new_connection_that_closes_before_its_use_means_not_run(self):
        async def body():
            target = _Target(lambda n: None)
            origin = await target.start()
            loop = origin._loop

            class SlowLoop:
                create_task = loop.create_task

                async def create_connection(self, *args):
                    result = await loop.create_connection(*args)
                    result[0].abort()
                    await asyncio.sleep(0.01)
                    return result

            origin._loop = SlowLoop()
            return await _send(origin, 'c1')

        refusal = asyncutil.run(body())
        assert refusal.outcome is errors.Outcome.NOT_RUN
        # An origin resets connections above its limit and still serves.
        assert refusal.reason is errors.Reason.TARGET_FAILED

    def test_idle_connections_are_not_reused_beyond_their_timeout(self):
        keep = 'Keep-Alive: timeout=1\r\n'
        _, target, _ = _run(lambda n: _answer(f'c{n}', extra=keep), 3)
        # The safety margin uses up the whole second that the target allows.
        assert target.connections == 3

    def test_a_cancelled_request_closes_its_connection(self):
        async def body():
            target = _Target(lambda n: [5.0, _answer(f'c{n}')])
            origin = await target.start()
            box = asyncutil.CallbackResult()
            pending = origin.send(
                httpclient.OutboundRequest(b'GET / HTTP/1.1\r\n\r\n', 'c1'),
                box.put,
            )
            await asyncutil.wait_until(lambda: target.requests == 1)
            pending.cancel()
            await asyncio.sleep(0.01)
            return box.count

        assert asyncutil.run(body()) == 0

    @pytest.mark.parametrize('seed', range(40))
    def test_fuzzed_answers_end_in_one_result(self, seed):
        rng = random.Random(seed)
        data = bytearray(_answer('c1', b'x' * rng.randrange(200)))
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        cut = rng.randrange(len(data) + 1)
        results, _, _ = _run(lambda n: [bytes(data[:cut]), None])
        assert len(results) == 1


class _Server:
    """A server that echoes the method, path and body of each request."""

    def __init__(self):
        self.requests = []
        self.rejected = []
        self.disconnects = 0
        self.withholds_answer = False
        self.server = httpserver.http_server(
            clocks.system_clock(),
            frozenset({'127.0.0.1'}),
            self._handle,
            lambda status, why: self.rejected.append(status),
        )

    def _handle(self, request):
        self.requests.append(request)
        request.on_disconnect = self._on_disconnect
        if not self.withholds_answer:
            body = f'{request.method} {request.path} '.encode()
            request.answer(200, ['X-A', 'b'], body + request.body)

    def _on_disconnect(self, why):
        assert why is httpserver.Disconnect.CALLER_LEFT
        self.disconnects += 1


def _exchange(data, limits=None, withholds_answer=False):
    """Send bytes to a server; return all bytes it sends, and the server."""

    async def body():
        server = _Server()
        server.withholds_answer = withholds_answer
        if limits is not None:
            server.server.limits = limits
        host, port = await server.server.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(host, port)
        for part in data if isinstance(data, list) else [data]:
            writer.write(part)
            await asyncio.sleep(0.005)
        if withholds_answer:
            writer.close()
            await asyncutil.wait_until(lambda: server.disconnects)
            return b'', server
        writer.write_eof()
        answer = await reader.read()
        server.server.close()
        return answer, server

    return asyncutil.run(body())


class TestRequests:
    def test_bodies_are_read_by_length_or_in_chunks(self):
        plain = b'POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody'
        chunked = (
            b'POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'
        )
        for data in (plain, chunked):
            parts = [data[i : i + 7] for i in range(0, len(data), 7)]
            answer, server = _exchange(parts)
            assert answer.startswith(b'HTTP/1.1 200 OK')
            assert server.requests[0].body == b'body'

    def test_an_answer_to_head_has_no_body(self):
        answer, _ = _exchange(b'HEAD /1 HTTP/1.1\r\n\r\n')
        assert answer == b'HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n'

    def test_requests_of_one_connection_are_answered_in_order(self):
        answer, _ = _exchange(
            b'GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n'
        )
        assert answer.index(b'GET /1') < answer.index(b'GET /2')

    def test_a_disconnect_is_reported(self):
        _, server = _exchange(
            b'GET /1 HTTP/1.1\r\n\r\n', withholds_answer=True
        )
        assert server.disconnects == 1

    def test_connection_close_is_honoured(self):
        answer, _ = _exchange(b'GET / HTTP/1.1\r\nConnection: close\r\n\r\n')
        assert b'Connection: close' in answer

    @pytest.mark.parametrize(
        ('data', 'status'),
        [
            (b'what is this\r\n\r\n', 400),
            (b'GET / HTTP/1.1\r\nA: ' + b'x' * 2000 + b'\r\n\r\n', 431),
            (b'GET / HTTP/1.1\r\nA: ' + b'x' * 9000, 431),
            (
                b'POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n' + b'x' * 99,
                413,
            ),
            (
                b'POST / HTTP/1.1\r\nContent-Length: 5\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                400,
            ),
        ],
        ids=['rubbish', 'head', 'endless-head', 'body', 'two-lengths'],
    )
    def test_malformed_or_oversized_requests_are_rejected(self, data, status):
        limits = policy.CallerLimits(1000, 50, 1000.0, 1000.0)
        answer, server = _exchange([data[:4000], data[4000:]], limits)
        assert server.rejected == [status]
        assert answer.startswith(f'HTTP/1.1 {status}'.encode())
        assert server.requests == []

    @pytest.mark.parametrize('seed', range(40))
    def test_fuzzed_requests_do_not_crash_the_server(self, seed):
        rng = random.Random(seed)
        alphabet = string.printable.encode() + b'\x00\xff'
        data = b'GET / HTTP/1.1\r\n' if seed % 2 else b''
        data += bytes(rng.choices(alphabet, k=rng.randrange(400)))
        _exchange(data + b'\r\n\r\n')

    def test_slow_and_idle_connections_are_closed(self):
        async def body():
            server = _Server()
            server.server.limits = policy.CallerLimits(1000, 50, 10.0, 10.0)
            host, port = await server.server.listen('127.0.0.1', 0)
            answer, slow = await asyncio.open_connection(host, port)
            slow.write(b'GET / HT')
            await asyncio.open_connection(host, port)
            await asyncutil.wait_until(
                lambda: len(server.server.connections) == 2
            )
            await asyncio.sleep(0.05)
            server.server.close_overdue()
            data = await answer.read()
            slow.close()
            await asyncutil.wait_until(lambda: not server.server.connections)
            server.server.close()
            return server.rejected, data

        rejected, data = asyncutil.run(body())
        assert rejected == [408]
        assert data.startswith(b'HTTP/1.1 408 ')
