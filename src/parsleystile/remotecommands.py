"""Execution of the commands that send requests to the fleet."""

import asyncio
import pathlib
import secrets
import sys
import typing

import expression
import msgspec

from parsleystile import changes
from parsleystile import commandinputs
from parsleystile import commands
from parsleystile import errors
from parsleystile import exitcodes
from parsleystile import fleetconfig
from parsleystile import formatting
from parsleystile import ids
from parsleystile import keys
from parsleystile import operatorclient
from parsleystile import render
from parsleystile import report
from parsleystile import reportformats

POLL_PERIOD_MS = 500
CHANGE_ID_BYTES = 12
MAX_SUBMIT_ATTEMPTS = 4
RETRY_DELAY_MS = 1000

Code = exitcodes.ExitCode
_OK = Code.ACCEPTED
_UNKNOWN = operatorclient.ChangeOutcome.UNKNOWN


def _command_failure(
    error: operatorclient.OperatorError,
) -> errors.CommandFailure:
    match error:
        case operatorclient.UnreachableError():
            hint = 'choose other nodes with --nodes'
            return errors.CommandFailure(f'{error}; {hint}', Code.UNREACHABLE)
        case operatorclient.RejectedError():
            return errors.CommandFailure(str(error), Code.REFUSED)
    return errors.CommandFailure(str(error), Code.UNREACHABLE)


def _unwrap(
    result: expression.Result[typing.Any, operatorclient.OperatorError],
) -> typing.Any:
    if result.is_error():
        raise _command_failure(result.error)
    return result.ok


def _hint(path: str) -> str:
    """Return which command lists the valid names for a refused change."""
    match path.partition('.')[0]:
        case 'presets':
            return '; see `preset list`'
        case 'organisations':
            return '; see `organisation list`'
        case 'keys':
            return '; see `key list`'
        case 'routes':
            return '; see `route list`'
        case 'domains_out':
            return '; see `domain list`'
    return ''


def _new_change_id() -> str:
    # The letter prevents Fire from parsing the id as a number.
    return f'c{secrets.token_hex(CHANGE_ID_BYTES)}'


class CommandRunner:
    """Runs one command against the fleet."""

    def __init__(
        self,
        client: operatorclient.OperatorClient,
        options: commands.Options,
    ) -> None:
        self._client = client
        self._options = options

    def _show(self, value: object, text: str) -> None:
        print(render.as_json(value) if self._options.is_json else text)

    @staticmethod
    def _print_progress(text: str) -> None:
        print(text, file=sys.stderr, flush=True)

    async def run(self, command: commands.RemoteCommand) -> Code:
        """Run a command and return its exit code."""
        match command:
            case commands.Submit(change=change):
                return await self._submit(change)
            case commands.IssueKey(organisation=name):
                return await self._issue_key(name)
            case commands.PutOperator(name=name):
                return await self._put_operator(name)
            case commands.EditRoute():
                return await self._edit_route(command)
            case commands.ListPart(part=part):
                return await self._list_part(part)
            case commands.ShowPreset(name=name):
                return await self._show_preset(name)
            case commands.ShowConfig():
                return await self._show_config()
            case commands.ApplyConfig(path=path):
                return await self._apply_document(
                    commandinputs.read_document(path)
                )
            case commands.ShowHistory():
                return await self._show_history()
            case commands.ShowResource(path=path):
                body = _unwrap(await self._client.get(path))
                answer = msgspec.json.decode(body)
                self._show(answer, formatting.json_text(answer))
                return _OK
            case commands.ShowStatus():
                return await self._show_status()
            case commands.Drain():
                _unwrap(await self._client.drain(self._client.nodes[0]))
                print(f'node {self._client.nodes[0]} is draining')
                return _OK
            case commands.Explain(root_id=root_id):
                return await self._explain(root_id)
            case commands.Report(form=form, output=output):
                return await self._report(form, output)
        raise TypeError(f'unknown command {command!r}')

    async def _config(self) -> operatorclient.ConfigAnswer:
        return _unwrap(await self._client.config())

    async def _document(self) -> fleetconfig.FleetConfig:
        return (await self._config()).document

    async def _apply_document(self, document: fleetconfig.FleetConfig) -> Code:
        """Apply a document; without keys of its own, keep those in force."""
        current = await self._config()
        in_force = current.document
        # Version and next key number are set by the fleet. With fixed values
        # here, the same file always results in the same change.
        merged = msgspec.structs.replace(
            document,
            version=ids.ConfigVersion(0),
            next_key=1,
            keys=document.keys or in_force.keys,
            operators=document.operators or in_force.operators,
        )
        change = changes.ApplyDocument(document=merged)
        return await self._submit(change, current.version)

    async def _show_history(self) -> Code:
        history = _unwrap(await self._client.history())
        if not history.is_complete:
            self._print_progress(
                'the table did not answer; showing only recent changes'
            )
        redacted = formatting.without_digests(msgspec.to_builtins(history))
        self._show(redacted, formatting.history_text(history))
        return _OK

    async def _submit(
        self,
        change: changes.Change,
        based_on: int | None = None,
        replacement_key: str = '',
        new_key: str = '',
    ) -> Code:
        answer = await self._submit_until_decided(change, based_on)
        if answer.outcome is operatorclient.ChangeOutcome.REFUSED:
            problem = ': '.join(filter(None, (answer.path, answer.reason)))
            raise errors.CommandFailure(
                f'refused: {problem}{_hint(answer.path)}', Code.REFUSED
            )
        key = f', key {answer.key_id}' if answer.key_id else ''
        self._print_progress(f'accepted as version {answer.version}{key}')
        if replacement_key:
            self._client.replace_key(replacement_key)
        code, domains = await self._wait_until_in_force(answer.version)
        text = formatting.in_force_text(answer.version, domains)
        if new_key:
            issued = formatting.IssuedKey(new_key, answer.version, domains)
            self._show(issued, f'{text}\n{new_key}' if text else new_key)
        elif domains or code is _OK:
            self._show(domains, text)
        return code

    async def _submit_until_decided(
        self, change: changes.Change, based_on: int | None
    ) -> operatorclient.ChangeAnswer:
        """Submit a change until its outcome is known, with one change id."""
        if not self._options.operator:
            raise errors.CommandFailure(
                'no operator given; use --operator NAME or set'
                ' PARSLEYSTILE_OPERATOR',
                Code.USAGE,
            )
        change_id = self._options.change_id
        change_id = change_id or _new_change_id()
        problem = ''
        for attempt in range(MAX_SUBMIT_ATTEMPTS):
            if attempt:
                self._print_progress(f'outcome unknown ({problem}); retrying')
                await asyncio.sleep(RETRY_DELAY_MS / 1000)
            result = await self._client.submit(change, change_id, based_on)
            match result:
                case expression.Result(tag='ok', ok=answer):
                    if answer.outcome is not _UNKNOWN:
                        return answer
                    problem = answer.reason
                case expression.Result(
                    error=operatorclient.NoAnswerError() as error
                ):
                    problem = str(error)
                case expression.Result(error=error):
                    if problem:
                        # An earlier attempt may have taken effect.
                        break
                    raise _command_failure(error)
        raise errors.CommandFailure(
            f'outcome unknown: {problem}; repeat the command with'
            f' --change-id={change_id} to find out',
            Code.UNKNOWN,
        )

    async def _wait_until_in_force(
        self, version: ids.ConfigVersion
    ) -> tuple[Code, operatorclient.InForceByDomain]:
        """Wait until all nodes have confirmed a version; print progress."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._options.wait_ms / 1000
        last_line = ''
        while True:
            result = await self._client.in_force(version)
            if result.is_error() and isinstance(
                result.error, operatorclient.RejectedError
            ):
                self._print_progress(str(result.error))
                return Code.NOT_YET_IN_FORCE, {}
            domains = result.ok if result.is_ok() else {}
            line = (
                formatting.in_force_line(domains)
                or 'waiting for confirmations'
            )
            if line != last_line:
                self._print_progress(line)
                last_line = line
            if domains and all(
                domain.in_force >= domain.total for domain in domains.values()
            ):
                return _OK, domains
            if loop.time() >= deadline_s:
                return Code.NOT_YET_IN_FORCE, domains
            await asyncio.sleep(POLL_PERIOD_MS / 1000)

    async def _issue_key(self, organisation: str) -> Code:
        key = keys.new_key()
        change = changes.IssueKey(
            organisation=organisation, digest=keys.fingerprint(key)
        )
        return await self._submit_with_key(change, key)

    async def _put_operator(self, name: str) -> Code:
        key = keys.new_key()
        change = changes.PutOperator(name=name, digest=keys.fingerprint(key))
        # The change that issues the new key invalidates the old one.
        replacement_key = key if name == self._options.operator else ''
        return await self._submit_with_key(change, key, replacement_key)

    async def _submit_with_key(
        self, change: changes.Change, key: str, replacement_key: str = ''
    ) -> Code:
        """Submit a change that issues a new key, and show the key once."""
        if self._options.change_id:
            raise errors.CommandFailure(
                'change-id: each attempt generates a new key; list the'
                ' keys, withdraw the uncertain one and issue another',
                Code.USAGE,
            )
        try:
            return await self._submit(
                change, replacement_key=replacement_key, new_key=key
            )
        except errors.CommandFailure as exc:
            if exc.code is Code.UNKNOWN:
                # The key is valid if the change did take effect.
                print(key)
            raise

    async def _edit_route(self, command: commands.EditRoute) -> Code:
        current = await self._config()
        routes = current.document.routes
        route = routes.get(command.route_id)
        if route is None:
            known = ', '.join(sorted(routes)) or 'none'
            raise errors.CommandFailure(
                f'routes.{command.route_id}: no such route; known: {known}',
                Code.REFUSED,
            )
        edited = msgspec.structs.replace(
            route, **{command.field: command.value}
        )
        change = changes.PutRoute(route_id=command.route_id, route=edited)
        return await self._submit(change, current.version)

    async def _list_part(self, part: commands.Listing) -> Code:
        document = await self._document()
        table = formatting.part_table(document, part)
        self._show(formatting.part_data(document, part), render.text(table))
        return _OK

    async def _show_preset(self, name: str) -> Code:
        document = await self._document()
        name = name or document.active_preset
        preset = document.presets.get(name)
        if preset is None:
            known = ', '.join(sorted(document.presets))
            raise errors.CommandFailure(
                f'presets.{name}: no such preset; known: {known}',
                Code.REFUSED,
            )
        self._show(preset, formatting.preset_text(document, name))
        return _OK

    async def _show_config(self) -> Code:
        document = msgspec.to_builtins(await self._document())
        print(render.as_json(formatting.without_digests(document)))
        return _OK

    async def _show_status(self) -> Code:
        code = _OK
        statuses = {}
        for node, result in await self._client.get_from_all('/v1/status'):
            if result.is_error():
                code = _command_failure(result.error).code
                statuses[str(node)] = {'problem': str(result.error)}
            else:
                statuses[str(node)] = msgspec.json.decode(result.ok)
        self._show(statuses, formatting.status_text(statuses))
        return code

    async def _explain(self, root_id: str) -> Code:
        explanations, failures = await operatorclient.fetch_explanations(
            self._client, root_id
        )
        for error in failures:
            self._print_progress(str(error))
        if not explanations:
            raise _command_failure(failures[0])
        self._show(explanations, formatting.explanation_text(explanations))
        return _OK if any(t.entries for t in explanations) else Code.REFUSED

    async def _report(self, form: commands.Format, output: str) -> Code:
        document = await self._document()
        snapshots, failures = await operatorclient.fetch_snapshots(
            self._client
        )
        for error in failures:
            self._print_progress(str(error))
        if not snapshots:
            raise _command_failure(failures[0])
        factor = document.preset.rate_factor
        limits = {
            name: report.Limit(o.rate_per_s * factor, o.burst)
            for name, o in document.organisations.items()
        }
        burn_report = report.build_report(
            snapshots, document.objectives, len(failures), limits
        )
        text = reportformats.render_as(burn_report, form.value)
        if output:
            pathlib.Path(output).write_text(text, encoding='utf-8')
        else:
            print(text)
        return _OK


async def execute(command: commands.RemoteCommand) -> Code:
    """Run a command against the fleet on the running event loop."""
    client = operatorclient.operator_client(
        commandinputs.client_settings(command.options)
    )
    return await CommandRunner(client, command.options).run(command)


def run(command: commands.RemoteCommand) -> Code:
    """Run a command against the fleet.

    Raises:
        errors.CommandFailure: The command was not carried out.
    """
    return asyncio.run(execute(command))
