"""Command groups of the command line, as parsed by Fire.

Options may be given before or after a command: ``--nodes`` (``IP:PORT,...``),
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


def _parse_flag(name: str, text: str) -> bool:
    if text.lower() in _TRUE:
        return True
    if text.lower() in _FALSE:
        return False
    raise errors.UsageError(f'{name}: {text!r} is neither yes nor no')


def _parse_number(name: str, text: str, kind: type) -> typing.Any:
    try:
        return kind(text)
    except ValueError:
        what = 'whole number' if kind is int else 'number'
        raise errors.UsageError(f'{name}: {text!r} is not a {what}') from None


def _parse_address(text: str) -> transport.Address:
    host, _, port = text.strip().rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
        return transport.Address(host, int(port))
    except ValueError:
        raise errors.UsageError(
            f'nodes: {text!r} is not an address; use IP:PORT'
        ) from None


def _parse_importance(text: str) -> fleetconfig.ImportanceName:
    try:
        return fleetconfig.ImportanceName(text)
    except ValueError:
        known = ', '.join(i.value for i in fleetconfig.ImportanceName)
        raise errors.UsageError(
            f'importance: {text!r} is unknown; use one of {known}'
        ) from None


class _Group:
    """Base of the command groups."""

    def __init__(self, options: commands.Options) -> None:
        self._options = options

    def _submit(self, change: changes.Change) -> commands.Submit:
        return commands.Submit(self._options, change)

    def _list(self, part: commands.Listing) -> commands.ListPart:
        return commands.ListPart(self._options, part)


def _parse_limits(rate_per_s: str, burst: str, weight: str) -> typing.Any:
    limits = fleetconfig.Organisation(
        rate_per_s=_parse_number('rate-per-s', rate_per_s, float),
        burst=_parse_number('burst', burst, int),
        weight=_parse_number('weight', weight, float),
    )
    for name in ('rate_per_s', 'burst', 'weight'):
        value = getattr(limits, name)
        if not value > 0:
            flag = name.replace('_', '-')
            raise errors.UsageError(f'{flag}: {value!r} is not greater than 0')
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
            rate_per_s: Root requests per second across the whole fleet.
            burst: Root requests allowed at once after an idle period.
            weight: Relative share of slots under contention.
        """
        limits = _parse_limits(rate_per_s, burst, weight)
        return self._submit(
            changes.CreateOrganisation(organisation=name, limits=limits)
        )

    @decorators.SetParseFn(str)
    def limit(
        self, name: str, rate_per_s: str, burst: str, weight: str = '1.0'
    ) -> commands.Command:
        """Replace the limits of an organisation."""
        limits = _parse_limits(rate_per_s, burst, weight)
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
        """Issue a key; it is shown once and not stored."""
        return commands.IssueKey(self._options, organisation)

    @decorators.SetParseFn(str)
    def withdraw(self, key_id: str) -> commands.Command:
        """Withdraw a key permanently."""
        return self._submit(changes.WithdrawKey(key_id=key_id))

    def list(self) -> commands.Command:
        """List the ids and organisations of the keys in force."""
        return self._list(commands.Listing.KEYS)


class OperatorGroup(_Group):
    """Operators, who may change the configuration."""

    def keygen(self) -> commands.Command:
        """Generate a key and its fingerprint for ``bootstrap_operator``."""
        return commands.GenerateKey()

    @decorators.SetParseFn(str)
    def put(self, name: str) -> commands.Command:
        """Create an operator, or a new key for one; it is shown once."""
        return commands.PutOperator(self._options, name)

    @decorators.SetParseFn(str)
    def remove(self, name: str) -> commands.Command:
        """Withdraw an operator's key."""
        return self._submit(changes.RemoveOperator(name=name))


class RouteGroup(_Group):
    """Routes and their properties."""

    def _edit(
        self, route_id: str, field: str, value: object
    ) -> commands.Command:
        return commands.EditRoute(self._options, route_id, field, value)

    @decorators.SetParseFn(str)
    def open(self, route_id: str, is_open: str = 'yes') -> commands.Command:
        """Open a route to all callers, or close it with ``no``."""
        return self._edit(route_id, 'is_open', _parse_flag('is-open', is_open))

    @decorators.SetParseFn(str)
    def importance(self, route_id: str, level: str) -> commands.Command:
        """Set the importance: critical, normal or sheddable."""
        return self._edit(route_id, 'importance', _parse_importance(level))

    @decorators.SetParseFn(str)
    def idempotency(
        self, route_id: str, is_idempotent: str
    ) -> commands.Command:
        """Set whether a call may be executed more than once: yes or no."""
        value = _parse_flag('is-idempotent', is_idempotent)
        return self._edit(route_id, 'is_idempotent', value)

    @decorators.SetParseFn(str)
    def remove(self, route_id: str) -> commands.Command:
        """Remove a route."""
        return self._submit(changes.RemoveRoute(route_id=route_id))

    def list(self) -> commands.Command:
        """List routes."""
        return self._list(commands.Listing.ROUTES)


class PresetGroup(_Group):
    """Presets, exactly one of which is in force."""

    @decorators.SetParseFn(str)
    def show(self, name: str = '') -> commands.Command:
        """Show a preset, by default the one in force."""
        return commands.ShowPreset(self._options, name)

    @decorators.SetParseFn(str)
    def switch(self, name: str) -> commands.Command:
        """Put another preset in force."""
        return self._submit(changes.SwitchPreset(name=name))

    def list(self) -> commands.Command:
        """List presets and show which one is in force."""
        return self._list(commands.Listing.PRESETS)


class DomainGroup(_Group):
    """Failure domains."""

    @decorators.SetParseFn(str)
    def out(self, domain: str) -> commands.Command:
        """Send no new calls to a failure domain."""
        return self._submit(changes.TakeDomainOut(domain=domain))

    @decorators.SetParseFn(str)
    def _bring_in(self, domain: str) -> commands.Command:
        """Send new calls to a failure domain again."""
        return self._submit(changes.BringDomainBack(domain=domain))

    def list(self) -> commands.Command:
        """List failure domains that are out."""
        return self._list(commands.Listing.DOMAINS)


# ``in`` is a keyword of Python and cannot be the name in a ``def``.
setattr(DomainGroup, 'in', DomainGroup._bring_in)


class TargetGroup(_Group):
    """Targets and their nodes."""

    def status(self) -> commands.Command:
        """Show the status of each node in ``--nodes`` and of its target."""
        return commands.ShowStatus(self._options)

    def list(self) -> commands.Command:
        """List the fleet's members as seen by one of the nodes."""
        return commands.ShowResource(self._options, '/v1/members')

    def drain(self) -> commands.Command:
        """Drain the target of the first node in ``--nodes``."""
        return commands.Drain(self._options)


class ConfigGroup(_Group):
    """The configuration document of the fleet."""

    def show(self) -> commands.Command:
        """Show the document in force."""
        return commands.ShowConfig(self._options)

    @decorators.SetParseFn(str)
    def check(self, file: str, in_force: str = '') -> commands.Command:
        """Check a TOML document without sending it.

        Args:
            file: TOML file with the document.
            in_force: File with the document in force, as ``config show``
                prints it; what differs from it is shown.
        """
        return commands.CheckConfig(file, in_force)

    @decorators.SetParseFn(str)
    def apply(self, file: str) -> commands.Command:
        """Replace the document by a TOML file; existing keys are kept."""
        return commands.ApplyConfig(self._options, file)

    def history(self) -> commands.Command:
        """Show the accepted changes with operator and time."""
        return commands.ShowHistory(self._options)


class SettingsGroup:
    """Settings of one node."""

    @decorators.SetParseFn(str)
    def check(self, file: str) -> commands.Command:
        """Check a settings file; an error names the path and the value.

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
        """Parse the options common to all commands.

        Args:
            nodes: Operator listeners of nodes, as ``IP:PORT,IP:PORT``.
            operator: Name that the fleet records with each change.
            key_file: File with the operator's key.
            json: Print JSON; write it last or as ``--json=yes``.
            wait_ms: How long to wait until a change is in force.
            timeout_ms: How long one node may take to answer.
            change_id: Id of a change whose outcome is unknown.
        """
        nodes = str(nodes) or os.environ.get(NODES_VARIABLE, '')
        operator = str(operator) or os.environ.get(OPERATOR_VARIABLE, '')
        key_file = str(key_file) or os.environ.get(KEY_FILE_VARIABLE, '')
        options = commands.Options(
            nodes=tuple(
                _parse_address(n) for n in nodes.split(',') if n.strip()
            ),
            operator=operator,
            key_file=key_file,
            is_json=_parse_flag(
                'json (write it last or as --json=yes)', str(json)
            ),
            wait_ms=_parse_number('wait-ms', str(wait_ms), int),
            timeout_ms=_parse_number('timeout-ms', str(timeout_ms), int),
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
        """Explain what happened to a recent call and why.

        Args:
            root_id: Id of the call, or the attempt id set by the caller.
            log: File with log lines of nodes; empty to ask the nodes.
        """
        if log:
            return commands.ExplainLog(root_id, log)
        return commands.Explain(self._options, root_id)

    @decorators.SetParseFn(str)
    def fleet(self, address: str) -> commands.Command:
        """Show which configuration and settings the nodes have in force.

        Args:
            address: Metrics listener of any node, as IP:PORT.
        """
        _parse_address(address)
        return commands.ShowFleet(address, self._options.is_json)

    @decorators.SetParseFn(str)
    def report(self, form: str = 'text', output: str = '') -> commands.Command:
        """Report the burn rates of the error budgets.

        Args:
            form: Output format: text, json or html.
            output: File to write; empty for standard output.
        """
        if self._options.is_json:
            form = commands.Format.JSON.value
        try:
            chosen = commands.Format(form)
        except ValueError:
            raise errors.UsageError(
                f'form: {form!r} is unknown; use text, json or html'
            ) from None
        return commands.Report(self._options, chosen, output)
