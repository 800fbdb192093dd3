"""The members that a node knows: which news wins, and digests of it all."""

import dataclasses
import hashlib
import typing

from parsleystile import ids
from parsleystile import members

# How long a dead incarnation is remembered, so that old news of it is
# recognised; no datagram or view lives as long.
TOMBSTONE_MS = 3_600_000
# Digests are exchanged per bucket of members.
MAX_BUCKETS = 256
MEMBERS_PER_BUCKET = 24
DIGEST_MASK = 0xFFFFFFFF


@dataclasses.dataclass(slots=True)
class _Entry:
    member: members.Member
    bucket: int
    digest: int
    tombstone_until_ms: float = 0.0


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def ring_position(node_id: ids.NodeId) -> int:
    """Return the place of a node in its domain's ring."""
    return _hash(f'ring|{node_id}')


def bucket_of(node_id: ids.NodeId) -> int:
    """Return the bucket of a node, below ``MAX_BUCKETS``."""
    return _hash(node_id) % MAX_BUCKETS


def _digest(member: members.Member) -> int:
    # Suspicion comes and goes within seconds; views that differ in nothing
    # else agree. The dead count as absent, so that forgetting them at
    # different times is no difference.
    if member.state is members.MemberState.DEAD:
        return 0
    is_leaving = member.state is members.MemberState.LEAVING
    text = f'{member.node_id}|{member.incarnation}|{is_leaving}'
    return _hash(text) & DIGEST_MASK


def bucket_count(size: int) -> int:
    """Return how many buckets, a power of two, suit ``size`` members."""
    count = 1
    while count < MAX_BUCKETS and count * MEMBERS_PER_BUCKET < size:
        count *= 2
    return count


class MemberList:
    """Members by node, service and failure domain.

    At one incarnation the higher state wins, and a higher incarnation wins
    over any state: whoever is dead returns only with a new incarnation.
    """

    def __init__(self) -> None:
        self.version = 0
        self._entries: dict[ids.NodeId, _Entry] = {}
        self._live: dict[ids.NodeId, members.Member] = {}
        self._domains: dict[
            ids.FailureDomainId, dict[ids.NodeId, members.Member]
        ] = {}
        self._services: dict[
            ids.ServiceName, dict[ids.NodeId, members.Member]
        ] = {}
        self._rosters: dict[ids.FailureDomainId, list[members.Member]] = {}
        self._domain_versions: dict[ids.FailureDomainId, int] = {}
        self._buckets = [0] * MAX_BUCKETS
        self._bucket_nodes: list[set[ids.NodeId]] = [
            set() for _ in range(MAX_BUCKETS)
        ]

    def __len__(self) -> int:
        return len(self._live)

    def get(self, node_id: ids.NodeId) -> members.Member | None:
        """Return what is known of a node, also if it is dead."""
        entry = self._entries.get(node_id)
        return entry.member if entry else None

    def live(self) -> typing.Collection[members.Member]:
        """Return every member that is not known to be dead."""
        return self._live.values()

    def dead(self) -> list[members.Member]:
        """Return the members remembered as dead."""
        return [
            e.member for e in self._entries.values() if e.tombstone_until_ms
        ]

    def domains(self) -> typing.Collection[ids.FailureDomainId]:
        """Return the failure domains with members that are not dead."""
        return self._domains.keys()

    def in_domain(
        self, domain: ids.FailureDomainId
    ) -> typing.Mapping[ids.NodeId, members.Member]:
        """Return the members of a failure domain that are not dead."""
        return self._domains.get(domain, {})

    def roster(self, domain: ids.FailureDomainId) -> list[members.Member]:
        """Return the same as a list, not to be changed, for drawing."""
        roster = self._rosters.get(domain)
        if roster is None:
            roster = list(self.in_domain(domain).values())
            self._rosters[domain] = roster
        return roster

    def domain_version(self, domain: ids.FailureDomainId) -> int:
        """Return a number that grows when a domain's members change."""
        return self._domain_versions.get(domain, 0)

    def serving(
        self, service: ids.ServiceName
    ) -> typing.Collection[members.Member]:
        """Return members of a service that take new work."""
        return self._services.get(service, {}).values()

    def services(self) -> typing.Collection[ids.ServiceName]:
        """Return the services with members that take new work."""
        return self._services.keys()

    def supersedes(self, member: members.Member) -> bool:
        """Whether ``member`` tells more than what is known."""
        entry = self._entries.get(member.node_id)
        if entry is None:
            return True
        known = entry.member
        return (member.incarnation, member.state) > (
            known.incarnation,
            known.state,
        )

    def merge(self, member: members.Member, now_ms: float) -> bool:
        """Take news in; False if it is none."""
        if not self.supersedes(member):
            return False
        self._remove(member.node_id)
        self._add(member, now_ms)
        return True

    def forget(self, node_id: ids.NodeId) -> None:
        """Drop what is known of a node, dead or not."""
        self._remove(node_id)

    def forget_dead(self, now_ms: float) -> None:
        """Drop what is remembered of members dead for long."""
        expired = [
            node_id
            for node_id, entry in self._entries.items()
            if 0 < entry.tombstone_until_ms <= now_ms
        ]
        for node_id in expired:
            self._remove(node_id)

    def _add(self, member: members.Member, now_ms: float) -> None:
        entry = _Entry(member, bucket_of(member.node_id), _digest(member))
        self._entries[member.node_id] = entry
        self._buckets[entry.bucket] ^= entry.digest
        self._bucket_nodes[entry.bucket].add(member.node_id)
        if member.state is members.MemberState.DEAD:
            entry.tombstone_until_ms = now_ms + TOMBSTONE_MS
            return
        self._live[member.node_id] = member
        domain = self._domains.setdefault(member.failure_domain, {})
        domain[member.node_id] = member
        self._invalidate_domain(member.failure_domain)
        if member.service and member.state < members.MemberState.LEAVING:
            served = self._services.setdefault(member.service, {})
            served[member.node_id] = member
            self.version += 1

    def _remove(self, node_id: ids.NodeId) -> None:
        entry = self._entries.pop(node_id, None)
        if entry is None:
            return
        self._buckets[entry.bucket] ^= entry.digest
        self._bucket_nodes[entry.bucket].discard(node_id)
        if self._live.pop(node_id, None) is None:
            return
        _remove_from_index(self._domains, entry.member.failure_domain, node_id)
        self._invalidate_domain(entry.member.failure_domain)
        if _remove_from_index(self._services, entry.member.service, node_id):
            self.version += 1

    def _invalidate_domain(self, domain: ids.FailureDomainId) -> None:
        self._rosters.pop(domain, None)
        self._domain_versions[domain] = self.domain_version(domain) + 1

    def digests(self) -> list[int]:
        """Return one digest of 32 bits for each bucket."""
        count = bucket_count(len(self._live))
        return self.fold_digests(count)

    def fold_digests(self, count: int) -> list[int]:
        """Return digests for ``count`` buckets, a power of two."""
        folded = [0] * count
        for bucket, digest in enumerate(self._buckets):
            folded[bucket % count] ^= digest
        return folded

    def in_bucket(self, bucket: int, count: int) -> list[members.Member]:
        """Return members, dead ones too, of one bucket out of ``count``."""
        return [
            self._entries[node_id].member
            for i in range(bucket, MAX_BUCKETS, count)
            for node_id in sorted(self._bucket_nodes[i])
        ]


def _remove_from_index(
    index: dict[str, dict[ids.NodeId, members.Member]],
    name: str,
    node_id: ids.NodeId,
) -> bool:
    group = index.get(name)
    if group is None or group.pop(node_id, None) is None:
        return False
    if not group:
        del index[name]
    return True
