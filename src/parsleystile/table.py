"""What a node asks of the platform's transactional table service."""

import abc
import dataclasses

import expression

from parsleystile import errors

# A row that does not exist has this version.
ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read or written.

    Attributes:
        key: Unique in the table; prefixes group rows for scans.
        value: Opaque to the table.
        version: Grows by one with each write; 1 for the first.
    """

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """One compare-and-swap; a ``value`` of None deletes the row."""

    key: str
    value: bytes | None
    expected_version: int


class TableClient(abc.ABC):
    """The table as seen by a node; failures are values, not exceptions."""

    @abc.abstractmethod
    async def read(
        self, key: str
    ) -> expression.Result[Row | None, errors.TableError]:
        """Read one row; None if it is absent."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str
    ) -> expression.Result[list[Row], errors.TableError]:
        """Read every row whose key starts with ``prefix``, by key."""

    @abc.abstractmethod
    async def transact(
        self, writes: list[Write]
    ) -> expression.Result[list[int], errors.TableError]:
        """Apply all writes or none; return the new versions.

        Fails with ``VersionConflictError`` if a row has another version
        than expected, ``TableUnavailableError`` if surely nothing was
        written, ``TableResultUnknownError`` if that cannot be told.
        """
