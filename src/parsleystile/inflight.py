"""Calls that the target beside this node is running now."""

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
    """Return a token that nobody can guess."""
    return ids.ContextToken(secrets.token_hex(_TOKEN_BYTES))


class CallInFlight:
    """One call at the target and the child calls it makes meanwhile.

    Attributes:
        context: Of the call; child calls inherit from it.
        service: Of the target that runs the call.
        ledger: Retries that the call and its children may still spend.
        children: Child calls without an answer yet.
        child_refused: Whether a child call was refused.
        subtree_level: Lowest admission level told by an answer from below.
    """

    __slots__ = (
        '_child_ms',
        '_waits_since_ms',
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
        self._waits_since_ms = 0.0
        self.subtree_level = context.RANK_LIMIT
        self.transfer: transport.PendingCall | None = None

    def child_started(self, child: exchange.Exchange, now_ms: float) -> None:
        """Note a child call that the target waits for."""
        if not self.children:
            self._waits_since_ms = now_ms
        self.children.add(child)

    def child_ended(self, child: exchange.Exchange, now_ms: float) -> None:
        """Note that a child call has its answer or lost its caller."""
        if child in self.children:
            self.children.remove(child)
            if not self.children:
                self._child_ms += now_ms - self._waits_since_ms

    def child_ms(self, now_ms: float) -> float:
        """Return how long at least one child call was outstanding."""
        if self.children:
            return self._child_ms + now_ms - self._waits_since_ms
        return self._child_ms

    def cancel_children(self) -> None:
        """Give up the child calls: nobody can use their answers."""
        for child in list(self.children):
            child.cancel()
        self.children.clear()


class CallsInFlight:
    """The calls at the target, by context token."""

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
        """Return the call of a token, None once it has ended."""
        return self._calls.get(token)

    def end(self, call: CallInFlight) -> None:
        """Forget a call; its token is worth nothing from now on."""
        self._calls.pop(call.token, None)
        call.cancel_children()

    def __len__(self) -> int:
        return len(self._calls)


def calls_in_flight(make_token: TokenSource = secret_token) -> CallsInFlight:
    """Create an empty registry."""
    return CallsInFlight(make_token)
