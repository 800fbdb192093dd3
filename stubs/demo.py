"""Shows a small fleet at work: ``make demo``.

Six nodes with their targets, three services in two failure domains and a
stand-in table run as processes of this machine. Callers of two
organisations and the public send requests through chains of up to three
services; an operator takes a failure domain out and back in meanwhile.
"""

import asyncio
import contextlib
import io
import os
import pathlib
import random
import sys

from parsleystile import cli
from parsleystile import render
from stubs import callers
from stubs import processes

_ROOT = pathlib.Path(__file__).parent.parent
_FLEET_FILE = 'examples/lavapuu/fleet.toml'
_DOMAINS = ('savo-1', 'savo-2')
# Each service calls the next; its targets do so for every call.
_CHAIN = (
    ('pickup-booking', '/reservations'),
    ('reservations', '/stock'),
    ('stock-catalogue', ''),
)
_PHASE_S = 5.0
_WORK_MS = 2.0
_HOUSEHOLDS = 'kuopio-households'
_SCOUTS = 'puijo-scouts'
_PUBLIC = 'public'


class DemoError(Exception):
    """The demo did not show what it should."""


def _command(*argv: str) -> str:
    """Run a command as an operator would; return what it printed."""
    print(f'$ parsleystile {" ".join(argv)}', flush=True)
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = cli.main(list(argv))
    if code:
        raise DemoError(f'{" ".join(argv)} ended with exit code {code}')
    return out.getvalue()


def _show(*argv: str) -> None:
    print(_command(*argv), flush=True)


def _start(fleet: processes.Fleet) -> None:
    fleet.start_table()
    for service, child in _CHAIN:
        options = [f'--work-ms={_WORK_MS}']
        if child:
            options.append(f'--child={child}')
        for domain in _DOMAINS:
            fleet.start_node(
                processes.NodeSpec(
                    f'{service}-{domain}',
                    service,
                    domain,
                    'savo',
                    tuple(options),
                )
            )


def _streams(
    fleet: processes.Fleet, households: str, scouts: str
) -> list[callers.Stream]:
    ports = tuple(node.caller_port for node in fleet.nodes.values())
    stream = callers.Stream
    return [
        stream(_HOUSEHOLDS, 'POST', '/pickups', 8, households, ports),
        stream(_HOUSEHOLDS, 'GET', '/reservations', 8, households, ports),
        # Three times the rate of this organisation.
        stream(_SCOUTS, 'GET', '/reservations', 15, scouts, ports),
        stream(_PUBLIC, 'GET', '/stock', 10, '', ports),
        stream(_PUBLIC, 'GET', '/reservations', 1, '', ports),
    ]


def _executed(fleet: processes.Fleet, domain: str) -> int:
    """Return how many calls the targets of a failure domain ran."""
    return sum(
        processes.get_json(
            f'http://127.0.0.1:{node.target_http_port}/control'
        )['executed']
        for node in fleet.nodes.values()
        if node.spec.failure_domain == domain
    )


def _table(tally: callers.Tally) -> str:
    rows = [
        (caller, outcome, count)
        for caller, counts in sorted(tally.outcomes.items())
        for outcome, count in sorted(counts.items())
    ]
    return render.text(render.table(('caller', 'outcome', 'requests'), rows))


async def _load(
    streams: list[callers.Stream], heading: str, seed: int
) -> callers.Tally:
    tally = callers.Tally()
    await callers.Callers(random.Random(seed), tally).run(streams, _PHASE_S)
    print(f'{heading}\n{_table(tally)}\n', flush=True)
    return tally


def _check(tallies: list[callers.Tally]) -> None:
    """Check what must hold in each phase."""
    for tally in tallies:
        counts = tally.outcomes
        for caller in (_HOUSEHOLDS, _SCOUTS, _PUBLIC):
            if not counts[caller]['answered']:
                raise DemoError(f'no request of {caller} was answered')
        if not counts[_PUBLIC]['not-run: key missing']:
            raise DemoError('a request without a key was let in')
        for outcome in ('wrong answer', 'no answer'):
            if tally.total(outcome):
                raise DemoError(f'{outcome}: {tally.total(outcome)} times')


def _run(fleet: processes.Fleet) -> None:
    _start(fleet)
    os.environ.update(fleet.operator_environment())
    _show('config', 'apply', _FLEET_FILE)
    households = _command('key', 'issue', _HOUSEHOLDS).split()[-1]
    scouts = _command('key', 'issue', _SCOUTS).split()[-1]
    streams = _streams(fleet, households, scouts)
    tallies = [asyncio.run(_load(streams, 'Ordinary', 1))]
    _show('domain', 'out', 'savo-2')
    before = _executed(fleet, 'savo-2')
    tallies.append(asyncio.run(_load(streams, 'savo-2 is out', 2)))
    ran = _executed(fleet, 'savo-2') - before
    print(f'Calls that targets of savo-2 ran meanwhile: {ran}\n')
    if ran:
        raise DemoError(f'a failure domain that is out ran {ran} calls')
    _show('domain', 'in', 'savo-2')
    tallies.append(asyncio.run(_load(streams, 'savo-2 is back', 3)))
    _show('report')
    _check(tallies)


def main() -> int:
    """Run the demo; return its exit code."""
    os.chdir(_ROOT)
    print('Starting 6 nodes, 6 targets and a table ...', flush=True)
    try:
        with processes.Fleet() as fleet:
            _run(fleet)
    except (DemoError, processes.FleetError) as exc:
        print(f'demo: {exc}', file=sys.stderr)
        return 1
    print('Every phase held what it should.')
    return 0


if __name__ == '__main__':
    sys.exit(main())
