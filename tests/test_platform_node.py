"""Calls through nodes on a simulated platform."""

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


def test_a_call_is_forwarded_to_the_target_of_another_node():
    async def body(fleet):
        answer = await fleet.machines[0].call()
        assert answer.status == 200
        assert answer.body == b'done'
        (headers,) = fleet.machines[1].target.executed_headers
        assert headers['parsleystile-expected-instance'] == 'i-n1'
        assert headers['parsleystile-tenant-id'] == 'households'
        assert headers['parsleystile-caller-service'] == 'yard'
        assert 'authorization' not in headers
        assert int(headers['parsleystile-request-deadline']) <= 2000

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_head_request_does_not_wait_for_a_body():
    async def body(fleet):
        first, second = fleet.machines
        second.target.custom_answer = lambda request: request.answer(
            200, ['Parsleystile-Attempt-Id', 'c1', 'X-Size', '5'], b'hello'
        )
        answer = await first.call(method='HEAD', wait_ms=60_000)
        assert (answer.status, answer.body) == (200, b'')
        assert 'X-Size' in answer.headers

    platformfleet.run_with_fleet(body, count=2, serving=[1])


def test_a_body_is_forwarded_unchanged():
    async def body(fleet):
        data = bytes(range(256)) * 100
        answer = await fleet.machines[0].call(
            '/reserve/x', method='POST', body=data
        )
        assert answer.body == b'done' + data

    platformfleet.run_with_fleet(body, serving=[1])


@pytest.mark.parametrize('path', ['/stock//x', '/stock/a%2Fb/../x?y=//'])
def test_a_path_in_an_odd_form_is_forwarded_unchanged(path):
    async def body(fleet):
        paths = []

        def answer(request):
            paths.append(request.path)
            request.answer(200, ['Parsleystile-Attempt-Id', 'c1'], b'done')

        fleet.machines[1].target.custom_answer = answer
        assert (await fleet.machines[0].call(path)).status == 200
        assert paths == [path]

    platformfleet.run_with_fleet(body, serving=[1])


def test_forged_platform_headers_are_not_forwarded():
    async def body(fleet):
        extra = (
            'Parsleystile-Tenant-Id: somebody\r\n'
            'Parsleystile-Caller-Service: other\r\n'
            'Parsleystile-Expected-Instance: i-9\r\n'
        )
        answer = await fleet.machines[0].call(extra=extra)
        assert answer.status == 200
        (headers,) = fleet.machines[1].target.executed_headers
        assert headers['parsleystile-tenant-id'] == 'households'
        assert headers['parsleystile-caller-service'] == 'yard'

    platformfleet.run_with_fleet(body, serving=[1])


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
def test_unauthorised_or_invalid_requests_do_not_run(fields, status):
    async def body(fleet):
        # The test runs on the target's machine, whose callers need no key.
        fleet.machines[0].node.set_local_hosts(frozenset())
        answer = await fleet.machines[0].call(**fields)
        assert answer.status == status
        assert fleet.executed_ids() == []

    platformfleet.run_with_fleet(body)


@pytest.mark.parametrize(
    ('fields', 'importance'), [({'priority': 0}, 0), ({}, 1)]
)
def test_the_priority_of_an_organisation_overrides_the_routes(
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

        def record_importance(call, on_answer):
            seen.append(call.importance)
            return submit(call, on_answer)

        guard.submit = record_importance
        answer = await machine.call()
        assert answer.status == 200
        assert seen == [importance]

    platformfleet.run_with_fleet(body, count=1, tenants=[tenant])


def test_a_peer_with_another_protocol_is_logged():
    async def body(fleet):
        machine = fleet.machines[0]
        written = []
        machine.node.recorder.log.append = written.append
        me = machine.node.member_list.own_row
        _, writer = await asyncio.open_connection(me.host, me.port)
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        await asyncutil.wait_until(lambda: written)
        writer.close()
        assert isinstance(written[0], logevents.InputRejected)
        assert 'frame of' in written[0].why

    platformfleet.run_with_fleet(body, count=1)


def test_a_rejected_key_is_logged_with_the_policy_version():
    async def body(fleet):
        machine = fleet.machines[0]
        written = []
        machine.node.recorder.log.append = written.append
        await machine.call(key='not-a-key')
        refused = [w for w in written if isinstance(w, logevents.CallRefused)]
        assert [w.policy_version for w in refused] == [1]

    platformfleet.run_with_fleet(body, count=1)


def test_an_open_route_needs_no_key():
    async def body(fleet):
        fleet.machines[0].node.set_local_hosts(frozenset())
        answer = await fleet.machines[0].call('/lookup/x', key='')
        assert answer.status == 200

    platformfleet.run_with_fleet(body)


def test_a_node_without_configuration_is_not_ready_and_answers_503():
    async def body(fleet):
        fleet.store.refusal_status = 503
        machine = platformfleet.Machine(fleet, 'n9', 'a')
        await machine.start()
        answer = await machine.call(key='wrong')
        assert answer.status == 503
        assert 'Retry-After' in answer.headers
        assert not machine.node.is_ready
        await machine.kill_node()
        machine.target.close()

    platformfleet.run_with_fleet(body, count=1)


def test_a_withdrawn_key_is_rejected_on_open_connections():
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

    platformfleet.run_with_fleet(body)


def test_an_invalid_document_changes_nothing():
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

    platformfleet.run_with_fleet(body)


def test_an_organisation_over_its_rate_gets_429_with_retry_after():
    async def body(fleet):
        first = fleet.machines[0]
        answers = await asyncio.gather(
            *(first.call(call_id=f'c{i}') for i in range(40))
        )
        over = [a for a in answers if a.status == 429]
        assert len(over) >= 25
        assert all('Retry-After' in a.headers for a in over)
        assert len(fleet.executed_ids()) == 40 - len(over)

    platformfleet.run_with_fleet(
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


def test_nodes_that_know_only_themselves_do_not_each_use_the_whole_rate():
    # 730 calls ran in 5 s where 152 were allowed.
    async def whole():
        fleet = platformfleet.Fleet()
        fleet.store.refused_tables.add('nodes')
        fleet.address = await fleet.store.start()
        fleet.put_document(platformfleet.document())
        try:
            for name in ('n0', 'n1'):
                machine = platformfleet.Machine(fleet, name, 'a')
                fleet.machines.append(machine)
                await machine.start()
                machine.report()
                await asyncutil.wait_until(lambda m=machine: m.node.is_ready)
            answers = [
                await m.call(call_id=f'{m.name}-{i}')
                for m in fleet.machines
                for i in range(10)
            ]
            assert {answer.status for answer in answers} == {503}
            assert fleet.executed_ids() == []
            open_route = await fleet.machines[0].call('/lookup/x', key='')
            assert open_route.status == 200
            fleet.store.refused_tables.clear()
            await fleet.wait_settled()
            await asyncio.sleep(0.3)
            found = await fleet.machines[0].call(call_id='later')
            assert found.status == 200
        finally:
            await fleet.close()

    asyncutil.run(whole())


def test_a_leaving_target_gets_no_more_calls():
    async def body(fleet):
        first, second = fleet.machines
        effect = second.report(targetreports.TargetState.DRAINING)
        assert effect is targetreports.Effect.LEAVING
        answers = [await first.call(call_id=f'c{i}') for i in range(20)]
        assert {a.status for a in answers} == {200}
        assert second.target.executed_headers == []

    platformfleet.run_with_fleet(body)


def test_a_leaving_target_is_logged_before_the_refusals_it_causes():
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

    platformfleet.run_with_fleet(body, count=1)


def test_a_late_report_is_stale_after_a_restart_of_the_node():
    async def body(fleet):
        _, second = fleet.machines
        second.report(targetreports.TargetState.GONE)
        await asyncutil.wait_until(
            lambda: (
                b'i-n1' in (fleet.store.value('nodes', 'n1') or b'')
                and second.store_client.is_row_written
            )
        )
        await second.kill_node()
        await second.start_node()
        await asyncutil.wait_until(lambda: second.store_client.is_reachable)
        await asyncio.sleep(0.05)
        assert second.report() is targetreports.Effect.STALE

    platformfleet.run_with_fleet(body)


def test_a_replaced_target_runs_no_calls_of_the_previous_one():
    async def body(fleet):
        first, second = fleet.machines
        second.target.target_id = 'i-other'
        answers = [await first.call(call_id=f'c{i}') for i in range(10)]
        assert {a.status for a in answers} == {200}
        assert second.target.executed_headers == []

    platformfleet.run_with_fleet(body)


def test_calls_survive_the_crash_of_a_node():
    async def body(fleet):
        first, second, third = fleet.machines
        await third.kill_node()
        answers = [await first.call(call_id=f'c{i}') for i in range(30)]
        assert [a.status for a in answers] == [200] * 30
        # The fleet expects to close a running node.
        await third.start_node()
        await fleet.wait_settled()
        assert second.node.member_list.node_ids == ['n0', 'n1', 'n2']

    platformfleet.run_with_fleet(body, count=3)


def test_an_idempotent_call_is_retried_once_after_a_lost_answer():
    async def body(fleet):
        def drop_connection(request):
            request._connection.abort()

        fleet.machines[1].target.custom_answer = drop_connection
        answers = [
            await fleet.machines[0].call(call_id=f'c{i}') for i in range(4)
        ]
        assert {a.status for a in answers} == {200}
        for call_id in set(fleet.executed_ids()):
            assert fleet.executed_ids().count(call_id) <= 2

    platformfleet.run_with_fleet(body)


def test_a_non_idempotent_call_runs_once_and_fails_fast():
    async def body(fleet):
        def drop_connection(request):
            request._connection.abort()

        for machine in fleet.machines:
            machine.target.custom_answer = drop_connection
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await fleet.machines[0].call('/reserve/x', method='POST')
        assert answer.status == 502
        assert fleet.executed_ids() == ['c1']
        assert loop.time() - started < 1.9

    platformfleet.run_with_fleet(body)


def test_not_executed_from_a_target_allows_a_reroute():
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

        fleet.machines[0].target.custom_answer = shed
        answer = await fleet.machines[0].call('/reserve/x', method='POST')
        assert answer.status == 200
        for machine in fleet.machines:
            machine.target.custom_answer = shed
        answer = await fleet.machines[0].call(
            '/reserve/x', call_id='c2', method='POST'
        )
        assert answer.status == 503
        assert 'Parsleystile-Not-Executed' not in answer.headers

    platformfleet.run_with_fleet(body)


def test_an_error_of_the_target_is_returned_unchanged():
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

        fleet.machines[1].target.custom_answer = fail
        answer = await fleet.machines[0].call('/reserve/x', method='POST')
        assert answer.status == 500
        assert answer.body == b'broken'
        assert 'Parsleystile-Server-Signature' in answer.headers

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_call_ends_at_its_deadline():
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

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_call_without_an_answer_frees_its_slot():
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

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_disconnect_cancels_the_call_at_the_target():
    async def body(fleet):
        first, second = fleet.machines
        second.target.work_ms = 10_000.0
        box = asyncutil.CallbackResult()
        pending = first.caller.send(
            httpclient.OutboundRequest(
                f'GET /stock/x HTTP/1.1\r\nHost: {platformfleet.HOST}\r\n'
                'Parsleystile-Attempt-Id: c1\r\n'
                f'Authorization: Bearer {platformfleet.KEY}\r\n\r\n'.encode(),
                'c1',
            ),
            box.put,
        )
        await asyncutil.wait_until(lambda: second.target.executed_headers)
        pending.cancel()
        await asyncutil.wait_until(lambda: second.target.connections == 0)
        assert second.node.guard.in_flight == 0

    platformfleet.run_with_fleet(body, serving=[1])
