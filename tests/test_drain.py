from parsleystile import drain


def _stopping(now_ms=0.0):
    machine = drain.drain()
    assert machine.handle(drain.StopRequested(), now_ms) == [
        drain.AnnounceLeave()
    ]
    assert machine.handle(drain.LeaveConfirmed(), now_ms) == [
        drain.RefuseNew()
    ]
    return machine


def test_no_call_is_refused_before_the_leave_is_confirmed():
    machine = drain.drain()
    machine.handle(drain.StopRequested(), 0.0)
    for now_ms in range(0, 1900, 50):
        assert machine.handle(drain.Tick(0), now_ms) == []
    assert machine.phase is drain.Phase.ANNOUNCING


def test_calls_in_flight_finish_before_the_hand_back():
    machine = _stopping()
    for now_ms in range(0, 20_000, 50):
        assert machine.handle(drain.Tick(3), now_ms) == []
    assert machine.handle(drain.Tick(0), 20_000) == []
    # A call that arrives within the quiet period restarts it.
    assert machine.handle(drain.Tick(1), 20_300) == []
    assert machine.handle(drain.Tick(0), 20_700) == []
    assert machine.handle(drain.Tick(0), 20_800) == [drain.HandBack()]
    assert machine.handle(drain.HandedBack(), 20_900) == [
        drain.Exit(0, 20_900.0)
    ]


def test_a_drain_timeout_reports_the_calls_cut():
    machine = _stopping()
    now_ms = drain.DRAIN_TIMEOUT_MS
    assert machine.handle(drain.Tick(2), now_ms) == [drain.HandBack()]
    late_ms = now_ms + drain.HAND_BACK_TIMEOUT_MS
    assert machine.handle(drain.Tick(2), late_ms) == [drain.Exit(2, late_ms)]


def test_callers_that_go_on_are_refused_before_the_drain_timeout():
    machine = _stopping()
    refuse_ms = drain.REFUSE_CALLERS_AFTER_MS
    assert refuse_ms < drain.DRAIN_TIMEOUT_MS
    assert machine.handle(drain.Tick(2), refuse_ms - 100) == []
    assert machine.handle(drain.Tick(2), refuse_ms) == [drain.RefuseCallers()]
    assert machine.handle(drain.Tick(1), refuse_ms + 100) == []
    assert machine.handle(drain.Tick(0), refuse_ms + 600) == [drain.HandBack()]


def test_a_drained_process_runs_until_a_stop_is_requested():
    machine = drain.drain()
    machine.handle(drain.StopRequested(is_final=False), 0.0)
    machine.handle(drain.LeaveConfirmed(), 100.0)
    assert machine.handle(drain.Tick(0), 60_000.0) == []
    assert machine.handle(drain.StopRequested(), 60_000.0) == []
    assert machine.handle(drain.Tick(0), 60_050.0) == [drain.HandBack()]


def test_events_out_of_order_are_ignored():
    machine = drain.drain()
    assert machine.handle(drain.LeaveConfirmed(), 0.0) == []
    assert machine.handle(drain.HandedBack(), 0.0) == []
    machine = _stopping()
    assert machine.handle(drain.StopRequested(), 1.0) == []
    assert machine.handle(drain.LeaveConfirmed(), 1.0) == []
