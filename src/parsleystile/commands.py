"""What can be asked on the command line, as data."""

import dataclasses
import enum

from parsleystile import changes
from parsleystile import transport

IN_FORCE_WAIT_MS = 16_000
ANSWER_TIMEOUT_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What holds for every command.

    Attributes:
        nodes: Operator listeners to ask, in this order.
        operator: Name that the fleet records with each change.
        key_file: File with the operator's key; empty for the environment.
        is_json: Answer in JSON.
        wait_ms: How long to wait until a change is in force everywhere.
        timeout_ms: How long one node may take to answer.
        change_id: Id of a change whose fate is unknown, to ask again.
    """

    nodes: tuple[transport.Address, ...] = ()
    operator: str = ''
    key_file: str = ''
    is_json: bool = False
    wait_ms: int = IN_FORCE_WAIT_MS
    timeout_ms: int = ANSWER_TIMEOUT_MS
    change_id: str = ''


class Listing(enum.Enum):
    """Parts of the document that can be listed."""

    ORGANISATIONS = 'organisations'
    KEYS = 'keys'
    ROUTES = 'routes'
    PRESETS = 'presets'
    DOMAINS = 'domains'


class Format(enum.Enum):
    """Forms of the burn report."""

    TEXT = 'text'
    JSON = 'json'
    HTML = 'html'


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Base of all commands."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainLog(Command):
    """Tell from a file of lines what happened to a request."""

    call_id: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunNode(Command):
    """Run one node until it is told to stop."""

    settings_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckSettings(Command):
    """Check a node's settings file without running it."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckConfig(Command):
    """Check a fleet document without sending it."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateKey(Command):
    """Make a key for an operator without sending anything."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteCommand(Command):
    """Base of commands that ask the fleet."""

    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class Submit(RemoteCommand):
    """Submit a change and wait until it is in force."""

    change: changes.Change


@dataclasses.dataclass(frozen=True, slots=True)
class IssueKey(RemoteCommand):
    """Create a key, submit its digest and show the key once."""

    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutOperator(RemoteCommand):
    """Create a key for an operator and show it once."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class EditRoute(RemoteCommand):
    """Change one property of a route that exists."""

    route_id: str
    field: str
    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class ListPart(RemoteCommand):
    """List one part of the document."""

    part: Listing


@dataclasses.dataclass(frozen=True, slots=True)
class ShowPreset(RemoteCommand):
    """Show one preset; the one in force if no name is given."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowConfig(RemoteCommand):
    """Show the whole document."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyConfig(RemoteCommand):
    """Replace the document by a file."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowHistory(RemoteCommand):
    """Show who changed what and when."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShowResource(RemoteCommand):
    """Show what the first node says at a path."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShowStatus(RemoteCommand):
    """Show the status of each node."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain(RemoteCommand):
    """Drain the target of the first node that was named."""


@dataclasses.dataclass(frozen=True, slots=True)
class Explain(RemoteCommand):
    """Tell what happened to a call."""

    root_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report(RemoteCommand):
    """Report how fast the budgets of the objectives burn."""

    form: Format
    output: str
