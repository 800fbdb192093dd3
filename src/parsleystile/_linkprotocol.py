"""Protocols of the two ends of a link.

Each end proves knowledge of the fleet secret by an HMAC over both nonces
before any other frame is accepted. Answers are matched to calls by call id.
"""

import asyncio
import collections
import dataclasses
import hashlib
import hmac
import itertools
import secrets
import socket
import typing

from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile import metrics as metric
from parsleystile import transport
from parsleystile import wire

_NONCE_BYTES = 16
# The kernel closes a connection whose data stays unacknowledged this long,
# which detects half-open connections.
_TCP_USER_TIMEOUT_MS = 3000
_KEEPALIVE_IDLE_S = 2
_MAX_QUEUED_CALLS = 4096
# Write buffer for a peer that does not read, besides large bodies; beyond it
# the link is closed. A large call waits for room in it elsewhere.
_MAX_BUFFERED_BYTES = 8 * 1_048_576
_NO_ROOM_RETRY_AFTER_MS = 500
# Larger bodies are written without a copy.
_LARGE_BODY_BYTES = 65_536

CallHandler = typing.Callable[
    [ttypes.Call, typing.Callable[[ttypes.Answer], None]],
    transport.PendingCall | None,
]


def _log_rejected(address: str, why: str) -> None:
    # Imported here so that a node with its own log does not load them.
    from parsleystile import logevents
    from parsleystile import logs

    logs.log_event(logevents.PeerRejected(address=address, why=why))


def _log_wrong_peer(peer: transport.Peer, found: ids.NodeId) -> None:
    _log_rejected(str(peer), f'{found} answers there')


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings shared by all links of a node.

    Attributes:
        secret: Shared by all nodes of the fleet.
        max_frame_bytes: Longest frame that either end accepts.
        on_rejected: Called with the address of a peer that violates the
            protocol, and the reason.
        on_wrong_peer: Called with the node that was meant and the one that
            answered in its place.
    """

    node_id: ids.NodeId
    secret: bytes
    max_frame_bytes: int
    on_rejected: typing.Callable[[str, str], None] = _log_rejected
    on_wrong_peer: typing.Callable[[transport.Peer, ids.NodeId], None] = (
        _log_wrong_peer
    )


def _proof(
    secret: bytes, role: bytes, client_nonce: bytes, server_nonce: bytes
) -> bytes:
    text = role + client_nonce + server_nonce
    return hmac.digest(secret, text, hashlib.sha256)


class Connection(asyncio.Protocol):
    """Frame decoding and the handshake state, common to both ends."""

    def __init__(
        self, settings: LinkSettings, metrics: metric.Metrics
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._decoder = wire.FrameDecoder(settings.max_frame_bytes)
        self._transport: asyncio.Transport | None = None
        self._nonce = secrets.token_bytes(_NONCE_BYTES)
        self._is_shut_down = False
        # Large bodies in the write buffer, at most.
        self._large_bytes = 0
        self.is_ready = False
        # Does not grow while the peer is silent.
        self.received_chunks = 0

    def connection_made(self, transport_: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport_)
        sock = self._transport.get_extra_info('socket')
        if sock is not None:
            _set_socket_options(sock)

    def data_received(self, data: bytes) -> None:
        self.received_chunks += 1
        try:
            for message in self._decoder.feed(data):
                self._receive(message)
        except errors.FrameError as exc:
            self._metrics.incr('link.frame_errors')
            peer = self._transport.get_extra_info('peername')
            self._settings.on_rejected(str(peer), str(exc))
            self.abort()

    def _receive(self, message: wire.Message) -> None:
        if self.is_ready:
            self.on_message(message)
        elif isinstance(message, ttypes.Hello):
            self.on_hello(message)
        else:
            raise errors.FrameError('message before the end of the handshake')

    def send(self, kind: wire.FrameKind, message: wire.Message) -> bool:
        """Write a frame; return False if the connection cannot accept it."""
        channel = self._transport
        if channel is None or self._is_shut_down or channel.is_closing():
            return False
        unsent_bytes = channel.get_write_buffer_size()
        if unsent_bytes > _MAX_BUFFERED_BYTES + self._large_bytes:
            self._metrics.incr('link.overflows')
            self.abort()
            return False
        if not unsent_bytes:
            self._large_bytes = 0
        if _has_large_body(kind, message):
            self._large_bytes += len(message.body)
            channel.writelines(wire.encode_parts(kind, message))
        else:
            channel.write(wire.encode(kind, message))
        return True

    @property
    def unsent_bytes(self) -> int:
        """Bytes of frames that the kernel has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close the connection at once and discard buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def shut_down(self) -> None:
        """End the stream after the buffered data; the peer then closes.

        Closing first would reset the connection if the peer had sent more,
        and could discard answers that it has not read.
        """
        self._is_shut_down = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    @property
    def is_connected(self) -> bool:
        """Whether the connection was established."""
        return self._transport is not None

    def on_hello(self, hello: ttypes.Hello) -> None:
        raise NotImplementedError

    def on_message(self, message: wire.Message) -> None:
        raise NotImplementedError


def _has_large_body(kind: wire.FrameKind, message: wire.Message) -> bool:
    return (
        kind is wire.FrameKind.CALL or kind is wire.FrameKind.ANSWER
    ) and len(message.body) >= _LARGE_BODY_BYTES


def _set_socket_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )


class ServerLink(Connection):
    """The accepting end; serves calls and control requests."""

    def __init__(
        self,
        settings: LinkSettings,
        metrics: metric.Metrics,
        on_call: CallHandler,
        control_handlers: dict[str, transport.ControlHandler],
        on_open: typing.Callable[['ServerLink'], None],
        on_close: typing.Callable[['ServerLink'], None],
    ) -> None:
        super().__init__(settings, metrics)
        self._on_call = on_call
        self._control_handlers = control_handlers
        self._on_open = on_open
        self._on_close = on_close
        self._client_nonce = b''
        self._pending_calls: dict[int, transport.PendingCall] = {}

    def connection_made(self, transport_: asyncio.BaseTransport) -> None:
        super().connection_made(transport_)
        self._on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_close(self)
        # The answers can no longer be delivered.
        for pending in list(self._pending_calls.values()):
            pending.cancel()
        self._pending_calls.clear()

    def on_hello(self, hello: ttypes.Hello) -> None:
        secret = self._settings.secret
        if not self._client_nonce:
            if len(hello.nonce) != _NONCE_BYTES:
                raise errors.FrameError('nonce has the wrong length')
            self._client_nonce = hello.nonce
            proof = _proof(secret, b'server', hello.nonce, self._nonce)
            answer = ttypes.Hello(self._settings.node_id, self._nonce, proof)
            self.send(wire.FrameKind.HELLO, answer)
            return
        expected = _proof(secret, b'client', self._client_nonce, self._nonce)
        if not hmac.compare_digest(expected, hello.proof):
            self._metrics.incr('link.rejected_proofs')
            raise errors.FrameError('wrong proof of the fleet secret')
        self.is_ready = True

    def on_message(self, message: wire.Message) -> None:
        match message:
            case ttypes.Call():
                self._serve_call(message)
            case ttypes.Cancel():
                pending = self._pending_calls.pop(message.call_id, None)
                if pending is not None:
                    pending.cancel()
            case ttypes.Control(is_reply=False):
                self._serve_control(message)
            case _:
                raise errors.FrameError(
                    'server message received from a client'
                )

    def _serve_call(self, call: ttypes.Call) -> None:
        call_id = call.call_id
        if call_id in self._pending_calls:
            raise errors.FrameError(f'call id {call_id} is already in use')
        answered = False

        def on_answer(answer: ttypes.Answer) -> None:
            nonlocal answered
            answered = True
            self._pending_calls.pop(call_id, None)
            answer.call_id = call_id
            self.send(wire.FrameKind.ANSWER, answer)

        pending = self._on_call(call, on_answer)
        if pending is not None and not answered:
            self._pending_calls[call_id] = pending

    def _serve_control(self, request: ttypes.Control) -> None:
        handler = self._control_handlers.get(request.kind)
        if handler is None:
            raise errors.FrameError(f'unknown control kind {request.kind!r}')

        def reply(payload: bytes) -> None:
            message = ttypes.Control(request.request_id, True, '', payload)
            self.send(wire.FrameKind.CONTROL, message)

        handler(request.payload, reply)


class _Pending(transport.PendingCall):
    __slots__ = ('_link', 'call_id', 'on_answer')

    def __init__(
        self, link: 'ClientLink', call_id: int, on_answer: transport.OnAnswer
    ) -> None:
        self._link = link
        self.call_id = call_id
        self.on_answer = on_answer

    def cancel(self) -> None:
        self._link.cancel(self.call_id)


class ClientLink(Connection):
    """The connecting end; sends calls and control requests."""

    def __init__(
        self,
        peer: transport.Peer,
        settings: LinkSettings,
        metrics: metric.Metrics,
        on_close: typing.Callable[[], None],
    ) -> None:
        super().__init__(settings, metrics)
        self._peer = peer
        self._on_close = on_close
        self._closed = False
        self._request_ids = itertools.count(1)
        self._pending_calls: dict[int, _Pending] = {}
        self._pending_controls: dict[int, transport.OnControlReply] = {}
        # Calls made before the end of the handshake. Nothing of them has been
        # sent, so on failure they end as NOT_RUN.
        self._queued_calls: collections.OrderedDict[int, ttypes.Call] = (
            collections.OrderedDict()
        )
        self._queued_controls: list[ttypes.Control] = []

    def connection_made(self, transport_: asyncio.BaseTransport) -> None:
        super().connection_made(transport_)
        hello = ttypes.Hello(self._settings.node_id, self._nonce, b'')
        self.send(wire.FrameKind.HELLO, hello)

    @property
    def calls_in_flight(self) -> int:
        """Calls that have no answer yet."""
        return len(self._pending_calls)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(f'link lost: {exc or "closed by peer"}')

    def fail(self, detail: str) -> None:
        """Fail all outstanding requests; the link cannot be used again."""
        if self._closed:
            return
        self._closed = True
        self._on_close()
        calls, self._pending_calls = self._pending_calls, {}
        for call_id, pending in calls.items():
            if call_id in self._queued_calls:
                refusal = errors.not_run(errors.Reason.UNREACHABLE, detail)
            else:
                refusal = errors.unknown(errors.Reason.LINK_LOST, detail)
            pending.on_answer(refusal)
        self._queued_calls.clear()
        controls, self._pending_controls = self._pending_controls, {}
        for on_reply in controls.values():
            on_reply(errors.unknown(errors.Reason.LINK_LOST, detail))

    def on_hello(self, hello: ttypes.Hello) -> None:
        secret = self._settings.secret
        expected = _proof(secret, b'server', self._nonce, hello.nonce)
        if not hmac.compare_digest(expected, hello.proof):
            self._metrics.incr('link.rejected_proofs')
            raise errors.FrameError('wrong proof of the fleet secret')
        found = ids.NodeId(hello.node_id)
        if self._peer.node_id not in (None, found):
            self._reject_peer(found)
            return
        proof = _proof(secret, b'client', self._nonce, hello.nonce)
        answer = ttypes.Hello(self._settings.node_id, self._nonce, proof)
        self.send(wire.FrameKind.HELLO, answer)
        self.is_ready = True
        queue, self._queued_calls = (
            self._queued_calls,
            collections.OrderedDict(),
        )
        for call in queue.values():
            self.send(wire.FrameKind.CALL, call)
        for control in self._queued_controls:
            self.send(wire.FrameKind.CONTROL, control)
        self._queued_controls.clear()

    def _reject_peer(self, found: ids.NodeId) -> None:
        """Close the link to a node that took over the address of another.

        Nothing has been sent to it yet.
        """
        self._metrics.incr('link.wrong_peers')
        self._settings.on_wrong_peer(self._peer, found)
        self.fail(f'{found} answers in place of {self._peer}')
        self.abort()

    def on_message(self, message: wire.Message) -> None:
        match message:
            case ttypes.Answer():
                pending = self._pending_calls.pop(message.call_id, None)
                if pending is None:
                    # The call was cancelled before its answer arrived.
                    self._metrics.incr('link.late_answers')
                else:
                    pending.on_answer(message)
            case ttypes.Control(is_reply=True):
                on_reply = self._pending_controls.pop(message.request_id, None)
                if on_reply is not None:
                    on_reply(message.payload)
            case _:
                raise errors.FrameError(
                    'client message received from a server'
                )

    def call(
        self, call: ttypes.Call, on_answer: transport.OnAnswer
    ) -> transport.PendingCall:
        call_id = next(self._request_ids)
        call.call_id = call_id
        pending = _Pending(self, call_id, on_answer)
        if self._closed or len(self._queued_calls) >= _MAX_QUEUED_CALLS:
            refusal = errors.not_run(
                errors.Reason.UNREACHABLE, 'link is closed or full'
            )
            asyncio.get_running_loop().call_soon(on_answer, refusal)
            return pending
        if len(call.body) >= _LARGE_BODY_BYTES and not self._has_room(call):
            refusal = errors.not_run(
                errors.Reason.QUEUE_FULL,
                'large calls wait on this link',
                _NO_ROOM_RETRY_AFTER_MS,
            )
            asyncio.get_running_loop().call_soon(on_answer, refusal)
            return pending
        self._pending_calls[call_id] = pending
        if not self.is_ready:
            self._queued_calls[call_id] = call
        elif not self.send(wire.FrameKind.CALL, call):
            del self._pending_calls[call_id]
            refusal = errors.not_run(
                errors.Reason.UNREACHABLE, 'link is closing'
            )
            asyncio.get_running_loop().call_soon(on_answer, refusal)
        return pending

    def _has_room(self, call: ttypes.Call) -> bool:
        """Whether a large call fits behind others; alone it always does."""
        waiting_bytes = self.unsent_bytes + sum(
            len(queued.body) for queued in self._queued_calls.values()
        )
        size = waiting_bytes + len(call.body)
        return not waiting_bytes or size <= _MAX_BUFFERED_BYTES

    def cancel(self, call_id: int) -> None:
        """Drop a call and, if it was sent, cancel it at the other end."""
        if self._pending_calls.pop(call_id, None) is None:
            return
        if self._queued_calls.pop(call_id, None) is None and self.is_ready:
            self.send(wire.FrameKind.CANCEL, ttypes.Cancel(call_id))

    def control(
        self, kind: str, payload: bytes, on_reply: transport.OnControlReply
    ) -> int:
        request_id = next(self._request_ids)
        if self._closed:
            refusal = errors.not_run(errors.Reason.UNREACHABLE, 'link closed')
            asyncio.get_running_loop().call_soon(on_reply, refusal)
            return request_id
        self._pending_controls[request_id] = on_reply
        message = ttypes.Control(request_id, False, kind, payload)
        if self.is_ready:
            self.send(wire.FrameKind.CONTROL, message)
        else:
            self._queued_controls.append(message)
        return request_id

    def expire_control(self, request_id: int) -> None:
        """End a control request whose timeout has expired."""
        on_reply = self._pending_controls.pop(request_id, None)
        if on_reply is not None:
            on_reply(errors.unknown(errors.Reason.DEADLINE, 'no reply'))
