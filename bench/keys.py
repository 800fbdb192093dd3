"""Time to authenticate a key and match a route."""

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


def _mean_us(operation: typing.Callable[[], object]) -> float:
    start_ns = time.perf_counter_ns()
    for _ in range(ROUNDS):
        operation()
    return (time.perf_counter_ns() - start_ns) / 1e3 / ROUNDS


def _config(
    ring: keys.KeyRing, plain_keys: list[str]
) -> fleetconfig.FleetConfig:
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
            for i, key in enumerate(plain_keys)
        },
        next_key=len(plain_keys) + 1,
        routes={
            ids.RouteId(f'r{i}'): fleetconfig.Route(
                path_prefix=f'/service-{i}/v1', service=f'service-{i}'
            )
            for i in range(ROUTES)
        },
    )


def _advance_ms(config: fleetconfig.FleetConfig) -> float:
    """Return the time a node needs to apply a change from a peer."""
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
        raise RuntimeError('the change was not applied')
    return (time.perf_counter_ns() - start_ns) / 1e6


def run() -> typing.Iterator[bench.Result]:
    """Measure look-ups in a large configuration document."""
    ring = keys.key_ring(b's' * 32)
    plain_keys = [keys.new_key() for _ in range(KEYS)]
    config = _config(ring, plain_keys)
    start_ns = time.perf_counter_ns()
    ring.load(config)
    load_ms = (time.perf_counter_ns() - start_ns) / 1e6
    key, unknown_key = plain_keys[0], keys.new_key()
    yield bench.Result('keys.load', load_ms, 'ms')
    yield bench.compare(
        'keys.authenticate',
        _mean_us(lambda: ring.authenticate(key)),
        'us',
        AUTHENTICATE_TARGET_US,
    )
    yield bench.Result(
        'keys.reject', _mean_us(lambda: ring.authenticate(unknown_key)), 'us'
    )
    path = f'/service-{ROUTES // 2}/v1/load/17?day=2'
    yield bench.Result(
        'keys.match_route',
        _mean_us(lambda: config.match_route('GET', path)),
        'us',
    )
    yield bench.Result('keys.document_advance', _advance_ms(config), 'ms')
    encoded = fleetconfig.encode(config)
    yield bench.Result('keys.document', len(encoded) / 1e3, 'kB')
