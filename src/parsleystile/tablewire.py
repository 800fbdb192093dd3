"""JSON messages of the platform's table service over HTTP."""

import msgspec

READ_PATH = '/v1/read'
SCAN_PATH = '/v1/scan'
TRANSACT_PATH = '/v1/transact'
DOMAIN_HEADER = 'X-Failure-Domain'


class _Message(msgspec.Struct, frozen=True):
    """A message body; bytes are encoded as base64."""


class WireRow(_Message):
    """A row that was read."""

    key: str
    value: bytes
    version: int


class WireWrite(_Message):
    """One compare-and-swap; a ``value`` of None deletes the row."""

    key: str
    value: bytes | None
    expected_version: int


class ReadRequest(_Message):
    """Requests one row."""

    key: str


class ScanRequest(_Message):
    """Requests all rows whose keys start with ``prefix``."""

    prefix: str


class RowsResponse(_Message):
    """The rows found, in key order."""

    rows: list[WireRow]


class TransactRequest(_Message):
    """Requests that all writes are applied or none."""

    writes: list[WireWrite]


class TransactResponse(_Message):
    """The new versions, in the order of the writes."""

    versions: list[int]


class ConflictResponse(_Message):
    """The first row whose version was not the expected one; status 409."""

    key: str
    expected: int
    found: int
