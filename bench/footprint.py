"""Memory of a node for each idle connection of a caller."""

import contextlib
import pathlib
import socket
import typing

import bench
from bench import latency
from stubs import processes

CONNECTIONS = (400, 800, 1600)
_KEY = 'bench-key'
_REQUEST = (
    b'GET /s1/item HTTP/1.1\r\nHost: a\r\nX-Api-Key: ' + _KEY.encode()
) + b'\r\n\r\n'


def _resident_kib(pid: int) -> int:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = (ln for ln in status.splitlines() if ln.startswith('VmRSS'))
    return int(line.split()[1])


def _use_once(sock: socket.socket) -> None:
    """Send one request, so that the connection is an idle kept-alive one."""
    sock.sendall(_REQUEST)
    while b'\r\n\r\n' not in sock.recv(65_536):
        pass


def run() -> typing.Iterator[bench.Result]:
    """Open more and more connections to a node and read its memory."""
    with processes.Fleet() as fleet, contextlib.ExitStack() as stack:
        port = latency.start_ours(fleet, 1)
        way = latency.Way('ours', port, {'X-Api-Key': _KEY})
        latency.wait_ready(way)
        pid = fleet.nodes['entry'].process.pid
        before_kib = _resident_kib(pid)
        opened = 0
        for count in CONNECTIONS:
            while opened < count:
                sock = socket.create_connection(('127.0.0.1', port), 10)
                stack.callback(sock.close)
                _use_once(sock)
                opened += 1
            used_kib = _resident_kib(pid) - before_kib
            yield bench.Result(
                f'footprint.idle_connections_{count}.each',
                used_kib / count,
                'KiB',
            )
