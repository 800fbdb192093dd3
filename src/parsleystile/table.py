"""Interface to the platform's transactional table service."""

import abc
import dataclasses

import expression

from parsleystile import errors

# Version of a row that does not exist.
ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Attributes:
        key: Unique in the table; a common prefix groups rows for scans.
        value: Opaque to the table.
        version: 1 after the first write, and one more after each further.
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
    """Client of the table; failures are results, not exceptions."""

    @abc.abstractmethod
    async def read(
        self, key: str
    ) -> expression.Result[Row | None, errors.TableError]:
        """Read one row; None if it is absent."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str
    ) -> expression.Result[list[Row], errors.TableError]:
        """Read all rows whose keys start with ``prefix``, in key order."""

    @abc.abstractmethod
    async def transact(
        self, writes: list[Write]
    ) -> expression.Result[list[int], errors.TableError]:
        """Apply all writes or none; return the new versions.

        The error is a ``VersionConflictError`` if a row's version is not the
        expected one, a ``TableUnavailableError`` if nothing was written for
        certain, and a ``TableResultUnknownError`` if that is not known.
        """
