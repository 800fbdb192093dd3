"""What a command of an operator needs from files and the environment."""

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
    """Read the operator's key from its file or the environment."""
    if not options.key_file:
        key = os.environ.get(KEY_VARIABLE, '').strip()
        if key:
            return key
        raise errors.CommandFailure(
            f'no operator key; set {KEY_VARIABLE} or name a --key-file',
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
    """Read a TOML document of the fleet and check it whole."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.CommandFailure(f'file: {exc}', Code.USAGE) from None
    got = validation.decode_toml(text, fleetconfig.FleetConfig, 'document')
    fault = got.error if got.is_error() else fleetconfig.check(got.ok)
    if fault is not None:
        raise errors.CommandFailure(f'{path}: {fault}', Code.USAGE)
    return got.ok


def client_settings(
    options: commands.Options,
) -> operatorclient.ClientSettings:
    """Work out whom to ask and as whom.

    Raises:
        CommandFailure: No node or no key was named.
    """
    if not options.nodes:
        raise errors.CommandFailure(
            'no node is named; write --nodes IP:PORT or set'
            ' PARSLEYSTILE_NODES',
            Code.USAGE,
        )
    return operatorclient.ClientSettings(
        nodes=options.nodes,
        operator=options.operator,
        key=read_key(options),
        timeout_ms=options.timeout_ms,
    )
