"""Messages and table rows of the claims on idempotency keys.

A node claims a key at the key's home, the node that owns its shard, before
it runs the call. The home replicates its claims to its deputies.
"""

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
# Longer answers are not stored, and a repeated call is refused.
MAX_ANSWER_BYTES = 16_384
MAX_KEY_CHARS = 255


class ClaimState(enum.IntEnum):
    """State of the call that claimed a key."""

    RUNNING = 1
    ANSWERED = 2
    UNKNOWN = 3
    # The call certainly did not run; the key may be claimed again.
    FREED = 4


class ClaimResult(enum.IntEnum):
    """A home's decision on a claim."""

    PROCEED = 1
    # The key's call was answered; the reply has the answer if it is stored.
    ANSWERED = 2
    RUNNING = 3
    UNKNOWN = 4
    # The key was used with another request.
    MISMATCH = 5
    # The shard's earlier claims may be lost.
    FORGOTTEN = 6
    # In the cases below the key was not claimed.
    NOT_HOME = 7
    NO_COPY = 8
    FULL = 9


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a call; a repeated call has the same key."""

    organisation: ids.OrganisationId
    route_id: ids.RouteId
    key: str

    @property
    def shard(self) -> int:
        """Shard whose home decides on the key; the same on every node."""
        text = f'{self.organisation}\0{self.route_id}\0{self.key}'
        return zlib.crc32(text.encode()) % SHARDS


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A target's answer; ``headers`` alternates names and values."""

    status: int
    headers: list[str]
    body: bytes


class Entry(msgspec.Struct, array_like=True):
    """A claimed key.

    Attributes:
        claim_id: Identifies the call that made the claim.
        fingerprint: Digest of the request; a call with another one misuses
            the key.
        max_duration_ms: Time from the claim until the call has certainly
            ended.
        answer: The target's answer, if it is stored.
    """

    key: ClaimKey
    claim_id: ids.ClaimId
    fingerprint: str
    max_duration_ms: float
    state: ClaimState = ClaimState.RUNNING
    answer: StoredAnswer | None = None


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests permission from the home of a key to run one call.

    The same request, with the same ``claim_id``, may be sent again.
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
    """Reports to the home the outcome of a call that claimed a key."""

    key: ClaimKey
    claim_id: ids.ClaimId
    state: ClaimState
    answer: StoredAnswer | None = None


class OutcomeReportReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the home has recorded the outcome."""

    is_recorded: bool


class ReplicatedShard(msgspec.Struct, frozen=True, array_like=True):
    """A shard that a replica covers.

    Attributes:
        incomplete_for_ms: How much longer a key that the replica lacks may
            have been claimed before.
    """

    shard: int
    incomplete_for_ms: float


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One message of the replication from a home to a deputy.

    Messages are sent in order and without gaps.

    Attributes:
        seq: Increases by one; 1 starts again with an empty replica.
        is_complete: The replica now holds everything that the home knows of
            ``shards``.
        entries: Entries to add or replace.
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
        is_held: The deputy keeps the replica; False if the home's lease is
            being revoked.
        last_seq: Newest message applied to the replica; 0 if it has none.
    """

    is_held: bool
    last_seq: int
