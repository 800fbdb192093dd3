"""Checkers of the invariants about single calls and their trees.

Each is a pure function of a merged history and returns the violations that
it found, by time. What callers and targets saw counts as evidence; what
nodes say about themselves only adds to it.
"""

import collections
import dataclasses

from parsleystile import errors
from parsleystile import events
from parsleystile import ids
from parsleystile import invariants
from parsleystile.invariants import Invariant


@dataclasses.dataclass(frozen=True, slots=True)
class _Calls:
    """A history by request."""

    sent: dict[str, events.RequestSent]
    sent_ms: dict[str, float]
    executed: dict[str, list[events.Executed]]

    def root(self, event: events.Executed) -> events.RequestSent | None:
        """Return the root request of the tree that ``event`` is in."""
        return self.sent.get(event.root_request_id)


def _index(history: events.History) -> _Calls:
    calls = _Calls({}, {}, collections.defaultdict(list))
    for at in history:
        match at.event:
            case events.RequestSent(request_id=request_id):
                calls.sent[request_id] = at.event
                calls.sent_ms[request_id] = at.at_ms
            case events.Executed(request_id=request_id):
                calls.executed[request_id].append(at.event)
    return calls


def check_retries_bounded(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """No call runs more often than the allowance of its root permits."""
    del bounds
    return _amplified(history) + _overspent(history)


def _amplified(history: events.History) -> list[invariants.Violation]:
    """Count executions by call path, as the targets saw them."""
    calls = _index(history)
    seen: collections.Counter[tuple[str, str]] = collections.Counter()
    found = []
    for at in events.of_kind(history, events.Executed):
        root = calls.root(at.event)
        if root is None:
            continue
        path = (at.event.root_request_id, at.event.call_path)
        seen[path] += 1
        if seen[path] > 1 + root.retry_allowance:
            found.append(
                invariants.Violation(
                    Invariant.RETRIES_BOUNDED,
                    at.at_ms,
                    '/'.join(path),
                    f'execution {seen[path]} with an allowance of '
                    f'{root.retry_allowance} retries',
                )
            )
    return found


def _overspent(history: events.History) -> list[invariants.Violation]:
    """Count the retries that nodes tell of, by root request."""
    allowance: dict[ids.RootId, int] = {}
    spent: collections.Counter[ids.RootId] = collections.Counter()
    found = []
    for at in history:
        match at.event:
            case events.Admitted(stage=events.Stage.INGRESS, root_id=root_id):
                allowance[root_id] = at.event.retry_allowance
            case events.Retried(root_id=root_id):
                spent[root_id] += 1
                if spent[root_id] > allowance.get(root_id, 0):
                    found.append(
                        invariants.Violation(
                            Invariant.RETRIES_BOUNDED,
                            at.at_ms,
                            root_id,
                            f'retry {spent[root_id]} with an allowance of '
                            f'{allowance.get(root_id, 0)}',
                        )
                    )
    return found


def check_organisation_isolated(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """A request runs only for the organisation whose key came with it."""
    del bounds
    calls = _index(history)
    acting = {
        at.event.token: at.event.organisation
        for at in events.of_kind(history, events.TargetCalled)
    }
    found = []
    for at in events.of_kind(history, events.Executed):
        problem = _isolation_problem(calls.root(at.event), at.event, acting)
        if problem:
            found.append(
                invariants.Violation(
                    Invariant.ORGANISATION_ISOLATED,
                    at.at_ms,
                    at.event.request_id,
                    problem,
                )
            )
    return found


def _isolation_problem(
    root: events.RequestSent | None,
    executed: events.Executed,
    acting: dict[ids.ContextToken, ids.OrganisationId],
) -> str:
    if root is None:
        return f'ran at {executed.target_id}, but no caller sent it'
    if not root.organisation and not root.is_open:
        return f'ran at {executed.target_id} without a valid key'
    allowed = {root.organisation}
    if root.is_open:
        allowed.add(ids.OPEN_ORGANISATION)
    organisation = acting.get(executed.token, root.organisation)
    if organisation not in allowed:
        return f'ran for {organisation!r}, key of {root.organisation!r}'
    return ''


def check_key_confidential(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """No target sees a caller's key, wherever in the request."""
    del bounds
    keys = {
        at.event.key: at.event.key_id
        for at in events.of_kind(history, events.RequestSent)
        if at.event.key
    }
    found = []
    for at in events.of_kind(history, events.Executed):
        seen = '\n'.join((*at.event.headers, at.event.path, at.event.body))
        found += [
            invariants.Violation(
                Invariant.KEY_CONFIDENTIAL,
                at.at_ms,
                at.event.request_id,
                f'target {at.event.target_id} saw key {key_id!r}',
            )
            for key, key_id in keys.items()
            if key in seen
        ]
    return found


def check_answer_whole(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """An answer is one that a target gave to this request, and whole.

    A request with an idempotency key may get the answer that a target gave
    to another try of the same operation.
    """
    del bounds
    calls = _index(history)

    def name(request_id: str) -> tuple[str, ...]:
        sent = calls.sent.get(request_id)
        return _operation(calls, sent) if sent else (request_id,)

    given: dict[tuple[str, ...], set[str]] = collections.defaultdict(set)
    for at in events.of_kind(history, events.ExecutionEnded):
        given[name(at.event.request_id)].add(at.event.body_digest)
    answered: set[str] = set()
    found = []
    for at in events.of_kind(history, events.RequestAnswered):
        problem = ''
        if at.event.request_id in answered:
            problem = 'answered twice'
        elif (
            at.event.outcome is errors.Outcome.ANSWERED
            and at.event.body_digest not in given[name(at.event.request_id)]
        ):
            problem = 'no target gave this body to this request'
        answered.add(at.event.request_id)
        if problem:
            found.append(
                invariants.Violation(
                    Invariant.ANSWER_WHOLE,
                    at.at_ms,
                    at.event.request_id,
                    problem,
                )
            )
    return found


def check_not_run_true(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """A request told to be not run is run by no target, then or later."""
    del bounds
    executed = _index(history).executed
    return [
        invariants.Violation(
            Invariant.NOT_RUN_TRUE,
            at.at_ms,
            at.event.request_id,
            f'told not run ({at.event.reason.name}), but ran at '
            f'{executed[at.event.request_id][0].target_id}',
        )
        for at in events.of_kind(history, events.RequestAnswered)
        if at.event.outcome is errors.Outcome.NOT_RUN
        and at.event.request_id in executed
    ]


def check_at_most_once(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """A non-idempotent operation runs once, its callers' retries included."""
    del bounds
    calls = _index(history)
    runs: collections.Counter[tuple[str, ...]] = collections.Counter()
    found = []
    for at in events.of_kind(history, events.Executed):
        sent = calls.sent.get(at.event.request_id)
        if sent is None or sent.idempotent:
            continue
        operation = _operation(calls, sent)
        runs[operation] += 1
        if runs[operation] > 1:
            found.append(
                invariants.Violation(
                    Invariant.AT_MOST_ONCE,
                    at.at_ms,
                    at.event.request_id,
                    f'execution {runs[operation]}, at {at.event.target_id}',
                )
            )
    return found


def _operation(calls: _Calls, sent: events.RequestSent) -> tuple[str, ...]:
    """Return what tries of one operation share."""
    if not sent.idempotency_key:
        return (sent.request_id,)
    root = calls.sent.get(sent.root_request_id, sent)
    return (root.organisation, sent.call_path, sent.idempotency_key)
