"""Runs the commands that ask the fleet."""

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
from parsleystile import reportforms

POLL_MS = 500
CHANGE_ID_BYTES = 12
SUBMIT_TRIES = 4
RETRY_PAUSE_MS = 1000

Code = exitcodes.ExitCode
_OK = Code.ACCEPTED
_UNKNOWN = operatorclient.ChangeOutcome.UNKNOWN


def _failure(error: operatorclient.OperatorError) -> errors.CommandFailure:
    match error:
        case operatorclient.UnreachableError():
            remedy = 'name others with --nodes'
            return errors.CommandFailure(
                f'{error}; {remedy}', Code.UNREACHABLE
            )
        case operatorclient.RejectedError():
            return errors.CommandFailure(str(error), Code.REFUSED)
    return errors.CommandFailure(str(error), Code.UNREACHABLE)


def _value(
    got: expression.Result[typing.Any, operatorclient.OperatorError],
) -> typing.Any:
    if got.is_error():
        raise _failure(got.error)
    return got.ok


def _remedy(path: str) -> str:
    """Return which command shows what a refused change could name."""
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
    # The letter keeps Fire from reading the id as a number.
    return f'c{secrets.token_hex(CHANGE_ID_BYTES)}'


class Session:
    """One command against the fleet."""

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
    def _progress(text: str) -> None:
        print(text, file=sys.stderr, flush=True)

    async def run(self, command: commands.RemoteCommand) -> Code:
        """Run a command and return its exit code."""
        match command:
            case commands.Submit(change=change):
                return await self._submit(change)
            case commands.IssueKey(organisation=name):
                return await self._issue(name)
            case commands.PutOperator(name=name):
                return await self._put_operator(name)
            case commands.EditRoute():
                return await self._edit_route(command)
            case commands.ListPart(part=part):
                return await self._list(part)
            case commands.ShowPreset(name=name):
                return await self._show_preset(name)
            case commands.ShowConfig():
                return await self._show_config()
            case commands.ApplyConfig(path=path):
                return await self._apply(commandinputs.read_document(path))
            case commands.ShowHistory():
                return await self._history()
            case commands.ShowResource(path=path):
                body = _value(await self._client.get(path))
                answer = msgspec.json.decode(body)
                self._show(answer, formatting.json_text(answer))
                return _OK
            case commands.ShowStatus():
                return await self._status()
            case commands.Drain():
                _value(await self._client.drain(self._client.nodes[0]))
                print(f'node {self._client.nodes[0]} drains')
                return _OK
            case commands.Explain(root_id=root_id):
                return await self._explain(root_id)
            case commands.Report(form=form, output=output):
                return await self._report(form, output)
        raise TypeError(f'no way to run {command!r}')

    async def _config(self) -> operatorclient.ConfigAnswer:
        return _value(await self._client.config())

    async def _document(self) -> fleetconfig.FleetConfig:
        return (await self._config()).document

    async def _apply(self, document: fleetconfig.FleetConfig) -> Code:
        """Apply a file; it holds no keys, so those in force are kept."""
        current = await self._config()
        in_force = current.document
        # The fleet sets version and key number; the same file then makes
        # the same change whenever it is sent.
        kept = msgspec.structs.replace(
            document,
            version=ids.ConfigVersion(0),
            next_key=1,
            keys=document.keys or in_force.keys,
            operators=document.operators or in_force.operators,
        )
        change = changes.ApplyDocument(document=kept)
        return await self._submit(change, current.version)

    async def _history(self) -> Code:
        told = _value(await self._client.history())
        if not told.is_complete:
            self._progress('the table did not answer; only recent changes')
        shown = formatting.without_digests(msgspec.to_builtins(told))
        self._show(shown, formatting.history_text(told))
        return _OK

    async def _submit(
        self,
        change: changes.Change,
        based_on: int | None = None,
        own_key: str = '',
        new_key: str = '',
    ) -> Code:
        answer = await self._settled(change, based_on)
        if answer.outcome is operatorclient.ChangeOutcome.REFUSED:
            told = ': '.join(filter(None, (answer.path, answer.reason)))
            raise errors.CommandFailure(
                f'refused: {told}{_remedy(answer.path)}', Code.REFUSED
            )
        key = f', key {answer.key_id}' if answer.key_id else ''
        self._progress(f'accepted as version {answer.version}{key}')
        if own_key:
            self._client.use_key(own_key)
        code, domains = await self._await_in_force(answer.version)
        text = formatting.in_force_text(answer.version, domains)
        if new_key:
            issued = formatting.IssuedKey(new_key, answer.version, domains)
            self._show(issued, f'{text}\n{new_key}' if text else new_key)
        elif domains or code is _OK:
            self._show(domains, text)
        return code

    async def _settled(
        self, change: changes.Change, based_on: int | None
    ) -> operatorclient.ChangeAnswer:
        """Submit a change until its fate is known, under one change id."""
        if not self._options.operator:
            raise errors.CommandFailure(
                'no operator is named; write --operator NAME or set'
                ' PARSLEYSTILE_OPERATOR',
                Code.USAGE,
            )
        change_id = self._options.change_id
        change_id = change_id or _new_change_id()
        problem = ''
        for attempt in range(SUBMIT_TRIES):
            if attempt:
                self._progress(f'fate unknown ({problem}); asking again')
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)
            got = await self._client.submit(change, change_id, based_on)
            match got:
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
                        # An earlier try may have taken effect.
                        break
                    raise _failure(error)
        raise errors.CommandFailure(
            f'unknown: {problem}; repeat the command with'
            f' --change-id={change_id} to find out',
            Code.UNKNOWN,
        )

    async def _await_in_force(
        self, version: ids.ConfigVersion
    ) -> tuple[Code, operatorclient.InForceByDomain]:
        """Show progress by failure domain until all nodes confirmed."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + self._options.wait_ms / 1000
        shown = ''
        while True:
            got = await self._client.in_force(version)
            if got.is_error() and isinstance(
                got.error, operatorclient.RejectedError
            ):
                self._progress(str(got.error))
                return Code.NOT_YET_IN_FORCE, {}
            domains = got.ok if got.is_ok() else {}
            line = (
                formatting.in_force_line(domains)
                or 'waiting for confirmations'
            )
            if line != shown:
                self._progress(line)
                shown = line
            if domains and all(
                domain.in_force >= domain.total for domain in domains.values()
            ):
                return _OK, domains
            if loop.time() >= ends_s:
                return Code.NOT_YET_IN_FORCE, domains
            await asyncio.sleep(POLL_MS / 1000)

    async def _issue(self, organisation: str) -> Code:
        key = keys.new_key()
        change = changes.IssueKey(
            organisation=organisation, digest=keys.fingerprint(key)
        )
        return await self._submit_with_key(change, key)

    async def _put_operator(self, name: str) -> Code:
        key = keys.new_key()
        change = changes.PutOperator(name=name, digest=keys.fingerprint(key))
        # An operator's old key ends with the change that makes the new.
        own_key = key if name == self._options.operator else ''
        return await self._submit_with_key(change, key, own_key)

    async def _submit_with_key(
        self, change: changes.Change, key: str, own_key: str = ''
    ) -> Code:
        """Submit a change that gives a new key and show the key once."""
        if self._options.change_id:
            raise errors.CommandFailure(
                'change-id: each try makes a new key; list the keys,'
                ' withdraw the one in doubt and issue another',
                Code.USAGE,
            )
        try:
            return await self._submit(change, own_key=own_key, new_key=key)
        except errors.CommandFailure as exc:
            if exc.code is Code.UNKNOWN:
                # It works if the change took effect after all.
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

    async def _list(self, part: commands.Listing) -> Code:
        document = await self._document()
        shown = formatting.part_table(document, part)
        self._show(formatting.part_data(document, part), render.text(shown))
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

    async def _status(self) -> Code:
        code = _OK
        found = {}
        for node, got in await self._client.get_from_all('/v1/status'):
            if got.is_error():
                code = _failure(got.error).code
                found[str(node)] = {'problem': str(got.error)}
            else:
                found[str(node)] = msgspec.json.decode(got.ok)
        self._show(found, formatting.status_text(found))
        return code

    async def _explain(self, root_id: str) -> Code:
        told, failed = await operatorclient.fetch_explanations(
            self._client, root_id
        )
        for error in failed:
            self._progress(str(error))
        if not told:
            raise _failure(failed[0])
        self._show(told, formatting.explanation_text(told))
        return _OK if any(t.entries for t in told) else Code.REFUSED

    async def _report(self, form: commands.Format, output: str) -> Code:
        document = await self._document()
        found, failed = await operatorclient.fetch_snapshots(self._client)
        for error in failed:
            self._progress(str(error))
        if not found:
            raise _failure(failed[0])
        factor = document.preset.rate_factor
        limits = {
            name: report.Limit(o.rate_per_s * factor, o.burst)
            for name, o in document.organisations.items()
        }
        made = report.make(found, document.objectives, len(failed), limits)
        text = reportforms.render_as(made, form.value)
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
    return await Session(client, command.options).run(command)


def run(command: commands.RemoteCommand) -> Code:
    """Run a command against the fleet.

    Raises:
        errors.CommandFailure: If it did not do what it was asked to do.
    """
    return asyncio.run(execute(command))
