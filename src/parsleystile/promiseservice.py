"""Requests and answers lease promises over links, for every kind of lease."""

import typing

import msgspec

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import ids
from parsleystile import leases
from parsleystile import ownership
from parsleystile import transport

PROMISE_KIND = 'lease-promise'
_TIMEOUT_MS = 500.0

OnReply = typing.Callable[[leases.PromiseReplied], None]
Peers = dict[ids.NodeId, transport.Peer]


class PromiseService:
    """Sends promise requests to deputies and answers those of holders."""

    def __init__(
        self, network: transport.Transport, clock: clocks.Clock
    ) -> None:
        self._network = network
        self._clock = clock
        self._owners_by_prefix: dict[str, ownership.Ownership] = {}
        network.handle_control(PROMISE_KIND, self._on_request)

    def register(self, prefix: str, owner: ownership.Ownership) -> None:
        """Let ``owner`` answer requests about leases under ``prefix``."""
        self._owners_by_prefix[prefix] = owner

    def request(
        self,
        action: leases.RequestPromise,
        peers: Peers,
        on_reply: OnReply,
    ) -> None:
        """Send a request; ``on_reply`` is called if the deputy answers.

        Args:
            action: The request and its receiver.
            peers: Nodes to connect to; an unknown node is skipped.
            on_reply: Called with the deputy's answer.
        """
        peer = peers.get(action.to)
        if peer is None:
            return

        def on_answer(answer: bytes | errors.Refusal) -> None:
            if isinstance(answer, errors.Refusal):
                return
            try:
                reply = msgspec.msgpack.decode(
                    answer, type=leases.PromiseReply
                )
            except msgspec.DecodeError:
                return
            on_reply(
                leases.PromiseReplied(
                    action.request.prefix,
                    action.to,
                    action.requested_at_ms,
                    reply.is_promised,
                )
            )

        payload = msgspec.msgpack.encode(action.request)
        self._network.control(
            peer, PROMISE_KIND, payload, _TIMEOUT_MS, on_answer
        )

    def _on_request(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        promised = leases.PromiseReply(False)
        try:
            request = msgspec.msgpack.decode(
                payload, type=leases.PromiseRequest
            )
        except msgspec.DecodeError:
            request = None
        if request is not None and request.prefix in self._owners_by_prefix:
            watch = self._owners_by_prefix[request.prefix].watch
            promised = watch.promise(request, self._clock.now_ms())
        reply(msgspec.msgpack.encode(promised))


def promise_service(
    network: transport.Transport, clock: clocks.Clock
) -> PromiseService:
    """Create the promise service of one node."""
    return PromiseService(network, clock)
