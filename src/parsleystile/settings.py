"""Settings of one node, read from a TOML file and checked whole."""

import ipaddress
import pathlib
import typing
import urllib.parse

import expression
import msgspec

from parsleystile import errors
from parsleystile import ids
from parsleystile import validation

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Millis = typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
_NAME = msgspec.Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
# An IPv4 number and a port.
Peer = typing.Annotated[
    str, msgspec.Meta(pattern=r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$')
]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the settings file; unknown keys are errors."""


class Identity(_Section, kw_only=True):
    """Which node this is and where it runs."""

    node_id: typing.Annotated[ids.NodeId, _NAME]
    vm: typing.Annotated[ids.VmId, _NAME]
    region: typing.Annotated[ids.RegionId, _NAME]
    failure_domain: typing.Annotated[ids.FailureDomainId, _NAME]


class Listeners(_Section, kw_only=True):
    """Addresses by IP number; port 0 takes any free port."""

    host: str = '127.0.0.1'
    caller_port: Port = 0
    target_port: Port = 0
    link_port: Port = 0
    gossip_port: Port = 0
    operator_port: Port = 0


class TableSettings(_Section, kw_only=True):
    """The platform's table service."""

    url: str
    timeout_ms: Millis = 500


class StatsdSettings(_Section, kw_only=True):
    """Where metrics go; no section, no metrics leave the node."""

    host: str = '127.0.0.1'
    port: Port = 8125
    prefix: str = 'parsleystile'


class Limits(_Section, kw_only=True):
    """Bounds on what one node holds."""

    body_bytes: Count = 1_048_576
    header_bytes: Count = 16_384
    connections: Count = 4096
    calls_in_flight: Count = 8192


class BootstrapOperator(_Section, kw_only=True):
    """Who may make the first changes, while the document names nobody.

    Attributes:
        fingerprint: Digest of the operator's key, in hex, as printed when
            the key was made.
    """

    name: str
    fingerprint: typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]


class NodeSettings(_Section, kw_only=True):
    """Everything that a node is told at start.

    Attributes:
        fleet_secret_file: File with the secret that nodes share.
        peers: Links of other nodes, as ``IP-NUMBER:PORT``, to ask while
            the table can't be reached at start.
        history_file: Where each decision is recorded in a trial; empty
            for no record, as in service.
    """

    identity: Identity
    table: TableSettings
    fleet_secret_file: str
    listeners: Listeners = Listeners()
    statsd: StatsdSettings | None = None
    limits: Limits = Limits()
    peers: tuple[Peer, ...] = ()
    bootstrap_operator: BootstrapOperator | None = None
    history_file: str = ''


def _check_host(path: str, host: str) -> errors.SettingsError | None:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return errors.SettingsError(
            path, f'{host!r} is no IP number; write one such as 127.0.0.1'
        )
    return None


def _check_url(path: str, url: str) -> errors.SettingsError | None:
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError as exc:
        return errors.SettingsError(path, f'{url!r} is no URL: {exc}')
    if parts.scheme not in ('http', 'https') or not port:
        return errors.SettingsError(
            path, f'{url!r} is no URL; write http://IP-NUMBER:PORT'
        )
    return _check_host(path, parts.hostname or '')


def _check_ports(listeners: Listeners) -> errors.SettingsError | None:
    """Check that no two TCP listeners share a port; gossip is UDP."""
    owners: dict[int, str] = {}
    for name in ('caller', 'target', 'link', 'operator'):
        field = f'{name}_port'
        port = getattr(listeners, field)
        owner = owners.setdefault(port, field)
        if port and owner != field:
            return errors.SettingsError(
                f'listeners.{field}', f'{port} is taken by {owner}'
            )
    return None


def check(settings: NodeSettings) -> errors.SettingsError | None:
    """Check what the types alone can't; return the first fault."""
    fault = _check_host('listeners.host', settings.listeners.host)
    fault = fault or _check_url('table.url', settings.table.url)
    fault = fault or _check_ports(settings.listeners)
    if fault is None and settings.statsd is not None:
        fault = _check_host('statsd.host', settings.statsd.host)
    return fault


def parse_settings(
    text: str,
) -> expression.Result[NodeSettings, errors.SettingsError]:
    """Check the text of a settings file."""
    decoded = validation.decode_toml(text, NodeSettings, 'settings')
    if decoded.is_error():
        return decoded
    fault = check(decoded.ok)
    return expression.Error(fault) if fault else decoded


def load_settings(
    path: str,
) -> expression.Result[NodeSettings, errors.SettingsError]:
    """Read and check a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return expression.Error(errors.SettingsError('file', str(exc)))
    return parse_settings(text)
