"""Refusals inside the rate, and what sharing the quotas costs.

Arrivals that one central bucket of the organisation's rate and burst would
admit are offered to the fleet; every refusal of one is wrong. The baseline
gives each of N nodes rate/N and burst/N on the same arrivals. Runs are
driven, on virtual time; only the microseconds are of this machine.
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
LOAD = 0.85
DOMAINS = ['a', 'b', 'c']
NODES_PER_DOMAIN = 5
FLEET_SIZES = (6, 24, 96)
TAKES = 200_000
ROUNDS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One call inside its organisation's rate."""

    at_ms: float
    node: int
    organisation: str


class _Bucket:
    """A token bucket that starts full."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = burst
        self.at_ms = 0.0

    def take(self, at_ms: float) -> bool:
        passed_s = (at_ms - self.at_ms) / 1e3
        self.level = min(self.burst, self.level + passed_s * self.rate_per_s)
        self.at_ms = at_ms
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


Choose = typing.Callable[[random.Random, float], int]


def _arrivals(
    organisation: str, rate_per_s: float, burst: float, choose: Choose
) -> list[Arrival]:
    rng = random.Random(organisation)
    bucket = _Bucket(rate_per_s, burst)
    found = []
    at_ms = START_MS
    while at_ms < START_MS + LENGTH_MS:
        at_ms += rng.expovariate(LOAD * rate_per_s / 1e3)
        if bucket.take(at_ms):
            found.append(Arrival(at_ms, choose(rng, at_ms), organisation))
    return found


def _one_node(rng: random.Random, at_ms: float) -> int:
    return 7


def _moving(rng: random.Random, at_ms: float) -> int:
    # Another node, mostly of another domain, every two seconds.
    return int(at_ms / 2_000.0) * 7 % (len(DOMAINS) * NODES_PER_DOMAIN)


def _anywhere(rng: random.Random, at_ms: float) -> int:
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


def _lose_table(world: quotaworld.World) -> None:
    outage = tablestate.Faults(outage=tablestate.Outage.REFUSE)
    world.schedule_at(
        START_MS + 2_000.0, lambda: setattr(world.table, 'faults', outage)
    )


def _kill_a_lender(world: quotaworld.World) -> None:
    world.schedule_at(START_MS + 10_000.0, lambda: world.kill('n3'))
    world.schedule_at(START_MS + 30_000.0, lambda: world.kill('n12'))


def _cut_off_a_domain(world: quotaworld.World) -> None:
    def cut() -> None:
        world.partition('a', 'c')
        world.partition('b', 'c')
        reachable = frozenset({'a', 'b'})
        world.table.faults = tablestate.Faults(reachable_domains=reachable)

    world.schedule_at(START_MS + 10_000.0, cut)
    world.schedule_at(START_MS + 40_000.0, world.heal)


Trouble = typing.Callable[[quotaworld.World], None]


def _nothing(world: quotaworld.World) -> None:
    pass


_SCENARIOS: list[tuple[str, Choose, Trouble]] = [
    ('one_node', _one_node, _nothing),
    ('moving', _moving, _nothing),
    ('anywhere', _anywhere, _nothing),
    ('moving_beside_5x', _moving, _offer_greedy),
    ('moving_platform_down', _moving, _lose_table),
    ('anywhere_platform_down', _anywhere, _lose_table),
    ('anywhere_two_nodes_die', _anywhere, _kill_a_lender),
    ('anywhere_domain_cut_off', _anywhere, _cut_off_a_domain),
]


def _wrong_share(
    arrivals: list[Arrival], trouble: Trouble, organisation: str
) -> float:
    world = _world()
    trouble(world)
    for arrival in arrivals:
        world.schedule_at(
            arrival.at_ms,
            lambda a=arrival: world.call(f'n{a.node}', a.organisation),
        )
    world.run_until(START_MS + LENGTH_MS + 1_000.0)
    takes = [t for t in world.decisions if t.organisation == organisation]
    return sum(not take.is_admitted for take in takes) / len(takes)


def _static_share(arrivals: list[Arrival], limits: _Bucket) -> float:
    count = len(DOMAINS) * NODES_PER_DOMAIN
    nodes = [
        _Bucket(limits.rate_per_s / count, max(1.0, limits.burst / count))
        for _ in range(count)
    ]
    refused = sum(not nodes[a.node].take(a.at_ms) for a in arrivals)
    return refused / len(arrivals)


def _wrong_refusals() -> typing.Iterator[bench.Result]:
    sizes = (
        ('large', RATE_PER_S, BURST),
        ('small', SMALL_RATE_PER_S, SMALL_BURST),
    )
    for name, choose, trouble in _SCENARIOS:
        for organisation, rate_per_s, burst in sizes:
            arrivals = _arrivals(organisation, rate_per_s, burst, choose)
            share = _wrong_share(arrivals, trouble, organisation)
            static = _static_share(arrivals, _Bucket(rate_per_s, burst))
            yield bench.compare(
                f'quota.wrong_refusals.{name}.{organisation}',
                share,
                'share',
                static,
            )


def _overload() -> typing.Iterator[bench.Result]:
    world = _world()
    _offer_greedy(world)
    world.run_until(START_MS + LENGTH_MS)
    admitted = sum(take.is_admitted for take in world.decisions)
    allowed = BURST + RATE_PER_S * LENGTH_MS / 1e3
    yield bench.compare(
        'quota.admitted_at_5x', float(admitted), 'calls', allowed
    )


def _slopes() -> typing.Iterator[bench.Result]:
    for size in FLEET_SIZES:
        world = quotaworld.World(
            1, [DOMAINS[i % len(DOMAINS)] for i in range(size)], _config()
        )
        world.run_until(30_000.0)
        before = (world.messages, world.message_bytes)
        rows = world.table.counts.rows_written
        reads = world.table.counts.scans + world.table.counts.reads
        rng = random.Random(3)
        for i in range(int(LOAD * RATE_PER_S * 20)):
            name = f'n{rng.randrange(size)}'
            world.schedule_at(
                30_000.0 + i * 20_000.0 / (LOAD * RATE_PER_S * 20),
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
    for label, tokens in (('admitted', 2.0 * TAKES), ('refused', 0.0)):
        bucket.tokens = bucket.burst = tokens
        bucket.rate_per_ms = bucket.low_watermark = 0.0
        bucket.next_expiry_ms = float('inf')
        began = time.perf_counter()
        for _ in range(TAKES):
            try_acquire(organisation, start_ms)
        spent_us = (time.perf_counter() - began) / TAKES * 1e6
        yield bench.compare(f'quota.take.{label}', spent_us, 'us', 2.0)
    yield from _round_costs(world)


def _round_costs(world: quotaworld.World) -> typing.Iterator[bench.Result]:
    """Time the coding and the lending of one ask of one item."""
    other = world.hosts['n1']
    spent = {'lend': 0.0, 'code': 0.0}
    for number in range(ROUNDS):
        now_ms = START_MS + number + other.clock_skew_ms
        item = quotawire.GrantRequestItem('large', 0, 0, 0, 0, 5, 5, 2, 2, 1)
        ask = quotawire.GrantRequest('b', 'p', number + 1, '', [item])
        began = time.perf_counter()
        payload = msgspec.msgpack.encode(ask)
        ask = msgspec.msgpack.decode(payload, type=quotawire.GrantRequest)
        coded = time.perf_counter()
        other.node.on_grant_request(ask, now_ms)
        spent['code'] += coded - began
        spent['lend'] += time.perf_counter() - coded
    for name, seconds in spent.items():
        yield bench.Result(f'quota.round.{name}', seconds / ROUNDS * 1e6, 'us')


def run() -> typing.Iterator[bench.Result]:
    """Yield wrong refusals, slopes over the fleet's size, and costs."""
    yield from _wrong_refusals()
    yield from _overload()
    yield from _slopes()
    yield from _costs()
