"""Answers of a target that never end, as the target client receives them."""

import asyncio
import gc
import tracemalloc

import pytest

from parsleystile import targetclient
from tests import asyncutil
from tests import endlesstarget

_MAX_BODY_BYTES = 1_000_000
_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Longest time until the caller has its error, on a busy machine.
_PROMPT_S = 5.0


def _send(client, port, method='GET'):
    box = asyncutil.CallbackResult()
    request = targetclient.TargetRequest(
        method, f'http://127.0.0.1:{port}/x', [], b'', 20_000.0
    )
    client.send(request, box.put)
    return box


def _result_of(start, unit, **fields):
    """Return the result of one request and the number of bytes sent."""

    async def body():
        target = endlesstarget.EndlessTarget(start, unit, **fields)
        client = targetclient.target_client(_MAX_BODY_BYTES)
        async with asyncio.timeout(_PROMPT_S):
            result = await _send(client, await target.listen()).get()
            await asyncutil.wait_until(lambda: target.closed == 1)
        client.close()
        return result, target.sent_bytes

    return asyncutil.run(body())


@pytest.mark.parametrize(
    ('start', 'unit', 'detail'),
    [
        (b'', b'\r\n', 'curl'),
        (b'HTTP/1.1 200 ', b'x', 'curl'),
        (_HEAD + b'A: ', b'a', 'curl'),
        (_HEAD, b'A: b\r\n', 'curl'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n', 'curl'),
        (_CHUNKED, b'0', 'curl'),
        (_CHUNKED + b'0\r\n', b'A: ' + b'a' * 1000 + b'\r\n', 'curl'),
        (_CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n', '1000000 bytes'),
        (_HEAD + b'\r\n', b'x', '1000000 bytes'),
    ],
    ids=[
        'blank-lines',
        'status-line',
        'header',
        'headers',
        'interim-answers',
        'chunk-size',
        'trailers',
        'chunks',
        'no-length',
    ],
)
def test_endless_answers_are_rejected(start, unit, detail):
    result, sent_bytes = _result_of(start, unit)
    endlesstarget.assert_rejected(result, detail)
    assert sent_bytes < endlesstarget.ENDLESS_BYTES


def test_a_declared_length_beyond_the_limit_is_rejected_at_the_head():
    head = _HEAD + b'Content-Length: 1000001\r\n\r\n'
    result, _ = _result_of(head, b'x', max_bytes=0)
    endlesstarget.assert_rejected(result, '1000000 bytes')


def test_a_declared_length_does_not_limit_an_answer_to_head():
    async def body():
        head = _HEAD + b'Content-Length: 1000001\r\n\r\n'
        target = endlesstarget.EndlessTarget(head, b'x', max_bytes=0)
        client = targetclient.target_client(_MAX_BODY_BYTES)
        result = await _send(client, await target.listen(), 'HEAD').get()
        client.close()
        return result

    assert asyncutil.run(body()).status == 200


def test_an_idle_handle_does_not_keep_the_last_body():
    async def body():
        head = _HEAD + b'Content-Length: 983040\r\n\r\n'
        target = endlesstarget.EndlessTarget(head, b'x', max_bytes=983_040)
        client = targetclient.target_client(_MAX_BODY_BYTES)
        port = await target.listen()
        for box in [_send(client, port) for _ in range(10)]:
            assert len((await box.get()).body) == 983_040
        del box
        gc.collect()
        kept_bytes = tracemalloc.get_traced_memory()[0]
        client.close()
        return kept_bytes

    # The end of an earlier test's garbage would be counted with it.
    gc.collect()
    tracemalloc.start()
    try:
        assert asyncutil.run(body()) < 2_000_000
    finally:
        tracemalloc.stop()
