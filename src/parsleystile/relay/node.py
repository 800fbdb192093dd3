"""A relay node, assembled from its parts."""

import asyncio
import dataclasses
import random
import typing

import msgspec

from parsleystile import admission
from parsleystile import balancer
from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile import metrics as metric
from parsleystile.relay import declaredlimit
from parsleystile.relay import departures
from parsleystile.relay import dispatch
from parsleystile.relay import fleetstatus
from parsleystile.relay import guard
from parsleystile.relay import headernames
from parsleystile.relay import heldbytes
from parsleystile.relay import httpclient
from parsleystile.relay import httpserver
from parsleystile.relay import ingress
from parsleystile.relay import logevents
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import noticememory
from parsleystile.relay import plannedstop
from parsleystile.relay import ratelimiter
from parsleystile.relay import reachability
from parsleystile.relay import receivedcalls
from parsleystile.relay import retrybudget
from parsleystile.relay import rollout
from parsleystile.relay import rolloutcontrol
from parsleystile.relay import rolloutgroups
from parsleystile.relay import stalls
from parsleystile.relay import statemessages
from parsleystile.relay import statesync
from parsleystile.relay import subtreeshedding
from parsleystile.relay import targetreports
from parsleystile.relay import telemetry
from parsleystile.relay import tokenbuckets
from parsleystile import shedding
from parsleystile import ticker as tickers
from parsleystile import transport
from parsleystile import wire

# All periods are multiples of the shortest, so that one wake-up serves
# several.
_SWEEP_PERIOD_MS = 500.0
_FLUSH_PERIOD_MS = 125.0
_GAUGE_PERIOD_MS = 5_000.0
_SYNC_CHECK_PERIOD_MS = 125.0
# Long enough that calls made by targets wait rather than being refused: a
# refusal would waste the work of the request that made them. Calls that can't
# meet their deadline are dropped for that reason.
_QUEUE_PER_SLOT = 16
# Room for the largest body that a policy may allow, 64 MiB.
_MAX_FRAME_BYTES = 65 * 1_048_576
# Low cold rate for a target whose service is not in the policy.
_DEFAULT_COLD_PER_S = 5.0
# Time in which connections are closed at the end of a planned stop, after
# everything that is owed is written.
CLOSE_TIMEOUT_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """Identity, addresses and limits of a node.

    Attributes:
        link_port: Port on which the node accepts links.
        caller_host: Address for callers and for calls made by the target.
        target_host: Address of the local target.
        secret: Shared by all nodes of the fleet.
        retry_budget: Retry budget of the whole fleet.
        rate_tolerance: How far the rate of an organisation may be off.
        stop_ms: Time from a stop request until the process is killed.
        memory_bytes: Memory of the machine.
        body_timeout_ms: Longest time that the body of a request may take.
        lame_duck_ms: Time that a stopping node keeps answering while callers
            move elsewhere.
        exposure_ratio: Share of a service's calls that a bad version may get
            in a roll-out.
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
    header_names: headernames.HeaderNames
    retry_budget: retrybudget.Settings
    rate_tolerance: tokenbuckets.Tolerance
    stop_ms: float
    lame_duck_ms: float
    exposure_ratio: float = 0.1
    memory_bytes: int = heldbytes.DEFAULT_MEMORY_BYTES
    body_timeout_ms: float = httpserver.BODY_TIMEOUT_MS


class Node:
    """A node with its sockets and timers.

    Attributes:
        member_list: Nodes of the fleet.
        state_sync: Replicated state; the platform adapter feeds it.
        guard: Admission control of the local target.
        recorder: Log events and metrics.
        held: Count of the bytes that callers leave here.
        service: Service of the local target according to the settings.
        caller_address: Host and port for callers, as bound.
        settings_state: Returns whether the settings file is in force.
        fleet_status: Tells what all nodes have in force.
        rollouts: This node's part in roll-outs.
        on_end: Called when the node has drained or its time is up.
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
                lambda peer, why: recorder.input_rejected(f'link {peer}', why),
                lambda peer, found: recorder.count('wrong-peers'),
            ),
            clock,
            wheel,
            metric.memory_metrics(),
        )
        self.member_list = memberlist.member_list(
            memberrow.Row(
                node_id=setup.node_id,
                domain=setup.domain,
                region=setup.region,
                host=setup.host,
                port=setup.link_port,
                incarnation=int(clock.wall_ms()),
            )
        )
        self._stalls = stalls.stall_detector(clock.now_ms())
        self._reachability = reachability.reachability(
            self._links, self.member_list, self._stalls, clock, rng, recorder
        )
        self._reachability.on_changed = self._on_members_changed
        self.state_sync = statesync.state_sync(
            self._links,
            self.member_list,
            self._reachability,
            decode,
            clock,
            wheel,
            rng,
            recorder,
        )
        self.state_sync.on_policy_changed = self._on_policy_changed
        self.state_sync.on_members_changed = self._on_members_changed
        self.state_sync.on_previous_own_row = self._on_previous_own_row
        self.state_sync.on_departures_heard = self._on_departures_heard
        self.settings_state: typing.Callable[[], fleetstatus.SettingsState] = (
            lambda: fleetstatus.SettingsState.CURRENT
        )
        self.fleet_status = fleetstatus.status_service(
            fleetstatus.Dependencies(
                links=self._links,
                member_list=self.member_list,
                recorder=recorder,
                policy_version=self._policy_version,
                settings_state=lambda: self.settings_state(),
                rollouts=lambda: self.rollouts.status(),
            )
        )
        self._reports = targetreports.report_tracker()
        self._limit = declaredlimit.declared_limit()
        self.held = heldbytes.held_bytes(setup.memory_bytes, rng)
        origin = httpclient.origin_client(
            setup.target_host,
            setup.target_port,
            clock,
            setup.header_names.call_id,
            _answer_limits(self.held),
        )
        answers = heldbytes.Fixed()
        origin.memory.on_held = lambda size: self.held.count(
            answers, size, clock.now_ms()
        )
        self._shedder = shedding.shedder(rng)
        self._subtree_shedder = subtreeshedding.subtree_shedder(rng)
        self._child_levels = subtreeshedding.child_levels(rng)
        self.guard = guard.guard(
            guard.Dependencies(
                # First in, first out: a request that makes several calls
                # fails if one of them does, and newest-first order would
                # starve some calls under load.
                queue=admission.admission_queue(
                    rng,
                    limit=self._limit,
                    queue_per_slot=_QUEUE_PER_SLOT,
                    newest_first=False,
                ),
                limit=self._limit,
                origin=origin,
                header_names=setup.header_names,
                clock=clock,
                wheel=wheel,
                recorder=recorder,
                child_level=self._child_levels.level,
            )
        )
        self.guard.on_target_lost = self._on_target_lost
        self.guard.notices.on_leaving = self._on_target_leaving
        self._received_calls = receivedcalls.received_calls(
            self.guard, self.held, clock
        )
        self._links.handle_calls(self._submit_received)
        self._balancer = balancer.balancer(
            setup.domain, setup.region, setup.node_id, rng
        )
        versions = rolloutgroups.version_choice(self._balancer, rng)
        self.rollouts = rolloutcontrol.rollout_control(
            rolloutcontrol.Dependencies(
                links=self._links,
                member_list=self.member_list,
                guard=self.guard,
                choice=versions,
                clock=clock,
                recorder=recorder,
                exposure_ratio=setup.exposure_ratio,
                publish=self._publish_rollouts,
            )
        )
        self._retry_budget = retrybudget.retry_budget(setup.retry_budget)
        self._rate_limiter = ratelimiter.rate_limiter(
            self._links,
            self.member_list,
            clock,
            wheel,
            rng,
            recorder,
            setup.rate_tolerance,
        )
        self._ingress = ingress.ingress(
            ingress.Dependencies(
                header_names=setup.header_names,
                policy=lambda: self.state_sync.policy,
                own_service=lambda: self.service,
                rate_limiter=self._rate_limiter,
                shedder=self._shedder,
                subtree_shedder=self._subtree_shedder,
                dispatch_deps=dispatch.Dependencies(
                    own_node_id=setup.node_id,
                    balancer=self._balancer,
                    budget=self._retry_budget,
                    notices=noticememory.notice_memory(),
                    links=self._links,
                    guard=self.guard,
                    clock=clock,
                    wheel=wheel,
                    recorder=recorder,
                    on_unreachable=self._reachability.mark_unreachable,
                    on_load=self._record_levels,
                    on_child_load=self._record_child_load,
                    versions=versions,
                ),
                is_target_busy=lambda: self.guard.in_flight > 0,
                input_age_ms=self._stalls.input_age_ms,
                route_balancer=ingress.WeightedRoundRobin(rng),
                rng=rng,
                recorder=recorder,
            )
        )
        self._http_server = httpserver.http_server(
            clock,
            frozenset({setup.host, setup.target_host, '127.0.0.1'}),
            self._ingress.handle,
            self._on_rejected_request,
            self.held,
        )
        self._http_server.body_timeout_ms = setup.body_timeout_ms
        self._http_server.on_cut = self._on_slow_reader
        self.held.connections = lambda: len(self._http_server.connections)
        self.caller_address = (setup.caller_host, setup.caller_port)
        # Version of the list of nodes among which the rates are divided.
        self._divided_version = -1
        self._planned_stop = plannedstop.planned_stop(
            plannedstop.Dependencies(
                http_server=self._http_server,
                ingress=self._ingress,
                guard=self.guard,
                links=self._links,
                state_sync=self.state_sync,
                clock=clock,
                recorder=recorder,
                on_members_changed=self._on_members_changed,
                on_end=lambda: self.on_end(),
            ),
            setup.stop_ms,
            setup.lame_duck_ms,
        )

    async def start(self) -> None:
        """Open all listeners and start the periodic work."""
        setup = self._setup
        address = await self._links.listen(setup.host, setup.link_port)
        if address.port != setup.link_port:
            self.member_list.update_own_row(port=address.port)
        self.caller_address = await self._http_server.listen(
            setup.caller_host, setup.caller_port
        )
        every = self._ticker.every
        every(
            stalls.TICK_PERIOD_MS,
            lambda: self._stalls.tick(self._clock.now_ms()),
        )
        every(_SWEEP_PERIOD_MS, self._http_server.close_overdue)
        every(_FLUSH_PERIOD_MS, self._flush)
        every(_GAUGE_PERIOD_MS, self._update_gauges)
        every(_SYNC_CHECK_PERIOD_MS, self.state_sync.tick)
        every(rolloutcontrol.TICK_PERIOD_MS, self.rollouts.tick)
        every(
            reachability.LINK_CHECK_PERIOD_MS,
            self._reachability.check_silent_links,
        )
        every(
            reachability.PROBE_PERIOD_MS, self._reachability.probe_unreachable
        )

    def every(
        self, period_ms: float, callback: typing.Callable[[], None]
    ) -> None:
        """Call a function periodically while the node runs."""
        self._ticker.every(period_ms, callback)

    def set_local_hosts(self, hosts: frozenset[str]) -> None:
        """Set the addresses from which the local target makes calls."""
        self._http_server.local_hosts = hosts

    def is_service(self, name: ids.ServiceName) -> bool:
        """Whether the settings or the policy name a service."""
        policy = self.state_sync.policy
        return name == self.service or (
            policy is not None and name in policy.services
        )

    def _policy_version(self) -> int | None:
        policy = self.state_sync.policy
        return None if policy is None else policy.version

    # The local target.

    def _submit_received(
        self, call: ttypes.Call, on_answer: guard.OnAnswer
    ) -> transport.PendingCall | None:
        """Submit a call of another node with the time that it has left."""
        age_ms = self._stalls.input_age_ms(self._clock.now_ms())
        if age_ms:
            call.deadline_ms = max(0, int(call.deadline_ms - age_ms))
        return self._received_calls.submit(call, on_answer)

    def handle_report(
        self, report: targetreports.Report
    ) -> targetreports.Effect:
        """Apply a report of the target; it is in effect on return."""
        effect = self._reports.handle(report)
        match effect:
            case targetreports.Effect.SERVING:
                self._set_target(report)
            case targetreports.Effect.LEAVING:
                # Logged before the refusals of queued calls that it causes.
                self._record_target(report, 'is leaving')
                self.guard.clear_target(errors.Reason.LEAVING)
                self._change_row(is_serving=False)
        if report.state is not targetreports.TargetState.READY:
            # Also of a target that this process has not heard of before.
            departed = self._reports.departures_of(report.target_id)
            if self.member_list.add_departures(departed):
                self.state_sync.publish()
        return effect

    def _set_target(self, report: targetreports.Report) -> None:
        now_ms = self._clock.now_ms()
        policy = self.state_sync.policy
        bounds = policy and policy.services.get(report.service)
        target = guard.Target(
            target_id=report.target_id,
            service=report.service,
            slots=report.slots,
            cold_until_ms=now_ms + report.cold_ms,
            cold_per_s=bounds.cold_per_s if bounds else _DEFAULT_COLD_PER_S,
            born_ms=report.started_ms,
        )
        before = self.member_list.own_row
        is_serving = not self.guard.is_refusing
        is_same = (
            before.target_id == report.target_id
            and before.target_born_ms == report.started_ms
            and before.service == report.service
            and before.slots == report.slots
            and before.is_serving == is_serving
            and before.version == report.version
        )
        if not is_same:
            # Logged before the refusals of queued calls that it causes.
            self._record_target(report, 'reported')
            # A roll-out closes the guard by the version in the row, before
            # what waits could start at the target.
            self._change_row(
                target_id=report.target_id,
                target_born_ms=report.started_ms,
                service=report.service,
                slots=report.slots,
                is_serving=is_serving,
                version=report.version,
            )
        self.guard.set_target(target)

    def _on_target_leaving(
        self, target_id: ids.TargetId, born_ms: int
    ) -> None:
        state = targetreports.TargetState.DRAINING
        self.handle_report(targetreports.Report(target_id, state, born_ms))

    def _on_target_lost(self, why: str) -> None:
        current = self._reports.current
        if current is None:
            return
        self._record_target(current, why, 'lost')
        # Its next report has a higher sequence and restores it.
        self.guard.clear_target(errors.Reason.UNREACHABLE)
        self._change_row(is_serving=False)

    def _record_target(
        self, report: targetreports.Report, why: str, state: str | None = None
    ) -> None:
        before = self.guard.target
        queued = self.guard.queued
        self.recorder.log.write(
            logevents.TargetChanged(
                target=report.target_id,
                state=state or report.state.value,
                service=report.service,
                slots=report.slots,
                cold_ms=report.cold_ms,
                sequence=report.sequence,
                why=why,
                before='' if before is None else before.service,
                queued=queued,
                running=self.guard.in_flight - queued,
            )
        )

    def _change_row(self, **fields: object) -> None:
        self.member_list.update_own_row(**fields)
        self.state_sync.publish()
        self._on_members_changed()

    def _on_previous_own_row(self, row: memberrow.Row) -> None:
        for progress in row.rollouts:
            self.rollouts.hear(progress, 'own row')

    def _on_departures_heard(self) -> None:
        heard = self.member_list.own_row.departures
        for departure in heard:
            self._reports.remember_departed(
                departure.target_id, departure.born_ms
            )
        current = self._reports.current
        if current is not None and departures.includes(
            heard, current.target_id, current.started_ms
        ):
            gone = targetreports.TargetState.GONE
            self.handle_report(
                dataclasses.replace(current, state=gone, sequence=-1)
            )

    # Changes of the policy, the members and the load.

    def _is_domain_out(self) -> bool:
        policy = self.state_sync.policy
        return policy is not None and self._setup.domain in policy.domains_out

    def _on_policy_changed(self) -> None:
        policy = self.state_sync.policy
        self._http_server.limits = policy.limits
        self._balancer.set_domains_out(policy.domains_out)
        self._rate_limiter.configure(policy)
        self.rollouts.set_policy(policy)
        if self._is_domain_out():
            self.guard.refuse_new(errors.Reason.DOMAIN_OUT)
        elif not self._planned_stop.has_started:
            self._reopen()

    def _reopen(self) -> None:
        # A target that was idle may have turned cold without a report yet.
        if self.guard.is_refusing:
            self.guard.refuse_new(None)
            self.guard.assume_cold()
        current = self._reports.current
        if current is not None and not self.member_list.own_row.is_serving:
            self._change_row(is_serving=True)

    def _on_members_changed(self) -> None:
        self.rollouts.on_members_changed()
        for service in self.member_list.take_changed_services():
            self.rollouts.register(service)
        version = self.member_list.nodes_version
        if version == self._divided_version:
            return
        self._divided_version = version
        self._retry_budget.set_node_count(len(self.member_list.node_ids))
        if self.state_sync.policy is not None:
            self._rate_limiter.configure(self.state_sync.policy)

    def _publish_rollouts(
        self, progress: tuple[rollout.Progress, ...]
    ) -> None:
        self.member_list.update_own_row(rollouts=progress)
        self.state_sync.publish()

    def _record_levels(
        self,
        route_id: ids.RouteId,
        organisation: str,
        load: ttypes.Load,
        now_ms: float,
        is_failure: bool,
    ) -> None:
        self._shedder.record_level(
            route_id,
            load.admission_level,
            now_ms,
            ids.OrganisationId(organisation),
        )
        self._subtree_shedder.record_level(
            route_id, load.child_level, now_ms, is_failure
        )

    def _record_child_load(
        self, load: ttypes.Load, now_ms: float, is_refused: bool
    ) -> None:
        level = dispatch.lowest_level(load)
        self._child_levels.record(level, now_ms, is_refused)

    # Periodic work.

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests here."""
        return (
            self.state_sync.policy is not None
            and not self._planned_stop.has_started
        )

    def _flush(self) -> None:
        self.recorder.log.flush()

    def _update_gauges(self) -> None:
        gauge = self.recorder.gauge
        gauge('calls-at-guard', self.guard.in_flight)
        gauge('requests-open', self._http_server.owed_requests)
        gauge('bytes-held', self.held.held_bytes)
        gauge('bytes-room', self.held.room_bytes)
        gauge('nodes-known', len(self.member_list.node_ids))
        gauge('nodes-unreached', len(self.member_list.unreachable()))
        now_ms = self._clock.now_ms()
        gauge('store-era', self.state_sync.eras.known)
        phase = self.state_sync.snapshot.phase
        gauge('store-settled', phase is statemessages.Phase.SETTLED)
        gauge('store-age-ms', self.state_sync.following.age.age_ms(now_ms))
        gauge('follows-store', self.state_sync.is_following)
        gauge('target-load-spread', self._balancer.load_spread(now_ms))
        gauge('lines-dropped', self.recorder.log.dropped)

    def _on_rejected_request(self, status: int, why: str) -> None:
        match status:
            case 503:
                kind = 'requests-without-room'
            case 408:
                kind = 'requests-too-slow'
            case _:
                kind = 'malformed-requests'
        self.recorder.count(kind)
        self.recorder.input_rejected('caller', f'{status}: {why}')

    def _on_slow_reader(self, why: str) -> None:
        self.recorder.count('slow-readers-closed')
        self.recorder.input_rejected('caller', f'its answer is unread: {why}')

    # Shutdown.

    def stop(self) -> None:
        """Start draining: open requests finish, callers move elsewhere."""
        if self._planned_stop.has_started:
            return
        self.every(plannedstop.CHECK_PERIOD_MS, self._planned_stop.advance)
        self._planned_stop.start()

    async def close(self) -> None:
        """Deliver what is written and close every socket."""
        self._ticker.close()
        await asyncio.gather(
            self._http_server.shut_down(CLOSE_TIMEOUT_MS),
            self._links.close(CLOSE_TIMEOUT_MS),
        )
        self.recorder.log.flush()


def _answer_limits(held: heldbytes.HeldBytes) -> httpclient.AnswerLimits:
    """Leave half of the room to requests and to answers not taken."""
    limits = httpclient.AnswerLimits()
    return msgspec.structs.replace(
        limits, held_bytes=min(limits.held_bytes, held.max_bytes // 2)
    )


def build_node(
    setup: Setup,
    decode: statesync.Decode,
    clock: clocks.Clock,
    rng: random.Random,
    recorder: telemetry.Recorder,
) -> Node:
    """Create a node without a policy, peers or a target."""
    return Node(setup, decode, clock, rng, recorder)
