"""Latency added to a call by nodes, compared with a plain two-hop relay.

One call is in flight at a time. Direct calls, relayed calls and calls
through nodes alternate, so that other load on the machine affects all
three equally.
"""

import dataclasses
import functools
import http.client
import os
import pathlib
import time
import typing

from hdrh import histogram

import bench
from parsleystile import fleetconfig
from stubs import processes

CHAINS = (1, 3, 22)
CALLS = {1: 4000, 3: 1000, 22: 120}
CALLS_PER_S = 200.0
WARM_UP_CALLS = 50
TARGET_ADDED_P99_MS = 0.37
_KEY = 'bench-key'
_NS_PER_MS = 1e6
_MAX_NS = 60_000_000_000
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@dataclasses.dataclass(slots=True)
class Variant:
    """One way to call the chain: direct, by relays or through nodes."""

    name: str
    port: int
    headers: dict[str, str]
    connection: http.client.HTTPConnection | None = None
    latencies: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1000, _MAX_NS, 3)
    )

    def call(self) -> int:
        """Make one call; return its latency in ns."""
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                '127.0.0.1', self.port, timeout=60
            )
        start_ns = time.perf_counter_ns()
        self.connection.request('GET', '/s1/item', headers=self.headers)
        answer = self.connection.getresponse()
        answer.read()
        spent_ns = time.perf_counter_ns() - start_ns
        if answer.status != 200:
            raise RuntimeError(f'{self.name} answered {answer.status}')
        return spent_ns

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies."""
        return self.latencies.get_value_at_percentile(percentile) / _NS_PER_MS


def chain_config(
    secret: str, length: int, key: str
) -> fleetconfig.FleetConfig:
    """Create the configuration of a chain of services ``s1`` to ``sN``."""
    return fleetconfig.FleetConfig(
        version=1,
        organisations={
            'bench': fleetconfig.Organisation(rate_per_s=1e5, burst=100_000)
        },
        routes={
            f's{i}': fleetconfig.Route(
                path_prefix=f'/s{i}',
                service=f's{i}',
                is_idempotent=True,
                timeout_ms=30_000,
            )
            for i in range(1, length + 1)
        },
        keys={
            'k1': fleetconfig.Key(
                organisation='bench',
                digest=processes.key_digest(secret, key),
            )
        },
        next_key=2,
    )


def _start_without_nodes(
    fleet: processes.Fleet, length: int
) -> tuple[int, int]:
    """Start chains without nodes; return the direct and relay ports."""
    ports = processes.free_ports(2 * length + 2)
    direct, relayed = ports[:length], ports[length : 2 * length]
    front, back = ports[2 * length :]
    for i in range(length):
        for kind, own, base in (
            ('direct', direct, f'127.0.0.1:{direct[(i + 1) % length]}'),
            ('relayed', relayed, f'127.0.0.1:{front}'),
        ):
            arguments = [
                'stubs.target',
                f'--service=s{i + 1}',
                f'--port={own[i]}',
                f'--child-base=http://{base}',
            ]
            if i + 1 < length:
                arguments.append(f'--child=/s{i + 2}/item')
            fleet.spawn(f'{kind}{i}', arguments)
    fleet.spawn(
        'front', ['bench.relay', f'--port={front}', f'--to=/=127.0.0.1:{back}']
    )
    to = [f'--to=/s{i + 1}=127.0.0.1:{relayed[i]}' for i in range(length)]
    fleet.spawn('back', ['bench.relay', f'--port={back}', *to])
    for port in ports:
        condition = functools.partial(processes.is_listening, port)
        processes.wait_for(condition, f'port {port}')
    return direct[0], front


def start_nodes(fleet: processes.Fleet, length: int) -> int:
    """Start the chain with nodes; return the caller port of a node."""
    fleet.start_table()
    fleet.write_config(chain_config(fleet.secret, length, _KEY))
    for i in range(1, length + 1):
        child = (f'--child=/s{i + 1}/item',) if i < length else ()
        domain = f'd{i % 3}'
        fleet.start_node(
            processes.NodeSpec(f'n{i}', f's{i}', domain, target_options=child)
        )
    # Calls enter at a node without a target, so that each crosses a link.
    entry = fleet.start_node(processes.NodeSpec('entry', '', 'd0'))
    return entry.caller_port


def cpu_s(pid: int) -> float:
    """Return the CPU time used by a process, in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _measure(variants: list[Variant], calls: int) -> None:
    for variant in variants:
        for _ in range(WARM_UP_CALLS):
            variant.call()
    period_s = 1.0 / CALLS_PER_S
    next_s = time.monotonic()
    for _ in range(calls):
        for variant in variants:
            variant.latencies.record_value(variant.call())
            next_s += period_s
            time.sleep(max(0.0, next_s - time.monotonic()))


def wait_ready(variant: Variant) -> None:
    """Wait until a call succeeds."""

    def is_answered() -> bool:
        try:
            variant.call()
        except (RuntimeError, OSError, http.client.HTTPException):
            variant.connection = None
            return False
        return True

    processes.wait_for(is_answered, f'{variant.name} answers', timeout_s=30)


def _run_chain(length: int) -> typing.Iterator[bench.Result]:
    with processes.Fleet() as fleet:
        direct_port, relay_port = _start_without_nodes(fleet, length)
        entry_port = start_nodes(fleet, length)
        variants = [
            Variant('direct', direct_port, {}),
            Variant('relay', relay_port, {}),
            Variant('ours', entry_port, {'X-Api-Key': _KEY}),
        ]
        for variant in variants:
            wait_ready(variant)
        nodes = [n.process.pid for n in fleet.nodes.values()]
        before_s = sum(map(cpu_s, nodes))
        _measure(variants, CALLS[length])
        spent_s = sum(map(cpu_s, nodes)) - before_s
    calls = CALLS[length] + WARM_UP_CALLS
    yield from _report(length, variants, 1000 * spent_s / calls)


def _report(
    length: int, variants: list[Variant], cpu_ms: float
) -> typing.Iterator[bench.Result]:
    direct, relay, ours = variants
    prefix = f'latency.chain{length}'
    for name, percentile in (('p50', 50.0), ('p99', 99.0)):
        base_ms = direct.percentile_ms(percentile)
        yield bench.Result(f'{prefix}.direct.{name}', base_ms, 'ms')
        added_ms = ours.percentile_ms(percentile) - base_ms
        relay_ms = relay.percentile_ms(percentile) - base_ms
        yield bench.compare(f'{prefix}.added.{name}', added_ms, 'ms', relay_ms)
        if length == 1 and name == 'p99':
            yield bench.compare(
                f'{prefix}.added.{name}.of_target',
                added_ms,
                'ms',
                TARGET_ADDED_P99_MS,
            )
    yield bench.Result(f'{prefix}.cpu_all_nodes', cpu_ms, 'ms/call')


def run() -> typing.Iterator[bench.Result]:
    """Measure chains of 1, 3 and 22 services."""
    for length in CHAINS:
        yield from _run_chain(length)
