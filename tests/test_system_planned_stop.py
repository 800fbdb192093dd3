"""Callers of a node that stops get a whole answer to each request sent."""

import asyncio
import random
import socket
import sys

from stubs import processes
from tests import systemtest

_WORK_MS = 300
_ANSWER_BYTES = 900_000
_HOST_AND_KEY = b'Host: a\r\nX-Api-Key: %s\r\n' % (
    systemtest.KEYS['org1'].encode()
)
_GET = b'GET /look HTTP/1.1\r\n%s\r\n' % _HOST_AND_KEY
# A path without a key, which needs no quota.
_OPEN_GET = b'GET /open HTTP/1.1\r\nHost: a\r\n\r\n'
_POST = b'POST /look HTTP/1.1\r\n%sContent-Length: 4\r\n\r\nbody' % (
    _HOST_AND_KEY
)


class _Caller:
    """A caller with one connection; counts requests sent and answered."""

    def __init__(self, port, receive_bytes=None):
        self._port = port
        self._receive_bytes = receive_bytes
        self.sent = 0
        self.answered = 0
        self.targets = []
        self.refusals = []
        self.is_told_to_close = False

    async def connect(self):
        sock = socket.socket()
        if self._receive_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (systemtest.HOST, self._port))
        self._sock = sock
        self._reader = None

    async def send(self, data, count=1):
        await asyncio.get_running_loop().sock_sendall(self._sock, data)
        self.sent += count

    def is_closed_by_peer(self):
        """Return whether the peer closed or sent something unasked for."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def has_peer_ended(self):
        """Return whether the peer closed and sent nothing before."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b''
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def receive(self):
        """Read answers until the last was read or the connection ends."""
        if self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                sock=self._sock
            )
        while self.answered < self.sent and not self.is_told_to_close:
            try:
                await self._read_answer()
            except (OSError, asyncio.IncompleteReadError):
                return

    async def _read_answer(self):
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode().lower()
        fields = dict(
            line.split(': ', 1) for line in head.split('\r\n')[1:] if line
        )
        await self._reader.readexactly(int(fields['content-length']))
        if head.startswith('http/1.1 200'):
            self.targets.append(fields['x-target'])
        else:
            self.refusals.append((head.split()[1], fields))
        self.is_told_to_close = fields.get('connection') == 'close'
        self.answered += 1

    @property
    def lost(self):
        return self.sent - self.answered


async def _send_slowly(port, data, pause_s):
    caller = _Caller(port)
    await caller.connect()
    await caller.send(data[:-3], 0)
    await asyncio.sleep(pause_s)
    await caller.send(data[-3:])
    await caller.receive()
    return caller


async def _read_slowly(port, pause_s):
    caller = _Caller(port, receive_bytes=4096)
    await caller.connect()
    await caller.send(_GET)
    await asyncio.sleep(pause_s)
    await caller.receive()
    return caller


async def _pipeline(port, count):
    caller = _Caller(port)
    await caller.connect()
    await caller.send(_POST * count, count)
    await caller.receive()
    return caller


async def _use_twice(port, first_s, second_s):
    """Send a request at each time, unless the connection has ended."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    caller = _Caller(port)
    await caller.connect()
    await asyncio.sleep(first_s)
    await caller.send(_POST)
    await caller.receive()
    await asyncio.sleep(start_s + second_s - loop.time())
    if caller.is_told_to_close or caller.is_closed_by_peer():
        return caller
    caller._writer.write(_OPEN_GET)
    if not caller.has_peer_ended():
        # Otherwise the request crossed the end of an idle connection.
        caller.sent += 1
        await caller.receive()
    return caller


def _states(port, rng):
    """Return callers in each state that a request can be in at a stop."""
    return {
        'running': _pipeline(port, 1),
        'head sent slowly': _send_slowly(port, _GET, rng.uniform(0.9, 1.4)),
        'body sent slowly': _send_slowly(port, _POST, rng.uniform(0.9, 1.4)),
        'answer read slowly': _read_slowly(port, rng.uniform(1.0, 2.0)),
        'pipelined': _pipeline(port, 3),
    }


def _run(make_callers, stop_after_s, **faults):
    """Stop a node while callers use it; return its code and the callers."""

    async def main(fleet, node):
        callers = make_callers(node.caller_port)
        loop = asyncio.get_running_loop()
        tasks = {n: loop.create_task(c) for n, c in callers.items()}
        await asyncio.sleep(stop_after_s)
        if faults:
            fleet.set_table_faults(faults)
        code = await asyncio.to_thread(processes.terminate, node.process, 40)
        return code, {name: await task for name, task in tasks.items()}

    options = (f'--work-ms={_WORK_MS}', f'--answer-bytes={_ANSWER_BYTES}')
    with processes.Fleet() as fleet:
        fleet.start_table()
        fleet.write_config(systemtest.config(fleet.secret))
        for name in ('n0', 'n1'):
            spec = processes.NodeSpec(name, 'reserve', 'd0', 'here', options)
            fleet.start_node(spec)
        node = fleet.nodes['n0']
        asyncio.run(_wait_for_both_targets(node.caller_port))
        return asyncio.run(main(fleet, node))


async def _wait_for_both_targets(port):
    targets = set()
    while len(targets) < 2:
        callers = await asyncio.gather(*(_pipeline(port, 1) for _ in range(4)))
        targets.update(*(caller.targets for caller in callers))


def _assert_none_lost(code, callers):
    assert code == 0
    assert {n: c.lost for n, c in callers.items() if c.lost} == {}
    for caller in callers.values():
        for status, fields in caller.refusals:
            assert status == '503'
            assert fields['x-parsleystile-outcome'] == 'not-run'
            assert int(fields['retry-after']) > 0


def run_states(seed):
    rng = random.Random(seed)
    return _run(lambda port: _states(port, rng), 0.15)


def run_reused_connections(seed):
    """Use idle connections while the node hands back, which takes long."""
    rng = random.Random(seed)

    def make_callers(port):
        return {
            f'reused {i}': _use_twice(
                port, rng.uniform(0.0, 0.5), rng.uniform(2.2, 3.4)
            )
            for i in range(24)
        }

    return _run(make_callers, 1.2, outage='hang')


def test_a_stop_answers_requests_in_every_state():
    _assert_none_lost(*run_states(1))


def test_a_stop_answers_requests_that_come_while_it_hands_back():
    _assert_none_lost(*run_reused_connections(1))


if __name__ == '__main__':
    for seed in range(int(sys.argv[2]), int(sys.argv[3])):
        code, callers = globals()[sys.argv[1]](seed)
        lost = {n: c.lost for n, c in callers.items() if c.lost}
        refused = sum(len(c.refusals) for c in callers.values())
        print(f'{seed}: {code}, lost {lost}, refused {refused}', flush=True)
