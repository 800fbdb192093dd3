"""The command line: ``parsleystile GROUP COMMAND ...``.

Fire only parses the arguments into a command, a frozen data class. The command
runs after all arguments are parsed, so a mistyped flag changes nothing.
"""

import contextlib
import gc
import io
import sys
import typing

import expression
import fire

from parsleystile import clihelp
from parsleystile import commands
from parsleystile import console
from parsleystile import errors
from parsleystile import exitcodes
from parsleystile import keys
from parsleystile import logs
from parsleystile import settings as node_settings

PROGRAM = 'parsleystile'
_INTERRUPTED_EXIT_CODE = 130


def _print_error(problem: str, code: exitcodes.ExitCode) -> exitcodes.ExitCode:
    line = ' '.join(problem.split())
    print(f'{PROGRAM}: {line}', file=sys.stderr)
    return code


@contextlib.contextmanager
def _collector_paused() -> typing.Iterator[None]:
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def parse(
    argv: list[str],
) -> expression.Result[commands.Command, errors.UsageError]:
    """Parse arguments into a command.

    A request for help is returned as an error with a help text and no
    problem.
    """
    if argv in (['--help'], ['-h'], ['help']):
        return expression.Error(errors.UsageError('', clihelp.text()))
    output = io.StringIO()
    try:
        # On a terminal Fire would show its help in a pager.
        with (
            # Fire parses values with ``ast``, which in Python 3.11.6 fails
            # if the collector runs meanwhile.
            _collector_paused(),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            result = fire.Fire(
                console.Console, command=argv, name=PROGRAM, serialize=str
            )
    except fire.core.FireExit as exc:
        if exc.code == 0:
            return expression.Error(errors.UsageError('', output.getvalue()))
        problem = output.getvalue().partition('\n')[0]
        return expression.Error(
            errors.UsageError(problem.removeprefix('ERROR: '), '')
        )
    except errors.UsageError as exc:
        return expression.Error(exc)
    if isinstance(result, commands.Command):
        return expression.Ok(result)
    problem = f'{" ".join(argv) or "no command"!r} is not a complete command'
    return expression.Error(errors.UsageError(problem, ''))


def _run_node(settings_path: str) -> exitcodes.ExitCode:
    match node_settings.load_settings(settings_path):
        case expression.Result(tag='ok', ok=settings):
            # Imported here to keep the start of other commands fast.
            from parsleystile import daemon

            logs.setup(settings.identity.node_id)
            daemon.run(settings)
            return exitcodes.ExitCode.ACCEPTED
        case expression.Result(error=problem):
            return _print_error(
                f'{settings_path}: {problem}', exitcodes.ExitCode.USAGE
            )


def _check_settings(path: str) -> exitcodes.ExitCode:
    match node_settings.load_settings(path):
        case expression.Result(tag='ok', ok=settings):
            identity = settings.identity
            print(
                f'{path}: node {identity.node_id} on VM {identity.vm}'
                f' in {identity.failure_domain}, region {identity.region}:'
                ' valid'
            )
            return exitcodes.ExitCode.ACCEPTED
        case expression.Result(error=problem):
            return _print_error(f'{path}: {problem}', exitcodes.ExitCode.USAGE)


def _check_config(path: str, in_force_path: str) -> exitcodes.ExitCode:
    from parsleystile import commandinputs
    from parsleystile import configfindings
    from parsleystile import documentcheck

    document = commandinputs.read_document(path)
    findings = documentcheck.findings(document)
    changes = None
    if in_force_path:
        in_force = commandinputs.read_document(in_force_path)
        changes = documentcheck.differences(in_force, document)
    report = configfindings.report(findings, changes)
    if report:
        print(report)
    if configfindings.has_errors(findings):
        return _print_error(
            f'{path}: entries that cannot work', exitcodes.ExitCode.USAGE
        )
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
            result = logtrace.trace(call_id, lines)
    except OSError as exc:
        return _print_error(
            f'{path}: {exc.strerror}', exitcodes.ExitCode.USAGE
        )
    print(result)
    return exitcodes.ExitCode.ACCEPTED


def _show_fleet(address: str, is_json: bool) -> exitcodes.ExitCode:
    from parsleystile import fleettable
    from parsleystile import render

    status = fleettable.fetch(address)
    print(render.as_json(status) if is_json else fleettable.text(status))
    return exitcodes.ExitCode.ACCEPTED


def run(command: commands.Command) -> exitcodes.ExitCode:
    """Run a command and return its exit code."""
    match command:
        case commands.RunNode(settings_path=path):
            return _run_node(path)
        case commands.CheckSettings(path=path):
            return _check_settings(path)
        case commands.CheckConfig(path=path, in_force_path=in_force_path):
            return _check_config(path, in_force_path)
        case commands.ExplainLog(call_id=call_id, path=path):
            return _explain_log(call_id, path)
        case commands.ShowFleet(address=address, is_json=is_json):
            return _show_fleet(address, is_json)
        case commands.GenerateKey():
            key = keys.new_key()
            print(f'key {key}\nfingerprint {keys.fingerprint(key)}')
            return exitcodes.ExitCode.ACCEPTED
        case commands.RemoteCommand():
            # Imported here to keep the start of a node fast.
            from parsleystile import remotecommands

            return remotecommands.run(command)
    raise TypeError(f'unknown command {command!r}')


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code.

    Args:
        argv: Arguments without the program's name; by default those of the
            process.
    """
    match parse(sys.argv[1:] if argv is None else argv):
        case expression.Result(tag='ok', ok=command):
            pass
        case expression.Result(error=usage):
            if usage.help_text:
                print(usage.help_text, end='')
                return int(exitcodes.ExitCode.ACCEPTED)
            return int(
                _print_error(f'{usage}; try --help', exitcodes.ExitCode.USAGE)
            )
    try:
        return int(run(command))
    except errors.CommandFailure as exc:
        return int(_print_error(str(exc), exc.code))
    except KeyboardInterrupt:
        return _INTERRUPTED_EXIT_CODE
