"""One node of the lean path, put together."""

import asyncio
import dataclasses
import random
import typing

from parsleystile import admission
from parsleystile import balancer
from parsleystile import clock as clocks
from parsleystile import context
from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile import metrics as metric
from parsleystile.relay import declaredlimit
from parsleystile.relay import dispatch
from parsleystile.relay import guard
from parsleystile.relay import headernames
from parsleystile.relay import httpclient
from parsleystile.relay import httpserver
from parsleystile.relay import ingress
from parsleystile.relay import logevents
from parsleystile.relay import memberlist
from parsleystile.relay import ratelimiter
from parsleystile.relay import retrybudget
from parsleystile.relay import statesync
from parsleystile.relay import targetreports
from parsleystile.relay import telemetry
from parsleystile import shedding
from parsleystile import ticker as tickers
from parsleystile import wire

# All periods are multiples of one, so that one wake-up serves several.
_SWEEP_PERIOD_MS = 500.0
_FLUSH_PERIOD_MS = 125.0
_GAUGE_PERIOD_MS = 5_000.0
_SYNC_LOOK_MS = 125.0
# A target's own calls are better late than refused, since the work above
# them is lost with them; those that can't be in time are dropped as such.
_QUEUE_PER_SLOT = 16
# Levels of the target's own calls are kept under this route.
_CHILDREN = ids.RouteId('children')
# Frames hold the largest body that any policy lets a caller send, 64 MiB.
_MAX_FRAME_BYTES = 65 * 1_048_576
# A target that turns cold before its service is known bears little.
_UNKNOWN_COLD_PER_S = 5.0
# Time left for the last answers before the process is ended from outside.
_END_MARGIN_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """What a node is built on.

    Attributes:
        link_port: Where other nodes reach this one.
        caller_host: Address for callers and for the target's own calls.
        target_host: Where the target beside this node listens.
        secret: Shared by all nodes of the fleet.
        retry_bounds: Budget of repeats, for the whole fleet.
        stop_ms: From the request to stop until the process must be gone.
        linger_ms: So long a stopping node keeps answering, until its
            callers have been sent elsewhere.
    """

    node_id: ids.NodeId
    domain: ids.FailureDomainId
    region: ids.RegionId
    host: str
    link_port: int
    caller_host: str
    caller_port: int
    target_host: str
    target_port: int
    secret: bytes
    names: headernames.HeaderNames
    retry_bounds: retrybudget.Settings
    stop_ms: float
    linger_ms: float


class Node:
    """A node: its decisions and the sockets around them.

    Attributes:
        spread: State shared with other nodes; the platform's side feeds it.
        record: Lines and numbers.
        service: Of the target beside this node, as the settings name it.
        on_end: Called once the node may end.
    """

    def __init__(
        self,
        setup: Setup,
        decode: statesync.Decode,
        clock: clocks.Clock,
        rng: random.Random,
        recorder: telemetry.Recorder,
    ) -> None:
        self._setup = setup
        self._clock = clock
        self._rng = rng
        self.recorder = recorder
        self.service = ids.ServiceName('')
        self.on_end: typing.Callable[[], None] = lambda: None
        self._ticker = tickers.ticker(clock)
        wheel = self._ticker.wheel
        self._links = links_module.links(
            links_module.LinkSettings(
                setup.node_id,
                setup.secret,
                _MAX_FRAME_BYTES + wire.FRAME_OVERHEAD_BYTES,
                lambda peer, why: recorder.rejected(f'link {peer}', why),
            ),
            clock,
            wheel,
            metric.memory_metrics(),
        )
        self.member_list = memberlist.member_list(
            memberlist.Row(
                node_id=setup.node_id,
                domain=setup.domain,
                region=setup.region,
                host=setup.host,
                port=setup.link_port,
                incarnation=int(clock.wall_ms()),
            )
        )
        self.state_sync = statesync.state_sync(
            self._links, self.member_list, decode, clock, wheel, rng, recorder
        )
        self.state_sync.on_policy = self._policy_changed
        self.state_sync.on_members = self._members_changed
        self.state_sync.on_own_row = self._learn_own_past
        self._reports = targetreports.report_tracker()
        self._limit = declaredlimit.declared_limit()
        self._shedder = shedding.shedder(rng)
        self.guard = guard.guard(
            guard.Dependencies(
                # A call that makes several others is lost with the unluckiest
                # of them: in turn, all wait a little and none for ever.
                queue=admission.admission_queue(
                    rng,
                    limit=self._limit,
                    queue_per_slot=_QUEUE_PER_SLOT,
                    newest_first=False,
                ),
                limit=self._limit,
                origin=httpclient.origin_client(
                    setup.target_host,
                    setup.target_port,
                    clock,
                    setup.names.call_id,
                ),
                names=setup.names,
                clock=clock,
                wheel=wheel,
                recorder=recorder,
                child_level=self._child_level,
            )
        )
        self.guard.on_lost = self._target_lost
        self._links.handle_calls(self.guard.submit)
        self._balancer = balancer.balancer(
            setup.domain, setup.region, setup.node_id, rng
        )
        self._budget = retrybudget.retry_budget(setup.retry_bounds)
        self._rate_limiter = ratelimiter.rate_limiter(
            self._links, self.member_list, clock, wheel, rng, recorder
        )
        self._ingress = ingress.ingress(
            ingress.Dependencies(
                names=setup.names,
                policy=lambda: self.state_sync.policy,
                own_service=lambda: self.service,
                rate_limiter=self._rate_limiter,
                shedder=self._shedder,
                sender=dispatch.Dependencies(
                    own_node_id=setup.node_id,
                    balancer=self._balancer,
                    budget=self._budget,
                    links=self._links,
                    guard=self.guard,
                    clock=clock,
                    wheel=wheel,
                    recorder=recorder,
                    on_unreached=self.state_sync.unreached,
                    on_level=self._note_level,
                ),
                split=ingress.WeightedRoundRobin(rng),
                rng=rng,
                recorder=recorder,
            )
        )
        self._callers = httpserver.http_server(
            clock,
            frozenset({setup.host, setup.target_host, '127.0.0.1'}),
            self._ingress.handle,
            self._rejected,
        )
        self.caller_address = (setup.caller_host, setup.caller_port)
        self._services: set[ids.ServiceName] = set()
        self._stop_asked_ms: float | None = None

    async def start(self) -> None:
        """Open all listeners and begin to tick."""
        setup = self._setup
        address = await self._links.listen(setup.host, setup.link_port)
        if address.port != setup.link_port:
            self.member_list.change_me(port=address.port)
        self.caller_address = await self._callers.listen(
            setup.caller_host, setup.caller_port
        )
        every = self._ticker.every
        every(_SWEEP_PERIOD_MS, self._sweep)
        every(_FLUSH_PERIOD_MS, self._flush)
        every(_GAUGE_PERIOD_MS, self._report)
        every(_SYNC_LOOK_MS, self.state_sync.tick)
        every(statesync.WATCH_PERIOD_MS, self.state_sync.watch_links)
        every(statesync.PROBE_PERIOD_MS, self.state_sync.probe)

    def every(
        self, period_ms: float, callback: typing.Callable[[], None]
    ) -> None:
        """Call back again and again while the node runs."""
        self._ticker.every(period_ms, callback)

    def set_local_hosts(self, hosts: frozenset[str]) -> None:
        """Name the addresses from which the target makes its own calls."""
        self._callers.own_hosts = hosts

    # The target beside this node.

    def handle_report(
        self, report: targetreports.Report
    ) -> targetreports.Effect:
        """Take in what the target says of itself; binds on return."""
        effect = self._reports.handle(report)
        match effect:
            case targetreports.Effect.SERVING:
                self._serve(report)
            case targetreports.Effect.LEAVING:
                # The cause first: what waits is refused for it.
                self._record_target(report, 'takes its leave')
                self.guard.close(errors.Reason.LEAVING)
                self._note_departed(report)
        return effect

    def _serve(self, report: targetreports.Report) -> None:
        now_ms = self._clock.now_ms()
        policy = self.state_sync.policy
        bounds = policy and policy.services.get(report.service)
        target = guard.Target(
            target_id=report.target_id,
            service=report.service,
            slots=report.slots,
            cold_until_ms=now_ms + report.cold_ms,
            cold_per_s=bounds.cold_per_s if bounds else _UNKNOWN_COLD_PER_S,
        )
        before = self.member_list.me
        self.guard.open(target)
        is_serving = self._stop_asked_ms is None and not self._is_domain_out()
        is_same = (
            before.target_id == report.target_id
            and before.service == report.service
            and before.slots == report.slots
            and before.is_serving == is_serving
        )
        if is_same:
            return
        self._record_target(report, 'reported')
        self._change_row(
            target_id=report.target_id,
            service=report.service,
            slots=report.slots,
            is_serving=is_serving,
        )

    def _note_departed(self, report: targetreports.Report) -> None:
        self._change_row(
            is_serving=False,
            departed_id=report.target_id,
            departed_born_ms=report.born_ms,
        )

    def _target_lost(self, why: str) -> None:
        current = self._reports.current
        if current is None:
            return
        self.recorder.log.write(
            logevents.TargetChanged(
                target=current.target_id,
                state='lost',
                service=current.service,
                slots=current.slots,
                cold_ms=0.0,
                sequence=current.sequence,
                why=why,
            )
        )
        # Its next report has a higher sequence and is taken again.
        self.guard.close(errors.Reason.UNREACHABLE)
        self._change_row(is_serving=False)

    def _record_target(self, report: targetreports.Report, why: str) -> None:
        self.recorder.log.write(
            logevents.TargetChanged(
                target=report.target_id,
                state=report.state.value,
                service=report.service,
                slots=report.slots,
                cold_ms=report.cold_ms,
                sequence=report.sequence,
                why=why,
            )
        )

    def _change_row(self, **fields: object) -> None:
        self.member_list.change_me(**fields)
        self.state_sync.publish()
        self._members_changed()

    def _learn_own_past(self, row: memberlist.Row) -> None:
        self._reports.remember_departed(row.departed_id, row.departed_born_ms)
        current = self._reports.current
        if current is not None and current.target_id == row.departed_id:
            departed = targetreports.Report(
                row.departed_id,
                targetreports.TargetState.GONE,
                row.departed_born_ms,
            )
            self.handle_report(departed)

    # What changes while the node runs.

    def _is_domain_out(self) -> bool:
        policy = self.state_sync.policy
        return policy is not None and self._setup.domain in policy.domains_out

    def _policy_changed(self) -> None:
        policy = self.state_sync.policy
        self._callers.limits = policy.limits
        self._balancer.set_domains_out(policy.domains_out)
        self._rate_limiter.configure(policy)
        if self._is_domain_out():
            self.guard.refuse_new(errors.Reason.DOMAIN_OUT)
        elif self._stop_asked_ms is None:
            self._reopen()

    def _reopen(self) -> None:
        # A target that rested may be cold and has not told yet.
        if self.guard.is_refusing:
            self.guard.refuse_new(None)
            self.guard.suspect()
        current = self._reports.current
        if current is not None and not self.member_list.me.is_serving:
            self._change_row(is_serving=True)

    def _members_changed(self) -> None:
        found = self.member_list.members_by_service()
        for service in self._services | set(found):
            self._balancer.set_members(service, found.get(service, []))
        self._services = set(found)
        self._budget.set_nodes(len(self.member_list.node_ids))
        if self.state_sync.policy is not None:
            self._rate_limiter.configure(self.state_sync.policy)

    def _note_level(
        self,
        route_id: ids.RouteId,
        organisation: str,
        level: float,
        now_ms: float,
        is_child: bool,
    ) -> None:
        if is_child:
            self._shedder.told(_CHILDREN, level, now_ms)
        else:
            self._shedder.told(
                route_id, level, now_ms, ids.OrganisationId(organisation)
            )

    def _child_level(self, now_ms: float) -> float:
        return min(context.RANK_LIMIT, self._shedder.level(_CHILDREN, now_ms))

    # Upkeep.

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self.state_sync.policy is not None and self._stop_asked_ms is None
        )

    def _sweep(self) -> None:
        self._callers.sweep()
        if self._stop_asked_ms is not None:
            self._end_if_done()

    def _flush(self) -> None:
        self.recorder.log.flush()

    def _report(self) -> None:
        gauge = self.recorder.gauge
        gauge('calls-at-guard', self.guard.in_flight)
        gauge('requests-open', self._callers.open_requests)
        gauge('nodes-known', len(self.member_list.node_ids))
        gauge('nodes-unreached', len(self.member_list.unreached()))
        gauge('lines-dropped', self.recorder.log.dropped)

    def _rejected(self, status: int, why: str) -> None:
        self.recorder.count('malformed-requests')
        self.recorder.rejected('caller', f'{status}: {why}')

    # The end.

    def stop(self) -> None:
        """Begin a planned stop: nothing is cut, callers go elsewhere."""
        if self._stop_asked_ms is not None:
            return
        self._stop_asked_ms = self._clock.now_ms()
        self.recorder.log.write(
            logevents.ProcessChanged(state='draining', detail='asked to stop')
        )
        self._callers.is_closing = True
        self.guard.refuse_new(errors.Reason.LEAVING)
        self.state_sync.leave()
        self._members_changed()

    def _end_if_done(self) -> None:
        passed_ms = self._clock.now_ms() - self._stop_asked_ms
        is_idle = not self.guard.in_flight and not self._callers.open_requests
        is_over = passed_ms >= self._setup.stop_ms - _END_MARGIN_MS
        if is_over or (is_idle and passed_ms >= self._setup.linger_ms):
            self.on_end()

    async def close(self) -> None:
        """Close every socket."""
        self._ticker.close()
        self._callers.close()
        await self._links.close()
        # Answers that are on their way leave with the next turns.
        await asyncio.sleep(0)
        self.recorder.log.flush()


def build_node(
    setup: Setup,
    decode: statesync.Decode,
    clock: clocks.Clock,
    rng: random.Random,
    recorder: telemetry.Recorder,
) -> Node:
    """Create a node that knows no policy, no peers and no target."""
    return Node(setup, decode, clock, rng, recorder)
