"""Finds members and the document by polling the table."""

import asyncio

import expression
import msgspec

from parsleystile import fleetconfig
from parsleystile import members
from parsleystile import membership
from parsleystile import node as nodes
from parsleystile import table

MEMBER_PREFIX = 'members/'
CONFIG_KEY = 'config/fleet'
_PERIOD_S = 0.5


class Rendezvous:
    """Writes this node's row and reads those of the others."""

    def __init__(self, node: nodes.Node, rows: table.TableClient) -> None:
        self._node = node
        self._table = rows
        self._version = table.ABSENT
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop polling."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            await self._write()
            await self._read()
            await asyncio.sleep(_PERIOD_S)

    async def _write(self) -> None:
        me = self._node.membership.me
        row = table.Write(
            MEMBER_PREFIX + me.node_id,
            msgspec.json.encode(me),
            self._version,
        )
        match await self._table.transact([row]):
            case expression.Result(tag='ok', ok=versions):
                self._version = versions[0]
            case _:
                found = await self._table.read(row.key)
                if found.is_ok() and found.ok is not None:
                    self._version = found.ok.version

    async def _read(self) -> None:
        found = await self._table.scan(MEMBER_PREFIX)
        if found.is_ok():
            learned = tuple(
                msgspec.json.decode(row.value, type=members.Member)
                for row in found.ok
            )
            now_ms = self._node.now_ms()
            self._node.membership.handle(membership.Learned(learned), now_ms)
        row = await self._table.read(CONFIG_KEY)
        if row.is_ok() and row.ok is not None:
            decoded = fleetconfig.decode(row.ok.value)
            if decoded.is_ok():
                self._node.put_in_force(decoded.ok)


def rendezvous(node: nodes.Node, rows: table.TableClient) -> Rendezvous:
    """Start to poll on the running event loop."""
    return Rendezvous(node, rows)
