"""Messages of the platform's table service over HTTP, as JSON."""

import msgspec

READ_PATH = '/v1/read'
SCAN_PATH = '/v1/scan'
TRANSACT_PATH = '/v1/transact'
DOMAIN_HEADER = 'X-Failure-Domain'


class _Message(msgspec.Struct, frozen=True):
    """A message body; bytes travel as base64."""


class WireRow(_Message):
    """A row as read."""

    key: str
    value: bytes
    version: int


class WireWrite(_Message):
    """One compare-and-swap; a ``value`` of None deletes the row."""

    key: str
    value: bytes | None
    expected_version: int


class ReadRequest(_Message):
    """Asks for one row."""

    key: str


class ScanRequest(_Message):
    """Asks for every row whose key starts with ``prefix``."""

    prefix: str


class RowsResponse(_Message):
    """Rows found, by key."""

    rows: list[WireRow]


class TransactRequest(_Message):
    """Asks for all writes or none."""

    writes: list[WireWrite]


class TransactResponse(_Message):
    """New versions, in the order of the writes."""

    versions: list[int]


class ConflictResponse(_Message):
    """The first row found with another version; status 409."""

    key: str
    expected: int
    found: int
