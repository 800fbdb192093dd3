"""One node, assembled from its parts, without sockets, timers or signals."""

import dataclasses
import random

from parsleystile import admission
from parsleystile import balancer
from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import dispatcher
from parsleystile import egress
from parsleystile import errors
from parsleystile import exchange as exchanges
from parsleystile import filters
from parsleystile import fleetconfig
from parsleystile import guard
from parsleystile import idempotencyservice
from parsleystile import ids
from parsleystile import inflight
from parsleystile import ingress
from parsleystile import keys
from parsleystile import members
from parsleystile import membership
from parsleystile import metrics as metric
from parsleystile import observer
from parsleystile import promiseservice
from parsleystile import quotaservice
from parsleystile import retries
from parsleystile import settings as node_settings
from parsleystile import shedding
from parsleystile import statechanges
from parsleystile import table
from parsleystile import targetclient
from parsleystile import targetwatch
from parsleystile import transport

TARGET_WATCH_PERIOD_MS = 500.0
# Tick periods while calls wait for a grant or a claim, and otherwise.
BUSY_TICK_PERIOD_MS = 20.0
IDLE_TICK_PERIOD_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Dependencies of a node; benchmarks and tests supply their own.

    Attributes:
        link: Address at which other nodes reach this one over TCP.
        gossip: Address at which other nodes reach this one over UDP.
        secret: Shared by all nodes of the fleet.
        observed: Receives the events of this node.
    """

    identity: node_settings.Identity
    link: transport.Address
    gossip: transport.Address
    secret: bytes
    clock: clocks.Clock
    rng: random.Random
    wheel: deadlines.DeadlineWheel
    transport: transport.Transport
    target: targetclient.TargetCaller
    table: table.TableClient
    metrics: metric.Metrics
    observed: observer.Observer
    make_token: inflight.TokenSource = inflight.secret_token


class Node:
    """The request paths of one node and the components they use.

    Attributes:
        ingress: Handles requests of callers.
        egress: Handles requests of the local target to other services.
        guard: Handles calls of other nodes for the local target.
        membership: The members of the fleet.
        key_ring: Maps API keys to organisations.
        quota: Fleet-wide rate and burst limits of organisations.
        claims: Runs calls with an idempotency key at most once.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._config = fleetconfig.FleetConfig()
        self.key_ring = keys.key_ring(env.secret)
        self._target_watch = targetwatch.target_watch()
        self._balancer_members_version = -1
        self._is_leaving = False
        self._is_busy_tick_scheduled = False
        self._balanced_services: frozenset[ids.ServiceName] = frozenset()
        self.membership = membership.membership(_initial_member(env), env.rng)
        calls = inflight.calls_in_flight(env.make_token)
        self.guard = guard.guard(
            admission.admission_queue(env.rng),
            calls,
            env.target,
            env.clock,
            env.wheel,
            env.metrics,
            env.observed,
            self._organisation_weight,
        )
        self.guard.on_unreachable = self._on_target_unreachable
        identity = env.identity
        self._balancer = balancer.balancer(
            identity.failure_domain, identity.region, identity.node_id, env.rng
        )
        shedder = shedding.shedder(env.rng)
        filter_deps = filters.Dependencies(
            config=self.config,
            key_ring=self.key_ring,
            shedder=shedder,
            calls=calls,
            clock=env.clock,
            rng=env.rng,
        )
        sender = dispatcher.dispatcher(
            dispatcher.Dependencies(
                own_node_id=identity.node_id,
                balancer=self._balancer,
                retries=retries.retry_policy(env.rng),
                shedder=shedder,
                transport=env.transport,
                guard=self.guard,
                clock=env.clock,
                wheel=env.wheel,
                metrics=env.metrics,
                observed=env.observed,
            )
        )
        self._members_cache: list[members.Member] = []
        self._members_cache_version = -1
        promises = promiseservice.promise_service(env.transport, env.clock)
        self.quota = quotaservice.quota_service(
            identity,
            env.clock,
            env.rng,
            env.transport,
            env.table,
            env.metrics,
            self.config,
            self._all_members,
            promises,
        )
        self.claims = idempotencyservice.idempotency_service(
            identity,
            env.clock,
            env.rng,
            env.transport,
            env.table,
            env.metrics,
            self._all_members,
            promises,
        )
        self.ingress = ingress.ingress(
            filter_deps,
            sender,
            self._acquire_quota,
            self._claim,
            env.metrics,
            env.observed,
        )
        self.egress = egress.egress(
            filter_deps,
            sender,
            self._claim,
            self.handle_target,
            env.metrics,
            env.observed,
        )

    def now_ms(self) -> float:
        """Return the time on this node's clock."""
        return self._env.clock.now_ms()

    def config(self) -> fleetconfig.FleetConfig:
        """Return the configuration document in force at this node."""
        return self._config

    def put_in_force(self, config: fleetconfig.FleetConfig) -> None:
        """Apply a configuration document; an older version is ignored."""
        if config.version <= self._config.version:
            return
        self._config = config
        self.key_ring.load(config)
        self.guard.set_level_cap(config.preset.admission_level)
        self._balancer.set_domains_out(frozenset(config.domains_out))
        self._update_guard()
        event = membership.ConfigInForce(config.version, config.domains_out)
        self.membership.handle(event, self._env.clock.now_ms())
        self.refresh_members()
        self._env.observed.config_in_force(config)

    def view(self) -> statechanges.NodeState:
        """Return the state whose changes are logged."""
        return statechanges.NodeState(
            service=self.guard.service,
            slots=self.membership.local_member.slots,
            limit=self.guard.load().limit,
            ejections=tuple(
                statechanges.Ejection(
                    member.node_id, member.service, f'failures={failures:.1f}'
                )
                for member, failures in self._balancer.ejected()
            ),
        )

    def refuse_new(self) -> None:
        """Refuse new calls: this node is leaving the fleet."""
        self._is_leaving = True
        self._update_guard()

    @property
    def calls_in_flight(self) -> int:
        """Number of calls queued for or running at the local target."""
        return self.guard.in_flight

    def tick(self) -> None:
        """Do periodic work; call every ``IDLE_TICK_PERIOD_MS``."""
        now_ms = self._env.clock.now_ms()
        self.quota.tick(now_ms)
        self.claims.tick(now_ms)
        self._schedule_tick_if_busy()

    def _schedule_tick_if_busy(self) -> None:
        # Calls that wait for a grant or a claim need shorter ticks, which
        # would be too expensive for an idle node.
        if self._is_busy_tick_scheduled:
            return
        if self.quota.is_busy or self.claims.is_busy:
            self._is_busy_tick_scheduled = True
            due_ms = self._env.clock.now_ms() + BUSY_TICK_PERIOD_MS
            self._env.wheel.add(due_ms, self._busy_tick)

    def _busy_tick(self) -> None:
        self._is_busy_tick_scheduled = False
        self.tick()

    def _acquire_quota(
        self, organisation: ids.OrganisationId, on_decision: ingress.OnDecision
    ) -> None:
        self.quota.acquire(organisation, on_decision)
        self._schedule_tick_if_busy()

    def _claim(self, exchange: exchanges.Exchange, send: ingress.Send) -> None:
        self.claims.claim_exchange(exchange, send)
        self._schedule_tick_if_busy()

    async def hand_back(self) -> None:
        """Release grants and leases before they expire."""
        await self.quota.stop()
        await self.claims.stop()

    def _all_members(self) -> list[members.Member]:
        # The same list object until members change, so that callers can
        # compare by identity.
        version = self.membership.version
        if version != self._members_cache_version:
            self._members_cache = self.membership.live_members()
            self._members_cache_version = version
        return self._members_cache

    def _update_guard(self) -> None:
        # Senders whose configuration or member list is out of date may still
        # send calls here.
        if self._is_leaving:
            self.guard.refuse_new(errors.Reason.LEAVING)
        elif self._env.identity.failure_domain in self._config.domains_out:
            self.guard.refuse_new(errors.Reason.DOMAIN_OUT)
        else:
            self.guard.refuse_new(None)

    def refresh_members(self) -> None:
        """Pass changed members on to the balancer."""
        if self.membership.version == self._balancer_members_version:
            return
        self._balancer_members_version = self.membership.version
        services = frozenset(r.service for r in self._config.routes.values())
        for service in services | self._balanced_services:
            self._balancer.set_members(
                service, self.membership.members_of(service)
            )
        self._balanced_services = services

    def handle_target(self, event: targetwatch.Event) -> None:
        """Apply an event of the local target."""
        now_ms = self._env.clock.now_ms()
        for action in self._target_watch.handle(event, now_ms):
            match action:
                case targetwatch.TargetUp(service, port, slots):
                    self.guard.target_up(service, port, slots)
                    self._announce(service, slots)
                case targetwatch.TargetLeaving():
                    self.guard.drain()
                    self._announce(ids.ServiceName(''), 0)
                case targetwatch.TargetDown():
                    self.guard.target_down()
                    self._announce(ids.ServiceName(''), 0)

    def _on_target_unreachable(self) -> None:
        self.handle_target(targetwatch.ConnectionRefused())

    def _announce(self, service: ids.ServiceName, slots: int) -> None:
        event = membership.Announce(service, slots)
        self.membership.handle(event, self._env.clock.now_ms())
        self.refresh_members()

    def _organisation_weight(self, organisation: ids.OrganisationId) -> float:
        limits = self._config.organisations.get(organisation)
        return limits.weight if limits is not None else 1.0


def _initial_member(env: Environment) -> members.Member:
    identity = env.identity
    return members.Member(
        node_id=identity.node_id,
        vm=identity.vm,
        region=identity.region,
        failure_domain=identity.failure_domain,
        service=ids.ServiceName(''),
        slots=0,
        link=env.link,
        gossip=env.gossip,
        incarnation=ids.Incarnation(int(env.clock.wall_ms())),
    )


def build_node(env: Environment) -> Node:
    """Create a node that has no target, no peers and no document yet."""
    return Node(env)
