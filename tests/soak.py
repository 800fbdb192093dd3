"""Long runs of real processes with faults drawn from a seed.

``make soak SEED=7`` runs for a minute and prints what was done, what the
record holds, and each violation; it exits with 1 if there is any. The
faults and the load are those of the seed; how the processes interleave is
not.
"""

import argparse
import asyncio
import json
import random
import sys

from parsleystile import checks
from parsleystile import fleetconfig
from tests import systemtest

_SECONDS = 60.0
_PER_S = 80.0
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


class Soak:
    """Draws one disturbance after another; each is undone before the next.

    Two at a time: the platform may be away during any of the others.
    """

    def __init__(self, run, seed):
        self._run = run
        self._rng = random.Random(seed)
        self.done = []

    async def disturb(self, end_s):
        """Disturb until the loop's time is ``end_s``."""
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
            is_away = self._rng.random() < 0.4
            self.done.append(kind.__name__ + '+platform' * is_away)
            if is_away:
                self._run.set_platform_faults(**self._rng.choice(_OUTAGES))
            await kind()
            if is_away:
                self._run.set_platform_faults()
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))

    def _node(self):
        return self._rng.choice(list(self._run.nodes))

    async def _pause(self):
        name = self._node()
        self._run.pause(name)
        await asyncio.sleep(self._rng.uniform(0.2, 4.0))
        self._run.resume(name)

    async def _kill(self):
        name = self._node()
        self._run.kill(name)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        await self._run.replace(name)

    async def _stop(self):
        name = self._node()
        await self._run.stop(name)
        await self._run.replace(name)
        await asyncio.sleep(1.0)

    async def _switch(self):
        names = self._rng.sample(_PRESETS, 2)
        await asyncio.gather(
            *(
                self._run.submit_change(
                    {'kind': 'switch-preset', 'name': name}, via=self._node()
                )
                for name in names
            )
        )

    async def _domain_out(self):
        out = {'kind': 'take-domain-out', 'domain': 'd1'}
        back = {'kind': 'bring-domain-back', 'domain': 'd1'}
        await self._run.submit_change(out, via=self._node())
        await asyncio.sleep(self._rng.uniform(1.0, 5.0))
        # Whether the first took effect or not, the domain is wanted back.
        self._run.set_platform_faults()
        await self._run.submit_change(back, via=self._node())

    async def _target_anew(self):
        node = self._run.nodes[self._node()]
        await self._run.stop_target(node.spec.name)
        await asyncio.to_thread(self._run.fleet.start_target, node)


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    options = parser.parse_args(argv)
    disturbances = []

    async def script(run):
        soak = Soak(run, options.seed)
        disturbances.append(soak.done)
        end_s = asyncio.get_running_loop().time() + options.seconds
        load = asyncio.create_task(run.load(options.seconds + 3.0, _PER_S))
        await soak.disturb(end_s)
        await load

    past = systemtest.run(script, options.seed, organisations=_LIMITS)
    found = checks.check(past)
    print(json.dumps({'seed': options.seed, 'done': disturbances[0]}))
    print(json.dumps(checks.count_events(past)))
    for violation in found:
        print(violation)
    print(f'{len(found)} violations')
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
