"""Size of the configuration document and times to decode and change it."""

import time
import typing

import expression
import msgspec

import bench
from parsleystile import changes
from parsleystile import configstore
from parsleystile import fleetconfig

SIZES = (100, 300, 1000)
_KEYS_PER_ORGANISATION = 3
_ROUTES = 700
_REPEATS = 7


def _document(organisations: int) -> fleetconfig.FleetConfig:
    names = [f'organisation-{number}' for number in range(organisations)]
    count = organisations * _KEYS_PER_ORGANISATION
    return fleetconfig.FleetConfig(
        version=1,
        organisations={
            name: fleetconfig.Organisation(rate_per_s=50, burst=100)
            for name in names
        },
        keys={
            fleetconfig.key_id_of(number + 1): fleetconfig.Key(
                organisation=names[number % organisations],
                digest=f'{number:064x}',
            )
            for number in range(count)
        },
        next_key=count + 1,
        routes={
            f'route-{number}': fleetconfig.Route(
                path_prefix=f'/service-{number // 2}/{number % 2}',
                service=f'service-{number // 2}',
            )
            for number in range(_ROUTES)
        },
    )


def _record(config: fleetconfig.FleetConfig) -> configstore.ChangeRecord:
    request = configstore.ChangeRequest(
        change_id='c0123456789abcdef01234567',
        operator='operator',
        change=changes.IssueKey(
            organisation='organisation-1', digest=f'{10**9:064x}'
        ),
    )
    match configstore.prepare(config, request, 1.79e12):
        case expression.Result(tag='ok', ok=prepared):
            return prepared.record
        case expression.Result(error=error):
            raise error


def _advance_ms(
    config: fleetconfig.FleetConfig, record: configstore.ChangeRecord
) -> float:
    """Return the time a node needs to apply one change."""
    state = configstore.ConfigState()
    state.replace(config)
    start_ns = time.perf_counter_ns()
    if not state.advance(record):
        raise ValueError(f'{record} does not follow')
    return (time.perf_counter_ns() - start_ns) / 1e6


def _decode_ms(body: bytes) -> float:
    start_ns = time.perf_counter_ns()
    fleetconfig.decode(body)
    return (time.perf_counter_ns() - start_ns) / 1e6


def run() -> typing.Iterator[bench.Result]:
    """Measure documents of several sizes."""
    for organisations in SIZES:
        config = _document(organisations)
        record = _record(config)
        body = fleetconfig.encode(config)
        decode_ms = min(_decode_ms(body) for _ in range(_REPEATS))
        advance_ms = min(_advance_ms(config, record) for _ in range(_REPEATS))
        suffix = f'[organisations={organisations}]'
        yield bench.Result(f'document.size_bytes{suffix}', len(body), 'bytes')
        yield bench.Result(f'document.decode_ms{suffix}', decode_ms, 'ms')
        yield bench.Result(f'document.advance_ms{suffix}', advance_ms, 'ms')
    size = len(msgspec.json.encode(record))
    yield bench.Result('document.record_bytes', size, 'bytes')
