"""One request on its way through the filters of a node."""

import enum
import typing

from parsleystile import context
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import hopheaders
from parsleystile import ids
from parsleystile import retries

KEY_HEADER = 'X-Api-Key'
CONTEXT_HEADER = 'X-Parsleystile-Context'
TIMEOUT_HEADER = 'X-Request-Timeout-Ms'
OUTCOME_HEADER = 'X-Parsleystile-Outcome'
# Longer than any timeout that a route may have.
_MAX_TIMEOUT_DIGITS = 9
_INTERNAL_PREFIX = 'x-parsleystile-'

# The next hop sets the host for itself.
_HOP_HEADERS = hopheaders.HOP_HEADERS | {'host'}


class ExchangeState(enum.Enum):
    """How far an exchange has come."""

    OPEN = 'open'
    DONE = 'done'
    CANCELLED = 'cancelled'


class Exchange:
    """A request, what the filters have learnt of it, and its answer.

    Attributes:
        method: HTTP method.
        path: Path with query, as the caller sent it.
        headers: Names and values in turn, as the caller sent them.
        body: Whole body.
        arrived_ms: On this node's clock.
        timeout_ms: What the caller asked for; 0 if it did not.
        key: Key that the caller presented; dropped once checked.
        organisation: On whose behalf; set by authentication.
        context: Set once route and deadline are known.
        ledger: Retries that the call and its subtree may still spend.
        lent: Units of the ledger that the parent call lent.
    """

    __slots__ = (
        '_settlers',
        'arrived_ms',
        'body',
        'cancel_send',
        'context',
        'headers',
        'idempotency_key',
        'key',
        'ledger',
        'lent',
        'method',
        'observe',
        'on_done',
        'organisation',
        'path',
        'route',
        'route_id',
        'state',
        'timeout_ms',
        'token',
    )

    def __init__(
        self,
        method: str,
        path: str,
        headers: list[str],
        body: bytes,
        arrived_ms: float,
        on_done: typing.Callable[['Exchange', 'Reply'], None],
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.on_done = on_done
        self.state = ExchangeState.OPEN
        self.key = ''
        self.token = ids.ContextToken('')
        self.timeout_ms = 0
        self.idempotency_key = ''
        self.organisation = ids.OPEN_ORGANISATION
        self.route: fleetconfig.Route | None = None
        self.route_id = ids.RouteId('')
        self.context: context.CallContext | None = None
        # Retries that this call may spend, and how many its parent lent.
        self.ledger = retries.allowance_ledger(0)
        self.lent = 0
        self.cancel_send: typing.Callable[[], None] | None = None
        self._settlers: list[typing.Callable[[Reply], None]] = []
        self.observe: typing.Callable[[Exchange, Reply], None] | None = None

    def on_settled(self, callback: typing.Callable[['Reply'], None]) -> None:
        """Call back once with what became of the call.

        Unlike the caller's reply it also comes after a cancellation.
        """
        self._settlers.append(callback)

    def _settle(self, reply: 'Reply') -> None:
        settlers, self._settlers = self._settlers, []
        for callback in settlers:
            callback(reply)

    def finish(self, reply: 'Reply') -> None:
        """Hand the reply to the caller; later replies are dropped."""
        self._settle(reply)
        if self.state is ExchangeState.OPEN:
            self.state = ExchangeState.DONE
            self.on_done(self, reply)
            if self.observe is not None:
                self.observe(self, reply)

    def cancel(self) -> None:
        """Give up on the answer: the caller is gone."""
        if self.state is not ExchangeState.OPEN:
            return
        self.state = ExchangeState.CANCELLED
        refusal = errors.unknown(errors.Reason.CANCELLED, 'caller left')
        self._settle(refusal)
        if self.observe is not None:
            self.observe(self, refusal)
        if self.cancel_send is not None:
            self.cancel_send()


class Answer:
    """What a target answered; headers are names and values in turn."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: list[str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


Reply = Answer | errors.Refusal


def split_headers(exchange: Exchange) -> errors.Refusal | None:
    """Take what is meant for this node out of the headers.

    Fills ``key``, ``token`` and ``idempotency_key``; drops headers of one
    connection, internal headers that a caller made up, and any header that
    holds the key itself.
    """
    kept: list[str] = []
    headers = exchange.headers
    for i in range(0, len(headers), 2):
        name = headers[i].lower()
        value = headers[i + 1]
        if name in _HOP_HEADERS:
            continue
        if name == 'x-api-key':
            if exchange.key and exchange.key != value:
                return errors.not_run(
                    errors.Reason.MALFORMED, f'two {KEY_HEADER} headers'
                )
            exchange.key = value
        elif name == 'x-parsleystile-context':
            exchange.token = ids.ContextToken(value)
        elif name == 'x-request-timeout-ms':
            if not value.isascii() or not value.isdigit():
                return _bad_timeout(value)
            exchange.timeout_ms = int(value[:_MAX_TIMEOUT_DIGITS])
        elif not name.startswith(_INTERNAL_PREFIX):
            if name == 'idempotency-key':
                exchange.idempotency_key = value
            kept.append(headers[i])
            kept.append(value)
    exchange.headers = kept
    if exchange.key:
        return _drop_copies_of_key(exchange)
    return None


def _drop_copies_of_key(exchange: Exchange) -> errors.Refusal | None:
    key = exchange.key
    if key in exchange.path:
        return errors.not_run(
            errors.Reason.MALFORMED, 'the key stands in the path'
        )
    headers = exchange.headers
    if any(key in value for value in headers[1::2]):
        pairs = zip(headers[::2], headers[1::2], strict=True)
        exchange.headers = [
            text for pair in pairs if key not in pair[1] for text in pair
        ]
    return None


def _bad_timeout(value: str) -> errors.Refusal:
    return errors.not_run(
        errors.Reason.MALFORMED,
        f'{TIMEOUT_HEADER}: {value[:20]!r} is no whole number of ms',
    )


def answer_headers(headers: list[str]) -> list[str]:
    """Return what of a target's headers goes back to the caller."""
    kept: list[str] = []
    for i in range(0, len(headers), 2):
        name = headers[i].lower()
        if name not in _HOP_HEADERS and not name.startswith(_INTERNAL_PREFIX):
            kept.append(headers[i])
            kept.append(headers[i + 1])
    return kept
