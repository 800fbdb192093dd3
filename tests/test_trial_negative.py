"""The checkers reject real histories in which a mechanism did nothing.

The run is real; what it skips is the mechanism itself: an operator's
change is recorded as accepted and never made, a stop is recorded as planned
and is a kill.
"""

import asyncio

from parsleystile import checks
from parsleystile import events
from parsleystile.invariants import Invariant
from tests import trial


async def _nothing_done(run):
    load = asyncio.create_task(run.load(5.0, 60))
    await asyncio.sleep(0.5)
    run.record(events.KeyWithdrawn(key_id='k2'))
    run.record(events.DomainOut(failure_domain='d1'))
    run.record(events.TargetLeaving(target_id='stock0-target'))
    run.record(events.ConfigAccepted(version=9, change_id='c9', preset='peak'))
    run.record(events.LimitsSet(organisation='org1', rate_per_s=1.0, burst=1))
    await load


async def _kill_for_a_stop(run):
    run.organisations = ['org1']
    load = asyncio.create_task(run.load(2.0, 150))
    await asyncio.sleep(1.0)
    run.record(events.StopPlanned(subject='reserve0'))
    node = run.nodes['reserve0']
    node.process.kill()
    node.process.wait()
    run.record(events.NodeStopped(subject='reserve0', exit_code=-9))
    await load


def _broken(past):
    return {violation.invariant for violation in checks.check(past)}


def test_changes_that_do_nothing_are_seen():
    assert _broken(trial.run(_nothing_done)) >= {
        Invariant.KEY_WITHDRAWN,
        Invariant.DOMAIN_OUT_IDLE,
        Invariant.LEAVING_TARGET_IDLE,
        Invariant.CONFIG_DURABLE,
        Invariant.RATE_LIMITED,
    }


def test_a_kill_is_no_planned_stop():
    past = trial.run(_kill_for_a_stop, specs_=trial.specs(work_ms=30))
    found = [
        violation
        for violation in checks.check(past)
        if violation.invariant is Invariant.STOP_GRACEFUL
    ]
    # Its exit code, and the requests that it cut.
    assert len(found) > 1
