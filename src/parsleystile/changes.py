"""The changes that operators make, and their effect on the document."""

import typing

import expression
import msgspec

from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import ids

# A change to the document as a whole touches every path.
WHOLE_DOCUMENT = ''


class _Change(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """One kind of change; ``kind`` tells which."""


class CreateOrganisation(_Change, tag='create-organisation', tag_field='kind'):
    """Create an organisation that does not exist yet."""

    organisation: fleetconfig.Name
    limits: fleetconfig.Organisation


class SetLimits(_Change, tag='set-limits', tag_field='kind'):
    """Replace the limits of an organisation."""

    organisation: fleetconfig.Name
    limits: fleetconfig.Organisation


class IssueKey(_Change, tag='issue-key', tag_field='kind'):
    """Issue a key; the document gives it the next key id.

    Attributes:
        digest: Before it reaches a node, ``keys.fingerprint`` of the key;
            as recorded, the fleet's keyed digest of that.
    """

    organisation: fleetconfig.Name
    digest: fleetconfig.Digest


class WithdrawKey(_Change, tag='withdraw-key', tag_field='kind'):
    """Withdraw a key for good; withdrawing it again changes nothing."""

    key_id: ids.KeyId


class PutRoute(_Change, tag='put-route', tag_field='kind'):
    """Create or replace a route."""

    route_id: fleetconfig.Name
    route: fleetconfig.Route


class RemoveRoute(_Change, tag='remove-route', tag_field='kind'):
    """Remove a route."""

    route_id: fleetconfig.Name


class PutPreset(_Change, tag='put-preset', tag_field='kind'):
    """Create or replace a preset, also the one in force."""

    name: fleetconfig.Name
    preset: fleetconfig.Preset


class SwitchPreset(_Change, tag='switch-preset', tag_field='kind'):
    """Put another preset in force."""

    name: fleetconfig.Name


class TakeDomainOut(_Change, tag='take-domain-out', tag_field='kind'):
    """Give a failure domain no new work."""

    domain: fleetconfig.Name


class BringDomainBack(_Change, tag='bring-domain-back', tag_field='kind'):
    """Give a failure domain new work again."""

    domain: fleetconfig.Name


class PutOperator(_Change, tag='put-operator', tag_field='kind'):
    """Create an operator or replace an operator's key.

    Attributes:
        digest: As in ``IssueKey``.
    """

    name: fleetconfig.Name
    digest: fleetconfig.Digest


class RemoveOperator(_Change, tag='remove-operator', tag_field='kind'):
    """Withdraw an operator's key."""

    name: fleetconfig.Name


class ApplyDocument(_Change, tag='apply-document', tag_field='kind'):
    """Replace the document whole, but for its version, keys and operators.

    Those have changes of their own; a file that lacks a key must not
    withdraw it, and one that holds a withdrawn key is refused.
    """

    document: fleetconfig.FleetConfig


Change = (
    CreateOrganisation
    | SetLimits
    | IssueKey
    | WithdrawKey
    | PutRoute
    | RemoveRoute
    | PutPreset
    | SwitchPreset
    | TakeDomainOut
    | BringDomainBack
    | PutOperator
    | RemoveOperator
    | ApplyDocument
)
Applied = expression.Result[fleetconfig.FleetConfig, errors.SettingsError]


class _Refused(Exception):
    def __init__(self, error: errors.SettingsError) -> None:
        super().__init__(str(error))
        self.error = error


def decode(data: bytes) -> expression.Result[Change, errors.SettingsError]:
    """Read a change from JSON."""
    try:
        return expression.Ok(msgspec.json.decode(data, type=Change))
    except msgspec.MsgspecError as exc:
        return expression.Error(errors.settings_error(exc, 'change'))


def encode(change: Change) -> bytes:
    """Return a change as JSON."""
    return msgspec.json.encode(change)


def path_of(change: Change) -> str:
    """Name what a change touches; changes of one path do not commute."""
    match change:
        case CreateOrganisation() | SetLimits():
            return f'organisations.{change.organisation}'
        case IssueKey():
            return f'keys.{change.digest}'
        case WithdrawKey():
            return f'keys.{change.key_id}'
        case PutRoute() | RemoveRoute():
            return f'routes.{change.route_id}'
        case PutPreset():
            return f'presets.{change.name}'
        case SwitchPreset():
            return 'active_preset'
        case TakeDomainOut() | BringDomainBack():
            return f'domains_out.{change.domain}'
        case PutOperator() | RemoveOperator():
            return f'operators.{change.name}'
        case ApplyDocument():
            return WHOLE_DOCUMENT
        case _:
            typing.assert_never(change)


def apply(config: fleetconfig.FleetConfig, change: Change) -> Applied:
    """Return the next version of the document, or why there is none."""
    try:
        fields = _fields(config, change)
    except _Refused as exc:
        return expression.Error(exc.error)
    fields['version'] = ids.ConfigVersion(config.version + 1)
    changed = msgspec.structs.replace(config, **fields)
    fault = fleetconfig.check(changed)
    return expression.Error(fault) if fault else expression.Ok(changed)


def _fields(
    config: fleetconfig.FleetConfig, change: Change
) -> dict[str, typing.Any]:
    match change:
        case CreateOrganisation(organisation=name):
            if name in config.organisations:
                _refuse(f'organisations.{name}', f'{name!r} exists already')
            return _put(config, 'organisations', name, change.limits)
        case SetLimits(organisation=name):
            _need(config.organisations, 'organisations', name)
            return _put(config, 'organisations', name, change.limits)
        case IssueKey():
            return _issue(config, change)
        case WithdrawKey(key_id=key_id):
            if config.is_withdrawn(key_id):
                return {}
            return _remove(config, 'keys', key_id)
        case PutRoute():
            return _put(config, 'routes', change.route_id, change.route)
        case RemoveRoute():
            return _remove(config, 'routes', change.route_id)
        case PutPreset():
            return _put(config, 'presets', change.name, change.preset)
        case SwitchPreset(name=name):
            _need(config.presets, 'presets', name)
            return {'active_preset': name}
        case TakeDomainOut(domain=domain):
            out = {*config.domains_out, domain}
            return {'domains_out': tuple(sorted(out))}
        case BringDomainBack(domain=domain):
            _need(config.domains_out, 'domains_out', domain)
            out = {*config.domains_out} - {domain}
            return {'domains_out': tuple(sorted(out))}
        case PutOperator():
            operator = fleetconfig.Operator(digest=change.digest)
            return _put(config, 'operators', change.name, operator)
        case RemoveOperator():
            return _remove(config, 'operators', change.name)
        case ApplyDocument():
            return _replace(config, change.document)
        case _:
            typing.assert_never(change)


def _refuse(path: str, problem: str) -> typing.NoReturn:
    raise _Refused(errors.SettingsError(path, problem))


def _need(names: typing.Container[str], path: str, name: str) -> None:
    if name not in names:
        _refuse(f'{path}.{name}', f'there is no {name!r}')


def _put(
    config: fleetconfig.FleetConfig, field: str, name: str, value: object
) -> dict[str, typing.Any]:
    return {field: {**getattr(config, field), name: value}}


def _remove(
    config: fleetconfig.FleetConfig, field: str, name: str
) -> dict[str, typing.Any]:
    entries = dict(getattr(config, field))
    _need(entries, field, name)
    del entries[name]
    return {field: entries}


def _issue(
    config: fleetconfig.FleetConfig, change: IssueKey
) -> dict[str, typing.Any]:
    _need(config.organisations, 'organisations', change.organisation)
    key = fleetconfig.Key(
        organisation=change.organisation, digest=change.digest
    )
    key_id = fleetconfig.key_id_of(config.next_key)
    fields = _put(config, 'keys', key_id, key)
    fields['next_key'] = config.next_key + 1
    return fields


def _replace(
    config: fleetconfig.FleetConfig, document: fleetconfig.FleetConfig
) -> dict[str, typing.Any]:
    for key_id, key in document.keys.items():
        if config.keys.get(key_id) != key:
            _refuse(
                f'keys.{key_id}', f'{key_id!r} is no key in force; issue it'
            )
    fields = msgspec.structs.asdict(document)
    for kept in ('next_key', 'keys', 'operators'):
        fields[kept] = getattr(config, kept)
    return fields
