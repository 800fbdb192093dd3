"""Egress: handles announcements and calls of the target beside this node."""

import typing

import msgspec

from parsleystile import dispatcher
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import filters
from parsleystile import ingress
from parsleystile import metrics as metric
from parsleystile import observer
from parsleystile import targetwatch

ANNOUNCE_PATH = '/.parsleystile/announce'
LEAVE_PATH = '/.parsleystile/leave'

OnTargetEvent = typing.Callable[[targetwatch.Event], None]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of a target, repeated as its heartbeat.

    Attributes:
        service: Service of the target.
        instance: Differs with each start of the target.
        port: Port of the target on the loopback interface.
        slots: Number of calls that it can run concurrently.
    """

    service: typing.Annotated[str, msgspec.Meta(pattern=r'^[\w.-]{1,64}$')]
    instance: typing.Annotated[str, msgspec.Meta(max_length=64)]
    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class Egress:
    """Runs the child filters on each child call and dispatches it."""

    def __init__(
        self,
        filter_deps: filters.Dependencies,
        sender: dispatcher.Dispatcher,
        claim: ingress.Claim,
        on_target_event: OnTargetEvent,
        metrics: metric.Metrics,
        observed: observer.Observer,
    ) -> None:
        self._observed = observed
        self._filters = filters.child_filters(filter_deps)
        self._calls = filter_deps.calls
        self._clock = filter_deps.clock
        self._sender = sender
        self._claim = claim
        self._on_target_event = on_target_event
        self._metrics = metrics

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Handle a request of the target; it is finished exactly once."""
        if exchange.path == ANNOUNCE_PATH:
            self._handle_announcement(exchange)
        elif exchange.path == LEAVE_PATH:
            self._on_target_event(targetwatch.Left())
            exchange.finish(exchanges.Answer(204, [], b''))
        else:
            self._handle_call(exchange)

    def _handle_announcement(self, exchange: exchanges.Exchange) -> None:
        try:
            announcement = msgspec.json.decode(
                exchange.body, type=Announcement
            )
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            exchange.finish(errors.not_run(errors.Reason.MALFORMED, str(exc)))
            return
        self._on_target_event(
            targetwatch.Announced(
                announcement.service,
                announcement.instance,
                announcement.port,
                announcement.slots,
            )
        )
        exchange.finish(exchanges.Answer(204, [], b''))

    def _handle_call(self, exchange: exchanges.Exchange) -> None:
        exchange.observe = self._on_done
        refusal = filters.run(self._filters, exchange)
        if refusal is not None:
            name = refusal.reason.name.lower()
            self._metrics.incr(f'egress.refused.{name}')
            exchange.finish(refusal)
            return
        parent = self._calls.find(exchange.token)

        def on_child_settled(reply: exchanges.Reply) -> None:
            if isinstance(reply, errors.Refusal):
                parent.child_refused = True
            parent.child_ended(exchange, self._clock.now_ms())
            parent.ledger.give_back(exchange.lent, exchange.ledger.unspent)

        def on_level(level: float) -> None:
            parent.subtree_level = min(parent.subtree_level, level)

        exchange.on_settled(on_child_settled)
        parent.child_started(exchange, exchange.arrived_ms)

        def send(claimed: exchanges.Exchange) -> None:
            self._sender.dispatch(claimed, on_level)

        if exchange.idempotency_key and not exchange.route.is_idempotent:
            self._claim(exchange, send)
        else:
            send(exchange)

    def _on_done(
        self, exchange: exchanges.Exchange, reply: exchanges.Reply
    ) -> None:
        self._observed.child_done(exchange, reply, self._clock.now_ms())


def egress(
    filter_deps: filters.Dependencies,
    sender: dispatcher.Dispatcher,
    claim: ingress.Claim,
    on_target_event: OnTargetEvent,
    metrics: metric.Metrics,
    observed: observer.Observer,
) -> Egress:
    """Create the egress of a node."""
    return Egress(
        filter_deps, sender, claim, on_target_event, metrics, observed
    )
