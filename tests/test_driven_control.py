"""Simulations of control planes with racing operators and failures.

Tables fail, failure domains are cut off and nodes restart meanwhile.
"""

import asyncio
import dataclasses
import unittest.mock

from hypothesis import strategies as st
import pytest

from parsleystile import changes
from parsleystile import configservice
from parsleystile import configstore
from parsleystile import events
from parsleystile import fleetconfig
from parsleystile import history
from parsleystile.invariants import Invariant
from parsleystile import keys
from parsleystile import keywithdrawals
from stubs import controlfleet
from stubs import tablestate
from tests import driven

_SIZES = {'a': 2, 'b': 2, 'c': 2}
_STEP_MS = 500.0
_FINAL_WAIT_MS = 6000.0
_PRESETS = ('ordinary', 'peak', 'maintenance')
_ACCEPTED = configservice.ChangeOutcome.ACCEPTED


@dataclasses.dataclass(frozen=True)
class Step:
    """An operation, a number that selects its subject, and a wait."""

    kind: str
    number: int
    wait_ms: float


_KINDS = ['switch', 'race', 'withdraw', 'lost', 'refuse', 'mend', 'cut']
_KINDS += ['heal', 'restart', 'part']
_STEPS = st.builds(
    Step,
    kind=st.sampled_from(_KINDS),
    number=st.integers(0, 100),
    wait_ms=st.sampled_from([0.0, 500.0, 2000.0]),
)
_PLANS = st.lists(_STEPS, min_size=3, max_size=9)


class _Simulation:
    """One fleet of control planes and its event history."""

    def __init__(self, plan):
        self._plan = plan
        self._recorders = {}
        self._fleet = None
        self._key = keys.new_key()
        self._changes = 0

    def run(self):
        run = self

        class Node(controlfleet.ControlNode):
            def _apply_config(self, config):
                super()._apply_config(config)
                in_force = events.ConfigInForce(
                    version=config.version, preset=config.active_preset
                )
                run.record(self.member.node_id, in_force, self.clock)

        def make(fleet, *arguments):
            Node.clock = fleet.clock
            return Node(fleet, *arguments)

        with unittest.mock.patch.object(controlfleet, 'ControlNode', make):
            asyncio.run(self._main())
        return history.merge(r.entries for r in self._recorders.values())

    def record(self, node_id, event, clock=None):
        if node_id not in self._recorders:
            self._recorders[node_id] = history.memory_recorder(
                node_id, clock or self._fleet.clock
            )
        self._recorders[node_id].record(event)

    async def _main(self):
        self._fleet = await controlfleet.fleet(_SIZES, seed=1)
        try:
            for name in self._fleet.nodes:
                self.record(name, events.NodeStarted())
            await self._issue_key()
            for step in self._plan:
                await self._perform(step)
                await self._advance(step.wait_ms)
            await self._advance(_FINAL_WAIT_MS)
        finally:
            self._fleet.close()

    async def _issue_key(self):
        limits = fleetconfig.Organisation(rate_per_s=5, burst=10)
        await self._submit(
            'a-0', changes.CreateOrganisation(organisation='o', limits=limits)
        )
        digest = keys.fingerprint(self._key)
        issue = changes.IssueKey(organisation='o', digest=digest)
        await self._submit('a-0', issue)
        await self._advance(3000.0)

    async def _advance(self, for_ms):
        """Advance time; try the key at each node after each step."""
        while for_ms > 0:
            await self._fleet.run(_STEP_MS)
            for_ms -= _STEP_MS
            for name, node in self._fleet.nodes.items():
                if node.key_ring.authenticate(self._key) is not None:
                    self.record(name, _admitted_event())

    async def _submit(self, name, change):
        self._changes += 1
        request = configstore.ChangeRequest(
            change_id=f'c{self._changes}', operator='op', change=change
        )
        result = await self._fleet.nodes[name].plane.submit(request)
        if result.outcome is not _ACCEPTED:
            return
        match change:
            case changes.SwitchPreset(name=preset):
                accepted = events.ConfigAccepted(
                    version=result.version,
                    change_id=request.change_id,
                    preset=preset,
                )
                self.record('op', accepted)
            case changes.WithdrawKey(key_id=key_id):
                self.record('op', events.KeyWithdrawn(key_id=key_id))

    async def _perform(self, step):
        fleet = self._fleet
        names = sorted(fleet.nodes)
        name = names[step.number % len(names)]
        pairs = [('a', 'b'), ('a', 'c'), ('b', 'c')]
        match step.kind:
            case 'switch':
                preset = _PRESETS[step.number % 3]
                await self._run_concurrently(
                    self._submit(name, changes.SwitchPreset(name=preset))
                )
            case 'race':
                await self._run_concurrently(
                    self._submit(names[0], changes.SwitchPreset(name='peak')),
                    self._submit(name, changes.SwitchPreset(name='ordinary')),
                )
            case 'withdraw':
                await self._run_concurrently(
                    self._submit(name, changes.WithdrawKey(key_id='k1'))
                )
            case 'lost':
                fleet.table.faults.lost_answer_share = 0.5
            case 'refuse':
                fleet.table.faults.outage = tablestate.Outage.REFUSE
            case 'part':
                domain = 'abc'[step.number % 3]
                fleet.table.faults.reachable_domains = frozenset(domain)
            case 'mend':
                fleet.table.faults = tablestate.Faults()
            case 'cut':
                # The two domains still communicate through the third.
                fleet.partitions = {frozenset(pairs[step.number % 3])}
            case 'heal':
                fleet.partitions = set()
            case 'restart':
                domain = name[0]
                fleet.stop(name)
                self.record('op', _stopped_event(name))
                others = tuple(n.member.link for n in fleet.nodes.values())
                fleet.add(name, domain, others)
                self.record(name, events.NodeStarted())

    async def _run_concurrently(self, *submissions):
        """Run submissions concurrently while time advances."""
        tasks = [asyncio.ensure_future(s) for s in submissions]
        for _ in range(100):
            if all(task.done() for task in tasks):
                return
            await self._fleet.run(100.0)
        for task in tasks:
            task.cancel()


def _admitted_event():
    return events.Admitted(
        stage=events.Stage.INGRESS,
        root_id='',
        organisation='o',
        importance=1,
        rank=1.0,
        key_id='k1',
    )


def _stopped_event(name):
    return events.NodeStopped(subject=name, exit_code=-9)


_INVARIANTS = {Invariant.CONFIG_DURABLE, Invariant.KEY_WITHDRAWN}


def test_invariants_hold_across_control_planes():
    driven.assert_holds(
        _PLANS, lambda plan: _Simulation(plan).run(), _INVARIANTS, examples=60
    )


# Mechanism that is disabled: its owner and attribute, the substitute, and the
# invariant that it protects.
_DISABLED = {
    'withdrawals are not relayed': (
        keywithdrawals.KeyWithdrawals,
        'add_relayed',
        lambda self, key_ids: None,
        Invariant.KEY_WITHDRAWN,
    ),
    'newer versions are not fetched': (
        configservice.ConfigService,
        'fetch',
        lambda self, version, peer: None,
        Invariant.CONFIG_DURABLE,
    ),
}


@pytest.mark.parametrize('name', _DISABLED)
def test_disabling_a_mechanism_violates_its_invariant(name, monkeypatch):
    owner, attribute, substitute, invariant = _DISABLED[name]
    monkeypatch.setattr(owner, attribute, substitute)
    driven.assert_breaks(
        _PLANS, lambda plan: _Simulation(plan).run(), invariant, examples=60
    )
