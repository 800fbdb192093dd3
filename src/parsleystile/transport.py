"""How a node reaches other nodes; faked in tests, TCP and UDP in service."""

import abc
import typing

import msgspec

from parsleystile import errors
from parsleystile.gen import ttypes


class Address(msgspec.Struct, frozen=True):
    """Where a node listens, by IP number."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class PendingCall(abc.ABC):
    """A call that was handed to a link."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Give up on the answer and tell the other end."""


OnAnswer = typing.Callable[[ttypes.Answer | errors.Refusal], None]
OnControlReply = typing.Callable[[bytes | errors.Refusal], None]
# Answers a control request; the reply may be sent later.
ControlHandler = typing.Callable[[bytes, typing.Callable[[bytes], None]], None]
DatagramHandler = typing.Callable[[bytes, Address], None]


class Transport(abc.ABC):
    """Messages to other nodes."""

    @abc.abstractmethod
    def call(
        self, to: Address, call: ttypes.Call, on_answer: OnAnswer
    ) -> PendingCall:
        """Send a call; ``on_answer`` is called exactly once unless cancelled.

        A refusal has outcome ``NOT_RUN`` only if no byte of the call left.
        """

    @abc.abstractmethod
    def control(
        self,
        to: Address,
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
        """Send one datagram; it may be lost, late or doubled."""

    @abc.abstractmethod
    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Receive datagrams that carry a valid fleet proof."""
