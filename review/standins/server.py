"""Stand-in of an application backend ("server") beside a node."""

import asyncio
import json
import time
import typing

from review.standins import http11

ID_HEADER = 'Parsleystile-Attempt-Id'
SIGNATURE_HEADER = 'Parsleystile-Server-Signature'


class Server:
    """A backend that runs requests and reports to its node.

    Attributes:
        work_s_of: Returns the duration of a request.
        make_body: Returns the body of the answer to a request.
        on_run: Called with each request that begins to run.
        on_end: Called with a request and how its run ended.
        headers: Further headers of each answer.
        state: State that heartbeats report; None sends none.
    """

    def __init__(
        self, instance: str, service: str, zone: str, slots: int = 50
    ) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s_of: typing.Callable[[http11.Message], float] = (
            lambda request: 0.0
        )
        self.make_body: typing.Callable[[http11.Message], bytes] = (
            lambda request: b'done'
        )
        self.on_run: typing.Callable[[http11.Message], None] = lambda _: None
        self.on_end: typing.Callable[[http11.Message, str], None] = (
            lambda request, how: None
        )
        self.headers: dict[str, str] = {}
        self.state: str | None = 'ready'
        self.born_ms = int(time.time() * 1e3)
        self.sequence = 0
        self.address = ('', 0)
        self._control = ('', 0)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(
        self, host: str, port: int, control: tuple[str, int]
    ) -> None:
        """Listen and report to the node's control address."""
        self.address = (host, port)
        self._control = control
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    def close(self) -> None:
        """Stop listening and reporting."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    def beat_body(self, state: str) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                'service': self.service,
                'address': f'{self.address[0]}:{self.address[1]}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': state,
                'cold_remaining': '0ms',
                'sequence': self.sequence,
                'born': self.born_ms,
            }
        ).encode()

    async def tell(self, verb: str, body: bytes) -> bool:
        """Send a report; return whether it was acknowledged."""
        head = (
            f'POST /v1/instances/{self.instance}/{verb} HTTP/1.1\r\n'
            f'Host: {self._control[0]}:{self._control[1]}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        found = await http11.exchange(*self._control, head.encode() + body)
        return found is not None and 200 <= found.status < 300

    async def _beat(self) -> None:
        while True:
            is_acknowledged = False
            if self.state is not None:
                body = self.beat_body(self.state)
                is_acknowledged = await self.tell('heartbeat', body)
            # Until the node has started, the backend tries again soon.
            first = self.sequence < 20 and not is_acknowledged
            await asyncio.sleep(0.2 if first else 1.5)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http11.read_message(reader)) is not None:
                if not request.is_whole:
                    break
                await self._run(request, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(
        self,
        request: http11.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        expected = request.headers.get('parsleystile-expected-instance')
        if expected not in (None, self.instance):
            writer.write(http11.answer(421, {}, b''))
            return
        self.on_run(request)
        try:
            await self._work(self.work_s_of(request), reader)
        except ConnectionError:
            self.on_end(request, 'connection closed')
            raise
        headers = {
            ID_HEADER: request.headers.get(ID_HEADER.lower(), ''),
            SIGNATURE_HEADER: f'signed-{self.instance}',
            **self.headers,
        }
        writer.write(http11.answer(200, headers, self.make_body(request)))
        self.on_end(request, 'answered')
        await writer.drain()

    async def _work(self, work_s: float, reader: asyncio.StreamReader) -> None:
        """Work, and stop once the caller closes its connection."""
        end_s = time.monotonic() + work_s
        while (left_s := end_s - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, 0.02))
            if reader.at_eof() or reader.exception() is not None:
                raise ConnectionResetError
