import collections
import random

import hypothesis
from hypothesis import strategies as st

from parsleystile import admission
from parsleystile import context
from parsleystile import errors

SERVICE_MS = 20.0


def _queue(slots=20, **kwargs):
    queue = admission.admission_queue(random.Random(1), **kwargs)
    queue.handle(admission.Announce(slots), 0.0)
    return queue


def _arrive(
    key,
    organisation='a',
    rank=1.5,
    deadline_ms=5000.0,
    weight=1.0,
    service='',
):
    return admission.Arrive(
        key, organisation, rank, deadline_ms, weight, service=service
    )


def _reasons(actions):
    return [
        a.refusal.reason for a in actions if isinstance(a, admission.Refuse)
    ]


class _Load:
    """Open-loop load on a queue whose target takes SERVICE_MS per call."""

    def __init__(self, slots=10, seed=1):
        self.rng = random.Random(seed)
        self.queue = _queue(slots)
        self.now_ms = 0.0
        self.ends = collections.deque()
        self.calls = {}
        self.arrived = collections.Counter()
        self.started = collections.Counter()
        self.keys = 0

    def run(self, for_ms, rates_per_ms):
        """Offer calls; ``rates_per_ms`` maps (organisation, class)."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += 1.0
            while self.ends and self.ends[0][0] <= self.now_ms:
                key = self.ends.popleft()[1]
                self._do(admission.Complete(key, True, SERVICE_MS))
            for kind, rate_per_ms in rates_per_ms.items():
                whole, part = divmod(rate_per_ms, 1.0)
                for _ in range(int(whole) + (self.rng.random() < part)):
                    self._offer(kind)
            if self.now_ms >= self.queue.next_tick_ms:
                self._do(admission.Tick())

    def _offer(self, kind):
        organisation, importance = kind
        self.keys += 1
        self.calls[self.keys] = kind
        self.arrived[kind] += 1
        rank = importance + self.rng.random()
        deadline_ms = self.now_ms + 300.0
        self._do(_arrive(self.keys, organisation, rank, deadline_ms))

    def _do(self, event):
        for action in self.queue.handle(event, self.now_ms):
            if isinstance(action, admission.Start):
                end = (self.now_ms + SERVICE_MS, action.call_key)
                self.ends.append(end)
                self.started[self.calls[action.call_key]] += 1


def test_no_call_is_admitted_before_an_announcement():
    queue = admission.admission_queue(random.Random(1))
    (action,) = queue.handle(_arrive(1), 0.0)
    assert action.refusal.reason is errors.Reason.UNREACHABLE
    assert action.refusal.outcome is errors.Outcome.NOT_RUN


def test_a_cold_target_gets_no_more_than_the_cold_limit():
    queue = _queue(slots=250)
    actions = [a for k in range(9) for a in queue.handle(_arrive(k), 0.0)]
    assert actions == [admission.Start(0), admission.Start(1)]
    assert queue.load(0.0) == admission.Load(2, 2, 7, 3.0)


def test_a_freed_slot_starts_the_next_queued_call():
    queue = _queue()
    for key in range(3):
        queue.handle(_arrive(key), 0.0)
    done = admission.Complete(0, True, 10.0)
    assert queue.handle(done, 10.0) == [admission.Start(2)]


def test_a_cancelled_call_never_starts_and_a_started_one_keeps_its_slot():
    queue = _queue()
    for key in range(4):
        queue.handle(_arrive(key), 0.0)
    assert queue.handle(admission.Cancel(2), 1.0) == []
    assert queue.handle(admission.Cancel(0), 1.0) == []
    assert queue.load(1.0).in_flight == 2
    done = admission.Complete(0, True, 10.0)
    assert queue.handle(done, 10.0) == [admission.Start(3)]


def test_a_standing_queue_is_served_newest_first():
    queue = _queue()
    for key in range(6):
        queue.handle(_arrive(key), 0.0)
    early = queue.handle(admission.Complete(0, True, 10.0), 10.0)
    assert early == [admission.Start(2)]
    late = queue.handle(admission.Complete(1, True, 200.0), 200.0)
    assert late == [admission.Start(5)]


def test_a_call_that_cannot_meet_its_deadline_is_refused():
    queue = _queue()
    queue.handle(_arrive(0), 0.0)
    queue.handle(admission.Complete(0, True, 100.0), 100.0)
    for key in (1, 2):
        queue.handle(_arrive(key), 100.0)
    assert queue.handle(_arrive(3, deadline_ms=300.0), 100.0) == []
    unreachable = queue.handle(_arrive(4, deadline_ms=150.0), 100.0)
    assert _reasons(unreachable) == [errors.Reason.DEADLINE]
    assert queue.next_tick_ms <= 200.0
    expired = queue.handle(admission.Tick(), 200.0)
    assert _reasons(expired) == [errors.Reason.DEADLINE]
    assert expired[0].refusal.outcome is errors.Outcome.NOT_RUN


def test_a_stale_service_time_estimate_admits_a_call_when_idle():
    queue = _queue()
    queue.handle(_arrive(0, deadline_ms=9000.0), 0.0)
    queue.handle(admission.Complete(0, True, 3000.0), 3000.0)
    queue.handle(_arrive(1, deadline_ms=9000.0), 3000.0)
    refused = queue.handle(_arrive(2, deadline_ms=4000.0), 3000.0)
    assert _reasons(refused) == [errors.Reason.DEADLINE]
    later = queue.handle(_arrive(3, deadline_ms=11_000.0), 10_000.0)
    assert later == [admission.Start(3)]


def test_a_full_queue_refuses_the_least_important_first():
    queue = _queue(queue_bound=2)
    for key, rank in enumerate((1.5, 1.5, 2.5, 1.5)):
        queue.handle(_arrive(key, rank=rank), 0.0)
    assert queue.handle(_arrive(4, rank=0.5), 0.0)[0].call_key == 2
    refused = queue.handle(_arrive(5, rank=2.5), 0.0)
    assert refused[0].call_key == 5
    assert refused[0].refusal.reason is errors.Reason.QUEUE_FULL
    assert refused[0].refusal.retry_after_ms > 0


def test_a_full_queue_refuses_the_most_loaded_organisation():
    queue = _queue(queue_bound=3)
    for key in range(5):
        queue.handle(_arrive(key, 'greedy'), 0.0)
    assert queue.handle(_arrive(5, 'modest'), 0.0)[0].call_key == 2
    assert queue.handle(_arrive(6, 'greedy'), 0.0)[0].call_key == 3


def test_drain_refuses_new_calls_and_serves_the_queue_for_a_while():
    queue = _queue()
    for key in range(5):
        queue.handle(_arrive(key), 0.0)
    queue.handle(admission.Drain(), 1.0)
    refused = queue.handle(_arrive(5), 2.0)
    assert _reasons(refused) == [errors.Reason.LEAVING]
    done = admission.Complete(0, True, 10.0)
    assert queue.handle(done, 10.0) == [admission.Start(2)]
    rest = queue.handle(admission.Tick(), 1100.0)
    assert _reasons(rest) == [errors.Reason.LEAVING] * 2
    assert queue.load(1100.0).in_flight == 2


def test_zero_slots_refuse_the_queue_and_new_calls():
    queue = _queue()
    for key in range(4):
        queue.handle(_arrive(key), 0.0)
    refused = queue.handle(admission.Announce(0), 10.0)
    assert [a.call_key for a in refused] == [2, 3]
    assert _reasons(refused) == [errors.Reason.UNREACHABLE] * 2
    for key in (0, 1):
        done = admission.Complete(key, False, 1000.0)
        assert queue.handle(done, 1010.0) == []
    late = queue.handle(_arrive(5), 1020.0)
    assert _reasons(late) == [errors.Reason.UNREACHABLE]
    assert queue.load(1020.0).limit == 0


def test_calls_that_wait_never_start_at_a_target_of_another_service():
    queue = admission.admission_queue(random.Random(1))
    queue.handle(admission.Announce(20, 'loads'), 0.0)
    for key in range(4):
        queue.handle(_arrive(key, service='loads'), 0.0)
    actions = queue.handle(admission.Announce(20, 'yard'), 10.0)
    assert [a.call_key for a in actions] == [2, 3]
    assert _reasons(actions) == [errors.Reason.LEAVING] * 2
    late = queue.handle(_arrive(4, service='loads'), 20.0)
    assert _reasons(late) == [errors.Reason.LEAVING]
    # Calls that still run elsewhere leave all slots to the new target.
    assert queue.load(20.0).in_flight == 0
    assert queue.handle(_arrive(5, service='yard'), 20.0) == [
        admission.Start(5)
    ]
    for key in (0, 1):
        queue.handle(admission.Cancel(key), 30.0)
        done = admission.Complete(key, False, 30.0)
        assert queue.handle(done, 30.0) == []
    assert queue.load(30.0).in_flight == 1


def test_calls_that_wait_start_at_the_next_target_of_their_service():
    queue = admission.admission_queue(random.Random(1))
    queue.handle(admission.Announce(20, 'loads'), 0.0)
    for key in range(4):
        queue.handle(_arrive(key, service='loads'), 0.0)
    assert queue.handle(admission.Announce(20, 'loads'), 10.0) == []
    done = admission.Complete(0, True, 10.0)
    assert admission.Start(2) in queue.handle(done, 10.0)


def test_levels_learnt_of_one_service_do_not_shed_calls_of_the_next():
    load = _Load()
    load.run(10_000.0, {('a', 1): 2.5})
    assert load.queue.load(load.now_ms).admission_level < 1.5
    load.queue.handle(admission.Level(2.5), load.now_ms)
    load.queue.handle(admission.Announce(10, 'yard'), load.now_ms)
    assert load.queue.load(load.now_ms).admission_level == 2.5


def test_the_admission_level_cap_holds_without_load():
    queue = _queue()
    queue.handle(admission.Level(2.0), 0.0)
    refused = queue.handle(_arrive(0, rank=2.0), 0.0)
    assert _reasons(refused) == [errors.Reason.SHED]
    assert queue.handle(_arrive(1, rank=1.9), 0.0) == [admission.Start(1)]
    assert queue.load(0.0).admission_level == 2.0


def test_an_organisation_over_its_share_takes_no_slots_of_others():
    load = _Load()
    load.run(5000.0, {('greedy', 1): 0.4, ('modest', 1): 0.1})
    load.arrived.clear()
    load.started.clear()
    # Ten slots serve 0.5 calls per ms.
    load.run(20_000.0, {('greedy', 1): 2.5, ('modest', 1): 0.2})
    served = load.started['modest', 1] / load.arrived['modest', 1]
    assert served >= 0.98
    assert sum(load.started.values()) >= 0.95 * 0.5 * 20_000


def test_slots_are_divided_by_weight():
    load = _Load()
    kinds = {('big', 1): 1.0, ('small', 1): 1.0}
    queue = load.queue
    share = {'big': 3.0, 'small': 1.0}
    original = queue.handle

    def weighted(event, now_ms):
        match event:
            case admission.Arrive(key, name, rank, deadline_ms):
                weight = share[name]
                event = _arrive(key, name, rank, deadline_ms, weight)
        return original(event, now_ms)

    queue.handle = weighted
    load.run(20_000.0, kinds)
    ratio = load.started['big', 1] / load.started['small', 1]
    assert 2.5 <= ratio <= 3.5


def test_important_calls_are_shed_last():
    load = _Load()
    load.run(3000.0, {('a', 1): 0.3})
    load.arrived.clear()
    load.started.clear()
    kinds = {('a', 0): 0.25, ('a', 1): 1.0, ('b', 2): 1.0}
    load.run(20_000.0, kinds)
    served = {k: load.started[k] / load.arrived[k] for k in kinds}
    assert served['a', 0] >= 0.99
    assert 0.15 <= served['a', 1] <= 0.26
    assert served['b', 2] <= 0.02


def test_ranks_above_the_level_are_refused_under_overload():
    load = _Load()
    load.run(10_000.0, {('a', 1): 2.0})
    level = load.queue.load(load.now_ms).admission_level
    assert 1.0 <= level <= 1.5
    fresh = [load.queue.handle(_arrive(-k, rank=1.9), load.now_ms)
             for k in range(1, 4)]  # fmt: skip
    assert [_reasons(a) for a in fresh] == [[errors.Reason.SHED]] * 3


def test_the_level_recovers_without_load():
    load = _Load()
    load.run(10_000.0, {('a', 1): 2.5})
    assert load.queue.load(load.now_ms).admission_level < 1.5
    load.run(3000.0, {('a', 1): 0.3})
    assert load.queue.load(load.now_ms).admission_level == context.RANK_LIMIT
    load.run(10_000.0, {('a', 1): 2.5})
    load.run(3000.0, {})
    assert load.queue.load(load.now_ms).admission_level == context.RANK_LIMIT
    load.run(200.0, {})
    assert load.queue.next_tick_ms == float('inf')


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ['arrive'] * 6
            + ['complete'] * 5
            + ['fail', 'cancel', 'tick', 'announce', 'drain', 'level']
        ),
        st.integers(0, 4),
        st.floats(0.0, 2.99),
        st.floats(0.0, 300.0),
    ),
    max_size=300,
)


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(_EVENTS)
def test_concurrency_is_exact_and_every_call_ends_once(events):
    queue = admission.admission_queue(random.Random(1), queue_bound=12)
    waiting, running, ended = set(), {}, set()
    slots, now_ms, next_key = 0, 0.0, 0

    def do(event):
        for action in queue.handle(event, now_ms):
            key = action.call_key
            waiting.remove(key)
            assert key not in ended
            if isinstance(action, admission.Start):
                running[key] = now_ms
                # Room is judged after the limit has moved.
                assert len(running) <= queue.load(now_ms).limit <= slots
            else:
                ended.add(key)
                assert action.refusal.outcome is errors.Outcome.NOT_RUN

    for kind, number, rank, spent_ms in events:
        now_ms += spent_ms / 10.0
        match kind:
            case 'arrive':
                next_key += 1
                waiting.add(next_key)
                do(_arrive(next_key, f'o{number}', rank, now_ms + spent_ms))
            case 'complete' | 'fail' if running:
                key = sorted(running)[number % len(running)]
                service_ms = now_ms - running.pop(key)
                ended.add(key)
                do(admission.Complete(key, kind == 'complete', service_ms))
            case 'cancel' if waiting:
                key = sorted(waiting)[number % len(waiting)]
                waiting.remove(key)
                ended.add(key)
                do(admission.Cancel(key))
            case 'announce':
                slots = max(slots, 1 + 5 * number)
                do(admission.Announce(slots))
            case 'drain':
                do(admission.Drain())
            case 'level':
                do(admission.Level(rank))
            case _:
                do(admission.Tick())
        load = queue.load(now_ms)
        assert load.in_flight == len(running)
        assert load.queued == len(waiting) <= 12
        assert waiting or load.queued == 0


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(_EVENTS)
def test_a_call_starts_only_while_its_service_is_announced(events):
    queue = admission.admission_queue(random.Random(1), queue_bound=12)
    services = ('loads', 'yard')
    announced, now_ms, next_key = '', 0.0, 0
    waiting, running = {}, {}

    def do(event):
        for action in queue.handle(event, now_ms):
            service = waiting.pop(action.call_key)
            if isinstance(action, admission.Start):
                assert service == announced
                running[action.call_key] = service

    for kind, number, rank, spent_ms in events:
        now_ms += spent_ms / 10.0
        match kind:
            case 'arrive':
                next_key += 1
                waiting[next_key] = service = services[number % 2]
                do(
                    _arrive(
                        next_key,
                        f'o{number}',
                        rank,
                        now_ms + spent_ms,
                        service=service,
                    )
                )
            case 'complete' | 'fail' if running:
                key = sorted(running)[number % len(running)]
                del running[key]
                do(admission.Complete(key, kind == 'complete', 5.0))
            case 'cancel' if waiting:
                key = sorted(waiting)[number % len(waiting)]
                del waiting[key]
                do(admission.Cancel(key))
            case 'announce':
                announced = services[number % 2]
                do(admission.Announce(1 + number, announced))
            case _:
                do(admission.Tick())
        load = queue.load(now_ms)
        assert load.queued == len(waiting)
        # Those of the other service run at a target that was replaced.
        assert load.in_flight <= sum(
            service == announced for service in running.values()
        )
