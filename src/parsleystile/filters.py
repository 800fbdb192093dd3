"""Filters that a request passes in order before it is sent.

A filter sets attributes of the exchange and returns a refusal, or None to
continue. Refusals are plain values: a result object of ``expression`` per
filter would cost more than the whole pipeline.
"""

import dataclasses
import random
import typing

from parsleystile import clock as clocks
from parsleystile import context
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import inflight
from parsleystile import keys
from parsleystile import retries
from parsleystile import shedding

Filter = typing.Callable[[exchanges.Exchange], errors.Refusal | None]

_ROOT_ID_BITS = 64
_NO_CONFIG_RETRY_AFTER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of the filters of a node.

    Attributes:
        config: Returns the configuration document in force.
        key_ring: Authenticates keys.
        shedder: Refuses calls that would be shed downstream.
        calls: Calls in flight at the target, parents of child calls.
        clock: Clock of this node.
        rng: Draws root ids and ranks.
    """

    config: typing.Callable[[], fleetconfig.FleetConfig]
    key_ring: keys.KeyRing
    shedder: shedding.Shedder
    calls: inflight.CallsInFlight
    clock: clocks.Clock
    rng: random.Random


def run(
    filters: typing.Sequence[Filter], exchange: exchanges.Exchange
) -> errors.Refusal | None:
    """Apply filters in order; return the first refusal, or None."""
    for apply_filter in filters:
        refusal = apply_filter(exchange)
        if refusal is not None:
            return refusal
    return None


def root_filters(deps: Dependencies) -> list[Filter]:
    """Create the filters of a request from outside the fleet."""

    def classify(exchange: exchanges.Exchange) -> errors.Refusal | None:
        return _find_route(deps, exchange)

    def authenticate(exchange: exchanges.Exchange) -> errors.Refusal | None:
        key, exchange.key = exchange.key, ''
        if key:
            owner = deps.key_ring.authenticate(key)
            if owner is not None:
                exchange.organisation = owner
                return None
        if exchange.route.is_open:
            return None
        if key:
            return errors.not_run(
                errors.Reason.KEY_REJECTED, 'the key is not in force'
            )
        return errors.not_run(
            errors.Reason.KEY_MISSING, f'no {exchanges.KEY_HEADER} header'
        )

    def create_root_context(
        exchange: exchanges.Exchange,
    ) -> errors.Refusal | None:
        route = exchange.route
        requested_ms = exchange.timeout_ms
        timeout_ms = min(route.timeout_ms, requested_ms or route.timeout_ms)
        rng = deps.rng
        root_id = f'{rng.getrandbits(_ROOT_ID_BITS):016x}'
        allowance = deps.config().preset.retry_allowance
        exchange.ledger = retries.allowance_ledger(allowance)
        exchange.context = context.CallContext(
            root_id=ids.RootId(root_id),
            organisation=exchange.organisation,
            importance=fleetconfig.IMPORTANCE_CLASSES[route.importance],
            draw=rng.random(),
            deadline_ms=exchange.arrived_ms + timeout_ms,
            depth=1,
            retry_allowance=allowance,
            idempotent=route.is_idempotent,
            caller_service=ids.ServiceName(''),
        )
        return None

    def shed(exchange: exchanges.Exchange) -> errors.Refusal | None:
        rank = exchange.context.rank
        cap = deps.config().preset.admission_level
        if rank >= cap:
            return errors.not_run(
                errors.Reason.SHED, 'the preset in force sheds this class'
            )
        return deps.shedder.decide(
            exchange.route_id,
            rank,
            exchange.arrived_ms,
            exchange.context.organisation,
        )

    return [
        exchanges.split_headers,
        classify,
        authenticate,
        create_root_context,
        shed,
    ]


def child_filters(deps: Dependencies) -> list[Filter]:
    """Create the filters of a call made by the target beside this node."""

    def find_parent(exchange: exchanges.Exchange) -> errors.Refusal | None:
        exchange.key = ''
        parent = deps.calls.find(exchange.token)
        if parent is None:
            return errors.not_run(
                errors.Reason.CONTEXT_UNKNOWN,
                f'{exchanges.CONTEXT_HEADER} names no call in flight here',
            )
        exchange.organisation = parent.context.organisation
        return None

    def classify(exchange: exchanges.Exchange) -> errors.Refusal | None:
        refusal = _find_route(deps, exchange)
        if refusal is not None or exchange.route.is_open:
            return refusal
        if exchange.organisation == ids.OPEN_ORGANISATION:
            return errors.not_run(
                errors.Reason.KEY_MISSING,
                'no key came with the root request',
            )
        return None

    def create_child_context(
        exchange: exchanges.Exchange,
    ) -> errors.Refusal | None:
        parent = deps.calls.find(exchange.token)
        parent_context = parent.context
        if parent_context.depth >= context.MAX_DEPTH:
            return errors.not_run(
                errors.Reason.TOO_DEEP, f'depth {parent_context.depth + 1}'
            )
        route = exchange.route
        requested_ms = exchange.timeout_ms
        timeout_ms = min(route.timeout_ms, requested_ms or route.timeout_ms)
        exchange.lent = parent.ledger.lend()
        exchange.ledger = retries.allowance_ledger(exchange.lent)
        exchange.context = context.CallContext(
            root_id=parent_context.root_id,
            organisation=parent_context.organisation,
            importance=parent_context.importance,
            draw=parent_context.draw,
            deadline_ms=min(
                parent_context.deadline_ms, exchange.arrived_ms + timeout_ms
            ),
            depth=parent_context.depth + 1,
            retry_allowance=exchange.lent,
            idempotent=route.is_idempotent,
            caller_service=parent.service,
        )
        return None

    return [
        exchanges.split_headers,
        find_parent,
        classify,
        create_child_context,
    ]


def _find_route(
    deps: Dependencies, exchange: exchanges.Exchange
) -> errors.Refusal | None:
    config = deps.config()
    match = config.match_route(exchange.method, exchange.path)
    if match is None and config.version == 0:
        # A node without a configuration can't tell that no route exists.
        return errors.not_run(
            errors.Reason.STORE_UNAVAILABLE,
            'this node has no configuration yet',
            _NO_CONFIG_RETRY_AFTER_MS,
        )
    if match is None:
        return errors.not_run(
            errors.Reason.NO_ROUTE,
            f'no route for {exchange.method} {exchange.path[:80]!r}',
        )
    exchange.route_id, exchange.route = match
    return None
