"""Settings of one node, read from a TOML file and validated."""

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
_NAME_PATTERN = msgspec.Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
# An IPv4 address and a port.
Peer = typing.Annotated[
    str, msgspec.Meta(pattern=r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$')
]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the settings file; unknown keys are rejected."""


class Identity(_Section, kw_only=True):
    """Identity and location of the node."""

    node_id: typing.Annotated[ids.NodeId, _NAME_PATTERN]
    vm: typing.Annotated[ids.VmId, _NAME_PATTERN]
    region: typing.Annotated[ids.RegionId, _NAME_PATTERN]
    failure_domain: typing.Annotated[ids.FailureDomainId, _NAME_PATTERN]


class Listeners(_Section, kw_only=True):
    """IP address and ports of the listeners; port 0 binds any free port."""

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
    """Destination of metrics; without this section none are sent."""

    host: str = '127.0.0.1'
    port: Port = 8125
    prefix: str = 'parsleystile'


class Limits(_Section, kw_only=True):
    """Limits on the resources of one node."""

    body_bytes: Count = 1_048_576
    header_bytes: Count = 16_384
    connections: Count = 4096
    calls_in_flight: Count = 8192


class BootstrapOperator(_Section, kw_only=True):
    """Operator who may make changes until the document contains operators.

    Attributes:
        fingerprint: Digest of the operator's key, in hex, as printed when
            the key was generated.
    """

    name: str
    fingerprint: typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]


class NodeSettings(_Section, kw_only=True):
    """All settings of a node.

    Attributes:
        fleet_secret_file: File with the secret shared by all nodes.
        peers: Link addresses of other nodes, as ``IP:PORT``, to contact if
            the table is unreachable at start.
        history_file: File in which each decision is recorded during system
            tests; empty in production, to record nothing.
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
            path, f'{host!r} is not an IP address; use one such as 127.0.0.1'
        )
    return None


def _check_url(path: str, url: str) -> errors.SettingsError | None:
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError as exc:
        return errors.SettingsError(path, f'{url!r} is not a URL: {exc}')
    if parts.scheme not in ('http', 'https') or not port:
        return errors.SettingsError(
            path, f'{url!r} is not a valid URL; use http://IP:PORT'
        )
    return _check_host(path, parts.hostname or '')


def _check_ports(listeners: Listeners) -> errors.SettingsError | None:
    """Check that no two TCP listeners share a port; gossip uses UDP."""
    fields_by_port: dict[int, str] = {}
    for name in ('caller', 'target', 'link', 'operator'):
        field = f'{name}_port'
        port = getattr(listeners, field)
        other_field = fields_by_port.setdefault(port, field)
        if port and other_field != field:
            return errors.SettingsError(
                f'listeners.{field}',
                f'{port} is already used by {other_field}',
            )
    return None


def check(settings: NodeSettings) -> errors.SettingsError | None:
    """Check constraints beyond types; return the first error."""
    error = _check_host('listeners.host', settings.listeners.host)
    error = error or _check_url('table.url', settings.table.url)
    error = error or _check_ports(settings.listeners)
    if error is None and settings.statsd is not None:
        error = _check_host('statsd.host', settings.statsd.host)
    return error


def parse_settings(
    text: str,
) -> expression.Result[NodeSettings, errors.SettingsError]:
    """Parse and validate the text of a settings file."""
    decoded = validation.decode_toml(text, NodeSettings, 'settings')
    if decoded.is_error():
        return decoded
    error = check(decoded.ok)
    return expression.Error(error) if error else decoded


def load_settings(
    path: str,
) -> expression.Result[NodeSettings, errors.SettingsError]:
    """Read and validate a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return expression.Error(errors.SettingsError('file', str(exc)))
    return parse_settings(text)
