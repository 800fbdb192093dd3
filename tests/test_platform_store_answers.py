"""The store client with answers that are not in the store's protocol."""

import asyncio
import json
import os
import random
import types

import pytest

from adapter import store as stores
from parsleystile import clock as clocks
from parsleystile.relay import memberrow
from parsleystile.relay import statemessages
from parsleystile.relay import storeera
from parsleystile.relay import telemetry
from parsleystile import transport
from tests import asyncutil

_ROWS = b'{"ver": 1, "rows": []}'
_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
_WHOLE = _HEAD + b'Content-Length: %d\r\n\r\n' % len(_ROWS) + _ROWS


class _NoState:
    """Takes the place of the replicated state."""

    is_following = True
    node_count = 1
    eras = storeera.store_eras()
    snapshot = statemessages.Snapshot()

    def __init__(self):
        self.following = types.SimpleNamespace(
            note_reading=lambda read_ms: None, note_failure=lambda: None
        )

    def note_era(self, era):
        return True

    def store_phase(self):
        return statemessages.Phase.SETTLED

    def apply_snapshot(self, snapshot, source):
        pass

    def merge_rows(self, rows, source, is_spread=True):
        pass

    def note_all_rows(self):
        pass

    def is_predecessor(self, row):
        return False

    def remove_row(self, node_id, incarnation):
        pass


class _Store:
    """Answers the first requests of a path with a fault, then correctly.

    Attributes:
        sent_bytes: Bytes sent on each faulty answer.
    """

    def __init__(self, path, start, block=b'', faults=2):
        self._path = path
        self._start = start
        self._block = block
        self._faults = faults
        self.sent_bytes = []

    async def listen(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if b'rows-tx' in head:
                    length = head.lower().partition(b'content-length: ')[2]
                    await reader.readexactly(int(length.split(b'\r\n')[0]))
                if self._path in head and self._faults:
                    self._faults -= 1
                    await self._fail(writer)
                elif b'rows-feed' in head:
                    await reader.read()
                else:
                    writer.write(_WHOLE)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass

    async def _fail(self, writer):
        self.sent_bytes.append(0)
        number = len(self.sent_bytes) - 1
        writer.write(self._start)
        while self._block and self.sent_bytes[number] < 128 * 1_048_576:
            writer.write(self._block)
            await writer.drain()
            self.sent_bytes[number] += len(self._block)


def _run(store, body, log_path=os.devnull):
    """Run a test body with a store client; return the lines of its log."""

    async def main():
        clock = clocks.system_clock()
        descriptor = os.open(log_path, os.O_WRONLY | os.O_CREAT)
        recorder = telemetry.recorder('n0', clock, descriptor)
        client = stores.store_client(
            transport.Address('127.0.0.1', await store.listen()),
            _NoState(),
            'n0',
            clock,
            random.Random(1),
            recorder,
        )
        client.start()
        await body(client)
        client.close()
        recorder.log.flush()

    asyncutil.run(main())
    with open(log_path, 'rb') as log:
        return [json.loads(line) for line in log]


@pytest.mark.parametrize(
    ('start', 'block', 'limit'),
    [
        (_HEAD + b'\r\n', b' ' * 65_536, '16777216 bytes'),
        (_HEAD, b'A: ' + b'a' * 65_536 + b'\r\n', '65536 bytes'),
        (_HEAD + b'Content-Length: 16777217\r\n\r\n', b'', '16777216 bytes'),
    ],
    ids=['body', 'head', 'declared'],
)
def test_the_client_goes_on_after_an_answer_without_end(
    tmp_path, start, block, limit
):
    store = _Store(b'rows-get', start, block)

    async def body(client):
        await asyncutil.wait_until(lambda: client.is_reachable)

    lines = _run(store, body, tmp_path / 'log')
    whys = [line['why'] for line in lines if line['event'] == 'store-reach']
    assert any(limit in why for why in whys)
    assert all(sent < 32 * 1_048_576 for sent in store.sent_bytes)


def test_an_invalid_answer_to_a_write_does_not_end_the_writes():
    invalid = _HEAD + b'Content-Length: 3\r\n\r\n???'
    store = _Store(b'rows-tx', invalid, faults=1)

    async def body(client):
        client.publish(
            memberrow.Row(
                node_id='n0',
                domain='a',
                region='r',
                host='127.0.0.1',
                port=1,
                incarnation=1,
            )
        )
        await asyncutil.wait_until(
            lambda: store.sent_bytes and client.is_row_written
        )

    _run(store, body)
