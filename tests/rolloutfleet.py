"""Many nodes in one roll-out, driven by a simulated clock and network."""

import collections
import dataclasses
import heapq
import os
import random

from parsleystile import balancer
from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import policy
from parsleystile.relay import rolloutcontrol
from parsleystile.relay import rolloutgroups
from parsleystile.relay import telemetry

SERVICE = 'yard'
EXPOSURE_RATIO = 0.1
_LINK_MS = 2.0
_ROW_MS = 40.0
_STORE_MS = 10.0
_UNREACHED_MS = 1_500.0
_TICK_MS = rolloutcontrol.TICK_PERIOD_MS
_CALLS_PER_S = 15.0


class _Guard:
    """Guard of a target that answers at once."""

    def __init__(self):
        self.in_flight = 0
        self.is_version_open = True
        self.on_result = None

    def set_version_open(self, is_open):
        self.is_version_open = is_open


class _Links:
    """Control requests of one node."""

    def __init__(self, node):
        self._node = node
        self.handlers = {}

    def handle_control(self, kind, handler):
        self.handlers[kind] = handler

    def control(self, to, kind, payload, timeout_ms, on_reply):
        fleet, name = self._node.fleet, self._node.name
        fleet.bytes[name] += len(payload)
        peer = fleet.nodes[to.node_id]
        if not fleet.is_connected(name, peer.name):
            refusal = errors.not_run(errors.Reason.UNREACHABLE)
            fleet.after(timeout_ms, lambda: on_reply(refusal))
            return

        def reply(data):
            fleet.bytes[peer.name] += len(data)
            fleet.after(_LINK_MS, lambda: on_reply(data))

        def deliver():
            fleet.bytes[peer.name] += len(payload)
            fleet.messages[peer.name] += 1
            peer.links.handlers[kind](payload, reply)

        fleet.after(_LINK_MS, deliver)


class _Store(rolloutcontrol.VerdictStore):
    """The status row as one node reaches it."""

    def __init__(self, node):
        self._node = node

    def want(self, progress):
        fleet = self._node.fleet
        if not fleet.has_store or self._node.name in fleet.cut:
            return

        def settle():
            row = fleet.row
            if row is None or row.order < progress.order:
                fleet.set_row(progress)
            elif row.order > progress.order:
                return
            elif not row.is_done and progress.stage > row.stage:
                fleet.set_row(progress)
            self._node.control.on_row(fleet.row)

        fleet.after(_STORE_MS, settle)


class Node:
    """A node, its balancer and its target."""

    def __init__(self, fleet, name, version, incarnation=1):
        self.fleet = fleet
        self.name = name
        self.version = version
        self.links = _Links(self)
        self.guard = _Guard()
        index = int(name[1:])
        self.member_list = memberlist.member_list(
            memberrow.Row(
                node_id=name,
                domain='abc'[index % 3],
                region='r',
                host='h',
                port=index,
                service=SERVICE,
                slots=20,
                is_serving=True,
                incarnation=incarnation,
                version=version,
            )
        )
        rng = random.Random(name)
        chooser = balancer.balancer('abc'[index % 3], 'r', name, rng)
        self.choice = rolloutgroups.version_choice(chooser, rng)
        self.control = rolloutcontrol.rollout_control(
            rolloutcontrol.Dependencies(
                links=self.links,
                member_list=self.member_list,
                guard=self.guard,
                choice=self.choice,
                clock=fleet.clock,
                recorder=fleet.recorder,
                exposure_ratio=EXPOSURE_RATIO,
                publish=self._publish,
            )
        )
        self.control.store = _Store(self)

    def _publish(self, progress):
        self.member_list.update_own_row(rollouts=progress)
        self.fleet.spread(self)

    def merge(self, row):
        """Take a row over, as the state sync does."""
        self.member_list.merge(row)
        self.on_members_changed()

    def on_members_changed(self):
        self.control.on_members_changed()
        for service in self.member_list.take_changed_services():
            self.control.register(service)

    @property
    def stage(self):
        progress = self.control.progress_of(SERVICE)
        return None if progress is None else progress.stage


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a target makes of a call."""

    is_failure: bool = False
    time_ms: float = 20.0


class Fleet:
    """Nodes, callers, the store's row and what came of it.

    Attributes:
        behaviour: Returns the answer of a version to a call at a time.
        sent: Calls that ran, by version.
        refused: Calls that no target took.
        bad: Times of the new version's bad answers.
        last_new_ms: Time of the last call that the new version ran.
        cut: Nodes that reach neither the others nor the store.
        row_ms: When the status row got each stage.
    """

    def __init__(self, size, seed, behaviour, new_part=0.5):
        self.clock = clocks.manual_clock()
        self.rng = random.Random(f'{size} {seed}')
        self.recorder = telemetry.recorder(
            'fleet', self.clock, os.open(os.devnull, os.O_WRONLY)
        )
        self.behaviour = behaviour
        self.sent = collections.Counter()
        self.bytes = collections.Counter()
        self.messages = collections.Counter()
        self.refused = 0
        self.bad = []
        self.last_new_ms = 0.0
        self.cut = set()
        self.has_store = True
        self.row = None
        self.row_ms = {}
        self._queue = []
        self._count = 0
        self.start_ms = self.clock.now_ms()
        new_from = size - max(1, int(size * new_part))
        self.nodes = {}
        for i in range(size):
            name = f'n{i:04d}'
            version = 'v2' if i >= new_from else 'v1'
            self.nodes[name] = Node(self, name, version)
        for node in self.nodes.values():
            self._introduce(node)
            self.after(self.rng.random() * _TICK_MS, self._ticks(node))

    @property
    def now_s(self):
        return (self.clock.now_ms() - self.start_ms) / 1e3

    def _introduce(self, node):
        for other in self.nodes.values():
            if other is not node:
                node.member_list.merge(other.member_list.own_row)
        node.on_members_changed()

    def _ticks(self, node):
        def tick():
            if self.nodes.get(node.name) is node:
                node.control.tick()
                self.after(_TICK_MS, tick)

        return tick

    def after(self, delay_ms, action):
        """Do something later."""
        self._count += 1
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (due_ms, self._count, action))

    def is_connected(self, one, other):
        """Whether two nodes reach each other."""
        return (one in self.cut) == (other in self.cut)

    def spread(self, node):
        """Pass a node's row on to all that it reaches."""
        row = node.member_list.own_row
        for other in list(self.nodes.values()):
            if other is not node and self.is_connected(node.name, other.name):
                delay_ms = _ROW_MS * self.rng.random()
                self.after(delay_ms, lambda to=other: to.merge(row))

    def set_row(self, progress):
        """Write the status row."""
        self.row = progress
        self.row_ms[progress.stage] = self.clock.now_ms()

    def order(self, order=1, target='v2', duration_ms=12_000.0, spread_ms=400):
        """Let all nodes learn of an order."""
        orders = [policy.Rollout(SERVICE, order, target, duration_ms)]
        found = policy.Policy(
            1, [], [], {}, {}, policy.CallerLimits(), frozenset(), orders
        )
        for node in self.nodes.values():
            delay_ms = spread_ms * self.rng.random()
            self.after(delay_ms, lambda n=node: n.control.set_policy(found))

    def set_cut(self, names):
        """Cut nodes off; an empty set heals and exchanges all rows."""
        self.cut = set(names)
        self.after(_UNREACHED_MS, self._note_reachability)
        if not names:
            for node in self.nodes.values():
                self.spread(node)

    def _note_reachability(self):
        for node in self.nodes.values():
            for other in self.nodes.values():
                is_connected = self.is_connected(node.name, other.name)
                node.member_list.set_reachable(other.name, is_connected)
            node.on_members_changed()

    def restart(self, name):
        """Start a node's process anew; it knows what the others know."""
        before = self.nodes[name]
        node = Node(self, name, before.version, 2)
        self.nodes[name] = node
        self._introduce(node)
        self.spread(node)
        self.after(_TICK_MS, self._ticks(node))
        return node

    def run(self, seconds, until=lambda: False):
        """Let time pass, with calls, until something holds."""
        end_ms = self.clock.now_ms() + 1e3 * seconds
        gap_ms = 1e3 / (_CALLS_PER_S * len(self.nodes) / 2)
        next_call_ms = self.clock.now_ms()
        while not until():
            due_ms = self._queue[0][0] if self._queue else end_ms
            at_ms = min(due_ms, next_call_ms)
            if at_ms >= end_ms:
                break
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            if due_ms <= next_call_ms:
                heapq.heappop(self._queue)[2]()
            else:
                next_call_ms += gap_ms
                self._call()

    def _call(self):
        sender = self.rng.choice(list(self.nodes.values()))
        route = 'rare' if self.rng.random() < 0.2 else 'often'
        excluded = frozenset()
        for attempt in range(2):
            now_ms = self.clock.now_ms()
            member = sender.choice.choose(
                SERVICE, route, not attempt, excluded, now_ms, True
            )
            if member is None:
                break
            node = self.nodes[member.node_id]
            is_reached = self.is_connected(sender.name, node.name)
            if is_reached and node.guard.is_version_open:
                self._answer(node, route)
                return
            excluded |= {node.name}
        self.refused += 1

    def _answer(self, node, route):
        self.sent[node.version] += 1
        answer = self.behaviour(node.version, self.now_s, route)
        if node.version == 'v2':
            self.last_new_ms = self.clock.now_ms()
            if answer.is_failure or answer.time_ms > 100.0:
                self.bad.append(self.clock.now_ms())
        node.guard.on_result(route, answer.is_failure, answer.time_ms, False)

    @property
    def exposure(self):
        """Share of the calls that the new version ran."""
        return self.sent['v2'] / max(1, sum(self.sent.values()))
