"""What a node remembers of each call: burn counters, call log, log lines.

The paths of a call tell the observer how a call ended; it knows what of
that goes where.
"""

import typing

from parsleystile import burn
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import explain
from parsleystile import ids
from parsleystile import logevents

_NO_ROOT = ids.RootId('')
_NO_SERVICE = ids.ServiceName('')

# The filter or decision that refuses for each reason at the ingress.
_STAGES = {
    errors.Reason.KEY_MISSING: explain.Stage.AUTHENTICATE,
    errors.Reason.KEY_REJECTED: explain.Stage.AUTHENTICATE,
    errors.Reason.NO_ROUTE: explain.Stage.CLASSIFY,
    errors.Reason.MALFORMED: explain.Stage.CLASSIFY,
    errors.Reason.TOO_LARGE: explain.Stage.CLASSIFY,
    errors.Reason.DEADLINE: explain.Stage.DEADLINE,
    errors.Reason.RATE_LIMITED: explain.Stage.RATE_LIMIT,
    errors.Reason.DUPLICATE: explain.Stage.DEDUPLICATE,
    errors.Reason.STORE_UNAVAILABLE: explain.Stage.DEDUPLICATE,
    errors.Reason.SHED: explain.Stage.SHED,
    errors.Reason.NO_TARGET: explain.Stage.CHOOSE_TARGET,
    errors.Reason.CONTEXT_UNKNOWN: explain.Stage.EGRESS,
    errors.Reason.TOO_DEEP: explain.Stage.EGRESS,
    errors.Reason.UNREACHABLE: explain.Stage.SEND,
    errors.Reason.LINK_LOST: explain.Stage.SEND,
    errors.Reason.RETRIES_SPENT: explain.Stage.SEND,
}

LogEvent = typing.Callable[[logevents.Event], None]


class Observer:
    """Follows the calls of one node.

    Attributes:
        calls: Steps of recent calls.
        burn: Counts of root requests.
    """

    def __init__(
        self,
        calls: explain.CallLog,
        recorder: burn.BurnRecorder,
        log_event: LogEvent,
    ) -> None:
        self.calls = calls
        self.burn = recorder
        self._log_event = log_event

    def root_done(
        self,
        exchange: exchanges.Exchange,
        reply: exchanges.Reply,
        now_ms: float,
    ) -> None:
        """Take note of how a request from outside ended."""
        latency_ms = now_ms - exchange.arrived_ms
        if isinstance(reply, exchanges.Answer):
            self.burn.record(
                exchange.organisation,
                errors.Outcome.ANSWERED,
                errors.Reason.NONE,
                latency_ms,
                True,
                now_ms,
            )
            context = exchange.context
            if context is not None and explain.is_sampled(context.root_id):
                step = explain.Answered(reply.status, latency_ms)
                self.calls.note(context.root_id, step, now_ms)
            return
        self.burn.record(
            exchange.organisation,
            reply.outcome,
            reply.reason,
            latency_ms,
            reply.reason is not errors.Reason.RATE_LIMITED,
            now_ms,
        )
        stage = _STAGES.get(reply.reason, explain.Stage.CALL)
        self._refused(exchange, reply, stage, now_ms)

    def child_done(
        self,
        exchange: exchanges.Exchange,
        reply: exchanges.Reply,
        now_ms: float,
    ) -> None:
        """Take note of how a call of the target beside this node ended."""
        if isinstance(reply, errors.Refusal):
            stage = _STAGES.get(reply.reason, explain.Stage.EGRESS)
            self._refused(exchange, reply, stage, now_ms)

    def guard_refused(
        self,
        root_id: ids.RootId,
        organisation: ids.OrganisationId,
        service: ids.ServiceName,
        refusal: errors.Refusal,
        now_ms: float,
    ) -> None:
        """Take note of a call that the guard of this node refused."""
        self._note(
            root_id,
            organisation,
            service,
            refusal,
            explain.Stage.ADMIT,
            now_ms,
        )

    def step(
        self, root_id: ids.RootId, step: explain.Step, now_ms: float
    ) -> None:
        """Remember a step of a call if this call is followed."""
        if explain.is_sampled(root_id):
            self.calls.note(root_id, step, now_ms)

    def _refused(
        self,
        exchange: exchanges.Exchange,
        refusal: errors.Refusal,
        stage: explain.Stage,
        now_ms: float,
    ) -> None:
        context = exchange.context
        route = exchange.route
        self._note(
            context.root_id if context is not None else _NO_ROOT,
            exchange.organisation,
            route.service if route is not None else _NO_SERVICE,
            refusal,
            stage,
            now_ms,
        )

    def _note(
        self,
        root_id: ids.RootId,
        organisation: ids.OrganisationId,
        service: ids.ServiceName,
        refusal: errors.Refusal,
        stage: explain.Stage,
        now_ms: float,
    ) -> None:
        if root_id:
            step = explain.Refused(
                stage, refusal.outcome, refusal.reason, refusal.detail
            )
            self.calls.note(root_id, step, now_ms)
        self._log_event(
            logevents.CallRefused(
                root_id=root_id,
                organisation=organisation,
                service=service,
                outcome=refusal.outcome,
                reason=refusal.reason,
                why=refusal.detail,
                evidence=f'stage={stage.value}',
            )
        )


def observer(
    node_id: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    now_ms: float,
    log_event: LogEvent,
) -> Observer:
    """Create the observer of a node that has seen no call yet."""
    return Observer(
        explain.call_log(node_id),
        burn.burn_recorder(node_id, failure_domain, now_ms),
        log_event,
    )
