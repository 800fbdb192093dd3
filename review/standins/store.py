"""Stand-in of the platform's store: rows, feeds and transactions."""

import asyncio
import base64
import json
import time
import typing
import urllib.parse

from review.standins import http11

_JSON = {'Content-Type': 'application/json'}


class Store:
    """Rows in memory.

    Attributes:
        refused_tables: Tables whose calls get 503 and do nothing.
        is_refusing: Whether all calls get 503 and do nothing.
        is_silent: Whether calls get no response. A connection on which a
            response is missing delivers nothing further, also later on.
        address: Host and port.
    """

    def __init__(self) -> None:
        self.refused_tables: set[str] = set()
        self.is_refusing = False
        self.is_silent = False
        self.address = ('', 0)
        self._version = 0
        self._rows: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = (host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator; return its version."""
        async with self._changed:
            self._write(table, key, base64.b64encode(value).decode())
            self._changed.notify_all()
        return self._version

    async def remove(self, table: str, key: str) -> int:
        """Delete a row as the operator; return the version."""
        async with self._changed:
            self._write(table, key, None)
            self._changed.notify_all()
        return self._version

    def _write(self, table: str, key: str, value: str | None) -> None:
        self._version += 1
        row = {'table': table, 'part': '', 'key': key, 'ver': self._version}
        if value is None:
            row['deleted'] = True
        else:
            row['value'] = value
        self._rows[table, key] = row

    def _current(self, table: str, key: str) -> dict[str, typing.Any] | None:
        row = self._rows.get((table, key))
        return None if row is None or row.get('deleted') else row

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http11.read_message(reader)) is not None:
                status, body = await self._answer(request)
                if self.is_silent:
                    # Read on until the peer gives the connection up.
                    await reader.read()
                    return
                data = json.dumps(body).encode()
                writer.write(http11.answer(status, _JSON, data))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _is_refused(self, tables: set[str]) -> bool:
        return self.is_refusing or bool(tables & self.refused_tables)

    async def _answer(
        self, request: http11.Message
    ) -> tuple[int, dict[str, typing.Any]]:
        if self.is_silent:
            return 0, {}
        url = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == '/v1/rows-tx':
            return await self._transact(json.loads(request.body))
        if self._is_refused({query.get('table', '')}):
            return 503, {}
        match url.path:
            case '/v1/rows-get':
                return 200, self._list(query)
            case '/v1/rows-feed':
                return await self._feed(query)
        return 404, {}

    def _page(
        self, rows: list[dict[str, typing.Any]]
    ) -> dict[str, typing.Any]:
        now_ms = int(time.monotonic() * 1e3)
        return {
            'rows': rows,
            'has_more': False,
            'ver': self._version,
            'now': f'{now_ms}ms',
        }

    def _list(self, query: dict[str, str]) -> dict[str, typing.Any]:
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query['table']
            and key >= query.get('from', '')
            and not row.get('deleted')
        ]
        return self._page(rows[: int(query.get('limit', '500'))])

    async def _feed(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, typing.Any]]:
        table, after = query['table'], int(query['after'])

        def changes() -> list[dict[str, typing.Any]]:
            return sorted(
                (
                    row
                    for (name, _), row in self._rows.items()
                    if name == table and row['ver'] > after
                ),
                key=lambda row: row['ver'],
            )

        wait_s = int(query.get('wait_ms', '0')) / 1e3
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        changes()
                        or self.is_silent
                        or self._is_refused({table})
                    )
                )
        except TimeoutError:
            pass
        if self._is_refused({table}):
            return 503, {}
        return 200, self._page(changes())

    async def _transact(
        self, body: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        entries = [*body['expect'], *body['puts'], *body['remove']]
        if self._is_refused({entry['table'] for entry in entries}):
            return 503, {}
        for entry in body['expect']:
            row = self._current(entry['table'], entry['key'])
            if (row['ver'] if row else 0) != entry['ver']:
                return 412, self._page([row] if row else [])
        async with self._changed:
            for entry in body['puts']:
                self._write(entry['table'], entry['key'], entry['value'])
            for entry in body['remove']:
                self._write(entry['table'], entry['key'], None)
            self._changed.notify_all()
        return 200, self._page([])

    async def wake_feeds(self) -> None:
        """Let waiting feeds see that the store refuses or is silent now."""
        async with self._changed:
            self._changed.notify_all()
