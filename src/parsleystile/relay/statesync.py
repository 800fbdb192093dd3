"""How configuration and member rows reach every node.

Three ways lead to a node: the store's feed, a push from the author of a row,
and a periodic exchange with one random neighbour. The last two serve nodes
that the store turns away and the time while it is down; what they bring is
ordered by the same versions, so it does not matter which comes first.
"""

import abc
import random
import typing

import msgspec

from parsleystile import clock as clocks
from parsleystile import deadlines
from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile.relay import logevents
from parsleystile.relay import memberlist
from parsleystile.relay import policy as policies
from parsleystile.relay import telemetry
from parsleystile import transport

SYNC_KIND = 'state.sync'
ROW_KIND = 'state.row'
PING_KIND = 'state.ping'
# Between exchanges with a random neighbour; shorter while the store is away.
SYNC_PERIOD_MS = 1_000.0
LONE_SYNC_PERIOD_MS = 250.0
_TIMEOUT_MS = 500.0
# A row is pushed to so many nodes at most; the exchange finds the others.
_MAX_PUSHED = 96
# Links that wait for answers are looked at so often; one that stays silent
# for a look is asked, and given up if it does not reply.
WATCH_PERIOD_MS = 250.0
_PING_TIMEOUT_MS = 450.0
# Nodes that do not answer are asked again so often.
PROBE_PERIOD_MS = 375.0


class Snapshot(msgspec.Struct, frozen=True):
    """One state of what operators wrote, as the store holds it.

    Attributes:
        seen_at: Version of the store that it holds for; only grows.
        payload: What the platform's side decodes into a policy.
    """

    seen_at: int = 0
    payload: bytes = b''


class _Sync(msgspec.Struct, frozen=True):
    """Asked of a neighbour, and its reply; both tell what they have."""

    seen_at: int
    digest: int
    payload: bytes = b''
    rows: list[memberlist.Row] = []


class StateStore(abc.ABC):
    """Where rows outlive their author; never waits."""

    @abc.abstractmethod
    def publish(self, row: memberlist.Row) -> None:
        """Store a node's own row soon; a later call replaces it."""

    @abc.abstractmethod
    def withdraw(self, row: memberlist.Row) -> None:
        """Take a node's row out soon."""

    @property
    @abc.abstractmethod
    def is_reached(self) -> bool:
        """Whether the store answers this node."""


Decode = typing.Callable[[bytes], policies.Policy | errors.SettingsError]
OnRow = typing.Callable[[memberlist.Row], None]


class StateSync:
    """Exchanges state with the store and with other nodes.

    Attributes:
        store: Set by the platform's side before anything is published.
        policy: What is in force here; None while nothing is known.
        snapshot: Where it comes from.
        on_policy: Called after a newer policy came into force.
        on_members: Called after the roster changed.
        on_own_row: Called with a row of an earlier life of this node.
    """

    def __init__(
        self,
        links: links_module.Links,
        member_list: memberlist.MemberList,
        decode: Decode,
        clock: clocks.Clock,
        wheel: deadlines.DeadlineWheel,
        rng: random.Random,
        recorder: telemetry.Recorder,
    ) -> None:
        self.store: StateStore | None = None
        self.policy: policies.Policy | None = None
        self.snapshot = Snapshot()
        self.on_policy: typing.Callable[[], None] = lambda: None
        self.on_members: typing.Callable[[], None] = lambda: None
        self.on_own_row: OnRow = lambda row: None
        self._links = links
        self._member_list = member_list
        self._decode = decode
        self._clock = clock
        self._wheel = wheel
        self._rng = rng
        self._recorder = recorder
        self._next_sync_ms = 0.0
        self._pinged: set[transport.Address] = set()
        self._received: dict[transport.Address, int] = {}
        links.handle_control(SYNC_KIND, self._on_sync)
        links.handle_control(ROW_KIND, self._on_row)
        links.handle_control(PING_KIND, lambda payload, reply: reply(b''))

    # What comes in.

    def offer(self, snapshot: Snapshot, source: str) -> bool:
        """Put a snapshot in force if it is newer and holds."""
        if snapshot.seen_at <= self.snapshot.seen_at:
            return False
        is_same = snapshot.payload == self.snapshot.payload
        if is_same and self.policy is not None:
            # A full read brings what is in force at a later version.
            self.snapshot = snapshot
            return False
        policy = self._decode(snapshot.payload)
        if isinstance(policy, errors.SettingsError):
            self._recorder.log.write(
                logevents.PolicyRejected(
                    seen_at=snapshot.seen_at, why=str(policy)
                )
            )
            return False
        before = self.policy
        if before is not None and policy.version < before.version:
            self._recorder.log.write(
                logevents.PolicyRejected(
                    seen_at=snapshot.seen_at,
                    why=f'version {policy.version} after {before.version}',
                )
            )
            return False
        self.snapshot = snapshot
        self.policy = policy
        self._recorder.log.write(
            logevents.PolicyInForce(
                version=policy.version,
                seen_at=snapshot.seen_at,
                source=source,
                domains_out=sorted(policy.domains_out),
            )
        )
        self.on_policy()
        return True

    def learn(
        self, rows: typing.Iterable[memberlist.Row], source: str
    ) -> None:
        """Take in rows of nodes, this one's earlier lives included."""
        changed = False
        for row in rows:
            if row.node_id == self._member_list.me.node_id:
                self.on_own_row(row)
            if not self._member_list.merge(row):
                continue
            changed = True
            if row.node_id == self._member_list.me.node_id:
                self.publish()
            self._recorder.log.write(
                logevents.MemberChanged(
                    member=row.node_id,
                    service=row.service,
                    target=row.target_id,
                    state=_state_of(row),
                    incarnation=row.incarnation,
                    sequence=row.sequence,
                    source=source,
                )
            )
        if changed:
            self.on_members()

    def forget(self, node_id: ids.NodeId) -> None:
        """Note that a node's row was taken out of the store."""
        self._member_list.forget(node_id)
        self.on_members()

    # What goes out.

    def publish(self) -> None:
        """Store this node's row and push it to the others."""
        row = self._member_list.me
        if self.store is not None:
            self.store.publish(row)
        self._push(row)

    def leave(self) -> None:
        """Tell everybody that this node ends."""
        row = self._member_list.change_me(is_serving=False, is_gone=True)
        if self.store is not None:
            # The next life of this node must know of a target that left.
            if row.departed_id:
                self.store.publish(row)
            else:
                self.store.withdraw(row)
        self._push(row)

    def _push(self, row: memberlist.Row) -> None:
        others = self._member_list.reached()
        if len(others) > _MAX_PUSHED:
            others = self._rng.sample(others, _MAX_PUSHED)
        payload = memberlist.encode_row(row)
        for other in others:
            self._links.control(
                other.link, ROW_KIND, payload, _TIMEOUT_MS, _ignore_reply
            )

    # Exchange with neighbours.

    def tick(self) -> None:
        """Exchange state if it is time to."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_sync_ms:
            return
        is_alone = self.store is None or not self.store.is_reached
        period_ms = LONE_SYNC_PERIOD_MS if is_alone else SYNC_PERIOD_MS
        self._next_sync_ms = now_ms + period_ms * self._rng.uniform(0.8, 1.2)
        others = self._member_list.reached()
        if others:
            self._sync_with(self._rng.choice(others))

    def _sync_with(self, other: memberlist.Row) -> None:
        def on_reply(reply: bytes | errors.Refusal) -> None:
            if isinstance(reply, errors.Refusal):
                self.unreached(other.node_id, reply.detail)
                return
            theirs = self._decode_sync(reply)
            if theirs is None:
                return
            self._take(theirs, other.node_id)
            if theirs.digest != self._member_list.digest and not theirs.rows:
                return
            if theirs.seen_at < self.snapshot.seen_at:
                self._tell(other)

        ask = _Sync(self.snapshot.seen_at, self._member_list.digest)
        self._links.control(
            other.link,
            SYNC_KIND,
            msgspec.msgpack.encode(ask),
            _TIMEOUT_MS,
            on_reply,
        )

    def _tell(self, other: memberlist.Row) -> None:
        full = _Sync(
            self.snapshot.seen_at,
            self._member_list.digest,
            self.snapshot.payload,
            self._member_list.rows(),
        )
        self._links.control(
            other.link,
            SYNC_KIND,
            msgspec.msgpack.encode(full),
            _TIMEOUT_MS,
            _ignore_reply,
        )

    def _take(self, theirs: _Sync, source: str) -> None:
        if theirs.payload:
            self.offer(Snapshot(theirs.seen_at, theirs.payload), source)
        if theirs.rows:
            self.learn(theirs.rows, source)

    def _on_sync(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        ask = self._decode_sync(payload)
        if ask is None:
            reply(b'')
            return
        self._take(ask, 'neighbour')
        mine = self.snapshot
        newer = mine.payload if mine.seen_at > ask.seen_at else b''
        differs = ask.digest != self._member_list.digest
        answer = _Sync(
            mine.seen_at,
            self._member_list.digest,
            newer,
            self._member_list.rows() if differs else [],
        )
        reply(msgspec.msgpack.encode(answer))

    def _on_row(
        self, payload: bytes, reply: typing.Callable[[bytes], None]
    ) -> None:
        row = memberlist.decode_row(payload)
        if row is None:
            self._recorder.rejected(ROW_KIND, 'not a row')
        else:
            self.learn([row], 'author')
            self.reached(row.node_id)
        reply(b'')

    def _decode_sync(self, payload: bytes) -> _Sync | None:
        try:
            return msgspec.msgpack.decode(payload, type=_Sync)
        except msgspec.MsgspecError as exc:
            self._recorder.rejected(SYNC_KIND, str(exc))
            return None

    # Who answers.

    def watch_links(self) -> None:
        """Ask the other end of each link that owes answers and is silent."""
        waiting = self._links.busy_links()
        silent = [
            address
            for address, received in waiting
            if self._received.get(address) == received
        ]
        self._received = dict(waiting)
        for address in silent:
            self._watch(address)

    def _ping(
        self, address: transport.Address, on_reply: transport.OnControlReply
    ) -> None:
        """Ask whether anybody answers there, one question at a time."""
        if address in self._pinged:
            return
        self._pinged.add(address)

        def done(reply: bytes | errors.Refusal) -> None:
            self._pinged.discard(address)
            on_reply(reply)

        self._links.control(address, PING_KIND, b'', _PING_TIMEOUT_MS, done)

    def _watch(self, address: transport.Address) -> None:
        before = self._received[address]

        def on_reply(reply: bytes | errors.Refusal) -> None:
            is_silent = dict(self._links.busy_links()).get(address) == before
            if isinstance(reply, errors.Refusal) and is_silent:
                why = 'no reply on a link that owes answers'
                self._links.drop(address, why)
                for row in self._member_list.others():
                    if row.link == address:
                        self.unreached(row.node_id, why)

        self._ping(address, on_reply)

    def probe(self) -> None:
        """Ask the nodes that did not answer whether they do now."""
        for row in self._member_list.unreached():
            self._probe(row)

    def _probe(self, row: memberlist.Row) -> None:
        def on_reply(reply: bytes | errors.Refusal) -> None:
            if not isinstance(reply, errors.Refusal):
                self.reached(row.node_id)
                self._next_sync_ms = 0.0

        self._ping(row.link, on_reply)

    def reached(self, node_id: ids.NodeId) -> None:
        """Note that a node answers."""
        if self._member_list.set_reached(node_id, True):
            self._note_reach(node_id, True, 'it answers')

    def unreached(self, node_id: ids.NodeId, why: str) -> None:
        """Note that a node does not answer; it gets no calls until then."""
        if self._member_list.set_reached(node_id, False):
            self._note_reach(node_id, False, why)

    def _note_reach(
        self, node_id: ids.NodeId, is_reached: bool, why: str
    ) -> None:
        self._recorder.log.write(
            logevents.NodeReachabilityChanged(
                member=node_id, is_reached=is_reached, why=why
            )
        )
        self.on_members()


def _ignore_reply(reply: bytes | errors.Refusal) -> None:
    # A push that is lost is made up for by the next exchange.
    del reply


def _state_of(row: memberlist.Row) -> str:
    if row.is_gone:
        return 'gone'
    return 'serving' if row.is_serving else 'no-target'


def state_sync(
    links: links_module.Links,
    member_list: memberlist.MemberList,
    decode: Decode,
    clock: clocks.Clock,
    wheel: deadlines.DeadlineWheel,
    rng: random.Random,
    recorder: telemetry.Recorder,
) -> StateSync:
    """Create the exchange of a node that knows nothing yet."""
    return StateSync(links, member_list, decode, clock, wheel, rng, recorder)
