"""A target whose answer never ends."""

import asyncio

from parsleystile import errors

BLOCK_BYTES = 65_536
# Far more than any limit on what is not a body.
ENDLESS_BYTES = 8 * 1_048_576


class EndlessTarget:
    """Sends a start once and then one unit until the client closes.

    Attributes:
        closed: Number of connections that the client closed.
        sent_bytes: Bytes sent on all connections.
        max_bytes: Bytes on each connection after which it falls silent.
        block: Bytes that are sent at once.
        pause_s: Time between blocks.
    """

    def __init__(self, start, unit, max_bytes=ENDLESS_BYTES, pause_s=0.0):
        self._start = start
        self.block = unit * max(1, BLOCK_BYTES // max(1, len(unit)))
        self.max_bytes = max_bytes
        self.pause_s = pause_s
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
                await asyncio.sleep(self.pause_s)
                if writer.is_closing():
                    # uvloop raises RuntimeError on a write to a transport
                    # whose loss the stream has not reported yet.
                    break
                writer.write(self.block)
                await writer.drain()
                sent_bytes += len(self.block)
                self.sent_bytes += len(self.block)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.closed += 1


def assert_rejected(result, limit):
    """Assert that an answer was rejected for a named limit."""
    assert isinstance(result, errors.Refusal)
    assert result.outcome is errors.Outcome.UNKNOWN
    assert result.reason is errors.Reason.TARGET_FAILED
    assert result.status == 502
    assert limit in result.detail
