"""A target whose answer never ends."""

import asyncio

BLOCK_BYTES = 65_536
# Far more than any limit on what is not a body.
ENDLESS_BYTES = 8 * 1_048_576


class EndlessTarget:
    """Sends a start once and then one unit until the client closes.

    Attributes:
        closed: Number of connections that the client closed.
        sent_bytes: Bytes sent on all connections.
        max_bytes: Bytes on each connection after which it falls silent.
    """

    def __init__(self, start, unit, max_bytes=ENDLESS_BYTES):
        self._start = start
        self._block = unit * max(1, BLOCK_BYTES // len(unit))
        self.max_bytes = max_bytes
        self.closed = 0
        self.sent_bytes = 0

    async def listen(self):
        """Listen on loopback and return the port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._start)
            sent_bytes = 0
            while sent_bytes < self.max_bytes:
                writer.write(self._block)
                await writer.drain()
                sent_bytes += len(self._block)
                self.sent_bytes += len(self._block)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.closed += 1
