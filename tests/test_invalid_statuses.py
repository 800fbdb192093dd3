"""Answers of a target whose status is none of the protocol, on both paths."""

import asyncio

import pytest

from parsleystile import clock as clocks
from parsleystile.relay import httpclient
from parsleystile import targetclient
from tests import asyncutil
from tests import endlesstarget

_ECHO = 'X-Call-Id'
# Shorter than any deadline of a caller.
_PROMPT_S = 5.0
_INVALID = ['000', '001', '099', '600', '999']


def _answer(status):
    return (
        f'HTTP/1.1 {status} Odd\r\n{_ECHO}: c1\r\nContent-Length: 2\r\n\r\nok'
    ).encode()


async def _relay_result(port):
    origin = httpclient.origin_client(
        '127.0.0.1', port, clocks.system_clock(), _ECHO
    )
    box = asyncutil.CallbackResult()
    data = f'GET / HTTP/1.1\r\nHost: h\r\n{_ECHO}: c1\r\n\r\n'
    origin.send(httpclient.OutboundRequest(data.encode(), 'c1'), box.put)
    try:
        return await box.get()
    finally:
        origin.close()


async def _curl_result(port):
    client = targetclient.target_client(1000)
    box = asyncutil.CallbackResult()
    request = targetclient.TargetRequest(
        'GET', f'http://127.0.0.1:{port}/x', [], b'', 60_000.0
    )
    client.send(request, box.put)
    try:
        return await box.get()
    finally:
        client.close()


@pytest.mark.parametrize('status', _INVALID)
@pytest.mark.parametrize('send', [_relay_result, _curl_result])
def test_an_answer_with_an_invalid_status_is_a_failure_at_once(send, status):
    async def body():
        # Says nothing more after the answer, and keeps the connection.
        target = endlesstarget.EndlessTarget(_answer(status), b'', 0)
        async with asyncio.timeout(_PROMPT_S):
            result = await send(await target.listen())
            await asyncutil.wait_until(lambda: target.closed == 1)
        endlesstarget.assert_rejected(result, f'status {status}')

    asyncutil.run(body())


@pytest.mark.parametrize('status', [200, 299, 404, 599])
@pytest.mark.parametrize('send', [_relay_result, _curl_result])
def test_a_valid_status_is_passed_on_behind_interim_answers(send, status):
    async def body():
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        target = endlesstarget.EndlessTarget(interim + _answer(status), b'', 0)
        async with asyncio.timeout(_PROMPT_S):
            result = await send(await target.listen())
        assert result.status == status
        assert result.body == b'ok'

    asyncutil.run(body())
