"""Idempotency keys at the node where a call arrives.

A call with a key runs only with the permission of the key's home. The
answer to a repeated call never says "not run" while an earlier call with
the same key may have run.
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
# Mean delay before a claim is repeated whose home is unreachable or
# changing.
CLAIM_RETRY_MS = 60.0
CLAIM_GIVE_UP_MS = 1_500.0
OUTCOME_TIMEOUT_MS = 500.0
OUTCOME_RETRY_MS = 300.0
OUTCOME_GIVE_UP_MS = 15_000.0
RUNNING_RETRY_AFTER_MS = 1_000

Result = claimwire.ClaimResult


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Permission to run a call; its outcome is reported exactly once."""

    key: claimwire.ClaimKey
    claim_id: ids.ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """Decision: run the call, then report its outcome."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Decision: answer as an earlier call with the key was answered."""

    answer: claimwire.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Decision: do not run the call."""

    refusal: errors.Refusal


Decision = Proceed | Replay | Refused
OnDecision = typing.Callable[[Decision], None]
HomeOf = typing.Callable[[int], ids.NodeId | None]


@dataclasses.dataclass(frozen=True, slots=True)
class SendClaim:
    """Action: send ``request`` to the home ``to``."""

    to: ids.NodeId
    message_id: int
    request: claimwire.ClaimRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendOutcome:
    """Action: send ``outcome`` to the home ``to``."""

    to: ids.NodeId
    message_id: int
    outcome: claimwire.OutcomeReport


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReplied:
    """Event: a home's reply to a claim.

    Attributes:
        reply: None if no reply came.
    """

    message_id: int
    reply: claimwire.ClaimReply | None


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeReplied:
    """Event: whether a home recorded an outcome."""

    message_id: int
    is_recorded: bool


Action = SendClaim | SendOutcome
Event = ClaimReplied | OutcomeReplied


@dataclasses.dataclass(slots=True)
class _PendingMessage:
    """A claim or outcome report that is not complete.

    Attributes:
        message: The request that is sent until it is answered.
        give_up_at_ms: Time after which it is abandoned.
        next_attempt_at_ms: When to send it next; None while a reply is
            awaited.
        on_decision: Gets the decision on a claim.
    """

    message: claimwire.ClaimRequest | claimwire.OutcomeReport
    give_up_at_ms: float
    next_attempt_at_ms: float | None
    on_decision: OnDecision | None = None


class ClaimClient:
    """Claims keys at their homes and reports the outcomes of calls."""

    def __init__(self, home_of: HomeOf, rng: random.Random) -> None:
        self._home_of = home_of
        self._rng = rng
        self._message_ids = itertools.count(1)
        self._pending: dict[int, _PendingMessage] = {}

    @property
    def pending_count(self) -> int:
        """Number of claims and outcome reports that are not complete."""
        return len(self._pending)

    def claim(
        self,
        request: claimwire.ClaimRequest,
        deadline_ms: float,
        on_decision: OnDecision,
        now_ms: float,
    ) -> list[Action]:
        """Claim a key at its home.

        Args:
            request: The claim.
            deadline_ms: Deadline of the call.
            on_decision: Called exactly once.
            now_ms: Current time.

        Returns:
            Messages to send.
        """
        if not _is_valid_key(request.key.key):
            refusal = errors.not_run(
                errors.Reason.MALFORMED,
                f'Idempotency-Key {request.key.key[:20]!r} is not 1 to'
                f' {claimwire.MAX_KEY_CHARS} printable ASCII characters',
            )
            on_decision(Refused(refusal))
            return []
        give_up_at_ms = min(deadline_ms, now_ms + CLAIM_GIVE_UP_MS)
        return self._submit(
            _PendingMessage(request, give_up_at_ms, now_ms, on_decision),
            now_ms,
        )

    def report_outcome(
        self,
        claim: Claim,
        result: claimwire.StoredAnswer | errors.Refusal,
        now_ms: float,
    ) -> list[Action]:
        """Report the outcome of a call that was permitted to run."""
        outcome = _to_outcome(claim, result)
        give_up_at_ms = now_ms + OUTCOME_GIVE_UP_MS
        return self._submit(
            _PendingMessage(outcome, give_up_at_ms, now_ms), now_ms
        )

    def tick(self, now_ms: float) -> list[Action]:
        """Repeat messages that are due and abandon those out of time."""
        actions: list[Action] = []
        for message_id, pending in list(self._pending.items()):
            if now_ms >= pending.give_up_at_ms:
                del self._pending[message_id]
                actions += self._abandon(pending, now_ms)
            elif (
                pending.next_attempt_at_ms is not None
                and now_ms >= pending.next_attempt_at_ms
            ):
                actions += self._send(message_id, pending)
        return actions

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Handle a reply; one to an abandoned message is ignored."""
        pending = self._pending.get(event.message_id)
        if pending is None:
            return []
        match event:
            case OutcomeReplied(message_id, is_recorded):
                if is_recorded:
                    del self._pending[message_id]
                else:
                    pending.next_attempt_at_ms = now_ms + OUTCOME_RETRY_MS
            case ClaimReplied(message_id, reply):
                if reply is None or reply.result in _RETRYABLE_RESULTS:
                    jitter = self._rng.uniform(0.5, 1.5)
                    pending.next_attempt_at_ms = (
                        now_ms + CLAIM_RETRY_MS * jitter
                    )
                else:
                    del self._pending[message_id]
                    pending.on_decision(_to_decision(pending.message, reply))
        return []

    def _submit(self, pending: _PendingMessage, now_ms: float) -> list[Action]:
        message_id = next(self._message_ids)
        self._pending[message_id] = pending
        return self._send(message_id, pending)

    def _send(self, message_id: int, pending: _PendingMessage) -> list[Action]:
        home = self._home_of(pending.message.key.shard)
        if home is None:
            # The next tick tries again.
            return []
        pending.next_attempt_at_ms = None
        match pending.message:
            case claimwire.ClaimRequest() as request:
                return [SendClaim(home, message_id, request)]
            case claimwire.OutcomeReport() as outcome:
                return [SendOutcome(home, message_id, outcome)]

    def _abandon(
        self, pending: _PendingMessage, now_ms: float
    ) -> list[Action]:
        match pending.message:
            case claimwire.ClaimRequest() as request:
                refusal = errors.not_run(
                    errors.Reason.STORE_UNAVAILABLE,
                    'the idempotency key could not be claimed',
                    RUNNING_RETRY_AFTER_MS,
                )
                # The claim may have been recorded, but nothing ran here.
                actions = self.report_outcome(
                    Claim(request.key, request.claim_id), refusal, now_ms
                )
                pending.on_decision(Refused(refusal))
                return actions
            case _:
                return []


_RETRYABLE_RESULTS = frozenset({Result.NOT_HOME, Result.NO_COPY})


def _to_outcome(
    claim: Claim, result: claimwire.StoredAnswer | errors.Refusal
) -> claimwire.OutcomeReport:
    match result:
        case errors.Refusal(outcome=errors.Outcome.NOT_RUN):
            state, answer = claimwire.ClaimState.FREED, None
        case errors.Refusal():
            state, answer = claimwire.ClaimState.UNKNOWN, None
        case claimwire.StoredAnswer():
            state, answer = claimwire.ClaimState.ANSWERED, result
            if len(result.body) > claimwire.MAX_ANSWER_BYTES:
                answer = None
    return claimwire.OutcomeReport(claim.key, claim.claim_id, state, answer)


def _to_decision(
    request: claimwire.ClaimRequest, reply: claimwire.ClaimReply
) -> Decision:
    match reply.result:
        case Result.PROCEED:
            return Proceed(Claim(request.key, request.claim_id))
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


def _is_valid_key(key: str) -> bool:
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
    """Create a client without pending claims.

    Args:
        home_of: Returns the home of a shard; None if none is known.
        rng: Random source of jitter.
    """
    return ClaimClient(home_of, rng)


def claim_request(
    key: claimwire.ClaimKey,
    claim_id: ids.ClaimId,
    fingerprint: str,
    max_duration_ms: float,
) -> claimwire.ClaimRequest:
    """Create a claim request, clamping the duration of its call."""
    max_duration_ms = min(
        max(max_duration_ms, 0.0), claimstore.MAX_CALL_DURATION_MS
    )
    return claimwire.ClaimRequest(key, claim_id, fingerprint, max_duration_ms)


def fingerprint_of(method: str, path: str, body: bytes) -> str:
    """Return a digest that is equal for equal requests."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f'{method} {path}\0'.encode(errors='replace'))
    digest.update(body)
    return digest.hexdigest()
