"""A chain of fake targets with the real admission, choice and retries."""

import dataclasses
import random
import typing

from bench import fakes
from bench import loop as loops
from parsleystile import admission
from parsleystile import balancer
from parsleystile import context
from parsleystile import errors
from parsleystile import ids
from parsleystile import members
from parsleystile import retries
from parsleystile import shedding
from parsleystile import transport

_DOMAIN = ids.FailureDomainId('d')
_REGION = ids.RegionId('r')
_ROUTE = ids.RouteId('chain')
_ADDRESS = transport.Address('127.0.0.1', 1)


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A call on behalf of ``root`` to the service at ``tier``."""

    root: fakes.Request
    tier: int
    allowance: int
    on_answer: typing.Callable
    ledger: retries.AllowanceLedger
    start_ms: float = 0.0
    child_ms: float = 0.0
    level: float = context.RANK_LIMIT


class _Sender:
    """Sends calls to the service at one tier, with choice and retries."""

    def __init__(self, chain: 'GuardedChain', name: str, tier: int) -> None:
        self._chain = chain
        self._service = ids.ServiceName(str(tier))
        self._caller = ids.ServiceName(str(tier - 1) if tier else '')
        self._tier = tier
        self._retries = retries.retry_policy(chain.rng)
        self._balancer = balancer.balancer(
            _DOMAIN, _REGION, ids.NodeId(name), chain.rng
        )
        self._balancer.set_members(
            self._service, [n.member for n in chain.nodes[tier].values()]
        )

    def send(
        self,
        root: fakes.Request,
        ledger: retries.AllowanceLedger,
        on_end: typing.Callable,
    ) -> None:
        """Send a call.

        Args:
            root: Request of the caller.
            ledger: Retry allowance of the call.
            on_end: Gets whether the call succeeded and the admission level
                of the service.
        """
        self._retries.record_first_attempt(self._caller, self._service)
        self._attempt(root, ledger, on_end, 1, frozenset())

    def _attempt(
        self,
        root: fakes.Request,
        ledger: retries.AllowanceLedger,
        on_end: typing.Callable,
        attempt: int,
        refused_by: frozenset[ids.NodeId],
    ) -> None:
        loop = self._chain.loop
        member = self._balancer.choose(
            self._service, refused_by, loop.now_ms, True
        )
        if member is None or root.has_ended:
            on_end(False, context.RANK_LIMIT)
            return
        lent = ledger.lend()
        self._balancer.sent(member.node_id)

        def handle_answer(
            refusal: errors.Refusal | None,
            level: float,
            load: admission.Load,
            unspent: int,
        ) -> None:
            ledger.give_back(lent, unspent)
            now_ms = loop.now_ms
            node_id = member.node_id
            if refusal is None:
                self._balancer.answered(node_id, load, now_ms)
                on_end(True, level)
                return
            self._balancer.failed(node_id, refusal, now_ms, load)
            failure = retries.Failure(
                refusal,
                True,
                attempt,
                root.deadline_ms - now_ms,
                0.0,
                self._caller,
                self._service,
            )
            match self._retries.decide(failure, ledger):
                case retries.Retry(delay_ms):
                    loop.call_later(
                        delay_ms,
                        self._attempt,
                        root,
                        ledger,
                        on_end,
                        attempt + 1,
                        refused_by | {node_id},
                    )
                case retries.GiveUp():
                    on_end(False, level)

        call = Call(
            root,
            self._tier,
            lent,
            handle_answer,
            retries.allowance_ledger(lent),
        )
        node = self._chain.nodes[self._tier][member.node_id]
        loop.call_later(fakes.HOP_MS, node.arrive, call)


class _Node:
    """The admission queue of a target and the sender of its child calls."""

    def __init__(
        self, chain: 'GuardedChain', tier: int, index: int, declared: int
    ) -> None:
        shape = chain.tiers[tier]
        self._chain = chain
        self._loop = chain.loop
        self.target = fakes.Target(chain.loop, chain.rng, shape)
        self.guard = admission.admission_queue(chain.rng)
        self.sender: _Sender | None = None
        self._tick_ms = float('inf')
        self.member = members.Member(
            ids.NodeId(f'{tier}-{index}'),
            ids.VmId(f'{tier}-{index}'),
            _REGION,
            _DOMAIN,
            ids.ServiceName(str(tier)),
            declared,
            _ADDRESS,
            _ADDRESS,
            ids.Incarnation(1),
        )
        self.handle(admission.Announce(declared))

    def arrive(self, call: Call) -> None:
        root = call.root
        self.handle(
            admission.Arrive(
                call, root.organisation, root.rank, root.deadline_ms
            )
        )

    def handle(self, event: admission.Event) -> None:
        for action in self.guard.handle(event, self._loop.now_ms):
            match action:
                case admission.Start(call):
                    call.start_ms = self._loop.now_ms
                    self._chain.started[call.tier] += 1
                    self.target.submit(self._on_work_done, call)
                case admission.Refuse(call, refusal):
                    self._answer(call, refusal)
        tick_ms = self.guard.next_tick_ms
        if tick_ms < self._tick_ms:
            self._tick_ms = tick_ms
            self._loop.call_later(
                max(0.0, tick_ms - self._loop.now_ms), self._tick, tick_ms
            )

    def _tick(self, tick_ms: float) -> None:
        if tick_ms == self._tick_ms:
            self._tick_ms = float('inf')
            self.handle(admission.Tick())

    def _on_work_done(self, call: Call) -> None:
        if self.sender is None or call.root.has_ended:
            self._finish(call, not call.root.has_ended)
            return
        sent_ms = self._loop.now_ms

        def on_child_end(is_ok: bool, level: float) -> None:
            call.child_ms = self._loop.now_ms - sent_ms
            call.level = level
            self._finish(call, is_ok)

        self.sender.send(call.root, call.ledger, on_child_end)

    def _finish(self, call: Call, is_ok: bool) -> None:
        self.target.release()
        if call.root.has_ended:
            self.handle(admission.Cancel(call))
        service_ms = self._loop.now_ms - call.start_ms
        # A failed child call does not count as a failure of this target.
        self.handle(admission.Complete(call, True, service_ms, call.child_ms))
        failed = errors.Refusal(
            errors.Outcome.UNKNOWN, errors.Reason.SHED, final=True
        )
        self._answer(call, None if is_ok else failed)

    def _answer(self, call: Call, refusal: errors.Refusal | None) -> None:
        load = self.guard.load(self._loop.now_ms, call.root.organisation)
        level = min(load.admission_level, call.level)
        self._loop.call_later(
            fakes.HOP_MS,
            call.on_answer,
            refusal,
            level,
            load,
            call.ledger.unspent,
        )


class GuardedChain:
    """A chain whose hops choose targets, admit calls and bound retries."""

    def __init__(
        self,
        loop: loops.EventLoop,
        rng: random.Random,
        tiers: list[fakes.Tier],
        declared_factor: float = 1.0,
        allowance: int = 2,
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.tiers = tiers
        self.started = [0] * len(tiers)
        self._allowance = allowance
        self._shedder = shedding.shedder(rng)
        self.nodes: list[dict[ids.NodeId, _Node]] = []
        for tier_index, tier in enumerate(tiers):
            declared = int(declared_factor * tier.workers)
            tier_nodes = [
                _Node(self, tier_index, index, declared)
                for index in range(tier.targets)
            ]
            self.nodes.append({n.member.node_id: n for n in tier_nodes})
        for tier_index, nodes in enumerate(self.nodes[:-1]):
            for node_id, node in nodes.items():
                node.sender = _Sender(self, node_id, tier_index + 1)
        self._ingress = _Sender(self, 'ingress', 0)

    def targets(self, tier: int) -> list[fakes.Target]:
        """Return the targets of the service at a tier."""
        return [node.target for node in self.nodes[tier].values()]

    def request(self, root: fakes.Request) -> None:
        """Accept a request at ingress."""
        refusal = self._shedder.decide(
            _ROUTE, root.rank, self.loop.now_ms, root.organisation
        )
        if refusal is not None:
            root.end(False)
            return
        self.loop.call_later(
            root.deadline_ms - self.loop.now_ms, root.end, False
        )

        def on_end_of_call(is_ok: bool, level: float) -> None:
            self._shedder.record_level(
                _ROUTE, level, self.loop.now_ms, root.organisation
            )
            root.end(is_ok)

        ledger = retries.allowance_ledger(self._allowance)
        self._ingress.send(root, ledger, on_end_of_call)
