"""A new route lies below the path that clients send."""

import asyncio
import collections
import pathlib

from review.standins import fleet as fleets
from review.standins import http11

CASE = pathlib.Path(__file__).resolve().parent

FIRST_SERVICE = 'huvo11a'
ADDED_SERVICE = 'kafi81c'
FIRST_PREFIX = '/puka111/'
ADDED_PREFIX = '/puka111/2f/'
# The path is the one of the pages' example; the added prefix doesn't begin it.
PATH = '/puka111/2f'
CONTROLS = {'/puka111/3a': FIRST_SERVICE, '/puka111/2f/7': ADDED_SERVICE}
CONFIG_APPLY_S = 2.0
ROUNDS = 20
PERIOD_S = 0.1


def expected_service(path: str, prefixes: dict[str, str]) -> str:
    """Return the service of the longest prefix that begins a path."""
    fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
    return prefixes[max(fitting, key=len)] if fitting else ''


class Runs:
    """Which service ran each request."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self.service: dict[str, str] = {}

    def watch(self, machine: fleets.Machine) -> None:
        """Note the requests of the backend of a machine."""

        def on_run(request: http11.Message) -> None:
            attempt_id = request.headers['parsleystile-attempt-id']
            self.service[attempt_id] = machine.server.service
            self._fleet.record.write(
                f'{attempt_id} {request.start[0]} {request.start[1]} runs at'
                f' {machine.server.service}'
            )

        machine.server.on_run = on_run


async def send_all(
    fleet: fleets.Fleet, runs: Runs, paths: list[str], label: str
) -> list[tuple[str, str]]:
    """Send each path to each node; return the paths and who ran them."""
    found = []
    for i in range(ROUNDS):
        for machine in fleet.machines:
            for path in paths:
                slug = path.removeprefix(FIRST_PREFIX).replace('/', '-')
                attempt_id = f'{label}-{i}-{machine.name}-{slug}'
                answer = await http11.exchange(
                    *machine.outbound,
                    fleets.request('POST', path, attempt_id, body=b'x'),
                    5.0,
                )
                fleet.record.write(
                    f'{attempt_id} answered {answer and answer.status}'
                )
                found.append((path, runs.service.get(attempt_id, '')))
        await asyncio.sleep(PERIOD_S)
    return found


async def body(fleet: fleets.Fleet, has_trouble: bool) -> bool:
    """Return whether each request ran where a configuration allows it."""
    paths = [fleets.route('r-1', FIRST_PREFIX, 'unsafe', FIRST_SERVICE)]
    prefixes = {FIRST_PREFIX: FIRST_SERVICE}
    await fleet.start(
        ['savo-a', 'savo-b', 'savo-c', 'savo-a'],
        [FIRST_SERVICE, ADDED_SERVICE, FIRST_SERVICE, ADDED_SERVICE],
        fleets.config(7, paths),
    )
    runs = Runs(fleet)
    for machine in fleet.machines:
        runs.watch(machine)
    await asyncio.sleep(4.0)
    found = await send_all(fleet, runs, [PATH], 'before')
    if has_trouble:
        paths.append(fleets.route('r-2', ADDED_PREFIX, 'safe', ADDED_SERVICE))
        prefixes[ADDED_PREFIX] = ADDED_SERVICE
        await fleet.store.put('op', 'config', fleets.config(9, paths))
        fleet.record.say(f'the store acknowledges a route {ADDED_PREFIX}')
    await asyncio.sleep(CONFIG_APPLY_S)
    sent = [PATH, *(CONTROLS if has_trouble else ())]
    found += await send_all(fleet, runs, sent, 'after')
    wrong: collections.Counter[str] = collections.Counter()
    for path, service in found:
        if not service:
            raise fleets.CaseError(f'{path} was not run')
        if service != expected_service(path, prefixes):
            wrong[f'{path} was run by {service}'] += 1
    for text, count in wrong.items():
        fleet.record.say(f'{count} of {len(found)} requests: {text}')
    return not wrong


if __name__ == '__main__':
    fleets.main(CASE, body)
