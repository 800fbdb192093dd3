"""A table client of rows in memory, with simulated faults."""

import expression

from parsleystile import errors
from parsleystile import table
from stubs import tablestate


class MemoryTable(table.TableClient):
    """Table client of one failure domain, without I/O."""

    def __init__(
        self, state: tablestate.TableState, failure_domain: str
    ) -> None:
        self._state = state
        self._failure_domain = failure_domain

    async def read(
        self, key: str
    ) -> expression.Result[table.Row | None, errors.TableError]:
        """Read one row; None if it is absent."""
        if self._is_unreachable():
            return expression.Error(_unavailable())
        return expression.Ok(self._state.read(key))

    async def scan(
        self, prefix: str
    ) -> expression.Result[list[table.Row], errors.TableError]:
        """Read every row whose key starts with ``prefix``, by key."""
        if self._is_unreachable():
            return expression.Error(_unavailable())
        return expression.Ok(self._state.scan(prefix))

    async def transact(
        self, writes: list[table.Write]
    ) -> expression.Result[list[int], errors.TableError]:
        """Apply all writes or none; return the new versions."""
        if self._is_unreachable():
            return expression.Error(_unavailable())
        result = self._state.transact(writes)
        if isinstance(result, errors.VersionConflictError):
            return expression.Error(result)
        if self._state.draw_answer_loss():
            return expression.Error(
                errors.TableResultUnknownError('answer lost after the write')
            )
        return expression.Ok(result)

    def _is_unreachable(self) -> bool:
        outage = self._state.faults.outage_for(self._failure_domain)
        return outage is not tablestate.Outage.NONE


def _unavailable() -> errors.TableError:
    return errors.TableUnavailableError('the table is unreachable')


def memory_table(
    state: tablestate.TableState, failure_domain: str
) -> MemoryTable:
    """Create a client of ``state`` in ``failure_domain``."""
    return MemoryTable(state, failure_domain)
