"""Checkers of the invariants about changes that must reach the whole fleet."""

import dataclasses
import math

from parsleystile import errors
from parsleystile import events
from parsleystile import ids
from parsleystile import invariants
from parsleystile.invariants import Invariant


@dataclasses.dataclass(frozen=True, slots=True)
class _Span:
    """A time from ``start_ms`` until ``end_ms``, which may be infinite."""

    start_ms: float
    end_ms: float

    def overlaps(self, other: '_Span') -> bool:
        """Whether some time lies in both."""
        return self.start_ms <= other.end_ms and other.start_ms <= self.end_ms


@dataclasses.dataclass(frozen=True, slots=True)
class _Fault:
    """A disturbance of some nodes; of the platform if it names none."""

    span: _Span
    subjects: tuple[ids.NodeId, ...]


def _faults(history: events.History) -> list[_Fault]:
    """Return the faults of a history; one not undone lasts to its end."""
    faults = []
    for at in events.of_kind(history, events.FaultStarted):
        ends = [
            end.at_ms
            for end in events.of_kind(history, events.FaultEnded)
            if end.event.kind == at.event.kind
            and end.event.subjects == at.event.subjects
            and end.at_ms >= at.at_ms
        ]
        span = _Span(at.at_ms, ends[0] if ends else math.inf)
        faults.append(_Fault(span, at.event.subjects))
    return faults


def check_key_withdrawn(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """A withdrawn key lets nothing pass once its bound has gone by."""
    withdrawn_ms: dict[ids.KeyId, float] = {}
    late: dict[str, ids.KeyId] = {}
    found = []

    def report(at: events.Occurrence, key_id: ids.KeyId, what: str) -> None:
        found.append(
            invariants.Violation(
                Invariant.KEY_WITHDRAWN,
                at.at_ms,
                key_id,
                f'{what} {at.at_ms - withdrawn_ms[key_id]:.0f} ms after its '
                'withdrawal',
            )
        )

    for at in history:
        key_id = getattr(at.event, 'key_id', '')
        start_ms = withdrawn_ms.get(key_id, math.inf)
        is_late = at.at_ms > start_ms + bounds.key_withdrawn_ms
        match at.event:
            case events.KeyWithdrawn():
                withdrawn_ms.setdefault(key_id, at.at_ms)
            case events.KeyIssued() if key_id in withdrawn_ms:
                report(at, key_id, 'issued again')
            case events.RequestSent(is_open=False) if is_late:
                late[at.event.request_id] = key_id
            case events.Admitted(stage=events.Stage.INGRESS) if is_late:
                report(at, key_id, f'admitted at {at.node_id}')
            case events.Executed(request_id=request_id):
                if request_id in late:
                    report(at, late[request_id], f'{request_id} ran')
    return found


def check_domain_out_idle(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Targets of a domain that is out get no new work."""
    domains: dict[ids.TargetId, ids.FailureDomainId] = {}
    out_ms: dict[ids.FailureDomainId, float] = {}
    found = []
    for at in history:
        match at.event:
            case events.TargetAnnounced(target_id=target_id):
                domains[target_id] = at.event.failure_domain
            case events.DomainOut(failure_domain=domain):
                out_ms.setdefault(domain, at.at_ms)
            case events.DomainIn(failure_domain=domain):
                out_ms.pop(domain, None)
            case events.Executed(target_id=target_id):
                since_ms = out_ms.get(domains.get(target_id), math.inf)
                if at.at_ms > since_ms + bounds.domain_out_ms:
                    found.append(_late_work(Invariant.DOMAIN_OUT_IDLE, at))
    return found


def check_leaving_target_idle(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """A target that is leaving gets no new work until it comes back."""
    leaving_ms: dict[ids.TargetId, float] = {}
    found = []
    for at in history:
        match at.event:
            case events.TargetLeaving(target_id=target_id):
                leaving_ms.setdefault(target_id, at.at_ms)
            case events.TargetAnnounced(target_id=target_id):
                leaving_ms.pop(target_id, None)
            case events.Executed(target_id=target_id):
                since_ms = leaving_ms.get(target_id, math.inf)
                if at.at_ms > since_ms + bounds.leaving_ms:
                    found.append(_late_work(Invariant.LEAVING_TARGET_IDLE, at))
    return found


def _late_work(
    invariant: Invariant, at: events.Occurrence
) -> invariants.Violation:
    return invariants.Violation(
        invariant,
        at.at_ms,
        at.event.target_id,
        f'ran {at.event.request_id} later than the bound',
    )


def check_stop_graceful(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """A planned stop ends with exit code 0 and cuts no request."""
    del bounds
    stops: list[tuple[ids.NodeId, _Span]] = []
    begun_ms: dict[ids.NodeId, float] = {}
    found = []
    for at in history:
        match at.event:
            case events.StopPlanned(subject=subject):
                begun_ms.setdefault(subject, at.at_ms)
            case events.NodeStopped(subject=subject) if subject in begun_ms:
                span = _Span(begun_ms.pop(subject), at.at_ms)
                stops.append((subject, span))
                if at.event.exit_code != 0:
                    found.append(
                        invariants.Violation(
                            Invariant.STOP_GRACEFUL,
                            at.at_ms,
                            subject,
                            f'exit code {at.event.exit_code}',
                        )
                    )
    for subject, start_ms in begun_ms.items():
        stops.append((subject, _Span(start_ms, math.inf)))
    return found + _cut_requests(history, stops)


def _cut_requests(
    history: events.History, stops: list[tuple[ids.NodeId, _Span]]
) -> list[invariants.Violation]:
    """Find requests without a sure end that only a planned stop explains."""
    faults = [fault.span for fault in _faults(history) if fault.subjects]
    found = []
    for request_id, life in _cut_lives(history).items():
        nodes = [n for n, span in stops if span.overlaps(life)]
        if nodes and not any(span.overlaps(life) for span in faults):
            found.append(
                invariants.Violation(
                    Invariant.STOP_GRACEFUL,
                    life.end_ms,
                    request_id,
                    f'cut while {", ".join(nodes)} stopped',
                )
            )
    return found


def _cut_lives(history: events.History) -> dict[str, _Span]:
    """Return the requests that never ended or whose end is unknown."""
    last_ms = history[-1].at_ms if history else 0.0
    lives: dict[str, _Span] = {}
    for at in history:
        match at.event:
            case events.RequestSent(request_id=request_id):
                lives[request_id] = _Span(at.at_ms, last_ms)
            case events.RequestCancelled(request_id=request_id):
                lives.pop(request_id, None)
            case events.RequestAnswered(request_id=request_id):
                life = lives.pop(request_id, None)
                if life and at.event.outcome is errors.Outcome.UNKNOWN:
                    lives[request_id] = _Span(life.start_ms, at.at_ms)
    return lives


def check_config_durable(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """An accepted version comes into force everywhere and stays."""
    return (
        _ambiguous_versions(history)
        + _reverts(history)
        + _stragglers(history, bounds)
    )


def _config_violation(
    at_ms: float, subject: str, detail: str
) -> invariants.Violation:
    return invariants.Violation(
        Invariant.CONFIG_DURABLE, at_ms, subject, detail
    )


def _ambiguous_versions(history: events.History) -> list[invariants.Violation]:
    """Find versions that mean two documents, or were accepted twice."""
    meaning: dict[ids.ConfigVersion, events.ConfigInForce] = {}
    accepted: dict[ids.ConfigVersion, events.ConfigAccepted] = {}
    found = []
    for at in history:
        match at.event:
            case events.ConfigInForce(version=version):
                if meaning.setdefault(version, at.event) != at.event:
                    problem = f'two documents have version {version}'
                    found.append(
                        _config_violation(at.at_ms, at.node_id, problem)
                    )
            case events.ConfigAccepted(version=version):
                first = accepted.setdefault(version, at.event)
                if first.change_id != at.event.change_id:
                    problem = f'version {version} accepted for two changes'
                    found.append(
                        _config_violation(
                            at.at_ms, at.event.change_id, problem
                        )
                    )
    for version, event in accepted.items():
        shown = meaning.get(version)
        if shown and shown.preset != event.preset:
            problem = (
                f'version {version} accepted with preset {event.preset!r}, '
                f'in force with {shown.preset!r}'
            )
            found.append(_config_violation(0.0, event.change_id, problem))
    return found


def _reverts(history: events.History) -> list[invariants.Violation]:
    """Find nodes that went back to a lower version without a restart."""
    held: dict[ids.NodeId, ids.ConfigVersion] = {}
    found = []
    for at in history:
        match at.event:
            case events.NodeStarted():
                held.pop(at.node_id, None)
            case events.ConfigInForce(version=version):
                before = held.get(at.node_id, version)
                if version < before:
                    problem = f'from version {before} back to {version}'
                    found.append(
                        _config_violation(at.at_ms, at.node_id, problem)
                    )
                held[at.node_id] = version
    return found


@dataclasses.dataclass(slots=True)
class _Run:
    """One life of a node process and the versions that it acted by."""

    node_id: ids.NodeId
    start_ms: float
    end_ms: float = math.inf
    versions: list[tuple[float, ids.ConfigVersion]] = dataclasses.field(
        default_factory=list
    )

    def version_at(self, at_ms: float) -> int:
        """Return the version in force at a time; -1 for none."""
        return max((v for t, v in self.versions if t <= at_ms), default=-1)


def _runs(history: events.History) -> list[_Run]:
    current: dict[ids.NodeId, _Run] = {}
    runs = []

    def end(node_id: ids.NodeId, at_ms: float) -> None:
        if node_id in current:
            current.pop(node_id).end_ms = at_ms

    for at in history:
        match at.event:
            case events.NodeStarted():
                end(at.node_id, at.at_ms)
                current[at.node_id] = _Run(at.node_id, at.at_ms)
                runs.append(current[at.node_id])
            case events.NodeStopped(subject=subject):
                end(subject, at.at_ms)
            case events.ConfigInForce() if at.node_id in current:
                pair = (at.at_ms, at.event.version)
                current[at.node_id].versions.append(pair)
    return runs


def _stragglers(
    history: events.History, bounds: invariants.Bounds
) -> list[invariants.Violation]:
    """Find nodes without an accepted version after the bound.

    The bound counts from the acceptance, the start of the node, and the
    end of faults that the node feels, whichever is last.
    """
    last_ms = history[-1].at_ms if history else 0.0
    faults = _faults(history)
    found = []
    for at in events.of_kind(history, events.ConfigAccepted):
        for run in _runs(history):
            due_ms = _due_ms(max(at.at_ms, run.start_ms), run, faults, bounds)
            if due_ms > min(run.end_ms, last_ms):
                continue
            if run.version_at(due_ms) < at.event.version:
                problem = (
                    f'version {at.event.version} not in force '
                    f'{due_ms - at.at_ms:.0f} ms after its acceptance'
                )
                found.append(_config_violation(due_ms, run.node_id, problem))
    return found


def _due_ms(
    from_ms: float, run: _Run, faults: list[_Fault], bounds: invariants.Bounds
) -> float:
    felt = sorted(
        (f.span for f in faults if run.node_id in f.subjects),
        key=lambda span: span.start_ms,
    )
    due_ms = from_ms + bounds.config_ms
    for span in felt:
        if span.start_ms <= due_ms and span.end_ms >= from_ms:
            due_ms = max(due_ms, span.end_ms + bounds.config_ms)
    return due_ms
