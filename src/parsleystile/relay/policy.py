"""The operators' configuration: routes, organisations, keys, domains out."""

import dataclasses
import hashlib
import typing

from parsleystile import _routes
from parsleystile import ids

KeyDigest = typing.NewType('KeyDigest', bytes)

_DIGEST_BYTES = 16


def key_digest(key: str) -> KeyDigest:
    """Return the digest of a key; the key itself is not kept."""
    raw = key.encode('latin-1', 'replace')
    return KeyDigest(hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest())


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that a route leads to, and its weight."""

    service: ids.ServiceName
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Settings of the requests under one path prefix of one host.

    Attributes:
        destinations: One service, or several that divide the requests.
        is_idempotent: Whether a request may run more than once.
        is_open: Whether requests need no key.
        timeout_ms: Longest time that a caller waits for the answer.
        objective_ms: Latency objective.
        max_targets: Number of targets that may receive one request.
        priority: 0 is the most important and shed last.
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
    """Rate limit and priority of an organisation.

    Attributes:
        rate_per_s: Requests a second over the whole fleet; 0 for no limit.
        burst: Requests that may arrive at once.
        priority: Overrides the priority of the route unless None.
    """

    organisation_id: ids.OrganisationId
    rate_per_s: float
    burst: float
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceBounds:
    """Limits of each target of a service.

    Attributes:
        max_connections: Open connections from all callers together.
        cold_per_s: Requests a second that a cold target can handle; 0 if
            none is set.
    """

    max_connections: int
    cold_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and the idle time of a caller's connection."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """An order to move a service to another version of its targets.

    Attributes:
        order: Orders the orders of a service from old to new.
        target_version: Version that is to get all calls.
        duration_ms: Time from the order until it is to be done.
    """

    service: ids.ServiceName
    order: int
    target_version: str
    duration_ms: float


class Policy:
    """One version of the operators' configuration.

    Attributes:
        version: Version of the operators' document; only grows.
        routes: All routes, as the document orders them.
        key_owners: Organisation of each key in force.
        organisations: Organisations by id.
        services: Limits of services by name.
        limits: Limits on callers.
        domains_out: Failure domains whose targets get no new calls.
        rollouts: Orders to change the version of a service, by service.
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
        rollouts: typing.Iterable[Rollout] = (),
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.organisations = {o.organisation_id: o for o in organisations}
        self.services = services
        self.limits = limits
        self.domains_out = domains_out
        self.rollouts = {r.service: r for r in rollouts}
        self.key_owners = keys
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        self._hosts = {
            host: _routes.route_index((r.prefix, (), r) for r in host_routes)
            for host, host_routes in by_host.items()
        }

    @property
    def needs_keys(self) -> bool:
        """Whether any organisations exist."""
        return bool(self.organisations)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request; the longest prefix wins.

        Args:
            host: Host header as sent by the caller; a port is ignored.
            path: Path of the request target, with or without a query.
        """
        index = self._hosts.get(host)
        if index is None:
            index = self._hosts.get(host.partition(':')[0].lower())
        return None if index is None else index.match('', path)

    def organisation_of(self, key: str) -> Organisation | None:
        """Return the organisation of a key; None if it is not in force."""
        owner = self.key_owners.get(key_digest(key))
        return None if owner is None else self.organisations.get(owner)
