"""Memory of a node per idle connection of a caller."""

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


def _send_one_request(sock: socket.socket) -> None:
    """Send one request; the connection is then idle and kept alive."""
    sock.sendall(_REQUEST)
    while b'\r\n\r\n' not in sock.recv(65_536):
        pass


def run() -> typing.Iterator[bench.Result]:
    """Measure the memory of a node with growing numbers of connections."""
    with processes.Fleet() as fleet, contextlib.ExitStack() as stack:
        port = latency.start_nodes(fleet, 1)
        variant = latency.Variant('ours', port, {'X-Api-Key': _KEY})
        latency.wait_ready(variant)
        pid = fleet.nodes['entry'].process.pid
        before_kib = _resident_kib(pid)
        opened = 0
        for count in CONNECTIONS:
            while opened < count:
                sock = socket.create_connection(('127.0.0.1', port), 10)
                stack.callback(sock.close)
                _send_one_request(sock)
                opened += 1
            used_kib = _resident_kib(pid) - before_kib
            yield bench.Result(
                f'footprint.idle_connections_{count}.each',
                used_kib / count,
                'KiB',
            )
