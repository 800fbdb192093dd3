"""Registry of the calls in flight at the target beside this node."""

import secrets
import typing

from parsleystile import context
from parsleystile import exchange
from parsleystile import ids
from parsleystile import retries
from parsleystile import transport

_TOKEN_BYTES = 16

TokenSource = typing.Callable[[], ids.ContextToken]


def secret_token() -> ids.ContextToken:
    """Return a cryptographically random token."""
    return ids.ContextToken(secrets.token_hex(_TOKEN_BYTES))


class CallInFlight:
    """A call in flight at the target, and its child calls.

    Attributes:
        context: Context of the call; child calls inherit from it.
        service: Service of the target.
        ledger: Retries that the call and its child calls may still spend.
        children: Child calls that are not answered yet.
        child_refused: Whether a child call was refused.
        subtree_level: Lowest admission level that child calls reported.
    """

    __slots__ = (
        '_child_ms',
        '_waiting_since_ms',
        'child_refused',
        'children',
        'context',
        'ledger',
        'service',
        'started_ms',
        'subtree_level',
        'token',
        'transfer',
    )

    def __init__(
        self,
        call_context: context.CallContext,
        service: ids.ServiceName,
        token: ids.ContextToken,
        started_ms: float,
    ) -> None:
        self.context = call_context
        self.service = service
        self.token = token
        self.started_ms = started_ms
        self.ledger = retries.allowance_ledger(call_context.retry_allowance)
        self.children: set[exchange.Exchange] = set()
        self.child_refused = False
        self._child_ms = 0.0
        self._waiting_since_ms = 0.0
        self.subtree_level = context.RANK_LIMIT
        self.transfer: transport.PendingCall | None = None

    def child_started(self, child: exchange.Exchange, now_ms: float) -> None:
        """Record a child call that the target waits for."""
        if not self.children:
            self._waiting_since_ms = now_ms
        self.children.add(child)

    def child_ended(self, child: exchange.Exchange, now_ms: float) -> None:
        """Record that a child call was answered or cancelled."""
        if child in self.children:
            self.children.remove(child)
            if not self.children:
                self._child_ms += now_ms - self._waiting_since_ms

    def child_ms(self, now_ms: float) -> float:
        """Return the time during which any child call was outstanding."""
        if self.children:
            return self._child_ms + now_ms - self._waiting_since_ms
        return self._child_ms

    def cancel_children(self) -> None:
        """Cancel the child calls: their answers can't be used any more."""
        for child in list(self.children):
            child.cancel()
        self.children.clear()


class CallsInFlight:
    """Calls in flight at the target, by context token."""

    def __init__(self, make_token: TokenSource = secret_token) -> None:
        self._make_token = make_token
        self._calls: dict[ids.ContextToken, CallInFlight] = {}

    def start(
        self,
        call_context: context.CallContext,
        service: ids.ServiceName,
        now_ms: float,
    ) -> CallInFlight:
        """Register a call under a new token."""
        call = CallInFlight(call_context, service, self._make_token(), now_ms)
        self._calls[call.token] = call
        return call

    def find(self, token: ids.ContextToken) -> CallInFlight | None:
        """Return the call of a token; None if it is unknown or has ended."""
        return self._calls.get(token)

    def end(self, call: CallInFlight) -> None:
        """Remove a call; its token becomes invalid."""
        self._calls.pop(call.token, None)
        call.cancel_children()

    def __len__(self) -> int:
        return len(self._calls)


def calls_in_flight(make_token: TokenSource = secret_token) -> CallsInFlight:
    """Create an empty registry."""
    return CallsInFlight(make_token)
