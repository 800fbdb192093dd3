"""Targets of a service as a node sees them, by tier of locality."""

import bisect
import dataclasses
import itertools

from parsleystile import ids
from parsleystile import members
from parsleystile import targetload

# Assumed limit of a target without a load report.
COLD_LIMIT = 2
# Shares of the targets in the draws are renewed this often.
SHARE_PERIOD_MS = 100.0
# Utilisation at which calls begin to spill to the next tier.
SPILL_START_UTILISATION = 0.75
# Further share of calls that spill: its growth per second for each unit of
# utilisation by which the tier exceeds the next one and this margin.
SPILL_GROWTH_PER_S = 0.5
SPILL_MARGIN = 0.03
_MAX_GROWTH_MS = 1000.0
# Bounds of the slowness that is usual for a target.
MIN_USUAL_SLOWNESS = 0.4
MAX_USUAL_SLOWNESS = 2.5
# Calls of the target's rate that one call sent to it stands for: until the
# answer tells more, other nodes call it as well.
PACED_INTERVALS = 4
# Nodes that heard the same of a target's rate call it again at times that are
# spread over so many calls of that rate.
SPREAD_INTERVALS = 8
# Load that each consecutive failure adds to a target, in calls.
FAILURE_PENALTY_CALLS = 2
# An ejected target that no idempotent call has probed within this time after
# its ejection ended may be probed by any call: some services have no
# idempotent calls.
NON_IDEMPOTENT_PROBE_DELAY_MS = 2000.0


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """State of one target as this node sees it."""

    member: members.Member
    in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    is_ejected: bool = False
    unavailable_until_ms: float = float('-inf')
    # When the rate that the target names lets another call start, and the
    # time between two; 0 without such a rate.
    opens_ms: float = float('-inf')
    interval_ms: float = 0.0
    # This node's own part of the time until it calls the target again.
    spread_ms: float = 0.0
    told: targetload.TargetLoad = dataclasses.field(
        default_factory=targetload.target_load
    )
    tier_load: targetload.TierLoad = dataclasses.field(
        default_factory=targetload.tier_load
    )
    # Slowness that its service time lets expect.
    usual_slowness: float = 1.0

    def load(self, now_ms: float) -> float:
        """Return the estimated number of calls at the target."""
        return self.told.calls(self.in_flight, self.tier_load, now_ms)

    def cost(self, now_ms: float) -> float:
        """Return the utilisation with one more call; lower is better."""
        if self.is_ejected:
            # The ejection has ended: prefer it, so that it is probed.
            return 0.0
        load = self.load(now_ms) + FAILURE_PENALTY_CALLS * self.failures
        return (load + 1) / self.limit()

    def is_open(self, now_ms: float) -> bool:
        """Whether the rate of the target lets another call start."""
        return self.opens_ms + self.spread_ms <= now_ms

    def limit(self) -> int:
        """Return the concurrency limit of the target, at least 1."""
        if self.told.limit:
            return self.told.limit
        return max(1, min(COLD_LIMIT, self.member.slots))


@dataclasses.dataclass(slots=True)
class Tier:
    """Targets among which a call is balanced.

    Attributes:
        shares: Cumulative shares of the peers in the draws.
        spilled: Share of the calls that goes to the next tier since this one
            has been fuller for a while.
        renewed_ms: When the shares were computed.
    """

    peers: list[Peer]
    load: targetload.TierLoad
    shares: list[float] = dataclasses.field(default_factory=list)
    spilled: float = 0.0
    renewed_ms: float = float('-inf')

    def renew(self, following: 'Tier | None', now_ms: float) -> None:
        """Compute the shares anew.

        Args:
            following: The next tier; None if there is none.
            now_ms: Current time.
        """
        passed_ms = min(_MAX_GROWTH_MS, now_ms - self.renewed_ms)
        self.renewed_ms = now_ms
        self._renew_spilled(following, passed_ms, now_ms)
        load = self.load
        shares = []
        for peer in self.peers:
            told = peer.told
            shares.append(told.share(peer.member.slots, load, now_ms))
            ratio = told.time_ratio(load)
            peer.usual_slowness = min(
                MAX_USUAL_SLOWNESS, max(MIN_USUAL_SLOWNESS, ratio)
            )
        self.shares = list(itertools.accumulate(shares))

    def _renew_spilled(
        self, following: 'Tier | None', passed_ms: float, now_ms: float
    ) -> None:
        if following is None:
            self.spilled = 0.0
            return
        own = self.load.utilisation(now_ms)
        excess = own - following.load.utilisation(now_ms) - SPILL_MARGIN
        excess = min(excess, own - SPILL_START_UTILISATION)
        growth = SPILL_GROWTH_PER_S * excess * passed_ms / 1e3
        self.spilled = min(1.0, max(0.0, self.spilled + growth))

    def draw(self, value: float) -> int:
        """Return the index of the peer at a value from 0 to below 1."""
        shares = self.shares
        index = bisect.bisect(shares, value * shares[-1])
        return min(index, len(shares) - 1)


def first_eligible(
    tier: list[Peer],
    index: int,
    exclude: frozenset[ids.NodeId],
    now_ms: float,
    idempotent: bool,
) -> Peer | None:
    """Return the first target at or after an index that may get the call."""
    size = len(tier)
    for _ in range(size):
        peer = tier[index]
        if is_eligible(peer, exclude, now_ms, idempotent):
            return peer
        index = index + 1 if index + 1 < size else 0
    return None


def is_eligible(
    peer: Peer,
    exclude: frozenset[ids.NodeId],
    now_ms: float,
    idempotent: bool,
) -> bool:
    """Whether a target may get a call; see ``first_eligible``."""
    return (
        peer.unavailable_until_ms <= now_ms
        and peer.member.node_id not in exclude
        and (not peer.is_ejected or _may_probe(peer, now_ms, idempotent))
    )


def _may_probe(peer: Peer, now_ms: float, idempotent: bool) -> bool:
    if peer.in_flight:
        return False
    return (
        idempotent
        or now_ms >= peer.unavailable_until_ms + NON_IDEMPOTENT_PROBE_DELAY_MS
    )


def tier(peers: list[Peer], before: Tier | None) -> Tier:
    """Create a tier of peers, which keeps the means of an earlier one."""
    load = targetload.tier_load() if before is None else before.load
    for peer in peers:
        peer.tier_load = load
    return Tier(peers, load, spilled=0.0 if before is None else before.spilled)
