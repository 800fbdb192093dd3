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


class _Rows:
    """A table that a test works by hand, write by write."""

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


def _turn(lease, rows, now_ms):
    """Let a lease do what is due, with a table that answers at once."""
    for _ in range(3):
        for action in lease.tick(now_ms):
            if not isinstance(action, leases.RequestPromise):
                lease.handle(rows.perform(action), now_ms)


def _fail(lease, now_ms):
    """Let a lease do what is due, with a table out of reach."""
    asks = []
    for action in lease.tick(now_ms):
        match action:
            case leases.RequestPromise():
                asks.append(action)
            case tableio.Read(key):
                lease.handle(tableio.ReadDone(key, False, None), now_ms)
            case tableio.Swap():
                failed = tableio.SwapDone(action, _UNAVAILABLE)
                lease.handle(failed, now_ms)
    return asks


def _watch(name, started_at_ms=-1e6, seed=2):
    return leasewatch.lease_watch(
        _PREFIX, name, random.Random(seed), started_at_ms
    )


def test_a_lease_counts_from_the_ask_not_from_the_answer():
    lease, rows = _lease(), _Rows()
    (read,) = lease.tick(0.0)
    lease.handle(rows.perform(read), 10.0)
    (swap,) = lease.tick(20.0)
    lease.handle(rows.perform(swap), 4_000.0)
    assert lease.valid_until_ms() == 20.0 + leases.LEASE_MS
    assert not lease.is_valid(20.0 + leases.LEASE_MS)


def test_an_unknown_renewal_that_took_effect_counts_from_its_ask():
    lease, rows = _lease(), _Rows()
    _turn(lease, rows, 0.0)
    (swap,) = lease.tick(2_500.0)
    rows.perform(swap)
    unknown = tableio.SwapDone(swap, tableio.SwapOutcome.UNKNOWN)
    lease.handle(unknown, 3_000.0)
    assert lease.valid_until_ms() == leases.LEASE_MS
    (read,) = lease.tick(3_000.0)
    lease.handle(rows.perform(read), 3_100.0)
    assert lease.valid_until_ms() == 2_500.0 + leases.LEASE_MS


def test_deputies_carry_a_lease_through_an_outage_and_no_further():
    lease, rows = _lease(), _Rows()
    lease.set_deputies(('d1', 'd2'))
    _turn(lease, rows, 0.0)
    now_ms = 0.0
    while now_ms < 20_000.0:
        now_ms += 500.0
        for ask in _fail(lease, now_ms):
            reply = leases.PromiseReplied(_PREFIX, ask.to, now_ms, True)
            lease.handle(reply, now_ms)
    assert lease.is_valid(now_ms)
    # One deputy falls silent: its promises lapse, and so does the lease.
    while now_ms < 30_000.0:
        now_ms += 500.0
        for ask in _fail(lease, now_ms):
            promised = ask.to == 'd1'
            reply = leases.PromiseReplied(_PREFIX, ask.to, now_ms, promised)
            lease.handle(reply, now_ms)
    assert not lease.is_valid(now_ms)


def test_a_lease_without_deputies_ends_in_an_outage():
    lease, rows = _lease(), _Rows()
    _turn(lease, rows, 0.0)
    assert _fail(lease, leases.LEASE_MS) == []
    assert not lease.is_valid(leases.LEASE_MS)


def test_a_holder_that_slept_looks_before_it_writes():
    lease, rows = _lease(), _Rows()
    _turn(lease, rows, 0.0)
    actions = lease.tick(60_000.0)
    assert isinstance(actions[0], tableio.Read)


def _held_by(rows, deputies, now_ms=0.0):
    lease = _lease()
    lease.set_deputies(deputies)
    _turn(lease, rows, now_ms)
    return lease


@pytest.mark.parametrize(
    ('name', 'after_ms'),
    [('d1', leases.LEASE_MS), ('other', leases.MAX_EXTENSION_MS)],
)
def test_who_may_revoke_and_when(name, after_ms):
    rows = _Rows()
    _held_by(rows, ('d1',))
    watch = _watch(name)
    watch.observe(rows.lease_rows(), 100.0)
    after_ms += 100.0 + leases.CLOCK_DRIFT_MARGIN_MS
    assert watch.revoke_lapsed(after_ms - 1.0) == []
    (swap,) = watch.revoke_lapsed(after_ms)
    watch.on_swapped(rows.perform(swap))
    (row,) = rows.lease_rows()
    found = leases.decode_row(row.value)
    assert found.state is leases.LeaseState.REVOKED


def test_a_renewed_lease_is_not_revoked():
    rows = _Rows()
    lease = _held_by(rows, ('d1',))
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 100.0)
    _turn(lease, rows, 5_000.0)
    watch.observe(rows.lease_rows(), 5_100.0)
    assert watch.revoke_lapsed(8_000.0) == []


def test_a_deputy_keeps_its_promise():
    rows = _Rows()
    lease = _held_by(rows, ('d1',))
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 0.0)
    ask = leases.PromiseRequest(_PREFIX, 'n0', lease.epoch)
    late_ms = leases.LEASE_MS + leases.CLOCK_DRIFT_MARGIN_MS
    assert watch.promise(ask, late_ms - 1.0).is_promised
    assert watch.revoke_lapsed(late_ms) == []
    over_ms = late_ms + leases.PROMISE_MS + leases.CLOCK_DRIFT_MARGIN_MS
    assert len(watch.revoke_lapsed(over_ms)) == 1


@pytest.mark.parametrize(
    'outcome',
    [None, tableio.SwapOutcome.WRITTEN, tableio.SwapOutcome.UNKNOWN],
)
def test_a_deputy_that_began_to_revoke_promises_nothing(outcome):
    rows = _Rows()
    lease = _held_by(rows, ('d1',))
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 0.0)
    (swap,) = watch.revoke_lapsed(20_000.0)
    if outcome is not None:
        watch.on_swapped(tableio.SwapDone(swap, outcome))
    ask = leases.PromiseRequest(_PREFIX, 'n0', lease.epoch)
    assert not watch.promise(ask, 20_000.0).is_promised


def test_a_new_process_does_not_promise_for_the_one_before():
    rows = _Rows()
    lease = _held_by(rows, ('d1',))
    watch = _watch('d1', started_at_ms=0.0)
    ask = leases.PromiseRequest(_PREFIX, 'n0', lease.epoch)
    watch.observe(rows.lease_rows(), 100.0)
    assert not watch.promise(ask, 200.0).is_promised
    watch.observe(rows.lease_rows(), leasewatch.STARTUP_QUIET_MS)
    assert watch.promise(ask, leasewatch.STARTUP_QUIET_MS).is_promised


def test_what_was_released_is_free_once_grants_have_lapsed():
    rows = _Rows()
    lease = _held_by(rows, ())
    for swap in lease.release(1_000.0):
        rows.perform(swap)
    assert not lease.is_valid(1_000.0)
    watch = _watch('n1')
    watch.observe(rows.lease_rows(), 1_100.0)
    assert not watch.is_free('n0', lease.epoch, 4_000.0, 5_000.0)
    assert watch.is_free('n0', lease.epoch, 4_000.0, 5_100.0)


def test_reads_that_cross_do_not_bring_an_old_row_back():
    rows = _Rows()
    lease = _held_by(rows, ('d1',))
    old = rows.lease_rows()
    for swap in lease.release(0.0):
        rows.perform(swap)
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 100.0)
    watch.observe(old, 200.0)
    ask = leases.PromiseRequest(_PREFIX, 'n0', lease.epoch)
    assert not watch.promise(ask, 200.0).is_promised


def test_a_node_waits_for_its_earlier_process_to_be_gone():
    rows = _Rows()
    _held_by(rows, ('d1',))
    later = _lease(seed=5)
    _turn(later, rows, 1_000.0)
    assert not later.is_valid(1_000.0)
    watch = _watch('d1')
    watch.observe(rows.lease_rows(), 0.0)
    for swap in watch.revoke_lapsed(20_000.0):
        rows.perform(swap)
    _turn(later, rows, 21_000.0)
    assert later.is_valid(21_000.0)


def test_a_row_is_a_document_of_its_own():
    row = leases.LeaseRow('e', 'n', leases.LeaseState.HELD, ('d',))
    value = msgspec.msgpack.encode(row)
    assert leases.decode_row(value) == row


def test_the_log_tells_when_a_lease_lapses():
    told = []
    plan = ownership.OwnershipConfig(
        parts.Layout('x/', 1, 1, 0.0), _PREFIX, ownership.deputies_in_domain
    )
    owner = ownership.ownership(plan, 'n0', 'a', random.Random(1), 0.0)
    log = leaselog.lease_logger('x', told.append)
    log.observe(owner, 0.0)
    owner.lease.is_wanted = True
    _turn(owner.lease, _Rows(), 0.0)
    for now_ms in (0.0, 1.0, leases.LEASE_MS):
        log.observe(owner, now_ms)
    states = [(event.state_before, event.state_after) for event in told]
    assert states == [('none', 'held'), ('held', 'lapsed')]
    assert 'deputies=-' in told[0].evidence
