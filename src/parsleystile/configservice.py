"""Keeps a node's document up to date, and accepts changes of it.

The shell around ``configstore``: talks to the table and to peers, and puts
documents in force by a callback.
"""

import dataclasses
import enum
import random
import typing

import expression
import msgspec

from parsleystile import _tasks
from parsleystile import changes
from parsleystile import clock as clocks
from parsleystile import configstore
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import metrics as metric
from parsleystile import readback
from parsleystile import table
from parsleystile import transport

FETCH_KIND = 'config.fetch'
FETCH_TIMEOUT_MS = 2000
# The head is polled in case no peer can tell of a new version: at least so
# far apart, and in the whole fleet no more often than this.
POLL_PERIOD_MS = 5000.0
EMPTY_POLL_PERIOD_MS = 500.0
POLLS_PER_S = 20.0
SUBMIT_TRIES = 8
_MS_PER_S = 1000.0

ApplyConfig = typing.Callable[[fleetconfig.FleetConfig], None]


class ChangeOutcome(enum.Enum):
    """What became of a change, as far as an operator may rely on it."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    # It may have been accepted: ask again with the same change id.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeResult:
    """The answer to a change.

    Attributes:
        version: That the change made; 0 if there is none.
        error: Why it was refused or is unknown.
    """

    outcome: ChangeOutcome
    version: ids.ConfigVersion = ids.ConfigVersion(0)
    error: errors.ParsleystileError | None = None


_Document = tuple[fleetconfig.FleetConfig, int]


def _accepted(version: ids.ConfigVersion) -> ChangeResult:
    return ChangeResult(ChangeOutcome.ACCEPTED, version)


def _refused(error: errors.ParsleystileError) -> ChangeResult:
    return ChangeResult(ChangeOutcome.REFUSED, error=error)


def _unknown(error: errors.ParsleystileError) -> ChangeResult:
    return ChangeResult(ChangeOutcome.UNKNOWN, error=error)


class _Failed(Exception):
    def __init__(self, error: errors.TableError) -> None:
        super().__init__(str(error))
        self.error = error


class ConfigService:
    """The document of one node.

    Attributes:
        state: The document in force and the latest changes.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        links: transport.Transport,
        rows: table.TableClient,
        metrics: metric.Metrics,
        apply_config: ApplyConfig,
    ) -> None:
        self.state = configstore.config_state()
        self._clock = clock
        self._rng = rng
        self._links = links
        self._table = rows
        self._metrics = metrics
        self._apply_config = apply_config
        self._tasks = _tasks.background_tasks()
        self._is_fetching = False
        self._next_poll_ms = 0.0
        links.handle_control(FETCH_KIND, self._serve_fetch)

    def close(self) -> None:
        """Stop what is under way."""
        self._tasks.close()

    def tick(self, now_ms: float, fleet_size: int) -> None:
        """Poll the table when it is time."""
        if now_ms < self._next_poll_ms:
            return
        has_document = self.state.config.version > 0
        period_ms = max(
            POLL_PERIOD_MS if has_document else EMPTY_POLL_PERIOD_MS,
            fleet_size * _MS_PER_S / POLLS_PER_S,
        )
        self._next_poll_ms = now_ms + period_ms * self._rng.uniform(0.5, 1.5)
        self._tasks.start('poll', self.poll)

    def fetch(self, version: int, peer: transport.Address) -> None:
        """Get a newer version from a peer that has it in force."""
        if self._is_fetching or version <= self.state.config.version:
            return
        self._is_fetching = True
        self._ask(peer, self.state.config.version)

    async def poll(self) -> None:
        """Take the newest document of the table, if it is newer."""
        match await self._table.read(configstore.HEAD_KEY):
            case expression.Result(tag='ok', ok=row):
                pass
            case _:
                return
        if row is not None:
            head = msgspec.json.decode(row.value, type=configstore.Head)
            if head.version <= self.state.config.version:
                return
        try:
            config, _ = await self._read_document()
        except _Failed:
            return
        if self.state.replace(config):
            self._in_force()

    async def submit(self, request: configstore.ChangeRequest) -> ChangeResult:
        """Make a change, once, however often it is submitted."""
        if request.based_on is None:
            request = msgspec.structs.replace(
                request, based_on=self.state.config.version
            )
        result = await self._submit(request)
        if result.outcome is ChangeOutcome.ACCEPTED:
            await self._catch_up(result.version)
        return result

    async def _submit(
        self, request: configstore.ChangeRequest
    ) -> ChangeResult:
        doubt: ChangeResult | None = None
        result = None
        for _ in range(SUBMIT_TRIES):
            try:
                result = await self._try(request)
            except _Failed as exc:
                # This try wrote nothing, an earlier one may have.
                return doubt or _refused(exc.error)
            if result.outcome is ChangeOutcome.UNKNOWN:
                doubt = result
            elif not _is_lost_race(result):
                break
        if doubt is None or result.outcome is not ChangeOutcome.REFUSED:
            return result
        return await self._resolve(request, result)

    async def _resolve(
        self, request: configstore.ChangeRequest, refused: ChangeResult
    ) -> ChangeResult:
        # The document has moved on since the try in doubt, which can't
        # take effect any more unless it has.
        try:
            done = await self._read(configstore.id_key(request.change_id))
        except _Failed as exc:
            return _unknown(exc.error)
        if done is None:
            return refused
        return await self._done_before(request, done)

    async def history(
        self,
    ) -> expression.Result[list[configstore.ChangeRecord], errors.TableError]:
        """Return the changes that the table keeps, oldest first."""
        match await self._table.scan(configstore.CHANGE_PREFIX):
            case expression.Result(tag='ok', ok=rows):
                return expression.Ok([_record_of(row) for row in rows])
            case expression.Result(error=error):
                return expression.Error(error)

    async def _try(self, request: configstore.ChangeRequest) -> ChangeResult:
        done = await self._read(configstore.id_key(request.change_id))
        if done is not None:
            return await self._done_before(request, done)
        config, row_version = await self._read_document()
        if config.version < self.state.config.version:
            return _refused(
                errors.TableError(
                    f'the table holds version {config.version}, older than '
                    f'version {self.state.config.version} in force'
                )
            )
        conflict = await self._find_conflict(request, config.version)
        if conflict is not None:
            return _refused(conflict)
        match configstore.prepare(config, request, self._clock.wall_ms()):
            case expression.Result(tag='ok', ok=prepared):
                return await self._write(prepared, row_version)
            case expression.Result(error=error):
                return _refused(error)

    async def _done_before(
        self, request: configstore.ChangeRequest, done: table.Row
    ) -> ChangeResult:
        head = msgspec.json.decode(done.value, type=configstore.Head)
        row = await self._read(configstore.change_key(head.version))
        if row is not None and _record_of(row).change != request.change:
            return _refused(
                errors.SettingsError(
                    'change_id',
                    f'{request.change_id!r} was another change, of '
                    f'version {head.version}',
                )
            )
        return _accepted(head.version)

    async def _find_conflict(
        self, request: configstore.ChangeRequest, newest: int
    ) -> errors.ConflictError | None:
        based_on = request.based_on or 0
        if newest - based_on > configstore.MAX_CHANGES_BEHIND:
            path = changes.path_of(request.change)
            return errors.ConflictError(path, based_on, newest)
        later = []
        for version in range(based_on + 1, newest + 1):
            row = await self._read(configstore.change_key(version))
            if row is not None:
                later.append(_record_of(row))
        return configstore.find_conflict(request.change, based_on, later)

    async def _write(
        self, prepared: configstore.Prepared, row_version: int
    ) -> ChangeResult:
        record = prepared.record
        head = await self._read(configstore.HEAD_KEY)
        oldest = record.version - configstore.MAX_TABLE_RECORDS
        outdated = await self._read(configstore.change_key(oldest))
        writes = configstore.writes_of(
            prepared,
            row_version,
            head.version if head else table.ABSENT,
            outdated,
        )
        encoded = writes[0].value
        result = await readback.compare_and_swap(
            self._table, writes, lambda value: value == encoded
        )
        match result:
            case expression.Result(tag='ok'):
                return _accepted(record.version)
            case expression.Result(error=errors.TableResultUnknownError()):
                return _unknown(result.error)
            case expression.Result(error=error):
                return _refused(error)

    async def _catch_up(self, version: int) -> None:
        while self.state.config.version < version:
            following = self.state.config.version + 1
            row = await self._read_or_none(configstore.change_key(following))
            if row is None or not self.state.advance(_record_of(row)):
                await self.poll()
                return
        self._in_force()

    async def _read(self, key: str) -> table.Row | None:
        match await self._table.read(key):
            case expression.Result(tag='ok', ok=row):
                return row
            case expression.Result(error=error):
                raise _Failed(error)

    async def _read_or_none(self, key: str) -> table.Row | None:
        try:
            return await self._read(key)
        except _Failed:
            return None

    async def _read_document(self) -> _Document:
        row = await self._read(configstore.DOCUMENT_KEY)
        if row is None:
            return fleetconfig.FleetConfig(), table.ABSENT
        match fleetconfig.decode(row.value):
            case expression.Result(tag='ok', ok=config):
                return config, row.version
            case expression.Result(error=error):
                self._metrics.incr('config.unreadable')
                raise _Failed(errors.TableError(str(error)))

    def _in_force(self) -> None:
        self._apply_config(self.state.config)

    def _ask(self, peer: transport.Address, have: int) -> None:
        payload = msgspec.json.encode(configstore.FetchRequest(have=have))

        def on_reply(reply: bytes | errors.Refusal) -> None:
            self._is_fetching = False
            if not isinstance(reply, errors.Refusal):
                self._fetched(reply, peer, have)

        self._links.control(
            peer, FETCH_KIND, payload, FETCH_TIMEOUT_MS, on_reply
        )

    def _fetched(
        self, payload: bytes, peer: transport.Address, have: int
    ) -> None:
        try:
            reply = msgspec.json.decode(payload, type=configstore.FetchReply)
        except msgspec.MsgspecError:
            self._metrics.incr('config.bad_replies')
            return
        if self.state.take(reply):
            self._in_force()
        elif reply.records and have >= 0:
            self._is_fetching = True
            self._ask(peer, -1)

    def _serve_fetch(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            request = msgspec.json.decode(
                payload, type=configstore.FetchRequest
            )
        except msgspec.MsgspecError:
            self._metrics.incr('config.bad_requests')
            request = configstore.FetchRequest(have=self.state.config.version)
        reply(msgspec.json.encode(self.state.reply_to(request)))


def _record_of(row: table.Row) -> configstore.ChangeRecord:
    return msgspec.json.decode(row.value, type=configstore.ChangeRecord)


def _is_lost_race(result: ChangeResult) -> bool:
    return isinstance(result.error, errors.VersionConflictError)


def config_service(
    clock: clocks.Clock,
    rng: random.Random,
    links: transport.Transport,
    rows: table.TableClient,
    metrics: metric.Metrics,
    apply_config: ApplyConfig,
) -> ConfigService:
    """Create the service of a node that has no document yet."""
    return ConfigService(clock, rng, links, rows, metrics, apply_config)
