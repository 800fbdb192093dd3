"""Takes requests of callers and of the target beside this node."""

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
from parsleystile.relay import telemetry
from parsleystile import shedding

_LEAST_IMPORTANT = 2
_MS_PER_S = 1000
# A node without configuration usually has one within this time.
_NO_POLICY_RETRY_AFTER_MS = 500
# Where a refusal names no time to come back, this one spreads callers out.
_RETRY_AFTER_MS = (200, 600)
# Longer than any deadline of a caller.
_MAX_DIGITS = 9
_NOT_RUN_STATUS = {
    errors.Reason.KEY_MISSING: 401,
    errors.Reason.KEY_REJECTED: 401,
    errors.Reason.NO_ROUTE: 404,
    errors.Reason.MALFORMED: 400,
    errors.Reason.RATE_LIMITED: 429,
}
_BUSY = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What a front decides and sends with.

    Attributes:
        policy: Returns what is in force; None while nothing is.
        own_service: Returns the service of the target beside this node.
        split: Chooses among the destinations of a route.
    """

    names: headernames.HeaderNames
    policy: typing.Callable[[], policies.Policy | None]
    own_service: typing.Callable[[], ids.ServiceName]
    rate_limiter: ratelimiter.RateLimiter
    shedder: shedding.Shedder
    sender: dispatch.Dependencies
    split: 'WeightedRoundRobin'
    rng: random.Random
    recorder: telemetry.Recorder


class WeightedRoundRobin:
    """Divides the requests of a route by weight, evenly at any length."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[tuple[policies.Destination, ...], list[float]] = {}

    def choose(self, route: policies.Route) -> ids.ServiceName:
        """Return the service for the next request of a route."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        total = sum(d.weight for d in destinations)
        credits = self._credits.get(destinations)
        if credits is None:
            # Nodes start at different points, or they would all begin with
            # the same service.
            credits = [self._rng.random() * total for _ in destinations]
            self._credits[destinations] = credits
        for i, destination in enumerate(destinations):
            credits[i] += destination.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return destinations[best].service


@dataclasses.dataclass(slots=True)
class _Head:
    """What the headers of a request say."""

    kept: list[str]
    host: str = ''
    call_id: str = ''
    key: str = ''
    wait_ms: float | None = None


class Ingress:
    """Passes each request through its checks and sends it on."""

    def __init__(self, parts: Dependencies) -> None:
        self._parts = parts
        names = parts.names
        self._call_id = names.call_id.lower()
        self._deadline = names.deadline.lower()
        self._key = names.key.lower()
        # All others are passed on unread.
        self._noted = (
            hopheaders.HOP_HEADERS
            | names.set_by_node()
            | {'host', self._call_id, self._deadline, self._key}
        )

    def handle(self, request: httpserver.Request) -> None:
        """Take a request; it is answered exactly once."""
        policy = self._parts.policy()
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
        found = self._authorise(request, head, route, policy)
        if isinstance(found, errors.Refusal):
            self._refuse(
                request, head, route, '', found, version=policy.version
            )
            return
        _Passage(self, request, head, route, found, policy.version).start()

    def _read_head(self, headers: list[str]) -> _Head:
        kept: list[str] = []
        head = _Head(kept)
        entries = iter(headers)
        for name, value in zip(entries, entries, strict=True):
            lower = name.lower()
            if lower not in self._noted:
                kept += (name, value)
            elif lower == self._key:
                head.key = value
            elif lower == self._deadline:
                if value.isascii() and value.isdigit():
                    head.wait_ms = float(value[:_MAX_DIGITS])
            elif lower == self._call_id:
                kept += (name, value)
                head.call_id = value
            elif lower == 'host':
                kept += (name, value)
                head.host = value
        return head

    def _authorise(
        self,
        request: httpserver.Request,
        head: _Head,
        route: policies.Route | None,
        policy: policies.Policy,
    ) -> policies.Organisation | errors.Refusal | None:
        """Return whose request it is; None where that does not matter."""
        if route is None:
            return errors.not_run(
                errors.Reason.NO_ROUTE,
                f'no route for {head.host}{request.path[:80]}',
            )
        if not head.call_id:
            return errors.not_run(
                errors.Reason.MALFORMED,
                f'no {self._parts.names.call_id} header',
            )
        if not policy.needs_keys or (not head.key and request.is_local):
            return None
        scheme = self._parts.names.key_scheme
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
        head: _Head,
        route: policies.Route | None,
        organisation: str,
        refusal: errors.Refusal,
        sends: int = 0,
        version: int = 0,
    ) -> None:
        """Answer with a refusal and record what led to it."""
        parts = self._parts
        waited_ms = parts.sender.clock.now_ms() - request.arrived_ms
        is_not_run = refusal.outcome is errors.Outcome.NOT_RUN
        if is_not_run:
            status = _NOT_RUN_STATUS.get(refusal.reason, _BUSY)
        elif refusal.reason is errors.Reason.DEADLINE:
            status = _GATEWAY_TIMEOUT
        else:
            status = _BAD_GATEWAY
        headers = ['Content-Type', 'text/plain']
        retry_after_ms = 0
        if status in (_BUSY, 429):
            retry_after_ms = refusal.retry_after_ms or parts.rng.randint(
                *_RETRY_AFTER_MS
            )
            headers += ['Retry-After', f'{retry_after_ms / _MS_PER_S:.3f}']
        if head.call_id:
            headers += [parts.names.call_id, head.call_id]
        reason = refusal.reason.name.lower()
        parts.recorder.ended(
            'refused' if is_not_run else 'unknown', reason, waited_ms
        )
        request.answer(status, headers, f'{reason}\n'.encode())
        kind = logevents.CallRefused if is_not_run else logevents.CallUnknown
        if not parts.recorder.log.wants(kind):
            return
        fields = {
            'call': head.call_id,
            'organisation': organisation,
            'route': route.route_id if route else '',
            'reason': reason,
            'detail': refusal.detail,
            'status': status,
            'sends': sends,
            'waited_ms': round(waited_ms, 1),
            'policy_version': version,
        }
        if is_not_run:
            fields['retry_after_ms'] = retry_after_ms
        parts.recorder.log.append(kind(**fields))


class _Passage:
    """One request between its checks and its answer."""

    __slots__ = (
        '_ingress',
        '_head',
        '_organisation',
        '_request',
        '_route',
        '_sending',
        '_version',
    )

    def __init__(
        self,
        ingress: Ingress,
        request: httpserver.Request,
        head: _Head,
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
        self._sending: dispatch.Dispatch | None = None

    @property
    def _organisation_id(self) -> ids.OrganisationId:
        if self._organisation is None:
            return ids.OPEN_ORGANISATION
        return self._organisation.organisation_id

    def start(self) -> None:
        request = self._request
        parts = self._ingress._parts
        request.on_gone = self._abandon
        route = self._route
        given_ms = route.timeout_ms
        if self._head.wait_ms is not None:
            given_ms = min(given_ms, self._head.wait_ms)
        deadline_ms = request.arrived_ms + given_ms
        is_child = self._organisation is None and request.is_local
        rank = self._importance(is_child) + parts.rng.random()
        if not is_child:
            refusal = parts.shedder.decide(
                route.route_id,
                rank,
                request.arrived_ms,
                self._organisation_id,
            )
            if refusal is not None:
                self._refuse(refusal)
                return
        call = self._call(rank, is_child)
        self._sending = dispatch.Dispatch(
            parts.sender, call, route, deadline_ms, self._finish
        )
        if self._organisation is None:
            self._sending.start()
        else:
            parts.rate_limiter.take(self._organisation_id, self._on_take)

    def _importance(self, is_child: bool) -> int:
        if is_child:
            return _LEAST_IMPORTANT
        priority = self._route.priority
        owner = self._organisation
        if owner is not None and owner.priority is not None:
            priority = owner.priority
        return max(0, min(priority, _LEAST_IMPORTANT))

    def _call(self, rank: float, is_child: bool) -> ttypes.Call:
        parts = self._ingress._parts
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
            caller_service=parts.own_service(),
            callee_service=parts.split.choose(self._route),
            route=self._route.route_id,
            method=request.method,
            path=request.path,
            headers=self._head.kept,
            body=request.body,
            idempotency_key='',
        )

    def _on_take(self, refusal: errors.Refusal | None) -> None:
        if not self._request.is_open:
            if refusal is None:
                self._ingress._parts.rate_limiter.refund(self._organisation_id)
            return
        if refusal is not None:
            self._refuse(refusal)
            return
        self._sending.start()

    def _finish(self, reply: dispatch.Reply) -> None:
        if isinstance(reply, errors.Refusal):
            if (
                reply.outcome is errors.Outcome.NOT_RUN
                and self._organisation is not None
            ):
                self._ingress._parts.rate_limiter.refund(self._organisation_id)
            self._refuse(reply)
            return
        parts = self._ingress._parts
        request = self._request
        waited_ms = parts.sender.clock.now_ms() - request.arrived_ms
        parts.recorder.ended('answered', f'{reply.status // 100}xx', waited_ms)
        request.answer(reply.status, _kept(reply.headers), reply.body)
        if not parts.recorder.log.wants(logevents.CallAnswered):
            return
        parts.recorder.log.append(
            logevents.CallAnswered(
                call=self._head.call_id,
                organisation=self._organisation_id,
                route=self._route.route_id,
                service=self._sending.service,
                node=self._sending.node_id,
                status=reply.status,
                sends=self._sending.sends,
                waited_ms=round(waited_ms, 1),
                policy_version=self._version,
            )
        )

    def _refuse(self, refusal: errors.Refusal) -> None:
        sends = 0 if self._sending is None else self._sending.sends
        self._ingress._refuse(
            self._request,
            self._head,
            self._route,
            self._organisation_id,
            refusal,
            sends,
            self._version,
        )

    def _abandon(self) -> None:
        parts = self._ingress._parts
        sends = 0
        if self._sending is not None:
            sends = self._sending.sends
            if sends:
                self._sending.cancel()
        waited_ms = parts.sender.clock.now_ms() - self._request.arrived_ms
        parts.recorder.ended('abandoned', 'caller-left', waited_ms)
        parts.recorder.log.write(
            logevents.CallAbandoned(
                call=self._head.call_id,
                route=self._route.route_id,
                sends=sends,
                waited_ms=round(waited_ms, 1),
            )
        )


def _kept(headers: list[str]) -> list[str]:
    """Return the headers of an answer that go back to its caller."""
    kept: list[str] = []
    for i in range(0, len(headers), 2):
        if headers[i].lower() not in hopheaders.HOP_HEADERS:
            kept.append(headers[i])
            kept.append(headers[i + 1])
    return kept


def ingress(parts: Dependencies) -> Ingress:
    """Create a front."""
    return Ingress(parts)
