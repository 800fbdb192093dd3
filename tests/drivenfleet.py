"""Simulated fleet of whole nodes with a faulty network and faulty targets."""

import dataclasses
import enum
import random

from parsleystile import deadlines
from parsleystile import errors
from parsleystile import events
from parsleystile import exchange as exchanges
from parsleystile import fleetconfig
from parsleystile import membership
from parsleystile import metrics
from parsleystile import node as nodes
from parsleystile import observer
from parsleystile import settings
from parsleystile import targetanswer
from parsleystile import targetclient
from parsleystile import targetwatch
from parsleystile import transport
from stubs import memorytable
from stubs import processes
from stubs import tablestate
from tests import driven

SECRET = 'fleet-secret'
SERVICES = ('a', 'b', 'c')
KEYS = {'org1': 'key-of-org1-0001', 'org2': 'key-of-org2-0002'}
_TIMEOUT_MS = 400


class Fate(enum.Enum):
    """Result of one execution or one message."""

    WELL = 'well'
    # The message or request is refused before a byte of it leaves.
    UNSENT = 'unsent'
    # It arrives, but the answer is lost.
    ANSWER_LOST = 'answer lost'
    # It is lost; the sender can't tell that from a lost answer.
    LOST = 'lost'
    # The answer is late, possibly after the deadline.
    LATE = 'late'
    # The target answers with status 500.
    ERROR = 'error'


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of a caller."""

    at_ms: int
    node: int
    organisation: str
    path: str
    cancel_after_ms: int | None


@dataclasses.dataclass(frozen=True)
class Plan:
    """All parameters of a run."""

    seed: int
    requests: tuple[Request, ...]
    links: tuple[Fate, ...]
    targets: tuple[Fate, ...]
    leaving: tuple[int, ...]


class _WheelDriver:
    """Expires one node's deadline wheel on the scheduler."""

    def __init__(self, scheduler):
        self._scheduler = scheduler
        self.wheel = deadlines.DeadlineWheel(self._schedule)

    def _schedule(self):
        due_ms = self.wheel.next_due_ms
        if due_ms is not None:
            delay_ms = max(0.0, due_ms - self._scheduler.now_ms)
            self._scheduler.after(delay_ms, self._expire)

    def _expire(self):
        self.wheel.expire(self._scheduler.now_ms)
        self._schedule()


class _Pending(transport.PendingCall):
    def __init__(self):
        self.is_cancelled = False
        self.inner = None

    def cancel(self):
        self.is_cancelled = True
        if self.inner is not None:
            self.inner.cancel()


class _Network(transport.Transport):
    """Delivers calls to the guards of other nodes, with faults."""

    def __init__(self, fleet):
        self._fleet = fleet

    def call(self, to, call, on_answer):
        pending = _Pending()
        fate = self._fleet.next_link_fate()
        after = self._fleet.after
        if fate is Fate.UNSENT:
            refusal = errors.not_run(errors.Reason.UNREACHABLE)
            after(1.0, self._answer, pending, on_answer, refusal)
            return pending
        delay_ms = 300.0 if fate is Fate.LATE else 0.0

        is_cut = fate in (Fate.LOST, Fate.ANSWER_LOST)
        if is_cut:
            refusal = errors.unknown(errors.Reason.LINK_LOST)
            after(2.0, self._answer, pending, on_answer, refusal)

        def return_answer(answer):
            if not is_cut:
                after(1.0 + delay_ms, self._answer, pending, on_answer, answer)

        if fate is not Fate.LOST:
            after(
                1.0 + delay_ms, self._deliver, to, call, return_answer, pending
            )
        return pending

    def _deliver(self, to, call, return_answer, pending):
        guard = self._fleet.node_at(to.address).guard
        pending.inner = guard.submit(call, return_answer)
        if pending.is_cancelled and pending.inner is not None:
            pending.inner.cancel()

    def _answer(self, pending, on_answer, answer):
        if not pending.is_cancelled:
            on_answer(answer)

    def control(self, to, kind, payload, timeout_ms, on_reply):
        raise NotImplementedError

    def handle_control(self, kind, handler):
        pass

    def send_datagram(self, to, payload):
        pass

    def handle_datagrams(self, handler):
        pass


class _Target(targetclient.TargetCaller):
    """A target that makes one child call per call, along a chain."""

    def __init__(self, fleet, index):
        self._fleet = fleet
        self._index = index
        self.service = SERVICES[index % len(SERVICES)]
        self.target_id = f't{index}'

    def send(self, request, on_answer):
        fleet = self._fleet
        fate = fleet.next_target_fate()
        pending = _Pending()

        def answer(result):
            if not pending.is_cancelled:
                on_answer(result)

        if fate is Fate.UNSENT:
            refusal = errors.not_run(errors.Reason.UNREACHABLE)
            fleet.after(0.5, answer, refusal)
            return pending
        headers = dict(
            zip(request.headers[::2], request.headers[1::2], strict=True)
        )
        request_id, call_path, root_id = headers['X-Trial'].split(' ')
        fleet.record(
            self.target_id,
            events.Executed(
                target_id=self.target_id,
                request_id=request_id,
                call_path=call_path,
                root_request_id=root_id,
                token=headers[exchanges.CONTEXT_HEADER],
                headers=tuple(f'{k}: {v}' for k, v in headers.items()),
                path=request.url,
            ),
        )
        body = f'{request_id} at {self.target_id}'.encode()

        def end(status=200):
            fleet.record(
                self.target_id,
                events.ExecutionEnded(
                    target_id=self.target_id,
                    request_id=request_id,
                    body_digest=body.decode(),
                ),
            )
            if fate is Fate.ANSWER_LOST:
                answer(errors.unknown(errors.Reason.TARGET_FAILED))
            else:
                code = 500 if fate is Fate.ERROR else status
                answer(targetanswer.TargetAnswer(code, [], body))

        work_ms = 350.0 if fate is Fate.LATE else 5.0
        fleet.after(work_ms, self._child, headers, end, pending)
        return pending

    def _child(self, headers, end, pending):
        if pending.is_cancelled:
            return
        request_id, call_path, root_id = headers['X-Trial'].split(' ')
        depth = call_path.count('/') + 1
        if depth >= len(SERVICES):
            end()
            return
        self._fleet.child_call(
            self._index,
            f'{call_path}/{SERVICES[depth]}',
            root_id,
            headers[exchanges.CONTEXT_HEADER],
            lambda reply: end(
                200 if isinstance(reply, exchanges.Answer) else 502
            ),
        )


def address_of(index):
    """Return the address of the node with an index."""
    return transport.Address('127.0.0.1', index)


class Fleet:
    """Two nodes per service; ``hook`` may modify each node once built."""

    def __init__(self, plan, hook=None):
        self._plan = plan
        self._scheduler = driven.Scheduler()
        self._link_fates_used = 0
        self._target_fates_used = 0
        self._request_count = 0
        self._table = tablestate.table_state()
        config = _config()
        self._nodes = [self._build(index) for index in range(6)]
        known_members = tuple(
            node.membership.local_member for node in self._nodes
        )
        for index, node in enumerate(self._nodes):
            node.put_in_force(config)
            service = SERVICES[index % len(SERVICES)]
            announcement = targetwatch.Announced(service, f'i{index}', 80, 8)
            node.handle_target(announcement)
            _fill_retry_budgets(node)
            # Fleet-wide quotas have simulations of their own.
            node.ingress._take_quota = _grant_quota
            if hook:
                hook(node)
        known_members = tuple(
            node.membership.local_member for node in self._nodes
        )
        self._share_members(known_members)

    def new_node(self):
        """Build a node without configuration and members."""
        return self._build(0)

    def _build(self, index):
        name = f'n{index}'
        address = address_of(index)
        return nodes.build_node(
            nodes.Environment(
                identity=settings.Identity(
                    node_id=name,
                    vm=name,
                    region='r',
                    failure_domain=f'd{index % 2}',
                ),
                link=address,
                gossip=address,
                secret=SECRET.encode(),
                clock=self._scheduler.clock,
                rng=random.Random(self._plan.seed + index),
                wheel=_WheelDriver(self._scheduler).wheel,
                transport=_Network(self),
                target=_Target(self, index),
                table=memorytable.memory_table(self._table, 'd0'),
                metrics=metrics.memory_metrics(),
                observed=observer.observer(
                    name,
                    f'd{index % 2}',
                    0.0,
                    lambda event: None,
                    self._scheduler.recorder(name),
                ),
            )
        )

    def _share_members(self, known_members):
        for node in self._nodes:
            event = membership.Learned(known_members)
            node.membership.handle(event, self._scheduler.now_ms)
            node.refresh_members()

    def after(self, delay_ms, callback, *args):
        self._scheduler.after(delay_ms, callback, *args)

    def record(self, node_id, event):
        self._scheduler.record(node_id, event)

    def node_at(self, address):
        return self._nodes[address.port]

    def next_link_fate(self):
        self._link_fates_used += 1
        return self._plan.links[self._link_fates_used % len(self._plan.links)]

    def next_target_fate(self):
        self._target_fates_used += 1
        return self._plan.targets[
            self._target_fates_used % len(self._plan.targets)
        ]

    def run(self):
        for request in self._plan.requests:
            self.after(request.at_ms, self._root_call, request)
        for number, index in enumerate(self._plan.leaving):
            self.after(10 + 20 * number, self._leave, index)
        self._scheduler.run(4500.0)
        return self._scheduler.history()

    def _leave(self, index):
        leaving = events.TargetLeaving(target_id=f't{index}')
        self.record(f't{index}', leaving)
        self._nodes[index].handle_target(targetwatch.Left())

    def _root_call(self, request):
        self._request_count += 1
        request_id = f'q{self._request_count}'
        config = self._nodes[request.node].config()
        route = config.match_route('POST', request.path)[1]
        self.record(
            'caller',
            events.RequestSent(
                request_id=request_id,
                call_path=SERVICES[0],
                root_request_id=request_id,
                organisation=request.organisation,
                key=KEYS.get(request.organisation, ''),
                via=f'n{request.node}',
                is_open=route.is_open,
                idempotent=route.is_idempotent,
                retry_allowance=config.preset.retry_allowance,
            ),
        )
        headers = [
            'X-Trial',
            f'{request_id} {SERVICES[0]} {request_id}',
            exchanges.CONTEXT_HEADER,
            'forged',
            'Authorization',
            'Bearer ' + KEYS.get(request.organisation, 'none'),
            'X-Parsleystile-Organisation',
            'org2',
        ]
        key = KEYS.get(request.organisation, 'no-such-key')
        headers += [exchanges.KEY_HEADER, key]
        exchange = self._exchange(
            request.path, headers, 'caller', request_id, lambda reply: None
        )
        self._nodes[request.node].ingress.handle(exchange)
        if request.cancel_after_ms is not None:
            self.after(
                request.cancel_after_ms,
                self._cancel_request,
                exchange,
                request_id,
            )

    def _cancel_request(self, exchange, request_id):
        if exchange.state is exchanges.ExchangeState.OPEN:
            self.record(
                'caller', events.RequestCancelled(request_id=request_id)
            )
            exchange.cancel()

    def child_call(self, index, call_path, root_id, token, on_reply):
        self._request_count += 1
        request_id = f'c{self._request_count}'
        service = call_path.rpartition('/')[2]
        path = f'/{service}'
        route = self._nodes[index].config().match_route('POST', path)[1]
        self.record(
            f't{index}',
            events.RequestSent(
                request_id=request_id,
                call_path=call_path,
                root_request_id=root_id,
                organisation='',
                via=f'n{index}',
                idempotent=route.is_idempotent,
            ),
        )
        headers = [
            'X-Trial',
            f'{request_id} {call_path} {root_id}',
            exchanges.CONTEXT_HEADER,
            token,
        ]
        exchange = self._exchange(
            path, headers, f't{index}', request_id, on_reply
        )
        self._nodes[index].egress.handle(exchange)

    def _exchange(self, path, headers, subject, request_id, on_reply):
        def on_done(exchange, reply):
            del exchange
            if isinstance(reply, exchanges.Answer):
                answered = events.RequestAnswered(
                    request_id=request_id,
                    outcome=errors.Outcome.ANSWERED,
                    status=reply.status,
                    body_digest=bytes(reply.body).decode(),
                )
            else:
                answered = events.RequestAnswered(
                    request_id=request_id,
                    outcome=reply.outcome,
                    reason=reply.reason,
                )
            self.record(subject, answered)
            on_reply(reply)

        now_ms = self._scheduler.now_ms
        return exchanges.Exchange('POST', path, headers, b'', now_ms, on_done)


def _grant_quota(organisation, on_decision):
    del organisation
    on_decision(None)


def _fill_retry_budgets(node):
    """Fill the retry budget of each pair of services."""
    policy = node.ingress._sender.deps.retries
    for caller in ('', *SERVICES):
        for service in SERVICES:
            for _ in range(200):
                policy.record_first_attempt(caller, service)


def _config():
    organisation = fleetconfig.Organisation(rate_per_s=1000.0, burst=1000)
    routes = {}
    for service in SERVICES:
        routes[service] = fleetconfig.Route(
            path_prefix=f'/{service}',
            service=service,
            is_idempotent=service != 'c',
            timeout_ms=_TIMEOUT_MS,
        )
    routes['book'] = fleetconfig.Route(
        path_prefix='/book', service='a', timeout_ms=_TIMEOUT_MS
    )
    routes['open'] = fleetconfig.Route(
        path_prefix='/open',
        service='a',
        is_open=True,
        is_idempotent=True,
        timeout_ms=_TIMEOUT_MS,
    )
    return fleetconfig.FleetConfig(
        version=1,
        organisations=dict.fromkeys(KEYS, organisation),
        routes=routes,
        keys={
            f'k{number}': fleetconfig.Key(
                organisation=name,
                digest=processes.key_digest(SECRET, key),
            )
            for number, (name, key) in enumerate(KEYS.items(), start=1)
        },
        next_key=len(KEYS) + 1,
    )
