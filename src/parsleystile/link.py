"""Links between nodes: one multiplexed TCP connection a pair."""

import asyncio
import functools
import typing

from parsleystile import _linkends
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import metrics as metric
from parsleystile import transport

_CONNECT_TIMEOUT_MS = 1000
_HANDSHAKE_TIMEOUT_MS = 1000

LinkSettings = _linkends.LinkSettings


class Links:
    """Every link of a node, both the accepted and the opened ones."""

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
        self._links: dict[transport.Address, _linkends.ClientLink] = {}
        self._accepted: set[_linkends.ServerLink] = set()
        self._controls: dict[str, transport.ControlHandler] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._on_call: _linkends.CallHandler | None = None

    def handle_calls(self, handler: _linkends.CallHandler) -> None:
        """Serve calls on every accepted link."""
        self._on_call = handler

    async def listen(self, host: str, port: int) -> transport.Address:
        """Accept links from other nodes; return the address bound."""

        def accept() -> _linkends.ServerLink:
            return _linkends.ServerLink(
                self._settings,
                self._metrics,
                self._serve_call,
                self._controls,
                self._opened,
                self._accepted.discard,
            )

        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(accept, host, port)
        name = self._server.sockets[0].getsockname()
        return transport.Address(name[0], name[1])

    def _opened(self, accepted: _linkends.ServerLink) -> None:
        self._accepted.add(accepted)
        self._expect_handshake(accepted)

    def _expect_handshake(self, connection: _linkends.Connection) -> None:
        self._wheel.add(
            self._clock.now_ms() + _HANDSHAKE_TIMEOUT_MS,
            functools.partial(_close_unless_ready, connection),
        )

    def _serve_call(
        self,
        call: ttypes.Call,
        on_answer: typing.Callable[[ttypes.Answer], None],
    ) -> transport.PendingCall | None:
        # A link may stand before the node behind it is built.
        if self._on_call is None:
            raise errors.FrameError('call before this node serves calls')
        return self._on_call(call, on_answer)

    def call(
        self,
        to: transport.Address,
        call: ttypes.Call,
        on_answer: transport.OnAnswer,
    ) -> transport.PendingCall:
        """Send a call to the node at ``to``; see ``Transport.call``."""
        return self._link(to).call(call, on_answer)

    def control(
        self,
        to: transport.Address,
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

    def busy_links(self) -> list[tuple[transport.Address, int]]:
        """Return links with calls in flight and how much they received."""
        return [
            (address, link.received)
            for address, link in self._links.items()
            if link.calls_in_flight
        ]

    def drop(self, to: transport.Address, why: str) -> None:
        """Give up a link; its calls end as unknown or, if unsent, not run."""
        link = self._links.get(to)
        if link is not None:
            link.fail(why)
            link.close()

    def handle_control(
        self, kind: str, handler: transport.ControlHandler
    ) -> None:
        """Serve control requests of one kind on every accepted link."""
        self._controls[kind] = handler

    def _link(self, to: transport.Address) -> _linkends.ClientLink:
        link = self._links.get(to)
        if link is None:
            forget = functools.partial(self._links.pop, to, None)
            link = _linkends.ClientLink(self._settings, self._metrics, forget)
            self._links[to] = link
            task = asyncio.get_running_loop().create_task(
                self._connect(to, link)
            )
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        return link

    async def _connect(
        self, to: transport.Address, link: _linkends.ClientLink
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_MS / 1000):
                await loop.create_connection(lambda: link, to.host, to.port)
        except (OSError, TimeoutError) as exc:
            self._metrics.incr('link.connect_failures')
            link.fail(f'no link to {to}: {type(exc).__name__}')
            return
        self._expect_handshake(link)

    @property
    def accepted_count(self) -> int:
        """Connections of other nodes now open, proved or not."""
        return len(self._accepted)

    async def close(self) -> None:
        """Close every link; outstanding calls end as unknown."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connecting):
            task.cancel()
        for link in [*self._links.values(), *self._accepted]:
            link.finish()


def _close_unless_ready(link: _linkends.Connection) -> None:
    if not link.is_ready:
        link.close()


def links(
    settings: LinkSettings,
    clock: clocks.Clock,
    wheel: deadlines.DeadlineWheel,
    metrics: metric.Metrics,
) -> Links:
    """Create the links of a node; none is open yet."""
    return Links(settings, clock, wheel, metrics)
