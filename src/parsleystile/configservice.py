"""Keeps a node's configuration up to date and accepts changes to it.

The I/O around ``configstore``: talks to the table and to peers, and applies
documents through a callback.
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
# The head row is polled in case no peer announces a new version. The period
# grows with the fleet, to bound the polls of the whole fleet per second.
POLL_PERIOD_MS = 5000.0
INITIAL_POLL_PERIOD_MS = 500.0
MAX_FLEET_POLLS_PER_S = 20.0
MAX_SUBMIT_ATTEMPTS = 8
_MS_PER_S = 1000.0

ApplyConfig = typing.Callable[[fleetconfig.FleetConfig], None]


class ChangeOutcome(enum.Enum):
    """Outcome of a change, as reported to the operator."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    # It may have been accepted: submit it again with the same change id.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeResult:
    """Result of submitting a change.

    Attributes:
        version: Version that the change created; 0 if there is none.
        error: Why the change was refused or its outcome is unknown.
    """

    outcome: ChangeOutcome
    version: ids.ConfigVersion = ids.ConfigVersion(0)
    error: errors.ParsleystileError | None = None


_VersionedConfig = tuple[fleetconfig.FleetConfig, int]


def _accepted(version: ids.ConfigVersion) -> ChangeResult:
    return ChangeResult(ChangeOutcome.ACCEPTED, version)


def _refused(error: errors.ParsleystileError) -> ChangeResult:
    return ChangeResult(ChangeOutcome.REFUSED, error=error)


def _unknown(error: errors.ParsleystileError) -> ChangeResult:
    return ChangeResult(ChangeOutcome.UNKNOWN, error=error)


class _TableFailure(Exception):
    def __init__(self, error: errors.TableError) -> None:
        super().__init__(str(error))
        self.error = error


class ConfigService:
    """The configuration of one node.

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
        links.handle_control(FETCH_KIND, self._on_fetch)

    def close(self) -> None:
        """Cancel running tasks."""
        self._tasks.close()

    def tick(self, now_ms: float, fleet_size: int) -> None:
        """Poll the table if a poll is due."""
        if now_ms < self._next_poll_ms:
            return
        has_document = self.state.config.version > 0
        period_ms = max(
            POLL_PERIOD_MS if has_document else INITIAL_POLL_PERIOD_MS,
            fleet_size * _MS_PER_S / MAX_FLEET_POLLS_PER_S,
        )
        self._next_poll_ms = now_ms + period_ms * self._rng.uniform(0.5, 1.5)
        self._tasks.start('poll', self.poll)

    def fetch(self, version: int, peer: transport.Peer) -> None:
        """Fetch a newer version from a peer that has it in force."""
        if self._is_fetching or version <= self.state.config.version:
            return
        self._is_fetching = True
        self._send_fetch(peer, self.state.config.version)

    async def poll(self) -> None:
        """Apply the document in the table if it is newer than this node's."""
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
        except _TableFailure:
            return
        if self.state.replace(config):
            self._publish_config()

    async def submit(self, request: configstore.ChangeRequest) -> ChangeResult:
        """Apply a change; it takes effect once even if submitted again."""
        if request.based_on is None:
            request = msgspec.structs.replace(
                request, based_on=self.state.config.version
            )
        result = await self._submit(request)
        if result.outcome is ChangeOutcome.ACCEPTED:
            await self._catch_up_to(result.version)
        return result

    async def _submit(
        self, request: configstore.ChangeRequest
    ) -> ChangeResult:
        unknown_result: ChangeResult | None = None
        result = None
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            try:
                result = await self._attempt(request)
            except _TableFailure as exc:
                # This attempt wrote nothing, but an earlier one may have.
                return unknown_result or _refused(exc.error)
            if result.outcome is ChangeOutcome.UNKNOWN:
                unknown_result = result
            elif not _is_version_conflict(result):
                break
        if (
            unknown_result is None
            or result.outcome is not ChangeOutcome.REFUSED
        ):
            return result
        return await self._resolve_unknown(request, result)

    async def _resolve_unknown(
        self, request: configstore.ChangeRequest, refused: ChangeResult
    ) -> ChangeResult:
        # The document has changed since the attempt with unknown result,
        # so that attempt either took effect before or never will.
        try:
            recorded = await self._read(configstore.id_key(request.change_id))
        except _TableFailure as exc:
            return _unknown(exc.error)
        if recorded is None:
            return refused
        return await self._result_of_repeat(request, recorded)

    async def history(
        self,
    ) -> expression.Result[list[configstore.ChangeRecord], errors.TableError]:
        """Return the changes stored in the table, oldest first."""
        match await self._table.scan(configstore.CHANGE_PREFIX):
            case expression.Result(tag='ok', ok=rows):
                return expression.Ok([_record_of(row) for row in rows])
            case expression.Result(error=error):
                return expression.Error(error)

    async def _attempt(
        self, request: configstore.ChangeRequest
    ) -> ChangeResult:
        recorded = await self._read(configstore.id_key(request.change_id))
        if recorded is not None:
            return await self._result_of_repeat(request, recorded)
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

    async def _result_of_repeat(
        self, request: configstore.ChangeRequest, recorded: table.Row
    ) -> ChangeResult:
        head = msgspec.json.decode(recorded.value, type=configstore.Head)
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
        encoded_record = writes[0].value
        result = await readback.compare_and_swap(
            self._table, writes, lambda value: value == encoded_record
        )
        match result:
            case expression.Result(tag='ok'):
                return _accepted(record.version)
            case expression.Result(error=errors.TableResultUnknownError()):
                return _unknown(result.error)
            case expression.Result(error=error):
                return _refused(error)

    async def _catch_up_to(self, version: int) -> None:
        while self.state.config.version < version:
            next_version = self.state.config.version + 1
            row = await self._read_or_none(
                configstore.change_key(next_version)
            )
            if row is None or not self.state.advance(_record_of(row)):
                await self.poll()
                return
        self._publish_config()

    async def _read(self, key: str) -> table.Row | None:
        match await self._table.read(key):
            case expression.Result(tag='ok', ok=row):
                return row
            case expression.Result(error=error):
                raise _TableFailure(error)

    async def _read_or_none(self, key: str) -> table.Row | None:
        try:
            return await self._read(key)
        except _TableFailure:
            return None

    async def _read_document(self) -> _VersionedConfig:
        row = await self._read(configstore.DOCUMENT_KEY)
        if row is None:
            return fleetconfig.FleetConfig(), table.ABSENT
        match fleetconfig.decode(row.value):
            case expression.Result(tag='ok', ok=config):
                return config, row.version
            case expression.Result(error=error):
                self._metrics.incr('config.unreadable')
                raise _TableFailure(errors.TableError(str(error)))

    def _publish_config(self) -> None:
        self._apply_config(self.state.config)

    def _send_fetch(self, peer: transport.Peer, have: int) -> None:
        payload = msgspec.json.encode(configstore.FetchRequest(have=have))

        def on_reply(reply: bytes | errors.Refusal) -> None:
            self._is_fetching = False
            if not isinstance(reply, errors.Refusal):
                self._on_fetch_reply(reply, peer, have)

        self._links.control(
            peer, FETCH_KIND, payload, FETCH_TIMEOUT_MS, on_reply
        )

    def _on_fetch_reply(
        self, payload: bytes, peer: transport.Peer, have: int
    ) -> None:
        try:
            reply = msgspec.json.decode(payload, type=configstore.FetchReply)
        except msgspec.MsgspecError:
            self._metrics.incr('config.bad_replies')
            return
        if self.state.apply_reply(reply):
            self._publish_config()
        elif reply.records and have >= 0:
            self._is_fetching = True
            self._send_fetch(peer, -1)

    def _on_fetch(
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


def _is_version_conflict(result: ChangeResult) -> bool:
    return isinstance(result.error, errors.VersionConflictError)


def config_service(
    clock: clocks.Clock,
    rng: random.Random,
    links: transport.Transport,
    rows: table.TableClient,
    metrics: metric.Metrics,
    apply_config: ApplyConfig,
) -> ConfigService:
    """Create the service of a node without a document.

    Args:
        clock: This node's clock.
        rng: Random source of jitter.
        links: Transport to peers.
        rows: Client of the platform's table service.
        metrics: Receives the metrics.
        apply_config: Called with each document that comes into force.
    """
    return ConfigService(clock, rng, links, rows, metrics, apply_config)
