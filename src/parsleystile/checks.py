"""Checks a recorded history against all invariants.

Operators can check the records of a rehearsal; tests check every history
that they record. A checker accepts a history without relevant events, so
look at ``count_events`` as well before relying on a result.
"""

import collections
import typing

from parsleystile import call_checks
from parsleystile import events
from parsleystile import fleet_checks
from parsleystile import invariants
from parsleystile.invariants import Invariant
from parsleystile import load_checks

Checker = typing.Callable[
    [events.History, invariants.Bounds], list[invariants.Violation]
]

CHECKERS: dict[Invariant, Checker] = {
    Invariant.RETRIES_BOUNDED: call_checks.check_retries_bounded,
    Invariant.IMPORTANT_SHED_LAST: load_checks.check_important_shed_last,
    Invariant.ORGANISATION_ISOLATED: call_checks.check_organisation_isolated,
    Invariant.KEY_CONFIDENTIAL: call_checks.check_key_confidential,
    Invariant.KEY_WITHDRAWN: fleet_checks.check_key_withdrawn,
    Invariant.RATE_LIMITED: load_checks.check_rate_limited,
    Invariant.COLD_TARGET_SPARED: load_checks.check_cold_target_spared,
    Invariant.DOMAIN_OUT_IDLE: fleet_checks.check_domain_out_idle,
    Invariant.ANSWER_WHOLE: call_checks.check_answer_whole,
    Invariant.NOT_RUN_TRUE: call_checks.check_not_run_true,
    Invariant.AT_MOST_ONCE: call_checks.check_at_most_once,
    Invariant.LEAVING_TARGET_IDLE: fleet_checks.check_leaving_target_idle,
    Invariant.STOP_GRACEFUL: fleet_checks.check_stop_graceful,
    Invariant.CONFIG_DURABLE: fleet_checks.check_config_durable,
}


def check(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Return all violations of all invariants in order of time."""
    violations = [
        violation
        for checker in CHECKERS.values()
        for violation in checker(history, bounds)
    ]
    return sorted(violations, key=lambda violation: violation.at_ms)


def count_events(history: events.History) -> dict[str, int]:
    """Return the number of events of each type in a history."""
    counts = collections.Counter(
        type(occurrence.event).__name__ for occurrence in history
    )
    return dict(sorted(counts.items()))
