"""Changes that operators make to the fleet configuration document."""

import typing

import expression
import msgspec

from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import ids

# Path of a change to the whole document, which conflicts with every other.
WHOLE_DOCUMENT = ''


class _Change(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all changes; ``kind`` is the tag that tells them apart."""


class CreateOrganisation(_Change, tag='create-organisation', tag_field='kind'):
    """Create an organisation that does not exist yet."""

    organisation: fleetconfig.Name
    limits: fleetconfig.Organisation


class SetLimits(_Change, tag='set-limits', tag_field='kind'):
    """Replace the limits of an organisation."""

    organisation: fleetconfig.Name
    limits: fleetconfig.Organisation


class IssueKey(_Change, tag='issue-key', tag_field='kind'):
    """Issue a key under the next key id of the document.

    Attributes:
        digest: As sent by an operator, ``keys.fingerprint`` of the key; as
            recorded, the fleet's keyed digest of that.
    """

    organisation: fleetconfig.Name
    digest: fleetconfig.Digest


class WithdrawKey(_Change, tag='withdraw-key', tag_field='kind'):
    """Withdraw a key permanently; withdrawing it again has no effect."""

    key_id: ids.KeyId


class PutRoute(_Change, tag='put-route', tag_field='kind'):
    """Create or replace a route."""

    route_id: fleetconfig.Name
    route: fleetconfig.Route


class RemoveRoute(_Change, tag='remove-route', tag_field='kind'):
    """Remove a route."""

    route_id: fleetconfig.Name


class PutPreset(_Change, tag='put-preset', tag_field='kind'):
    """Create or replace a preset; the preset in force may be replaced."""

    name: fleetconfig.Name
    preset: fleetconfig.Preset


class SwitchPreset(_Change, tag='switch-preset', tag_field='kind'):
    """Put another preset in force."""

    name: fleetconfig.Name


class TakeDomainOut(_Change, tag='take-domain-out', tag_field='kind'):
    """Stop sending new work to a failure domain."""

    domain: fleetconfig.Name


class BringDomainBack(_Change, tag='bring-domain-back', tag_field='kind'):
    """Send new work to a failure domain again."""

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
    """Replace the document except for its version, keys and operators.

    Keys and operators have changes of their own: a file that lacks a key
    must not withdraw it, and a file that holds a withdrawn key is refused.
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


class _Rejected(Exception):
    def __init__(self, error: errors.SettingsError) -> None:
        super().__init__(str(error))
        self.error = error


def decode(data: bytes) -> expression.Result[Change, errors.SettingsError]:
    """Decode a change from JSON."""
    try:
        return expression.Ok(msgspec.json.decode(data, type=Change))
    except msgspec.MsgspecError as exc:
        return expression.Error(errors.settings_error(exc, 'change'))


def encode(change: Change) -> bytes:
    """Return a change as JSON."""
    return msgspec.json.encode(change)


def path_of(change: Change) -> str:
    """Return the path a change modifies; changes of one path conflict."""
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
    """Return the next version of the document, or the error in the change."""
    try:
        fields = _changed_fields(config, change)
    except _Rejected as exc:
        return expression.Error(exc.error)
    fields['version'] = ids.ConfigVersion(config.version + 1)
    changed = msgspec.structs.replace(config, **fields)
    fault = fleetconfig.check(changed)
    return expression.Error(fault) if fault else expression.Ok(changed)


def _changed_fields(
    config: fleetconfig.FleetConfig, change: Change
) -> dict[str, typing.Any]:
    match change:
        case CreateOrganisation(organisation=name):
            if name in config.organisations:
                _reject(f'organisations.{name}', f'{name!r} exists already')
            return _put_entry(config, 'organisations', name, change.limits)
        case SetLimits(organisation=name):
            _require(config.organisations, 'organisations', name)
            return _put_entry(config, 'organisations', name, change.limits)
        case IssueKey():
            return _issue_key(config, change)
        case WithdrawKey(key_id=key_id):
            if config.is_withdrawn(key_id):
                return {}
            return _remove_entry(config, 'keys', key_id)
        case PutRoute():
            return _put_entry(config, 'routes', change.route_id, change.route)
        case RemoveRoute():
            return _remove_entry(config, 'routes', change.route_id)
        case PutPreset():
            return _put_entry(config, 'presets', change.name, change.preset)
        case SwitchPreset(name=name):
            _require(config.presets, 'presets', name)
            return {'active_preset': name}
        case TakeDomainOut(domain=domain):
            out = {*config.domains_out, domain}
            return {'domains_out': tuple(sorted(out))}
        case BringDomainBack(domain=domain):
            _require(config.domains_out, 'domains_out', domain)
            out = {*config.domains_out} - {domain}
            return {'domains_out': tuple(sorted(out))}
        case PutOperator():
            operator = fleetconfig.Operator(digest=change.digest)
            return _put_entry(config, 'operators', change.name, operator)
        case RemoveOperator():
            return _remove_entry(config, 'operators', change.name)
        case ApplyDocument():
            return _replace_document(config, change.document)
        case _:
            typing.assert_never(change)


def _reject(path: str, problem: str) -> typing.NoReturn:
    raise _Rejected(errors.SettingsError(path, problem))


def _require(names: typing.Container[str], path: str, name: str) -> None:
    if name not in names:
        _reject(f'{path}.{name}', f'there is no {name!r}')


def _put_entry(
    config: fleetconfig.FleetConfig, field: str, name: str, value: object
) -> dict[str, typing.Any]:
    return {field: {**getattr(config, field), name: value}}


def _remove_entry(
    config: fleetconfig.FleetConfig, field: str, name: str
) -> dict[str, typing.Any]:
    entries = dict(getattr(config, field))
    _require(entries, field, name)
    del entries[name]
    return {field: entries}


def _issue_key(
    config: fleetconfig.FleetConfig, change: IssueKey
) -> dict[str, typing.Any]:
    _require(config.organisations, 'organisations', change.organisation)
    key = fleetconfig.Key(
        organisation=change.organisation, digest=change.digest
    )
    key_id = fleetconfig.key_id_of(config.next_key)
    fields = _put_entry(config, 'keys', key_id, key)
    fields['next_key'] = config.next_key + 1
    return fields


def _replace_document(
    config: fleetconfig.FleetConfig, document: fleetconfig.FleetConfig
) -> dict[str, typing.Any]:
    for key_id, key in document.keys.items():
        if config.keys.get(key_id) != key:
            _reject(
                f'keys.{key_id}', f'{key_id!r} is no key in force; issue it'
            )
    fields = msgspec.structs.asdict(document)
    for field in ('next_key', 'keys', 'operators'):
        fields[field] = getattr(config, field)
    return fields
