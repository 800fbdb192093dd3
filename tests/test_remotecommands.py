import asyncio
import json
import socket
import threading

import msgspec
import pytest
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from parsleystile import burn
from parsleystile import cli
from parsleystile import errors
from parsleystile import exitcodes
from parsleystile import explain
from parsleystile import fleetconfig
from parsleystile import keys

_KEY = 'operators-own-key'
_CODE = exitcodes.ExitCode
_DOCUMENT = fleetconfig.FleetConfig(
    version=7,
    organisations={
        'homes': fleetconfig.Organisation(rate_per_s=5, burst=10),
        'schools': fleetconfig.Organisation(rate_per_s=2.5, burst=4),
    },
    keys={'k1': fleetconfig.Key(organisation='homes', digest='0' * 64)},
    next_key=3,
    routes={'stock': fleetconfig.Route(path_prefix='/stock', service='stock')},
    domains_out=('savo-3',),
)


class ScriptedListener:
    """An operator listener with scripted answers."""

    def __init__(self):
        self.changes = []
        # Outcomes of the next changes; None closes the connection instead.
        self.outcomes = ['accepted']
        self.waiting = []
        # Digest of the operator's new key, once it is submitted.
        self.new_digest = ''
        self.document = _DOCUMENT
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        self._ready.wait()

    def _run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        (sock,) = netutil.bind_sockets(0, '127.0.0.1')
        self.address = f'127.0.0.1:{sock.getsockname()[1]}'
        server = httpserver.HTTPServer(self._handle)
        server.add_socket(sock)
        self._ready.set()
        await self._stop.wait()
        server.stop()

    def close(self):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    def _handle(self, request):
        status, answer = 200, None
        if not self._is_operator(request):
            status, answer = 401, {'detail': 'no operator has this key'}
        elif request.path == '/v1/changes':
            self.changes.append(json.loads(request.body))
            outcome = self.outcomes.pop(0)
            change = self.changes[-1]['change']
            if change['kind'] == 'put-operator':
                self.new_digest = change['digest']
            if outcome is None:
                request.connection.stream.close()
                return
            answer = {'outcome': outcome, 'version': 8, 'reason': 'raced'}
            answer['path'] = 'active_preset'
        else:
            answer = self._get(request.path)
            status = 200 if answer is not None else 404
        body = msgspec.json.encode(answer)
        line = httputil.ResponseStartLine('HTTP/1.1', status, 'Told')
        headers = httputil.HTTPHeaders({'Content-Length': str(len(body))})
        request.connection.write_headers(line, headers, body)
        request.connection.finish()

    def _is_operator(self, request):
        key = request.headers.get('X-Operator-Key', '')
        if self.new_digest:
            return keys.fingerprint(key) == self.new_digest
        return key == _KEY

    def _get(self, path):
        match path:
            case '/v1/config':
                return {'version': 7, 'document': self.document}
            case '/v1/changes/8/in-force':
                done = 2 - len(self.waiting)
                return {
                    'savo-1': {
                        'in_force': done,
                        'total': 2,
                        'waiting': self.waiting,
                    }
                }
            case '/v1/config/history':
                return {
                    'records': [
                        {
                            'version': 7,
                            'change_id': 'c1',
                            'operator': 'aino',
                            'at_wall_ms': 1_790_000_000_000,
                            'change': {
                                'kind': 'issue-key',
                                'organisation': 'homes',
                                'digest': '0' * 64,
                            },
                            'document_digest': '',
                        }
                    ],
                    'is_complete': True,
                }
            case '/v1/status':
                return {'state': 'ready', 'in_flight': 3}
            case '/v1/explain/r1':
                log = explain.call_log('n1')
                refused = explain.Refused(
                    explain.Stage.SHED,
                    errors.Outcome.NOT_RUN,
                    errors.Reason.SHED,
                )
                log.record('r1', refused, 1.0)
                return log.explain('r1', 3.0)
            case '/v1/burn':
                recorder = burn.burn_recorder('n1', 'savo-1', 0.0)
                return recorder.snapshot(1.0)
        return None


@pytest.fixture
def fleet(monkeypatch):
    started = ScriptedListener()
    monkeypatch.setenv('PARSLEYSTILE_NODES', started.address)
    monkeypatch.setenv('PARSLEYSTILE_OPERATOR_KEY', _KEY)
    monkeypatch.setenv('PARSLEYSTILE_OPERATOR', 'aino')
    yield started
    started.close()


def test_an_accepted_change_waits_until_it_is_in_force(fleet, capsys):
    assert cli.main(['domain', 'out', 'savo-1']) == _CODE.ACCEPTED
    (sent,) = fleet.changes
    assert sent['operator'] == 'aino'
    assert sent['change'] == {'kind': 'take-domain-out', 'domain': 'savo-1'}
    out, err = capsys.readouterr()
    assert 'savo-1' in out
    assert 'accepted as version 8' in err
    assert 'savo-1 2/2' in err


def test_a_change_not_in_force_everywhere_lists_the_missing_nodes(
    fleet, capsys
):
    fleet.waiting = ['stock-2']
    code = cli.main(['preset', 'switch', 'peak', '--wait-ms=1'])
    assert code == _CODE.NOT_YET_IN_FORCE
    assert 'stock-2' in capsys.readouterr().out


def test_a_refused_change_names_path_and_reason(fleet, capsys):
    fleet.outcomes = ['refused']
    assert cli.main(['preset', 'switch', 'peak']) == _CODE.REFUSED
    err = capsys.readouterr().err
    assert err == 'parsleystile: refused: active_preset: raced\n'


def test_a_lost_answer_is_retried_with_the_same_change_id(
    fleet, capsys, monkeypatch
):
    monkeypatch.setattr('parsleystile.remotecommands.RETRY_DELAY_MS', 1)
    fleet.outcomes = [None, 'unknown', 'accepted']
    assert cli.main(['domain', 'in', 'savo-3']) == _CODE.ACCEPTED
    change_ids = {sent['change_id'] for sent in fleet.changes}
    assert (len(fleet.changes), len(change_ids)) == (3, 1)


def test_an_outcome_that_stays_unknown_has_its_own_exit_code(
    fleet, capsys, monkeypatch
):
    monkeypatch.setattr('parsleystile.remotecommands.RETRY_DELAY_MS', 1)
    fleet.outcomes = [None] * 9
    assert cli.main(['domain', 'in', 'savo-3']) == _CODE.UNKNOWN
    change_id = fleet.changes[0]['change_id']
    assert f'--change-id={change_id}' in capsys.readouterr().err
    again = ['domain', 'in', 'savo-3', f'--change-id={change_id}']
    fleet.outcomes = ['accepted']
    assert cli.main(again) == _CODE.ACCEPTED
    assert fleet.changes[-1]['change_id'] == change_id


def test_a_key_is_shown_and_only_its_digest_is_sent(fleet, capsys):
    assert cli.main(['key', 'issue', 'homes']) == _CODE.ACCEPTED
    key = capsys.readouterr().out.splitlines()[-1]
    assert key not in json.dumps(fleet.changes)
    assert len(fleet.changes[0]['change']['digest']) == 64


def test_json_output_of_a_new_key_is_one_document(fleet, capsys):
    assert cli.main(['key', 'issue', 'homes', '--json']) == _CODE.ACCEPTED
    document = json.loads(capsys.readouterr().out)
    assert len(document['key']) > 40
    assert document['domains']


def test_a_key_of_unknown_outcome_is_shown_too(fleet, capsys, monkeypatch):
    monkeypatch.setattr('parsleystile.remotecommands.RETRY_DELAY_MS', 1)
    fleet.outcomes = [None] * 9
    assert cli.main(['key', 'issue', 'homes']) == _CODE.UNKNOWN
    assert len(capsys.readouterr().out.strip()) > 40


def test_a_route_is_changed_in_one_property(fleet):
    assert cli.main(['route', 'idempotency', 'stock', 'yes']) == 0
    assert fleet.changes[0]['based_on'] == 7
    route = fleet.changes[0]['change']['route']
    assert route['is_idempotent'] is True
    assert route['path_prefix'] == '/stock'


def test_an_unknown_route_is_reported_with_the_known_routes(fleet, capsys):
    assert cli.main(['route', 'open', 'stok']) == _CODE.REFUSED
    assert 'known: stock' in capsys.readouterr().err


def test_applying_a_file_keeps_the_keys(fleet, tmp_path):
    path = tmp_path / 'fleet.toml'
    path.write_text('[organisations.homes]\nrate_per_s = 9\nburst = 1\n')
    assert cli.main(['config', 'apply', str(path)]) == _CODE.ACCEPTED
    document = fleet.changes[0]['change']['document']
    assert document['organisations']['homes']['rate_per_s'] == 9
    assert list(document['keys']) == ['k1']
    assert fleet.changes[0]['based_on'] == 7


def test_a_bad_file_is_not_sent(fleet, tmp_path, capsys):
    path = tmp_path / 'fleet.toml'
    path.write_text('[organisations.homes]\nrate_per_s = -1\nburst = 1\n')
    assert cli.main(['config', 'apply', str(path)]) == _CODE.USAGE
    assert 'organisations.homes.rate_per_s: -1' in capsys.readouterr().err
    assert fleet.changes == []


@pytest.mark.parametrize(
    'argv',
    [
        ['organisation', 'list'],
        ['key', 'list'],
        ['route', 'list'],
        ['preset', 'list'],
        ['preset', 'show'],
        ['domain', 'list'],
        ['config', 'history'],
        ['explain', 'r1'],
    ],
    ids=' '.join,
)
def test_tables_and_json(fleet, capsys, snapshot, argv):
    assert cli.main(argv) == _CODE.ACCEPTED
    assert capsys.readouterr().out == snapshot
    assert cli.main([*argv, '--json']) == _CODE.ACCEPTED
    out = capsys.readouterr().out
    json.loads(out)
    assert '0' * 64 not in out


def test_the_document_is_shown_without_digests(fleet, capsys):
    assert cli.main(['config', 'show']) == _CODE.ACCEPTED
    document = json.loads(capsys.readouterr().out)
    assert document['keys'] == {'k1': {'organisation': 'homes'}}


def test_status_and_report(fleet, capsys):
    assert cli.main(['target', 'status']) == _CODE.ACCEPTED
    assert 'ready' in capsys.readouterr().out
    assert cli.main(['report', '--json']) == _CODE.ACCEPTED
    assert json.loads(capsys.readouterr().out)['nodes'] == 1


def test_an_unreachable_fleet_has_its_own_exit_code(fleet, capsys):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        port = unused.getsockname()[1]
        code = cli.main(
            ['domain', 'in', 'savo-3', f'--nodes=127.0.0.1:{port}']
        )
        assert code == _CODE.UNREACHABLE
        both = f'--nodes=127.0.0.1:{port},{fleet.address}'
        assert cli.main(['domain', 'in', 'savo-3', both]) == _CODE.ACCEPTED


def test_a_wrong_key_is_refused_and_never_shown(fleet, capsys, tmp_path):
    path = tmp_path / 'key'
    path.write_text('some-other-key\n')
    argv = ['domain', 'in', 'savo-3', f'--key-file={path}']
    assert cli.main(argv) == _CODE.REFUSED
    err = capsys.readouterr().err
    assert 'check the operator key' in err
    assert 'some-other-key' not in err


def test_after_replacing_its_own_key_the_command_uses_the_new_one(
    fleet, capsys
):
    assert cli.main(['operator', 'put', 'aino']) == _CODE.ACCEPTED
    assert 'savo-1 2/2' in capsys.readouterr().err


def test_a_change_whose_progress_is_rejected_is_not_yet_in_force(
    fleet, capsys
):
    # The first operator in the document invalidates the bootstrap key.
    assert cli.main(['operator', 'put', 'eero']) == _CODE.NOT_YET_IN_FORCE
    out, err = capsys.readouterr()
    assert len(out.strip()) > 40
    assert 'check the operator key' in err


def test_a_change_needs_an_operator(fleet, capsys, monkeypatch):
    monkeypatch.delenv('PARSLEYSTILE_OPERATOR')
    assert cli.main(['domain', 'in', 'savo-3']) == _CODE.USAGE
    assert '--operator' in capsys.readouterr().err
    assert fleet.changes == []
