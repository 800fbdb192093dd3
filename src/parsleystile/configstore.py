"""Versions of the configuration document and their rows, without I/O.

The table holds the document in one row, each change in a row of its own
and a row for each change id, all written in one transaction. A node holds
the document in force and the latest changes, from which its peers catch up.
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
# Number of changes kept in the table and by each node.
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
    """An operator's request to change the configuration.

    Attributes:
        change_id: Idempotency id: all attempts at one change carry the same
            id, and the change takes effect once.
        operator: Must be the owner of the operator key in the request.
        change: The change.
        based_on: Version that the operator saw; the request conflicts with
            a later change of the same path. None for the version in force
            at the node that gets the request.
    """

    change_id: ChangeId
    operator: fleetconfig.Name
    change: changes.Change
    based_on: ids.ConfigVersion | None = None


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change.

    Attributes:
        version: Version of the document that it created.
        at_wall_ms: Wall-clock time at the node that accepted it.
        document_digest: Digest of the document that it created.
    """

    version: ids.ConfigVersion
    change_id: str
    operator: str
    at_wall_ms: int
    change: changes.Change
    document_digest: str


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The newest version in the table, in a small row that is polled."""

    version: ids.ConfigVersion


class FetchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer for the changes after ``have``; -1 for the document."""

    have: int


class FetchReply(msgspec.Struct, frozen=True, kw_only=True):
    """A peer's reply: changes in order, or the whole document."""

    records: tuple[ChangeRecord, ...] = ()
    document: fleetconfig.FleetConfig | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """A validated change, ready to be written."""

    config: fleetconfig.FleetConfig
    record: ChangeRecord


def document_digest(config: fleetconfig.FleetConfig) -> str:
    """Return a digest of a document, to detect differing documents."""
    # Changes and JSON keep the order of entries, so that it is the same on
    # every node.
    encoded = fleetconfig.encode(config)
    return hashlib.blake2b(encoded, digest_size=16).hexdigest()


def change_key(version: int) -> str:
    """Return the row key of the change that created ``version``."""
    return f'{CHANGE_PREFIX}{version:0{_VERSION_DIGITS}d}'


def id_key(change_id: str) -> str:
    """Return the row key under which a change id's version is stored."""
    return CHANGE_ID_PREFIX + change_id


def find_conflict(
    change: changes.Change,
    based_on: int,
    later: typing.Iterable[ChangeRecord],
) -> errors.ConflictError | None:
    """Return the conflict with a later change; None if there is none."""
    if isinstance(change, changes.WithdrawKey):
        # Withdrawals are idempotent and do not depend on other changes.
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
    """Apply a change to the newest document and build its record."""
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
    """Return the writes of the transaction that commits a change.

    Args:
        prepared: The change.
        document_version: Row version of the document that it was applied
            to.
        head_version: Row version of the head.
        outdated: Row of the oldest change, to be deleted; None if there is
            none.
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
    """The document in force at a node and the latest changes to it."""

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
        """The latest changes, oldest first, without gaps."""
        return tuple(self._records)

    def replace(self, config: fleetconfig.FleetConfig) -> bool:
        """Replace the document; return False if the new one is not newer."""
        if config.version <= self._config.version:
            return False
        self._config = config
        self._records.clear()
        return True

    def advance(self, record: ChangeRecord) -> bool:
        """Apply the next change; return False if that is not possible."""
        if record.version != self._config.version + 1:
            return False
        match changes.apply(self._config, record.change):
            case expression.Result(tag='ok', ok=changed):
                pass
            case _:
                return False
        # Nodes of another release might apply a change differently.
        if document_digest(changed) != record.document_digest:
            return False
        self._config = changed
        self._records.append(record)
        return True

    def reply_to(self, request: FetchRequest) -> FetchReply:
        """Answer a peer's fetch request."""
        version = self._config.version
        if 0 <= request.have >= version:
            return FetchReply()
        oldest = self._records[0].version if self._records else version + 1
        if request.have >= 0 and oldest <= request.have + 1:
            later = (r for r in self._records if r.version > request.have)
            return FetchReply(records=tuple(later))
        return FetchReply(document=self._config)

    def apply_reply(self, reply: FetchReply) -> bool:
        """Apply a peer's reply.

        Returns:
            False if the version did not increase or a change could not be
            applied.
        """
        if reply.document is not None:
            is_valid = fleetconfig.check(reply.document) is None
            return is_valid and self.replace(reply.document)
        before = self._config.version
        for record in reply.records:
            if record.version > self._config.version and not self.advance(
                record
            ):
                return False
        return self._config.version > before


def config_state() -> ConfigState:
    """Create the state of a node without a document."""
    return ConfigState()
