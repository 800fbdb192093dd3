"""Checkers of the invariants about changes that reach the whole fleet."""

import dataclasses
import math

from parsleystile import errors
from parsleystile import events
from parsleystile import ids
from parsleystile import invariants
from parsleystile.invariants import Invariant


@dataclasses.dataclass(frozen=True, slots=True)
class _Interval:
    """A closed time interval; ``end_ms`` may be infinite."""

    start_ms: float
    end_ms: float

    def overlaps(self, other: '_Interval') -> bool:
        """Return whether the intervals have a time in common."""
        return self.start_ms <= other.end_ms and other.start_ms <= self.end_ms


@dataclasses.dataclass(frozen=True, slots=True)
class _Fault:
    """A fault of the nodes ``subjects``, or of the platform if empty."""

    interval: _Interval
    subjects: tuple[ids.NodeId, ...]


def _faults(history: events.History) -> list[_Fault]:
    """Return the faults of a history; those never removed do not end."""
    faults = []
    for occurrence in events.of_kind(history, events.FaultStarted):
        ends = [
            ended.at_ms
            for ended in events.of_kind(history, events.FaultEnded)
            if ended.event.kind == occurrence.event.kind
            and ended.event.subjects == occurrence.event.subjects
            and ended.at_ms >= occurrence.at_ms
        ]
        interval = _Interval(occurrence.at_ms, ends[0] if ends else math.inf)
        faults.append(_Fault(interval, occurrence.event.subjects))
    return faults


def check_key_withdrawn(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that a withdrawn key admits nothing after the bound."""
    withdrawn_ms: dict[ids.KeyId, float] = {}
    late_requests: dict[str, ids.KeyId] = {}
    violations = []

    def add_violation(
        occurrence: events.Occurrence, key_id: ids.KeyId, problem: str
    ) -> None:
        violations.append(
            invariants.Violation(
                Invariant.KEY_WITHDRAWN,
                occurrence.at_ms,
                key_id,
                f'{problem} {occurrence.at_ms - withdrawn_ms[key_id]:.0f} ms '
                'after its withdrawal',
            )
        )

    for occurrence in history:
        key_id = getattr(occurrence.event, 'key_id', '')
        start_ms = withdrawn_ms.get(key_id, math.inf)
        is_late = occurrence.at_ms > start_ms + bounds.key_withdrawn_ms
        match occurrence.event:
            case events.KeyWithdrawn():
                withdrawn_ms.setdefault(key_id, occurrence.at_ms)
            case events.KeyIssued() if key_id in withdrawn_ms:
                add_violation(occurrence, key_id, 'issued again')
            case events.RequestSent(is_open=False) if is_late:
                late_requests[occurrence.event.request_id] = key_id
            case events.Admitted(stage=events.Stage.INGRESS) if is_late:
                add_violation(
                    occurrence, key_id, f'admitted at {occurrence.node_id}'
                )
            case events.Executed(request_id=request_id):
                if request_id in late_requests:
                    add_violation(
                        occurrence,
                        late_requests[request_id],
                        f'{request_id} ran',
                    )
    return violations


def check_domain_out_idle(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that targets of a domain taken out get no new work."""
    domains: dict[ids.TargetId, ids.FailureDomainId] = {}
    out_ms: dict[ids.FailureDomainId, float] = {}
    violations = []
    for occurrence in history:
        match occurrence.event:
            case events.TargetAnnounced(target_id=target_id):
                domains[target_id] = occurrence.event.failure_domain
            case events.DomainOut(failure_domain=domain):
                out_ms.setdefault(domain, occurrence.at_ms)
            case events.DomainIn(failure_domain=domain):
                out_ms.pop(domain, None)
            case events.Executed(target_id=target_id):
                since_ms = out_ms.get(domains.get(target_id), math.inf)
                if occurrence.at_ms > since_ms + bounds.domain_out_ms:
                    violations.append(
                        _late_execution(Invariant.DOMAIN_OUT_IDLE, occurrence)
                    )
    return violations


def check_leaving_target_idle(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that a leaving target gets no new work until it returns."""
    leaving_ms: dict[ids.TargetId, float] = {}
    violations = []
    for occurrence in history:
        match occurrence.event:
            case events.TargetLeaving(target_id=target_id):
                leaving_ms.setdefault(target_id, occurrence.at_ms)
            case events.TargetAnnounced(target_id=target_id):
                leaving_ms.pop(target_id, None)
            case events.Executed(target_id=target_id):
                since_ms = leaving_ms.get(target_id, math.inf)
                if occurrence.at_ms > since_ms + bounds.leaving_ms:
                    violations.append(
                        _late_execution(
                            Invariant.LEAVING_TARGET_IDLE, occurrence
                        )
                    )
    return violations


def _late_execution(
    invariant: Invariant, occurrence: events.Occurrence
) -> invariants.Violation:
    return invariants.Violation(
        invariant,
        occurrence.at_ms,
        occurrence.event.target_id,
        f'ran {occurrence.event.request_id} later than the bound',
    )


def check_stop_graceful(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that a planned stop exits with 0 and interrupts no request."""
    del bounds
    stops: list[tuple[ids.NodeId, _Interval]] = []
    stop_began_ms: dict[ids.NodeId, float] = {}
    violations = []
    for occurrence in history:
        match occurrence.event:
            case events.StopPlanned(subject=subject):
                stop_began_ms.setdefault(subject, occurrence.at_ms)
            case events.NodeStopped(subject=subject) if (
                subject in stop_began_ms
            ):
                interval = _Interval(
                    stop_began_ms.pop(subject), occurrence.at_ms
                )
                stops.append((subject, interval))
                if occurrence.event.exit_code != 0:
                    violations.append(
                        invariants.Violation(
                            Invariant.STOP_GRACEFUL,
                            occurrence.at_ms,
                            subject,
                            f'exit code {occurrence.event.exit_code}',
                        )
                    )
    for subject, start_ms in stop_began_ms.items():
        stops.append((subject, _Interval(start_ms, math.inf)))
    return violations + _interrupted_requests(history, stops)


def _interrupted_requests(
    history: events.History, stops: list[tuple[ids.NodeId, _Interval]]
) -> list[invariants.Violation]:
    """Find unresolved requests that only a planned stop can explain."""
    faults = [fault.interval for fault in _faults(history) if fault.subjects]
    violations = []
    for request_id, lifetime in _unresolved_requests(history).items():
        nodes = [n for n, interval in stops if interval.overlaps(lifetime)]
        if nodes and not any(
            interval.overlaps(lifetime) for interval in faults
        ):
            violations.append(
                invariants.Violation(
                    Invariant.STOP_GRACEFUL,
                    lifetime.end_ms,
                    request_id,
                    f'interrupted while {", ".join(nodes)} stopped',
                )
            )
    return violations


def _unresolved_requests(history: events.History) -> dict[str, _Interval]:
    """Return the requests that never ended or whose outcome is unknown."""
    last_ms = history[-1].at_ms if history else 0.0
    lifetimes: dict[str, _Interval] = {}
    for occurrence in history:
        match occurrence.event:
            case events.RequestSent(request_id=request_id):
                lifetimes[request_id] = _Interval(occurrence.at_ms, last_ms)
            case events.RequestCancelled(request_id=request_id):
                lifetimes.pop(request_id, None)
            case events.RequestAnswered(request_id=request_id):
                lifetime = lifetimes.pop(request_id, None)
                if (
                    lifetime
                    and occurrence.event.outcome is errors.Outcome.UNKNOWN
                ):
                    lifetimes[request_id] = _Interval(
                        lifetime.start_ms, occurrence.at_ms
                    )
    return lifetimes


def check_config_durable(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that an accepted version takes effect everywhere and remains."""
    return (
        _conflicting_versions(history)
        + _rollbacks(history)
        + _late_rollouts(history, bounds)
    )


def _config_violation(
    at_ms: float, subject: str, detail: str
) -> invariants.Violation:
    return invariants.Violation(
        Invariant.CONFIG_DURABLE, at_ms, subject, detail
    )


def _conflicting_versions(
    history: events.History,
) -> list[invariants.Violation]:
    """Find versions with two documents or accepted for two changes."""
    in_force: dict[ids.ConfigVersion, events.ConfigInForce] = {}
    accepted: dict[ids.ConfigVersion, events.ConfigAccepted] = {}
    violations = []
    for occurrence in history:
        match occurrence.event:
            case events.ConfigInForce(version=version):
                if (
                    in_force.setdefault(version, occurrence.event)
                    != occurrence.event
                ):
                    problem = f'two documents have version {version}'
                    violations.append(
                        _config_violation(
                            occurrence.at_ms, occurrence.node_id, problem
                        )
                    )
            case events.ConfigAccepted(version=version):
                first = accepted.setdefault(version, occurrence.event)
                if first.change_id != occurrence.event.change_id:
                    problem = f'version {version} accepted for two changes'
                    violations.append(
                        _config_violation(
                            occurrence.at_ms,
                            occurrence.event.change_id,
                            problem,
                        )
                    )
    for version, event in accepted.items():
        first_in_force = in_force.get(version)
        if first_in_force and first_in_force.preset != event.preset:
            problem = (
                f'version {version} accepted with preset {event.preset!r}, '
                f'in force with {first_in_force.preset!r}'
            )
            violations.append(_config_violation(0.0, event.change_id, problem))
    return violations


def _rollbacks(history: events.History) -> list[invariants.Violation]:
    """Find nodes that returned to a lower version without a restart."""
    current_versions: dict[ids.NodeId, ids.ConfigVersion] = {}
    violations = []
    for occurrence in history:
        match occurrence.event:
            case events.NodeStarted():
                current_versions.pop(occurrence.node_id, None)
            case events.ConfigInForce(version=version):
                previous = current_versions.get(occurrence.node_id, version)
                if version < previous:
                    problem = f'from version {previous} back to {version}'
                    violations.append(
                        _config_violation(
                            occurrence.at_ms, occurrence.node_id, problem
                        )
                    )
                current_versions[occurrence.node_id] = version
    return violations


@dataclasses.dataclass(slots=True)
class _ProcessRun:
    """One run of a node process and the versions that it applied."""

    node_id: ids.NodeId
    start_ms: float
    end_ms: float = math.inf
    versions: list[tuple[float, ids.ConfigVersion]] = dataclasses.field(
        default_factory=list
    )

    def version_at(self, at_ms: float) -> int:
        """Return the version in force at a time; -1 for none."""
        return max((v for t, v in self.versions if t <= at_ms), default=-1)


def _process_runs(history: events.History) -> list[_ProcessRun]:
    active: dict[ids.NodeId, _ProcessRun] = {}
    runs = []

    def end_run(node_id: ids.NodeId, at_ms: float) -> None:
        if node_id in active:
            active.pop(node_id).end_ms = at_ms

    for occurrence in history:
        match occurrence.event:
            case events.NodeStarted():
                end_run(occurrence.node_id, occurrence.at_ms)
                active[occurrence.node_id] = _ProcessRun(
                    occurrence.node_id, occurrence.at_ms
                )
                runs.append(active[occurrence.node_id])
            case events.NodeStopped(subject=subject):
                end_run(subject, occurrence.at_ms)
            case events.ConfigInForce() if occurrence.node_id in active:
                timed_version = (occurrence.at_ms, occurrence.event.version)
                active[occurrence.node_id].versions.append(timed_version)
    return runs


def _late_rollouts(
    history: events.History, bounds: invariants.Bounds
) -> list[invariants.Violation]:
    """Find nodes that have not applied an accepted version in time.

    The time limit starts at the acceptance, the start of the node or the
    end of a fault of the node, whichever is last.
    """
    last_ms = history[-1].at_ms if history else 0.0
    faults = _faults(history)
    violations = []
    for occurrence in events.of_kind(history, events.ConfigAccepted):
        for run in _process_runs(history):
            deadline_ms = _deadline_ms(
                max(occurrence.at_ms, run.start_ms), run, faults, bounds
            )
            if deadline_ms > min(run.end_ms, last_ms):
                continue
            if run.version_at(deadline_ms) < occurrence.event.version:
                problem = (
                    f'version {occurrence.event.version} not in force '
                    f'{deadline_ms - occurrence.at_ms:.0f} ms after its '
                    'acceptance'
                )
                violations.append(
                    _config_violation(deadline_ms, run.node_id, problem)
                )
    return violations


def _deadline_ms(
    start_ms: float,
    run: _ProcessRun,
    faults: list[_Fault],
    bounds: invariants.Bounds,
) -> float:
    node_faults = sorted(
        (f.interval for f in faults if run.node_id in f.subjects),
        key=lambda interval: interval.start_ms,
    )
    deadline_ms = start_ms + bounds.config_ms
    for interval in node_faults:
        if interval.start_ms <= deadline_ms and interval.end_ms >= start_ms:
            deadline_ms = max(deadline_ms, interval.end_ms + bounds.config_ms)
    return deadline_ms
