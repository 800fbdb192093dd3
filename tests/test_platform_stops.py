"""Planned stops of nodes on a simulated platform."""

import asyncio

from parsleystile import errors
from parsleystile.relay import logevents
from tests import asyncutil
from tests import platformfleet


def _record_log(machine):
    written = []
    machine.node.recorder.log.append = written.append
    return written


def _of_kind(written, kind):
    return [event for event in written if isinstance(event, kind)]


async def _send_long_call(fleet, path='/stock/x'):
    """Send a call that runs at n1 longer than any stop; return its task."""
    first, second = fleet.machines
    second.target.work_ms = 5000.0
    call = asyncio.ensure_future(first.call(path, wait_ms=5000))
    await asyncutil.wait_until(fleet.executed_ids)
    return call


async def _stop_until_ended(machine):
    ended = asyncio.Event()
    machine.node.on_end = ended.set
    machine.node.stop()
    await ended.wait()


def test_a_request_cut_by_its_node_is_not_logged_as_abandoned():
    async def body(fleet):
        first = fleet.machines[0]
        written = _record_log(first)
        call = await _send_long_call(fleet)
        first.node._http_server.close()
        await asyncutil.wait_until(
            lambda: _of_kind(written, logevents.CallCut)
        )
        (cut,) = _of_kind(written, logevents.CallCut)
        assert (cut.call, cut.reason) == ('c1', 'server-closed')
        assert not _of_kind(written, logevents.CallAbandoned)
        await call

    platformfleet.run_with_fleet(body, serving=[1])


def test_the_end_of_a_planned_stop_is_logged_with_what_is_owed():
    async def body(fleet):
        first = fleet.machines[0]
        written = _record_log(first)
        call = await _send_long_call(fleet)
        await _stop_until_ended(first)
        (event,) = _of_kind(written, logevents.DrainEnded)
        assert event.is_timed_out
        assert event.requests_given_up == 1
        assert event.requests_open == 0
        await first.node.close()
        await call

    platformfleet.run_with_fleet(body, serving=[1], stop_ms=600.0)


def test_requests_sent_long_after_a_stop_request_are_refused_not_cut():
    async def body(fleet):
        first, second = fleet.machines
        ended = asyncio.Event()
        first.node.on_end = ended.set
        second.target.work_ms = 60.0
        results = {}

        async def send_until_ended(caller):
            # Staggered, so that some request is open at any time.
            await asyncio.sleep(0.012 * caller)
            while not ended.is_set():
                call_id = f'{caller}-{len(results)}'
                results[call_id] = None
                results[call_id] = await first.call(call_id=call_id)

        async def end():
            await ended.wait()
            await first.node.close()

        callers = [send_until_ended(i) for i in range(5)]
        sending = asyncio.gather(end(), *callers)
        await asyncutil.wait_until(lambda: len(results) > 20)
        first.node.stop()
        await sending
        answers = {
            call_id: result
            for call_id, result in results.items()
            if not isinstance(result, errors.Refusal)
        }
        served = [i for i, answer in answers.items() if answer.status == 200]
        assert sorted(fleet.executed_ids()) == sorted(served)
        refused = [a for a in answers.values() if a.status == 503]
        assert refused
        assert all('Retry-After' in answer.headers for answer in refused)

    platformfleet.run_with_fleet(body, serving=[1], stop_ms=3000.0)


def test_a_request_open_at_the_end_of_a_stop_gets_a_final_answer():
    async def body(fleet):
        call = await _send_long_call(fleet)
        await _stop_until_ended(fleet.machines[0])
        answer = await call
        assert (answer.status, answer.body) == (502, b'leaving\n')

    platformfleet.run_with_fleet(body, serving=[1], stop_ms=600.0)


def test_the_last_node_of_a_fleet_ends_its_planned_stop():
    async def body(fleet):
        (machine,) = fleet.machines
        ended = []
        machine.node.on_end = lambda: ended.append(True)
        # As for a signal handler, an error in it must not stop the test.
        asyncio.get_running_loop().call_soon(machine.node.stop)
        await asyncutil.wait_until(lambda: ended)

    platformfleet.run_with_fleet(body, count=1, stop_ms=600.0)


def test_a_stopping_node_serves_calls_of_its_busy_target():
    async def body(fleet):
        first, second = fleet.machines
        first.target.work_ms = 1600.0
        parent = asyncio.ensure_future(second.call())
        await asyncutil.wait_until(fleet.executed_ids)
        first.node.stop()
        ingress = first.node._ingress
        await asyncutil.wait_until(lambda: ingress.is_refusing)
        second.report()
        members = first.node.member_list
        await asyncutil.wait_until(lambda: members.members_of('yard'))
        child = await first.call('/lookup/x', call_id='c1.1', key='')
        assert child.status == 200
        assert (await first.call(call_id='c2')).status == 503
        assert (await parent).status == 200

    platformfleet.run_with_fleet(body, serving=[0], stop_ms=2400.0)


def test_a_call_at_the_guard_of_an_ended_node_is_unknown_to_its_caller():
    async def body(fleet):
        call = await _send_long_call(fleet, '/reserve/x')
        await _stop_until_ended(fleet.machines[1])
        answer = await call
        assert (answer.status, answer.body) == (502, b'leaving\n')

    platformfleet.run_with_fleet(body, serving=[1], stop_ms=600.0)


def test_answers_in_a_link_are_delivered_when_its_node_ends():
    async def body(fleet):
        first, second = fleet.machines
        large = b'x' * 20_000_000
        second.target.custom_answer = lambda request: request.answer(
            200, ['Parsleystile-Attempt-Id', 'c1'], large
        )
        call = asyncio.ensure_future(first.call(wait_ms=5000))
        links = second.node._links
        await asyncutil.wait_until(lambda: links.unsent_bytes)
        await links.close(5000.0)
        assert not links.unsent_bytes
        answer = await call
        assert (answer.status, len(answer.body)) == (200, len(large))

    platformfleet.run_with_fleet(body, serving=[1])


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


def test_a_request_that_failed_at_a_target_is_not_refused_as_not_run():
    async def body(fleet):
        first, *others = fleet.machines

        def fail(request):
            for machine in others:
                machine.node.guard.refuse_new(errors.Reason.LEAVING)
            request.answer(500, ['Parsleystile-Attempt-Id', 'c1'], b'')

        for machine in others:
            machine.target.custom_answer = fail
        answer = await first.call()
        assert fleet.executed_ids() == ['c1']
        assert answer.status in (500, 502)

    platformfleet.run_with_fleet(body, count=3, serving=[1, 2])


def test_the_target_of_a_stopping_node_serves_until_the_node_refuses():
    async def body(fleet):
        first, second = fleet.machines
        second.node.stop()
        assert (await first.call()).status == 200
        await asyncutil.wait_until(
            lambda: first.node.member_list.row('n1').is_gone
        )
        assert (await first.call(call_id='c2')).status == 503

    platformfleet.run_with_fleet(body, serving=[1], stop_ms=1200.0)


def test_no_call_is_lost_while_its_node_leaves():
    async def body(fleet):
        first, second = fleet.machines
        ended = asyncio.Event()
        second.node.on_end = ended.set
        second.node.stop()
        statuses = []
        while not ended.is_set():
            number = len(statuses)
            answer = await first.call('/reserve/x', call_id=f'c{number}')
            statuses.append(answer.status)
        assert set(statuses) == {200}

    platformfleet.run_with_fleet(body, stop_ms=1200.0)
