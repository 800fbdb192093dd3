"""Records events of calls in burn counters, call log, log and history.

Ingress, egress, dispatcher and guard report to the observer what happened
to a call; the observer distributes it to the recorders concerned.
"""

import hashlib
import typing

from parsleystile import burn
from parsleystile import context
from parsleystile import errors
from parsleystile import events
from parsleystile import exchange as exchanges
from parsleystile import explain
from parsleystile import fleetconfig
from parsleystile import history
from parsleystile import ids
from parsleystile import logevents

_NO_ROOT_ID = ids.RootId('')
_NO_SERVICE = ids.ServiceName('')

# Processing stage of each refusal reason; ingress and egress default to CALL
# and EGRESS for the others.
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
    """Records events of the calls of one node.

    Attributes:
        call_log: Steps of recent calls.
        burn_recorder: Counters of root requests.
        history_recorder: Records the history for the invariant checkers in
            tests and rehearsals; None in normal operation.
    """

    def __init__(
        self,
        call_log: explain.CallLog,
        burn_recorder: burn.BurnRecorder,
        log_event: LogEvent,
        history_recorder: history.Recorder | None,
    ) -> None:
        self.call_log = call_log
        self.burn_recorder = burn_recorder
        self.history_recorder = history_recorder
        self._log_event = log_event

    def started(self) -> None:
        """Record that the node has begun to serve."""
        if self.history_recorder is not None:
            self.history_recorder.record(events.NodeStarted())

    def config_in_force(self, config: fleetconfig.FleetConfig) -> None:
        """Record the configuration that the node applies from now on."""
        if self.history_recorder is not None:
            document = fleetconfig.encode(config)
            digest = hashlib.blake2b(document, digest_size=8).hexdigest()
            self.history_recorder.record(
                events.ConfigInForce(
                    version=config.version,
                    preset=config.active_preset,
                    digest=digest,
                )
            )

    def root_admitted(
        self, exchange: exchanges.Exchange, now_ms: float
    ) -> None:
        """Record a root request that the ingress admitted."""
        call = exchange.context
        if self.history_recorder is not None:
            self.history_recorder.record(
                _admitted_event(events.Stage.INGRESS, call)
            )
        if explain.is_sampled(call.root_id):
            step = explain.Received(
                call.organisation,
                exchange.route.service,
                call.depth,
                call.remaining_ms(now_ms),
            )
            self.call_log.record(call.root_id, step, now_ms)

    def quota_taken(self, organisation: ids.OrganisationId) -> None:
        """Record a request that passed its organisation's rate limit."""
        if self.history_recorder is not None:
            self.history_recorder.record(
                events.QuotaTaken(organisation=organisation)
            )

    def sent(
        self,
        call: context.CallContext,
        node_id: ids.NodeId,
        attempt: int,
        now_ms: float,
    ) -> None:
        """Record an attempt to send a call."""
        if explain.is_sampled(call.root_id):
            step = explain.Sent(node_id, attempt)
            self.call_log.record(call.root_id, step, now_ms)

    def retried(
        self,
        call: context.CallContext,
        reason: errors.Reason,
        allowance_left: int,
        now_ms: float,
    ) -> None:
        """Record that a refused attempt will be retried."""
        if self.history_recorder is not None:
            self.history_recorder.record(
                events.Retried(
                    root_id=call.root_id,
                    depth=call.depth,
                    after=reason,
                    allowance_left=allowance_left,
                )
            )
        step = explain.Retried(reason, allowance_left)
        self.call_log.record(call.root_id, step, now_ms)

    def target_called(
        self,
        call: context.CallContext,
        target_id: ids.TargetId,
        token: ids.ContextToken,
        load: tuple[int, int],
        now_ms: float,
    ) -> None:
        """Record that the guard is about to send a call to its target.

        Args:
            call: Context of the call.
            target_id: The target.
            token: Context token passed to the target.
            load: Calls in flight at the target, including this one, and
                the concurrency limit.
            now_ms: Current time in milliseconds.
        """
        if self.history_recorder is not None:
            self.history_recorder.record(
                _admitted_event(events.Stage.GUARD, call)
            )
            self.history_recorder.record(
                events.TargetCalled(
                    target_id=target_id,
                    root_id=call.root_id,
                    token=token,
                    organisation=call.organisation,
                    depth=call.depth,
                )
            )
        if explain.is_sampled(call.root_id):
            self.call_log.record(call.root_id, explain.Admitted(*load), now_ms)

    def cancelled(self, call: context.CallContext) -> None:
        """Record that no caller waits for a call at the target any more."""
        if self.history_recorder is not None:
            self.history_recorder.record(
                events.Cancelled(root_id=call.root_id, depth=call.depth)
            )

    def root_done(
        self,
        exchange: exchanges.Exchange,
        reply: exchanges.Reply,
        now_ms: float,
    ) -> None:
        """Record how a root request ended."""
        latency_ms = now_ms - exchange.arrived_ms
        if isinstance(reply, exchanges.Answer):
            self.burn_recorder.record(
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
                self.call_log.record(context.root_id, step, now_ms)
            return
        self.burn_recorder.record(
            exchange.organisation,
            reply.outcome,
            reply.reason,
            latency_ms,
            reply.reason is not errors.Reason.RATE_LIMITED,
            now_ms,
        )
        stage = _STAGES.get(reply.reason, explain.Stage.CALL)
        self._record_refusal(
            events.Stage.INGRESS, exchange.context, exchange, reply
        )
        self._log_exchange_refusal(exchange, reply, stage, now_ms)

    def child_done(
        self,
        exchange: exchanges.Exchange,
        reply: exchanges.Reply,
        now_ms: float,
    ) -> None:
        """Record how a child call of this node's own target ended."""
        if isinstance(reply, errors.Refusal):
            stage = _STAGES.get(reply.reason, explain.Stage.EGRESS)
            self._record_refusal(
                events.Stage.EGRESS, exchange.context, exchange, reply
            )
            self._log_exchange_refusal(exchange, reply, stage, now_ms)

    def guard_refused(
        self,
        call: context.CallContext,
        service: ids.ServiceName,
        refusal: errors.Refusal,
        now_ms: float,
    ) -> None:
        """Record a call that the guard of this node refused."""
        self._record_refusal(events.Stage.GUARD, call, call, refusal)
        self._log_refusal(
            call.root_id,
            call.organisation,
            service,
            refusal,
            explain.Stage.ADMIT,
            now_ms,
        )

    def _record_refusal(
        self,
        stage: events.Stage,
        call: context.CallContext | None,
        source: exchanges.Exchange | context.CallContext,
        refusal: errors.Refusal,
    ) -> None:
        if self.history_recorder is None:
            return
        self.history_recorder.record(
            events.Refused(
                stage=stage,
                root_id=_NO_ROOT_ID if call is None else call.root_id,
                organisation=source.organisation,
                importance=_importance_of(call),
                rank=0.0 if call is None else call.rank,
                outcome=refusal.outcome,
                reason=refusal.reason,
                depth=1 if call is None else call.depth,
            )
        )

    def _log_exchange_refusal(
        self,
        exchange: exchanges.Exchange,
        refusal: errors.Refusal,
        stage: explain.Stage,
        now_ms: float,
    ) -> None:
        context = exchange.context
        route = exchange.route
        self._log_refusal(
            context.root_id if context is not None else _NO_ROOT_ID,
            exchange.organisation,
            route.service if route is not None else _NO_SERVICE,
            refusal,
            stage,
            now_ms,
        )

    def _log_refusal(
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
            self.call_log.record(root_id, step, now_ms)
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


def _importance_of(call: context.CallContext | None) -> context.Importance:
    return context.Importance.NORMAL if call is None else call.importance


def _admitted_event(
    stage: events.Stage, call: context.CallContext
) -> events.Admitted:
    return events.Admitted(
        stage=stage,
        root_id=call.root_id,
        organisation=call.organisation,
        importance=call.importance,
        rank=call.rank,
        depth=call.depth,
        retry_allowance=call.retry_allowance,
    )


def observer(
    node_id: ids.NodeId,
    failure_domain: ids.FailureDomainId,
    now_ms: float,
    log_event: LogEvent,
    history_recorder: history.Recorder | None = None,
) -> Observer:
    """Create an observer with empty recorders."""
    return Observer(
        explain.call_log(node_id),
        burn.burn_recorder(node_id, failure_domain, now_ms),
        log_event,
        history_recorder,
    )
