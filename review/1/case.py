"""Machines are lost for good and their addresses are used again."""

import asyncio
import pathlib
import time

from review.standins import fleet as fleets
from review.standins import http11

CASE = pathlib.Path(__file__).resolve().parent

ZONES = ['savo-a'] * 3 + ['savo-b'] * 3 + ['savo-c'] * 3
OLD_SERVICE = 'huvo11a'
NEW_SERVICE = 'kafi81c'
SERVICES = ([OLD_SERVICE, NEW_SERVICE] * len(ZONES))[: len(ZONES)]
PATH = '/leny950/2f'
ADDRESS_REUSE_S = 2.0
SETTLE_S = 0.5
# Far beyond the stable window of 3 s: calm machines are in touch.
CALM_S = 18.0
CONFIG_APPLY_S = 2.0
WATCH_S = 12.0
PERIOD_S = 0.25


class Runs:
    """Which service ran each request."""

    def __init__(self) -> None:
        self.service: dict[str, str] = {}

    def watch(self, machine: fleets.Machine) -> None:
        """Note the requests of the backend of a machine."""

        def on_run(request: http11.Message) -> None:
            attempt_id = request.headers['parsleystile-attempt-id']
            self.service[attempt_id] = machine.server.service

        machine.server.on_run = on_run


async def replace(fleet: fleets.Fleet, runs: Runs, slot: int) -> None:
    """Lose a machine for good; another service gets its addresses."""
    lost = fleet.machines[slot]
    lost.crash()
    fleet.record.say(f'{lost.name} and its backend are lost for good')
    await asyncio.sleep(ADDRESS_REUSE_S + 0.2)
    is_old = lost.server.service == OLD_SERVICE
    added = lost.successor(NEW_SERVICE if is_old else OLD_SERVICE)
    runs.watch(added)
    fleet.machines[slot] = added
    await added.start()
    await fleet.wait_ready([added])
    fleet.record.say(
        f'{added.name} of {added.server.service} has its addresses'
    )
    await asyncio.sleep(SETTLE_S)


async def send_some(
    fleet: fleets.Fleet, runs: Runs, acknowledged_s: float
) -> dict[str, int]:
    """Send requests to all nodes; count those that the old service ran."""
    late: dict[str, int] = {}
    start_s = time.monotonic()
    i = 0
    while time.monotonic() - start_s < CONFIG_APPLY_S + WATCH_S:
        for machine in fleet.machines:
            i += 1
            attempt_id = f'r-{i}'
            after_s = time.monotonic() - acknowledged_s
            found = await http11.exchange(
                *machine.outbound,
                fleets.request('GET', PATH, attempt_id),
                5.0,
            )
            service = runs.service.get(attempt_id, 'none')
            fleet.record.write(
                f'{attempt_id} sent {after_s:.2f} s after the'
                f' acknowledgement to {machine.name}:'
                f' {found and found.status}, run by {service}'
            )
            if service == OLD_SERVICE and after_s > CONFIG_APPLY_S:
                late[machine.name] = late.get(machine.name, 0) + 1
        await asyncio.sleep(PERIOD_S)
    return late


async def body(fleet: fleets.Fleet, has_trouble: bool) -> bool:
    """Return whether all nodes took up the change in time."""

    def configuration(version: int, service: str) -> bytes:
        paths = [fleets.route('r-1', '/leny950/', 'safe', service)]
        return fleets.config(version, paths)

    await fleet.start(ZONES, SERVICES, configuration(7, OLD_SERVICE))
    runs = Runs()
    for machine in fleet.machines:
        runs.watch(machine)
    await asyncio.sleep(4.0)
    if has_trouble:
        for slot in range(len(ZONES)):
            await replace(fleet, runs, slot)
    await asyncio.sleep(CALM_S)
    await fleet.store.put('op', 'config', configuration(9, NEW_SERVICE))
    acknowledged_s = time.monotonic()
    fleet.record.say(f'the store acknowledges a route to {NEW_SERVICE}')
    late = await send_some(fleet, runs, acknowledged_s)
    for name, count in sorted(late.items()):
        fleet.record.say(
            f'{name}: {count} requests that were sent over {CONFIG_APPLY_S} s'
            f' after it were run by {OLD_SERVICE}'
        )
    if not runs.service:
        raise fleets.CaseError('nothing was served')
    return not late


if __name__ == '__main__':
    fleets.main(CASE, body)
