"""The command line: ``parsleystile GROUP COMMAND ...``.

Fire only turns arguments into a command, a frozen data class; the command
runs after every argument was understood. A mistyped flag thus changes
nothing.
"""

import contextlib
import io
import sys

import expression
import fire

from parsleystile import commands
from parsleystile import console
from parsleystile import errors
from parsleystile import exitcodes
from parsleystile import keys
from parsleystile import logs
from parsleystile import overview
from parsleystile import settings as node_settings

PROGRAM = 'parsleystile'
_INTERRUPTED = 130


def _fail(problem: str, code: exitcodes.ExitCode) -> exitcodes.ExitCode:
    line = ' '.join(problem.split())
    print(f'{PROGRAM}: {line}', file=sys.stderr)
    return code


def parse(
    argv: list[str],
) -> expression.Result[commands.Command, errors.UsageError]:
    """Turn arguments into a command; help is an error without a problem."""
    if argv in (['--help'], ['-h'], ['help']):
        return expression.Error(errors.UsageError('', overview.text()))
    shown = io.StringIO()
    try:
        # Fire pages its help through another program on a terminal.
        with (
            contextlib.redirect_stdout(shown),
            contextlib.redirect_stderr(shown),
        ):
            found = fire.Fire(
                console.Console, command=argv, name=PROGRAM, serialize=str
            )
    except fire.core.FireExit as exc:
        if exc.code == 0:
            return expression.Error(errors.UsageError('', shown.getvalue()))
        problem = shown.getvalue().partition('\n')[0]
        return expression.Error(
            errors.UsageError(problem.removeprefix('ERROR: '), '')
        )
    except errors.UsageError as exc:
        return expression.Error(exc)
    if isinstance(found, commands.Command):
        return expression.Ok(found)
    problem = f'{" ".join(argv) or "no command"!r} is no whole command'
    return expression.Error(errors.UsageError(problem, ''))


def _run_node(settings_path: str) -> exitcodes.ExitCode:
    match node_settings.load_settings(settings_path):
        case expression.Result(tag='ok', ok=settings):
            # Operators' commands do without the node's modules.
            from parsleystile import daemon

            logs.setup(settings.identity.node_id)
            daemon.run(settings)
            return exitcodes.ExitCode.ACCEPTED
        case expression.Result(error=problem):
            return _fail(
                f'{settings_path}: {problem}', exitcodes.ExitCode.USAGE
            )


def _check_settings(path: str) -> exitcodes.ExitCode:
    match node_settings.load_settings(path):
        case expression.Result(tag='ok', ok=settings):
            where = settings.identity
            print(
                f'{path}: node {where.node_id} on VM {where.vm}'
                f' in {where.failure_domain}, region {where.region}: valid'
            )
            return exitcodes.ExitCode.ACCEPTED
        case expression.Result(error=problem):
            return _fail(f'{path}: {problem}', exitcodes.ExitCode.USAGE)


def _check_config(path: str) -> exitcodes.ExitCode:
    from parsleystile import access

    document = access.read_document(path)
    print(
        f'{path}: {len(document.organisations)} organisations,'
        f' {len(document.routes)} routes, {len(document.presets)} presets,'
        f' {document.active_preset} in force: valid'
    )
    return exitcodes.ExitCode.ACCEPTED


def _explain_log(call_id: str, path: str) -> exitcodes.ExitCode:
    from parsleystile.relay import logtrace

    try:
        with open(path, encoding='utf-8', errors='replace') as lines:
            found = logtrace.trace(call_id, lines)
    except OSError as exc:
        return _fail(f'{path}: {exc.strerror}', exitcodes.ExitCode.USAGE)
    print(found)
    return exitcodes.ExitCode.ACCEPTED


def run(command: commands.Command) -> exitcodes.ExitCode:
    """Run a command and return its exit code."""
    match command:
        case commands.RunNode(settings_path=path):
            return _run_node(path)
        case commands.CheckSettings(path=path):
            return _check_settings(path)
        case commands.CheckConfig(path=path):
            return _check_config(path)
        case commands.ExplainLog(call_id=call_id, path=path):
            return _explain_log(call_id, path)
        case commands.MakeKey():
            key = keys.new_key()
            print(f'key {key}\nfingerprint {keys.fingerprint(key)}')
            return exitcodes.ExitCode.ACCEPTED
        case commands.RemoteCommand():
            # A node starts faster without the client's modules.
            from parsleystile import operate

            return operate.run(command)
    raise TypeError(f'no way to run {command!r}')


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code.

    Args:
        argv: Arguments without the program's name; the process's if None.
    """
    match parse(sys.argv[1:] if argv is None else argv):
        case expression.Result(tag='ok', ok=command):
            pass
        case expression.Result(error=usage):
            if usage.help_text:
                print(usage.help_text, end='')
                return int(exitcodes.ExitCode.ACCEPTED)
            return int(_fail(f'{usage}; try --help', exitcodes.ExitCode.USAGE))
    try:
        return int(run(command))
    except errors.CommandFailure as exc:
        return int(_fail(str(exc), exc.code))
    except KeyboardInterrupt:
        return _INTERRUPTED
