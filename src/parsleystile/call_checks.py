"""Checkers of the invariants about single calls and their call trees.

Each checker is a pure function of a merged history and returns the
violations that it found. The evidence is what callers and targets
observed; events recorded by the nodes only add to it.
"""

import collections
import dataclasses

from parsleystile import errors
from parsleystile import events
from parsleystile import ids
from parsleystile import invariants
from parsleystile.invariants import Invariant


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestIndex:
    """Requests and executions of a history by request id."""

    sent: dict[str, events.RequestSent]
    sent_ms: dict[str, float]
    executed: dict[str, list[events.Executed]]

    def root(self, event: events.Executed) -> events.RequestSent | None:
        """Return the root request of the call tree of ``event``."""
        return self.sent.get(event.root_request_id)


def _index_requests(history: events.History) -> _RequestIndex:
    requests = _RequestIndex({}, {}, collections.defaultdict(list))
    for occurrence in history:
        match occurrence.event:
            case events.RequestSent(request_id=request_id):
                requests.sent[request_id] = occurrence.event
                requests.sent_ms[request_id] = occurrence.at_ms
            case events.Executed(request_id=request_id):
                requests.executed[request_id].append(occurrence.event)
    return requests


def check_retries_bounded(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that retries stay within the allowance of the root request."""
    del bounds
    return _excess_executions(history) + _excess_retries(history)


def _excess_executions(history: events.History) -> list[invariants.Violation]:
    """Find executions over the allowance, as recorded by targets."""
    requests = _index_requests(history)
    executions: collections.Counter[tuple[str, str]] = collections.Counter()
    violations = []
    for occurrence in events.of_kind(history, events.Executed):
        root = requests.root(occurrence.event)
        if root is None:
            continue
        call_key = (
            occurrence.event.root_request_id,
            occurrence.event.call_path,
        )
        executions[call_key] += 1
        if executions[call_key] > 1 + root.retry_allowance:
            violations.append(
                invariants.Violation(
                    Invariant.RETRIES_BOUNDED,
                    occurrence.at_ms,
                    '/'.join(call_key),
                    f'execution {executions[call_key]} with an allowance of '
                    f'{root.retry_allowance} retries',
                )
            )
    return violations


def _excess_retries(history: events.History) -> list[invariants.Violation]:
    """Find retries over the allowance, as recorded by nodes."""
    allowance: dict[ids.RootId, int] = {}
    spent: collections.Counter[ids.RootId] = collections.Counter()
    violations = []
    for occurrence in history:
        match occurrence.event:
            case events.Admitted(stage=events.Stage.INGRESS, root_id=root_id):
                allowance[root_id] = occurrence.event.retry_allowance
            case events.Retried(root_id=root_id):
                spent[root_id] += 1
                if spent[root_id] > allowance.get(root_id, 0):
                    violations.append(
                        invariants.Violation(
                            Invariant.RETRIES_BOUNDED,
                            occurrence.at_ms,
                            root_id,
                            f'retry {spent[root_id]} with an allowance of '
                            f'{allowance.get(root_id, 0)}',
                        )
                    )
    return violations


def check_organisation_isolated(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that a request runs only for the organisation of its key."""
    del bounds
    requests = _index_requests(history)
    organisation_by_token = {
        occurrence.event.token: occurrence.event.organisation
        for occurrence in events.of_kind(history, events.TargetCalled)
    }
    violations = []
    for occurrence in events.of_kind(history, events.Executed):
        problem = _isolation_problem(
            requests.root(occurrence.event),
            occurrence.event,
            organisation_by_token,
        )
        if problem:
            violations.append(
                invariants.Violation(
                    Invariant.ORGANISATION_ISOLATED,
                    occurrence.at_ms,
                    occurrence.event.request_id,
                    problem,
                )
            )
    return violations


def _isolation_problem(
    root: events.RequestSent | None,
    executed: events.Executed,
    organisation_by_token: dict[ids.ContextToken, ids.OrganisationId],
) -> str:
    if root is None:
        return f'ran at {executed.target_id}, but no caller sent it'
    if not root.organisation and not root.is_open:
        return f'ran at {executed.target_id} without a valid key'
    allowed = {root.organisation}
    if root.is_open:
        allowed.add(ids.OPEN_ORGANISATION)
    organisation = organisation_by_token.get(executed.token, root.organisation)
    if organisation not in allowed:
        return f'ran for {organisation!r}, key of {root.organisation!r}'
    return ''


def check_key_confidential(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that no part of a request to a target contains a caller's key."""
    del bounds
    keys = {
        occurrence.event.key: occurrence.event.key_id
        for occurrence in events.of_kind(history, events.RequestSent)
        if occurrence.event.key
    }
    violations = []
    for occurrence in events.of_kind(history, events.Executed):
        visible = '\n'.join(
            (
                *occurrence.event.headers,
                occurrence.event.path,
                occurrence.event.body,
            )
        )
        violations += [
            invariants.Violation(
                Invariant.KEY_CONFIDENTIAL,
                occurrence.at_ms,
                occurrence.event.request_id,
                f'target {occurrence.event.target_id} saw key {key_id!r}',
            )
            for key, key_id in keys.items()
            if key in visible
        ]
    return violations


def check_answer_whole(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that an answer is complete and the target's to this request.

    A request with an idempotency key may get the answer to another attempt
    of the same operation.
    """
    del bounds
    requests = _index_requests(history)

    def operation_of(request_id: str) -> tuple[str, ...]:
        sent = requests.sent.get(request_id)
        return _operation(requests, sent) if sent else (request_id,)

    bodies_by_operation: dict[tuple[str, ...], set[str]] = (
        collections.defaultdict(set)
    )
    for occurrence in events.of_kind(history, events.ExecutionEnded):
        bodies_by_operation[operation_of(occurrence.event.request_id)].add(
            occurrence.event.body_digest
        )
    answered: set[str] = set()
    violations = []
    for occurrence in events.of_kind(history, events.RequestAnswered):
        problem = ''
        if occurrence.event.request_id in answered:
            problem = 'answered twice'
        elif (
            occurrence.event.outcome is errors.Outcome.ANSWERED
            and occurrence.event.body_digest
            not in bodies_by_operation[
                operation_of(occurrence.event.request_id)
            ]
        ):
            problem = 'no target gave this body to this request'
        answered.add(occurrence.event.request_id)
        if problem:
            violations.append(
                invariants.Violation(
                    Invariant.ANSWER_WHOLE,
                    occurrence.at_ms,
                    occurrence.event.request_id,
                    problem,
                )
            )
    return violations


def check_not_run_true(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that a request reported as not run is never executed."""
    del bounds
    executed = _index_requests(history).executed
    return [
        invariants.Violation(
            Invariant.NOT_RUN_TRUE,
            occurrence.at_ms,
            occurrence.event.request_id,
            f'reported not run ({occurrence.event.reason.name}), but ran '
            f'at {executed[occurrence.event.request_id][0].target_id}',
        )
        for occurrence in events.of_kind(history, events.RequestAnswered)
        if occurrence.event.outcome is errors.Outcome.NOT_RUN
        and occurrence.event.request_id in executed
    ]


def check_at_most_once(
    history: events.History,
    bounds: invariants.Bounds = invariants.DEFAULT_BOUNDS,
) -> list[invariants.Violation]:
    """Check that a non-idempotent operation runs once despite retries."""
    del bounds
    requests = _index_requests(history)
    executions: collections.Counter[tuple[str, ...]] = collections.Counter()
    violations = []
    for occurrence in events.of_kind(history, events.Executed):
        sent = requests.sent.get(occurrence.event.request_id)
        if sent is None or sent.idempotent:
            continue
        operation = _operation(requests, sent)
        executions[operation] += 1
        if executions[operation] > 1:
            violations.append(
                invariants.Violation(
                    Invariant.AT_MOST_ONCE,
                    occurrence.at_ms,
                    occurrence.event.request_id,
                    f'execution {executions[operation]}, at '
                    f'{occurrence.event.target_id}',
                )
            )
    return violations


def _operation(
    requests: _RequestIndex, sent: events.RequestSent
) -> tuple[str, ...]:
    """Return a key that all attempts of one operation share."""
    if not sent.idempotency_key:
        return (sent.request_id,)
    root = requests.sent.get(sent.root_request_id, sent)
    return (root.organisation, sent.call_path, sent.idempotency_key)
