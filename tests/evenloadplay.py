"""Callers of one service whose targets differ in speed.

The load is nine tenths of what the targets can do, from many callers in four
failure domains of uneven demand, one of which bursts. A caller has an answer
of each target seconds apart.
"""

import dataclasses
import heapq
import itertools
import random

from parsleystile import admission
from parsleystile import balancer
from parsleystile import ids
from parsleystile.relay import declaredlimit
from tests import servicemembers

SERVICE = ids.ServiceName('stock')
ORGANISATION = ids.OrganisationId('o')
CALLERS = 84
DOMAINS = 4
SLOTS = 12
WORK_MS = 250.0
DEADLINE_MS = 1_500.0
# Weights of the domains in the demand; the first one bursts.
DEMAND = (1.25, 1.0, 0.95, 0.8)
BURST = 1.4
BURST_MS = (9_000.0, 12_000.0)
JUDGED_MS = (5_000.0, 25_000.0)
CROSSING_MS = 1.4
STAYING_MS = 0.1


class Load:
    """The load that a guard reports."""

    def __init__(self, load, service_us):
        self.in_flight = load.in_flight
        self.limit = load.limit
        self.queued = load.queued
        self.service_us = service_us


class _Target:
    def __init__(self, rng, speed, domain):
        self.speed = speed
        self.domain = domain
        self.sent = 0
        # Tells that it is idle and many times as fast as it is.
        self.is_lying = False
        self.limit = declaredlimit.declared_limit()
        self.queue = admission.admission_queue(
            rng, limit=self.limit, queue_per_slot=16, newest_first=False
        )
        self.queue.handle(admission.Announce(SLOTS), 0.0)


class _Call:
    def __init__(self, caller, now_ms, is_judged):
        self.caller = caller
        self.arrived_ms = now_ms
        self.is_judged = is_judged
        self.excluded = frozenset()
        self.sent_ms = 0.0


@dataclasses.dataclass
class Result:
    """What callers and targets got in the judged time."""

    busiest_over_mean: float
    wait_p99_ms: float
    late: int
    refused: int
    calls: int
    messages: int
    crossed: int


class Play:
    """Plays the load; each event is a function of the current time."""

    def __init__(self, speeds, seed, make=balancer.balancer, used=0.9):
        self.rng = random.Random(seed)
        self.used_share = used
        self.numbers = itertools.count()
        self.events = []
        found = [
            servicemembers.member(i, f'd{i % DOMAINS}', SERVICE, SLOTS)
            for i in range(len(speeds))
        ]
        self.targets = {
            member.node_id: _Target(self.rng, speed, member.failure_domain)
            for member, speed in zip(found, speeds, strict=True)
        }
        self.callers = [[] for _ in range(DOMAINS)]
        for i in range(CALLERS):
            domain = ids.FailureDomainId(f'd{i % DOMAINS}')
            caller = make(
                domain, ids.RegionId('r'), ids.NodeId(f'n{i}'), self.rng
            )
            caller.set_members(SERVICE, found)
            self.callers[i % DOMAINS].append((caller, domain))
        self.waits_ms = []
        self.refused = self.late = self.calls = 0
        self.messages = self.crossed = 0

    def at(self, due_ms, action, *details):
        item = (due_ms, next(self.numbers), action, details)
        heapq.heappush(self.events, item)

    def run(self):
        """Play to the end and return the result."""
        share = (JUDGED_MS[1] - JUDGED_MS[0]) / (BURST_MS[1] - BURST_MS[0])
        mean = sum(DEMAND) + (BURST - 1.0) * DEMAND[0] / share
        capacity = sum(t.speed for t in self.targets.values()) * SLOTS
        per_ms = self.used_share * capacity / WORK_MS / mean
        for domain, weight in enumerate(DEMAND):
            now_ms = 0.0
            while now_ms < JUDGED_MS[1]:
                is_burst = not domain and BURST_MS[0] < now_ms < BURST_MS[1]
                rate = per_ms * weight * (BURST if is_burst else 1.0)
                now_ms += self.rng.expovariate(rate)
                self.at(now_ms, self.arrive, domain)
        for target in self.targets.values():
            self.at(0.0, self.tick, target)
        while self.events and self.events[0][0] < JUDGED_MS[1] + 3_000.0:
            now_ms, _, action, details = heapq.heappop(self.events)
            action(now_ms, *details)
        return self.result()

    def result(self):
        """Return what was counted."""
        used = [t.sent / t.speed for t in self.targets.values()]
        speeds = sum(t.speed for t in self.targets.values())
        mean = sum(t.sent for t in self.targets.values()) / speeds
        waits_ms = sorted(self.waits_ms)
        return Result(
            max(used) / mean,
            waits_ms[int(0.99 * len(waits_ms))],
            self.late,
            self.refused,
            self.calls,
            self.messages,
            self.crossed,
        )

    def tick(self, now_ms, target):
        self.apply(target, admission.Tick(), now_ms)
        self.at(now_ms + 20.0, self.tick, target)

    def arrive(self, now_ms, domain):
        is_judged = JUDGED_MS[0] <= now_ms < JUDGED_MS[1]
        caller = self.rng.choice(self.callers[domain])
        self.calls += is_judged
        self.send(_Call(caller, now_ms, is_judged), now_ms)

    def send(self, call, now_ms):
        caller, domain = call.caller
        member = caller.choose(SERVICE, call.excluded, now_ms, True)
        node_id = member.node_id
        call.sent_ms = now_ms
        caller.sent(node_id, now_ms)
        target = self.targets[node_id]
        is_near = target.domain == domain
        self.messages += 2 * call.is_judged
        target.sent += call.is_judged
        self.crossed += call.is_judged and not is_near
        hop_ms = STAYING_MS if is_near else CROSSING_MS
        self.at(now_ms + hop_ms, self.reach, call, node_id, hop_ms)

    def reach(self, now_ms, call, node_id, hop_ms):
        event = admission.Arrive(
            (call, node_id, hop_ms),
            ORGANISATION,
            2.0 + self.rng.random(),
            call.arrived_ms + DEADLINE_MS,
            is_sheddable=False,
        )
        self.apply(self.targets[node_id], event, now_ms)

    def apply(self, target, event, now_ms):
        for action in target.queue.handle(event, now_ms):
            call, node_id, hop_ms = action.call_key
            load = self.load(target, now_ms)
            if isinstance(action, admission.Refuse):
                self.at(
                    now_ms + hop_ms,
                    self.refuse,
                    call,
                    node_id,
                    load,
                    action.refusal,
                )
                continue
            if call.is_judged:
                self.waits_ms.append(now_ms - call.arrived_ms)
            work_ms = WORK_MS / target.speed
            work_ms *= self.rng.lognormvariate(-0.125, 0.5)
            self.at(now_ms + work_ms, self.end, action.call_key, work_ms)

    def load(self, target, now_ms):
        if target.is_lying:
            return Load(admission.Load(0, SLOTS, 0, 3.0), 1_000)
        service_us = int(target.limit.answer_ms * 1e3) or None
        return Load(target.queue.load(now_ms), service_us)

    def end(self, now_ms, key, work_ms):
        call, node_id, hop_ms = key
        target = self.targets[node_id]
        self.apply(target, admission.Complete(key, True, work_ms), now_ms)
        load = self.load(target, now_ms)
        self.at(now_ms + hop_ms, self.answer, call, node_id, load)

    def answer(self, now_ms, call, node_id, load):
        took_ms = now_ms - call.sent_ms
        self.late += call.is_judged and took_ms > DEADLINE_MS
        call.caller[0].answered(node_id, load, now_ms, 'read', took_ms)

    def refuse(self, now_ms, call, node_id, load, refusal):
        call.caller[0].failed(node_id, refusal, now_ms, load)
        is_first = not call.excluded
        call.excluded |= {node_id}
        if is_first and now_ms < call.arrived_ms + 0.85 * DEADLINE_MS:
            self.send(call, now_ms)
        else:
            self.refused += call.is_judged


def speeds_of(pattern, count):
    """Return the speeds of the targets of a service."""
    return [pattern[i // DOMAINS % len(pattern)] for i in range(count)]
