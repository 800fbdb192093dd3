"""Time per event of the admission queue and the balancer."""

import random
import time
import typing

import bench
from parsleystile import admission
from parsleystile import balancer
from parsleystile import ids
from parsleystile import members
from parsleystile import transport

EVENTS = 20_000
ROUNDS = 5
ORGANISATIONS = 8
SERVICE_MS = 5.0
_ADDRESS = transport.Address('127.0.0.1', 1)


def run() -> typing.Iterator[bench.Result]:
    """Measure events of the admission queue and choices of a target."""
    yield bench.Result(
        'admission_event_free_us',
        min(_unqueued_us() for _ in range(ROUNDS)),
        'us',
    )
    for queued in (10, 100, 1000):
        value = min(_queued_us(queued) for _ in range(ROUNDS))
        yield bench.Result(f'admission_event_queued_{queued}_us', value, 'us')
    for count in (5, 50, 500):
        value = min(_choose_us(count) for _ in range(ROUNDS))
        yield bench.Result(f'balancer_choose_of_{count}_us', value, 'us')


def _arrive(key: int, now_ms: float) -> admission.Arrive:
    organisation = ids.OrganisationId(f'o{key % ORGANISATIONS}')
    return admission.Arrive(key, organisation, 1.5, now_ms + 60_000.0)


def _unqueued_us() -> float:
    """Return the time of an arrival or completion with free slots."""
    queue = admission.admission_queue(random.Random(1))
    queue.handle(admission.Announce(250), 0.0)
    arrivals = [_arrive(key, key * 1.0) for key in range(EVENTS)]
    ends = [admission.Complete(k, True, SERVICE_MS) for k in range(EVENTS)]
    start = time.perf_counter()
    for key in range(EVENTS):
        queue.handle(arrivals[key], key * 1.0)
        queue.handle(ends[key], key + 0.5)
    return (time.perf_counter() - start) * 1e6 / (2 * EVENTS)


def _queued_us(queued: int) -> float:
    """Return the time of an arrival or completion with calls queued."""
    queue = admission.admission_queue(random.Random(1), queued + 2)
    queue.handle(admission.Announce(2), 0.0)
    running = []
    for key in range(queued + 2):
        running += queue.handle(_arrive(key, 0.0), 0.0)
    arrivals = [_arrive(k, 0.0) for k in range(EVENTS + queued + 2)]
    handle = queue.handle
    spent = 0.0
    for key in range(queued + 2, EVENTS + queued + 2):
        # A constant time keeps the admission level constant, so that only
        # the queue is measured.
        now_ms = 10.0
        start = time.perf_counter()
        handle(arrivals[key], now_ms)
        done = admission.Complete(running.pop().call_key, True, SERVICE_MS)
        running += handle(done, now_ms)
        spent += time.perf_counter() - start
    return spent * 1e6 / (2 * EVENTS)


def _choose_us(count: int) -> float:
    """Return the time of one choice, including its bookkeeping."""
    target_balancer = balancer.balancer(
        ids.FailureDomainId('d0'),
        ids.RegionId('r'),
        ids.NodeId('self'),
        random.Random(1),
    )
    service = ids.ServiceName('s')
    target_balancer.set_members(service, [_member(at) for at in range(count)])
    load = admission.Load(5, 20, 0, 3.0)
    no_exclusions: frozenset[ids.NodeId] = frozenset()
    start = time.perf_counter()
    for key in range(EVENTS):
        member = target_balancer.choose(service, no_exclusions, key * 0.1)
        target_balancer.sent(member.node_id)
        target_balancer.answered(member.node_id, load, key * 0.1)
    return (time.perf_counter() - start) * 1e6 / EVENTS


def _member(at: int) -> members.Member:
    return members.Member(
        ids.NodeId(f'n{at}'),
        ids.VmId(f'v{at}'),
        ids.RegionId('r'),
        ids.FailureDomainId(f'd{at % 3}'),
        ids.ServiceName('s'),
        20,
        _ADDRESS,
        _ADDRESS,
        ids.Incarnation(1),
    )
