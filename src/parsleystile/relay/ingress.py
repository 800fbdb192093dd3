"""Accepts requests from callers and from the local target."""

import dataclasses
import random
import typing

from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import hopheaders
from parsleystile import ids
from parsleystile.relay import dispatch
from parsleystile.relay import guard as guards
from parsleystile.relay import headernames
from parsleystile.relay import httpserver
from parsleystile.relay import logevents
from parsleystile.relay import policy as policies
from parsleystile.relay import ratelimiter
from parsleystile.relay import subtreeshedding
from parsleystile.relay import telemetry
from parsleystile import shedding

_LOWEST_IMPORTANCE = 2
# A stopping node is usually replaced within this time; the range spreads the
# return of its callers.
_REPLACEMENT_RANGE_MS = (500, 1_500)
_MS_PER_S = 1000
# A starting node usually has its configuration within this time.
_NO_POLICY_RETRY_AFTER_MS = 500
# Range of the random Retry-After of a refusal that brings none; the spread
# keeps callers from returning all at once.
_RETRY_AFTER_RANGE_MS = (200, 600)
# Longer values are truncated; nine digits of milliseconds exceed any timeout.
_MAX_DEADLINE_DIGITS = 9
_STATUS_BY_REASON = {
    errors.Reason.KEY_MISSING: 401,
    errors.Reason.KEY_REJECTED: 401,
    errors.Reason.NO_ROUTE: 404,
    errors.Reason.MALFORMED: 400,
    errors.Reason.RATE_LIMITED: 429,
}
_SERVICE_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of an ingress.

    Attributes:
        policy: Returns the policy in force; None before the first one.
        own_service: Returns the service of the local target.
        is_target_busy: Returns whether the local target runs or awaits
            calls.
        input_age_ms: Returns how long input that is read at a time may have
            waited.
        route_balancer: Chooses among the destinations of a route.
    """

    header_names: headernames.HeaderNames
    policy: typing.Callable[[], policies.Policy | None]
    own_service: typing.Callable[[], ids.ServiceName]
    rate_limiter: ratelimiter.RateLimiter
    shedder: shedding.Shedder
    subtree_shedder: subtreeshedding.SubtreeShedder
    dispatch_deps: dispatch.Dependencies
    is_target_busy: typing.Callable[[], bool]
    input_age_ms: typing.Callable[[float], float]
    route_balancer: 'WeightedRoundRobin'
    rng: random.Random
    recorder: telemetry.Recorder


class WeightedRoundRobin:
    """Smooth weighted round-robin over the destinations of a route.

    Any run of consecutive requests is divided close to the weights.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._current_weights: dict[
            tuple[policies.Destination, ...], list[float]
        ] = {}

    def choose(self, route: policies.Route) -> ids.ServiceName:
        """Return the service for the next request of a route."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        total = sum(d.weight for d in destinations)
        current_weights = self._current_weights.get(destinations)
        if current_weights is None:
            # Random starting points keep the nodes from all sending their
            # first requests to the same service.
            current_weights = [
                self._rng.random() * total for _ in destinations
            ]
            self._current_weights[destinations] = current_weights
        for i, destination in enumerate(destinations):
            current_weights[i] += destination.weight
        best = max(
            range(len(current_weights)), key=current_weights.__getitem__
        )
        current_weights[best] -= total
        return destinations[best].service


@dataclasses.dataclass(slots=True)
class _RequestHead:
    """The headers of a request, parsed.

    Attributes:
        forwarded_headers: Names and values in turn, as sent to the target.
        key: Value of the key header, scheme included.
        caller_timeout_ms: From the deadline header; None if it is missing or
            not a number.
    """

    forwarded_headers: list[str]
    host: str = ''
    call_id: str = ''
    key: str = ''
    caller_timeout_ms: float | None = None


class Ingress:
    """Authorises, sheds and rate-limits requests, then dispatches them.

    Attributes:
        is_refusing: Whether new requests are refused because the node stops.
    """

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps
        self.is_refusing = False
        header_names = deps.header_names
        self._call_id_header = header_names.call_id.lower()
        self._deadline_header = header_names.deadline.lower()
        self._key_header = header_names.key.lower()
        # Headers that are read or dropped here; all others are forwarded.
        self._consumed_headers = (
            hopheaders.HOP_HEADERS
            | header_names.set_by_node()
            | {
                'host',
                self._call_id_header,
                self._deadline_header,
                self._key_header,
            }
        )

    def handle(self, request: httpserver.Request) -> None:
        """Handle a request; it is answered exactly once."""
        policy = self._deps.policy()
        head = self._read_head(request.headers)
        if policy is None:
            refusal = errors.not_run(
                errors.Reason.STORE_UNAVAILABLE,
                'no configuration yet',
                _NO_POLICY_RETRY_AFTER_MS,
            )
            self._refuse(request, head, None, '', refusal)
            return
        route = policy.match(head.host, request.path)
        authorised = self._authorise(request, head, route, policy)
        if isinstance(authorised, errors.Refusal):
            self._refuse(
                request, head, route, '', authorised, version=policy.version
            )
            return
        _IngressRequest(
            self, request, head, route, authorised, policy.version
        ).start()

    def _read_head(self, headers: list[str]) -> _RequestHead:
        forwarded: list[str] = []
        head = _RequestHead(forwarded)
        entries = iter(headers)
        for name, value in zip(entries, entries, strict=True):
            lower = name.lower()
            if lower not in self._consumed_headers:
                forwarded += (name, value)
            elif lower == self._key_header:
                head.key = value
            elif lower == self._deadline_header:
                if value.isascii() and value.isdigit():
                    head.caller_timeout_ms = float(
                        value[:_MAX_DEADLINE_DIGITS]
                    )
            elif lower == self._call_id_header:
                forwarded += (name, value)
                head.call_id = value
            elif lower == 'host':
                forwarded += (name, value)
                head.host = value
        return head

    def _authorise(
        self,
        request: httpserver.Request,
        head: _RequestHead,
        route: policies.Route | None,
        policy: policies.Policy,
    ) -> policies.Organisation | errors.Refusal | None:
        """Return the organisation of a request, or why it is rejected.

        None stands for a request that needs no organisation: one on an open
        route, one from the local target, or any if no organisations exist.
        """
        if route is None:
            return errors.not_run(
                errors.Reason.NO_ROUTE,
                f'no route for {head.host}{request.path[:80]}',
            )
        if not head.call_id:
            return errors.not_run(
                errors.Reason.MALFORMED,
                f'no {self._deps.header_names.call_id} header',
            )
        if not policy.needs_keys or (not head.key and request.is_local):
            return None
        scheme = self._deps.header_names.key_scheme
        if head.key.startswith(scheme):
            owner = policy.organisation_of(head.key[len(scheme) :])
            if owner is not None:
                return owner
        if route.is_open:
            return None
        if head.key:
            return errors.not_run(
                errors.Reason.KEY_REJECTED, 'the key is not in force'
            )
        return errors.not_run(
            errors.Reason.KEY_MISSING, 'the route needs a key'
        )

    def _refuse(
        self,
        request: httpserver.Request,
        head: _RequestHead,
        route: policies.Route | None,
        organisation: str,
        refusal: errors.Refusal,
        attempts: int = 0,
        version: int = 0,
    ) -> None:
        """Answer with a refusal, count it and log it."""
        deps = self._deps
        waited_ms = deps.dispatch_deps.clock.now_ms() - request.arrived_ms
        is_not_run = refusal.outcome is errors.Outcome.NOT_RUN
        if is_not_run:
            status = _STATUS_BY_REASON.get(
                refusal.reason, _SERVICE_UNAVAILABLE
            )
        elif refusal.reason is errors.Reason.DEADLINE:
            status = _GATEWAY_TIMEOUT
        else:
            status = _BAD_GATEWAY
        headers = ['Content-Type', 'text/plain']
        retry_after_ms = 0
        if status in (_SERVICE_UNAVAILABLE, 429):
            retry_after_ms = refusal.retry_after_ms or deps.rng.randint(
                *_RETRY_AFTER_RANGE_MS
            )
            headers += ['Retry-After', f'{retry_after_ms / _MS_PER_S:.3f}']
        if head.call_id:
            headers += [deps.header_names.call_id, head.call_id]
        reason = refusal.reason.name.lower()
        deps.recorder.request_ended(
            'refused' if is_not_run else 'unknown', reason, waited_ms
        )
        request.answer(status, headers, f'{reason}\n'.encode())
        kind = logevents.CallRefused if is_not_run else logevents.CallUnknown
        if not deps.recorder.log.try_acquire(kind):
            return
        fields = {
            'call': head.call_id,
            'organisation': organisation,
            'route': route.route_id if route else '',
            'reason': reason,
            'detail': refusal.detail,
            'status': status,
            'sends': attempts,
            'waited_ms': round(waited_ms, 1),
            'policy_version': version,
        }
        if is_not_run:
            fields['retry_after_ms'] = retry_after_ms
        deps.recorder.log.append(kind(**fields))


class _IngressRequest:
    """An authorised request until its answer."""

    __slots__ = (
        '_ingress',
        '_head',
        '_organisation',
        '_request',
        '_route',
        '_dispatch',
        '_version',
    )

    def __init__(
        self,
        ingress: Ingress,
        request: httpserver.Request,
        head: _RequestHead,
        route: policies.Route,
        organisation: policies.Organisation | None,
        version: int,
    ) -> None:
        self._ingress = ingress
        self._request = request
        self._head = head
        self._route = route
        self._organisation = organisation
        self._version = version
        self._dispatch: dispatch.Dispatch | None = None

    @property
    def _organisation_id(self) -> ids.OrganisationId:
        if self._organisation is None:
            return ids.OPEN_ORGANISATION
        return self._organisation.organisation_id

    def start(self) -> None:
        request = self._request
        deps = self._ingress._deps
        request.on_disconnect = self._on_disconnect
        request.on_shutdown = self._on_shutdown
        route = self._route
        timeout_ms = route.timeout_ms
        if self._head.caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, self._head.caller_timeout_ms)
        age_ms = deps.input_age_ms(request.arrived_ms)
        deadline_ms = request.arrived_ms + timeout_ms - age_ms
        if age_ms >= timeout_ms:
            self._refuse(
                errors.not_run(
                    errors.Reason.DEADLINE,
                    f'waited up to {age_ms:.0f} ms to be read',
                )
            )
            return
        is_child = self._organisation is None and request.is_local
        if self._ingress.is_refusing and not (
            is_child and deps.is_target_busy()
        ):
            self._refuse(
                errors.not_run(
                    errors.Reason.LEAVING,
                    'the node stops',
                    deps.rng.randint(*_REPLACEMENT_RANGE_MS),
                )
            )
            return
        rank = self._importance(is_child) + deps.rng.random()
        if not is_child:
            refusal = self._shed(rank)
            if refusal is not None:
                self._refuse(self._with_rate_wait(refusal))
                return
        call = self._build_call(rank, is_child)
        self._dispatch = dispatch.Dispatch(
            deps.dispatch_deps, call, route, deadline_ms, self._finish
        )
        if self._organisation is None:
            self._dispatch.start()
        else:
            deps.rate_limiter.acquire(
                self._organisation_id, self._on_rate_decision
            )

    def _shed(self, rank: float) -> errors.Refusal | None:
        """Return a refusal if a guard on the request's way would refuse."""
        deps = self._ingress._deps
        now_ms = self._request.arrived_ms
        route_id = self._route.route_id
        return deps.subtree_shedder.decide(
            route_id, rank, now_ms
        ) or deps.shedder.decide(route_id, rank, now_ms, self._organisation_id)

    def _with_rate_wait(self, refusal: errors.Refusal) -> errors.Refusal:
        """Return a refusal that tells no time before a target takes a call."""
        deps = self._ingress._deps.dispatch_deps
        now_ms = deps.clock.now_ms()
        wait_ms = min(
            deps.balancer.rate_wait_ms(destination.service, now_ms)
            for destination in self._route.destinations
        )
        retry_after_ms = max(refusal.retry_after_ms, int(wait_ms))
        return dataclasses.replace(refusal, retry_after_ms=retry_after_ms)

    def _importance(self, is_child: bool) -> int:
        if is_child:
            return subtreeshedding.CHILD_CLASS
        priority = self._route.priority
        owner = self._organisation
        if owner is not None and owner.priority is not None:
            priority = owner.priority
        return max(0, min(priority, _LOWEST_IMPORTANCE))

    def _build_call(self, rank: float, is_child: bool) -> ttypes.Call:
        deps = self._ingress._deps
        request = self._request
        importance = int(rank)
        return ttypes.Call(
            call_id=0,
            root_id=self._head.call_id,
            organisation=self._organisation_id,
            importance=importance,
            deadline_ms=0,
            depth=guards.CHILD_DEPTH if is_child else guards.ROOT_DEPTH,
            retry_allowance=0,
            idempotent=self._route.is_idempotent,
            draw=rank - importance,
            caller_service=deps.own_service(),
            callee_service=deps.route_balancer.choose(self._route),
            route=self._route.route_id,
            method=request.method,
            path=request.path,
            headers=self._head.forwarded_headers,
            body=request.body,
            idempotency_key='',
        )

    def _on_rate_decision(self, refusal: errors.Refusal | None) -> None:
        if not self._request.is_open:
            if refusal is None:
                self._ingress._deps.rate_limiter.refund(self._organisation_id)
            return
        if refusal is not None:
            self._refuse(refusal)
            return
        self._dispatch.start()

    def _finish(self, reply: dispatch.Reply) -> None:
        if isinstance(reply, errors.Refusal):
            if (
                reply.outcome is errors.Outcome.NOT_RUN
                and self._organisation is not None
            ):
                self._ingress._deps.rate_limiter.refund(self._organisation_id)
            self._refuse(reply)
            return
        deps = self._ingress._deps
        request = self._request
        waited_ms = deps.dispatch_deps.clock.now_ms() - request.arrived_ms
        deps.recorder.request_ended(
            'answered', f'{reply.status // 100}xx', waited_ms
        )
        request.answer(
            reply.status, _end_to_end_headers(reply.headers), reply.body
        )
        if not deps.recorder.log.try_acquire(logevents.CallAnswered):
            return
        deps.recorder.log.append(
            logevents.CallAnswered(
                call=self._head.call_id,
                organisation=self._organisation_id,
                route=self._route.route_id,
                service=self._dispatch.service,
                node=self._dispatch.node_id,
                status=reply.status,
                sends=self._dispatch.attempts,
                waited_ms=round(waited_ms, 1),
                policy_version=self._version,
            )
        )

    def _refuse(self, refusal: errors.Refusal) -> None:
        attempts = 0 if self._dispatch is None else self._dispatch.attempts
        self._ingress._refuse(
            self._request,
            self._head,
            self._route,
            self._organisation_id,
            refusal,
            attempts,
            self._version,
        )

    def _on_shutdown(self) -> None:
        if self._dispatch is not None and self._dispatch.attempts:
            self._dispatch.give_up(errors.Reason.LEAVING, 'the node ends')
        else:
            self._refuse(
                errors.not_run(errors.Reason.LEAVING, 'the node ends')
            )

    def _on_disconnect(self, why: httpserver.Disconnect) -> None:
        deps = self._ingress._deps
        attempts = 0
        if self._dispatch is not None:
            attempts = self._dispatch.attempts
            if attempts:
                self._dispatch.cancel()
            self._dispatch = None
        waited_ms = (
            deps.dispatch_deps.clock.now_ms() - self._request.arrived_ms
        )
        fields = {
            'call': self._head.call_id,
            'route': self._route.route_id,
            'sends': attempts,
            'waited_ms': round(waited_ms, 1),
        }
        if why is httpserver.Disconnect.CALLER_LEFT:
            end, event = 'abandoned', logevents.CallAbandoned(**fields)
        else:
            end = 'cut'
            event = logevents.CallCut(reason=why.value, **fields)
        deps.recorder.request_ended(end, why.value, waited_ms)
        deps.recorder.log.write(event)


def _end_to_end_headers(headers: list[str]) -> list[str]:
    """Return the headers of an answer without the hop-by-hop ones."""
    forwarded: list[str] = []
    for i in range(0, len(headers), 2):
        if headers[i].lower() not in hopheaders.HOP_HEADERS:
            forwarded.append(headers[i])
            forwarded.append(headers[i + 1])
    return forwarded


def ingress(deps: Dependencies) -> Ingress:
    """Create an ingress."""
    return Ingress(deps)
