"""Planned stops of nodes on a simulated platform."""

import asyncio

from parsleystile.relay import logevents
from tests import asyncutil
from tests import platformfleet


def _record_log(machine):
    written = []
    machine.node.recorder.log.append = written.append
    return written


def _of_kind(written, kind):
    return [event for event in written if isinstance(event, kind)]


def test_a_request_cut_by_its_node_is_not_logged_as_abandoned():
    async def body(fleet):
        first, second = fleet.machines
        second.target.work_ms = 5000.0
        written = _record_log(first)
        call = asyncio.ensure_future(first.call(wait_ms=5000))
        await asyncutil.wait_until(fleet.executed_ids)
        await first.node.close()
        (cut,) = _of_kind(written, logevents.CallCut)
        assert (cut.call, cut.reason) == ('c1', 'server-closed')
        assert not _of_kind(written, logevents.CallAbandoned)
        await call

    platformfleet.run_with_fleet(body, serving=[1])


def test_the_end_of_a_planned_stop_is_logged_with_what_is_owed():
    async def body(fleet):
        first, second = fleet.machines
        second.target.work_ms = 5000.0
        written = _record_log(first)
        call = asyncio.ensure_future(first.call(wait_ms=5000))
        await asyncutil.wait_until(fleet.executed_ids)
        ended = []
        first.node.on_end = lambda: ended.append(True)
        first.node.stop()
        await asyncutil.wait_until(lambda: ended)
        (event,) = _of_kind(written, logevents.DrainEnded)
        assert event.is_timed_out
        assert event.requests_open == 1
        await first.node.close()
        await call

    platformfleet.run_with_fleet(body, serving=[1], stop_ms=600.0)


def test_the_last_nodes_of_a_fleet_stop_without_an_error():
    async def body(fleet):
        reported = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
        first, second = fleet.machines
        first.node.stop()
        await asyncutil.wait_until(
            lambda: len(second.node.member_list.node_ids) == 1
        )
        second.node.stop()
        await asyncutil.wait_until(lambda: not first.node.member_list.node_ids)
        assert reported == []

    platformfleet.run_with_fleet(body)
