"""A stub of the users' row store that follows its published protocol."""

import asyncio
import base64
import json
import typing
import urllib.parse

from parsleystile import clock as clocks
from parsleystile.relay import httpserver

_JSON = ['Content-Type', 'application/json']


class PlatformStore:
    """Rows in memory with reads, change feeds and transactions.

    Attributes:
        version: Counter shared by all tables; grows with each write.
        oldest_feed_version: Feeds after an earlier version get status 410.
        refusal_status: Status of every response; 0 to serve requests.
        refused_tables: Tables whose reads get status 503.
        ignores_requests: Requests get no response at all.
        era: Named in all answers; None to name none.
        loses_answers: Requests take effect but get no response.
        request_paths: Paths of the requests so far.
    """

    def __init__(self) -> None:
        self.version = 0
        self.oldest_feed_version = 0
        self.refusal_status = 0
        self.refused_tables: set[str] = set()
        self.ignores_requests = False
        self.loses_answers = False
        self.era: int | None = None
        self.request_paths: list[str] = []
        self._copy: tuple[int, dict] = (0, {})
        self._rows: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._changed = asyncio.Event()
        self._server = httpserver.http_server(
            clocks.system_clock(), frozenset(), self._handle
        )
        self._feed_tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = '127.0.0.1') -> tuple[str, int]:
        """Listen on a free port; return the address."""
        return await self._server.listen(host, 0)

    def close(self) -> None:
        """Stop listening and drop every connection."""
        for task in self._feed_tasks:
            task.cancel()
        self._server.close()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row; return its version."""
        self._write({'table': table, 'key': key}, base64.b64encode(value))
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Delete a row."""
        self._write({'table': table, 'key': key}, None)

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row; None if there is none."""
        row = self._rows.get((table, key))
        if row is None or row.get('deleted'):
            return None
        return base64.b64decode(row['value'])

    def copy(self) -> None:
        """Keep a copy of all rows."""
        self._copy = self.version, dict(self._rows)

    def change_copy(self, table: str, key: str, value: bytes | None) -> None:
        """Change a row of the copy, or drop it."""
        version, rows = self._copy
        rows.pop((table, key), None)
        if value is not None:
            text = base64.b64encode(value).decode()
            rows[table, key] = _row(table, key, version, text)

    def restore(self) -> None:
        """Come back from the copy, in the next era."""
        self.version, rows = self._copy
        self._rows = dict(rows)
        self.era = (self.era or 0) + 1
        self.drop_connections()
        self._changed.set()

    def drop_history(self) -> None:
        """Discard the change history, so that feeds get status 410."""
        self.oldest_feed_version = self.version + 1
        self.version += 1
        self._changed.set()

    def lose_feeds(self) -> None:
        """Never answer the feeds that wait for a change."""
        for task in self._feed_tasks:
            task.cancel()

    def drop_connections(self) -> None:
        """Abort every connection."""
        for connection in list(self._server.connections):
            connection.abort()

    def _write(self, name: dict[str, str], value: bytes | None) -> None:
        self.version += 1
        table, key = name['table'], name['key']
        if value is None:
            row = {**_row(table, key, self.version), 'deleted': True}
        else:
            row = _row(table, key, self.version, value.decode())
        self._rows[name['table'], name['key']] = row
        self._changed.set()

    def _handle(self, request: httpserver.Request) -> None:
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.request_paths.append(url.path)
        if self.ignores_requests:
            return
        if self.refusal_status:
            request.answer(self.refusal_status, self._headers(), b'')
            return
        if query.get('table') in self.refused_tables:
            request.answer(503, self._headers(), b'')
            return
        match url.path:
            case '/v1/rows-get':
                self._answer(request, 200, self._list_rows(query))
            case '/v1/rows-feed':
                task = asyncio.get_running_loop().create_task(
                    self._feed(request, query)
                )
                self._feed_tasks.add(task)
                task.add_done_callback(self._feed_tasks.discard)
            case '/v1/rows-tx':
                self._transact(request)
            case _:
                request.answer(404, [], b'')

    def _list_rows(self, query: dict[str, str]) -> list[dict[str, typing.Any]]:
        first = query.get('from', '')
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query['table']
            and key >= first
            and not row.get('deleted')
        ]
        return rows[: int(query.get('limit', 500))]

    async def _feed(
        self, request: httpserver.Request, query: dict[str, str]
    ) -> None:
        after_version = int(query['after'])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(query['wait_ms']) / 1e3
        while True:
            is_known = self.oldest_feed_version <= after_version
            if not is_known or after_version > self.version:
                request.answer(410, self._headers(), b'')
                return
            rows = [
                row
                for (table, _), row in self._rows.items()
                if table == query['table'] and row['ver'] > after_version
            ]
            remaining_s = deadline_s - loop.time()
            if rows or remaining_s <= 0 or not request.is_open:
                rows.sort(key=lambda row: row['ver'])
                self._answer(request, 200, rows)
                return
            self._changed.clear()
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, request: httpserver.Request) -> None:
        body = json.loads(request.body)
        for name in body['expect']:
            row = self._rows.get((name['table'], name['key']))
            found = 0 if row is None or row.get('deleted') else row['ver']
            if found != name['ver']:
                self._answer(request, 412, [row] if found else [])
                return
        for name in body['puts']:
            self._write(name, name['value'].encode())
        for name in body['remove']:
            self._write(name, None)
        self._answer(request, 200, [])

    def _headers(self) -> list[str]:
        return [] if self.era is None else ['Store-Era', str(self.era)]

    def _answer(
        self,
        request: httpserver.Request,
        status: int,
        rows: list[dict[str, typing.Any]],
    ) -> None:
        if self.loses_answers:
            return
        body = {'rows': rows, 'ver': self.version, 'now': '0ms'}
        request.answer(
            status,
            _JSON + self._headers(),
            json.dumps({**body, 'has_more': False}).encode(),
        )


def _row(
    table: str, key: str, version: int, value: str = ''
) -> dict[str, typing.Any]:
    row = {'table': table, 'part': '', 'key': key, 'ver': version}
    return {**row, 'value': value} if value else row


def platform_store() -> PlatformStore:
    """Create an empty store that is not listening yet."""
    return PlatformStore()
