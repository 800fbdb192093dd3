"""Connections to the listeners for the platform."""

import asyncio
import types

from adapter import process
from parsleystile import clock as clocks
from parsleystile.relay import _httpconnection
from parsleystile import transport
from tests import asyncutil

_ANY_PORT = transport.Address('127.0.0.1', 0)


def test_a_rejected_caller_of_a_platform_listener_is_disconnected(
    monkeypatch,
):
    monkeypatch.setattr(_httpconnection, '_LINGER_MS', 20.0)

    async def body():
        settings = types.SimpleNamespace(
            target=_ANY_PORT,
            reports=_ANY_PORT,
            readiness=_ANY_PORT,
            own='127.0.0.1',
            last_port=0,
        )
        node = types.SimpleNamespace(
            handle_report=None, is_service=None, is_ready=True, held=None
        )
        servers = await process._listen(
            settings, node, clocks.system_clock(), None
        )
        _, readiness, _ = servers
        host, port = readiness._servers[0].sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b'what is this\r\n\r\n')
        await reader.read()
        # The caller keeps its side open.
        await asyncutil.wait_until(lambda: not readiness.connections)
        writer.close()
        for server in servers:
            server.close()

    asyncutil.run(body())
