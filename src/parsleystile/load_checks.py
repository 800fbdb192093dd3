"""Checkers of the invariants about load: limits, shedding, cold targets."""

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
# Rounding of a token bucket over a long history, in requests.
_ROUNDING = 1e-6
# Starts of windows tried on what targets saw; bounds the checker's time.
_MAX_STARTS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """Calls of one class at one place in one window."""

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
    """In each window a node sheds no more of an important class."""
    # A call may be told of more than once, say when it is shed further down.
    offered: dict[_Share, set[ids.RootId]] = collections.defaultdict(set)
    shed: dict[_Share, set[ids.RootId]] = collections.defaultdict(set)
    for at in history:
        match at.event:
            case events.Admitted() | events.Refused():
                # A call refused for its rate, say, was never up for shedding
                # and would dilute the share of its class.
                if isinstance(at.event, events.Refused) and not _is_shed(
                    at.event
                ):
                    continue
                share = _Share(
                    at.node_id,
                    at.event.stage,
                    int(at.at_ms // bounds.shed_window_ms),
                    at.event.importance,
                )
                offered[share].add(at.event.root_id)
                if _is_shed(at.event):
                    shed[share].add(at.event.root_id)
    found = []
    for more in sorted(offered, key=lambda share: share.window):
        for importance in context.Importance:
            less = dataclasses.replace(more, importance=importance)
            if importance <= more.importance or less not in offered:
                continue
            if min(len(offered[more]), len(offered[less])) < bounds.shed_calls:
                continue
            high = len(shed[more]) / len(offered[more])
            low = len(shed[less]) / len(offered[less])
            if high > low + bounds.shed_tolerance:
                found.append(
                    invariants.Violation(
                        Invariant.IMPORTANT_SHED_LAST,
                        more.window * bounds.shed_window_ms,
                        more.node_id,
                        f'shed {high:.2f} of {more.importance.name}, '
                        f'{low:.2f} of {importance.name}',
                    )
                )
    return found


@dataclasses.dataclass(frozen=True, slots=True)
class _Limits:
    """Limits of an organisation that hold from a time on."""

    from_ms: float
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Taking:
    """Requests of an organisation let pass at one time."""

    at_ms: float
    amount: float


def check_rate_limited(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """In no window does an organisation get more than rate and burst.

    Looks at what nodes let pass and, separately, at root requests that
    targets ran: one sent after a and run before b passed in between.
    """
    limits: dict[ids.OrganisationId, list[_Limits]] = {}
    for at in events.of_kind(history, events.LimitsSet):
        limits.setdefault(at.event.organisation, []).append(
            _Limits(at.at_ms, at.event.rate_per_s, at.event.burst)
        )
    found = []
    for organisation, steps in limits.items():
        takings = [
            _Taking(at.at_ms, at.event.amount)
            for at in events.of_kind(history, events.QuotaTaken)
            if at.event.organisation == organisation
        ]
        found += _overdrafts(organisation, takings, steps, bounds)
        found += _overruns(organisation, history, steps, bounds)
    return found


def _limits_at(
    steps: list[_Limits], at_ms: float, bounds: invariants.Bounds
) -> _Limits:
    """Return the loosest limits that a node may go by at a time."""
    current = [s for s in steps if s.from_ms <= at_ms][-1:] or steps[:1]
    replaced = [
        old
        for old, new in itertools.pairwise(steps)
        if old.from_ms <= at_ms and at_ms < new.from_ms + bounds.config_ms
    ]
    held = current + replaced
    return _Limits(
        at_ms, max(s.rate_per_s for s in held), max(s.burst for s in held)
    )


def _overdrafts(
    organisation: ids.OrganisationId,
    takings: list[_Taking],
    steps: list[_Limits],
    bounds: invariants.Bounds,
) -> list[invariants.Violation]:
    """Fill one token bucket for the fleet and find where it runs dry.

    The bucket runs dry exactly if some window holds more than rate times
    its length plus burst.
    """
    found = []
    tokens = None
    last_ms = 0.0
    for taking in takings:
        limits = _limits_at(steps, taking.at_ms, bounds)
        if tokens is None:
            tokens = limits.burst
        gained = (taking.at_ms - last_ms) * limits.rate_per_s / 1000
        tokens = min(limits.burst, tokens + gained) - taking.amount
        last_ms = taking.at_ms
        if tokens < -_ROUNDING:
            found.append(
                invariants.Violation(
                    Invariant.RATE_LIMITED,
                    taking.at_ms,
                    organisation,
                    f'{-tokens:.3f} requests over {limits.rate_per_s:g}/s '
                    f'and a burst of {limits.burst:g}',
                )
            )
            # One excess is told once, not again by each later request.
            tokens = 0.0
    return found


def _overruns(
    organisation: ids.OrganisationId,
    history: events.History,
    steps: list[_Limits],
    bounds: invariants.Bounds,
) -> list[invariants.Violation]:
    """Find windows in which targets ran more roots than could pass."""
    sent_ms = {
        at.event.request_id: at.at_ms
        for at in events.of_kind(history, events.RequestSent)
        if at.event.organisation == organisation
        and at.event.request_id == at.event.root_request_id
    }
    run_ms: dict[str, float] = {}
    for at in events.of_kind(history, events.Executed):
        if at.event.request_id in sent_ms:
            run_ms.setdefault(at.event.request_id, at.at_ms)
    starts = sorted(sent_ms[request_id] for request_id in run_ms)
    stride = max(1, len(starts) // _MAX_STARTS)
    found = []
    for start_ms in starts[::stride]:
        inside = [
            end_ms
            for request_id, end_ms in run_ms.items()
            if sent_ms[request_id] >= start_ms
        ]
        for count, end_ms in enumerate(sorted(inside), start=1):
            limits = _limits_at(steps, end_ms, bounds)
            most = limits.burst + (
                (end_ms - start_ms) * limits.rate_per_s / 1000
            )
            if count > most + _ROUNDING:
                found.append(
                    invariants.Violation(
                        Invariant.RATE_LIMITED,
                        end_ms,
                        organisation,
                        f'targets ran {count} requests in '
                        f'{end_ms - start_ms:.0f} ms, at most {most:.1f} '
                        'may pass',
                    )
                )
                break
    return found


@dataclasses.dataclass(slots=True)
class _Target:
    """What a target could bear and what it ran.

    Attributes:
        slots: What it can bear now.
        allowed: What it may be given: ``slots``, but for the time in
            which the system could not know yet.
        strict_from_ms: When ``allowed`` falls to ``slots``.
    """

    slots: int
    allowed: int
    strict_from_ms: float
    running: set[str] = dataclasses.field(default_factory=set)


def check_cold_target_spared(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """No target is given more at once than it can bear at that time."""
    targets: dict[ids.TargetId, _Target] = {}
    found = []
    for at in history:
        match at.event:
            case events.TargetCapacity():
                _set_capacity(targets, at, bounds)
            case events.ExecutionEnded(target_id=target_id):
                if target_id in targets:
                    targets[target_id].running.discard(at.event.request_id)
            case events.Executed(target_id=target_id):
                if target_id in targets:
                    found += _overload(targets[target_id], at)
    return found


def _set_capacity(
    targets: dict[ids.TargetId, _Target],
    at: events.Occurrence,
    bounds: invariants.Bounds,
) -> None:
    slots = at.event.slots
    target = targets.get(at.event.target_id)
    if target is None or at.event.told:
        # A target that starts, or starts anew, runs nothing.
        targets[at.event.target_id] = _Target(slots, slots, at.at_ms)
        return
    target.allowed = max(slots, target.allowed)
    target.strict_from_ms = at.at_ms + bounds.cold_detection_ms
    target.slots = slots


def _overload(
    target: _Target, at: events.Occurrence
) -> list[invariants.Violation]:
    if at.at_ms >= target.strict_from_ms:
        target.allowed = target.slots
    target.running.add(at.event.request_id)
    if len(target.running) <= target.allowed:
        return []
    return [
        invariants.Violation(
            Invariant.COLD_TARGET_SPARED,
            at.at_ms,
            at.event.target_id,
            f'{len(target.running)} requests at once, can bear '
            f'{target.allowed}',
        )
    ]
