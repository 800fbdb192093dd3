"""What a request pays for its key and its route."""

import time
import typing

import bench
from parsleystile import changes
from parsleystile import configstore
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import keys

KEYS = 5000
ROUTES = 350
ROUNDS = 20_000
AUTHENTICATE_TARGET_US = 2.0


def _time_us(work: typing.Callable[[], object]) -> float:
    start_ns = time.perf_counter_ns()
    for _ in range(ROUNDS):
        work()
    return (time.perf_counter_ns() - start_ns) / 1e3 / ROUNDS


def _config(ring: keys.KeyRing, shown: list[str]) -> fleetconfig.FleetConfig:
    organisation = ids.OrganisationId('lavapuu')
    return fleetconfig.FleetConfig(
        version=ids.ConfigVersion(1),
        organisations={
            organisation: fleetconfig.Organisation(rate_per_s=1, burst=1)
        },
        keys={
            fleetconfig.key_id_of(i + 1): fleetconfig.Key(
                organisation=organisation,
                digest=ring.digest_of(keys.fingerprint(key)),
            )
            for i, key in enumerate(shown)
        },
        next_key=len(shown) + 1,
        routes={
            ids.RouteId(f'r{i}'): fleetconfig.Route(
                path_prefix=f'/service-{i}/v1', service=f'service-{i}'
            )
            for i in range(ROUTES)
        },
    )


def _advance_ms(config: fleetconfig.FleetConfig) -> float:
    """Return what a node spends on taking a change from a peer."""
    state = configstore.config_state()
    state.replace(config)
    request = configstore.ChangeRequest(
        change_id='c1',
        operator='olli',
        change=changes.SwitchPreset(name='peak'),
    )
    record = configstore.prepare(config, request, 0.0).ok.record
    start_ns = time.perf_counter_ns()
    if not state.advance(record):
        raise RuntimeError('the change was not taken')
    return (time.perf_counter_ns() - start_ns) / 1e6


def run() -> typing.Iterator[bench.Result]:
    """Measure look-ups in a document of many keys and routes."""
    ring = keys.key_ring(b's' * 32)
    shown = [keys.new_key() for _ in range(KEYS)]
    config = _config(ring, shown)
    start_ns = time.perf_counter_ns()
    ring.load(config)
    load_ms = (time.perf_counter_ns() - start_ns) / 1e6
    key, stranger = shown[0], keys.new_key()
    yield bench.Result('keys.load', load_ms, 'ms')
    yield bench.compare(
        'keys.authenticate',
        _time_us(lambda: ring.authenticate(key)),
        'us',
        AUTHENTICATE_TARGET_US,
    )
    yield bench.Result(
        'keys.reject', _time_us(lambda: ring.authenticate(stranger)), 'us'
    )
    path = f'/service-{ROUTES // 2}/v1/load/17?day=2'
    yield bench.Result(
        'keys.match_route',
        _time_us(lambda: config.match_route('GET', path)),
        'us',
    )
    yield bench.Result('keys.document_advance', _advance_ms(config), 'ms')
    encoded = fleetconfig.encode(config)
    yield bench.Result('keys.document', len(encoded) / 1e3, 'kB')
