"""A write whose connection closes before the response is unknown.

libcurl would resend it by itself on a reused connection, and the resent copy
would conflict with the first.
"""

import asyncio
import random

from parsleystile import clock
from parsleystile import errors
from parsleystile import table
from parsleystile import tableclient

_ROWS = b'{"rows":[]}'
_CONFLICT = b'{"key":"a","expected":0,"found":1}'
_HEAD = 'HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n'


def _answer(status, body):
    return _HEAD.format(status, len(body)).encode() + body


async def _read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'content-length':
            await reader.readexactly(int(value))
    return head


async def _swap_on_a_reused_connection():
    """Write on a reused connection that closes before the response.

    The server answers the read, closes the connection on the first write and
    would answer a second one with a conflict.
    """
    writes = []

    async def serve(reader, writer):
        try:
            while True:
                head = await _read_request(reader)
                if b'/transact' not in head:
                    writer.write(_answer('200 OK', _ROWS))
                    continue
                writes.append(head)
                if len(writes) == 1:
                    break
                writer.write(_answer('409 Conflict', _CONFLICT))
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = tableclient.table_client(
        f'http://127.0.0.1:{port}',
        'd',
        clock.system_clock(),
        random.Random(1),
        tableclient.TableLimits(timeout_ms=2000),
    )
    await client.read('a')
    result = await client.transact([table.Write('a', b'v', 0)])
    client.close()
    server.close()
    return result, len(writes)


def test_a_write_is_not_sent_twice_and_is_unknown():
    result, writes = asyncio.run(_swap_on_a_reused_connection())
    assert isinstance(result.error, errors.TableResultUnknownError), result
    assert writes == 1
