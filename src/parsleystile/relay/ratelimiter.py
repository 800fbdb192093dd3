"""Rate limiting of organisations, with token transfers between nodes.

A call that finds its bucket empty is queued briefly while tokens are
requested from other nodes.
"""

import collections
import random
import typing

import msgspec

from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile.relay import holderring
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import policy as policies
from parsleystile.relay import telemetry
from parsleystile.relay import tokenbuckets

TRANSFER_KIND = 'rate.ask'
# A node that does not answer within this time counts as having no tokens.
_TRANSFER_TIMEOUT_MS = 100.0
# Longest time that a call is queued for tokens; enough for a round trip to
# another node.
_MAX_QUEUE_MS = 60.0
# A node that starts knows the other nodes within this time, mostly.
_LIST_RETRY_AFTER_MS = 500
# Nodes that one request is tried at, one after the other.
_MAX_PEERS_ASKED = 5

OnDecision = typing.Callable[[errors.Refusal | None], None]


class _TransferRequest(msgspec.Struct, frozen=True):
    organisation: ids.OrganisationId
    tokens: float


class _TransferReply(msgspec.Struct, frozen=True):
    tokens: float


class RateLimiter:
    """Admits calls within the rate of their organisation.

    Attributes:
        buckets: This node's token buckets.
    """

    def __init__(
        self,
        links: links_module.Links,
        member_list: memberlist.MemberList,
        clock: clocks.Clock,
        wheel: deadlines.DeadlineWheel,
        rng: random.Random,
        recorder: telemetry.Recorder,
        tolerance: tokenbuckets.Tolerance,
    ) -> None:
        self._links = links
        self._member_list = member_list
        self._clock = clock
        self._wheel = wheel
        self._rng = rng
        self._recorder = recorder
        self._queues: dict[
            ids.OrganisationId, collections.deque[OnDecision]
        ] = {}
        self.buckets = tokenbuckets.token_buckets(rng, tolerance)
        links.handle_control(TRANSFER_KIND, self._on_request)

    def configure(self, policy: policies.Policy) -> None:
        """Apply the rates of a policy to the current list of nodes.

        Without a complete list this node has no part of any rate.
        """
        known = self._member_list
        nodes = known.nodes_by_domain if known.is_complete else {}
        self.buckets.configure(
            policy.organisations,
            holderring.holder_ring(nodes),
            self._member_list.own_row.node_id,
            self._clock.now_ms(),
        )

    def acquire(
        self, organisation: ids.OrganisationId, on_decision: OnDecision
    ) -> None:
        """Take a token for a call.

        ``on_decision`` is called once, with None or a refusal; it is called
        before the return if a token is at hand.
        """
        if not self._member_list.is_complete and self.buckets.is_limited(
            organisation
        ):
            on_decision(
                errors.not_run(
                    errors.Reason.STORE_UNAVAILABLE,
                    'the other nodes are not known yet',
                    _LIST_RETRY_AFTER_MS,
                )
            )
            return
        now_ms = self._clock.now_ms()
        if self.buckets.try_take(organisation, now_ms):
            on_decision(None)
            self._request_if_low(organisation, now_ms)
            return
        queue = self._queues.setdefault(organisation, collections.deque())
        queue.append(on_decision)
        self._request_if_low(organisation, now_ms)
        if len(queue) == 1:
            self._wheel.add(
                now_ms + _MAX_QUEUE_MS,
                lambda: self._expire_queue(organisation),
            )

    def refund(self, organisation: ids.OrganisationId) -> None:
        """Return the token of a call that did not run."""
        self.buckets.refund(organisation, self._clock.now_ms())

    def _request_if_low(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> None:
        queue = self._queues.get(organisation, ())
        wanted = self.buckets.start_request(organisation, len(queue), now_ms)
        if wanted > 0.0:
            holders = self._order_holders(organisation)
            self._request_tokens(organisation, wanted, holders)

    def _order_holders(
        self, organisation: ids.OrganisationId
    ) -> list[memberrow.Row]:
        """Return the holders to ask, those of the own domain first."""
        own = self._member_list.own_row
        near: list[memberrow.Row] = []
        far: list[memberrow.Row] = []
        for node_id in self.buckets.holders(organisation):
            row = self._member_list.row(node_id)
            if row is None or node_id == own.node_id:
                continue
            if self._member_list.is_reachable(node_id):
                (near if row.domain == own.domain else far).append(row)
        self._rng.shuffle(near)
        self._rng.shuffle(far)
        return (near + far)[:_MAX_PEERS_ASKED]

    def _request_tokens(
        self,
        organisation: ids.OrganisationId,
        wanted: float,
        holders: list[memberrow.Row],
    ) -> None:
        """Ask holders one after the other until one gives tokens."""
        if not holders:
            self._finish_request(organisation, 0.0)
            return
        holder, *others = holders

        def on_reply(reply: bytes | errors.Refusal) -> None:
            tokens = self._decode_reply(reply)
            if tokens < tokenbuckets.MIN_TRANSFER and others:
                self._request_tokens(organisation, wanted, others)
            else:
                self._finish_request(organisation, tokens)

        self._recorder.count('rate-asks')
        self._links.control(
            holder.peer,
            TRANSFER_KIND,
            msgspec.msgpack.encode(_TransferRequest(organisation, wanted)),
            _TRANSFER_TIMEOUT_MS,
            on_reply,
        )

    def _decode_reply(self, reply: bytes | errors.Refusal) -> float:
        if isinstance(reply, errors.Refusal):
            # Tokens in a lost answer are lost; they are never duplicated.
            self._recorder.count('rate-asks-lost')
            return 0.0
        try:
            return msgspec.msgpack.decode(reply, type=_TransferReply).tokens
        except msgspec.MsgspecError as exc:
            self._recorder.input_rejected(TRANSFER_KIND, str(exc))
            return 0.0

    def _finish_request(
        self, organisation: ids.OrganisationId, tokens: float
    ) -> None:
        now_ms = self._clock.now_ms()
        self.buckets.finish_request(organisation, tokens, now_ms)
        queue = self._queues.get(organisation)
        while queue and self.buckets.retry_take(organisation, now_ms):
            queue.popleft()(None)
        if queue:
            # Calls that arrived while the request was in progress.
            self._request_if_low(organisation, now_ms)

    def _expire_queue(self, organisation: ids.OrganisationId) -> None:
        queue = self._queues.pop(organisation, None)
        if not queue:
            return
        now_ms = self._clock.now_ms()
        for on_decision in queue:
            if self.buckets.retry_take(organisation, now_ms):
                on_decision(None)
                continue
            wait_ms = self.buckets.retry_after_ms(organisation, now_ms)
            on_decision(
                errors.not_run(
                    errors.Reason.RATE_LIMITED,
                    'over the rate of the organisation',
                    wait_ms,
                )
            )

    def _on_request(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            request = msgspec.msgpack.decode(payload, type=_TransferRequest)
        except msgspec.MsgspecError as exc:
            self._recorder.input_rejected(TRANSFER_KIND, str(exc))
            reply(msgspec.msgpack.encode(_TransferReply(0.0)))
            return
        tokens = self.buckets.transfer_out(
            request.organisation, request.tokens, self._clock.now_ms()
        )
        reply(msgspec.msgpack.encode(_TransferReply(tokens)))


def rate_limiter(
    links: links_module.Links,
    member_list: memberlist.MemberList,
    clock: clocks.Clock,
    wheel: deadlines.DeadlineWheel,
    rng: random.Random,
    recorder: telemetry.Recorder,
    tolerance: tokenbuckets.Tolerance,
) -> RateLimiter:
    """Create a rate limiter without any rates."""
    return RateLimiter(
        links, member_list, clock, wheel, rng, recorder, tolerance
    )
