"""Simulates the quotas of many nodes with clock, network and table."""

import dataclasses
import heapq
import itertools
import random
import typing

import msgspec

from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import ids
from parsleystile import leases
from parsleystile import members
from parsleystile import quota
from parsleystile import quotarequests
from parsleystile import tableio
from parsleystile import transport
from stubs import tablestate

TICK_MS = 20.0
SAME_DOMAIN_DELAY_MS = 0.5
CROSS_DOMAIN_DELAY_MS = 1.5
TABLE_DELAY_MS = 4.0
# Time until member views reflect a change.
MEMBERSHIP_DELAY_MS = 1_000.0
UNUSED_ADDRESS = transport.Address('127.0.0.1', 0)
_ENCODER = msgspec.msgpack.Encoder()


@dataclasses.dataclass(slots=True)
class Decision:
    """The quota decision on one call."""

    at_ms: float
    organisation: str
    is_admitted: bool


@dataclasses.dataclass(slots=True)
class Host:
    """A VM with a node, which may be stopped or paused."""

    member: members.Member
    node: quota.QuotaNode
    is_alive: bool = True
    paused_until_ms: float = 0.0
    clock_skew_ms: float = 0.0


class World:
    """A discrete-event simulation of nodes, messages and table requests."""

    def __init__(
        self, seed: int, domains: list[str], config: fleetconfig.FleetConfig
    ) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.config = config
        self.table = tablestate.table_state(seed)
        self.hosts: dict[str, Host] = {}
        self.decisions: list[Decision] = []
        self.partitions: set[frozenset[str]] = set()
        self.messages = 0
        self.message_bytes = 0
        self._queue: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._next_order = itertools.count()
        for index, domain in enumerate(domains):
            self.add_host(f'n{index}', domain)
        self._schedule(0.0, self._tick_all)

    def add_host(self, name: str, domain: str) -> None:
        """Start a node; none of that name may be running."""
        member = members.Member(
            ids.NodeId(name),
            ids.VmId(name),
            ids.RegionId('r'),
            ids.FailureDomainId(domain),
            ids.ServiceName('s'),
            1,
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            ids.Incarnation(1),
        )
        skew_ms = self.rng.uniform(0, 1e6)
        host = Host(member, None, clock_skew_ms=skew_ms)
        host.node = quota.quota_node(
            ids.NodeId(name),
            ids.FailureDomainId(domain),
            random.Random(self.rng.getrandbits(64)),
            lambda: self.config,
            lambda: self._schedule(0.0, lambda: self._send_due_requests(host)),
            self._local_time_ms(host),
        )
        self.hosts[name] = host
        self._update_views()

    def kill(self, name: str) -> None:
        """Kill a node; others remove it after ``MEMBERSHIP_DELAY_MS``."""
        self.hosts[name].is_alive = False
        self._schedule(MEMBERSHIP_DELAY_MS, self._update_views)

    def stop(self, name: str) -> None:
        """Stop a node gracefully."""
        host = self.hosts[name]
        self._perform(host, host.node.stop(self._local_time_ms(host)))
        host.is_alive = False
        self._update_views()

    def pause(self, name: str, duration_ms: float) -> None:
        """Pause a process, as a debugger or hypervisor does."""
        self.hosts[name].paused_until_ms = self.now_ms + duration_ms

    def set_config(self, config: fleetconfig.FleetConfig) -> None:
        """Apply a configuration to every node."""
        self.config = config

    def call(self, name: str, organisation: str) -> None:
        """Offer a call to a node; the decision may be delayed."""
        host = self.hosts[name]
        if not self._is_running(host):
            return

        def on_decision(refusal: errors.Refusal | None) -> None:
            self.decisions.append(
                Decision(self.now_ms, organisation, refusal is None)
            )

        host.node.acquire(
            ids.OrganisationId(organisation),
            self._local_time_ms(host),
            on_decision,
        )

    def schedule_at(
        self, at_ms: float, action: typing.Callable[[], None]
    ) -> None:
        """Schedule an action at a time."""
        self._schedule(at_ms - self.now_ms, action)

    def run_until(self, end_ms: float) -> None:
        """Advance the simulation."""
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at_ms)
            action()
        self.now_ms = max(self.now_ms, end_ms)

    def _schedule(
        self, delay_ms: float, action: typing.Callable[[], None]
    ) -> None:
        entry = (self.now_ms + delay_ms, next(self._next_order), action)
        heapq.heappush(self._queue, entry)

    def _local_time_ms(self, host: Host) -> float:
        return self.now_ms + host.clock_skew_ms

    def _is_running(self, host: Host) -> bool:
        return host.is_alive and self.now_ms >= host.paused_until_ms

    def _when_running(
        self, host: Host, action: typing.Callable[[], None]
    ) -> None:
        if not host.is_alive:
            return
        if self.now_ms < host.paused_until_ms:
            delay_ms = host.paused_until_ms - self.now_ms
            self._schedule(delay_ms, lambda: self._when_running(host, action))
            return
        action()

    def partition(self, one: str, other: str) -> None:
        """Drop all messages between two failure domains."""
        self.partitions.add(frozenset({one, other}))
        self._schedule(MEMBERSHIP_DELAY_MS, self._update_views)

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitions.clear()
        self._schedule(MEMBERSHIP_DELAY_MS, self._update_views)

    def _update_views(self) -> None:
        for host in self.hosts.values():
            seen = [
                other.member
                for other in self.hosts.values()
                if other.is_alive and not self._is_partitioned(host, other)
            ]
            host.node.set_members(seen)

    def _is_partitioned(self, one: Host, other: Host) -> bool:
        domains = {one.member.failure_domain, other.member.failure_domain}
        return frozenset(domains) in self.partitions

    def _tick_all(self) -> None:
        for host in list(self.hosts.values()):
            if self._is_running(host):
                actions = host.node.tick(self._local_time_ms(host))
                self._perform(host, actions)
        self._schedule(TICK_MS, self._tick_all)

    def _send_due_requests(self, host: Host) -> None:
        if self._is_running(host):
            self._perform(
                host, host.node.due_requests(self._local_time_ms(host))
            )

    def _perform(self, host: Host, actions: list[quota.Action]) -> None:
        for action in actions:
            match action:
                case quotarequests.SendGrantRequest():
                    self._send_grant_request(host, action)
                case leases.RequestPromise():
                    self._send_promise_request(host, action)
                case _:
                    self._send_table_request(host, action)

    def _deliver(
        self, origin: Host, to: Host, action: typing.Callable[[], None]
    ) -> None:
        if self._is_partitioned(origin, to):
            return
        domain = origin.member.failure_domain
        is_same_domain = domain == to.member.failure_domain
        base_ms = (
            SAME_DOMAIN_DELAY_MS if is_same_domain else CROSS_DOMAIN_DELAY_MS
        )
        delay_ms = base_ms * self.rng.uniform(0.8, 1.6)
        self._schedule(delay_ms, lambda: self._when_running(to, action))

    def _send_grant_request(
        self, host: Host, action: quotarequests.SendGrantRequest
    ) -> None:
        lender = self.hosts.get(action.to)
        if lender is None:
            return
        self._count(action.request)

        def answer() -> None:
            grants = lender.node.on_grant_request(
                action.request, self._local_time_ms(lender)
            )
            self._count(grants)
            event = quota.GrantsReceived(action.to, action.request.seq, grants)
            self._deliver(lender, host, lambda: self._handle(host, event))

        self._deliver(host, lender, answer)

    def _send_promise_request(
        self, host: Host, action: leases.RequestPromise
    ) -> None:
        deputy = self.hosts.get(action.to)
        if deputy is None:
            return

        def answer() -> None:
            reply = deputy.node.on_promise_request(
                action.request, self._local_time_ms(deputy)
            )
            event = leases.PromiseReplied(
                action.request.prefix,
                action.to,
                action.requested_at_ms,
                reply.is_promised,
            )
            self._deliver(deputy, host, lambda: self._handle(host, event))

        self._deliver(host, deputy, answer)

    def _handle(self, host: Host, event: quota.Event) -> None:
        self._perform(host, host.node.handle(event, self._local_time_ms(host)))

    def _count(self, message: object) -> None:
        self.messages += 1
        self.message_bytes += len(_ENCODER.encode(message))

    def _send_table_request(
        self, host: Host, request: tableio.Request
    ) -> None:
        domain = host.member.failure_domain
        delay_ms = TABLE_DELAY_MS * self.rng.uniform(0.5, 2.0)
        if self.table.faults.outage_for(domain) is not tablestate.Outage.NONE:
            event = _failed(request)
            self._schedule(
                delay_ms,
                lambda: self._when_running(
                    host, lambda: self._handle(host, event)
                ),
            )
            return
        delay_ms += self.table.faults.delay_ms * self.rng.random()
        answer_ms = TABLE_DELAY_MS * self.rng.uniform(0.5, 2.0)
        answer_ms += self.table.faults.answer_delay_ms * self.rng.random()

        def apply() -> None:
            event = self._apply(request)
            self._schedule(
                answer_ms,
                lambda: self._when_running(
                    host, lambda: self._handle(host, event)
                ),
            )

        self._schedule(delay_ms, apply)

    def _apply(self, request: tableio.Request) -> tableio.Event:
        match request:
            case tableio.Scan(prefixes):
                rows = tuple(tuple(self.table.scan(p)) for p in prefixes)
                return tableio.ScanDone(prefixes, rows)
            case tableio.Read(key):
                return tableio.ReadDone(key, True, self.table.read(key))
            case tableio.Swap(writes):
                result = self.table.transact(list(writes))
                outcome = tableio.SwapOutcome.WRITTEN
                if isinstance(result, errors.VersionConflictError):
                    outcome = tableio.SwapOutcome.CONFLICT
                elif self.table.draw_answer_loss():
                    outcome = tableio.SwapOutcome.UNKNOWN
                return tableio.SwapDone(request, outcome)


def _failed(request: tableio.Request) -> tableio.Event:
    match request:
        case tableio.Scan(prefixes):
            return tableio.ScanDone(prefixes, None)
        case tableio.Read(key):
            return tableio.ReadDone(key, False, None)
        case tableio.Swap():
            return tableio.SwapDone(request, tableio.SwapOutcome.UNAVAILABLE)
