import random

from parsleystile import admission
from parsleystile import errors


def _queue(slots=20, **kwargs):
    queue = admission.admission_queue(random.Random(1), **kwargs)
    queue.handle(admission.Announce(slots), 0.0)
    return queue


def _arrive(key, organisation='a', rank=1.5, deadline_ms=5000.0):
    return admission.Arrive(key, organisation, rank, deadline_ms)


def test_nothing_is_admitted_before_the_target_announces():
    queue = admission.admission_queue(random.Random(1))
    (action,) = queue.handle(_arrive(1), 0.0)
    assert action.refusal.reason is errors.Reason.UNREACHABLE
    assert action.refusal.outcome is errors.Outcome.NOT_RUN


def test_a_cold_target_gets_no_more_than_the_cold_limit():
    queue = _queue(slots=250)
    actions = [a for k in range(9) for a in queue.handle(_arrive(k), 0.0)]
    assert actions == [admission.Start(0), admission.Start(1)]
    assert queue.load(0.0) == admission.Load(2, 2, 7, 3.0)


def test_a_freed_slot_starts_the_next_call():
    queue = _queue()
    for key in range(3):
        queue.handle(_arrive(key), 0.0)
    done = admission.Complete(0, True, 10.0)
    assert queue.handle(done, 10.0) == [admission.Start(2)]


def test_a_cancelled_call_never_starts():
    queue = _queue()
    for key in range(4):
        queue.handle(_arrive(key), 0.0)
    assert queue.handle(admission.Cancel(2), 1.0) == []
    done = admission.Complete(0, True, 10.0)
    assert queue.handle(done, 10.0) == [admission.Start(3)]
