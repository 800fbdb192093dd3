"""I/O of ``membership``: gossip datagrams, joining and seed rows."""

import random
import typing

from parsleystile import _tasks
from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import gossipcodec
from parsleystile import ids
from parsleystile import logevents
from parsleystile import logs
from parsleystile import members
from parsleystile import membership
from parsleystile import metrics as metric
from parsleystile import seedrows
from parsleystile import table
from parsleystile import transport

FETCH_KIND = 'members.fetch'
FETCH_TIMEOUT_MS = 1000
# Seeds contacted in one attempt to join.
SEEDS_PER_JOIN = 3
JOIN_PERIOD_MS = 1000.0
# After this many writes of its seed row a node reads all seed rows once.
WRITES_PER_DISCOVERY = 10

OnLeaveDone = typing.Callable[[membership.LeaveConfirmed], None]
OnNewerConfig = typing.Callable[[ids.ConfigVersion, transport.Peer], None]
OnWithdrawn = typing.Callable[[tuple[ids.KeyId, ...]], None]


class MemberService:
    """Feeds events to a ``Membership`` and performs its actions.

    Attributes:
        on_newer_config: Called when a peer has a newer document in force.
        on_withdrawn: Called with keys that peers report as withdrawn.
    """

    def __init__(
        self,
        machine: membership.Membership,
        clock: clocks.Clock,
        rng: random.Random,
        network: transport.Transport,
        rows: table.TableClient,
        metrics: metric.Metrics,
        peers: typing.Sequence[transport.Address] = (),
    ) -> None:
        self.on_newer_config: OnNewerConfig | None = None
        self.on_withdrawn: OnWithdrawn | None = None
        self._machine = machine
        self._clock = clock
        self._rng = rng
        self._network = network
        self._seeds = seedrows.seed_rows(rows, clock, rng)
        self._metrics = metrics
        self._peers = tuple(peers)
        self._tasks = _tasks.background_tasks()
        self._next_join_ms = 0.0
        self._next_write_ms = 0.0
        self._has_written = False
        self._writes = 0
        self._on_leave_done: OnLeaveDone | None = None
        network.handle_datagrams(self._on_datagram)
        network.handle_control(FETCH_KIND, self._serve_fetch)

    def close(self) -> None:
        """Cancel pending tasks."""
        self._tasks.close()

    def tick(self, now_ms: float) -> None:
        """Run periodic tasks; to be called every ``membership.TICK_MS``."""
        self.handle(membership.Tick())
        is_alone = len(self._machine.live_members()) == 1
        if is_alone and now_ms >= self._next_join_ms:
            self._next_join_ms = now_ms + JOIN_PERIOD_MS
            self._tasks.start('join', self._join)
        if now_ms >= self._next_write_ms:
            self._schedule_write(now_ms)
            self._tasks.start('seed', self._write_seed)

    def handle(self, event: membership.Event) -> None:
        """Process an event and perform the resulting actions."""
        for action in self._machine.handle(event, self._clock.now_ms()):
            self._perform(action)

    def leave(self, on_leave_done: OnLeaveDone) -> None:
        """Notify the fleet that this node must get no new calls.

        Args:
            on_leave_done: Called once the leave was acked or timed out.
        """
        self._on_leave_done = on_leave_done
        self.handle(membership.Leave())

    def _perform(self, action: membership.Action) -> None:
        match action:
            case membership.Send(to=to, message=message):
                self._metrics.incr('gossip.sent')
                payload = gossipcodec.encode(message)
                self._network.send_datagram(to, payload)
            case membership.FetchConfig(version=version, peer=peer):
                if self.on_newer_config is not None:
                    self.on_newer_config(version, peer)
            case membership.WithdrawKeys(key_ids=key_ids):
                if self.on_withdrawn is not None:
                    self.on_withdrawn(key_ids)
            case membership.LeaveConfirmed():
                on_leave_done, self._on_leave_done = self._on_leave_done, None
                if on_leave_done is not None:
                    on_leave_done(action)
            case membership.MemberChanged(before=before, after=after):
                _log_change(before, after)
            case membership.Rejoin():
                self._next_join_ms = 0.0
            case _:
                typing.assert_never(action)

    def _on_datagram(self, payload: bytes, source: transport.Address) -> None:
        try:
            message = gossipcodec.decode(payload)
        except errors.FrameError:
            self._metrics.incr('gossip.malformed')
            return
        if message.sender == self._machine.local_member.node_id:
            # Another process uses this node's id.
            self._metrics.incr('gossip.own_id')
            return
        self.handle(membership.Received(message, source))

    async def _join(self) -> None:
        found = await self._seeds.read(self._machine.local_member)
        peers = [seed.peer for seed in (found or [])[:SEEDS_PER_JOIN]]
        if not found:
            # No seeds, or the table is unavailable: use the configured peers.
            count = min(SEEDS_PER_JOIN, len(self._peers))
            sampled = self._rng.sample(self._peers, count)
            peers = [transport.Peer(address) for address in sampled]
        for peer in peers:
            self._fetch_members(peer)

    def _fetch_members(self, peer: transport.Peer) -> None:
        def on_reply(reply: bytes | errors.Refusal) -> None:
            if isinstance(reply, errors.Refusal):
                return
            learned = self._decode_view(reply)
            if learned:
                self.handle(membership.Learned(learned))

        self._network.control(
            peer,
            FETCH_KIND,
            gossipcodec.encode_view([self._machine.local_member]),
            FETCH_TIMEOUT_MS,
            on_reply,
        )

    def _serve_fetch(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        learned = self._decode_view(payload)
        if learned:
            self.handle(membership.Learned(learned))
        reply(gossipcodec.encode_view(self._machine.live_members()))

    def _decode_view(self, payload: bytes) -> tuple[members.Member, ...]:
        try:
            return gossipcodec.decode_view(payload)
        except errors.FrameError:
            self._metrics.incr('gossip.malformed')
            return ()

    def _schedule_write(self, now_ms: float) -> None:
        period_ms = seedrows.write_period_ms(len(self._machine.live_members()))
        if not self._has_written:
            # Write the first row soon, so that the second node of a new
            # fleet finds the first.
            period_ms = JOIN_PERIOD_MS
        self._next_write_ms = now_ms + period_ms * self._rng.uniform(0.5, 1.5)

    async def _write_seed(self) -> None:
        if await self._seeds.write(self._machine.local_member):
            self._has_written = True
        self._writes += 1
        if self._writes % WRITES_PER_DISCOVERY == 0:
            await self._discover_unknown_seeds()

    async def _discover_unknown_seeds(self) -> None:
        # Groups of nodes that started apart, or were partitioned until they
        # forgot each other, can meet only through the seed rows.
        for seed in await self._seeds.read(self._machine.local_member) or ():
            known = self._machine.get(seed.node_id)
            if known is None or known.link != seed.link:
                self._fetch_members(seed.peer)
                return


def _log_change(before: members.Member | None, after: members.Member) -> None:
    logs.log_event(
        logevents.MemberChanged(
            node_id=after.node_id,
            state_before='unknown' if before is None else before.state.name,
            state_after=after.state.name,
            incarnation=after.incarnation,
            evidence=f'service={after.service} slots={after.slots}',
        )
    )


def member_service(
    machine: membership.Membership,
    clock: clocks.Clock,
    rng: random.Random,
    network: transport.Transport,
    rows: table.TableClient,
    metrics: metric.Metrics,
    peers: typing.Sequence[transport.Address] = (),
) -> MemberService:
    """Create the service of a membership state machine.

    Args:
        machine: The state machine.
        clock: This node's clock.
        rng: Source of jitter.
        network: Carries datagrams and control requests.
        rows: Client of the table that holds the seed rows.
        metrics: Counts messages.
        peers: Links to contact while the table has no seeds.
    """
    return MemberService(machine, clock, rng, network, rows, metrics, peers)
