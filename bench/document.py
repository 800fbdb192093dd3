"""Size of the fleet's document and the time to read it."""

import time
import typing

import bench
from parsleystile import fleetconfig

SIZES = (100, 300, 1000)
_KEYS_EACH = 3
_ROUTES = 700
_REPEATS = 7


def _document(organisations: int) -> fleetconfig.FleetConfig:
    names = [f'organisation-{number}' for number in range(organisations)]
    count = organisations * _KEYS_EACH
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


def run() -> typing.Iterator[bench.Result]:
    """Measure documents of several sizes."""
    for organisations in SIZES:
        body = fleetconfig.encode(_document(organisations))
        times_ms = []
        for _ in range(_REPEATS):
            start_ns = time.perf_counter_ns()
            fleetconfig.decode(body)
            times_ms.append((time.perf_counter_ns() - start_ns) / 1e6)
        suffix = f'[organisations={organisations}]'
        yield bench.Result(f'document.size_bytes{suffix}', len(body), 'bytes')
        yield bench.Result(f'document.decode_ms{suffix}', min(times_ms), 'ms')
