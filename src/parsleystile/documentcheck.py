"""Checks of a valid configuration document before it is sent."""

import typing

import msgspec

from parsleystile import configfindings
from parsleystile import fleetconfig

_Findings = typing.Iterator[configfindings.Finding]


def findings(
    document: fleetconfig.FleetConfig,
) -> list[configfindings.Finding]:
    """Return what has no effect or contradicts itself in a document.

    Keys are not part of a document that is sent as a file, so that an
    organisation without one is no finding.
    """
    return [
        *_check_routes(document),
        *_check_organisations(document),
        *_check_presets(document),
    ]


def _check_routes(document: fleetconfig.FleetConfig) -> _Findings:
    level = document.preset.admission_level
    for route_id, route in document.routes.items():
        path = f'routes.{route_id}'
        importance = fleetconfig.IMPORTANCE_CLASSES[route.importance]
        if importance >= level:
            yield configfindings.error(
                path,
                f'class {route.importance.value!r} is not served under preset'
                f' {document.active_preset!r}, admission level {level:g}',
            )
        if len(set(route.methods)) < len(route.methods):
            yield configfindings.warning(
                f'{path}.methods', 'names a method twice'
            )
        if not document.organisations and not route.is_open:
            yield configfindings.error(
                path, 'needs a key, and no organisation can have one'
            )


def _check_organisations(document: fleetconfig.FleetConfig) -> _Findings:
    factor = document.preset.rate_factor
    if document.organisations and not factor:
        yield configfindings.error(
            f'presets.{document.active_preset}.rate_factor',
            'the preset in force gives every organisation a rate of 0',
        )
    is_keyed = any(not route.is_open for route in document.routes.values())
    if document.organisations and document.routes and not is_keyed:
        yield configfindings.warning(
            'organisations', 'no route needs a key, so no rate applies'
        )


def _check_presets(document: fleetconfig.FleetConfig) -> _Findings:
    for name, preset in document.presets.items():
        if name != document.active_preset and not preset.admission_level:
            yield configfindings.warning(
                f'presets.{name}.admission_level', 'refuses every request'
            )


def differences(
    before: fleetconfig.FleetConfig, after: fleetconfig.FleetConfig
) -> list[str]:
    """Return what changes if a document that is in force is replaced.

    Version, keys and operators stay as they are when a file is applied.
    """
    return list(configfindings.differences(_sent(before), _sent(after)))


def _sent(document: fleetconfig.FleetConfig) -> dict:
    plain = msgspec.to_builtins(document)
    for kept in ('version', 'keys', 'next_key', 'operators'):
        plain.pop(kept)
    return plain
