"""Links between nodes: one multiplexed TCP connection per direction."""

import asyncio
import functools
import typing

from parsleystile import _linkprotocol
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import metrics as metric
from parsleystile import transport

_CONNECT_TIMEOUT_MS = 1000
_HANDSHAKE_TIMEOUT_MS = 1000
_CLOSE_TIMEOUT_MS = 100.0
_CLOSE_POLL_MS = 2.0
_MS_PER_S = 1000.0

LinkSettings = _linkprotocol.LinkSettings


class Links:
    """All links of a node, accepted and opened."""

    def __init__(
        self,
        settings: LinkSettings,
        clock: clocks.Clock,
        wheel: deadlines.DeadlineWheel,
        metrics: metric.Metrics,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._wheel = wheel
        self._metrics = metrics
        self._links: dict[transport.Peer, _linkprotocol.ClientLink] = {}
        self._accepted: set[_linkprotocol.ServerLink] = set()
        self._control_handlers: dict[str, transport.ControlHandler] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._on_call: _linkprotocol.CallHandler | None = None

    def handle_calls(self, handler: _linkprotocol.CallHandler) -> None:
        """Serve calls on every accepted link."""
        self._on_call = handler

    async def listen(self, host: str, port: int) -> transport.Address:
        """Accept links from other nodes; return the bound address."""

        def accept() -> _linkprotocol.ServerLink:
            return _linkprotocol.ServerLink(
                self._settings,
                self._metrics,
                self._serve_call,
                self._control_handlers,
                self._on_accepted,
                self._accepted.discard,
            )

        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(accept, host, port)
        name = self._server.sockets[0].getsockname()
        return transport.Address(name[0], name[1])

    def _on_accepted(self, accepted: _linkprotocol.ServerLink) -> None:
        self._accepted.add(accepted)
        self._start_handshake_timer(accepted)

    def _start_handshake_timer(
        self, connection: _linkprotocol.Connection
    ) -> None:
        self._wheel.add(
            self._clock.now_ms() + _HANDSHAKE_TIMEOUT_MS,
            functools.partial(_abort_unless_ready, connection),
        )

    def _serve_call(
        self,
        call: ttypes.Call,
        on_answer: typing.Callable[[ttypes.Answer], None],
    ) -> transport.PendingCall | None:
        # Peers can connect before the node has registered its handler.
        if self._on_call is None:
            raise errors.FrameError(
                'call received before this node serves calls'
            )
        return self._on_call(call, on_answer)

    def call(
        self,
        to: transport.Peer,
        call: ttypes.Call,
        on_answer: transport.OnAnswer,
    ) -> transport.PendingCall:
        """Send a call to a node; see ``Transport.call``."""
        return self._link(to).call(call, on_answer)

    def control(
        self,
        to: transport.Peer,
        kind: str,
        payload: bytes,
        timeout_ms: float,
        on_reply: transport.OnControlReply,
    ) -> None:
        """Send a control request; see ``Transport.control``."""
        link = self._link(to)
        request_id = link.control(kind, payload, on_reply)
        self._wheel.add(
            self._clock.now_ms() + timeout_ms,
            functools.partial(link.expire_control, request_id),
        )

    def busy_links(self) -> list[tuple[transport.Peer, int]]:
        """Return each link with calls in flight and its received chunks."""
        return [
            (peer, link.received_chunks)
            for peer, link in self._links.items()
            if link.calls_in_flight
        ]

    def drop(self, to: transport.Peer, detail: str) -> None:
        """Abort a link; its calls end as UNKNOWN or, if unsent, as NOT_RUN."""
        link = self._links.get(to)
        if link is not None:
            link.fail(detail)
            link.abort()

    def handle_control(
        self, kind: str, handler: transport.ControlHandler
    ) -> None:
        """Serve control requests of one kind on every accepted link."""
        self._control_handlers[kind] = handler

    def _link(self, to: transport.Peer) -> _linkprotocol.ClientLink:
        link = self._links.get(to)
        if link is None:
            remove = functools.partial(self._links.pop, to, None)
            link = _linkprotocol.ClientLink(
                to, self._settings, self._metrics, remove
            )
            self._links[to] = link
            task = asyncio.get_running_loop().create_task(
                self._connect(to, link)
            )
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        return link

    async def _connect(
        self, to: transport.Peer, link: _linkprotocol.ClientLink
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_MS / 1000):
                await loop.create_connection(
                    lambda: link, to.address.host, to.address.port
                )
        except (OSError, TimeoutError) as exc:
            self._metrics.incr('link.connect_failures')
            link.fail(f'no link to {to}: {type(exc).__name__}')
            return
        self._start_handshake_timer(link)

    @property
    def accepted_count(self) -> int:
        """Open connections from other nodes, authenticated or not."""
        return len(self._accepted)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of frames that the kernel has not taken yet, on all links."""
        links = [*self._links.values(), *self._accepted]
        return sum(link.unsent_bytes for link in links)

    async def close(self, timeout_ms: float = _CLOSE_TIMEOUT_MS) -> None:
        """Deliver what is written and close every link.

        Outstanding calls end as UNKNOWN. Links that are still open after the
        timeout are aborted.
        """
        if self._server is not None:
            self._server.close()
        for task in list(self._connecting):
            task.cancel()
        for link in list(self._links.values()):
            if not link.is_connected:
                link.fail('the node closes')
        for link in [*self._links.values(), *self._accepted]:
            link.shut_down()
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                while self._links or self._accepted:
                    await asyncio.sleep(_CLOSE_POLL_MS / _MS_PER_S)
        except TimeoutError:
            for link in [*self._links.values(), *self._accepted]:
                link.abort()


def _abort_unless_ready(link: _linkprotocol.Connection) -> None:
    if not link.is_ready:
        link.abort()


def links(
    settings: LinkSettings,
    clock: clocks.Clock,
    wheel: deadlines.DeadlineWheel,
    metrics: metric.Metrics,
) -> Links:
    """Create the link manager of a node, without open links."""
    return Links(settings, clock, wheel, metrics)
