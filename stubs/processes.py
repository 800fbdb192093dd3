"""Runs a small fleet of real processes on the loopback interface.

Used by the demo, benches and tests. Each started process is ended by its
id when the fleet is closed.
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
_START_TIMEOUT_S = 15.0
_STOP_TIMEOUT_S = 15.0
CONFIG_KEY = 'config/fleet'
OPERATOR = 'rehearsal'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSpec:
    """Parameters of a node and its target.

    Attributes:
        service: Service of the target; empty for a node without a target.
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
    """A process failed to start or stop, or a command failed."""


def _child_environment() -> dict[str, str]:
    path = f'{_ROOT / "src"}{os.pathsep}{_ROOT}'
    return {**os.environ, 'PYTHONPATH': path}


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free for both TCP and UDP."""
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
    """Exit with the status 128 + signal after cleaning up."""
    del frame
    raise SystemExit(128 + number)


class Fleet:
    """A stub table, nodes and targets, as a context manager.

    All processes end on exit, and also on SIGTERM unless that signal has a
    handler already.

    Args:
        directory: For settings, logs and histories; a temporary one if None.
        records: Whether nodes and targets write histories of events.
    """

    def __init__(
        self, directory: pathlib.Path | None = None, records: bool = False
    ) -> None:
        self._stack = contextlib.ExitStack()
        self._directory = directory
        self._keeps_history = records
        self.secret = secrets.token_hex(16)
        self.operator_key = keys.new_key()
        self.nodes: dict[str, RunningNode] = {}
        self.table_port = 0
        self._processes: list[subprocess.Popen] = []
        self._before_cleanup: typing.Callable[[], object] = lambda: None

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
            # A second SIGTERM must not interrupt the cleanup.
            self._before_cleanup = lambda: signal.signal(
                signal.SIGTERM, signal.SIG_IGN
            )

    def __exit__(self, *_exc: object) -> None:
        self._before_cleanup()
        for process in reversed(self._processes):
            if process.poll() is None:
                # A stopped process reacts only to these two signals.
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._stack.close()

    @property
    def directory(self) -> pathlib.Path:
        """Directory of settings, logs and histories."""
        return self._directory

    @property
    def table_url(self) -> str:
        """URL of the stub table."""
        return f'http://{_HOST}:{self.table_port}'

    def spawn(self, name: str, arguments: list[str]) -> subprocess.Popen:
        """Start ``python -m`` with arguments; log its output to a file."""
        log = (self._directory / f'{name}.log').open('ab')
        with log:
            process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=_ROOT,
                env=_child_environment(),
            )
        self._processes.append(process)
        return process

    def log_text(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self._directory / f'{name}.log').read_text()

    def start_table(self) -> None:
        """Start the stub table and wait until it accepts connections."""
        self.table_port = free_ports(1)[0]
        process = self.spawn(
            'table', ['stubs.table', '--port', str(self.table_port)]
        )
        wait_for(lambda: is_listening(self.table_port), 'table', process)

    def set_table_faults(self, faults: dict[str, object]) -> None:
        """Set the faults of the table; an empty document removes them."""
        post(f'{self.table_url}/control', json.dumps(faults).encode())

    def write_config(self, config: fleetconfig.FleetConfig) -> None:
        """Write the first configuration to the table."""
        row = tablewire.WireWrite(CONFIG_KEY, fleetconfig.encode(config), 0)
        request = tablewire.TransactRequest([row])
        post(
            self.table_url + tablewire.TRANSACT_PATH,
            msgspec.json.encode(request),
        )

    def run_command(self, *arguments: str, timeout_s: float = 60.0) -> str:
        """Run an operator command with access to all nodes.

        Returns:
            Its standard output.

        Raises:
            FleetError: The command did not exit with 0.
        """
        nodes = ','.join(
            f'{_HOST}:{node.operator_port}' for node in self.nodes.values()
        )
        completed = subprocess.run(
            [sys.executable, '-m', 'parsleystile', *arguments],
            capture_output=True,
            text=True,
            timeout=timeout_s,
            cwd=_ROOT,
            env={
                **_child_environment(),
                'PARSLEYSTILE_NODES': nodes,
                'PARSLEYSTILE_OPERATOR': OPERATOR,
                'PARSLEYSTILE_OPERATOR_KEY': self.operator_key,
            },
        )
        if completed.returncode:
            raise FleetError(
                f'{" ".join(arguments)}: {completed.returncode}:'
                f' {completed.stderr}'
            )
        return completed.stdout

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
        """Restart the process of a node with its old settings."""
        node = self.nodes[name]
        node.process = self._spawn_node(name, node.settings_path)
        wait_for(lambda: is_listening(node.caller_port), name, node.process)
        return node

    def start_target(self, node: RunningNode) -> None:
        """Start the target of a node."""
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
                *self._history_options(name),
                *spec.target_options,
            ],
        )
        node.target_http_port = port
        wait_for(lambda: is_listening(port), name, node.target)

    def _history_path(self, name: str) -> str:
        if not self._keeps_history:
            return ''
        return str(self._directory / f'{name}.history')

    def _history_options(self, name: str) -> list[str]:
        if not self._keeps_history:
            return []
        spec = self.nodes[name.removesuffix('-target')].spec
        return [
            f'--history={self._history_path(name)}',
            f'--failure-domain={spec.failure_domain}',
        ]

    @property
    def history_paths(self) -> list[pathlib.Path]:
        """Paths of the histories of nodes and targets, if any."""
        return sorted(self._directory.glob('*.history'))

    def _settings_text(self, spec: NodeSpec, ports: list[int]) -> str:
        return f"""
fleet_secret_file = "{self._directory / 'secret'}"
history_file = "{self._history_path(spec.name)}"

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
    process: subprocess.Popen, timeout_s: float = _STOP_TIMEOUT_S
) -> int:
    """Send SIGTERM, wait for the process and return its exit code."""
    process.send_signal(signal.SIGTERM)
    return process.wait(timeout_s)


def wait_for(
    condition: typing.Callable[[], bool],
    what: str,
    process: subprocess.Popen | None = None,
    timeout_s: float = _START_TIMEOUT_S,
) -> None:
    """Wait until a condition holds.

    Args:
        condition: Polled every 20 ms.
        what: Subject of the error message.
        process: Must not end before the condition holds.
        timeout_s: Timeout.

    Raises:
        FleetError: The timeout expired or the process ended.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if process is not None and process.poll() is not None:
            raise FleetError(
                f'{what}: process ended with {process.returncode}'
            )
        if time.monotonic() > deadline_s:
            raise FleetError(f'{what}: not ready within {timeout_s} s')
        time.sleep(0.02)


def is_listening(port: int) -> bool:
    """Return whether a TCP connection to a port is accepted."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        return sock.connect_ex((_HOST, port)) == 0


def key_digest(secret: str, key: str) -> str:
    """Return the digest of a key as stored in the configuration."""
    salt = keys.salt_from(secret.encode())
    return keys.stored_digest(salt, keys.fingerprint(key))
