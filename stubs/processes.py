"""Starts a small fleet of real processes on the loopback interface.

Used by the demo, benches and tests. Every process that is started here is
ended here, by its id.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import typing
import urllib.request

import msgspec

from parsleystile import fleetconfig
from parsleystile import keys
from parsleystile import tablewire

_HOST = '127.0.0.1'
_ROOT = pathlib.Path(__file__).parent.parent
_START_LIMIT_S = 15.0
_STOP_LIMIT_S = 15.0
CONFIG_KEY = 'config/fleet'
OPERATOR = 'rehearsal'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSpec:
    """A node and its target.

    Attributes:
        target_options: Further options of ``stubs.target``.
    """

    name: str
    service: str
    failure_domain: str
    region: str = 'here'
    target_options: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class RunningNode:
    """A started node, its ports and its target."""

    spec: NodeSpec
    process: subprocess.Popen
    caller_port: int
    target_port: int
    link_port: int
    gossip_port: int
    operator_port: int
    settings_path: pathlib.Path
    target: subprocess.Popen | None = None
    target_http_port: int = 0


class FleetError(Exception):
    """A process of the fleet did not start or stop as it should."""


def _environment() -> dict[str, str]:
    path = f'{_ROOT / "src"}{os.pathsep}{_ROOT}'
    return {**os.environ, 'PYTHONPATH': path}


def free_ports(count: int) -> list[int]:
    """Return ports that were free for both TCP and UDP just now."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            tcp = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            )
            tcp.bind((_HOST, 0))
            udp = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            )
            try:
                udp.bind((_HOST, tcp.getsockname()[1]))
            except OSError:
                continue
            ports.append(tcp.getsockname()[1])
        return ports


def post(url: str, body: bytes, timeout_s: float = 5.0) -> bytes:
    """Post a JSON document; raise ``OSError`` unless the answer is 2xx."""
    request = urllib.request.Request(
        url,
        data=body,
        headers={'Content-Type': 'application/json'},
    )
    with urllib.request.urlopen(request, timeout=timeout_s) as answer:
        return answer.read()


def get_json(url: str, timeout_s: float = 5.0) -> typing.Any:
    """Read a JSON document."""
    with urllib.request.urlopen(url, timeout=timeout_s) as answer:
        return json.loads(answer.read())


def _exit_by(number: int, frame: object) -> typing.NoReturn:
    """End this process as the shell would report it, but clean up first."""
    del frame
    raise SystemExit(128 + number)


class Fleet:
    """Stand-in table, nodes and targets; a context manager that ends all.

    It ends all on SIGTERM, too, where nothing else handles that.

    Args:
        directory: For settings, logs and records; a temporary one if None.
        records: Whether nodes and targets record what happens.
    """

    def __init__(
        self, directory: pathlib.Path | None = None, records: bool = False
    ) -> None:
        self._stack = contextlib.ExitStack()
        self._directory = directory
        self._records = records
        self.secret = secrets.token_hex(16)
        self.operator_key = keys.new_key()
        self.nodes: dict[str, RunningNode] = {}
        self.table_port = 0
        self._processes: list[subprocess.Popen] = []
        self._on_exit: typing.Callable[[], object] = lambda: None

    def __enter__(self) -> 'Fleet':
        if self._directory is None:
            self._directory = pathlib.Path(
                self._stack.enter_context(tempfile.TemporaryDirectory())
            )
        (self._directory / 'secret').write_text(self.secret)
        self._handle_termination()
        return self

    def _handle_termination(self) -> None:
        is_main = threading.current_thread() is threading.main_thread()
        before = signal.getsignal(signal.SIGTERM)
        if is_main and before is signal.SIG_DFL:
            signal.signal(signal.SIGTERM, _exit_by)
            self._stack.callback(signal.signal, signal.SIGTERM, before)
            # Another one must not cut the cleaning up short.
            self._on_exit = lambda: signal.signal(
                signal.SIGTERM, signal.SIG_IGN
            )

    def __exit__(self, *_exc: object) -> None:
        self._on_exit()
        for process in reversed(self._processes):
            if process.poll() is None:
                # A stopped process acts on nothing but these two.
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._stack.close()

    @property
    def directory(self) -> pathlib.Path:
        """Where settings, logs and records lie."""
        return self._directory

    @property
    def table_url(self) -> str:
        """Address of the stand-in table."""
        return f'http://{_HOST}:{self.table_port}'

    def spawn(self, name: str, arguments: list[str]) -> subprocess.Popen:
        """Start ``python -m`` with arguments; its output goes to a file."""
        log = (self._directory / f'{name}.log').open('ab')
        with log:
            process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=_ROOT,
                env=_environment(),
            )
        self._processes.append(process)
        return process

    def log_text(self, name: str) -> str:
        """Return what a process has written so far."""
        return (self._directory / f'{name}.log').read_text()

    def start_table(self) -> None:
        """Start the stand-in table and wait until it answers."""
        self.table_port = free_ports(1)[0]
        process = self.spawn(
            'table', ['stubs.table', '--port', str(self.table_port)]
        )
        wait_for(lambda: is_listening(self.table_port), 'table', process)

    def set_table_faults(self, faults: dict[str, object]) -> None:
        """Make the table fail as told; an empty document mends it."""
        post(f'{self.table_url}/control', json.dumps(faults).encode())

    def write_config(self, config: fleetconfig.FleetConfig) -> None:
        """Put the first document into the table."""
        row = tablewire.WireWrite(CONFIG_KEY, fleetconfig.encode(config), 0)
        request = tablewire.TransactRequest([row])
        post(
            self.table_url + tablewire.TRANSACT_PATH,
            msgspec.json.encode(request),
        )

    def run_command(self, *arguments: str, timeout_s: float = 60.0) -> str:
        """Run an operator's command against all nodes; return its output.

        Raises:
            FleetError: It did not exit with 0.
        """
        nodes = ','.join(
            f'{_HOST}:{node.operator_port}' for node in self.nodes.values()
        )
        done = subprocess.run(
            [sys.executable, '-m', 'parsleystile', *arguments],
            capture_output=True,
            text=True,
            timeout=timeout_s,
            cwd=_ROOT,
            env={
                **_environment(),
                'PARSLEYSTILE_NODES': nodes,
                'PARSLEYSTILE_OPERATOR': OPERATOR,
                'PARSLEYSTILE_OPERATOR_KEY': self.operator_key,
            },
        )
        if done.returncode:
            raise FleetError(
                f'{" ".join(arguments)}: {done.returncode}: {done.stderr}'
            )
        return done.stdout

    def start_node(self, spec: NodeSpec) -> RunningNode:
        """Start a node and, unless its service is empty, its target."""
        ports = free_ports(5)
        path = self._directory / f'{spec.name}.toml'
        path.write_text(self._settings_text(spec, ports))
        node = RunningNode(
            spec,
            self._spawn_node(spec.name, path),
            *ports,
            settings_path=path,
        )
        self.nodes[spec.name] = node
        wait_for(
            lambda: is_listening(node.caller_port), spec.name, node.process
        )
        if spec.service:
            self.start_target(node)
        return node

    def _spawn_node(self, name: str, path: pathlib.Path) -> subprocess.Popen:
        return self.spawn(
            name, ['parsleystile', 'node', '--settings', str(path)]
        )

    def restart_node(self, name: str) -> RunningNode:
        """Start the process of a node anew with its old settings."""
        node = self.nodes[name]
        node.process = self._spawn_node(name, node.settings_path)
        wait_for(lambda: is_listening(node.caller_port), name, node.process)
        return node

    def start_target(self, node: RunningNode) -> None:
        """Start the target beside a node."""
        spec = node.spec
        name = f'{spec.name}-target'
        port = free_ports(1)[0]
        node.target = self.spawn(
            name,
            [
                'stubs.target',
                f'--service={spec.service}',
                f'--node-port={node.target_port}',
                f'--port={port}',
                f'--name={name}',
                *self._record_options(name),
                *spec.target_options,
            ],
        )
        node.target_http_port = port
        wait_for(lambda: is_listening(port), name, node.target)

    def _record_path(self, name: str) -> str:
        if not self._records:
            return ''
        return str(self._directory / f'{name}.history')

    def _record_options(self, name: str) -> list[str]:
        if not self._records:
            return []
        spec = self.nodes[name.removesuffix('-target')].spec
        return [
            f'--history={self._record_path(name)}',
            f'--failure-domain={spec.failure_domain}',
        ]

    @property
    def record_paths(self) -> list[pathlib.Path]:
        """Records of nodes and targets, if they were asked to keep any."""
        return sorted(self._directory.glob('*.history'))

    def _settings_text(self, spec: NodeSpec, ports: list[int]) -> str:
        return f"""
fleet_secret_file = "{self._directory / 'secret'}"
history_file = "{self._record_path(spec.name)}"

[identity]
node_id = "{spec.name}"
vm = "vm-{spec.name}"
region = "{spec.region}"
failure_domain = "{spec.failure_domain}"

[table]
url = "{self.table_url}"

[bootstrap_operator]
name = "{OPERATOR}"
fingerprint = "{keys.fingerprint(self.operator_key)}"

[listeners]
host = "{_HOST}"
caller_port = {ports[0]}
target_port = {ports[1]}
link_port = {ports[2]}
gossip_port = {ports[3]}
operator_port = {ports[4]}
"""


def terminate(
    process: subprocess.Popen, limit_s: float = _STOP_LIMIT_S
) -> int:
    """Ask a process to stop, wait for it and return its exit code."""
    process.send_signal(signal.SIGTERM)
    return process.wait(limit_s)


def wait_for(
    is_true: typing.Callable[[], bool],
    what: str,
    process: subprocess.Popen | None = None,
    limit_s: float = _START_LIMIT_S,
) -> None:
    """Wait until something holds.

    Raises:
        FleetError: It did not in time, or the process ended.
    """
    give_up = time.monotonic() + limit_s
    while not is_true():
        if process is not None and process.poll() is not None:
            raise FleetError(f'{what} ended with {process.returncode}')
        if time.monotonic() > give_up:
            raise FleetError(f'{what}: not within {limit_s} s')
        time.sleep(0.02)


def is_listening(port: int) -> bool:
    """Tell whether a process accepts TCP connections at a port."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        return sock.connect_ex((_HOST, port)) == 0


def key_digest(secret: str, key: str) -> str:
    """Return the digest under which a document holds a key."""
    salt = keys.salt_from(secret.encode())
    return keys.stored_digest(salt, keys.fingerprint(key))
