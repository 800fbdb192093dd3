import asyncio
import json

from tornado import httpclient

from parsleystile import burn
from parsleystile import explain
from parsleystile import fleetconfig
from parsleystile import health
from parsleystile import keys
from parsleystile import metrics
from parsleystile import operators
from stubs import controlfleet
from stubs import tablestate

OPERATOR_KEY = 'operator-key-of-olli'
CREATE = {
    'kind': 'create-organisation',
    'organisation': 'lavapuu',
    'limits': {'rate_per_s': 5, 'burst': 10},
}


class _Client:
    def __init__(self, fleet, port, drains):
        self.fleet = fleet
        self.drains = drains
        self._port = port
        self._http = httpclient.AsyncHTTPClient(force_instance=True)

    async def ask(self, path, document=None, key=OPERATOR_KEY):
        body = None if document is None else json.dumps(document)
        answer = await self._http.fetch(
            f'http://127.0.0.1:{self._port}{path}',
            method='GET' if document is None else 'POST',
            body=body,
            headers={'X-Operator-Key': key} if key else {},
            raise_error=False,
        )
        return answer.code, json.loads(answer.body)

    async def change(self, change, change_id='c1', operator='olli'):
        document = {
            'change_id': change_id,
            'operator': operator,
            'change': change,
        }
        return await self.ask('/v1/changes', document)


def _sources(node, drains):
    return operators.Sources(
        plane=node.plane,
        membership=node.machine,
        key_ring=node.key_ring,
        metrics=metrics.memory_metrics(),
        calls_in_flight=lambda: 3,
        health=lambda: health.assess(
            config_version=node.config.version,
            is_draining=False,
            has_target=True,
            cut_off_since_ms=None,
            calls_in_flight=3,
            now_ms=0.0,
        ),
        phase=lambda: 'serving',
        explain=lambda root: explain.call_log('a-0').explain(root, 0.0),
        burn=lambda: burn.burn_recorder('a-0', 'a', 0.0).snapshot(0.0),
        drain=lambda: drains.append('drain'),
    )


def _run(body):
    async def main():
        fleet = await controlfleet.fleet({'a': 2, 'b': 1}, 1)
        drains = []
        node = fleet.nodes['a-0']
        node.key_ring.set_bootstrap('olli', keys.fingerprint(OPERATOR_KEY))
        listener = operators.operator_listener(_sources(node, drains))
        address = listener.listen('127.0.0.1', 0)
        try:
            await body(_Client(fleet, address.port, drains))
        finally:
            await listener.close()
            fleet.close()

    asyncio.run(main())


def test_every_resource_but_health_needs_an_operator_key():
    async def body(client):
        code, answer = await client.ask('/v1/health', key='')
        assert (code, answer['state']) == (503, 'starting')
        for path in (
            '/v1/status',
            '/v1/members',
            '/v1/config',
            '/v1/config/history',
            '/v1/changes/1/in-force',
            '/v1/explain/r1',
            '/v1/burn',
        ):
            assert (await client.ask(path, key=''))[0] == 401
            assert (await client.ask(path, key='wrong'))[0] == 401
            assert (await client.ask(path))[0] == 200
        for path in ('/v1/changes', '/v1/drain'):
            assert (await client.ask(path, {}, key='wrong'))[0] == 401
        assert client.drains == []
        assert (await client.ask('/v2/else'))[0] == 404

    _run(body)


def test_a_change_is_accepted_recorded_and_in_force():
    async def body(client):
        code, answer = await client.change(CREATE)
        assert (code, answer['outcome'], answer['version']) == (
            200,
            'accepted',
            1,
        )
        await client.fleet.run(3000)
        assert (await client.ask('/v1/health', key=''))[0] == 200
        _, in_force = await client.ask('/v1/changes/1/in-force')
        assert in_force == {
            'a': {'in_force': 2, 'total': 2, 'waiting': []},
            'b': {'in_force': 1, 'total': 1, 'waiting': []},
        }
        _, history = await client.ask('/v1/config/history')
        [record] = history['records']
        assert history['is_complete']
        assert record['operator'] == 'olli'
        assert record['change'] == {
            **CREATE,
            'limits': {'rate_per_s': 5.0, 'burst': 10, 'weight': 1.0},
        }
        _, config = await client.ask('/v1/config')
        assert config['document']['organisations'].keys() == {'lavapuu'}
        client.fleet.table.faults.outage = tablestate.Outage.REFUSE
        _, history = await client.ask('/v1/config/history')
        assert not history['is_complete']

    _run(body)


def test_refusals_name_path_and_value():
    async def body(client):
        _, answer = await client.change({'kind': 'switch-preset', 'name': 'x'})
        assert answer['outcome'] == 'refused'
        assert (answer['path'], answer['reason']) == (
            'presets.x',
            "there is no 'x'",
        )
        _, answer = await client.change({**CREATE, 'extra': 1})
        assert answer['outcome'] == 'refused'
        assert answer['path'] == 'change'
        _, answer = await client.change(CREATE, operator='eva')
        assert (answer['outcome'], answer['path']) == ('refused', 'operator')
        assert client.fleet.nodes['a-0'].config.version == 0

    _run(body)


def test_an_issued_key_works_and_its_secret_is_not_stored():
    async def body(client):
        await client.change(CREATE)
        key = keys.new_key()
        issue = {
            'kind': 'issue-key',
            'organisation': 'lavapuu',
            'digest': keys.fingerprint(key),
        }
        _, answer = await client.change(issue, 'c2')
        assert answer['key_id'] == 'k1'
        await client.fleet.run(3000)
        for node in client.fleet.nodes.values():
            assert node.key_ring.authenticate(key) == 'lavapuu'
        for row in client.fleet.table.scan(''):
            assert key.encode() not in row.value
            assert keys.fingerprint(key).encode() not in row.value

    _run(body)


def test_status_members_and_drain():
    async def body(client):
        _, status = await client.ask('/v1/status')
        assert status['members'] == 3
        assert status['active_preset'] == 'ordinary'
        assert status['calls_in_flight'] == 3
        _, answer = await client.ask('/v1/members')
        assert [m['node_id'] for m in answer] == ['a-0', 'a-1', 'b-0']
        assert {m['state'] for m in answer} == {'alive'}
        await client.ask('/v1/drain', {})
        assert client.drains == ['drain']

    _run(body)


def test_a_body_that_is_not_a_change_is_refused():
    async def body(client):
        for document in ([], {}, {'change_id': 'x'}, 'x'):
            _, answer = await client.ask('/v1/changes', document)
            assert answer['outcome'] == 'refused'
        assert client.fleet.nodes['a-0'].config == fleetconfig.FleetConfig()

    _run(body)
