"""Pending probes, and the ring that decides who monitors whom."""

import dataclasses
import enum
import random
import typing

from parsleystile import _memberlist
from parsleystile import ids
from parsleystile import members
from parsleystile import transport

# Longer than a round trip between regions.
ACK_TIMEOUT_MS = 200
# Further time for the indirect probes after the direct one timed out.
INDIRECT_TIMEOUT_MS = 250
# Ring successors that a node monitors, besides one random member.
RING_SUCCESSORS = 2


class Purpose(enum.Enum):
    """What an unanswered probe leads to."""

    # Indirect probes, then suspicion of the subject.
    MONITOR = 1
    # Nothing by itself; the silence of a failure domain adds up.
    REACH = 2
    # Nothing here: sent for another member, to whom the ack is relayed.
    RELAY = 3
    # A retry; the ping tells the subject that this node leaves.
    LEAVE = 4


@dataclasses.dataclass(slots=True)
class Probe:
    """A ping that waits for its ack.

    Attributes:
        subject: The member that was pinged.
        purpose: What a missing ack leads to.
        deadline_ms: When the probe times out.
        is_indirect: Whether indirect probes have been requested as well.
        helpers: Members that were asked for them.
        relay_to: Address that requested a ``RELAY`` probe.
        relay_sequence: The requester's sequence number.
    """

    subject: ids.NodeId
    purpose: Purpose
    deadline_ms: float
    is_indirect: bool = False
    helpers: frozenset[ids.NodeId] = frozenset()
    relay_to: transport.Address | None = None
    relay_sequence: int = 0

    def may_ack(self, node_id: ids.NodeId) -> bool:
        """Whether an ack of a node tells of the subject.

        Another node may have taken over the subject's address.
        """
        return node_id == self.subject or node_id in self.helpers


class Probes:
    """Pending probes by sequence number."""

    def __init__(self, rng: random.Random) -> None:
        # A random start keeps acks for an earlier process of this node from
        # matching a probe.
        self._sequence = rng.getrandbits(48)
        self._pending: dict[int, Probe] = {}
        self._monitored: set[ids.NodeId] = set()

    def start(self, probe: Probe) -> int:
        """Add a probe and return its sequence number."""
        self._sequence += 1
        self._pending[self._sequence] = probe
        if probe.purpose is Purpose.MONITOR:
            self._monitored.add(probe.subject)
        return self._sequence

    def is_monitoring(self, subject: ids.NodeId) -> bool:
        """Return whether a ``MONITOR`` probe of ``subject`` is pending."""
        return subject in self._monitored

    def get(self, sequence: int) -> Probe | None:
        """Return the probe of a sequence number, if pending."""
        return self._pending.get(sequence)

    def complete(self, sequence: int) -> Probe | None:
        """Remove and return the probe of a sequence number, if pending."""
        probe = self._pending.pop(sequence, None)
        if probe is not None:
            self._monitored.discard(probe.subject)
        return probe

    def overdue(self, now_ms: float) -> list[tuple[int, Probe]]:
        """Return the probes past their deadline; they stay pending."""
        return [
            (sequence, probe)
            for sequence, probe in self._pending.items()
            if probe.deadline_ms <= now_ms
        ]

    def clear(self) -> None:
        """Remove every pending probe."""
        self._pending.clear()
        self._monitored.clear()


class MonitoringRing:
    """The live members of the own failure domain in order of their hashes.

    Nodes with the same members have the same order, so that each member is
    monitored by its predecessors.
    """

    def __init__(self) -> None:
        self._order: list[members.Member] = []
        self._version = -1

    def successors(
        self, member_list: _memberlist.MemberList, local: members.Member
    ) -> list[members.Member]:
        """Return the next members after ``local``, which it monitors."""
        version = member_list.domain_version(local.failure_domain)
        if version != self._version:
            self._order = sorted(
                member_list.in_domain(local.failure_domain).values(),
                key=lambda m: (
                    _memberlist.ring_position(m.node_id),
                    m.node_id,
                ),
            )
            self._version = version
        return _successors(self._order, local.node_id)


def _successors(
    order: typing.Sequence[members.Member], node_id: ids.NodeId
) -> list[members.Member]:
    start = next(
        (i for i, m in enumerate(order) if m.node_id == node_id), None
    )
    if start is None:
        return []
    count = min(RING_SUCCESSORS, len(order) - 1)
    return [order[(start + 1 + i) % len(order)] for i in range(count)]
