"""Grant requests from one borrower, with at most one in flight per lender."""

import dataclasses
import typing

from parsleystile import ids
from parsleystile import quotawire

REQUEST_TIMEOUT_MS = 200.0
# Exponential backoff for a lender that did not answer.
INITIAL_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 4_000.0
# State of a lender that was sent no request for this long is dropped.
IDLE_LENDER_RETENTION_MS = 60_000.0

MakeRequestItem = typing.Callable[
    [ids.OrganisationId, ids.NodeId], quotawire.GrantRequestItem | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class SendGrantRequest:
    """Action: send ``request`` to the lender ``to``."""

    to: ids.NodeId
    request: quotawire.GrantRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedRequest:
    """A request that was answered.

    Attributes:
        organisations: Organisations that the request covered.
        sent_at_ms: When the request was sent; grants are valid from then.
    """

    organisations: tuple[ids.OrganisationId, ...]
    sent_at_ms: float


@dataclasses.dataclass(slots=True)
class _LenderState:
    """Requests to one lender and its backoff."""

    seq: int = 0
    sent_at_ms: float | None = None
    last_used_at_ms: float = 0.0
    in_flight: tuple[ids.OrganisationId, ...] = ()
    queued: dict[ids.OrganisationId, None] = dataclasses.field(
        default_factory=dict
    )
    backoff_until_ms: float = 0.0
    backoff_ms: float = INITIAL_BACKOFF_MS / 2
    epoch: str = ''


class LenderRequests:
    """Requests in flight and organisations queued, by lender."""

    def __init__(self, borrower: ids.NodeId, process: str) -> None:
        self._borrower = borrower
        self._process = process
        self._lenders: dict[ids.NodeId, _LenderState] = {}
        # One sequence for all lenders: if the state of a lender was dropped
        # in between, it must not take a new request for an old one.
        self._seq = 0

    def is_backing_off(self, lender: ids.NodeId, now_ms: float) -> bool:
        """Return whether a lender is in backoff after a failure."""
        state = self._lenders.get(lender)
        return state is not None and now_ms < state.backoff_until_ms

    def epoch(self, lender: ids.NodeId) -> str:
        """Return the epoch of a lender's last grants."""
        state = self._lenders.get(lender)
        return '' if state is None else state.epoch

    def enqueue(
        self, lender: ids.NodeId, organisation: ids.OrganisationId
    ) -> bool:
        """Queue an organisation; return whether a request is due now."""
        state = self._lenders.setdefault(lender, _LenderState())
        state.queued[organisation] = None
        return state.sent_at_ms is None

    def due(
        self, make_item: MakeRequestItem, now_ms: float
    ) -> list[SendGrantRequest]:
        """Return a request for each idle lender that has a queue."""
        return [
            self._make_request(lender, state, make_item, now_ms)
            for lender, state in list(self._lenders.items())
            if state.queued and state.sent_at_ms is None
        ]

    def complete(
        self, lender: ids.NodeId, seq: int, epoch: str
    ) -> CompletedRequest | None:
        """Handle a reply; return None if its request is not in flight."""
        state = self._outstanding(lender, seq)
        if state is None:
            return None
        completed = CompletedRequest(state.in_flight, state.sent_at_ms)
        state.in_flight, state.sent_at_ms = (), None
        state.epoch = epoch
        state.backoff_ms = INITIAL_BACKOFF_MS / 2
        return completed

    def fail(
        self, lender: ids.NodeId, seq: int, now_ms: float
    ) -> list[ids.OrganisationId]:
        """Handle a failure; return the organisations it leaves unserved."""
        state = self._outstanding(lender, seq)
        if state is None:
            return []
        unanswered = [*state.in_flight, *state.queued]
        state.in_flight, state.sent_at_ms = (), None
        state.queued.clear()
        state.backoff_ms = min(2 * state.backoff_ms, MAX_BACKOFF_MS)
        state.backoff_until_ms = now_ms + state.backoff_ms
        return unanswered

    def expire(self, now_ms: float) -> list[ids.OrganisationId]:
        """Fail requests that timed out and drop idle lenders.

        Returns:
            The organisations whose requests failed.
        """
        unanswered = []
        for lender, state in list(self._lenders.items()):
            if state.sent_at_ms is not None:
                if now_ms >= state.sent_at_ms + REQUEST_TIMEOUT_MS:
                    unanswered += self.fail(lender, state.seq, now_ms)
            elif (
                not state.queued
                and now_ms > state.last_used_at_ms + IDLE_LENDER_RETENTION_MS
            ):
                del self._lenders[lender]
        return unanswered

    def _outstanding(
        self, lender: ids.NodeId, seq: int
    ) -> _LenderState | None:
        state = self._lenders.get(lender)
        if state is None or state.seq != seq or state.sent_at_ms is None:
            return None
        return state

    def _make_request(
        self,
        lender: ids.NodeId,
        state: _LenderState,
        make_item: MakeRequestItem,
        now_ms: float,
    ) -> SendGrantRequest:
        self._seq += 1
        state.seq = self._seq
        state.sent_at_ms = state.last_used_at_ms = now_ms
        state.in_flight = tuple(state.queued)
        state.queued.clear()
        made = [make_item(name, lender) for name in state.in_flight]
        items = [item for item in made if item is not None]
        request = quotawire.GrantRequest(
            self._borrower, self._process, state.seq, state.epoch, items
        )
        return SendGrantRequest(lender, request)


def lender_requests(borrower: ids.NodeId, process: str) -> LenderRequests:
    """Create a request queue without requests.

    Args:
        borrower: This node.
        process: Unique to this process of the node.
    """
    return LenderRequests(borrower, process)
