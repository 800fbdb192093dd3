"""Memory of the clients of a target with many answers in progress at once."""

import asyncio
import json
import subprocess
import sys

import pytest

from tests import asyncutil

_MIB = 1_048_576
# Limit on the growth of a process that receives answers: what a node of
# 256 MB has left beside its other parts.
_MAX_GROWTH_BYTES = 160 * _MIB
_HEAD = b'HTTP/1.1 200 OK\r\nX-Call-Id: c1\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


class _Target:
    """Answers with a whole body, or without end, depending on the path."""

    def __init__(self, start, unit, whole_bytes=0):
        self._start = start
        self._block = unit * max(1, 65_536 // len(unit))
        self._whole_bytes = whole_bytes

    async def listen(self):
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=512
        )
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            if head.startswith(b'GET /whole '):
                length = b'Content-Length: %d\r\n\r\n' % self._whole_bytes
                writer.write(_HEAD + length)
                for _ in range(self._whole_bytes // 65_536):
                    writer.write(b'x' * 65_536)
                    await writer.drain()
            else:
                writer.write(self._start)
                while True:
                    writer.write(self._block)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass


def _measure(target, requests, whole=0, client='relay'):
    async def body():
        port = await target.listen()
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'tests.answermemory'),
            *map(str, (client, port, requests, whole)),
            stdout=subprocess.PIPE,
        )
        output, _ = await process.communicate()
        return json.loads(output)

    measured = asyncutil.run(body())
    print(measured)
    return measured


@pytest.mark.parametrize(
    ('start', 'unit'),
    [
        (_HEAD + b'\r\n', b'x'),
        (_CHUNKED, b'8000\r\n' + b'x' * 32_768 + b'\r\n'),
        (_CHUNKED, b'200\r\n' + b'x' * 512 + b'\r\n'),
        (_HEAD + b'Content-Length: 60000000\r\n\r\n', b'x'),
    ],
    ids=['no-length', 'chunks', 'small-chunks', 'longer-than-declared'],
)
def test_endless_answers_on_many_connections_are_bounded(start, unit):
    measured = _measure(_Target(start, unit), 200)
    assert measured['growth_bytes'] < _MAX_GROWTH_BYTES
    assert sum(measured['results'].values()) == 200
    for result in measured['results']:
        assert result.startswith(('502 UNKNOWN ', '200 60000000'))


def test_whole_answers_pass_beside_endless_ones():
    target = _Target(_HEAD + b'\r\n', b'x', whole_bytes=_MIB)
    measured = _measure(target, 200, whole=20)
    assert measured['growth_bytes'] < _MAX_GROWTH_BYTES
    assert measured['results'].pop('200 1048576') == 20
    for result in measured['results']:
        assert result.startswith('502 UNKNOWN ')


def test_many_whole_answers_pass_within_the_total():
    target = _Target(b'', b'x', whole_bytes=_MIB)
    measured = _measure(target, 80, whole=80)
    assert measured['results'] == {'200 1048576': 80}


def test_large_whole_answers_beyond_the_total_do_not_all_fail():
    target = _Target(b'', b'x', whole_bytes=32 * _MIB)
    measured = _measure(target, 12, whole=12)
    assert measured['growth_bytes'] < _MAX_GROWTH_BYTES
    assert measured['results'][f'200 {32 * _MIB}'] >= 2


def test_one_answer_of_the_largest_size_passes():
    target = _Target(b'', b'x', whole_bytes=64 * _MIB)
    measured = _measure(target, 1, whole=1)
    assert measured['results'] == {f'200 {64 * _MIB}': 1}
    assert measured['growth_bytes'] < _MAX_GROWTH_BYTES


@pytest.mark.parametrize(
    ('start', 'unit'),
    [
        (_HEAD + b'\r\n', b'x'),
        (_CHUNKED, b'200\r\n' + b'x' * 512 + b'\r\n'),
        (_HEAD + b'Content-Length: 8000000\r\n\r\n', b'x'),
    ],
    ids=['no-length', 'small-chunks', 'longer-than-declared'],
)
def test_endless_answers_to_the_target_client_are_bounded(start, unit):
    measured = _measure(_Target(start, unit), 200, client='target')
    assert measured['growth_bytes'] < _MAX_GROWTH_BYTES
    assert sum(measured['results'].values()) == 200
    for result in measured['results']:
        assert result.startswith(('502 UNKNOWN ', '200 8000000'))


def test_whole_answers_to_the_target_client_pass_beside_endless_ones():
    target = _Target(_HEAD + b'\r\n', b'x', whole_bytes=_MIB)
    measured = _measure(target, 200, whole=20, client='target')
    assert measured['growth_bytes'] < _MAX_GROWTH_BYTES
    assert measured['results'].pop('200 1048576') == 20
    for result in measured['results']:
        assert result.startswith('502 UNKNOWN ')
