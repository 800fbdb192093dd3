"""Compare-and-swap that resolves lost responses by reading the row back."""

import typing

import expression

from parsleystile import errors
from parsleystile import table

# Read-backs after a lost response before the result is reported as unknown.
RESOLVE_ATTEMPTS = 3

_VersionsResult = expression.Result[list[int], errors.TableError]


async def compare_and_swap(
    client: table.TableClient,
    writes: list[table.Write],
    is_ours: typing.Callable[[bytes], bool],
) -> _VersionsResult:
    """Apply all writes or none, and resolve a lost response.

    The first write's value must be recognisable as this writer's own, for
    example by a change id in it.

    Sending the same compare-and-swap again is safe: it names the expected
    version, so at most one copy takes effect, and the read-back shows
    whether one did. The result is a ``TableResultUnknownError`` if it is
    still unknown after ``RESOLVE_ATTEMPTS``, or if another writer has
    written a later version meanwhile.

    Args:
        client: Client of the table.
        writes: The writes; the first one's row is read back.
        is_ours: Returns whether a value is that of the first write.
    """
    result = await client.transact(writes)
    for _ in range(RESOLVE_ATTEMPTS):
        if not _is_unknown(result):
            return result
        found = await client.read(writes[0].key)
        match found:
            case expression.Result(tag='ok', ok=row):
                resolved = _resolve(row, writes, is_ours)
            case _:
                continue
        if resolved is not None:
            return resolved
        # The first copy may still be pending, so this one may conflict with
        # it.
        result = _as_unknown(await client.transact(writes))
    return result


def _is_unknown(result: _VersionsResult) -> bool:
    match result:
        case expression.Result(
            tag='error', error=errors.TableResultUnknownError()
        ):
            return True
        case _:
            return False


def _as_unknown(result: _VersionsResult) -> _VersionsResult:
    # After a lost response neither a conflict nor an unavailable table
    # proves that the first copy had no effect.
    match result:
        case expression.Result(tag='error', error=error):
            return expression.Error(errors.TableResultUnknownError(str(error)))
        case _:
            return result


def _resolve(
    row: table.Row | None,
    writes: list[table.Write],
    is_ours: typing.Callable[[bytes], bool],
) -> _VersionsResult | None:
    expected = writes[0].expected_version
    version = table.ABSENT if row is None else row.version
    if row is not None and is_ours(row.value):
        return expression.Ok(
            [
                table.ABSENT if w.value is None else w.expected_version + 1
                for w in writes
            ]
        )
    if version == expected:
        return None
    if version == expected + 1:
        return expression.Error(
            errors.VersionConflictError(writes[0].key, expected, version)
        )
    return expression.Error(
        errors.TableResultUnknownError(
            f'row {writes[0].key!r} was overwritten, now at version {version}'
        )
    )
