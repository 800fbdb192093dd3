"""Ingress: handles requests from callers outside the fleet."""

import functools
import typing

from parsleystile import dispatcher
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import filters
from parsleystile import ids
from parsleystile import metrics as metric
from parsleystile import observer

OnDecision = typing.Callable[[errors.Refusal | None], None]
Send = typing.Callable[[exchanges.Exchange], None]
# Takes one request from the quota of an organisation; calls back with a
# refusal or None, synchronously where possible.
TakeQuota = typing.Callable[[ids.OrganisationId, OnDecision], None]
# Claims the idempotency key of a call, then calls the function to send it.
Claim = typing.Callable[[exchanges.Exchange, Send], None]


class Ingress:
    """Runs the root filters on each request and dispatches it.

    Args:
        filter_deps: Dependencies of the filters.
        sender: Sends admitted requests.
        take_quota: Limits the rate of each organisation.
        claim: Claims the idempotency key of a call before it is sent.
        metrics: Counters of refusals.
        observed: Records the events of requests.
    """

    def __init__(
        self,
        filter_deps: filters.Dependencies,
        sender: dispatcher.Dispatcher,
        take_quota: TakeQuota,
        claim: Claim,
        metrics: metric.Metrics,
        observed: observer.Observer,
    ) -> None:
        self._filters = filters.root_filters(filter_deps)
        self._clock = filter_deps.clock
        self._observed = observed
        self._sender = sender
        self._take_quota = take_quota
        self._claim = claim
        self._metrics = metrics
        self.is_draining = False

    def handle(self, exchange: exchanges.Exchange) -> None:
        """Handle a request; its exchange is finished exactly once."""
        exchange.observe = self._on_done
        if self.is_draining:
            exchange.finish(
                errors.not_run(
                    errors.Reason.LEAVING,
                    'this node is stopping',
                    errors.UNAVAILABLE_RETRY_AFTER_MS,
                )
            )
            return
        refusal = filters.run(self._filters, exchange)
        if refusal is not None:
            self._refuse(exchange, refusal)
        elif exchange.organisation == ids.OPEN_ORGANISATION:
            self._admit(exchange)
        else:
            self._take_quota(
                exchange.organisation,
                functools.partial(self._on_quota_decision, exchange),
            )

    def _on_quota_decision(
        self, exchange: exchanges.Exchange, refusal: errors.Refusal | None
    ) -> None:
        if refusal is not None:
            self._refuse(exchange, refusal)
            return
        self._observed.quota_taken(exchange.organisation)
        # The caller may have disconnected while it waited for quota.
        if exchange.state is exchanges.ExchangeState.OPEN:
            self._admit(exchange)

    def _refuse(
        self, exchange: exchanges.Exchange, refusal: errors.Refusal
    ) -> None:
        self._metrics.incr(f'ingress.refused.{refusal.reason.name.lower()}')
        exchange.finish(refusal)

    def _admit(self, exchange: exchanges.Exchange) -> None:
        self._observed.root_admitted(exchange, exchange.arrived_ms)
        if exchange.idempotency_key and not exchange.route.is_idempotent:
            self._claim(exchange, self._sender.dispatch)
        else:
            self._sender.dispatch(exchange)

    def _on_done(
        self, exchange: exchanges.Exchange, reply: exchanges.Reply
    ) -> None:
        self._observed.root_done(exchange, reply, self._clock.now_ms())


def ingress(
    filter_deps: filters.Dependencies,
    sender: dispatcher.Dispatcher,
    take_quota: TakeQuota,
    claim: Claim,
    metrics: metric.Metrics,
    observed: observer.Observer,
) -> Ingress:
    """Create the ingress of a node."""
    return Ingress(filter_deps, sender, take_quota, claim, metrics, observed)
