"""Answers of a target that never end, as the relay's client receives them."""

import asyncio
import gc
import tracemalloc

import pytest

from parsleystile import clock as clocks
from parsleystile.relay import httpclient
from tests import asyncutil
from tests import endlesstarget

_ECHO = 'X-Call-Id'
# Longest time until the caller has its error, on a busy machine.
_PROMPT_S = 5.0

_HEAD = f'HTTP/1.1 200 OK\r\n{_ECHO}: c1\r\n'.encode()
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


def _send(origin, call_id='c1', **fields):
    box = asyncutil.CallbackResult()
    data = f'GET / HTTP/1.1\r\nHost: h\r\n{_ECHO}: {call_id}\r\n\r\n'
    origin.send(
        httpclient.OutboundRequest(data.encode(), call_id, **fields), box.put
    )
    return box


def _result_of(start, unit, **fields):
    """Return the result of one request and the number of bytes sent."""

    async def body():
        target = endlesstarget.EndlessTarget(start, unit, **fields)
        origin = httpclient.origin_client(
            '127.0.0.1', await target.listen(), clocks.system_clock(), _ECHO
        )
        async with asyncio.timeout(_PROMPT_S):
            result = await _send(origin).get()
            await asyncutil.wait_until(lambda: target.closed == 1)
        origin.close()
        return result, target.sent_bytes

    return asyncutil.run(body())


@pytest.mark.parametrize(
    ('start', 'unit', 'limit'),
    [
        (b'', b'\r\n', '65536 bytes'),
        (b'HTTP/1.1 200 ', b'x', '65536 bytes'),
        (_HEAD + b'A', b'a', '65536 bytes'),
        (_HEAD + b'A: ', b'a', '65536 bytes'),
        (_HEAD, b'A: ' + b'a' * 1000 + b'\r\n', '65536 bytes'),
        (_HEAD, b'A: b\r\n', '256 headers'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n', '65536 bytes'),
        (b'', b'HTTP/1.1 103 E\r\nLink: </a>\r\n\r\n', '65536 bytes'),
        (_CHUNKED, b'0', '65536 bytes'),
        (_CHUNKED + b'1;a=', b'b', '65536 bytes'),
        (_CHUNKED, b'1;a=' + b'b' * 9000 + b'\r\nx\r\n', '65536 bytes'),
        (_CHUNKED + b'0\r\n', b'A: ' + b'a' * 1000 + b'\r\n', '65536 bytes'),
        (_CHUNKED + b'1\r\nx\r\n0\r\nA: ', b'a', '65536 bytes'),
    ],
    ids=[
        'blank-lines',
        'status-line',
        'header-name',
        'header-value',
        'long-headers',
        'headers',
        'interim-answers',
        'interim-answers-with-headers',
        'chunk-size',
        'chunk-extension',
        'chunk-extensions',
        'trailers',
        'trailer',
    ],
)
def test_endless_bytes_outside_of_a_body_are_rejected(start, unit, limit):
    result, sent_bytes = _result_of(start, unit)
    endlesstarget.assert_rejected(result, limit)
    assert sent_bytes < endlesstarget.ENDLESS_BYTES


def _receive(data):
    """Return the result of a request and the peak of traced memory."""

    async def body():
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            for i in range(0, len(data), endlesstarget.BLOCK_BYTES):
                writer.write(data[i : i + endlesstarget.BLOCK_BYTES])
                await writer.drain()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        origin = httpclient.origin_client(
            '127.0.0.1',
            server.sockets[0].getsockname()[1],
            clocks.system_clock(),
            _ECHO,
        )
        result = await _send(origin).get()
        origin.close()
        return result, tracemalloc.get_traced_memory()[1]

    return asyncutil.run(body())


def _whole_answer_of(data):
    return _receive(data)[0]


def _traced(act):
    """Call a function with the memory of the process traced."""
    tracemalloc.start()
    try:
        return act()
    finally:
        tracemalloc.stop()


def test_a_body_in_one_byte_chunks_passes():
    chunks = b'00000001;a=b\r\nx\r\n' * 200_000
    result = _whole_answer_of(_CHUNKED + chunks + b'0\r\n\r\n')
    assert result.body == b'x' * 200_000


def test_a_large_head_passes():
    headers = b''.join(b'A%d: %s\r\n' % (i, b'a' * 250) for i in range(240))
    result = _whole_answer_of(_HEAD + headers + b'Content-Length: 0\r\n\r\n')
    assert len(result.headers) == 2 * 242


def test_a_large_head_before_a_large_body_passes():
    headers = b'A: %s\r\n' % (b'a' * 60_000)
    length = b'Content-Length: 3000000\r\n\r\n'
    result = _whole_answer_of(_HEAD + headers + length + b'x' * 3_000_000)
    assert len(result.body) == 3_000_000


def test_trailers_do_not_count_as_headers():
    trailer = b'Parsleystile-Not-Executed: 1\r\n\r\n'
    result = _whole_answer_of(_CHUNKED + b'2\r\nhi\r\n0\r\n' + trailer)
    assert result.body == b'hi'
    assert result.headers == [_ECHO, 'c1', 'Transfer-Encoding', 'chunked']


def test_an_answer_that_names_no_request_is_rejected_at_its_head():
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    result, sent_bytes = _result_of(head, b'8\r\nxxxxxxxx\r\n')
    endlesstarget.assert_rejected(result, 'names no request')
    assert sent_bytes < endlesstarget.ENDLESS_BYTES


def test_endless_late_answers_are_rejected():
    late = _HEAD.replace(b'c1', b'c0') + b'Content-Length: 99\r\n\r\n'
    result, sent_bytes = _result_of(b'', late + b'x' * 99)
    endlesstarget.assert_rejected(result, '4 answers')
    assert sent_bytes < endlesstarget.ENDLESS_BYTES


def test_a_late_answer_is_skipped_without_storing_its_body():
    late = _HEAD.replace(b'c1', b'c0') + b'Content-Length: 33554432\r\n\r\n'
    data = late + b'x' * 33_554_432 + _HEAD + b'Content-Length: 2\r\n\r\nhi'
    result, peak_bytes = _traced(lambda: _receive(data))
    assert result.body == b'hi'
    assert peak_bytes < 8 * 1_048_576


@pytest.mark.parametrize('length', [67_108_865, 10**15])
def test_a_declared_length_beyond_the_limit_is_rejected_at_the_head(length):
    head = _HEAD + b'Content-Length: %d\r\n\r\n' % length
    result, _ = _result_of(head, b'x', max_bytes=0)
    endlesstarget.assert_rejected(result, '67108864 bytes')


def test_a_declared_length_does_not_limit_an_answer_to_head():
    async def body():
        head = _HEAD + b'Content-Length: 67108865\r\n\r\n'
        target = endlesstarget.EndlessTarget(head, b'x', max_bytes=0)
        origin = httpclient.origin_client(
            '127.0.0.1', await target.listen(), clocks.system_clock(), _ECHO
        )
        return await _send(origin, is_head=True).get()

    assert asyncutil.run(body()).status == 200


def test_small_chunks_take_no_more_memory_than_their_body():
    # Each chunk would be an object of 48 bytes.
    data = _CHUNKED + b'2\r\nxy\r\n' * 1_000_000 + b'0\r\n\r\n'
    result, peak_bytes = _traced(lambda: _receive(data))
    assert result.body == b'xy' * 1_000_000
    assert peak_bytes < 8 * 1_048_576


def test_an_idle_connection_does_not_keep_the_last_body():
    async def body():
        length = b'Content-Length: 16777216\r\n\r\n'
        target = endlesstarget.EndlessTarget(
            _HEAD + length, b'x', max_bytes=16_777_216
        )
        origin = httpclient.origin_client(
            '127.0.0.1', await target.listen(), clocks.system_clock(), _ECHO
        )
        result = await _send(origin).get()
        assert len(result.body) == 16_777_216
        del result
        await asyncio.sleep(0)
        kept_bytes = tracemalloc.get_traced_memory()[0]
        assert target.closed == 0
        origin.close()
        return kept_bytes

    kept_bytes = _traced(lambda: asyncutil.run(body()))
    assert kept_bytes < 4 * 1_048_576


def test_a_rejected_answer_does_not_keep_its_body():
    async def body():
        target = endlesstarget.EndlessTarget(
            _CHUNKED, b'8000\r\n' + b'x' * 32768 + b'\r\n', 200_000_000
        )
        origin = httpclient.origin_client(
            '127.0.0.1', await target.listen(), clocks.system_clock(), _ECHO
        )
        gc.collect()
        gc.disable()
        try:
            result = await _send(origin).get()
            await asyncutil.wait_until(lambda: target.closed == 1)
            endlesstarget.assert_rejected(result, '67108864 bytes')
            return tracemalloc.get_traced_memory()[0]
        finally:
            gc.enable()

    kept_bytes = _traced(lambda: asyncutil.run(body()))
    assert kept_bytes < 8 * 1_048_576


def test_the_start_of_an_extra_answer_closes_the_connection():
    async def body():
        forged = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n'
        parts = [
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi' + forged[:20],
            forged[20:] + b'forged',
        ]
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            for part in parts if len(connections) == 1 else parts[:1]:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(part)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        origin = httpclient.origin_client(
            '127.0.0.1',
            server.sockets[0].getsockname()[1],
            clocks.system_clock(),
        )
        results = [await _send(origin, '').get() for _ in range(2)]
        origin.close()
        return results, len(connections)

    results, connections = asyncutil.run(body())
    assert [result.body for result in results] == [b'hi', b'hi']
    assert connections == 2


@pytest.mark.parametrize('unit', [b'x', b'\r\n', _HEAD + b'\r\n'])
@pytest.mark.parametrize('pause_s', [0.0, 0.05])
def test_endless_bytes_after_an_answer_close_the_connection(unit, pause_s):
    whole = _HEAD + b'Content-Length: 2\r\n\r\nhi'
    result, sent_bytes = _result_of(whole, unit, pause_s=pause_s)
    assert result.body == b'hi'
    assert sent_bytes < endlesstarget.ENDLESS_BYTES


@pytest.mark.parametrize('start', [b'HTTP/1.1 200 ', _HEAD + b'\r\n'])
def test_a_cancelled_trickle_is_closed(start):
    async def body():
        target = endlesstarget.EndlessTarget(start, b'x', pause_s=0.01)
        target.block = b'x'
        origin = httpclient.origin_client(
            '127.0.0.1', await target.listen(), clocks.system_clock(), _ECHO
        )
        box = asyncutil.CallbackResult()
        request = httpclient.OutboundRequest(b'GET / HTTP/1.1\r\n\r\n', 'c1')
        pending = origin.send(request, box.put)
        await asyncutil.wait_until(lambda: target.sent_bytes > 10)
        pending.cancel()
        await asyncutil.wait_until(lambda: target.closed == 1)
        origin.close()
        return box.count

    assert asyncutil.run(body()) == 0
