"""Commands of the command line, as data classes."""

import dataclasses
import enum

from parsleystile import changes
from parsleystile import transport

IN_FORCE_WAIT_MS = 16_000
ANSWER_TIMEOUT_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options common to all commands.

    Attributes:
        nodes: Operator listeners to ask, in this order.
        operator: Name that the fleet records with each change.
        key_file: File with the operator's key; empty for the environment.
        is_json: Whether to print JSON.
        wait_ms: How long to wait until a change is in force everywhere.
        timeout_ms: How long one node may take to answer.
        change_id: Id of a change whose outcome is unknown, to submit it
            again.
    """

    nodes: tuple[transport.Address, ...] = ()
    operator: str = ''
    key_file: str = ''
    is_json: bool = False
    wait_ms: int = IN_FORCE_WAIT_MS
    timeout_ms: int = ANSWER_TIMEOUT_MS
    change_id: str = ''


class Listing(enum.Enum):
    """Parts of the configuration document that can be listed."""

    ORGANISATIONS = 'organisations'
    KEYS = 'keys'
    ROUTES = 'routes'
    PRESETS = 'presets'
    DOMAINS = 'domains'


class Format(enum.Enum):
    """Output formats of the burn report."""

    TEXT = 'text'
    JSON = 'json'
    HTML = 'html'


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Base of all commands."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainLog(Command):
    """Explain from a log file what happened to a call."""

    call_id: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowFleet(Command):
    """Show what the nodes of a fleet have in force, as one node tells it."""

    address: str
    is_json: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RunNode(Command):
    """Run one node until it is stopped."""

    settings_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckSettings(Command):
    """Check a node's settings file without running it."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckConfig(Command):
    """Check a configuration document without sending it.

    Attributes:
        path: TOML file with the document.
        in_force_path: File with the document in force, as TOML or as JSON;
            empty if it is not known.
    """

    path: str
    in_force_path: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateKey(Command):
    """Generate a key for an operator without sending anything."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteCommand(Command):
    """Base of commands that send requests to the fleet."""

    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class Submit(RemoteCommand):
    """Submit a change and wait until it is in force."""

    change: changes.Change


@dataclasses.dataclass(frozen=True, slots=True)
class IssueKey(RemoteCommand):
    """Generate a key, submit its digest and show the key once."""

    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutOperator(RemoteCommand):
    """Generate a key for an operator and show it once."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class EditRoute(RemoteCommand):
    """Change one property of an existing route."""

    route_id: str
    field: str
    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class ListPart(RemoteCommand):
    """List one part of the configuration document."""

    part: Listing


@dataclasses.dataclass(frozen=True, slots=True)
class ShowPreset(RemoteCommand):
    """Show a preset; the one in force if the name is empty."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowConfig(RemoteCommand):
    """Show the whole configuration document."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyConfig(RemoteCommand):
    """Replace the configuration document by a file."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowHistory(RemoteCommand):
    """Show the accepted changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShowResource(RemoteCommand):
    """Show a resource of the first node that answers."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowStatus(RemoteCommand):
    """Show the status of each node."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain(RemoteCommand):
    """Drain the target of the first node in ``--nodes``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Explain(RemoteCommand):
    """Explain what happened to a call."""

    root_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report(RemoteCommand):
    """Report the burn rates of the error budgets."""

    form: Format
    output: str
