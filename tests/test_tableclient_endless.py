"""Answers of the table service that never end."""

import asyncio
import random

import pytest

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import table
from parsleystile import tableclient
from tests import asyncutil
from tests import endlesstarget

_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_MIB = 1_048_576


@pytest.mark.parametrize(
    ('start', 'unit'),
    [
        (_HEAD, b'A: b\r\n'),
        (_HEAD + b'\r\n', b'x'),
        (_CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
        (_HEAD + b'Content-Length: 99999999\r\n\r\n', b'x'),
    ],
    ids=['headers', 'no-length', 'chunks', 'declared'],
)
def test_endless_answers_are_rejected_before_the_timeout(start, unit):
    async def body():
        target = endlesstarget.EndlessTarget(start, unit, 256 * _MIB)
        client = tableclient.table_client(
            f'http://127.0.0.1:{await target.listen()}',
            'a',
            clocks.system_clock(),
            random.Random(1),
            tableclient.TableLimits(timeout_ms=15_000.0),
        )
        async with asyncio.timeout(10.0):
            written = await client.transact([table.Write('k', b'', 0)])
            await asyncutil.wait_until(lambda: target.closed == 1)
        client.close()
        return written.error, target.sent_bytes

    error, sent_bytes = asyncutil.run(body())
    assert isinstance(error, errors.TableResultUnknownError)
    assert sent_bytes < 32 * _MIB
