"""Overload control layer for service call graphs.

The names below are the public interface of the library. Each is imported
lazily on first use, which keeps the start of the command line fast.
"""

import importlib
import typing

_MODULES = {
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
_ATTRIBUTES = {'run_daemon': 'run'}

__all__ = sorted(_MODULES)


def __getattr__(name: str) -> typing.Any:
    module_name = _MODULES.get(name)
    if module_name is None:
        raise AttributeError(f'module {__name__!r} has no {name!r}')
    module = importlib.import_module(f'{__name__}.{module_name}')
    return getattr(module, _ATTRIBUTES.get(name, name))
