"""A fleet that replicates its state in memory, on simulated time."""

import collections
import heapq
import itertools
import os
import random
import types

from parsleystile import errors
from parsleystile import ids
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import reachability
from parsleystile.relay import stalls
from parsleystile.relay import statesync
from parsleystile.relay import telemetry
from parsleystile import transport

DELAY_MS = 1.5
SERVICE = ids.ServiceName('yard')


def row(node_id='b', **fields):
    """Return the row of a node at an address of its own."""
    return memberrow.Row(
        node_id=ids.NodeId(node_id),
        domain=ids.FailureDomainId('a'),
        region=ids.RegionId('r'),
        host=node_id,
        port=7000,
        **fields,
    )


class Timeline:
    """Simulated clock, deadline wheel and event queue in one."""

    def __init__(self):
        self._now_ms = 0.0
        self._events = []
        self._numbers = itertools.count()

    def now_ms(self):
        return self._now_ms

    def wall_ms(self):
        return self._now_ms

    def add(self, due_ms, callback):
        heapq.heappush(self._events, (due_ms, next(self._numbers), callback))

    def after(self, wait_ms, callback):
        self.add(self._now_ms + wait_ms, callback)

    def run(self, duration_ms):
        """Run all events that are due within a time."""
        end_ms = self._now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self._now_ms = end_ms


class _Links:
    """Delivers control messages between the nodes of a fleet."""

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address
        self.handlers = {}

    def handle_control(self, kind, handler):
        self.handlers[kind] = handler

    def busy_links(self):
        return []

    def control(self, peer, kind, payload, timeout_ms, on_reply):
        to = peer.address
        fleet, timeline = self._fleet, self._fleet.timeline
        fleet.count(self._address, to, payload)
        answered = []

        def answer(reply):
            if not answered:
                answered.append(True)
                on_reply(reply)

        def expire():
            answer(errors.unknown(errors.Reason.DEADLINE, 'no reply'))

        def deliver_reply(reply):
            fleet.count(to, self._address, reply)
            if fleet.is_connected(to, self._address):
                timeline.after(DELAY_MS, lambda: answer(reply))

        def deliver():
            node = fleet.by_address.get(to)
            if not node or not fleet.is_connected(self._address, to):
                return
            if peer.node_id in (None, node.node_id):
                node.links.handlers[kind](payload, deliver_reply)
            else:
                answer(errors.unknown(errors.Reason.LINK_LOST, 'wrong peer'))

        timeline.after(DELAY_MS, deliver)
        timeline.after(timeout_ms, expire)


class Store(statesync.StateStore):
    """Records what a node publishes."""

    def __init__(self):
        self.writes = []

    def publish(self, row):
        self.writes.append(row)

    def withdraw(self, row):
        self.writes.append(None)


class Node:
    """One node: its member list and replication."""

    def __init__(self, fleet, node_id, domain, host):
        self.node_id = ids.NodeId(node_id)
        self.address = transport.Address(host, 7000)
        self.links = _Links(fleet, self.address)
        self.member_list = memberlist.member_list(
            memberrow.Row(
                node_id=self.node_id,
                domain=ids.FailureDomainId(domain),
                region=ids.RegionId('r'),
                host=host,
                port=7000,
                incarnation=int(fleet.timeline.now_ms()) + 1,
            )
        )
        rng = random.Random(f'{fleet.seed} {node_id}')
        recorder = telemetry.recorder(self.node_id, fleet.timeline, fleet.log)
        stall_detector = stalls.stall_detector(fleet.timeline.now_ms())
        reach = reachability.reachability(
            self.links,
            self.member_list,
            stall_detector,
            fleet.timeline,
            rng,
            recorder,
        )
        self.reachability = reach
        self.stalls = stall_detector
        self.sync = statesync.state_sync(
            self.links,
            self.member_list,
            reach,
            _decode,
            fleet.timeline,
            fleet.timeline,
            rng,
            recorder,
        )
        self.store = self.sync.store = Store()
        self.is_running = True
        self._start(fleet.timeline, rng)

    def _start(self, timeline, rng):
        def every(period_ms, callback):
            def again():
                if self.is_running:
                    callback()
                    timeline.after(period_ms, again)

            timeline.after(period_ms * rng.random(), again)

        every(
            stalls.TICK_PERIOD_MS,
            lambda: self.stalls.tick(timeline.now_ms()),
        )
        every(125.0, self.sync.tick)
        every(
            reachability.PROBE_PERIOD_MS, self.reachability.probe_unreachable
        )

    def serve(self, target_id='t1'):
        """Announce a target."""
        self.member_list.update_own_row(
            target_id=target_id, service=SERVICE, slots=5, is_serving=True
        )
        self.sync.publish()


def _decode(payload):
    return types.SimpleNamespace(version=int(payload), domains_out=())


class Fleet:
    """Nodes in five failure domains that know each other from the start."""

    def __init__(self, size, seed=1):
        self.seed = seed
        self.rng = random.Random(seed)
        self.timeline = Timeline()
        self.log = os.open(os.devnull, os.O_WRONLY)
        self.by_address = {}
        self.messages = collections.Counter()
        self.bytes = collections.Counter()
        self.cut_domains = set()
        self.nodes = [
            self.start(f'n{i:04d}', f'd{i % 5}') for i in range(size)
        ]
        rows = [node.member_list.own_row for node in self.nodes]
        for node in self.nodes:
            node.sync.merge_rows(rows, 'store', is_spread=False)

    def start(self, node_id, domain, host=None):
        """Start a node that knows no other one."""
        node = Node(self, node_id, domain, host or node_id)
        self.by_address[node.address] = node
        return node

    def kill(self, node):
        """End a node without a word."""
        node.is_running = False
        if self.by_address.get(node.address) is node:
            del self.by_address[node.address]

    def is_connected(self, one, other):
        """Whether messages pass between two addresses."""
        nodes = [self.by_address.get(a) for a in (one, other)]
        if None in nodes:
            return False
        domains = {node.member_list.own_row.domain for node in nodes}
        return len(domains) == 1 or not domains & self.cut_domains

    def count(self, sender, receiver, payload):
        for address in (sender, receiver):
            self.messages[address] += 1
            self.bytes[address] += len(payload)

    def running(self):
        """Return the nodes that run."""
        return list(self.by_address.values())

    def views(self):
        """Return the number of different views of the members."""
        return len({node.member_list.digest for node in self.running()})

    def settle(self, limit_ms):
        """Run until all views are equal; return the time it took."""
        started_ms = self.timeline.now_ms()
        while self.timeline.now_ms() - started_ms < limit_ms:
            if self.views() == 1:
                break
            self.timeline.run(25.0)
        return self.timeline.now_ms() - started_ms
