"""Demonstrates a fleet of real processes: ``make demo``.

A chain of three services (reservations, stock-catalogue, yard-stock) runs
in two failure domains with a stub table. Four organisations send requests,
one of them far above its rate, while an operator takes a failure domain out
of service and brings it back. Exits with 0 if every property checked by
the run holds.
"""

import asyncio
import collections
import dataclasses
import itertools
import json
import pathlib
import random
import sys
import time
import typing

from tornado import curl_httpclient
from tornado import httpclient

from stubs import processes

_CONFIG = pathlib.Path(__file__).parent.parent / 'examples' / 'lavapuu'
_DOMAINS = ('savo-1', 'savo-2')
_SERVICES = ('reservations', 'stock-catalogue', 'yard-stock')
_CHILD_OPTIONS = {
    'reservations': ('--child=/stock/birch',),
    'stock-catalogue': ('--child=/yard/birch',),
    'yard-stock': (),
}
_WORK_MS = 4.0
_LOAD_DURATION_S = 15.0
_OUT_AT_S = 4.0
_BACK_AT_S = 9.0
# Longest time until all senders know that a domain is out.
_MAX_OUT_DELAY_S = 3.0
_SEED = 7


@dataclasses.dataclass(frozen=True, slots=True)
class _OrganisationLoad:
    """The load of one organisation.

    Attributes:
        rate_per_s: Rate limit, as in the example document.
        offered_per_s: Mean rate of requests sent.
    """

    name: str
    rate_per_s: float
    offered_per_s: float


_ORGANISATIONS = (
    _OrganisationLoad('kuopio-households', 120, 40),
    _OrganisationLoad('drivers', 30, 15),
    _OrganisationLoad('yard-staff', 30, 10),
    _OrganisationLoad('carpentry-guild', 8, 40),
)


class _Load:
    """Sends requests of all organisations and counts the outcomes."""

    def __init__(self, ports: list[int], keys: dict[str, str]) -> None:
        self._ports = ports
        self._keys = keys
        self._rng = random.Random(_SEED)
        self._numbers = itertools.count()
        self.outcomes: dict[str, collections.Counter[str]] = {
            organisation.name: collections.Counter()
            for organisation in _ORGANISATIONS
        }
        self.latencies_ms: list[float] = []
        self.reservations: list[str] = []

    async def run(self, seconds: float) -> None:
        """Send the load for a time and wait for the answers."""
        # The client is bound to the event loop that runs now.
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=500
        )
        async with asyncio.TaskGroup() as group:
            for organisation in _ORGANISATIONS:
                group.create_task(
                    self._send_load(organisation, seconds, group)
                )

    async def _send_load(
        self,
        organisation: _OrganisationLoad,
        seconds: float,
        group: asyncio.TaskGroup,
    ) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            group.create_task(self._send_request(organisation))
            await asyncio.sleep(
                self._rng.expovariate(organisation.offered_per_s)
            )

    async def _send_request(self, organisation: _OrganisationLoad) -> None:
        port = self._rng.choice(self._ports)
        headers = {'X-Api-Key': self._keys[organisation.name]}
        if self._rng.random() < 0.5:
            name = f'reservation-{next(self._numbers)}'
            headers['Idempotency-Key'] = name
            self.reservations.append(name)
            request = httpclient.HTTPRequest(
                f'http://127.0.0.1:{port}/reservations',
                method='POST',
                body=name,
                headers=headers,
            )
        else:
            request = httpclient.HTTPRequest(
                f'http://127.0.0.1:{port}/stock/birch', headers=headers
            )
        start_s = time.monotonic()
        answer = await self._client.fetch(request, raise_error=False)
        self.latencies_ms.append(1000 * (time.monotonic() - start_s))
        self.outcomes[organisation.name][_outcome(answer)] += 1


def _outcome(answer: httpclient.HTTPResponse) -> str:
    outcome = answer.headers.get('X-Parsleystile-Outcome', 'lost')
    if outcome == 'answered':
        return 'whole' if answer.code == 200 else 'broken'
    if answer.code == 429:
        return 'over rate'
    return outcome


def _start(fleet: processes.Fleet) -> None:
    fleet.start_table()
    for domain in _DOMAINS:
        for service in _SERVICES:
            name = f'{service}-{domain}'
            record = fleet.directory / f'{name}.record'
            fleet.start_node(
                processes.NodeSpec(
                    name,
                    service,
                    domain,
                    target_options=(
                        f'--work-ms={_WORK_MS}',
                        f'--record={record}',
                        *_CHILD_OPTIONS[service],
                    ),
                )
            )


def _wait_for_targets(fleet: processes.Fleet) -> None:
    def all_serve() -> bool:
        found = json.loads(fleet.run_command('target', 'list', '--json'))
        serving = [row for row in _target_rows(found) if row.get('service')]
        return len(serving) == len(fleet.nodes)

    processes.wait_for(all_serve, 'targets known to the fleet', timeout_s=30)


def _target_rows(document: typing.Any) -> list[dict[str, typing.Any]]:
    return document if isinstance(document, list) else document['members']


def _issue_keys(fleet: processes.Fleet) -> dict[str, str]:
    issued = {}
    for organisation in _ORGANISATIONS:
        answer = fleet.run_command('key', 'issue', organisation.name)
        issued[organisation.name] = answer.split()[-1]
    return issued


def _executions(
    fleet: processes.Fleet, domain: str, since_s: float, until_s: float
) -> int:
    """Count calls that targets of a domain started in an interval."""
    count = 0
    for service in _SERVICES:
        path = fleet.directory / f'{service}-{domain}.record'
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event['event'] == 'executed':
                count += since_s <= event['at_s'] < until_s
    return count


def _runs_per_reservation(
    fleet: processes.Fleet,
) -> collections.Counter[str]:
    runs: collections.Counter[str] = collections.Counter()
    for domain in _DOMAINS:
        path = fleet.directory / f'reservations-{domain}.record'
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event['event'] == 'executed' and event['body']:
                runs[event['body']] += 1
    return runs


def _print_table(load: _Load) -> None:
    columns = ('whole', 'over rate', 'not-run', 'unknown', 'broken', 'lost')
    header = f'{"organisation":<20}{"rate/s":>8}{"sent/s":>8}'
    print(header + ''.join(f'{c:>11}' for c in columns))
    for organisation in _ORGANISATIONS:
        counts = load.outcomes[organisation.name]
        row = f'{organisation.name:<20}{organisation.rate_per_s:>8.0f}'
        row += f'{organisation.offered_per_s:>8.0f}'
        print(row + ''.join(f'{counts[c]:>11}' for c in columns))


def _find_problems(
    load: _Load, runs: collections.Counter[str], late_calls: int
) -> list[str]:
    problems = []
    for organisation in _ORGANISATIONS:
        counts = load.outcomes[organisation.name]
        if not counts['whole']:
            problems.append(f'{organisation.name}: no whole answer')
        for kind in ('broken', 'lost'):
            if counts[kind]:
                problems.append(f'{organisation.name}: {counts[kind]} {kind}')
        if (
            organisation.offered_per_s < organisation.rate_per_s
            and counts['over rate']
        ):
            refused = counts['over rate']
            problems.append(
                f'{organisation.name}: {refused} refused inside rate'
            )
    twice = [name for name, count in runs.items() if count > 1]
    if twice:
        problems.append(f'run twice: {", ".join(twice[:5])}')
    if late_calls:
        problems.append(f'{late_calls} calls in a failure domain that was out')
    return problems


async def _run_scenario(
    fleet: processes.Fleet, load: _Load
) -> tuple[float, float]:
    """Run the load, take a domain out and back; return both times."""
    domain = _DOMAINS[1]

    async def command(at_s: float, *arguments: str) -> float:
        await asyncio.sleep(at_s)
        print(f'{at_s:5.1f} s  parsleystile {" ".join(arguments)}')
        await asyncio.to_thread(fleet.run_command, *arguments)
        return time.monotonic()

    async with asyncio.TaskGroup() as group:
        group.create_task(load.run(_LOAD_DURATION_S))
        out = group.create_task(command(_OUT_AT_S, 'domain', 'out', domain))
        back_at_s = time.monotonic() + _BACK_AT_S
        group.create_task(command(_BACK_AT_S, 'domain', 'in', domain))
    return out.result(), back_at_s


def main() -> int:
    """Run the demo; return the exit code."""
    with processes.Fleet() as fleet:
        print('starting 6 nodes, 6 targets and a stand-in table')
        _start(fleet)
        config = str(_CONFIG / 'fleet.toml')
        fleet.run_command('config', 'apply', config)
        keys = _issue_keys(fleet)
        _wait_for_targets(fleet)
        ports = [node.caller_port for node in fleet.nodes.values()]
        load = _Load(ports, keys)
        out_s, back_s = asyncio.run(_run_scenario(fleet, load))
        late_calls = _executions(
            fleet, _DOMAINS[1], out_s + _MAX_OUT_DELAY_S, back_s
        )
        runs = _runs_per_reservation(fleet)
        print()
        _print_table(load)
        latencies_ms = sorted(load.latencies_ms)
        print(
            f'\n{len(latencies_ms)} requests, median'
            f' {latencies_ms[len(latencies_ms) // 2]:.1f}'
            f' ms; {len(runs)} of {len(load.reservations)} reservations ran,'
            f' none more than {max(runs.values(), default=0)} times'
        )
        print(
            f'{_DOMAINS[1]}: {late_calls} calls began there while it was out'
        )
        print(fleet.run_command('report'))
        problems = _find_problems(load, runs, late_calls)
    for problem in problems:
        print(f'problem: {problem}')
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main())
