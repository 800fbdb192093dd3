"""State of a request while a node handles it, and its header rules."""

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
# More digits than any route timeout has; longer values are truncated.
_MAX_TIMEOUT_DIGITS = 9
_INTERNAL_PREFIX = 'x-parsleystile-'

# The host header is set anew for the next hop.
_HOP_HEADERS = hopheaders.HOP_HEADERS | {'host'}


class ExchangeState(enum.Enum):
    """State of an exchange."""

    OPEN = 'open'
    DONE = 'done'
    CANCELLED = 'cancelled'


class Exchange:
    """A request with what the filters found out about it.

    Attributes:
        method: HTTP method.
        path: Path with query, as the caller sent it.
        headers: Alternating names and values; ``split_headers`` removes
            those that are not forwarded.
        body: Complete body.
        arrived_ms: Arrival time on this node's clock.
        timeout_ms: Timeout that the caller requested; 0 for none.
        key: Key that the caller presented; cleared once checked.
        organisation: Organisation of the caller; set by authentication.
        context: Set once route and deadline are known.
        ledger: Retries that the call and its subtree may still spend.
        lent: Units of the ledger that the parent call lent.
    """

    __slots__ = (
        '_settle_callbacks',
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
        self.ledger = retries.allowance_ledger(0)
        self.lent = 0
        self.cancel_send: typing.Callable[[], None] | None = None
        self._settle_callbacks: list[typing.Callable[[Reply], None]] = []
        self.observe: typing.Callable[[Exchange, Reply], None] | None = None

    def on_settled(self, callback: typing.Callable[['Reply'], None]) -> None:
        """Call ``callback`` once with the reply of the call.

        Unlike ``on_done`` it is also called after a cancellation.
        """
        self._settle_callbacks.append(callback)

    def _run_settle_callbacks(self, reply: 'Reply') -> None:
        callbacks, self._settle_callbacks = self._settle_callbacks, []
        for callback in callbacks:
            callback(reply)

    def finish(self, reply: 'Reply') -> None:
        """Return the reply to the caller; later replies are dropped."""
        self._run_settle_callbacks(reply)
        if self.state is ExchangeState.OPEN:
            self.state = ExchangeState.DONE
            self.on_done(self, reply)
            if self.observe is not None:
                self.observe(self, reply)

    def cancel(self) -> None:
        """Cancel the call: the caller has disconnected."""
        if self.state is not ExchangeState.OPEN:
            return
        self.state = ExchangeState.CANCELLED
        refusal = errors.unknown(errors.Reason.CANCELLED, 'caller left')
        self._run_settle_callbacks(refusal)
        if self.observe is not None:
            self.observe(self, refusal)
        if self.cancel_send is not None:
            self.cancel_send()


class Answer:
    """Answer of a target; ``headers`` alternates names and values."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: list[str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


Reply = Answer | errors.Refusal


def split_headers(exchange: Exchange) -> errors.Refusal | None:
    """Read the headers for this node and keep those to forward.

    Sets ``key``, ``token``, ``timeout_ms`` and ``idempotency_key``. Removes
    hop-by-hop headers, internal headers, which a caller may have forged, and
    every header that contains the key.

    Returns:
        A refusal if the headers are invalid, else None.
    """
    forwarded: list[str] = []
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
                return _invalid_timeout(value)
            exchange.timeout_ms = int(value[:_MAX_TIMEOUT_DIGITS])
        elif not name.startswith(_INTERNAL_PREFIX):
            if name == 'idempotency-key':
                exchange.idempotency_key = value
            forwarded.append(headers[i])
            forwarded.append(value)
    exchange.headers = forwarded
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
            item for pair in pairs if key not in pair[1] for item in pair
        ]
    return None


def _invalid_timeout(value: str) -> errors.Refusal:
    return errors.not_run(
        errors.Reason.MALFORMED,
        f'{TIMEOUT_HEADER}: {value[:20]!r} is no whole number of ms',
    )


def answer_headers(headers: list[str]) -> list[str]:
    """Return the headers of a target's answer to forward to the caller."""
    forwarded: list[str] = []
    for i in range(0, len(headers), 2):
        name = headers[i].lower()
        if name not in _HOP_HEADERS and not name.startswith(_INTERNAL_PREFIX):
            forwarded.append(headers[i])
            forwarded.append(headers[i + 1])
    return forwarded
