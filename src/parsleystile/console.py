"""Arguments of the command line, turned into commands by Fire.

Options stand before or after a command: ``--nodes`` (``IP:PORT,...``),
``--operator``, ``--key-file``, ``--json``, ``--wait-ms``, ``--timeout-ms``
and ``--change-id``.
"""

import ipaddress
import os
import typing

from fire import decorators

from parsleystile import changes
from parsleystile import commands
from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import transport

NODES_VARIABLE = 'PARSLEYSTILE_NODES'
OPERATOR_VARIABLE = 'PARSLEYSTILE_OPERATOR'
KEY_FILE_VARIABLE = 'PARSLEYSTILE_OPERATOR_KEY_FILE'
_TRUE = ('true', 'yes', 'on')
_FALSE = ('false', 'no', 'off')


def _flag(name: str, text: str) -> bool:
    if text.lower() in _TRUE:
        return True
    if text.lower() in _FALSE:
        return False
    raise errors.UsageError(f'{name}: {text!r} is neither yes nor no')


def _number(name: str, text: str, kind: type) -> typing.Any:
    try:
        return kind(text)
    except ValueError:
        what = 'whole number' if kind is int else 'number'
        raise errors.UsageError(f'{name}: {text!r} is no {what}') from None


def _address(text: str) -> transport.Address:
    host, _, port = text.strip().rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
        return transport.Address(host, int(port))
    except ValueError:
        raise errors.UsageError(
            f'nodes: {text!r} is no address; write IP-NUMBER:PORT'
        ) from None


def _importance(text: str) -> fleetconfig.ImportanceName:
    try:
        return fleetconfig.ImportanceName(text)
    except ValueError:
        known = ', '.join(i.value for i in fleetconfig.ImportanceName)
        raise errors.UsageError(
            f'importance: {text!r} is unknown; write one of {known}'
        ) from None


class _Group:
    """Commands on one kind of thing."""

    def __init__(self, options: commands.Options) -> None:
        self._options = options

    def _submit(self, change: changes.Change) -> commands.Submit:
        return commands.Submit(self._options, change)

    def _list(self, part: commands.Listing) -> commands.ListPart:
        return commands.ListPart(self._options, part)


def _limits(rate_per_s: str, burst: str, weight: str) -> typing.Any:
    limits = fleetconfig.Organisation(
        rate_per_s=_number('rate-per-s', rate_per_s, float),
        burst=_number('burst', burst, int),
        weight=_number('weight', weight, float),
    )
    for name in ('rate_per_s', 'burst', 'weight'):
        value = getattr(limits, name)
        if not value > 0:
            shown = name.replace('_', '-')
            raise errors.UsageError(f'{shown}: {value!r} is not above 0')
    return limits


class OrganisationGroup(_Group):
    """Organisations and their limits."""

    @decorators.SetParseFn(str)
    def create(
        self, name: str, rate_per_s: str, burst: str, weight: str = '1.0'
    ) -> commands.Command:
        """Create an organisation.

        Args:
            name: Letters, digits, dots and dashes.
            rate_per_s: Root requests a second across the whole fleet.
            burst: Root requests at once after a quiet time.
            weight: Share of slots under contention.
        """
        limits = _limits(rate_per_s, burst, weight)
        return self._submit(
            changes.CreateOrganisation(organisation=name, limits=limits)
        )

    @decorators.SetParseFn(str)
    def limit(
        self, name: str, rate_per_s: str, burst: str, weight: str = '1.0'
    ) -> commands.Command:
        """Replace the limits of an organisation."""
        limits = _limits(rate_per_s, burst, weight)
        return self._submit(
            changes.SetLimits(organisation=name, limits=limits)
        )

    def list(self) -> commands.Command:
        """List organisations and their limits."""
        return self._list(commands.Listing.ORGANISATIONS)


class KeyGroup(_Group):
    """Keys of organisations."""

    @decorators.SetParseFn(str)
    def issue(self, organisation: str) -> commands.Command:
        """Issue a key; it is shown once and kept nowhere."""
        return commands.IssueKey(self._options, organisation)

    @decorators.SetParseFn(str)
    def withdraw(self, key_id: str) -> commands.Command:
        """Withdraw a key for good."""
        return self._submit(changes.WithdrawKey(key_id=key_id))

    def list(self) -> commands.Command:
        """List the ids of keys in force and whose they are."""
        return self._list(commands.Listing.KEYS)


class OperatorGroup(_Group):
    """Operators, who may change the configuration."""

    def keygen(self) -> commands.Command:
        """Make a key and its fingerprint for ``bootstrap_operator``."""
        return commands.GenerateKey()

    @decorators.SetParseFn(str)
    def put(self, name: str) -> commands.Command:
        """Create an operator or a new key for one; shown once."""
        return commands.PutOperator(self._options, name)

    @decorators.SetParseFn(str)
    def remove(self, name: str) -> commands.Command:
        """Withdraw an operator's key."""
        return self._submit(changes.RemoveOperator(name=name))


class RouteGroup(_Group):
    """Routes and how their calls are treated."""

    def _edit(
        self, route_id: str, field: str, value: object
    ) -> commands.Command:
        return commands.EditRoute(self._options, route_id, field, value)

    @decorators.SetParseFn(str)
    def open(self, route_id: str, is_open: str = 'yes') -> commands.Command:
        """Open a route to all, or close it with ``no``."""
        return self._edit(route_id, 'is_open', _flag('is-open', is_open))

    @decorators.SetParseFn(str)
    def importance(self, route_id: str, level: str) -> commands.Command:
        """Set the importance: critical, normal or sheddable."""
        return self._edit(route_id, 'importance', _importance(level))

    @decorators.SetParseFn(str)
    def idempotency(
        self, route_id: str, is_idempotent: str
    ) -> commands.Command:
        """Say whether a call may run more than once: yes or no."""
        value = _flag('is-idempotent', is_idempotent)
        return self._edit(route_id, 'is_idempotent', value)

    @decorators.SetParseFn(str)
    def remove(self, route_id: str) -> commands.Command:
        """Remove a route."""
        return self._submit(changes.RemoveRoute(route_id=route_id))

    def list(self) -> commands.Command:
        """List routes."""
        return self._list(commands.Listing.ROUTES)


class PresetGroup(_Group):
    """Presets, of which exactly one is in force."""

    @decorators.SetParseFn(str)
    def show(self, name: str = '') -> commands.Command:
        """Show a preset; the one in force without a name."""
        return commands.ShowPreset(self._options, name)

    @decorators.SetParseFn(str)
    def switch(self, name: str) -> commands.Command:
        """Put another preset in force."""
        return self._submit(changes.SwitchPreset(name=name))

    def list(self) -> commands.Command:
        """List presets and which is in force."""
        return self._list(commands.Listing.PRESETS)


class DomainGroup(_Group):
    """Failure domains."""

    @decorators.SetParseFn(str)
    def out(self, domain: str) -> commands.Command:
        """Give a failure domain no new work."""
        return self._submit(changes.TakeDomainOut(domain=domain))

    @decorators.SetParseFn(str)
    def _bring_in(self, domain: str) -> commands.Command:
        """Give a failure domain new work again."""
        return self._submit(changes.BringDomainBack(domain=domain))

    def list(self) -> commands.Command:
        """List failure domains that are out."""
        return self._list(commands.Listing.DOMAINS)


# ``in`` is a keyword of the language, so no method can be written so.
setattr(DomainGroup, 'in', DomainGroup._bring_in)


class TargetGroup(_Group):
    """Targets and the nodes beside them."""

    def status(self) -> commands.Command:
        """Show each named node's status and that of its target."""
        return commands.ShowStatus(self._options)

    def list(self) -> commands.Command:
        """List the members that the first node sees."""
        return commands.ShowResource(self._options, '/v1/members')

    def drain(self) -> commands.Command:
        """Drain the target of the first node in ``--nodes``."""
        return commands.Drain(self._options)


class ConfigGroup(_Group):
    """The fleet's document."""

    def show(self) -> commands.Command:
        """Show the document in force."""
        return commands.ShowConfig(self._options)

    @decorators.SetParseFn(str)
    def check(self, file: str) -> commands.Command:
        """Check a TOML document without sending it."""
        return commands.CheckConfig(file)

    @decorators.SetParseFn(str)
    def apply(self, file: str) -> commands.Command:
        """Replace the document by a TOML file; keys stay as they are."""
        return commands.ApplyConfig(self._options, file)

    def history(self) -> commands.Command:
        """Show who changed what and when."""
        return commands.ShowHistory(self._options)


class SettingsGroup:
    """Settings of one node."""

    @decorators.SetParseFn(str)
    def check(self, file: str) -> commands.Command:
        """Check a settings file; names the path and the bad value.

        Args:
            file: TOML file with the node's settings.
        """
        return commands.CheckSettings(file)


class Console:
    """Overload control layer for service call graphs."""

    def __init__(
        self,
        *,
        nodes: str = '',
        operator: str = '',
        key_file: str = '',
        json: bool = False,
        wait_ms: int = commands.IN_FORCE_WAIT_MS,
        timeout_ms: int = commands.ANSWER_TIMEOUT_MS,
        change_id: str = '',
    ) -> None:
        """Take the options that hold for every command.

        Args:
            nodes: Operator listeners to ask, as ``IP:PORT,IP:PORT``.
            operator: Name that the fleet records with each change.
            key_file: File with the operator's key.
            json: Answer in JSON; last, or as ``--json=yes``.
            wait_ms: How long to wait until a change is in force.
            timeout_ms: How long one node may take to answer.
            change_id: Id of a change whose fate is unknown.
        """
        nodes = str(nodes) or os.environ.get(NODES_VARIABLE, '')
        operator = str(operator) or os.environ.get(OPERATOR_VARIABLE, '')
        key_file = str(key_file) or os.environ.get(KEY_FILE_VARIABLE, '')
        options = commands.Options(
            nodes=tuple(_address(n) for n in nodes.split(',') if n.strip()),
            operator=operator,
            key_file=key_file,
            is_json=_flag('json (write it last or as --json=yes)', str(json)),
            wait_ms=_number('wait-ms', str(wait_ms), int),
            timeout_ms=_number('timeout-ms', str(timeout_ms), int),
            change_id=str(change_id),
        )
        self._options = options
        self.settings = SettingsGroup()
        self.organisation = OrganisationGroup(options)
        self.key = KeyGroup(options)
        self.operator = OperatorGroup(options)
        self.route = RouteGroup(options)
        self.preset = PresetGroup(options)
        self.domain = DomainGroup(options)
        self.target = TargetGroup(options)
        self.config = ConfigGroup(options)

    @decorators.SetParseFn(str)
    def node(self, settings: str) -> commands.Command:
        """Run one node until SIGTERM, which drains it.

        Args:
            settings: TOML file with the node's settings.
        """
        return commands.RunNode(settings)

    @decorators.SetParseFn(str)
    def explain(self, root_id: str, log: str = '') -> commands.Command:
        """Tell what happened to a recent call and why.

        Args:
            root_id: Id of the call, or of the try as the caller named it.
            log: File with lines of the nodes; empty to ask the nodes.
        """
        if log:
            return commands.ExplainLog(root_id, log)
        return commands.Explain(self._options, root_id)

    @decorators.SetParseFn(str)
    def report(self, form: str = 'text', output: str = '') -> commands.Command:
        """Report how fast the budgets of the objectives burn.

        Args:
            form: Text, json or html.
            output: File to write; empty for the terminal.
        """
        if self._options.is_json:
            form = commands.Format.JSON.value
        try:
            chosen = commands.Format(form)
        except ValueError:
            raise errors.UsageError(
                f'form: {form!r} is unknown; write text, json or html'
            ) from None
        return commands.Report(self._options, chosen, output)
