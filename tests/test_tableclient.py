import asyncio
import contextlib
import json
import random

from tornado import httpclient
from tornado import httpserver
from tornado import testing

from parsleystile import breaker
from parsleystile import clock
from parsleystile import errors
from parsleystile import readback
from parsleystile import table
from parsleystile import tableclient
from stubs import memorytable
from stubs import table as stub_table
from stubs import tablestate

_UNAVAILABLE = errors.TableUnavailableError
_UNKNOWN = errors.TableResultUnknownError


@contextlib.asynccontextmanager
async def _running_table(timeout_ms=300.0, **limits):
    state = tablestate.table_state()
    sock, port = testing.bind_unused_port()
    server = httpserver.HTTPServer(stub_table.table_application(state))
    server.add_socket(sock)
    client = tableclient.table_client(
        f'http://127.0.0.1:{port}',
        'a',
        clock.system_clock(),
        random.Random(1),
        tableclient.TableLimits(timeout_ms=timeout_ms, **limits),
    )
    try:
        yield state, client, port
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


def _run(body, **limits):
    async def main():
        async with _running_table(**limits) as (state, client, port):
            await body(state, client, port)

    asyncio.run(main())


def test_rows_are_written_together_and_read_back():
    async def body(state, client, port):
        writes = [table.Write('k/a', b'\x00\xff', 0)]
        writes.append(table.Write('k/b', b'2', 0))
        assert (await client.transact(writes)).ok == [1, 1]
        assert (await client.read('k/a')).ok.value == b'\x00\xff'
        assert (await client.read('none')).ok is None
        rows = (await client.scan('k/')).ok
        assert [row.key for row in rows] == ['k/a', 'k/b']
        assert state.counts.rows_written == 2

    _run(body)


def test_one_conflict_writes_nothing():
    async def body(state, client, port):
        await client.transact([table.Write('a', b'1', 0)])
        both = [table.Write('b', b'1', 0), table.Write('a', b'2', 0)]
        error = (await client.transact(both)).error
        assert (error.key, error.expected, error.found) == ('a', 0, 1)
        assert (await client.read('b')).ok is None

    _run(body)


def test_a_lost_answer_is_unknown_and_not_sent_again():
    async def body(state, client, port):
        state.faults.lost_answer_share = 1.0
        result = await client.transact([table.Write('a', b'1', 0)])
        assert isinstance(result.error, _UNKNOWN)
        assert state.counts.transactions == 1

    _run(body)


def test_a_write_that_times_out_is_unknown():
    async def body(state, client, port):
        state.faults.answer_delay_ms = 400.0
        result = await client.transact([table.Write('a', b'1', 0)])
        assert isinstance(result.error, _UNKNOWN)

    _run(body, timeout_ms=100.0)


def test_refusals_are_reported_as_unavailable_and_open_the_breaker():
    async def body(state, client, port):
        state.faults.outage = tablestate.Outage.REFUSE
        for _ in range(4):
            result = await client.transact([table.Write('a', b'1', 0)])
            assert isinstance(result.error, _UNAVAILABLE)
        assert client.cut_off_since_ms is not None
        refused = state.counts.refused
        await client.read('a')
        assert state.counts.refused == refused

    _run(body)


def test_a_domain_that_is_cut_off_does_not_reach_the_table():
    async def body(state, client, port):
        state.faults.reachable_domains = frozenset({'b'})
        result = await client.read('a')
        assert isinstance(result.error, _UNAVAILABLE)
        assert state.counts.reads == 0

    _run(body)


def test_the_queue_is_bounded():
    async def body(state, client, port):
        state.faults.answer_delay_ms = 30.0
        results = await asyncio.gather(*(client.read('a') for _ in range(5)))
        assert sum(result.is_error() for result in results) == 2

    _run(body, in_flight=1, queued=2)


def test_faults_are_set_over_http():
    async def body(state, client, port):
        http = httpclient.AsyncHTTPClient(force_instance=True)
        url = f'http://127.0.0.1:{port}/control'
        faults = json.dumps({'outage': 'refuse', 'reachable_domains': ['b']})
        answer = await http.fetch(url, method='POST', body=faults)
        assert json.loads(answer.body)['faults']['outage'] == 'refuse'
        assert state.faults.outage is tablestate.Outage.REFUSE
        bad = await http.fetch(
            url, method='POST', body='{"outtage": 1}', raise_error=False
        )
        assert bad.code == 400

    _run(body)


def test_the_breaker_opens_probes_once_and_closes():
    brk = breaker.circuit_breaker(random.Random(1))
    for _ in range(breaker.FAILURES_TO_OPEN):
        assert brk.allow_request(0.0)
        brk.on_failure(0.0)
    assert not brk.allow_request(0.0)
    assert brk.allow_request(brk.retry_at_ms)
    assert not brk.allow_request(brk.retry_at_ms)
    first_backoff_ms = brk.backoff_ms
    brk.on_failure(1000.0)
    assert brk.backoff_ms == 2 * first_backoff_ms
    assert brk.allow_request(brk.retry_at_ms)
    brk.on_success()
    assert brk.allow_request(0.0)


def _swap(state, value, expected):
    client = memorytable.memory_table(state, 'a')
    writes = [table.Write('r', value, expected)]
    return asyncio.run(
        readback.compare_and_swap(client, writes, lambda v: v == value)
    )


def test_read_back_finds_a_write_whose_answer_was_lost():
    state = tablestate.table_state()
    state.faults.lost_answer_share = 1.0
    assert _swap(state, b'mine', 0).ok == [1]
    assert state.counts.transactions == 1


def test_a_swap_against_another_writer_is_a_conflict():
    state = tablestate.table_state()
    _swap(state, b'theirs', 0)
    assert isinstance(_swap(state, b'm', 0).error, errors.VersionConflictError)


class _LosingTable(memorytable.MemoryTable):
    """Loses the response and lets others write before the read-back."""

    others: int

    async def transact(self, writes):
        result = await super().transact(writes)
        for i in range(self.others):
            version = self._state.read('r').version
            self._state.transact([table.Write('r', b'%d' % i, version)])
        assert result.is_ok()
        return _lost()


def _lost():
    return memorytable.expression.Error(_UNKNOWN('lost'))


def test_a_swap_that_was_overwritten_stays_unknown():
    client = _LosingTable(tablestate.table_state(), 'a')
    client.others = 1
    writes = [table.Write('r', b'mine', 0)]
    result = asyncio.run(
        readback.compare_and_swap(client, writes, lambda v: v == b'mine')
    )
    assert isinstance(result.error, _UNKNOWN)
