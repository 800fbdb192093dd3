"""Stand-ins of the platform, the back ends and the clients of a small fleet.

They speak what the users' pages say and need the standard library only. The
nodes are the project's own program, started with the command of the deploy
file, one process each on a loopback address of its own.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import logging
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'shop.example'
KEY = 'key-of-tenant-one'
TENANT = 'tenant-one'
_SIGNATURE = 'parsleystile-server-signature'
_ATTEMPT = 'parsleystile-attempt-id'
_INSTANCE = 'parsleystile-expected-instance'
_MAX_LINE_BYTES = 1_048_576
# How the connection of a stand-in ends; cancelled at the end of a run.
_ENDED = (
    asyncio.CancelledError,
    asyncio.IncompleteReadError,
    ConnectionError,
    TimeoutError,
)


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """Lines of ``record.txt``, each with the time since the start."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text('')
        self._started_s = time.monotonic()

    def note(self, text):
        """Write a line."""
        elapsed_s = time.monotonic() - self._started_s
        line = f'{elapsed_s:9.3f} {text}'
        print(line, flush=True)
        with self._path.open('a') as file:
            print(line, file=file)


class Message:
    """A request or an answer that was read whole.

    Attributes:
        first: The request line or the status line.
        headers: Values by lower-case name; the last one counts.
    """

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status of an answer."""
        return int(self.first.split(' ')[1])


async def read_head(reader):
    """Return the first line and the headers; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    lines = raw.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Read a message with a declared length or in chunks."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first, headers, body)


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b''.join(parts)


def encode(first, headers, body=b''):
    """Encode a message with a declared length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's table store: linearizable, with a feed.

    Attributes:
        is_down: Whether it refuses all calls; nothing is done then.
    """

    def __init__(self):
        self.version = 0
        self.address = ('', 0)
        self.is_down = False
        self._rows = {}
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self, host):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def put(self, table, key, value):
        """Write a row as the operator does."""
        async with self._changed:
            self._write(table, '', key, base64.b64encode(value).decode())
            self._changed.notify_all()

    def _write(self, table, part, key, value):
        self.version += 1
        row = {'table': table, 'part': part, 'key': key, 'ver': self.version}
        if value is None:
            row['deleted'] = True
        else:
            row['value'] = value
        self._rows[table, part, key] = row

    async def go_down(self):
        """Refuse all calls, those that wait included."""
        async with self._changed:
            self.is_down = True
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        with contextlib.suppress(*_ENDED):
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                if self.is_down:
                    status, body = 503, {}
                data = json.dumps(body).encode()
                headers = [('Content-Type', 'application/json')]
                writer.write(encode(f'HTTP/1.1 {status} X', headers, data))
                await writer.drain()
        writer.close()

    async def _answer(self, request):
        _, target, _ = request.first.split(' ')
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if self.is_down:
            return 503, {}
        match url.path:
            case '/v1/rows-get':
                return 200, self._page(query)
            case '/v1/rows-feed':
                return 200, await self._feed(query)
            case '/v1/rows-tx':
                return await self._transact(json.loads(request.body))
        return 404, {}

    def _body(self, rows):
        now = f'{time.monotonic() * 1e3:.0f}ms'
        more = {'has_more': False, 'ver': self.version, 'now': now}
        return {'rows': rows, **more}

    def _page(self, query):
        first = query.get('from', '')
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query['table']
            and part == query.get('part', '')
            and key >= first
            and 'deleted' not in row
        ]
        return self._body(rows[: int(query.get('limit', 500))])

    async def _feed(self, query):
        after = int(query['after'])

        def changed():
            rows = [
                row
                for row in self._rows.values()
                if row['table'] == query['table'] and row['ver'] > after
            ]
            return sorted(rows, key=lambda row: row['ver'])

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query['wait_ms']) / 1e3):
                    await self._changed.wait_for(
                        lambda: self.is_down or changed()
                    )
            return self._body([] if self.is_down else changed())

    async def _transact(self, body):
        async with self._changed:
            for name in body.get('expect', []):
                place = name['table'], name.get('part', ''), name['key']
                row = self._rows.get(place)
                found = 0 if row is None or 'deleted' in row else row['ver']
                if found != name['ver']:
                    return 412, self._body([row] if found else [])
            for put in body.get('puts', []):
                part = put.get('part', '')
                self._write(put['table'], part, put['key'], put['value'])
            for name in body.get('remove', []):
                part = name.get('part', '')
                self._write(name['table'], part, name['key'], None)
            self._changed.notify_all()
            return 200, self._body([])


class Run:
    """One request that a back end ran."""

    def __init__(self, request, target):
        self.attempt = request.headers.get(_ATTEMPT, '')
        self.headers = request.headers
        self.first = request.first
        self.target = target
        self.at_s = time.monotonic()


def body_of(attempt, size):
    """Return the bytes with which a back end answers an attempt."""
    seed = hashlib.sha256(attempt.encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]


class Target:
    """A back end beside a node.

    Attributes:
        runs: The requests that it ran.
        is_silent: Whether it sends no more heartbeats.
        reads_on_s: If set, it answers a request with a body at its head, and
            reads the body that much later.
    """

    def __init__(self, machine, service, slots):
        self.machine = machine
        self.service = service
        self.instance = f'i-{machine.name}-{os.urandom(3).hex()}'
        self.slots = slots
        self.runs = []
        self.reads_on_s = None
        self.is_silent = False
        self._writers = set()
        self.read_limit = 65_536
        self._born_ms = int(time.time() * 1e3)
        self._sequence = 0
        self._server = None

    async def close(self):
        """End as a back end that crashes does."""
        self.is_silent = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def start(self):
        """Listen at the address of the application."""
        host, port = self.machine.host, self.machine.ports['app']
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=self.read_limit
        )

    async def beat_forever(self):
        """Report to the node as a ready back end does."""
        while not self.is_silent:
            await self.send_beat(self.next_beat())
            await asyncio.sleep(1.0)

    def next_beat(self):
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': f'{self.machine.host}:{self.machine.ports["app"]}',
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining': '0ms',
            'sequence': self._sequence,
            'born': self._born_ms,
        }

    async def send_beat(self, body):
        """Send a heartbeat; return the status, 0 without an answer."""
        return await self._tell('heartbeat', body)

    async def deregister(self):
        """Say that this back end leaves; return the status."""
        return await self._tell('deregister', {'born': self._born_ms})

    async def _tell(self, verb, body):
        path = f'/v1/instances/{self.instance}/{verb}'
        address = self.machine.host, self.machine.ports['control']
        head = f'POST {path} HTTP/1.1'
        headers = [('Host', 'node'), ('Content-Type', 'application/json')]
        data = encode(head, headers, json.dumps(body).encode())
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(1.0):
                connection = await connect(address, self.machine.host)
                async with connection:
                    connection.writer.write(data)
                    answer = await read_message(connection.reader)
                    return 0 if answer is None else answer.status
        return 0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(*_ENDED):
            while (head := await read_head(reader)) is not None:
                first, headers = head
                length = int(headers.get('content-length', 0))
                request = Message(first, headers, b'')
                if self.reads_on_s is not None and length:
                    await self._answer(request, writer)
                    await asyncio.sleep(self.reads_on_s)
                    await _discard(reader, length)
                    continue
                request.body = await reader.readexactly(length)
                await self._answer(request, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request, writer):
        headers = [(_ATTEMPT, request.headers.get(_ATTEMPT, ''))]
        if request.headers.get(_INSTANCE) != self.instance:
            writer.write(encode('HTTP/1.1 421 Misdirected', headers))
            return
        run = Run(request, self)
        self.runs.append(run)
        url = urllib.parse.urlsplit(request.first.split(' ')[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(float(query.get('work_s', 0)))
        headers.append((_SIGNATURE, f'signed-{self.instance}'))
        body = body_of(run.attempt, int(query.get('size', 20)))
        writer.write(encode('HTTP/1.1 200 OK', headers, body))
        await writer.drain()


async def _discard(reader, count):
    while count:
        data = await reader.read(min(count, 1_048_576))
        if not data:
            raise ConnectionResetError('closed in a body')
        count -= len(data)


class Connection:
    """A connection of a client, from an address of its own."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self.writer.close()


async def connect(address, source, receive_bytes=0):
    """Connect; ``receive_bytes`` makes the receive buffer that small."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    sock.bind((source, 0))
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    limit = receive_bytes or _MAX_LINE_BYTES
    return Connection(*await asyncio.open_connection(sock=sock, limit=limit))


def request_head(path, attempt, deadline_ms, method='GET', extra=()):
    """Return the first line and the headers of a client's request."""
    headers = [
        ('Host', HOST_NAME),
        ('Parsleystile-Attempt-Id', attempt),
        ('Parsleystile-Request-Deadline', deadline_ms),
        ('Authorization', f'Bearer {KEY}'),
        *extra,
    ]
    return f'{method} {path} HTTP/1.1', headers


def new_attempt():
    """Return the id of a client's attempt."""
    return os.urandom(8).hex()


class Machine:
    """A machine with a node and a back end.

    Attributes:
        process: The node's process; None while it doesn't run.
        exits: How often the node's process ended, with the reason.
        most_mb: The most memory that a process of the node took.
        restart_s: How long after its end the process is started again.
    """

    def __init__(self, fleet, index, zone, service):
        self.fleet = fleet
        self.name = f'side-{zone}-{index}'
        self.host = f'{fleet.prefix}.{index + 10}'
        self.zone = zone
        self.service = service
        self.ports = _free_ports(self.host)
        self.target = Target(self, service, fleet.slots)
        self.process = None
        self.exits = []
        self.most_mb = 0.0
        self.restart_s = 0.5
        self._is_stopping = False

    @property
    def outbound(self):
        """Address for the requests of clients."""
        return self.host, self.ports['outbound']

    def _settings(self):
        ports, host = self.ports, self.host
        addresses = {
            name: f'{host}:{ports[name]}'
            for name in ('inbound', 'outbound', 'ready', 'control')
        }
        zones = {machine.zone: 'north' for machine in self.fleet.machines}
        return {
            'node_name': self.name,
            'role': 'node',
            'machine_class': 'sidecar',
            'serves': ['sidecar'],
            'ip_address': host,
            'zone': self.zone,
            'region': 'north',
            'zones': zones,
            'listen_addresses': addresses,
            'internal_port_range': [ports['link'], ports['last']],
            'seed_nodes': [],
            'bootstrap': True,
            'limits': {'memory_mb': self.fleet.memory_mb, 'max_fds': 4100},
            'heartbeat': '1000ms',
            'bounds': self.fleet.bounds,
            'app_address': f'{host}:{ports["app"]}',
            'service': self.service,
            'platform': {
                'address': '{}:{}'.format(*self.fleet.store.address),
                'form': 'table',
            },
        }

    def write_settings(self):
        """Write the settings file anew, at once as a whole."""
        path = self.fleet.directory / f'{self.name}.json'
        fresh = path.with_suffix('.new')
        fresh.write_text(json.dumps(self._settings()))
        fresh.replace(path)
        return path

    async def start_node(self):
        """Start the node's process as the platform does."""
        path = self.write_settings()
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with path.with_suffix('.log').open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.fleet.command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={
                    **variables,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'PARSLEYSTILE_NODE_FILE': str(path),
                },
            )
        self.fleet.spawn(self._watch(self.process))

    async def _watch(self, process):
        """Kill the process over its memory, and start it again at its end."""
        why = ''
        while process.returncode is None:
            used_mb = _resident_mb(process.pid)
            self.most_mb = max(self.most_mb, used_mb)
            if used_mb > self.fleet.memory_mb and not why:
                why = f'killed at {used_mb:.0f} MB, over its memory'
                self.fleet.record.note(f'{self.name}: {why}')
                process.kill()
            await asyncio.sleep(0.01)
        if self.fleet.is_closing or self._is_stopping:
            return
        self.exits.append(why or f'ended with {process.returncode}')
        if not why:
            self.fleet.record.note(f'{self.name}: {self.exits[-1]}')
        await asyncio.sleep(self.restart_s)
        await self.start_node()

    async def stop_node(self, grace_s):
        """Stop the node as the platform does; return how long it took."""
        self._is_stopping = True
        started_s = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        return time.monotonic() - started_s

    async def is_ready(self):
        """Ask the node whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                address = self.host, self.ports['ready']
                async with await connect(address, self.host) as connection:
                    connection.writer.write(
                        b'GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n'
                    )
                    answer = await read_message(connection.reader)
                    return answer is not None and answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


def _free_ports(host):
    names = ('inbound', 'outbound', 'ready', 'control', 'app', 'link', 'last')
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in names:
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
    return dict(zip(names, ports, strict=True))


def _resident_mb(pid):
    try:
        text = pathlib.Path(f'/proc/{pid}/statm').read_text()
        pages = int(text.split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf('SC_PAGE_SIZE') / 1e6


class Fleet:
    """Machines, their store and the record of a run.

    Attributes:
        places: Zone and service of each machine.
    """

    def __init__(self, record, places, memory_mb=300, slots=50):
        self.record = record
        self.memory_mb = memory_mb
        self.slots = slots
        self.bounds = {'grace': '6s', 'drain': '2000ms'}
        self.limits = {
            'max_header_bytes': 16_384,
            'max_body_bytes': 67_108_864,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        }
        self.is_closing = False
        self.directory = pathlib.Path(tempfile.mkdtemp())
        high, low = divmod(os.getpid() % 62_500, 250)
        self.prefix = f'127.{high + 1}.{low + 1}'
        self.client = f'{self.prefix}.2'
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = deploy['roles']['node']['run'].split(' ')
        self.store = Store()
        self.machines = [
            Machine(self, i, *place) for i, place in enumerate(places)
        ]
        self._tasks = set()

    def spawn(self, work):
        """Run a coroutine until the fleet is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def document(self, version):
        """Return a configuration as the operator writes it."""
        services = sorted({machine.service for machine in self.machines})
        paths = [
            {
                'name': f'{kind}-{service}',
                'prefix': f'/{kind}/{service}/',
                'service': service,
                'type': kind,
                'timeout': '60s',
                'target_latency': '1000ms',
                'max_attempts': 2,
                'priority': 1,
            }
            for service in services
            for kind in ('safe', 'unsafe')
        ]
        return {
            'version': f'{version:08x}',
            'services': [
                {'name': name, 'max_connections': 1000, 'cold_per_s': 0}
                for name in services
            ],
            'limits': self.limits,
            'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
            'virtual_hosts': [{'hostname': HOST_NAME, 'paths': paths}],
        }

    async def start(self, timeout_s=20.0):
        """Start everything; return when all nodes serve all services."""
        await self.store.start(f'{self.prefix}.1')
        data = json.dumps(self.document(1)).encode()
        await self.store.put('op', 'config', data)
        for machine in self.machines:
            await machine.target.start()
            await machine.start_node()
            self.spawn(machine.target.beat_forever())
        try:
            async with asyncio.timeout(timeout_s):
                for machine in self.machines:
                    await self._wait_serving(machine)
        except TimeoutError:
            raise CannotRunError('the nodes do not serve') from None

    async def _wait_serving(self, machine):
        services = sorted({other.service for other in self.machines})
        for service in services:
            while not await self._probe(machine, service):
                await asyncio.sleep(0.1)

    async def _probe(self, machine, service):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            path = f'/safe/{service}/start'
            head = request_head(path, new_attempt(), 1000)
            async with await connect(
                machine.outbound, self.client
            ) as connection:
                connection.writer.write(encode(*head))
                answer = await read_message(connection.reader)
                return answer is not None and answer.status == 200
        return False

    async def close(self):
        """End all processes that this fleet started."""
        self.is_closing = True
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for task in list(self._tasks):
            task.cancel()
        keep = os.environ.get('KEEP_LOGS')
        if not keep:
            shutil.rmtree(self.directory, ignore_errors=True)


def is_troubled():
    """Whether the run is to bring the disruption about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(case, folder, places, timeout_s=110.0, **options):
    """Run a case; return the exit status of its script.

    The case is called with the fleet and returns the breaches of the rule.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    # It writes a line for each write to a connection that was lost.
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)

    async def whole():
        fleet = Fleet(record, places, **options)
        try:
            async with asyncio.timeout(timeout_s):
                await fleet.start()
                return await case(fleet)
        finally:
            await fleet.close()

    try:
        breaches = asyncio.run(whole())
    except Exception as exc:
        # Not even a fault of the stand-ins counts as a broken rule.
        record.note(f'the case could not run: {type(exc).__name__} {exc}')
        return 2
    for breach in breaches:
        record.note(f'BROKEN: {breach}')
    record.note('the rule was broken' if breaches else 'the rule held')
    return 1 if breaches else 0
