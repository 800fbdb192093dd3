"""Checks of a policy before operators send it."""

import collections
import dataclasses
import typing

from parsleystile import configfindings
from parsleystile.relay import policy as policies

_Findings = typing.Iterator[configfindings.Finding]
_LOWEST_PRIORITY = 2


def findings(
    policy: policies.Policy, in_force: policies.Policy | None = None
) -> list[configfindings.Finding]:
    """Return what can't work, has no effect or contradicts itself.

    Args:
        policy: A policy that could be decoded.
        in_force: The policy that it would replace; None if not known.
    """
    found = [
        *_check_matches(policy),
        *_check_routes(policy),
        *_check_services(policy),
        *_check_organisations(policy),
        *_check_limits(policy),
    ]
    if in_force is not None and policy.version <= in_force.version:
        found.append(
            configfindings.error(
                'version',
                f'{policy.version} is not above {in_force.version}, which'
                ' is in force',
            )
        )
    return found


def _route_path(route: policies.Route) -> str:
    return f'routes.{route.host}.{route.route_id}'


def _check_matches(policy: policies.Policy) -> _Findings:
    """Find routes that no request can match."""
    # Of two routes with one prefix, the later one is looked up.
    last = {(r.host, r.prefix): r for r in policy.routes}
    for route in policy.routes:
        path = _route_path(route)
        match = last[route.host, route.prefix]
        if match is not route:
            yield configfindings.error(
                path,
                f'never matches: route {match.route_id} has the same host and'
                f' prefix {route.prefix!r}',
            )
        elif not route.prefix.startswith('/') or '?' in route.prefix:
            yield configfindings.error(
                path, f'never matches: no path begins with {route.prefix!r}'
            )
        elif not route.prefix.endswith('/'):
            yield configfindings.warning(
                path, f'{route.prefix!r} also matches longer names'
            )
        if route.host != route.host.lower():
            yield configfindings.warning(
                path, f'host {route.host!r} matches as it is written only'
            )


def _check_routes(policy: policies.Policy) -> _Findings:
    for route in policy.routes:
        path = _route_path(route)
        if not route.destinations:
            yield configfindings.error(path, 'no service has a weight above 0')
        if route.timeout_ms <= 0:
            yield configfindings.error(path, 'its timeout is 0 ms')
        elif route.objective_ms > route.timeout_ms:
            yield configfindings.warning(
                path,
                f'its objective of {route.objective_ms:g} ms is beyond its'
                f' timeout of {route.timeout_ms:g} ms',
            )
        if not 0 <= route.priority <= _LOWEST_PRIORITY:
            yield configfindings.warning(
                path,
                f'priority {route.priority} counts as the nearest of 0 to'
                f' {_LOWEST_PRIORITY}',
            )
    names = collections.Counter(route.route_id for route in policy.routes)
    for route_id, count in names.items():
        if count > 1:
            yield configfindings.warning(
                f'routes.{route_id}',
                f'{count} routes have this name and share one level and one'
                ' set of answer times',
            )


def _check_services(policy: policies.Policy) -> _Findings:
    used = {d.service for r in policy.routes for d in r.destinations}
    for name in policy.services.keys() - used:
        yield configfindings.warning(
            f'services.{name}', 'no route leads to this service'
        )


def _check_organisations(policy: policies.Policy) -> _Findings:
    owners = set(policy.key_owners.values())
    for organisation in policy.organisations.values():
        path = f'organisations.{organisation.organisation_id}'
        if organisation.organisation_id not in owners:
            yield configfindings.warning(path, 'has no key')
        if organisation.burst and not organisation.rate_per_s:
            yield configfindings.warning(
                path, 'its burst has no effect without a rate'
            )


def _check_limits(policy: policies.Policy) -> _Findings:
    for field in dataclasses.fields(policy.limits):
        if getattr(policy.limits, field.name) <= 0:
            yield configfindings.error(
                f'limits.{field.name}', 'refuses every request'
            )


def differences(before: policies.Policy, after: policies.Policy) -> list[str]:
    """Return what changes if a policy that is in force is replaced."""
    return list(configfindings.differences(_plain(before), _plain(after)))


def _plain(policy: policies.Policy) -> dict:
    keys = collections.Counter(policy.key_owners.values())
    return {
        'version': policy.version,
        'routes': {
            f'{r.host}{r.prefix}': dataclasses.asdict(r) for r in policy.routes
        },
        'organisations': {
            name: {**dataclasses.asdict(o), 'keys': keys[name]}
            for name, o in policy.organisations.items()
        },
        # Digests, as keys themselves are not kept.
        'keys': {
            digest.hex(): owner for digest, owner in policy.key_owners.items()
        },
        'services': {
            name: dataclasses.asdict(bounds)
            for name, bounds in policy.services.items()
        },
        'limits': dataclasses.asdict(policy.limits),
    }
