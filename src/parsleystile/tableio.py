"""Table requests and results as actions and events of state machines."""

import asyncio
import dataclasses
import enum
import logging
import typing

import expression

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import readback
from parsleystile import table

_log = logging.getLogger(__name__)


class SwapOutcome(enum.Enum):
    """What became of a compare-and-swap."""

    WRITTEN = 'written'
    CONFLICT = 'conflict'
    # Surely not written.
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Action: read every row under each prefix, one prefix after the other.

    What a later prefix shows is no older than what an earlier one shows.
    """

    prefixes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Action: read one row."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Swap:
    """Action: apply all writes or none.

    The value of the first write must be unlike that of any other write.
    """

    writes: tuple[table.Write, ...]


Request = Scan | Read | Swap


@dataclasses.dataclass(frozen=True, slots=True)
class ScanDone:
    """Event: the rows under each prefix; None if one could not be read."""

    prefixes: tuple[str, ...]
    rows: tuple[tuple[table.Row, ...], ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDone:
    """Event: one row as read.

    Attributes:
        key: The row that was asked for.
        is_known: False if the table could not be read.
        row: None if the row is absent.
    """

    key: str
    is_known: bool
    row: table.Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class SwapDone:
    """Event: the result of a compare-and-swap."""

    swap: Swap
    outcome: SwapOutcome


Event = ScanDone | ReadDone | SwapDone
OnEvent = typing.Callable[[Event, float], None]


async def perform(client: table.TableClient, request: Request) -> Event:
    """Do what ``request`` asks and return the event that tells of it."""
    match request:
        case Scan(prefixes):
            return await _scan(client, prefixes)
        case Read(key):
            return _to_read_done(key, await client.read(key))
        case Swap(writes):
            value = writes[0].value
            result = await readback.compare_and_swap(
                client, list(writes), lambda found: found == value
            )
            return SwapDone(request, _to_outcome(result))


async def _scan(
    client: table.TableClient, prefixes: tuple[str, ...]
) -> ScanDone:
    found = []
    for prefix in prefixes:
        rows = (await client.scan(prefix)).default_value(None)
        if rows is None:
            return ScanDone(prefixes, None)
        found.append(tuple(rows))
    return ScanDone(prefixes, tuple(found))


def _to_read_done(
    key: str, result: expression.Result[table.Row | None, errors.TableError]
) -> ReadDone:
    match result:
        case expression.Result(tag='ok', ok=row):
            return ReadDone(key, True, row)
        case _:
            return ReadDone(key, False, None)


def _to_outcome(
    result: expression.Result[list[int], errors.TableError],
) -> SwapOutcome:
    match result:
        case expression.Result(tag='ok'):
            return SwapOutcome.WRITTEN
        case expression.Result(error=errors.VersionConflictError()):
            return SwapOutcome.CONFLICT
        case expression.Result(error=errors.TableUnavailableError()):
            return SwapOutcome.UNAVAILABLE
        case _:
            return SwapOutcome.UNKNOWN


class TableRunner:
    """Performs requests as tasks and reports each result as an event."""

    def __init__(self, client: table.TableClient, clock: clocks.Clock) -> None:
        self._client = client
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()

    def submit(self, request: Request, on_event: OnEvent) -> None:
        """Start ``request``; ``on_event`` gets the result and the time."""
        task = asyncio.get_running_loop().create_task(
            self._run(request, on_event)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait until no request is under way."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def cancel(self) -> None:
        """Stop waiting for requests under way."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, request: Request, on_event: OnEvent) -> None:
        event = await perform(self._client, request)
        try:
            on_event(event, self._clock.now_ms())
        except Exception:
            _log.exception('event handler failed')
            raise


def table_runner(
    client: table.TableClient, clock: clocks.Clock
) -> TableRunner:
    """Create a runner of requests to ``client``."""
    return TableRunner(client, clock)
