"""Overload control layer for service call graphs.

The names below are the public interface of the library; each is loaded with
its module when first used, so that the command line stays quick to start.
"""

import importlib
import typing

_HOMES = {
    'Clock': 'clock',
    'Environment': 'node',
    'FleetConfig': 'fleetconfig',
    'Metrics': 'metrics',
    'Node': 'node',
    'NodeSettings': 'settings',
    'Outcome': 'errors',
    'ParsleystileError': 'errors',
    'Reason': 'errors',
    'Refusal': 'errors',
    'TableClient': 'table',
    'Transport': 'transport',
    'build_node': 'node',
    'load_settings': 'settings',
    'manual_clock': 'clock',
    'run_daemon': 'daemon',
    'system_clock': 'clock',
}
_RENAMED = {'run_daemon': 'run'}

__all__ = sorted(_HOMES)


def __getattr__(name: str) -> typing.Any:
    home = _HOMES.get(name)
    if home is None:
        raise AttributeError(f'module {__name__!r} has no {name!r}')
    module = importlib.import_module(f'{__name__}.{home}')
    return getattr(module, _RENAMED.get(name, name))
