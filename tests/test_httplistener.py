import asyncio
import contextlib
import os
import socket

import pytest

from parsleystile import clock
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import httplistener
from parsleystile import metrics
from parsleystile import settings
from tests import asyncutil

_GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
_POST = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody'
_GET_AND_CLOSE = _GET.replace(b'Host', b'Connection: close\r\nHost')


class _Listener:
    """A listener on a real socket whose exchanges are answered by a test."""

    def __init__(self, **limits):
        self.clock = clock.manual_clock()
        self.metrics = metrics.memory_metrics()
        self.received = []
        self.http = httplistener.http_listener(
            self.received.append,
            self.clock,
            self.metrics,
            settings.Limits(**limits),
        )
        self.port = self.http.listen('127.0.0.1', 0)

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def arrived(self, count):
        await asyncutil.wait_until(lambda: len(self.received) >= count)
        return self.received[count - 1]


@contextlib.asynccontextmanager
async def _open(**limits):
    listener = _Listener(**limits)
    try:
        yield listener
    finally:
        listener.http.stop_listening()
        await listener.http.close()


async def _read_answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    length = 0
    for line in head.lower().split('\r\n'):
        if line.startswith('content-length:'):
            length = int(line.split(':')[1])
    return head, await reader.readexactly(length)


def test_answers_are_sent_in_order_on_one_connection():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            for count in (1, 2):
                writer.write(_GET)
                exchange = await listener.arrived(count)
                text = b'%d' % count
                exchange.finish(exchanges.Answer(200, ['A', 'b'], text))
                head, content = await _read_answer(reader)
                assert content == text
                assert 'X-Parsleystile-Outcome: answered' in head
            writer.close()

    asyncutil.run(body())


def test_a_refusal_is_sent_as_a_problem_document_with_its_outcome():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET)
            refusal = errors.not_run(errors.Reason.SHED, 'full', 1500)
            (await listener.arrived(1)).finish(refusal)
            head, content = await _read_answer(reader)
            assert head.startswith('HTTP/1.1 503')
            assert 'X-Parsleystile-Outcome: not-run' in head
            assert 'Retry-After: 2' in head
            assert b'"outcome": "not-run"' in content
            writer.close()

    asyncutil.run(body())


def test_a_disconnect_of_the_caller_cancels_its_request():
    async def body():
        async with _open() as listener:
            _, writer = await listener.connect()
            writer.write(_GET)
            exchange = await listener.arrived(1)
            writer.close()
            cancelled = exchanges.ExchangeState.CANCELLED
            await asyncutil.wait_until(lambda: exchange.state is cancelled)
            assert listener.http.open_count == 0
            # An answer after the cancellation has no effect.
            exchange.finish(exchanges.Answer(200, [], b''))

    asyncutil.run(body())


@pytest.mark.parametrize(
    'data',
    [
        b'nonsense\r\n\r\n',
        b'\x00\x01\x02\r\n\r\n',
        b'GET /x HTTP/1.1\r\nHost: a\r\n' + b'A: ' + b'x' * 9000 + b'\r\n\r\n',
        b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n',
        b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
        b'Content-Length: 2\r\n\r\nab',
        b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n',
        b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    ],
)
def test_an_invalid_or_too_large_request_closes_only_its_connection(data):
    async def body():
        async with _open(body_bytes=1000, header_bytes=4000) as listener:
            reader, writer = await listener.connect()
            writer.write(data)
            response = await reader.read()
            assert response == b'' or response.startswith(b'HTTP/1.1 4')
            other_reader, other = await listener.connect()
            before = len(listener.received)
            other.write(_GET)
            exchange = await listener.arrived(before + 1)
            exchange.finish(exchanges.Answer(200, [], b'ok'))
            assert (await _read_answer(other_reader))[1] == b'ok'
            other.close()

    asyncutil.run(body())


def test_a_request_that_is_not_received_in_time_closes_its_connection():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(
                b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab'
            )
            await asyncutil.wait_until(lambda: listener.http.is_reading_body)
            listener.clock.advance(11_000)
            listener.http.sweep()
            assert await reader.read() == b''
            assert listener.metrics.counters['http.slow_requests'] == 1
            assert listener.received == []
            writer.close()

    asyncutil.run(body())


def test_connections_beyond_the_limit_are_closed():
    async def body():
        async with _open(connections=1) as listener:
            _, first = await listener.connect()
            first.write(_GET)
            await listener.arrived(1)
            reader, second = await listener.connect()
            second.write(_GET)
            assert await reader.read() == b''
            assert len(listener.received) == 1
            first.close()
            second.close()

    asyncutil.run(body())


def test_closed_connections_do_not_count_toward_the_limit():
    async def body():
        async with _open(connections=2) as listener:
            for count in range(1, 6):
                reader, writer = await listener.connect()
                writer.write(_GET_AND_CLOSE)
                exchange = await listener.arrived(count)
                exchange.finish(exchanges.Answer(200, [], b'ok'))
                assert (await _read_answer(reader))[1] == b'ok'
                assert await reader.read() == b''
                writer.close()

    asyncutil.run(body())


def test_calls_beyond_the_limit_are_refused_as_not_run():
    async def body():
        async with _open(calls_in_flight=1) as listener:
            _, first = await listener.connect()
            first.write(_GET)
            await listener.arrived(1)
            reader, second = await listener.connect()
            second.write(_GET)
            head, _ = await _read_answer(reader)
            assert 'X-Parsleystile-Outcome: not-run' in head
            assert len(listener.received) == 1
            first.close()
            second.close()

    asyncutil.run(body())


def test_head_and_204_have_no_body():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET.replace(b'GET', b'HEAD'))
            answer = exchanges.Answer(200, ['Content-Length', '7'], b'')
            (await listener.arrived(1)).finish(answer)
            head = await reader.readuntil(b'\r\n\r\n')
            assert b'Content-Length: 7' in head
            writer.write(_GET)
            (await listener.arrived(2)).finish(exchanges.Answer(204, [], b''))
            head, content = await _read_answer(reader)
            assert head.startswith('HTTP/1.1 204')
            assert content == b''
            writer.close()

    asyncutil.run(body())


def test_a_refused_head_request_gets_an_answer_without_a_body():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET.replace(b'GET', b'HEAD') + _GET)
            refusal = errors.not_run(errors.Reason.SHED, 'full', 1500)
            (await listener.arrived(1)).finish(refusal)
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 503')
            assert b'X-Parsleystile-Outcome: not-run' in head
            (await listener.arrived(2)).finish(exchanges.Answer(204, [], b''))
            assert (await _read_answer(reader))[0].startswith('HTTP/1.1 204')
            writer.close()

    asyncutil.run(body())


def test_a_connection_in_the_accept_queue_is_served_when_the_listener_stops():
    async def body():
        async with _open() as listener:
            # Blocking calls, so that the loop cannot accept in between.
            caller = socket.create_connection(('127.0.0.1', listener.port))
            caller.sendall(_GET)
            listener.http.stop_listening()
            reader, writer = await asyncio.open_connection(sock=caller)
            exchange = await listener.arrived(1)
            exchange.finish(exchanges.Answer(200, [], b'ok'))
            assert (await _read_answer(reader))[1] == b'ok'
            writer.close()
            with pytest.raises(ConnectionRefusedError):
                await listener.connect()

    asyncutil.run(body())


@pytest.mark.parametrize('sent_bytes', [10, len(_POST) - 1])
def test_a_request_that_is_being_sent_is_owed_an_answer(sent_bytes):
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_POST[:sent_bytes])
            await asyncutil.wait_until(lambda: listener.http.owed_count == 1)
            listener.http.stop_listening()
            writer.write(_POST[sent_bytes:])
            exchange = await listener.arrived(1)
            assert listener.http.owed_count == 1
            exchange.finish(exchanges.Answer(200, [], b'ok'))
            assert (await _read_answer(reader))[1] == b'ok'
            await asyncutil.wait_until(lambda: listener.http.owed_count == 0)
            writer.close()

    asyncutil.run(body())


def test_an_answer_that_the_caller_has_not_taken_is_owed():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET)
            exchange = await listener.arrived(1)
            exchange.finish(exchanges.Answer(200, [], b'x' * 16_000_000))
            await asyncio.sleep(0)
            assert listener.http.open_count == 0
            assert listener.http.owed_count == 1
            assert len((await _read_answer(reader))[1]) == 16_000_000
            await asyncutil.wait_until(lambda: listener.http.owed_count == 0)
            writer.close()

    asyncutil.run(body())


def test_an_idle_connection_is_owed_nothing():
    async def body():
        async with _open() as listener:
            _, writer = await listener.connect()
            writer.write(_GET)
            exchange = await listener.arrived(1)
            exchange.finish(exchanges.Answer(204, [], b''))
            await asyncutil.wait_until(lambda: listener.http.owed_count == 0)
            writer.close()

    asyncutil.run(body())


def test_only_the_last_pipelined_answer_closes_the_connection():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET * 3)
            await listener.arrived(1)
            listener.http.stop_listening()
            closes = []
            for count in (1, 2, 3):
                exchange = await listener.arrived(count)
                exchange.finish(exchanges.Answer(200, [], b'ok'))
                head, _ = await _read_answer(reader)
                closes.append('Connection: close' in head)
            assert closes == [False, False, True]
            writer.close()

    asyncutil.run(body())


def test_a_running_request_gets_an_answer_when_the_listener_closes():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET)
            exchange = await listener.arrived(1)
            cancels = []
            exchange.cancel_send = lambda: cancels.append(exchange)
            await listener.http.close()
            head, _ = await _read_answer(reader)
            assert head.startswith('HTTP/1.1 503')
            assert 'X-Parsleystile-Outcome: unknown' in head
            assert cancels == [exchange]
            assert await reader.read() == b''
            writer.close()

    asyncutil.run(body())


@pytest.mark.parametrize('sent', [_GET[:10], _POST[:-1]])
def test_a_request_being_sent_is_refused_when_the_listener_closes(sent):
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET)
            exchange = await listener.arrived(1)
            exchange.finish(exchanges.Answer(204, [], b''))
            await _read_answer(reader)
            writer.write(sent)
            await asyncutil.wait_until(lambda: listener.http.owed_count == 1)
            await listener.http.close()
            head, _ = await _read_answer(reader)
            assert head.startswith('HTTP/1.1 503')
            assert 'X-Parsleystile-Outcome: not-run' in head
            assert 'Retry-After: 1' in head
            assert await reader.read() == b''
            assert len(listener.received) == 1
            writer.close()

    asyncutil.run(body())


def test_an_idle_connection_ends_without_an_answer_when_the_listener_closes():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET)
            exchange = await listener.arrived(1)
            exchange.finish(exchanges.Answer(204, [], b''))
            await _read_answer(reader)
            await asyncutil.wait_until(lambda: not listener.http.owed_count)
            await listener.http.close()
            assert await reader.read() == b''
            writer.close()

    asyncutil.run(body())


def test_idle_connections_end_at_once_when_the_listener_closes():
    # A request that comes between the decision and the end would be lost.
    async def body():
        async with _open() as listener:
            _, busy = await listener.connect()
            busy.write(_POST[:-1])
            reader, idle = await listener.connect()
            idle.write(_GET)
            exchange = await listener.arrived(1)
            exchange.finish(exchanges.Answer(204, [], b''))
            await _read_answer(reader)
            await asyncutil.wait_until(lambda: listener.http.owed_count == 1)
            closing = asyncio.get_running_loop().create_task(
                listener.http.close()
            )
            # The close waits for the busy connection after its first step.
            await asyncio.sleep(0)
            assert _is_ended(idle)
            assert not closing.done()
            await closing
            busy.close()
            idle.close()

    asyncutil.run(body())


def _is_ended(writer):
    """Return whether the peer has ended the connection; reads nothing."""
    descriptor = os.dup(writer.get_extra_info('socket').fileno())
    with socket.socket(fileno=descriptor) as sock:
        sock.setblocking(False)
        try:
            return sock.recv(1, socket.MSG_PEEK) == b''
        except BlockingIOError:
            return False


def test_a_close_with_unread_bytes_does_not_reset_the_last_answer():
    async def body():
        async with _open() as listener:
            reader, writer = await listener.connect()
            writer.write(_GET)
            exchange = await listener.arrived(1)
            # Pipelined requests stay unread while the first one runs.
            writer.write(_GET * 20_000)
            exchange.cancel_send = lambda: None
            await listener.http.close()
            assert (await _read_answer(reader))[0].startswith('HTTP/1.1 503')
            writer.close()

    asyncutil.run(body())
