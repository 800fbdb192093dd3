"""Builders of events for tests of the checkers."""

from parsleystile import context
from parsleystile import errors
from parsleystile import events


def at(at_ms, event, node='n1'):
    return events.Occurrence(float(at_ms), node, event)


def sent(request='r1', **fields):
    fields.setdefault('root_request_id', request)
    defaults = {
        'call_path': 'book',
        'organisation': 'org',
        'key': 'secret-of-org',
        'key_id': 'k1',
        'via': 'n1',
        'idempotent': True,
    }
    return events.RequestSent(request_id=request, **(defaults | fields))


def executed(request='r1', target='t1', **fields):
    fields.setdefault('root_request_id', request)
    fields.setdefault('call_path', 'book')
    return events.Executed(target_id=target, request_id=request, **fields)


def ended(request='r1', target='t1', digest='d'):
    return events.ExecutionEnded(
        target_id=target, request_id=request, body_digest=digest
    )


def answered(request='r1', digest='d', outcome=errors.Outcome.ANSWERED):
    return events.RequestAnswered(
        request_id=request, outcome=outcome, status=200, body_digest=digest
    )


def called(token='x', organisation='org', target='t1'):
    return events.TargetCalled(
        target_id=target,
        root_id='root',
        token=token,
        organisation=organisation,
        depth=1,
    )


def admitted(importance=context.Importance.NORMAL, **fields):
    defaults = {
        'stage': events.Stage.INGRESS,
        'root_id': 'root',
        'organisation': 'org',
        'rank': float(importance),
        'key_id': 'k1',
    }
    return events.Admitted(importance=importance, **(defaults | fields))


def shed(importance, root_id='root', reason=errors.Reason.SHED):
    return events.Refused(
        stage=events.Stage.INGRESS,
        root_id=root_id,
        organisation='org',
        importance=importance,
        rank=float(importance),
        outcome=errors.Outcome.NOT_RUN,
        reason=reason,
    )


def quota_taken(organisation='org'):
    return events.QuotaTaken(organisation=organisation)


def limits(rate_per_s, burst):
    return events.LimitsSet(
        organisation='org', rate_per_s=rate_per_s, burst=burst
    )


def announced(target='t1', domain='d1'):
    return events.TargetAnnounced(
        target_id=target, service='s', failure_domain=domain, slots=4
    )


def capacity(slots, is_announced):
    return events.TargetCapacity(
        target_id='t1', slots=slots, is_announced=is_announced
    )


def in_force(version, preset='ordinary', digest=''):
    return events.ConfigInForce(version=version, preset=preset, digest=digest)


def accepted(version, change='c', preset='ordinary'):
    return events.ConfigAccepted(
        version=version, change_id=change, preset=preset
    )
