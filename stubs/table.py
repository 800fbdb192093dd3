"""A stub of the platform's transactional table service over HTTP.

Run as ``python -m stubs.table --port 7000``. Serves the data requests of
``parsleystile.tablewire``; ``POST /control`` sets faults and ``GET
/control`` returns faults and counts.
"""

import argparse
import asyncio

import msgspec
from tornado import web

from parsleystile import errors
from parsleystile import table
from parsleystile import tablewire
from stubs import tablestate


class FaultsDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``: replaces all faults."""

    outage: tablestate.Outage = tablestate.Outage.NONE
    delay_ms: float = 0.0
    answer_delay_ms: float = 0.0
    lost_answer_share: float = 0.0
    reachable_domains: list[str] | None = None

    def to_faults(self) -> tablestate.Faults:
        """Return the faults as set in the table state."""
        domains = self.reachable_domains
        return tablestate.Faults(
            self.outage,
            self.delay_ms,
            self.answer_delay_ms,
            self.lost_answer_share,
            None if domains is None else frozenset(domains),
        )


class _DataHandler(web.RequestHandler):
    """Base of the data handlers: simulates the faults."""

    def initialize(self, state: tablestate.TableState) -> None:
        self.state = state

    async def post(self) -> None:
        faults = self.state.faults
        domain = self.request.headers.get(tablewire.DOMAIN_HEADER, '')
        match faults.outage_for(domain):
            case tablestate.Outage.REFUSE:
                self.state.counts.refused += 1
                self.set_status(503)
                return
            case tablestate.Outage.RESET:
                self._drop()
                return
            case tablestate.Outage.HANG:
                await self._hang()
                return
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1e3)
        answer = self.execute(self.request.body)
        if faults.answer_delay_ms:
            await asyncio.sleep(faults.answer_delay_ms / 1e3)
        if answer is None:
            self._drop()
            return
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(answer))

    def execute(self, body: bytes) -> msgspec.Struct | None:
        """Execute a request; None if its answer is to be lost."""
        raise NotImplementedError

    async def _hang(self) -> None:
        while self.state.faults.outage is tablestate.Outage.HANG:
            await asyncio.sleep(0.05)
        self._drop()

    def _drop(self) -> None:
        self.detach().close()


def _rows_response(rows: list[table.Row]) -> tablewire.RowsResponse:
    return tablewire.RowsResponse(
        [tablewire.WireRow(row.key, row.value, row.version) for row in rows]
    )


class _ReadHandler(_DataHandler):
    def execute(self, body: bytes) -> msgspec.Struct | None:
        request = msgspec.json.decode(body, type=tablewire.ReadRequest)
        row = self.state.read(request.key)
        return _rows_response([] if row is None else [row])


class _ScanHandler(_DataHandler):
    def execute(self, body: bytes) -> msgspec.Struct | None:
        request = msgspec.json.decode(body, type=tablewire.ScanRequest)
        return _rows_response(self.state.scan(request.prefix))


class _TransactHandler(_DataHandler):
    def execute(self, body: bytes) -> msgspec.Struct | None:
        request = msgspec.json.decode(body, type=tablewire.TransactRequest)
        writes = [
            table.Write(write.key, write.value, write.expected_version)
            for write in request.writes
        ]
        result = self.state.transact(writes)
        if isinstance(result, errors.VersionConflictError):
            self.set_status(409)
            return tablewire.ConflictResponse(
                result.key, result.expected, result.found
            )
        if self.state.draw_answer_loss():
            return None
        return tablewire.TransactResponse(result)


class _ControlHandler(web.RequestHandler):
    """Sets faults; returns faults and counts."""

    def initialize(self, state: tablestate.TableState) -> None:
        self.state = state

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        document = {'faults': self.state.faults, 'counts': self.state.counts}
        self.write(msgspec.json.encode(document, enc_hook=list))

    def post(self) -> None:
        try:
            document = msgspec.json.decode(
                self.request.body, type=FaultsDocument
            )
        except msgspec.DecodeError as exc:
            self.set_status(400)
            self.write(str(exc))
            return
        self.state.faults = document.to_faults()
        self.get()


def table_application(state: tablestate.TableState) -> web.Application:
    """Create the HTTP application that serves ``state``."""
    arguments = {'state': state}
    return web.Application(
        [
            (tablewire.READ_PATH, _ReadHandler, arguments),
            (tablewire.SCAN_PATH, _ScanHandler, arguments),
            (tablewire.TRANSACT_PATH, _TransactHandler, arguments),
            ('/control', _ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


async def _serve(host: str, port: int, seed: int) -> None:
    app = table_application(tablestate.table_state(seed))
    app.listen(port, host)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    asyncio.run(_serve(options.host, options.port, options.seed))


if __name__ == '__main__':
    main()
