"""The UDP socket of a node: proved, bounded datagrams in and out."""

import asyncio
import socket
import typing

from parsleystile import gossipcodec
from parsleystile import metrics as metric
from parsleystile import transport

_RECEIVE_BUFFER_BYTES = 1_048_576


class GossipSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams that prove the fleet's secret.

    It has the datagram half of ``transport.Transport``.
    """

    def __init__(self, fleet_secret: bytes, metrics: metric.Metrics) -> None:
        self._authenticator = gossipcodec.authenticator(fleet_secret)
        self._metrics = metrics
        self._handler: transport.DatagramHandler | None = None
        self._channel: asyncio.DatagramTransport | None = None

    async def listen(self, host: str, port: int) -> transport.Address:
        """Open the socket; return the address bound."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        bound = self._channel.get_extra_info('sockname')
        return transport.Address(bound[0], bound[1])

    def close(self) -> None:
        """Close the socket."""
        if self._channel is not None:
            self._channel.close()

    def send_datagram(self, to: transport.Address, payload: bytes) -> None:
        """Send one datagram; one that is too long is dropped."""
        channel = self._channel
        if channel is None or channel.is_closing():
            return
        if len(payload) > gossipcodec.MAX_DATAGRAM_BYTES:
            self._metrics.incr('gossip.too_long')
            return
        channel.sendto(self._authenticator.sign(payload), (to.host, to.port))

    def handle_datagrams(self, handler: transport.DatagramHandler) -> None:
        """Give every proved datagram's payload to ``handler``."""
        self._handler = handler

    def connection_made(self, channel: asyncio.BaseTransport) -> None:
        """Take the socket over."""
        self._channel = typing.cast(asyncio.DatagramTransport, channel)
        sock = channel.get_extra_info('socket')
        if sock is not None:
            # Datagrams that come during a pause of this process are read
            # after it rather than lost.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Check and pass on one datagram."""
        bound = gossipcodec.MAX_DATAGRAM_BYTES + gossipcodec.MAC_BYTES
        if len(data) > bound:
            self._metrics.incr('gossip.too_long')
            return
        payload = self._authenticator.verify(data)
        if payload is None:
            self._metrics.incr('gossip.unproved')
            return
        if self._handler is not None:
            self._handler(payload, transport.Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Count what ICMP tells; probes find out by themselves."""
        self._metrics.incr('gossip.errors')


def gossip_socket(
    fleet_secret: bytes, metrics: metric.Metrics
) -> GossipSocket:
    """Create a socket that is still closed."""
    return GossipSocket(fleet_secret, metrics)
