"""The versioned document: how a version follows another, without I/O.

The table holds the document in one row, each change in a row of its own,
and a row by change id, all written in one transaction. A node holds the
document in force and the latest changes, from which its peers catch up.
"""

import collections
import dataclasses
import hashlib
import typing

import expression
import msgspec

from parsleystile import changes
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import table

DOCUMENT_KEY = 'config/fleet'
HEAD_KEY = 'config/head'
CHANGE_PREFIX = 'config/change/'
CHANGE_ID_PREFIX = 'config/id/'
# Changes kept in the table, and those kept by each node.
MAX_TABLE_RECORDS = 1000
MAX_NODE_RECORDS = 256
# A larger document would not fit in a frame between nodes.
MAX_DOCUMENT_BYTES = 900_000
# A change based on a version further back is a conflict.
MAX_CHANGES_BEHIND = 64
_VERSION_DIGITS = 12

ChangeId = typing.Annotated[
    str, msgspec.Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$')
]


class ChangeRequest(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """What an operator sends.

    Attributes:
        change_id: The same for each try of one change; it takes effect
            once.
        operator: Must be the owner of the operator key that came along.
        based_on: Version that the operator saw; a later change of the
            same path makes this one a conflict. None for the version in
            force at the node asked.
    """

    change_id: ChangeId
    operator: fleetconfig.Name
    change: changes.Change
    based_on: ids.ConfigVersion | None = None


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change.

    Attributes:
        version: Of the document that it made.
        at_wall_ms: When, by the clock of the node that accepted it.
        document_digest: Of the document that it made.
    """

    version: ids.ConfigVersion
    change_id: str
    operator: str
    at_wall_ms: int
    change: changes.Change
    document_digest: str


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The newest version in the table; small, since it is polled."""

    version: ids.ConfigVersion


class FetchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer for what follows ``have``; -1 asks for all of it."""

    have: int


class FetchReply(msgspec.Struct, frozen=True, kw_only=True):
    """What a peer has: changes in order, or the whole document."""

    records: tuple[ChangeRecord, ...] = ()
    document: fleetconfig.FleetConfig | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """A change that holds, ready to be written."""

    config: fleetconfig.FleetConfig
    record: ChangeRecord


def document_digest(config: fleetconfig.FleetConfig) -> str:
    """Return a digest that differs wherever two documents differ."""
    # Changes and JSON keep the order of entries, the same at every node.
    encoded = fleetconfig.encode(config)
    return hashlib.blake2b(encoded, digest_size=16).hexdigest()


def change_key(version: int) -> str:
    """Return the row of the change that made ``version``."""
    return f'{CHANGE_PREFIX}{version:0{_VERSION_DIGITS}d}'


def id_key(change_id: str) -> str:
    """Return the row that tells the version of a change id."""
    return CHANGE_ID_PREFIX + change_id


def find_conflict(
    change: changes.Change,
    based_on: int,
    later: typing.Iterable[ChangeRecord],
) -> errors.ConflictError | None:
    """Return the later change that this one does not commute with."""
    if isinstance(change, changes.WithdrawKey):
        # Withdrawn is withdrawn, whatever else was changed.
        return None
    path = changes.path_of(change)
    for record in later:
        other = changes.path_of(record.change)
        if record.version > based_on and (
            path == other or changes.WHOLE_DOCUMENT in (path, other)
        ):
            return errors.ConflictError(path, based_on, record.version)
    return None


def prepare(
    config: fleetconfig.FleetConfig,
    request: ChangeRequest,
    wall_ms: float,
) -> expression.Result[Prepared, errors.SettingsError]:
    """Work out the version that a change makes of the newest document."""
    match changes.apply(config, request.change):
        case expression.Result(tag='ok', ok=changed):
            size_bytes = len(fleetconfig.encode(changed))
            if size_bytes > MAX_DOCUMENT_BYTES:
                return expression.Error(
                    errors.SettingsError(
                        'document',
                        f'{size_bytes} bytes are more than '
                        f'{MAX_DOCUMENT_BYTES}',
                    )
                )
            record = ChangeRecord(
                version=changed.version,
                change_id=request.change_id,
                operator=request.operator,
                at_wall_ms=int(wall_ms),
                change=request.change,
                document_digest=document_digest(changed),
            )
            return expression.Ok(Prepared(changed, record))
        case expression.Result(error=error):
            return expression.Error(error)


def writes_of(
    prepared: Prepared,
    document_version: int,
    head_version: int,
    outdated: table.Row | None,
) -> list[table.Write]:
    """Return the transaction that makes a change the newest.

    Args:
        prepared: The change.
        document_version: Row version of the document that it was applied
            to.
        head_version: Row version of the head.
        outdated: The change that falls out of the table by this one.
    """
    record = prepared.record
    head = msgspec.json.encode(Head(version=record.version))
    encoded = msgspec.json.encode(record)
    writes = [
        table.Write(change_key(record.version), encoded, table.ABSENT),
        table.Write(
            DOCUMENT_KEY,
            fleetconfig.encode(prepared.config),
            document_version,
        ),
        table.Write(HEAD_KEY, head, head_version),
        table.Write(
            id_key(record.change_id),
            msgspec.json.encode(Head(version=record.version)),
            table.ABSENT,
        ),
    ]
    if outdated is not None:
        old = msgspec.json.decode(outdated.value, type=ChangeRecord)
        writes.append(table.Write(outdated.key, None, outdated.version))
        writes.append(table.Write(id_key(old.change_id), None, 1))
    return writes


class ConfigState:
    """The document in force at a node, and the changes that led to it."""

    def __init__(self) -> None:
        self._config = fleetconfig.FleetConfig()
        self._records: collections.deque[ChangeRecord] = collections.deque(
            maxlen=MAX_NODE_RECORDS
        )

    @property
    def config(self) -> fleetconfig.FleetConfig:
        """The document in force here."""
        return self._config

    @property
    def records(self) -> tuple[ChangeRecord, ...]:
        """The latest changes, oldest first, without a gap."""
        return tuple(self._records)

    def replace(self, config: fleetconfig.FleetConfig) -> bool:
        """Take a whole document; False if it is no newer."""
        if config.version <= self._config.version:
            return False
        self._config = config
        self._records.clear()
        return True

    def advance(self, record: ChangeRecord) -> bool:
        """Take the next change; False if it does not follow or fit."""
        if record.version != self._config.version + 1:
            return False
        match changes.apply(self._config, record.change):
            case expression.Result(tag='ok', ok=changed):
                pass
            case _:
                return False
        # Nodes of another release might apply a change otherwise.
        if document_digest(changed) != record.document_digest:
            return False
        self._config = changed
        self._records.append(record)
        return True

    def reply_to(self, request: FetchRequest) -> FetchReply:
        """Answer a peer that is behind."""
        version = self._config.version
        if 0 <= request.have >= version:
            return FetchReply()
        oldest = self._records[0].version if self._records else version + 1
        if request.have >= 0 and oldest <= request.have + 1:
            later = (r for r in self._records if r.version > request.have)
            return FetchReply(records=tuple(later))
        return FetchReply(document=self._config)

    def take(self, reply: FetchReply) -> bool:
        """Take a peer's answer in; False if it did not help."""
        if reply.document is not None:
            is_sound = fleetconfig.check(reply.document) is None
            return is_sound and self.replace(reply.document)
        before = self._config.version
        for record in reply.records:
            if record.version > self._config.version and not self.advance(
                record
            ):
                return False
        return self._config.version > before


def config_state() -> ConfigState:
    """Create the state of a node that has no document yet."""
    return ConfigState()
