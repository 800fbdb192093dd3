"""Wrong refusals by shared quotas, and the cost of sharing them.

Calls that one central token bucket with the organisation's rate and burst
would admit are offered to the fleet; each refusal of such a call is wrong.
The baseline gives each of N nodes a bucket with rate/N and burst/N for the
same calls. The fleet is simulated; only the results in microseconds depend
on this machine.
"""

import dataclasses
import random
import time
import typing

import msgspec

import bench
from bench import quotaworld
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import quotawire
from stubs import tablestate

START_MS = 4_000.0
LENGTH_MS = 60_000.0
RATE_PER_S = 60.0
BURST = 60
SMALL_RATE_PER_S = 2.0
SMALL_BURST = 6
LOAD_RATIO = 0.85
DOMAINS = ['a', 'b', 'c']
NODES_PER_DOMAIN = 5
FLEET_SIZES = (6, 24, 96)
ACQUISITIONS = 200_000
ROUNDS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One call within the rate of its organisation."""

    at_ms: float
    node: int
    organisation: str


class _TokenBucket:
    """A token bucket that starts full."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.at_ms = 0.0

    def try_acquire(self, at_ms: float) -> bool:
        elapsed_s = (at_ms - self.at_ms) / 1e3
        self.tokens = min(
            self.burst, self.tokens + elapsed_s * self.rate_per_s
        )
        self.at_ms = at_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


ChooseNode = typing.Callable[[random.Random, float], int]


def _arrivals(
    organisation: str, rate_per_s: float, burst: float, choose_node: ChooseNode
) -> list[Arrival]:
    rng = random.Random(organisation)
    bucket = _TokenBucket(rate_per_s, burst)
    admitted = []
    at_ms = START_MS
    while at_ms < START_MS + LENGTH_MS:
        at_ms += rng.expovariate(LOAD_RATIO * rate_per_s / 1e3)
        if bucket.try_acquire(at_ms):
            admitted.append(
                Arrival(at_ms, choose_node(rng, at_ms), organisation)
            )
    return admitted


def _fixed_node(rng: random.Random, at_ms: float) -> int:
    return 7


def _rotating_node(rng: random.Random, at_ms: float) -> int:
    # Changes to another node, mostly of another domain, every two seconds.
    return int(at_ms / 2_000.0) * 7 % (len(DOMAINS) * NODES_PER_DOMAIN)


def _random_node(rng: random.Random, at_ms: float) -> int:
    return rng.randrange(len(DOMAINS) * NODES_PER_DOMAIN)


def _config() -> fleetconfig.FleetConfig:
    large = fleetconfig.Organisation(rate_per_s=RATE_PER_S, burst=BURST)
    small = fleetconfig.Organisation(
        rate_per_s=SMALL_RATE_PER_S, burst=SMALL_BURST
    )
    return fleetconfig.FleetConfig(
        organisations={
            ids.OrganisationId(name): limits
            for name, limits in (
                ('large', large),
                ('small', small),
                ('greedy', large),
            )
        }
    )


def _world() -> quotaworld.World:
    domains = [d for d in DOMAINS for _ in range(NODES_PER_DOMAIN)]
    return quotaworld.World(1, domains, _config())


def _offer_greedy(world: quotaworld.World) -> None:
    rng = random.Random(2)
    at_ms = START_MS
    while at_ms < START_MS + LENGTH_MS:
        at_ms += rng.expovariate(5 * RATE_PER_S / 1e3)
        name = f'n{rng.randrange(len(world.hosts))}'
        world.schedule_at(at_ms, lambda name=name: world.call(name, 'greedy'))


def _fail_table(world: quotaworld.World) -> None:
    outage = tablestate.Faults(outage=tablestate.Outage.REFUSE)
    world.schedule_at(
        START_MS + 2_000.0, lambda: setattr(world.table, 'faults', outage)
    )


def _kill_two_nodes(world: quotaworld.World) -> None:
    world.schedule_at(START_MS + 10_000.0, lambda: world.kill('n3'))
    world.schedule_at(START_MS + 30_000.0, lambda: world.kill('n12'))


def _partition_domain(world: quotaworld.World) -> None:
    def partition() -> None:
        world.partition('a', 'c')
        world.partition('b', 'c')
        reachable = frozenset({'a', 'b'})
        world.table.faults = tablestate.Faults(reachable_domains=reachable)

    world.schedule_at(START_MS + 10_000.0, partition)
    world.schedule_at(START_MS + 40_000.0, world.heal)


Fault = typing.Callable[[quotaworld.World], None]


def _no_fault(world: quotaworld.World) -> None:
    pass


_SCENARIOS: list[tuple[str, ChooseNode, Fault]] = [
    ('one_node', _fixed_node, _no_fault),
    ('moving', _rotating_node, _no_fault),
    ('anywhere', _random_node, _no_fault),
    ('moving_beside_5x', _rotating_node, _offer_greedy),
    ('moving_platform_down', _rotating_node, _fail_table),
    ('anywhere_platform_down', _random_node, _fail_table),
    ('anywhere_two_nodes_die', _random_node, _kill_two_nodes),
    ('anywhere_domain_cut_off', _random_node, _partition_domain),
]


def _wrong_refusal_ratio(
    arrivals: list[Arrival], fault: Fault, organisation: str
) -> float:
    world = _world()
    fault(world)
    for arrival in arrivals:
        world.schedule_at(
            arrival.at_ms,
            lambda a=arrival: world.call(f'n{a.node}', a.organisation),
        )
    world.run_until(START_MS + LENGTH_MS + 1_000.0)
    decisions = [d for d in world.decisions if d.organisation == organisation]
    return sum(not d.is_admitted for d in decisions) / len(decisions)


def _static_refusal_ratio(
    arrivals: list[Arrival], limits: _TokenBucket
) -> float:
    count = len(DOMAINS) * NODES_PER_DOMAIN
    nodes = [
        _TokenBucket(limits.rate_per_s / count, max(1.0, limits.burst / count))
        for _ in range(count)
    ]
    refused = sum(not nodes[a.node].try_acquire(a.at_ms) for a in arrivals)
    return refused / len(arrivals)


def _wrong_refusals() -> typing.Iterator[bench.Result]:
    sizes = (
        ('large', RATE_PER_S, BURST),
        ('small', SMALL_RATE_PER_S, SMALL_BURST),
    )
    for name, choose_node, fault in _SCENARIOS:
        for organisation, rate_per_s, burst in sizes:
            arrivals = _arrivals(organisation, rate_per_s, burst, choose_node)
            ratio = _wrong_refusal_ratio(arrivals, fault, organisation)
            static = _static_refusal_ratio(
                arrivals, _TokenBucket(rate_per_s, burst)
            )
            yield bench.compare(
                f'quota.wrong_refusals.{name}.{organisation}',
                ratio,
                'share',
                static,
            )


def _overload() -> typing.Iterator[bench.Result]:
    world = _world()
    _offer_greedy(world)
    world.run_until(START_MS + LENGTH_MS)
    admitted = sum(d.is_admitted for d in world.decisions)
    allowed = BURST + RATE_PER_S * LENGTH_MS / 1e3
    yield bench.compare(
        'quota.admitted_at_5x', float(admitted), 'calls', allowed
    )


def _costs_by_fleet_size() -> typing.Iterator[bench.Result]:
    for size in FLEET_SIZES:
        world = quotaworld.World(
            1, [DOMAINS[i % len(DOMAINS)] for i in range(size)], _config()
        )
        world.run_until(30_000.0)
        before = (world.messages, world.message_bytes)
        rows = world.table.counts.rows_written
        reads = world.table.counts.scans + world.table.counts.reads
        rng = random.Random(3)
        for i in range(int(LOAD_RATIO * RATE_PER_S * 20)):
            name = f'n{rng.randrange(size)}'
            world.schedule_at(
                30_000.0 + i * 20_000.0 / (LOAD_RATIO * RATE_PER_S * 20),
                lambda w=world, n=name: w.call(n, 'large'),
            )
        world.run_until(50_000.0)
        per_node_s = 1 / size / 20.0
        messages = (world.messages - before[0]) * per_node_s
        sent = (world.message_bytes - before[1]) * per_node_s
        written = (world.table.counts.rows_written - rows) / 20.0
        read = (world.table.counts.scans + world.table.counts.reads) - reads
        label = f'quota.slope.{size}_nodes'
        yield bench.Result(f'{label}.messages', messages, '1/s/node')
        yield bench.Result(f'{label}.sent', sent, 'B/s/node')
        yield bench.Result(f'{label}.rows_written', written, '1/s')
        yield bench.Result(f'{label}.table_reads', read / 20.0, '1/s')


def _costs() -> typing.Iterator[bench.Result]:
    world = quotaworld.World(1, ['a', 'b', 'c'], _config())
    world.run_until(START_MS)
    organisation = ids.OrganisationId('large')
    world.call('n0', organisation)
    world.run_until(START_MS + 100.0)
    host = world.hosts['n0']
    start_ms = START_MS + 100.0 + host.clock_skew_ms
    try_acquire = host.node.try_acquire
    bucket = host.node.borrower._buckets[organisation]
    for label, tokens in (('admitted', 2.0 * ACQUISITIONS), ('refused', 0.0)):
        bucket.tokens = bucket.burst = tokens
        bucket.rate_per_ms = bucket.low_watermark = 0.0
        bucket.next_expiry_ms = float('inf')
        began = time.perf_counter()
        for _ in range(ACQUISITIONS):
            try_acquire(organisation, start_ms)
        spent_us = (time.perf_counter() - began) / ACQUISITIONS * 1e6
        yield bench.compare(f'quota.take.{label}', spent_us, 'us', 2.0)
    yield from _round_costs(world)


def _round_costs(world: quotaworld.World) -> typing.Iterator[bench.Result]:
    """Measure the coding and handling of a grant request of one item."""
    other = world.hosts['n1']
    spent = {'lend': 0.0, 'code': 0.0}
    for number in range(ROUNDS):
        now_ms = START_MS + number + other.clock_skew_ms
        item = quotawire.GrantRequestItem('large', 0, 0, 0, 0, 5, 5, 2, 2, 1)
        request = quotawire.GrantRequest('b', 'p', number + 1, '', [item])
        began = time.perf_counter()
        payload = msgspec.msgpack.encode(request)
        request = msgspec.msgpack.decode(payload, type=quotawire.GrantRequest)
        coded = time.perf_counter()
        other.node.on_grant_request(request, now_ms)
        spent['code'] += coded - began
        spent['lend'] += time.perf_counter() - coded
    for name, seconds in spent.items():
        yield bench.Result(f'quota.round.{name}', seconds / ROUNDS * 1e6, 'us')


def run() -> typing.Iterator[bench.Result]:
    """Measure wrong refusals, costs by fleet size and times per call."""
    yield from _wrong_refusals()
    yield from _overload()
    yield from _costs_by_fleet_size()
    yield from _costs()
