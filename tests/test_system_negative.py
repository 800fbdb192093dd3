"""Negative controls: the checkers detect faults in histories of real runs.

Each run skips the mechanism under test: an operator's change is recorded as
accepted but never submitted, or a stop is recorded as planned but the
process is killed.
"""

import asyncio

from parsleystile import checks
from parsleystile import events
from parsleystile.invariants import Invariant
from tests import systemtest


async def _record_without_effect(system):
    load = asyncio.create_task(system.load(5.0, 60))
    await asyncio.sleep(0.5)
    system.record(events.KeyWithdrawn(key_id='k2'))
    system.record(events.DomainOut(failure_domain='d1'))
    system.record(events.TargetLeaving(target_id='stock0-target'))
    system.record(
        events.ConfigAccepted(version=9, change_id='c9', preset='peak')
    )
    system.record(
        events.LimitsSet(organisation='org1', rate_per_s=1.0, burst=1)
    )
    await load


async def _kill_instead_of_stop(system):
    system.organisations = ['org1']
    load = asyncio.create_task(system.load(2.0, 150))
    await asyncio.sleep(1.0)
    system.record(events.StopPlanned(subject='reserve0'))
    node = system.nodes['reserve0']
    node.process.kill()
    node.process.wait()
    system.record(events.NodeStopped(subject='reserve0', exit_code=-9))
    await load


def _violated_invariants(history):
    return {violation.invariant for violation in checks.check(history)}


def test_changes_without_effect_are_detected():
    assert _violated_invariants(systemtest.run(_record_without_effect)) >= {
        Invariant.KEY_WITHDRAWN,
        Invariant.DOMAIN_OUT_IDLE,
        Invariant.LEAVING_TARGET_IDLE,
        Invariant.CONFIG_DURABLE,
        Invariant.RATE_LIMITED,
    }


def test_a_kill_violates_the_graceful_stop():
    history = systemtest.run(
        _kill_instead_of_stop, node_specs=systemtest.specs(work_ms=30)
    )
    violations = [
        violation
        for violation in checks.check(history)
        if violation.invariant is Invariant.STOP_GRACEFUL
    ]
    # One for the exit code, and one for each request cut off.
    assert len(violations) > 1
