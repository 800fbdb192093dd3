"""Messages about claims on idempotency keys."""

import enum
import zlib

import msgspec

from parsleystile import ids

CLAIM_KIND = 'claim'
OUTCOME_KIND = 'claim-settle'
REPLICA_UPDATE_KIND = 'claim-copy'
RELEASED_KIND = 'claim-released'
HOME_PREFIX = 'claim/home/'
LEASE_PREFIX = 'lease/claim/'
SHARDS = 16
# Longer answers are not kept; a repeated call is told so.
MAX_ANSWER_BYTES = 16_384
MAX_KEY_CHARS = 255


class ClaimState(enum.IntEnum):
    """What is known of the call that claimed a key."""

    RUNNING = 1
    ANSWERED = 2
    UNKNOWN = 3
    # The call surely did not run; the key may be claimed again.
    FREED = 4


class ClaimResult(enum.IntEnum):
    """A home's decision on a claim."""

    PROCEED = 1
    # The key's call has an answer, which comes along if it was kept.
    ANSWERED = 2
    RUNNING = 3
    UNKNOWN = 4
    # The key was used with another request.
    MISMATCH = 5
    # Claims made here before may be lost.
    FORGOTTEN = 6
    # Nothing was claimed.
    NOT_HOME = 7
    NO_COPY = 8
    FULL = 9


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """What makes a repeated call the same call."""

    organisation: ids.OrganisationId
    route_id: ids.RouteId
    key: str

    @property
    def shard(self) -> int:
        """Shard whose home decides; the same at every node."""
        text = f'{self.organisation}\0{self.route_id}\0{self.key}'
        return zlib.crc32(text.encode()) % SHARDS


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A target's answer; headers are names and values in turn."""

    status: int
    headers: list[str]
    body: bytes


class Entry(msgspec.Struct, array_like=True):
    """A claimed key.

    Attributes:
        fingerprint: Digest of the request; another one is a misuse.
        max_duration_ms: From the claim until the call has surely ended.
    """

    key: ClaimKey
    claim_id: ids.ClaimId
    fingerprint: str
    max_duration_ms: float
    state: ClaimState = ClaimState.RUNNING
    answer: StoredAnswer | None = None


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the home of a key to let one call run.

    The same ask, with the same ``claim_id``, may be sent again.
    """

    key: ClaimKey
    claim_id: ids.ClaimId
    fingerprint: str
    max_duration_ms: float


class ClaimReply(msgspec.Struct, frozen=True, array_like=True):
    """The home's decision."""

    result: ClaimResult
    answer: StoredAnswer | None = None


class OutcomeReport(msgspec.Struct, frozen=True, array_like=True):
    """Tells the home what became of a call that claimed a key."""

    key: ClaimKey
    claim_id: ids.ClaimId
    state: ClaimState
    answer: StoredAnswer | None = None


class OutcomeReportReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the home has taken note."""

    is_recorded: bool


class ReplicatedShard(msgspec.Struct, frozen=True, array_like=True):
    """A shard that a copy covers.

    Attributes:
        incomplete_for_ms: How long a key that the replica lacks may still
            have been claimed before.
    """

    shard: int
    incomplete_for_ms: float


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a home tells a deputy, in order and without gaps.

    Attributes:
        seq: Grows by one; 1 starts over with an empty copy.
        is_complete: The copy now holds everything that the home knows of
            ``shards``.
    """

    home: ids.NodeId
    epoch: str
    seq: int
    is_complete: bool
    shards: list[ReplicatedShard]
    entries: list[Entry]


class ReplicaUpdateReply(msgspec.Struct, frozen=True, array_like=True):
    """A deputy's reply.

    Attributes:
        is_held: The copy is held and the lease is not being revoked.
        last_seq: Newest message that the copy holds; 0 if it has none.
    """

    is_held: bool
    last_seq: int
