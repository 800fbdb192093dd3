"""Compare-and-swap whose lost answers are resolved by reading back."""

import typing

import expression

from parsleystile import errors
from parsleystile import table

# A lost answer is looked into so often before it is reported as unknown.
RESOLVE_ATTEMPTS = 3

_VersionsResult = expression.Result[list[int], errors.TableError]


async def compare_and_swap(
    client: table.TableClient,
    writes: list[table.Write],
    is_ours: typing.Callable[[bytes], bool],
) -> _VersionsResult:
    """Apply all writes or none, finding out what a lost answer said.

    The first write must put a value that ``is_ours`` recognises and no
    other writer's value satisfies, such as one that carries a change id.

    Sending the same compare-and-swap again is safe: it names the version
    read before, so at most one of the copies takes effect, and the
    read-back tells whether one did. Still unknown after some tries, or if
    another writer has since put a later version over either outcome, the
    result is ``TableResultUnknownError``.
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
        # The first copy may still be under way; this one competes with it.
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
    # After a lost answer neither a conflict nor an outage proves that the
    # first copy did nothing.
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
            f'row {writes[0].key!r} has moved on to version {version}'
        )
    )
