"""Checkers of the invariants about rate limits, shedding and cold targets."""

import collections
import dataclasses
import itertools

from parsleystile import context
from parsleystile import errors
from parsleystile import events
from parsleystile import ids
from parsleystile import invariants
from parsleystile.invariants import Invariant

_SHED_REASONS = frozenset({errors.Reason.SHED, errors.Reason.QUEUE_FULL})
# Requests; covers the rounding errors of a token bucket in a long history.
_ROUNDING_TOLERANCE = 1e-6
# Maximum number of window starts tried, to limit the checker's run time.
_MAX_WINDOW_STARTS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class _ClassWindow:
    """Identifies the calls of one class at one stage in one window."""

    node_id: ids.NodeId
    stage: events.Stage
    window: int
    importance: context.Importance


def _is_shed(event: events.Event) -> bool:
    return isinstance(event, events.Refused) and event.reason in _SHED_REASONS


def check_important_shed_last(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that nodes do not shed more of a more important class.

    Compares the ratio of shed calls per node, stage and window.
    """
    # A call may be recorded more than once, for example when a later stage
    # sheds it.
    offered: dict[_ClassWindow, set[ids.RootId]] = collections.defaultdict(set)
    shed: dict[_ClassWindow, set[ids.RootId]] = collections.defaultdict(set)
    for occurrence in history:
        match occurrence.event:
            case events.Admitted() | events.Refused():
                # Calls refused for other reasons, such as the rate limit,
                # are no candidates for shedding and would dilute the ratio.
                if isinstance(
                    occurrence.event, events.Refused
                ) and not _is_shed(occurrence.event):
                    continue
                class_window = _ClassWindow(
                    occurrence.node_id,
                    occurrence.event.stage,
                    int(occurrence.at_ms // bounds.shed_window_ms),
                    occurrence.event.importance,
                )
                offered[class_window].add(occurrence.event.root_id)
                if _is_shed(occurrence.event):
                    shed[class_window].add(occurrence.event.root_id)
    violations = []
    for important in sorted(
        offered, key=lambda class_window: class_window.window
    ):
        for importance in context.Importance:
            less_important = dataclasses.replace(
                important, importance=importance
            )
            if (
                importance <= important.importance
                or less_important not in offered
            ):
                continue
            if (
                min(len(offered[important]), len(offered[less_important]))
                < bounds.min_shed_sample
            ):
                continue
            important_ratio = len(shed[important]) / len(offered[important])
            less_important_ratio = len(shed[less_important]) / len(
                offered[less_important]
            )
            if important_ratio > less_important_ratio + bounds.shed_tolerance:
                violations.append(
                    invariants.Violation(
                        Invariant.IMPORTANT_SHED_LAST,
                        important.window * bounds.shed_window_ms,
                        important.node_id,
                        f'shed {important_ratio:.2f} of '
                        f'{important.importance.name}, '
                        f'{less_important_ratio:.2f} of {importance.name}',
                    )
                )
    return violations


@dataclasses.dataclass(frozen=True, slots=True)
class _Limits:
    """Rate limit of an organisation from ``from_ms`` on."""

    from_ms: float
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class _TokenUse:
    """Tokens that an organisation's requests consumed at one time."""

    at_ms: float
    amount: float


def check_rate_limited(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that no window has more requests than rate and burst allow.

    Checks the tokens that nodes consumed and, separately, the root requests
    that targets executed: a request sent after a and executed before b was
    admitted in between.
    """
    limits: dict[ids.OrganisationId, list[_Limits]] = {}
    for occurrence in events.of_kind(history, events.LimitsSet):
        limits.setdefault(occurrence.event.organisation, []).append(
            _Limits(
                occurrence.at_ms,
                occurrence.event.rate_per_s,
                occurrence.event.burst,
            )
        )
    violations = []
    for organisation, changes in limits.items():
        token_uses = [
            _TokenUse(occurrence.at_ms, occurrence.event.amount)
            for occurrence in events.of_kind(history, events.QuotaTaken)
            if occurrence.event.organisation == organisation
        ]
        violations += _excess_token_uses(
            organisation, token_uses, changes, bounds
        )
        violations += _excess_executions(
            organisation, history, changes, bounds
        )
    return violations


def _loosest_limits_at(
    changes: list[_Limits], at_ms: float, bounds: invariants.Bounds
) -> _Limits:
    """Return the loosest limits that a node may apply at a time."""
    current = [s for s in changes if s.from_ms <= at_ms][-1:] or changes[:1]
    replaced = [
        old
        for old, new in itertools.pairwise(changes)
        if old.from_ms <= at_ms and at_ms < new.from_ms + bounds.config_ms
    ]
    applicable = current + replaced
    return _Limits(
        at_ms,
        max(s.rate_per_s for s in applicable),
        max(s.burst for s in applicable),
    )


def _excess_token_uses(
    organisation: ids.OrganisationId,
    token_uses: list[_TokenUse],
    changes: list[_Limits],
    bounds: invariants.Bounds,
) -> list[invariants.Violation]:
    """Simulate one token bucket for the fleet and find where it overdraws.

    It overdraws if and only if some window has more requests than its
    length times the rate plus the burst.
    """
    violations = []
    tokens = None
    last_ms = 0.0
    for token_use in token_uses:
        limits = _loosest_limits_at(changes, token_use.at_ms, bounds)
        if tokens is None:
            tokens = limits.burst
        refill = (token_use.at_ms - last_ms) * limits.rate_per_s / 1000
        tokens = min(limits.burst, tokens + refill) - token_use.amount
        last_ms = token_use.at_ms
        if tokens < -_ROUNDING_TOLERANCE:
            violations.append(
                invariants.Violation(
                    Invariant.RATE_LIMITED,
                    token_use.at_ms,
                    organisation,
                    f'{-tokens:.3f} requests over {limits.rate_per_s:g}/s '
                    f'and a burst of {limits.burst:g}',
                )
            )
            # Report one excess once, not again for each later request.
            tokens = 0.0
    return violations


def _excess_executions(
    organisation: ids.OrganisationId,
    history: events.History,
    changes: list[_Limits],
    bounds: invariants.Bounds,
) -> list[invariants.Violation]:
    """Find windows in which targets ran more root requests than allowed."""
    sent_ms = {
        occurrence.event.request_id: occurrence.at_ms
        for occurrence in events.of_kind(history, events.RequestSent)
        if occurrence.event.organisation == organisation
        and occurrence.event.request_id == occurrence.event.root_request_id
    }
    first_run_ms: dict[str, float] = {}
    for occurrence in events.of_kind(history, events.Executed):
        if occurrence.event.request_id in sent_ms:
            first_run_ms.setdefault(
                occurrence.event.request_id, occurrence.at_ms
            )
    starts = sorted(sent_ms[request_id] for request_id in first_run_ms)
    stride = max(1, len(starts) // _MAX_WINDOW_STARTS)
    violations = []
    for start_ms in starts[::stride]:
        run_times_ms = [
            end_ms
            for request_id, end_ms in first_run_ms.items()
            if sent_ms[request_id] >= start_ms
        ]
        for count, end_ms in enumerate(sorted(run_times_ms), start=1):
            limits = _loosest_limits_at(changes, end_ms, bounds)
            maximum = limits.burst + (
                (end_ms - start_ms) * limits.rate_per_s / 1000
            )
            if count > maximum + _ROUNDING_TOLERANCE:
                violations.append(
                    invariants.Violation(
                        Invariant.RATE_LIMITED,
                        end_ms,
                        organisation,
                        f'targets ran {count} requests in '
                        f'{end_ms - start_ms:.0f} ms, at most {maximum:.1f} '
                        'allowed',
                    )
                )
                break
    return violations


@dataclasses.dataclass(slots=True)
class _TargetLoad:
    """Capacity of a target and the requests that it is running.

    Attributes:
        slots: Maximum concurrent requests at the target's current capacity.
        allowed: Maximum concurrent requests that the system may send: more
            than ``slots`` while a drop may still be undetected.
        strict_from_ms: Time at which ``allowed`` falls to ``slots``.
    """

    slots: int
    allowed: int
    strict_from_ms: float
    running: set[str] = dataclasses.field(default_factory=set)


def check_cold_target_spared(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that no target exceeds its current capacity."""
    targets: dict[ids.TargetId, _TargetLoad] = {}
    violations = []
    for occurrence in history:
        match occurrence.event:
            case events.TargetCapacity():
                _set_capacity(targets, occurrence, bounds)
            case events.ExecutionEnded(target_id=target_id):
                if target_id in targets:
                    targets[target_id].running.discard(
                        occurrence.event.request_id
                    )
            case events.Executed(target_id=target_id):
                if target_id in targets:
                    violations += _excess_concurrency(
                        targets[target_id], occurrence
                    )
    return violations


def _set_capacity(
    targets: dict[ids.TargetId, _TargetLoad],
    occurrence: events.Occurrence,
    bounds: invariants.Bounds,
) -> None:
    slots = occurrence.event.slots
    target = targets.get(occurrence.event.target_id)
    if target is None or occurrence.event.is_announced:
        # A target that starts or restarts is running nothing.
        targets[occurrence.event.target_id] = _TargetLoad(
            slots, slots, occurrence.at_ms
        )
        return
    target.allowed = max(slots, target.allowed)
    target.strict_from_ms = occurrence.at_ms + bounds.cold_detection_ms
    target.slots = slots


def _excess_concurrency(
    target: _TargetLoad, occurrence: events.Occurrence
) -> list[invariants.Violation]:
    if occurrence.at_ms >= target.strict_from_ms:
        target.allowed = target.slots
    target.running.add(occurrence.event.request_id)
    if len(target.running) <= target.allowed:
        return []
    return [
        invariants.Violation(
            Invariant.COLD_TARGET_SPARED,
            occurrence.at_ms,
            occurrence.event.target_id,
            f'{len(target.running)} concurrent requests, at most '
            f'{target.allowed} allowed',
        )
    ]
