"""Inputs of operators' commands from files and the environment."""

import os
import pathlib

from parsleystile import commands
from parsleystile import errors
from parsleystile import exitcodes
from parsleystile import fleetconfig
from parsleystile import operatorclient
from parsleystile import validation

KEY_VARIABLE = 'PARSLEYSTILE_OPERATOR_KEY'

Code = exitcodes.ExitCode


def read_key(options: commands.Options) -> str:
    """Read the operator's key from its file or the environment.

    Raises:
        errors.CommandFailure: There is no key, or it cannot be read.
    """
    if not options.key_file:
        key = os.environ.get(KEY_VARIABLE, '').strip()
        if key:
            return key
        raise errors.CommandFailure(
            f'no operator key; set {KEY_VARIABLE} or use --key-file',
            Code.USAGE,
        )
    try:
        key = pathlib.Path(options.key_file).read_text().strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.CommandFailure(f'key file: {exc}', Code.USAGE) from None
    if not key:
        raise errors.CommandFailure(
            f'key file: {options.key_file} is empty', Code.USAGE
        )
    return key


def read_document(path: str) -> fleetconfig.FleetConfig:
    """Read and validate a configuration document.

    Args:
        path: A TOML file, or a JSON file whose name ends in ``.json``.

    Raises:
        errors.CommandFailure: The file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.CommandFailure(f'file: {exc}', Code.USAGE) from None
    if path.endswith('.json'):
        decoded = fleetconfig.decode(text.encode())
    else:
        decoded = validation.decode_toml(
            text, fleetconfig.FleetConfig, 'document'
        )
    error = (
        decoded.error if decoded.is_error() else fleetconfig.check(decoded.ok)
    )
    if error is not None:
        raise errors.CommandFailure(f'{path}: {error}', Code.USAGE)
    return decoded.ok


def client_settings(
    options: commands.Options,
) -> operatorclient.ClientSettings:
    """Return the settings of the operator client for a command.

    Raises:
        errors.CommandFailure: No node or no key is given.
    """
    if not options.nodes:
        raise errors.CommandFailure(
            'no node given; use --nodes IP:PORT or set PARSLEYSTILE_NODES',
            Code.USAGE,
        )
    return operatorclient.ClientSettings(
        nodes=options.nodes,
        operator=options.operator,
        key=read_key(options),
        timeout_ms=options.timeout_ms,
    )
