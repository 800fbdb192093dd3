"""Settings of one node, read from a TOML file and checked whole."""

import pathlib
import typing

import expression
import msgspec

from parsleystile import errors
from parsleystile import ids

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Millis = typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the settings file; unknown keys are errors."""


class Identity(_Section, kw_only=True):
    """Which node this is and where it runs."""

    node_id: ids.NodeId
    vm: ids.VmId
    region: ids.RegionId
    failure_domain: ids.FailureDomainId


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


class NodeSettings(_Section, kw_only=True):
    """Everything that a node is told at start.

    Attributes:
        fleet_secret_file: File with the secret that nodes share.
    """

    identity: Identity
    table: TableSettings
    fleet_secret_file: str
    listeners: Listeners = Listeners()
    statsd: StatsdSettings | None = None
    limits: Limits = Limits()


def parse_settings(
    text: str,
) -> expression.Result[NodeSettings, errors.SettingsError]:
    """Check the text of a settings file."""
    try:
        return expression.Ok(msgspec.toml.decode(text, type=NodeSettings))
    except msgspec.ValidationError as exc:
        problem, _, path = str(exc).partition(' - at `$.')
        where = path.rstrip('`') or 'settings'
        return expression.Error(errors.SettingsError(where, problem))
    except msgspec.DecodeError as exc:
        return expression.Error(errors.SettingsError('settings', str(exc)))


def load_settings(
    path: str,
) -> expression.Result[NodeSettings, errors.SettingsError]:
    """Read and check a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return expression.Error(errors.SettingsError(path, str(exc)))
    return parse_settings(text)
