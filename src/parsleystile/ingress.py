"""Takes requests from callers outside the fleet."""

import typing

from parsleystile import dispatcher
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import filters
from parsleystile import metrics as metric
from parsleystile import observer

# Claims a keyed call before it is sent; calls the function to send it.
Claim = typing.Callable[
    [exchanges.Exchange, typing.Callable[[exchanges.Exchange], None]], None
]


class Ingress:
    """Passes each request through the root filters and sends it.

    Args:
        claim: Holds back calls with an idempotency key until claimed.
    """

    def __init__(
        self,
        rules: filters.Rules,
        sender: dispatcher.Dispatcher,
        claim: Claim,
        metrics: metric.Metrics,
        observed: observer.Observer,
    ) -> None:
        self._filters = filters.root_filters(rules)
        self._clock = rules.clock
        self._observed = observed
        self._sender = sender
        self._claim = claim
        self._metrics = metrics
        self.is_draining = False

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Take one request; it is finished exactly once."""
        exchange.observe = self._done
        if self.is_draining:
            exchange.finish(
                errors.not_run(errors.Reason.LEAVING, 'this node is stopping')
            )
            return
        refusal = filters.run(self._filters, exchange)
        if refusal is not None:
            name = refusal.reason.name.lower()
            self._metrics.incr(f'ingress.refused.{name}')
            exchange.finish(refusal)
            return
        self._observed.root_admitted(exchange, exchange.arrived_ms)
        if exchange.idempotency_key and not exchange.route.is_idempotent:
            self._claim(exchange, self._sender.dispatch)
        else:
            self._sender.dispatch(exchange)

    def _done(
        self, exchange: exchanges.Exchange, reply: exchanges.Reply
    ) -> None:
        self._observed.root_done(exchange, reply, self._clock.now_ms())


def ingress(
    rules: filters.Rules,
    sender: dispatcher.Dispatcher,
    claim: Claim,
    metrics: metric.Metrics,
    observed: observer.Observer,
) -> Ingress:
    """Create the ingress of a node."""
    return Ingress(rules, sender, claim, metrics, observed)
