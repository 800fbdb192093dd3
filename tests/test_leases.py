import random

import msgspec
import pytest

from parsleystile import leaselog
from parsleystile import leases
from parsleystile import leasewatch
from parsleystile import ownership
from parsleystile import parts
from parsleystile import tableio
from stubs import tablestate

_PREFIX = 'lease/x/'
_WRITTEN = tableio.SwapOutcome.WRITTEN
_UNAVAILABLE = tableio.SwapOutcome.UNAVAILABLE


class _ManualTable:
    """A table that performs requests only when a test calls it."""

    def __init__(self):
        self.state = tablestate.table_state()

    def perform(self, request):
        match request:
            case tableio.Read(key):
                return tableio.ReadDone(key, True, self.state.read(key))
            case tableio.Swap(writes):
                done = self.state.transact(list(writes))
                is_written = isinstance(done, list)
                outcome = _WRITTEN if is_written else _CONFLICT
                return tableio.SwapDone(request, outcome)

    def lease_rows(self):
        return tuple(self.state.scan(_PREFIX))


_CONFLICT = tableio.SwapOutcome.CONFLICT


def _lease(name='n0', seed=1):
    lease = leases.node_lease(_PREFIX, name, random.Random(seed))
    lease.is_wanted = True
    return lease


def _tick_with_table(lease, rows, now_ms):
    """Tick a lease, with a table that answers at once."""
    for _ in range(3):
        for action in lease.tick(now_ms):
            if not isinstance(action, leases.RequestPromise):
                lease.handle(rows.perform(action), now_ms)


def _tick_without_table(lease, now_ms):
    """Tick a lease, with a table that is unavailable."""
    requests = []
    for action in lease.tick(now_ms):
        match action:
            case leases.RequestPromise():
                requests.append(action)
            case tableio.Read(key):
                lease.handle(tableio.ReadDone(key, False, None), now_ms)
            case tableio.Swap():
                failed = tableio.SwapDone(action, _UNAVAILABLE)
                lease.handle(failed, now_ms)
    return requests


def _watch(name, started_at_ms=-1e6, seed=2):
    return leasewatch.lease_watch(
        _PREFIX, name, random.Random(seed), started_at_ms
    )


def test_a_lease_counts_from_the_request_not_from_the_response():
    lease, rows = _lease(), _ManualTable()
    (read,) = lease.tick(0.0)
    lease.handle(rows.perform(read), 10.0)
    (swap,) = lease.tick(20.0)
    lease.handle(rows.perform(swap), 4_000.0)
    assert lease.valid_until_ms() == 20.0 + leases.LEASE_MS
    assert not lease.is_valid(20.0 + leases.LEASE_MS)


def test_an_unknown_renewal_that_took_effect_counts_from_its_request():
    lease, rows = _lease(), _ManualTable()
    _tick_with_table(lease, rows, 0.0)
    (swap,) = lease.tick(2_500.0)
    rows.perform(swap)
    unknown = tableio.SwapDone(swap, tableio.SwapOutcome.UNKNOWN)
    lease.handle(unknown, 3_000.0)
    assert lease.valid_until_ms() == leases.LEASE_MS
    (read,) = lease.tick(3_000.0)
    lease.handle(rows.perform(read), 3_100.0)
    assert lease.valid_until_ms() == 2_500.0 + leases.LEASE_MS


def test_promises_extend_a_lease_while_every_deputy_answers():
    lease, rows = _lease(), _ManualTable()
    lease.set_deputies(('d1', 'd2'))
    _tick_with_table(lease, rows, 0.0)
    now_ms = 0.0
    while now_ms < 20_000.0:
        now_ms += 500.0
        for request in _tick_without_table(lease, now_ms):
            reply = leases.PromiseReplied(_PREFIX, request.to, now_ms, True)
            lease.handle(reply, now_ms)
    assert lease.is_valid(now_ms)
    # Without the promises of one deputy the lease expires.
    while now_ms < 30_000.0:
        now_ms += 500.0
        for request in _tick_without_table(lease, now_ms):
            promised = request.to == 'd1'
            reply = leases.PromiseReplied(
                _PREFIX, request.to, now_ms, promised
            )
            lease.handle(reply, now_ms)
    assert not lease.is_valid(now_ms)


def test_a_lease_without_deputies_expires_in_an_outage():
    lease, rows = _lease(), _ManualTable()
    _tick_with_table(lease, rows, 0.0)
    assert _tick_without_table(lease, leases.LEASE_MS) == []
    assert not lease.is_valid(leases.LEASE_MS)


def test_a_holder_with_an_expired_lease_reads_before_it_writes():
    lease, rows = _lease(), _ManualTable()
    _tick_with_table(lease, rows, 0.0)
    actions = lease.tick(60_000.0)
    assert isinstance(actions[0], tableio.Read)


def _held_by(rows, deputies, now_ms=0.0):
    lease = _lease()
    lease.set_deputies(deputies)
    _tick_with_table(lease, rows, now_ms)
    return lease


@pytest.mark.parametrize(
    ('name', 'after_ms'),
    [('d1', leases.LEASE_MS), ('other', leases.MAX_EXTENSION_MS)],
)
def test_which_node_may_revoke_and_when(name, after_ms):
    rows = _ManualTable()
    _held_by(rows, ('d1',))
    watch = _watch(name)
    watch.observe(rows.lease_rows(), 100.0)
    after_ms += 100.0 + leases.CLOCK_DRIFT_MARGIN_MS
    assert watch.revoke_expired(after_ms - 1.0) == []
    (swap,) = watch.revoke_expired(after_ms)
    watch.on_swap_done(rows.perform(swap))
    (row,) = rows.lease_rows()
    found = leases.decode_row(row.value)
    assert found.state is leases.LeaseState.REVOKED


def test_a_renewed_lease_is_not_revoked():
    rows = _ManualTable()
    lease = _held_by(rows, ('d1',))
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 100.0)
    _tick_with_table(lease, rows, 5_000.0)
    watch.observe(rows.lease_rows(), 5_100.0)
    assert watch.revoke_expired(8_000.0) == []


def test_a_deputy_keeps_its_promise():
    rows = _ManualTable()
    lease = _held_by(rows, ('d1',))
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 0.0)
    request = leases.PromiseRequest(_PREFIX, 'n0', lease.epoch)
    expired_ms = leases.LEASE_MS + leases.CLOCK_DRIFT_MARGIN_MS
    assert watch.promise(request, expired_ms - 1.0).is_promised
    assert watch.revoke_expired(expired_ms) == []
    promise_over_ms = (
        expired_ms + leases.PROMISE_MS + leases.CLOCK_DRIFT_MARGIN_MS
    )
    assert len(watch.revoke_expired(promise_over_ms)) == 1


@pytest.mark.parametrize(
    'outcome',
    [None, tableio.SwapOutcome.WRITTEN, tableio.SwapOutcome.UNKNOWN],
)
def test_a_deputy_that_began_to_revoke_promises_nothing(outcome):
    rows = _ManualTable()
    lease = _held_by(rows, ('d1',))
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 0.0)
    (swap,) = watch.revoke_expired(20_000.0)
    if outcome is not None:
        watch.on_swap_done(tableio.SwapDone(swap, outcome))
    request = leases.PromiseRequest(_PREFIX, 'n0', lease.epoch)
    assert not watch.promise(request, 20_000.0).is_promised


def test_a_new_process_gives_no_promise_at_first():
    rows = _ManualTable()
    lease = _held_by(rows, ('d1',))
    watch = _watch('d1', started_at_ms=0.0)
    request = leases.PromiseRequest(_PREFIX, 'n0', lease.epoch)
    watch.observe(rows.lease_rows(), 100.0)
    assert not watch.promise(request, 200.0).is_promised
    watch.observe(rows.lease_rows(), leasewatch.STARTUP_QUIET_MS)
    assert watch.promise(request, leasewatch.STARTUP_QUIET_MS).is_promised


def test_a_released_part_is_free_after_its_quarantine():
    rows = _ManualTable()
    lease = _held_by(rows, ())
    for swap in lease.release(1_000.0):
        rows.perform(swap)
    assert not lease.is_valid(1_000.0)
    watch = _watch('n1')
    watch.observe(rows.lease_rows(), 1_100.0)
    assert not watch.is_free('n0', lease.epoch, 4_000.0, 5_000.0)
    assert watch.is_free('n0', lease.epoch, 4_000.0, 5_100.0)


def test_reads_out_of_order_do_not_restore_an_old_row():
    rows = _ManualTable()
    lease = _held_by(rows, ('d1',))
    old = rows.lease_rows()
    for swap in lease.release(0.0):
        rows.perform(swap)
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 100.0)
    watch.observe(old, 200.0)
    request = leases.PromiseRequest(_PREFIX, 'n0', lease.epoch)
    assert not watch.promise(request, 200.0).is_promised


def test_a_node_waits_until_its_earlier_lease_is_revoked():
    rows = _ManualTable()
    _held_by(rows, ('d1',))
    later = _lease(seed=5)
    _tick_with_table(later, rows, 1_000.0)
    assert not later.is_valid(1_000.0)
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 0.0)
    for swap in watch.revoke_expired(20_000.0):
        rows.perform(swap)
    _tick_with_table(later, rows, 21_000.0)
    assert later.is_valid(21_000.0)


def test_a_lease_row_round_trips():
    row = leases.LeaseRow('e', 'n', leases.LeaseState.HELD, ('d',))
    value = msgspec.msgpack.encode(row)
    assert leases.decode_row(value) == row


def test_lease_changes_are_logged():
    logged = []
    plan = ownership.OwnershipConfig(
        parts.Layout('x/', 1, 1, 0.0), _PREFIX, ownership.deputies_in_domain
    )
    owner = ownership.ownership(plan, 'n0', 'a', random.Random(1), 0.0)
    lease_logger = leaselog.lease_logger('x', logged.append)
    lease_logger.observe(owner, 0.0)
    owner.lease.is_wanted = True
    _tick_with_table(owner.lease, _ManualTable(), 0.0)
    for now_ms in (0.0, 1.0, leases.LEASE_MS):
        lease_logger.observe(owner, now_ms)
    states = [(event.state_before, event.state_after) for event in logged]
    assert states == [('none', 'held'), ('held', 'lapsed')]
    assert 'deputies=-' in logged[0].evidence
