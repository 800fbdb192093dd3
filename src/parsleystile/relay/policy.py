"""What operators have in force: routes, organisations, keys, domains out."""

import dataclasses
import hashlib
import typing

from parsleystile import _routes
from parsleystile import ids

KeyDigest = typing.NewType('KeyDigest', bytes)

_DIGEST_BYTES = 16


def key_digest(key: str) -> KeyDigest:
    """Return what a key is kept as; the key itself is not stored."""
    raw = key.encode('latin-1', 'replace')
    return KeyDigest(hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest())


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that a route leads to, and its part of the requests."""

    service: ids.ServiceName
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests under one prefix of one host are treated.

    Attributes:
        destinations: One entry, or several that divide the requests.
        is_idempotent: Whether a request may run more than once.
        is_open: Served without a key.
        timeout_ms: Longest time that a caller is kept waiting.
        objective_ms: An answer within this time is of full use.
        max_targets: Targets that one request may be sent to.
        priority: 0 is shed last.
    """

    route_id: ids.RouteId
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    is_idempotent: bool
    is_open: bool
    timeout_ms: float
    objective_ms: float
    max_targets: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """What holds for all requests of an organisation.

    Attributes:
        rate_per_s: Over the whole fleet; 0 is no limit.
        burst: Requests that may come at once.
        priority: Instead of that of the route; None where it has none.
    """

    organisation_id: ids.OrganisationId
    rate_per_s: float
    burst: float
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceBounds:
    """What each target of a service bears.

    Attributes:
        max_connections: Open connections from all callers together.
        cold_per_s: Requests a second that a cold target bears.
    """

    max_connections: int
    cold_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what one caller may send and for how long it may idle."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Policy:
    """One version of everything that operators change.

    Attributes:
        version: Of the operators' document; only grows.
        organisations: By id.
        services: By name.
        domains_out: Failure domains whose targets get nothing new.
    """

    def __init__(
        self,
        version: ids.ConfigVersion,
        routes: typing.Iterable[Route],
        organisations: typing.Iterable[Organisation],
        keys: dict[KeyDigest, ids.OrganisationId],
        services: dict[ids.ServiceName, ServiceBounds],
        limits: CallerLimits,
        domains_out: frozenset[ids.FailureDomainId],
    ) -> None:
        self.version = version
        self.organisations = {o.organisation_id: o for o in organisations}
        self.services = services
        self.limits = limits
        self.domains_out = domains_out
        self._keys = keys
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        self._hosts = {
            host: _routes.route_index((r.prefix, (), r) for r in found)
            for host, found in by_host.items()
        }

    @property
    def needs_keys(self) -> bool:
        """Whether callers belong to organisations at all."""
        return bool(self.organisations)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request; the longest prefix wins.

        Args:
            host: As the caller sent it; a port is ignored.
            path: Path of the request target, with or without a query.
        """
        index = self._hosts.get(host)
        if index is None:
            index = self._hosts.get(host.partition(':')[0].lower())
        return None if index is None else index.match('', path)

    def organisation_of(self, key: str) -> Organisation | None:
        """Return whose key this is; None if it is not in force."""
        owner = self._keys.get(key_digest(key))
        return None if owner is None else self.organisations.get(owner)
