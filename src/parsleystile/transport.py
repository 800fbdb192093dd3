"""Interface by which a node sends messages to other nodes."""

import abc
import typing

import msgspec

from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids


class Address(msgspec.Struct, frozen=True):
    """IP address and port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Peer(msgspec.Struct, frozen=True, cache_hash=True):
    """A node to connect to.

    Attributes:
        address: Address of its link listener.
        node_id: The node; None if any node that listens there will do.
    """

    address: Address
    node_id: ids.NodeId | None = None

    def __str__(self) -> str:
        if self.node_id is None:
            return str(self.address)
        return f'{self.node_id} at {self.address}'


class PendingCall(abc.ABC):
    """A call whose answer is outstanding."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Drop the answer and cancel the call at the other end."""


OnAnswer = typing.Callable[[ttypes.Answer | errors.Refusal], None]
OnControlReply = typing.Callable[[bytes | errors.Refusal], None]
# Handles a control request; may call the reply callback later.
ControlHandler = typing.Callable[[bytes, typing.Callable[[bytes], None]], None]
DatagramHandler = typing.Callable[[bytes, Address], None]


class Transport(abc.ABC):
    """Calls, control requests and datagrams to other nodes.

    Implemented over TCP and UDP in production and in memory in tests.
    """

    @abc.abstractmethod
    def call(
        self, to: Peer, call: ttypes.Call, on_answer: OnAnswer
    ) -> PendingCall:
        """Send a call; ``on_answer`` is called exactly once unless cancelled.

        A refusal has outcome ``NOT_RUN`` only if no byte of the call was sent.
        """

    @abc.abstractmethod
    def control(
        self,
        to: Peer,
        kind: str,
        payload: bytes,
        timeout_ms: float,
        on_reply: OnControlReply,
    ) -> None:
        """Send a control request; ``on_reply`` is called exactly once."""

    @abc.abstractmethod
    def handle_control(self, kind: str, handler: ControlHandler) -> None:
        """Serve control requests of one kind."""

    @abc.abstractmethod
    def send_datagram(self, to: Address, payload: bytes) -> None:
        """Send one datagram; it may be lost, delayed or duplicated."""

    @abc.abstractmethod
    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Receive datagrams authenticated with the fleet secret."""
