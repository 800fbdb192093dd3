import random

import pytest

from parsleystile import clock
from parsleystile import context
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import filters
from parsleystile import fleetconfig
from parsleystile import inflight
from parsleystile import keys
from parsleystile import shedding

_SECRET = b'fleet'
_KEY = 'key-of-lava'


def _route(prefix, **kwargs):
    return fleetconfig.Route(path_prefix=prefix, service='s', **kwargs)


def _config():
    salt = keys.salt_from(_SECRET)
    digest = keys.stored_digest(salt, keys.fingerprint(_KEY))
    return fleetconfig.FleetConfig(
        version=1,
        organisations={
            'lava': fleetconfig.Organisation(rate_per_s=1, burst=1)
        },
        routes={
            'stock': _route('/stock', timeout_ms=800),
            'open': _route('/open', is_open=True),
        },
        keys={'k1': fleetconfig.Key(organisation='lava', digest=digest)},
        next_key=2,
    )


class _Filters:
    def __init__(self):
        config = _config()
        ring = keys.key_ring(_SECRET)
        ring.load(config)
        self.ring = ring
        rng = random.Random(1)
        self.calls = inflight.calls_in_flight()
        self.clock = clock.manual_clock(1000.0)
        self.deps = filters.Dependencies(
            config=lambda: config,
            key_ring=ring,
            shedder=shedding.shedder(rng),
            calls=self.calls,
            clock=self.clock,
            rng=rng,
        )

    def root(self, path, *headers):
        return self._run(filters.root_filters(self.deps), path, headers)

    def child(self, path, *headers):
        return self._run(filters.child_filters(self.deps), path, headers)

    def _run(self, steps, path, headers):
        exchange = exchanges.Exchange(
            'GET', path, list(headers), b'', self.clock.now_ms(), None
        )
        return exchange, filters.run(steps, exchange)

    def parent(self, **changes):
        fields = {
            'root_id': 'r',
            'organisation': 'lava',
            'importance': context.Importance.CRITICAL,
            'draw': 0.25,
            'deadline_ms': 1500.0,
            'depth': 1,
            'retry_allowance': 3,
            'idempotent': True,
            'caller_service': '',
        }
        call_context = context.CallContext(**{**fields, **changes})
        return self.calls.start(call_context, 'front', 1000.0)


def test_headers_with_the_key_and_internal_ones_are_not_forwarded():
    exchange, refusal = _Filters().root(
        '/stock/1',
        'X-API-KEY',
        _KEY,
        'Cookie',
        f'k={_KEY}',
        'X-Parsleystile-Context',
        'forged',
        'X-Parsleystile-Root',
        'forged',
        'Connection',
        'close',
        'Accept',
        '*/*',
    )
    assert refusal is None
    assert exchange.headers == ['Accept', '*/*']
    assert exchange.key == ''
    assert exchange.organisation == 'lava'


@pytest.mark.parametrize(
    ('path', 'headers', 'reason'),
    [
        ('/stock', (), errors.Reason.KEY_MISSING),
        ('/stock', ('X-Api-Key', 'x'), errors.Reason.KEY_REJECTED),
        (f'/stock?k={_KEY}', ('X-Api-Key', _KEY), errors.Reason.MALFORMED),
        (
            '/stock',
            ('X-Api-Key', _KEY, 'X-Api-Key', 'other'),
            errors.Reason.MALFORMED,
        ),
        (
            '/stock',
            ('X-Api-Key', _KEY, 'X-Request-Timeout-Ms', '-1'),
            errors.Reason.MALFORMED,
        ),
        ('/nowhere', ('X-Api-Key', _KEY), errors.Reason.NO_ROUTE),
        ('/open/../stock', (), errors.Reason.NO_ROUTE),
    ],
)
def test_an_invalid_request_is_refused_as_not_run(path, headers, reason):
    _, refusal = _Filters().root(path, *headers)
    assert refusal.reason is reason
    assert refusal.outcome is errors.Outcome.NOT_RUN


def test_a_withdrawn_key_is_refused_on_the_next_request():
    node_filters = _Filters()
    assert node_filters.root('/stock', 'X-Api-Key', _KEY)[1] is None
    node_filters.ring.withdraw('k1')
    _, refusal = node_filters.root('/stock', 'X-Api-Key', _KEY)
    assert refusal.reason is errors.Reason.KEY_REJECTED


def test_open_routes_accept_a_key_but_need_none():
    node_filters = _Filters()
    assert node_filters.root('/open')[0].organisation == ''
    assert node_filters.root('/open', 'X-Api-Key', 'bad')[0].organisation == ''
    assert (
        node_filters.root('/open', 'X-Api-Key', _KEY)[0].organisation == 'lava'
    )


def test_the_deadline_is_the_earlier_of_route_and_caller():
    node_filters = _Filters()
    for requested, deadline_ms in (('90000', 1800.0), ('300', 1300.0)):
        exchange, _ = node_filters.root(
            '/stock', 'X-Api-Key', _KEY, 'X-Request-Timeout-Ms', requested
        )
        assert exchange.context.deadline_ms == deadline_ms


def test_a_child_call_inherits_its_context_and_a_forged_token_is_refused():
    node_filters = _Filters()
    parent = node_filters.parent()
    exchange, refusal = node_filters.child(
        '/stock', 'X-Parsleystile-Context', parent.token
    )
    assert refusal is None
    child_context = exchange.context
    assert (
        child_context.organisation,
        child_context.draw,
        child_context.depth,
    ) == ('lava', 0.25, 2)
    assert child_context.importance is context.Importance.CRITICAL
    assert child_context.deadline_ms == 1500.0
    assert child_context.caller_service == 'front'
    for token in ('', 'guess', parent.token[:-1]):
        _, refusal = node_filters.child(
            '/stock', 'X-Parsleystile-Context', token
        )
        assert refusal.reason is errors.Reason.CONTEXT_UNKNOWN
    node_filters.calls.end(parent)
    _, refusal = node_filters.child(
        '/stock', 'X-Parsleystile-Context', parent.token
    )
    assert refusal.reason is errors.Reason.CONTEXT_UNKNOWN


def test_a_child_call_of_an_open_request_reaches_open_routes_only():
    node_filters = _Filters()
    parent = node_filters.parent(organisation='')
    header = ('X-Parsleystile-Context', parent.token)
    assert node_filters.child('/open', *header)[1] is None
    _, refusal = node_filters.child('/stock', *header, 'X-Api-Key', _KEY)
    assert refusal.reason is errors.Reason.KEY_MISSING


def test_child_calls_borrow_retries_and_depth_is_bounded():
    node_filters = _Filters()
    parent = node_filters.parent(depth=context.MAX_DEPTH - 1)
    header = ('X-Parsleystile-Context', parent.token)
    lent = [node_filters.child('/stock', *header)[0].lent for _ in range(4)]
    assert sum(lent) + parent.ledger.unspent == 3
    deepest = node_filters.parent(depth=context.MAX_DEPTH)
    _, refusal = node_filters.child(
        '/stock', 'X-Parsleystile-Context', deepest.token
    )
    assert refusal.reason is errors.Reason.TOO_DEEP
