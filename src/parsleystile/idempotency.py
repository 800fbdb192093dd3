"""Idempotency keys at the node where a call arrives.

A call with a key runs only once the home of the key has said so. What a
repeated call is told never says "not run" while an earlier call of the same
key may have run.
"""

import dataclasses
import hashlib
import itertools
import random
import typing

from parsleystile import claimstore
from parsleystile import claimwire
from parsleystile import errors
from parsleystile import ids

CLAIM_TIMEOUT_MS = 400.0
# A home that is out of reach or changing is asked again after this time.
RETRY_MS = 60.0
GIVE_UP_MS = 1_500.0
SETTLE_TIMEOUT_MS = 500.0
SETTLE_RETRY_MS = 300.0
SETTLE_GIVE_UP_MS = 15_000.0
RUNNING_RETRY_AFTER_MS = 1_000

Result = claimwire.ClaimResult


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A key that this node may run a call for; settled exactly once."""

    key: claimwire.ClaimKey
    claim_id: ids.ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """Decision: run the call, then settle the claim."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Decision: an earlier call of the key got this answer."""

    answer: claimwire.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Decision: this call does not run."""

    refusal: errors.Refusal


Decision = Proceed | Replay | Refused
OnClaim = typing.Callable[[Decision], None]
HomeOf = typing.Callable[[int], ids.NodeId | None]


@dataclasses.dataclass(frozen=True, slots=True)
class SendClaim:
    """Action: send ``ask`` to the home ``to``."""

    to: ids.NodeId
    serial: int
    ask: claimwire.ClaimAsk


@dataclasses.dataclass(frozen=True, slots=True)
class SendSettle:
    """Action: send ``settle`` to the home ``to``."""

    to: ids.NodeId
    serial: int
    settle: claimwire.Settle


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReplied:
    """Event: a home's reply; None if there was none."""

    serial: int
    reply: claimwire.ClaimReply | None


@dataclasses.dataclass(frozen=True, slots=True)
class SettleReplied:
    """Event: whether a home took note of a settlement."""

    serial: int
    is_noted: bool


Action = SendClaim | SendSettle
Event = ClaimReplied | SettleReplied


@dataclasses.dataclass(slots=True)
class _Open:
    """A claim or settlement that is not done.

    Attributes:
        next_try_ms: None while a reply is awaited.
    """

    message: claimwire.ClaimAsk | claimwire.Settle
    until_ms: float
    next_try_ms: float | None
    on_claim: OnClaim | None = None


class ClaimClient:
    """Claims and settles keys at their homes."""

    def __init__(self, home_of: HomeOf, rng: random.Random) -> None:
        self._home_of = home_of
        self._rng = rng
        self._serials = itertools.count(1)
        self._open: dict[int, _Open] = {}

    @property
    def open_count(self) -> int:
        """Claims and settlements that are not done."""
        return len(self._open)

    def claim(
        self,
        ask: claimwire.ClaimAsk,
        deadline_ms: float,
        on_claim: OnClaim,
        now_ms: float,
    ) -> list[Action]:
        """Ask the home of a key; ``on_claim`` is called exactly once."""
        if not _is_well_formed(ask.key.key):
            refusal = errors.not_run(
                errors.Reason.MALFORMED,
                f'Idempotency-Key {ask.key.key[:20]!r} is not 1 to'
                f' {claimwire.MAX_KEY_CHARS} printable ASCII characters',
            )
            on_claim(Refused(refusal))
            return []
        until_ms = min(deadline_ms, now_ms + GIVE_UP_MS)
        return self._start(_Open(ask, until_ms, now_ms, on_claim), now_ms)

    def settle(
        self,
        claim: Claim,
        result: claimwire.StoredAnswer | errors.Refusal,
        now_ms: float,
    ) -> list[Action]:
        """Tell the home what became of a call that was let run."""
        settle = _to_settle(claim, result)
        until_ms = now_ms + SETTLE_GIVE_UP_MS
        return self._start(_Open(settle, until_ms, now_ms), now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Ask again where that is due; give up where time has run out."""
        actions: list[Action] = []
        for serial, item in list(self._open.items()):
            if now_ms >= item.until_ms:
                del self._open[serial]
                actions += self._give_up(item, now_ms)
            elif item.next_try_ms is not None and now_ms >= item.next_try_ms:
                actions += self._send(serial, item)
        return actions

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take in a reply; one to a claim given up is dropped."""
        item = self._open.get(event.serial)
        if item is None:
            return []
        match event:
            case SettleReplied(serial, is_noted):
                if is_noted:
                    del self._open[serial]
                else:
                    item.next_try_ms = now_ms + SETTLE_RETRY_MS
            case ClaimReplied(serial, reply):
                if reply is None or reply.result in _TRY_AGAIN:
                    spread = self._rng.uniform(0.5, 1.5)
                    item.next_try_ms = now_ms + RETRY_MS * spread
                else:
                    del self._open[serial]
                    item.on_claim(_to_decision(item.message, reply))
        return []

    def _start(self, item: _Open, now_ms: float) -> list[Action]:
        serial = next(self._serials)
        self._open[serial] = item
        return self._send(serial, item)

    def _send(self, serial: int, item: _Open) -> list[Action]:
        home = self._home_of(item.message.key.shard)
        if home is None:
            # Until a home is known, tick looks again.
            return []
        item.next_try_ms = None
        match item.message:
            case claimwire.ClaimAsk() as ask:
                return [SendClaim(home, serial, ask)]
            case claimwire.Settle() as settle:
                return [SendSettle(home, serial, settle)]

    def _give_up(self, item: _Open, now_ms: float) -> list[Action]:
        match item.message:
            case claimwire.ClaimAsk() as ask:
                refusal = errors.not_run(
                    errors.Reason.STORE_UNAVAILABLE,
                    'the idempotency key could not be claimed',
                    RUNNING_RETRY_AFTER_MS,
                )
                # The claim may have been recorded, but nothing ran here.
                actions = self.settle(
                    Claim(ask.key, ask.claim_id), refusal, now_ms
                )
                item.on_claim(Refused(refusal))
                return actions
            case _:
                return []


_TRY_AGAIN = frozenset({Result.NOT_HOME, Result.NO_COPY})


def _to_settle(
    claim: Claim, result: claimwire.StoredAnswer | errors.Refusal
) -> claimwire.Settle:
    match result:
        case errors.Refusal(outcome=errors.Outcome.NOT_RUN):
            state, answer = claimwire.ClaimState.FREED, None
        case errors.Refusal():
            state, answer = claimwire.ClaimState.UNKNOWN, None
        case claimwire.StoredAnswer():
            state, answer = claimwire.ClaimState.ANSWERED, result
            if len(result.body) > claimwire.MAX_ANSWER_BYTES:
                answer = None
    return claimwire.Settle(claim.key, claim.claim_id, state, answer)


def _to_decision(
    ask: claimwire.ClaimAsk, reply: claimwire.ClaimReply
) -> Decision:
    match reply.result:
        case Result.PROCEED:
            return Proceed(Claim(ask.key, ask.claim_id))
        case Result.ANSWERED if reply.answer is not None:
            return Replay(reply.answer)
        case Result.ANSWERED:
            return _duplicate('answered, but the answer is not kept')
        case Result.RUNNING:
            return _duplicate(
                'an earlier call with this key has not ended',
                RUNNING_RETRY_AFTER_MS,
            )
        case Result.UNKNOWN:
            return _duplicate('an earlier call with this key may have run')
        case Result.MISMATCH:
            return _duplicate('the key was used with another request')
        case Result.FULL:
            return Refused(
                errors.not_run(
                    errors.Reason.QUEUE_FULL,
                    'too many idempotency keys are remembered',
                    RUNNING_RETRY_AFTER_MS,
                )
            )
        case _:
            return Refused(
                errors.unknown(
                    errors.Reason.STORE_UNAVAILABLE,
                    'calls made with this key before may be forgotten',
                )
            )


def _is_well_formed(key: str) -> bool:
    is_short = 0 < len(key) <= claimwire.MAX_KEY_CHARS
    return is_short and key.isascii() and key.isprintable()


def _duplicate(detail: str, retry_after_ms: int = 0) -> Refused:
    return Refused(
        errors.Refusal(
            errors.Outcome.UNKNOWN,
            errors.Reason.DUPLICATE,
            detail,
            retry_after_ms,
            final=True,
        )
    )


def claim_client(home_of: HomeOf, rng: random.Random) -> ClaimClient:
    """Create a client with no claim open.

    Args:
        home_of: Home of a shard as far as known; None if it has none.
        rng: Source of jitter.
    """
    return ClaimClient(home_of, rng)


def claim_ask(
    key: claimwire.ClaimKey,
    claim_id: ids.ClaimId,
    fingerprint: str,
    lasts_ms: float,
) -> claimwire.ClaimAsk:
    """Create an ask whose call is bounded in time."""
    lasts_ms = min(max(lasts_ms, 0.0), claimstore.MAX_LASTS_MS)
    return claimwire.ClaimAsk(key, claim_id, fingerprint, lasts_ms)


def fingerprint_of(method: str, path: str, body: bytes) -> str:
    """Return a digest of what makes two requests the same."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f'{method} {path}\0'.encode(errors='replace'))
    digest.update(body)
    return digest.hexdigest()
