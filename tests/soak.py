"""Runs real processes with faults drawn from a seed.

``make soak SEED=7`` runs for a minute and prints the injected faults, the
number of recorded events by type, and each violation of an invariant; it
exits with 1 if there is any violation.
The seed determines the faults and the load, but not the interleaving of
the processes.
"""

import argparse
import asyncio
import json
import random
import sys

from parsleystile import checks
from parsleystile import fleetconfig
from tests import systemtest

_DURATION_S = 60.0
_REQUESTS_PER_S = 80.0
_LIMITS = {
    'org1': fleetconfig.Organisation(rate_per_s=400.0, burst=200),
    'org2': fleetconfig.Organisation(rate_per_s=20.0, burst=10),
}
_PRESETS = ('ordinary', 'peak', 'maintenance')
_OUTAGES = (
    {'outage': 'refuse'},
    {'outage': 'hang'},
    {'outage': 'reset'},
    {'lost_answer_share': 0.5},
    {'delay_ms': 300},
    {'reachable_domains': ['d0']},
)


class FaultInjector:
    """Injects random faults one after another, each undone before the next.

    A table outage may coincide with any of the other faults.

    Attributes:
        injected: Names of the faults injected so far.
    """

    def __init__(self, run, seed):
        self._run = run
        self._rng = random.Random(seed)
        self.injected = []

    async def inject_faults(self, end_s):
        """Inject faults until the time of the loop is ``end_s``."""
        loop = asyncio.get_running_loop()
        kinds = [
            self._pause,
            self._kill,
            self._stop,
            self._switch,
            self._domain_out,
            self._target_anew,
        ]
        while loop.time() < end_s:
            kind = self._rng.choice(kinds)
            has_outage = self._rng.random() < 0.4
            self.injected.append(kind.__name__ + '+platform' * has_outage)
            if has_outage:
                self._run.set_platform_faults(**self._rng.choice(_OUTAGES))
            await kind()
            if has_outage:
                self._run.set_platform_faults()
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))

    def _random_node(self):
        return self._rng.choice(list(self._run.nodes))

    async def _pause(self):
        name = self._random_node()
        self._run.pause(name)
        await asyncio.sleep(self._rng.uniform(0.2, 4.0))
        self._run.resume(name)

    async def _kill(self):
        name = self._random_node()
        self._run.kill(name)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        await self._run.replace(name)

    async def _stop(self):
        name = self._random_node()
        await self._run.stop(name)
        await self._run.replace(name)
        await asyncio.sleep(1.0)

    async def _switch(self):
        names = self._rng.sample(_PRESETS, 2)
        await asyncio.gather(
            *(
                self._run.submit_change(
                    {'kind': 'switch-preset', 'name': name},
                    via=self._random_node(),
                )
                for name in names
            )
        )

    async def _domain_out(self):
        out = {'kind': 'take-domain-out', 'domain': 'd1'}
        back = {'kind': 'bring-domain-back', 'domain': 'd1'}
        await self._run.submit_change(out, via=self._random_node())
        await asyncio.sleep(self._rng.uniform(1.0, 5.0))
        # The first change may not have been applied; bring the domain back
        # in either case.
        self._run.set_platform_faults()
        await self._run.submit_change(back, via=self._random_node())

    async def _target_anew(self):
        node = self._run.nodes[self._random_node()]
        await self._run.stop_target(node.spec.name)
        await asyncio.to_thread(self._run.fleet.start_target, node)


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_DURATION_S)
    options = parser.parse_args(argv)
    injected = []

    async def script(run):
        injector = FaultInjector(run, options.seed)
        injected.append(injector.injected)
        end_s = asyncio.get_running_loop().time() + options.seconds
        load = asyncio.create_task(
            run.load(options.seconds + 3.0, _REQUESTS_PER_S)
        )
        await injector.inject_faults(end_s)
        await load

    history = systemtest.run(script, options.seed, organisations=_LIMITS)
    violations = checks.check(history)
    print(json.dumps({'seed': options.seed, 'done': injected[0]}))
    print(json.dumps(checks.count_events(history)))
    for violation in violations:
        print(violation)
    print(f'{len(violations)} violations')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
