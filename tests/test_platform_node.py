"""Nodes on stand-ins of the users' platform: whole calls and their rules."""

import asyncio
import json

import pytest

from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile.relay import httpclient
from parsleystile.relay import logevents
from parsleystile.relay import targetreports
from tests import asyncutil
from tests import platformfleet


def test_a_call_reaches_a_target_of_another_node():
    async def body(fleet):
        answer = await fleet.machines[0].call()
        assert answer.status == 200
        assert answer.body == b'done'
        (headers,) = fleet.machines[1].target.seen
        assert headers['parsleystile-expected-instance'] == 'i-n1'
        assert headers['parsleystile-tenant-id'] == 'households'
        assert headers['parsleystile-caller-service'] == 'yard'
        assert 'authorization' not in headers
        assert int(headers['parsleystile-request-deadline']) <= 2000

    platformfleet.play(body, serving=[1])


def test_a_head_request_does_not_wait_for_a_body():
    async def body(fleet):
        first, second = fleet.machines
        second.target.answer = lambda request: request.answer(
            200, ['Parsleystile-Attempt-Id', 'c1', 'X-Size', '5'], b'hello'
        )
        answer = await first.call(method='HEAD', wait_ms=60_000)
        assert (answer.status, answer.body) == (200, b'')
        assert 'X-Size' in answer.headers

    platformfleet.play(body, count=2, serving=[1])


def test_a_body_passes_unchanged():
    async def body(fleet):
        data = bytes(range(256)) * 100
        answer = await fleet.machines[0].call(
            '/reserve/x', method='POST', body=data
        )
        assert answer.body == b'done' + data

    platformfleet.play(body, serving=[1])


def test_what_a_caller_makes_up_is_not_passed_on():
    async def body(fleet):
        extra = (
            'Parsleystile-Tenant-Id: somebody\r\n'
            'Parsleystile-Caller-Service: other\r\n'
            'Parsleystile-Expected-Instance: i-9\r\n'
        )
        answer = await fleet.machines[0].call(extra=extra)
        assert answer.status == 200
        (headers,) = fleet.machines[1].target.seen
        assert headers['parsleystile-tenant-id'] == 'households'
        assert headers['parsleystile-caller-service'] == 'yard'

    platformfleet.play(body, serving=[1])


@pytest.mark.parametrize(
    ('fields', 'status'),
    [
        ({'key': 'wrong'}, 401),
        ({'key': ''}, 401),
        ({'path': '/nowhere/x'}, 404),
        ({'call_id': ''}, 400),
    ],
    ids=['wrong-key', 'no-key', 'no-route', 'no-id'],
)
def test_what_is_not_allowed_does_not_run(fields, status):
    async def body(fleet):
        # The caller sits on the target's machine, which needs no key; a
        # caller elsewhere does.
        fleet.machines[0].node.set_local_hosts(frozenset())
        answer = await fleet.machines[0].call(**fields)
        assert answer.status == status
        assert fleet.ran() == []

    platformfleet.play(body)


@pytest.mark.parametrize(
    ('fields', 'importance'), [({'priority': 0}, 0), ({}, 1)]
)
def test_the_priority_of_an_organisation_goes_before_the_routes(
    fields, importance
):
    tenant = {
        'name': 'households',
        'api_keys': [platformfleet.KEY],
        'rate_per_s': 1000,
        'burst': 1000,
        **fields,
    }

    async def body(fleet):
        machine = fleet.machines[0]
        guard = machine.node.guard
        seen = []
        submit = guard.submit

        def watch(call, on_answer):
            seen.append(call.importance)
            return submit(call, on_answer)

        guard.submit = watch
        answer = await machine.call()
        assert answer.status == 200
        assert seen == [importance]

    platformfleet.play(body, count=1, tenants=[tenant])


def test_a_peer_that_speaks_no_protocol_of_ours_is_recorded():
    async def body(fleet):
        machine = fleet.machines[0]
        written = []
        machine.node.recorder.log.append = written.append
        me = machine.node.member_list.me
        _, writer = await asyncio.open_connection(me.host, me.port)
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        await asyncutil.wait_until(lambda: written)
        writer.close()
        assert isinstance(written[0], logevents.InputRejected)
        assert 'frame of' in written[0].why

    platformfleet.play(body, count=1)


def test_a_refused_key_is_recorded_with_the_version_that_refused_it():
    async def body(fleet):
        machine = fleet.machines[0]
        written = []
        machine.node.recorder.log.append = written.append
        await machine.call(key='not-a-key')
        refused = [w for w in written if isinstance(w, logevents.CallRefused)]
        assert [w.policy_version for w in refused] == [1]

    platformfleet.play(body, count=1)


def test_an_open_route_needs_no_key():
    async def body(fleet):
        fleet.machines[0].node.set_local_hosts(frozenset())
        answer = await fleet.machines[0].call('/lookup/x', key='')
        assert answer.status == 200

    platformfleet.play(body)


def test_a_node_without_configuration_is_not_ready_and_denies_nothing():
    async def body(fleet):
        fleet.store.refuses = 503
        machine = platformfleet.Machine(fleet, 'n9', 'a')
        await machine.start()
        answer = await machine.call(key='wrong')
        assert answer.status == 503
        assert 'Retry-After' in answer.headers
        assert not machine.node.is_ready
        await machine.kill_node()
        machine.target.close()

    platformfleet.play(body, count=1)


def test_a_withdrawn_key_stops_at_once_on_open_connections():
    async def body(fleet):
        first = fleet.machines[0]
        assert (await first.call()).status == 200
        fleet.put_document(
            platformfleet.document(version=2, tenants=[])
            | {'tenants': [{'name': 'households', 'api_keys': ['new']}]}
        )
        await asyncutil.wait_until(
            lambda: first.node.state_sync.policy.version == 2
        )
        assert (await first.call(call_id='c2')).status == 401

    platformfleet.play(body)


def test_a_document_that_does_not_hold_changes_nothing():
    async def body(fleet):
        first = fleet.machines[0]
        for bad in (
            b'{"version":',
            b'{"version":"00000002","virtual_hosts":[{"hostname":""'
            b',"paths":[]}]}',
            json.dumps(
                platformfleet.document(
                    version=3,
                    virtual_hosts=[
                        {
                            'hostname': 'h',
                            'paths': [
                                platformfleet.route(
                                    'r', '/a/', 'safe', service='nobody'
                                )
                            ],
                        }
                    ],
                )
            ).encode(),
        ):
            fleet.store.put('op', 'config', bad)
        fleet.put_document(platformfleet.document(version=7))
        await asyncutil.wait_until(
            lambda: first.node.state_sync.policy.version == 7
        )
        fleet.put_document(platformfleet.document(version=6))
        fleet.put_document(platformfleet.document(version=8))
        await asyncutil.wait_until(
            lambda: first.node.state_sync.policy.version == 8
        )

    platformfleet.play(body)


def test_an_organisation_beyond_its_rate_gets_429_and_a_time():
    async def body(fleet):
        first = fleet.machines[0]
        answers = await asyncio.gather(
            *(first.call(call_id=f'c{i}') for i in range(40))
        )
        over = [a for a in answers if a.status == 429]
        assert len(over) >= 25
        assert all('Retry-After' in a.headers for a in over)
        assert len(fleet.ran()) == 40 - len(over)

    platformfleet.play(
        body,
        tenants=[
            {
                'name': 'households',
                'api_keys': [platformfleet.KEY],
                'rate_per_s': 5,
                'burst': 10,
            }
        ],
    )


def test_a_target_that_takes_its_leave_gets_nothing_from_then_on():
    async def body(fleet):
        first, second = fleet.machines
        effect = second.report(targetreports.TargetState.DRAINING)
        assert effect is targetreports.Effect.LEAVING
        answers = [await first.call(call_id=f'c{i}') for i in range(20)]
        assert {a.status for a in answers} == {200}
        assert second.target.seen == []

    platformfleet.play(body)


def test_the_line_on_a_leaving_target_comes_before_what_it_refuses():
    async def body(fleet):
        machine = fleet.machines[0]
        machine.target.work_ms = 100.0
        machine.report(slots=1)
        calls = [
            asyncio.ensure_future(machine.call(call_id=f'c{i}'))
            for i in range(3)
        ]
        await asyncutil.wait_until(lambda: machine.node.guard.in_flight == 3)
        kinds = []
        machine.node.recorder.log.append = lambda line: kinds.append(
            type(line)
        )
        machine.report(targetreports.TargetState.DRAINING)
        assert kinds[:2] == [logevents.TargetChanged, logevents.GuardRefused]
        await asyncio.gather(*calls)

    platformfleet.play(body, count=1)


def test_a_late_report_after_a_restart_of_the_node_does_not_revive():
    async def body(fleet):
        _, second = fleet.machines
        second.report(targetreports.TargetState.GONE)
        await asyncutil.wait_until(
            lambda: (
                b'i-n1' in (fleet.store.value('nodes', 'n1') or b'')
                and second.client.is_written
            )
        )
        await second.kill_node()
        await second.start_node()
        await asyncutil.wait_until(lambda: second.client.is_reached)
        await asyncio.sleep(0.05)
        assert second.report() is targetreports.Effect.STALE

    platformfleet.play(body)


def test_a_target_that_was_replaced_at_its_address_is_not_run():
    async def body(fleet):
        first, second = fleet.machines
        second.target.target_id = 'i-other'
        answers = [await first.call(call_id=f'c{i}') for i in range(10)]
        assert {a.status for a in answers} == {200}
        assert second.target.seen == []

    platformfleet.play(body)


def test_a_dead_node_costs_its_callers_nothing_they_can_repeat():
    async def body(fleet):
        first, second, third = fleet.machines
        await third.kill_node()
        answers = [await first.call(call_id=f'c{i}') for i in range(30)]
        assert [a.status for a in answers] == [200] * 30
        # So that the fleet's close finds it alive.
        await third.start_node()
        await fleet.settled()
        assert second.node.member_list.node_ids == ['n0', 'n1', 'n2']

    platformfleet.play(body, count=3)


def test_an_idempotent_call_whose_answer_is_lost_is_repeated_once():
    async def body(fleet):
        def lose(request):
            request._connection.abort()

        fleet.machines[1].target.answer = lose
        answers = [
            await fleet.machines[0].call(call_id=f'c{i}') for i in range(4)
        ]
        assert {a.status for a in answers} == {200}
        for call_id in set(fleet.ran()):
            assert fleet.ran().count(call_id) <= 2

    platformfleet.play(body)


def test_a_call_that_is_not_idempotent_runs_once_and_ends_at_once():
    async def body(fleet):
        def lose(request):
            request._connection.abort()

        for machine in fleet.machines:
            machine.target.answer = lose
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await fleet.machines[0].call('/reserve/x', method='POST')
        assert answer.status == 502
        assert fleet.ran() == ['c1']
        assert loop.time() - started < 1.9

    platformfleet.play(body)


def test_a_targets_word_that_it_did_not_run_is_believed():
    async def body(fleet):
        def shed(request):
            headers = ['Parsleystile-Not-Executed', '1']
            names = request.headers[::2]
            call_id = request.headers[
                2 * names.index('Parsleystile-Attempt-Id') + 1
            ]
            request.answer(
                503, [*headers, 'Parsleystile-Attempt-Id', call_id], b''
            )

        fleet.machines[0].target.answer = shed
        answer = await fleet.machines[0].call('/reserve/x', method='POST')
        assert answer.status == 200
        for machine in fleet.machines:
            machine.target.answer = shed
        answer = await fleet.machines[0].call(
            '/reserve/x', call_id='c2', method='POST'
        )
        assert answer.status == 503
        assert 'Parsleystile-Not-Executed' not in answer.headers

    platformfleet.play(body)


def test_a_failure_of_the_target_itself_goes_back_as_it_is():
    async def body(fleet):
        def fail(request):
            names = request.headers[::2]
            call_id = request.headers[
                2 * names.index('Parsleystile-Attempt-Id') + 1
            ]
            request.answer(
                500,
                [
                    'Parsleystile-Attempt-Id',
                    call_id,
                    'Parsleystile-Server-Signature',
                    's',
                ],
                b'broken',
            )

        fleet.machines[1].target.answer = fail
        answer = await fleet.machines[0].call('/reserve/x', method='POST')
        assert answer.status == 500
        assert answer.body == b'broken'
        assert 'Parsleystile-Server-Signature' in answer.headers

    platformfleet.play(body, serving=[1])


def test_no_answer_by_the_routes_timeout_ends_the_call():
    async def body(fleet):
        fleet.machines[1].target.work_ms = 5_000.0
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await fleet.machines[0].call(wait_ms=100)
        assert answer.status == 504
        assert loop.time() - started < 2.0
        await asyncutil.wait_until(
            lambda: fleet.machines[1].target.connections == 0
        )

    platformfleet.play(body, serving=[1])


def test_a_target_that_never_answers_holds_no_slot_for_ever():
    async def body(fleet):
        first, second = fleet.machines
        second.target.work_ms = 60_000.0
        box = asyncutil.CallbackResult()
        call = second.node.guard.submit(
            ttypes.Call(
                call_id=1,
                root_id='c1',
                organisation='',
                importance=0,
                deadline_ms=50,
                depth=1,
                retry_allowance=0,
                idempotent=True,
                draw=0.5,
                caller_service='yard',
                callee_service='yard',
                route='browse',
                method='GET',
                path='/stock/x',
                headers=['Host', 'h', 'Parsleystile-Attempt-Id', 'c1'],
                body=b'',
                idempotency_key='',
            ),
            box.put,
        )
        assert call is not None
        answer = await box.get()
        assert answer.outcome == errors.Outcome.UNKNOWN
        assert second.node.guard.in_flight == 0
        assert first.node.state_sync.policy is not None

    platformfleet.play(body, serving=[1])


def test_a_caller_that_leaves_ends_the_work_below():
    async def body(fleet):
        first, second = fleet.machines
        second.target.work_ms = 10_000.0
        box = asyncutil.CallbackResult()
        pending = first.outside.send(
            httpclient.OutboundRequest(
                f'GET /stock/x HTTP/1.1\r\nHost: {platformfleet.HOST}\r\n'
                'Parsleystile-Attempt-Id: c1\r\n'
                f'Authorization: Bearer {platformfleet.KEY}\r\n\r\n'.encode(),
                'c1',
            ),
            box.put,
        )
        await asyncutil.wait_until(lambda: second.target.seen)
        pending.cancel()
        await asyncutil.wait_until(lambda: second.target.connections == 0)
        assert second.node.guard.in_flight == 0

    platformfleet.play(body, serving=[1])
