"""Runs an organisation's rate shares: takes, waits a little, asks others."""

import collections
import random
import typing

import msgspec

from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile.relay import memberlist
from parsleystile.relay import policy as policies
from parsleystile.relay import telemetry
from parsleystile.relay import tokenbuckets

ASK_KIND = 'rate.ask'
# A node that does not answer within this time has no tokens for us.
_ASK_TIMEOUT_MS = 100.0
# A call waits so long for tokens of other nodes; a hop there and back.
_PATIENCE_MS = 60.0
# Other nodes asked for one that ran short, one after the other.
_MAX_ASKED = 3

OnTake = typing.Callable[[errors.Refusal | None], None]


class _Ask(msgspec.Struct, frozen=True):
    organisation: ids.OrganisationId
    tokens: float


class _Grant(msgspec.Struct, frozen=True):
    tokens: float


class RateLimiter:
    """Takes a token for each call within its organisation's rate."""

    def __init__(
        self,
        links: links_module.Links,
        member_list: memberlist.MemberList,
        clock: clocks.Clock,
        wheel: deadlines.DeadlineWheel,
        rng: random.Random,
        recorder: telemetry.Recorder,
    ) -> None:
        self._links = links
        self._member_list = member_list
        self._clock = clock
        self._wheel = wheel
        self._rng = rng
        self._recorder = recorder
        self._waiting: dict[ids.OrganisationId, collections.deque[OnTake]] = {}
        self.shares = tokenbuckets.token_buckets(rng)
        links.handle_control(ASK_KIND, self._on_ask)

    def configure(self, policy: policies.Policy) -> None:
        """Go by the rates and the number of nodes now in force."""
        self.shares.configure(
            policy.organisations,
            self._member_list.node_ids,
            self._member_list.me.node_id,
            self._clock.now_ms(),
        )

    def take(self, organisation: ids.OrganisationId, on_take: OnTake) -> None:
        """Take a token; ``on_take`` is called once, often at once."""
        now_ms = self._clock.now_ms()
        if self.shares.take(organisation, now_ms):
            on_take(None)
            self._ask_if_low(organisation, now_ms)
            return
        line = self._waiting.setdefault(organisation, collections.deque())
        line.append(on_take)
        self._ask_if_low(organisation, now_ms)
        if len(line) == 1:
            self._wheel.add(
                now_ms + _PATIENCE_MS, lambda: self._refuse(organisation)
            )

    def refund(self, organisation: ids.OrganisationId) -> None:
        """Return the token of a call that did not run."""
        self.shares.refund(organisation)

    def _ask_if_low(
        self, organisation: ids.OrganisationId, now_ms: float
    ) -> None:
        wanted = self.shares.wanted(organisation, now_ms)
        if wanted > 0.0:
            self._ask(organisation, wanted, _MAX_ASKED)

    def _ask(
        self, organisation: ids.OrganisationId, wanted: float, left: int
    ) -> None:
        holders = set(self.shares.holders(organisation))
        peers = [
            row
            for row in self._member_list.reached()
            if row.node_id in holders
        ]
        if not peers:
            self._received(organisation, 0.0)
            return
        peer = self._rng.choice(peers)
        # Those waiting need a token each beyond the usual demand.
        wanted += len(self._waiting.get(organisation, ()))

        def on_reply(reply: bytes | errors.Refusal) -> None:
            tokens = self._tokens_in(reply)
            if tokens < tokenbuckets.LEAST_ASK and left > 1:
                self._ask(organisation, wanted, left - 1)
            else:
                self._received(organisation, tokens)

        self._recorder.count('rate-asks')
        self._links.control(
            peer.link,
            ASK_KIND,
            msgspec.msgpack.encode(_Ask(organisation, wanted)),
            _ASK_TIMEOUT_MS,
            on_reply,
        )

    def _tokens_in(self, reply: bytes | errors.Refusal) -> float:
        if isinstance(reply, errors.Refusal):
            # Tokens on their way are lost with the answer, never doubled.
            self._recorder.count('rate-asks-lost')
            return 0.0
        try:
            return msgspec.msgpack.decode(reply, type=_Grant).tokens
        except msgspec.MsgspecError as exc:
            self._recorder.rejected(ASK_KIND, str(exc))
            return 0.0

    def _received(
        self, organisation: ids.OrganisationId, tokens: float
    ) -> None:
        now_ms = self._clock.now_ms()
        self.shares.received(organisation, tokens, now_ms)
        line = self._waiting.get(organisation)
        while line and self.shares.retake(organisation, now_ms):
            line.popleft()(None)

    def _refuse(self, organisation: ids.OrganisationId) -> None:
        line = self._waiting.pop(organisation, None)
        if not line:
            return
        now_ms = self._clock.now_ms()
        for on_take in line:
            if self.shares.retake(organisation, now_ms):
                on_take(None)
                continue
            wait_ms = self.shares.retry_after_ms(organisation, now_ms)
            on_take(
                errors.not_run(
                    errors.Reason.RATE_LIMITED,
                    'over the rate of the organisation',
                    wait_ms,
                )
            )

    def _on_ask(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        try:
            ask = msgspec.msgpack.decode(payload, type=_Ask)
        except msgspec.MsgspecError as exc:
            self._recorder.rejected(ASK_KIND, str(exc))
            reply(msgspec.msgpack.encode(_Grant(0.0)))
            return
        tokens = self.shares.give(
            ask.organisation, ask.tokens, self._clock.now_ms()
        )
        reply(msgspec.msgpack.encode(_Grant(tokens)))


def rate_limiter(
    links: links_module.Links,
    member_list: memberlist.MemberList,
    clock: clocks.Clock,
    wheel: deadlines.DeadlineWheel,
    rng: random.Random,
    recorder: telemetry.Recorder,
) -> RateLimiter:
    """Create a keeper that knows no rates yet."""
    return RateLimiter(links, member_list, clock, wheel, rng, recorder)
