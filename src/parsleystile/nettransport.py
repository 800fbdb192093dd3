"""The transport used in production: TCP links and UDP datagrams."""

from parsleystile.gen import ttypes
from parsleystile import gossipsocket
from parsleystile import link
from parsleystile import transport


class NetTransport(transport.Transport):
    """Sends calls and control requests over links, gossip as datagrams."""

    def __init__(
        self, links: link.Links, datagrams: gossipsocket.GossipSocket
    ) -> None:
        self._links = links
        self._datagrams = datagrams

    def call(
        self,
        to: transport.Peer,
        call: ttypes.Call,
        on_answer: transport.OnAnswer,
    ) -> transport.PendingCall:
        """Send a call; see ``Transport.call``."""
        return self._links.call(to, call, on_answer)

    def control(
        self,
        to: transport.Peer,
        kind: str,
        payload: bytes,
        timeout_ms: float,
        on_reply: transport.OnControlReply,
    ) -> None:
        """Send a control request; see ``Transport.control``."""
        self._links.control(to, kind, payload, timeout_ms, on_reply)

    def handle_control(
        self, kind: str, handler: transport.ControlHandler
    ) -> None:
        """Serve control requests of one kind."""
        self._links.handle_control(kind, handler)

    def send_datagram(self, to: transport.Address, payload: bytes) -> None:
        """Send one datagram."""
        self._datagrams.send_datagram(to, payload)

    def handle_datagrams(self, handler: transport.DatagramHandler) -> None:
        """Receive datagrams."""
        self._datagrams.handle_datagrams(handler)


def net_transport(
    links: link.Links, datagrams: gossipsocket.GossipSocket
) -> NetTransport:
    """Create the transport of a node."""
    return NetTransport(links, datagrams)
