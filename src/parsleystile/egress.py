"""Takes what the target beside this node sends: announcements and calls."""

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
    """What a target says of itself, again and again as a heartbeat.

    Attributes:
        service: Service that it answers for.
        instance: New with each start of the target.
        port: Where it listens on the loopback interface.
        slots: Calls that it can run at once.
    """

    service: typing.Annotated[str, msgspec.Meta(pattern=r'^[\w.-]{1,64}$')]
    instance: typing.Annotated[str, msgspec.Meta(max_length=64)]
    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class Egress:
    """Passes each child call through the child filters and sends it."""

    def __init__(
        self,
        rules: filters.Rules,
        sender: dispatcher.Dispatcher,
        claim: ingress.Claim,
        on_target_event: OnTargetEvent,
        metrics: metric.Metrics,
        observed: observer.Observer,
    ) -> None:
        self._observed = observed
        self._filters = filters.child_filters(rules)
        self._calls = rules.calls
        self._clock = rules.clock
        self._sender = sender
        self._claim = claim
        self._on_target_event = on_target_event
        self._metrics = metrics

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Take one request of the target; it is finished exactly once."""
        if exchange.path == ANNOUNCE_PATH:
            self._announce(exchange)
        elif exchange.path == LEAVE_PATH:
            self._on_target_event(targetwatch.Left())
            exchange.finish(exchanges.Answer(204, [], b''))
        else:
            self._call(exchange)

    def _announce(self, exchange: exchanges.Exchange) -> None:
        try:
            said = msgspec.json.decode(exchange.body, type=Announcement)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            exchange.finish(errors.not_run(errors.Reason.MALFORMED, str(exc)))
            return
        self._on_target_event(
            targetwatch.Announced(
                said.service, said.instance, said.port, said.slots
            )
        )
        exchange.finish(exchanges.Answer(204, [], b''))

    def _call(self, exchange: exchanges.Exchange) -> None:
        exchange.observe = self._done
        refusal = filters.run(self._filters, exchange)
        if refusal is not None:
            name = refusal.reason.name.lower()
            self._metrics.incr(f'egress.refused.{name}')
            exchange.finish(refusal)
            return
        parent = self._calls.find(exchange.token)

        def settle(reply: exchanges.Reply) -> None:
            del reply
            parent.child_ended(exchange, self._clock.now_ms())
            parent.ledger.give_back(exchange.lent, exchange.ledger.unspent)

        def on_level(level: float) -> None:
            parent.subtree_level = min(parent.subtree_level, level)

        exchange.on_settled(settle)
        parent.child_started(exchange, exchange.arrived_ms)

        def send(ready: exchanges.Exchange) -> None:
            self._sender.dispatch(ready, on_level)

        if exchange.idempotency_key and not exchange.route.is_idempotent:
            self._claim(exchange, send)
        else:
            send(exchange)

    def _done(
        self, exchange: exchanges.Exchange, reply: exchanges.Reply
    ) -> None:
        self._observed.child_done(exchange, reply, self._clock.now_ms())


def egress(
    rules: filters.Rules,
    sender: dispatcher.Dispatcher,
    claim: ingress.Claim,
    on_target_event: OnTargetEvent,
    metrics: metric.Metrics,
    observed: observer.Observer,
) -> Egress:
    """Create the egress of a node."""
    return Egress(rules, sender, claim, on_target_event, metrics, observed)
