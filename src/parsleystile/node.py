"""One node, put together; sockets, timers and signals come from outside."""

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

WATCH_PERIOD_MS = 500.0
# Between ticks while calls wait for a grant or a claim, and while none do.
BUSY_TICK_MS = 20.0
IDLE_TICK_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """What a node is built on; a bench brings its own.

    Attributes:
        link: Where other nodes reach this one by TCP.
        gossip: Where other nodes reach this one by UDP.
        secret: Shared by all nodes of the fleet.
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
    """The decisions of one node and the paths between them.

    Attributes:
        ingress: Takes requests of callers.
        egress: Takes requests of the target beside this node.
        guard: Takes calls of other nodes for that target.
        membership: Who is in the fleet.
        key_ring: Whose key a caller shows.
        quota: Rate and burst of organisations across the fleet.
        claims: Runs calls with an idempotency key at most once.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._config = fleetconfig.FleetConfig()
        self.key_ring = keys.key_ring(env.secret)
        self._watch = targetwatch.target_watch()
        self._seen_members = -1
        self._is_leaving = False
        self._is_tick_due = False
        self._services: frozenset[ids.ServiceName] = frozenset()
        self.membership = membership.membership(_first_self(env), env.rng)
        calls = inflight.calls_in_flight(env.make_token)
        self.guard = guard.guard(
            admission.admission_queue(env.rng),
            calls,
            env.target,
            env.clock,
            env.wheel,
            env.metrics,
            env.observed,
            self._weight_of,
        )
        self.guard.on_unreachable = self._target_unreachable
        identity = env.identity
        self._balancer = balancer.balancer(
            identity.failure_domain, identity.region, identity.node_id, env.rng
        )
        shedder = shedding.shedder(env.rng)
        rules = filters.Rules(
            config=self.config,
            key_ring=self.key_ring,
            shedder=shedder,
            calls=calls,
            clock=env.clock,
            rng=env.rng,
        )
        sender = dispatcher.dispatcher(
            dispatcher.Collaborators(
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
        self._everyone: list[members.Member] = []
        self._everyone_version = -1
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
            rules,
            sender,
            self._take_quota,
            self._claim,
            env.metrics,
            env.observed,
        )
        self.egress = egress.egress(
            rules,
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
        """Return the document in force here."""
        return self._config

    def put_in_force(self, config: fleetconfig.FleetConfig) -> None:
        """Act on a newer document from now on; an older one is ignored."""
        if config.version <= self._config.version:
            return
        self._config = config
        self.key_ring.load(config)
        self.guard.set_level_cap(config.preset.admission_level)
        self._balancer.set_domains_out(frozenset(config.domains_out))
        self._close_guard()
        event = membership.ConfigInForce(config.version, config.domains_out)
        self.membership.handle(event, self._env.clock.now_ms())
        self.refresh_members()
        self._env.observed.config_in_force(config)

    def view(self) -> statechanges.NodeState:
        """Return the state that is logged when it changes."""
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
        """Take no new work: this node is leaving."""
        self._is_leaving = True
        self._close_guard()

    @property
    def calls_in_flight(self) -> int:
        """Calls that wait or run at this node's target."""
        return self.guard.in_flight

    def tick(self) -> None:
        """Do what time has made due; wanted every ``IDLE_TICK_MS``."""
        now_ms = self._env.clock.now_ms()
        self.quota.tick(now_ms)
        self.claims.tick(now_ms)
        self._tick_soon_if_busy()

    def _tick_soon_if_busy(self) -> None:
        # Calls that wait for a grant or a claim need finer ticks than an
        # idle node can afford.
        if self._is_tick_due:
            return
        if self.quota.is_busy or self.claims.is_busy:
            self._is_tick_due = True
            due_ms = self._env.clock.now_ms() + BUSY_TICK_MS
            self._env.wheel.add(due_ms, self._busy_tick)

    def _busy_tick(self) -> None:
        self._is_tick_due = False
        self.tick()

    def _take_quota(
        self, organisation: ids.OrganisationId, on_take: ingress.OnTake
    ) -> None:
        self.quota.acquire(organisation, on_take)
        self._tick_soon_if_busy()

    def _claim(self, exchange: exchanges.Exchange, send: ingress.Send) -> None:
        self.claims.claim_exchange(exchange, send)
        self._tick_soon_if_busy()

    async def hand_back(self) -> None:
        """Give up grants and leases, so that others need not wait."""
        await self.quota.stop()
        await self.claims.stop()

    def _all_members(self) -> list[members.Member]:
        # The same object until members change: readers may compare it.
        version = self.membership.version
        if version != self._everyone_version:
            self._everyone = self.membership.live_members()
            self._everyone_version = version
        return self._everyone

    def _close_guard(self) -> None:
        # Senders that have not heard yet must not get through.
        if self._is_leaving:
            self.guard.refuse_new(errors.Reason.LEAVING)
        elif self._env.identity.failure_domain in self._config.domains_out:
            self.guard.refuse_new(errors.Reason.DOMAIN_OUT)
        else:
            self.guard.refuse_new(None)

    def refresh_members(self) -> None:
        """Tell the balancer of members that changed."""
        if self.membership.version == self._seen_members:
            return
        self._seen_members = self.membership.version
        services = frozenset(r.service for r in self._config.routes.values())
        for service in services | self._services:
            self._balancer.set_members(
                service, self.membership.members_of(service)
            )
        self._services = services

    def handle_target(self, event: targetwatch.Event) -> None:
        """Follow what the target beside this node does."""
        now_ms = self._env.clock.now_ms()
        for action in self._watch.handle(event, now_ms):
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

    def _target_unreachable(self) -> None:
        self.handle_target(targetwatch.ConnectionRefused())

    def _announce(self, service: ids.ServiceName, slots: int) -> None:
        event = membership.Announce(service, slots)
        self.membership.handle(event, self._env.clock.now_ms())
        self.refresh_members()

    def _weight_of(self, organisation: ids.OrganisationId) -> float:
        found = self._config.organisations.get(organisation)
        return found.weight if found is not None else 1.0


def _first_self(env: Environment) -> members.Member:
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
