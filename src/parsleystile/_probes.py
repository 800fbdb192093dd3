"""Probes under way, and whom to probe next."""

import dataclasses
import enum
import random
import typing

from parsleystile import _memberlist
from parsleystile import ids
from parsleystile import members
from parsleystile import transport

# Above the round trip between regions.
ACK_TIMEOUT_MS = 200
# From the direct timeout until indirect probes count as failed, too.
INDIRECT_TIMEOUT_MS = 250
RING_SUCCESSORS = 2


class Purpose(enum.Enum):
    """What an unanswered probe leads to."""

    # Suspicion, after indirect probes.
    MONITOR = 1
    # Silence of a failure domain.
    REACH = 2
    # Another member's suspicion of the subject; the ack is passed on.
    RELAY = 3
    # Confirmation that this node leaves.
    LEAVE = 4


@dataclasses.dataclass(slots=True)
class Probe:
    """A ping that waits for its ack.

    Attributes:
        is_indirect: Others have been asked to ping, too.
        relay_to: Who asked for a ``RELAY``, and their sequence number.
    """

    subject: ids.NodeId
    purpose: Purpose
    deadline_ms: float
    is_indirect: bool = False
    relay_to: transport.Address | None = None
    relay_sequence: int = 0


class Probes:
    """Pending probes by sequence number, oldest first."""

    def __init__(self, rng: random.Random) -> None:
        # Acks from an earlier life of this node match no probe.
        self._sequence = rng.getrandbits(48)
        self._pending: dict[int, Probe] = {}
        self._monitored: set[ids.NodeId] = set()

    def start(self, probe: Probe) -> int:
        """Note a probe and return its sequence number."""
        self._sequence += 1
        self._pending[self._sequence] = probe
        if probe.purpose is Purpose.MONITOR:
            self._monitored.add(probe.subject)
        return self._sequence

    def is_monitoring(self, subject: ids.NodeId) -> bool:
        """Whether a probe of ``subject`` is still under way."""
        return subject in self._monitored

    def complete(self, sequence: int) -> Probe | None:
        """Take the probe that an ack answers; None if there is none."""
        probe = self._pending.pop(sequence, None)
        if probe is not None:
            self._monitored.discard(probe.subject)
        return probe

    def overdue(self, now_ms: float) -> list[tuple[int, Probe]]:
        """Return probes past their deadline; they stay pending."""
        return [
            (sequence, probe)
            for sequence, probe in self._pending.items()
            if probe.deadline_ms <= now_ms
        ]

    def clear(self) -> None:
        """Forget every probe under way."""
        self._pending.clear()
        self._monitored.clear()


class MonitoringRing:
    """The members of one failure domain in an order that all agree on."""

    def __init__(self) -> None:
        self._order: list[members.Member] = []
        self._version = -1

    def successors(
        self, member_list: _memberlist.MemberList, local: members.Member
    ) -> list[members.Member]:
        """Return the members after ``local``, whom it monitors."""
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
