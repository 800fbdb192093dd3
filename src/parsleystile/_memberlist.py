"""Member list of a node: merging of records, indexes, anti-entropy digests."""

import dataclasses
import typing

from parsleystile import bucketdigests
from parsleystile import ids
from parsleystile import members

# How long a dead member is kept as a tombstone, so that stale records of it
# are rejected. No datagram or member view is older than this.
TOMBSTONE_MS = 3_600_000
MEMBERS_PER_BUCKET = 24


@dataclasses.dataclass(slots=True)
class _Entry:
    member: members.Member
    bucket: int
    digest: int
    tombstone_until_ms: float = 0.0


def ring_position(node_id: ids.NodeId) -> int:
    """Return the position of a node in its domain's monitoring ring."""
    return bucketdigests.text_hash(f'ring|{node_id}')


def bucket_of(node_id: ids.NodeId) -> int:
    """Return the bucket of a node, below ``bucketdigests.MAX_BUCKETS``."""
    return bucketdigests.text_hash(node_id) % bucketdigests.MAX_BUCKETS


def _digest(member: members.Member) -> int:
    # Suspicion lasts only seconds, so it is left out. Dead members count as
    # absent, since nodes drop their tombstones at different times.
    if member.state is members.MemberState.DEAD:
        return 0
    is_leaving = member.state is members.MemberState.LEAVING
    text = f'{member.node_id}|{member.incarnation}|{is_leaving}'
    return bucketdigests.record_digest(text)


def bucket_count(size: int) -> int:
    """Return how many buckets, a power of two, suit ``size`` members."""
    return bucketdigests.bucket_count(size, MEMBERS_PER_BUCKET)


class MemberList:
    """Members indexed by node, service and failure domain.

    A record with a higher incarnation replaces one with a lower; at the same
    incarnation the higher state wins. A dead member therefore returns only
    under a new incarnation.

    Attributes:
        version: Grows when the members of a service change.
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
        self._digests = bucketdigests.bucket_digests()

    def __len__(self) -> int:
        return len(self._live)

    def get(self, node_id: ids.NodeId) -> members.Member | None:
        """Return the record of a node, dead or not; None if unknown."""
        entry = self._entries.get(node_id)
        return entry.member if entry else None

    def live(self) -> typing.Collection[members.Member]:
        """Return the members that are not dead."""
        return self._live.values()

    def dead(self) -> list[members.Member]:
        """Return the dead members that are kept as tombstones."""
        return [
            e.member for e in self._entries.values() if e.tombstone_until_ms
        ]

    def domains(self) -> typing.Collection[ids.FailureDomainId]:
        """Return the failure domains with live members."""
        return self._domains.keys()

    def in_domain(
        self, domain: ids.FailureDomainId
    ) -> typing.Mapping[ids.NodeId, members.Member]:
        """Return the live members of a failure domain by node."""
        return self._domains.get(domain, {})

    def roster(self, domain: ids.FailureDomainId) -> list[members.Member]:
        """Return the live members of a failure domain as a cached list.

        It allows random choice in constant time; callers must not change it.
        """
        roster = self._rosters.get(domain)
        if roster is None:
            roster = list(self.in_domain(domain).values())
            self._rosters[domain] = roster
        return roster

    def domain_version(self, domain: ids.FailureDomainId) -> int:
        """Return a counter that grows when a domain's members change."""
        return self._domain_versions.get(domain, 0)

    def serving(
        self, service: ids.ServiceName
    ) -> typing.Collection[members.Member]:
        """Return the members of a service that accept new calls."""
        return self._services.get(service, {}).values()

    def services(self) -> typing.Collection[ids.ServiceName]:
        """Return the services with members that accept new calls."""
        return self._services.keys()

    def supersedes(self, member: members.Member) -> bool:
        """Return whether ``member`` is newer than the record kept here."""
        entry = self._entries.get(member.node_id)
        if entry is None:
            return True
        known = entry.member
        return (member.incarnation, member.state) > (
            known.incarnation,
            known.state,
        )

    def merge(self, member: members.Member, now_ms: float) -> bool:
        """Replace a member's record by a newer one; False if it is not."""
        if not self.supersedes(member):
            return False
        self._remove(member.node_id)
        self._add(member, now_ms)
        return True

    def forget(self, node_id: ids.NodeId) -> None:
        """Remove the record of a node, dead or not."""
        self._remove(node_id)

    def forget_dead(self, now_ms: float) -> None:
        """Remove expired tombstones."""
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
        self._digests.add(member.node_id, entry.bucket, entry.digest)
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
        self._digests.remove(node_id, entry.bucket, entry.digest)
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
        """Return one 32-bit digest for each bucket."""
        count = bucket_count(len(self._live))
        return self.fold_digests(count)

    def fold_digests(self, count: int) -> list[int]:
        """Return digests folded to ``count`` buckets, a power of two."""
        return self._digests.fold(count)

    def in_bucket(self, bucket: int, count: int) -> list[members.Member]:
        """Return the members, dead or not, of one of ``count`` buckets."""
        return [
            self._entries[node_id].member
            for node_id in self._digests.nodes_in(bucket, count)
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
