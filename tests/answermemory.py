"""Measures the memory of a process with many answers in progress.

Run as ``python -m tests.answermemory CLIENT PORT REQUESTS WHOLE``. It sends
requests with the relay's client or the target client to a target on loopback,
of which the first ``WHOLE`` are for whole answers, and prints the results and
the growth of its peak memory as JSON.
"""

import collections
import json
import resource
import sys

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile.relay import httpclient
from parsleystile import targetclient
from tests import asyncutil

# Protects the machine from a client that stores everything.
_MAX_ADDRESS_SPACE_BYTES = 1024 * 1_048_576
_MAX_TARGET_BODY_BYTES = 8 * 1_048_576


def _peak_bytes() -> int:
    with open('/proc/self/status') as status:
        for line in status:
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024
    raise RuntimeError('no VmHWM in /proc/self/status')


def _describe(result: object) -> str:
    if isinstance(result, errors.Refusal):
        return f'{result.status} {result.outcome.name} {result.detail}'
    return f'{result.status} {len(result.body)}'


def _relay_client(port: int, on_answer):
    origin = httpclient.origin_client(
        '127.0.0.1', port, clocks.system_clock(), 'X-Call-Id'
    )

    def send(path: str) -> None:
        data = f'GET /{path} HTTP/1.1\r\nHost: h\r\nX-Call-Id: c1\r\n\r\n'
        origin.send(httpclient.OutboundRequest(data.encode(), 'c1'), on_answer)

    return send, origin.close


def _target_client(port: int, on_answer):
    client = targetclient.target_client(_MAX_TARGET_BODY_BYTES)

    def send(path: str) -> None:
        client.send(
            targetclient.TargetRequest(
                'GET', f'http://127.0.0.1:{port}/{path}', [], b'', 20_000.0
            ),
            on_answer,
        )

    return send, client.close


_CLIENTS = {'relay': _relay_client, 'target': _target_client}


async def _send_all(client: str, port: int, requests: int, whole: int) -> dict:
    before_bytes = _peak_bytes()
    # Only descriptions, so that delivered bodies do not count.
    results: list[str] = []

    def on_answer(result: object) -> None:
        results.append(_describe(result))

    send, close = _CLIENTS[client](port, on_answer)
    for i in range(requests):
        send('whole' if i < whole else 'endless')
    await asyncutil.wait_until(lambda: len(results) == requests)
    close()
    return {
        'results': collections.Counter(results),
        'growth_bytes': _peak_bytes() - before_bytes,
        'peak_bytes': _peak_bytes(),
    }


if __name__ == '__main__':
    resource.setrlimit(
        resource.RLIMIT_AS,
        (_MAX_ADDRESS_SPACE_BYTES, _MAX_ADDRESS_SPACE_BYTES),
    )
    arguments = sys.argv[1], *map(int, sys.argv[2:])
    print(json.dumps(asyncutil.run(_send_all(*arguments))))
