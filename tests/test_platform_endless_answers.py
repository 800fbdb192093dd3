"""Answers without end of a target, as a caller of another node sees them."""

import json

import pytest

from tests import asyncutil
from tests import endlesstarget
from tests import platformfleet

_HEAD = b'HTTP/1.1 200 OK\r\nParsleystile-Attempt-Id: c1\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


async def _make_endless(machine, start, unit, log_path):
    """Restart a machine's node with a target that answers without end."""
    target = endlesstarget.EndlessTarget(start, unit, 256 * 1_048_576)
    await machine.kill_node()
    log_path.touch()
    machine.log_path = log_path
    machine.target.close()
    machine.target.address = ('127.0.0.1', await target.listen())
    await machine.start_node()
    await asyncutil.wait_until(lambda: machine.node.state_sync.policy)
    machine.report()
    return target


def _details_of_failures(machine):
    machine.node.recorder.log.flush()
    lines = map(json.loads, machine.log_path.read_bytes().splitlines())
    return [li['detail'] for li in lines if li['event'] == 'target-failed']


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    ('start', 'unit', 'limit'),
    [
        (_HEAD, b'A: b\r\n', '256 headers'),
        (_CHUNKED + b'1;a=', b'b', '65536 bytes'),
        (_HEAD + b'\r\n', b'x', '67108864 bytes'),
    ],
    ids=['headers', 'chunk-extension', 'body'],
)
def test_a_caller_gets_502_at_once_and_the_log_names_the_limit(
    tmp_path, method, start, unit, limit
):
    async def body(fleet):
        first, second = fleet.machines
        target = await _make_endless(second, start, unit, tmp_path / 'log')
        path = '/stock/x' if method == 'GET' else '/reserve/x'
        await fleet.wait_serving(1)
        answer = await first.call(path, method=method, wait_ms=20_000)
        assert answer.status == 502
        await asyncutil.wait_until(lambda: target.closed == 1)
        (detail,) = _details_of_failures(second)
        assert limit in detail

    platformfleet.run_with_fleet(
        body,
        serving=[],
        virtual_hosts=[
            {
                'hostname': platformfleet.HOST,
                'paths': [
                    platformfleet.route(
                        'browse', '/stock/', 'safe', timeout='20s'
                    ),
                    platformfleet.route(
                        'reserve', '/reserve/', 'unsafe', timeout='20s'
                    ),
                ],
            }
        ],
    )


def test_an_idempotent_request_is_answered_by_another_target(tmp_path):
    async def body(fleet):
        first, second, third = fleet.machines
        target = await _make_endless(
            second, _HEAD, b'A: b\r\n', tmp_path / 'l'
        )
        third.report()
        await fleet.wait_serving(2)
        for _ in range(6):
            assert (await first.call()).status == 200
        assert target.closed
        assert len(third.target.executed_headers) == 6

    platformfleet.run_with_fleet(body, count=3, serving=[])


@pytest.mark.parametrize('start', [b'HTTP/1.1 200 ', _HEAD + b'\r\n'])
def test_a_trickle_ends_at_the_deadline(tmp_path, start):
    async def body(fleet):
        first, second = fleet.machines
        target = await _make_endless(second, start, b'x', tmp_path / 'log')
        target.block = b'x'
        target.pause_s = 0.02
        await fleet.wait_serving(1)
        answer = await first.call(wait_ms=500)
        assert answer.status == 504
        await asyncutil.wait_until(lambda: target.closed == 1)

    platformfleet.run_with_fleet(body, serving=[])
