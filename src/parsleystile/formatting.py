"""Formatting of the fleet's data for the command line."""

import datetime
import typing

import msgspec

from parsleystile import commands
from parsleystile import explain
from parsleystile import fleetconfig
from parsleystile import operatorclient
from parsleystile import render

JsonValue = typing.Any
_DIGEST = 'digest'


class IssuedKey(msgspec.Struct, frozen=True):
    """A new key, shown once.

    Attributes:
        version: Version of the document that contains the key.
        domains: Progress of that version, by failure domain.
    """

    key: str
    version: int
    domains: dict[str, operatorclient.InForce]


def _yes_or_no(value: bool) -> str:
    return 'yes' if value else 'no'


def _organisations(config: fleetconfig.FleetConfig) -> render.Table:
    rows = [
        (name, o.rate_per_s, o.burst, o.weight)
        for name, o in sorted(config.organisations.items())
    ]
    return render.table(
        ('organisation', 'rate_per_s', 'burst', 'weight'), rows
    )


def _keys(config: fleetconfig.FleetConfig) -> render.Table:
    rows = sorted(
        (
            (fleetconfig.key_number(key_id), key_id, key.organisation)
            for key_id, key in config.keys.items()
        )
    )
    return render.table(('key', 'organisation'), [row[1:] for row in rows])


def _routes(config: fleetconfig.FleetConfig) -> render.Table:
    rows = [
        (
            route_id,
            route.path_prefix,
            ','.join(route.methods) or 'all',
            route.service,
            _yes_or_no(route.is_open),
            route.importance.value,
            _yes_or_no(route.is_idempotent),
            route.timeout_ms,
        )
        for route_id, route in sorted(config.routes.items())
    ]
    return render.table(
        (
            'route',
            'path_prefix',
            'methods',
            'service',
            'open',
            'importance',
            'idempotent',
            'timeout_ms',
        ),
        rows,
    )


def _presets(config: fleetconfig.FleetConfig) -> render.Table:
    rows = [
        (
            name,
            _yes_or_no(name == config.active_preset),
            p.admission_level,
            p.retry_allowance,
            p.rate_factor,
        )
        for name, p in sorted(config.presets.items())
    ]
    return render.table(
        (
            'preset',
            'in force',
            'admission_level',
            'retry_allowance',
            'rate_factor',
        ),
        rows,
    )


def _domains(config: fleetconfig.FleetConfig) -> render.Table:
    rows = [(domain,) for domain in config.domains_out]
    return render.table(('failure domain out',), rows)


def part_table(
    config: fleetconfig.FleetConfig, listing: commands.Listing
) -> render.Table:
    """Return one part of the document as a table."""
    match listing:
        case commands.Listing.ORGANISATIONS:
            return _organisations(config)
        case commands.Listing.KEYS:
            return _keys(config)
        case commands.Listing.ROUTES:
            return _routes(config)
        case commands.Listing.PRESETS:
            return _presets(config)
        case commands.Listing.DOMAINS:
            return _domains(config)


def part_data(
    config: fleetconfig.FleetConfig, listing: commands.Listing
) -> JsonValue:
    """Return one part of the document for JSON output, without digests."""
    match listing:
        case commands.Listing.KEYS:
            return {k: key.organisation for k, key in config.keys.items()}
        case commands.Listing.DOMAINS:
            return list(config.domains_out)
        case commands.Listing.PRESETS:
            return {
                'active_preset': config.active_preset,
                'presets': config.presets,
            }
    return getattr(config, listing.value)


def preset_text(config: fleetconfig.FleetConfig, name: str) -> str:
    """Return one preset as a table of its fields."""
    fields = msgspec.to_builtins(config.presets[name])
    suffix = ' (in force)' if name == config.active_preset else ''
    rows = sorted(fields.items())
    return render.text(render.table((f'{name}{suffix}', 'value'), rows))


def in_force_line(domains: dict[str, operatorclient.InForce]) -> str:
    """Return the progress of a version on one line."""
    return '  '.join(
        f'{name} {domain.in_force}/{domain.total}'
        for name, domain in sorted(domains.items())
    )


def in_force_text(
    version: int, domains: dict[str, operatorclient.InForce]
) -> str:
    """Return the progress of a version and the nodes still missing."""
    rows = [
        (name, d.in_force, d.total, ', '.join(d.waiting))
        for name, d in sorted(domains.items())
    ]
    table = render.table(
        ('failure domain', f'in force ({version})', 'nodes', 'waiting for'),
        rows,
    )
    return render.text(table)


def _format_time(wall_ms: int) -> str:
    time = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return time.strftime('%Y-%m-%d %H:%M:%S')


def _format_change(change: dict[str, JsonValue]) -> str:
    """Return a change on one line, without digests and documents."""
    words = [str(change.get('kind', ''))]
    for name, value in change.items():
        if name in ('kind', _DIGEST, 'document'):
            continue
        words.append(_format_value(value))
    return ' '.join(words)


def without_digests(value: JsonValue) -> JsonValue:
    """Return decoded JSON without the digests of keys."""
    match value:
        case dict():
            return {
                name: without_digests(found)
                for name, found in value.items()
                if name != _DIGEST
            }
        case list():
            return [without_digests(item) for item in value]
    return value


def history_text(history: operatorclient.History) -> str:
    """Return the accepted changes as a table, oldest first."""
    rows = [
        (
            r.version,
            _format_time(r.at_wall_ms),
            r.operator,
            _format_change(r.change),
        )
        for r in history.records
    ]
    headings = ('version', 'when (UTC)', 'operator', 'change')
    return render.text(render.table(headings, rows))


def _format_value(value: JsonValue) -> str:
    match value:
        case bool():
            return _yes_or_no(value)
        case float():
            return f'{value:g}'
        case list():
            return ','.join(_format_value(item) for item in value)
        case dict():
            return ' '.join(
                f'{k}={_format_value(v)}' for k, v in value.items()
            )
    return '' if value is None else str(value)


def json_text(value: JsonValue) -> str:
    """Return decoded JSON as a table if its structure permits it."""
    match value:
        case {**entries} if len(entries) == 1:
            (inner,) = entries.values()
            if isinstance(inner, list):
                return json_text(inner)
    match value:
        case [dict(), *_]:
            names = list(dict.fromkeys(n for row in value for n in row))
            rows = [
                [_format_value(row.get(n)) for n in names] for row in value
            ]
            return render.text(render.table(names, rows))
        case dict():
            rows = [
                (name, _format_value(found)) for name, found in value.items()
            ]
            return render.text(render.table(('name', 'value'), rows))
    return _format_value(value)


def status_text(found: dict[str, JsonValue]) -> str:
    """Return the statuses of several nodes, one row per node."""
    rows = []
    for node, status in found.items():
        entries = status if isinstance(status, dict) else {'status': status}
        rows.append({'node': node, **entries})
    return json_text(rows)


def explanation_text(explanations: list[explain.Explanation]) -> str:
    """Return the steps of a call at all nodes, oldest first."""
    entries = [entry for one in explanations for entry in one.entries]
    if not entries:
        sampled = any(one.is_sampled for one in explanations)
        reason = (
            'it is too old or was never received'
            if sampled
            else 'it was not refused, and it is not among the sampled calls'
        )
        return (
            f'none of {len(explanations)} nodes has a record of this call:'
            f' {reason}'
        )
    entries.sort(key=lambda entry: -entry.ago_ms)
    rows = [(f'{e.ago_ms:.1f}', e.node_id, e.text) for e in entries]
    return render.text(render.table(('ms ago', 'node', 'what happened'), rows))
