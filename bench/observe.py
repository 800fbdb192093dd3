"""Time and memory of the call log and the burn counters per call."""

import time
import tracemalloc
import typing

import bench
from parsleystile import burn
from parsleystile import errors
from parsleystile import explain

_CALLS = 200_000
_REPEATS = 5


def _best_us(operation: typing.Callable[[int], None]) -> float:
    """Return the shortest mean time of an operation in microseconds."""
    times = []
    for _ in range(_REPEATS):
        start = time.perf_counter_ns()
        for number in range(_CALLS):
            operation(number)
        times.append(time.perf_counter_ns() - start)
    return min(times) / _CALLS / 1000


def _record_us(outcome: errors.Outcome, reason: errors.Reason) -> float:
    recorder = burn.burn_recorder('n1', 'd1', 0.0)

    def operation(number: int) -> None:
        now_ms = number * 0.5
        recorder.record('homes', outcome, reason, 3.0, True, now_ms)

    return _best_us(operation)


def _log_step_us() -> float:
    log = explain.call_log('n1')

    def operation(number: int) -> None:
        log.record('root', explain.Admitted(3, 20), number)

    return _best_us(operation)


def _sampled_us() -> float:
    return _best_us(lambda number: explain.is_sampled('0123456789abcdef'))


def _burn_kib(organisations: int) -> float:
    tracemalloc.start()
    recorder = burn.burn_recorder('n1', 'd1', 0.0)
    for number in range(organisations):
        recorder.record(
            f'o{number}',
            errors.Outcome.ANSWERED,
            errors.Reason.NONE,
            3.0,
            True,
            0.0,
        )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def _busy_recorder(organisations: int) -> burn.BurnRecorder:
    """Return a recorder with an hour of calls of each organisation."""
    recorder = burn.burn_recorder('n1', 'd1', 0.0)
    for number in range(organisations * 3600):
        recorder.record(
            f'o{number % organisations}',
            errors.Outcome.ANSWERED,
            errors.Reason.NONE,
            3.0,
            True,
            number * 1000 / organisations,
        )
    return recorder


def _snapshot_ms(recorder: burn.BurnRecorder) -> float:
    """Return the time to take and encode a snapshot."""
    times_ms = []
    for _ in range(_REPEATS):
        start_ns = time.perf_counter_ns()
        burn.encode(recorder.snapshot(3_600_000.0))
        times_ms.append((time.perf_counter_ns() - start_ns) / 1e6)
    return min(times_ms)


def _call_log_kib() -> float:
    """Return the memory of a call log with full ring buffers."""
    tracemalloc.start()
    log = explain.call_log('n1')
    for number in range(2 * explain.MAX_STEPS):
        root_id = f'{number:016x}'
        for reason in (errors.Reason.SHED, errors.Reason.RATE_LIMITED):
            refused = explain.Refused(
                explain.Stage.SHED,
                errors.Outcome.NOT_RUN,
                reason,
                f'level {number}',
            )
            log.record(root_id, refused, float(number))
        log.record(root_id, explain.Admitted(3, 20), float(number))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def run() -> typing.Iterator[bench.Result]:
    """Measure what is recorded for each call."""
    answered = _record_us(errors.Outcome.ANSWERED, errors.Reason.NONE)
    yield bench.Result('burn_record_answered', answered, 'us')
    refused = _record_us(errors.Outcome.NOT_RUN, errors.Reason.SHED)
    yield bench.Result('burn_record_refused', refused, 'us')
    yield bench.Result('call_log_note', _log_step_us(), 'us')
    yield bench.Result('call_log_is_sampled', _sampled_us(), 'us')
    for organisations in (8, 32, 128):
        suffix = f'[organisations={organisations}]'
        yield bench.Result(
            f'burn_memory{suffix}', _burn_kib(organisations), 'KiB'
        )
        recorder = _busy_recorder(organisations)
        size = len(burn.encode(recorder.snapshot(3_600_000.0)))
        yield bench.Result(f'burn_snapshot{suffix}', size, 'bytes')
        taken_ms = _snapshot_ms(recorder)
        yield bench.Result(f'burn_snapshot_ms{suffix}', taken_ms, 'ms')
    yield bench.Result('call_log_memory', _call_log_kib(), 'KiB')
