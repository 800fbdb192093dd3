"""Operators' commands against nodes that run as processes."""

import json
import urllib.error
import urllib.request

import pytest

from parsleystile import cli
from parsleystile import exitcodes
from stubs import processes

_FLEET = """
[organisations.homes]
rate_per_s = 100
burst = 100
[routes.stock]
path_prefix = "/stock"
service = "stock"
is_idempotent = true
"""


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    with processes.Fleet(tmp_path_factory.mktemp('fleet')) as started:
        started.start_table()
        for domain in ('savo-1', 'savo-2'):
            started.start_node(
                processes.NodeSpec(f'stock-{domain}', 'stock', domain)
            )
        yield started


@pytest.fixture
def as_operator(fleet, monkeypatch):
    nodes = ','.join(
        f'127.0.0.1:{node.operator_port}' for node in fleet.nodes.values()
    )
    monkeypatch.setenv('PARSLEYSTILE_NODES', nodes)
    monkeypatch.setenv('PARSLEYSTILE_OPERATOR', processes.OPERATOR)
    monkeypatch.setenv('PARSLEYSTILE_OPERATOR_KEY', fleet.operator_key)


def _status(node, key):
    """Send a request; return its status and its problem document."""
    request = urllib.request.Request(
        f'http://127.0.0.1:{node.caller_port}/stock',
        headers={'X-Api-Key': key},
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, {}
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read())


def _run(capsys, *argv):
    code = cli.main(list(argv))
    return code, capsys.readouterr().out.strip()


def test_an_operator_runs_a_fleet(fleet, as_operator, capsys, tmp_path):
    path = tmp_path / 'fleet.toml'
    path.write_text(_FLEET)
    accepted = exitcodes.ExitCode.ACCEPTED
    assert _run(capsys, 'config', 'apply', str(path))[0] == accepted
    code, key = _run(capsys, 'key', 'issue', 'homes')
    key = key.split()[-1]
    assert code == accepted
    for node in fleet.nodes.values():
        assert _status(node, key)[0] == 200

    health = processes.get_json(
        f'http://127.0.0.1:{node.operator_port}/v1/health'
    )
    assert (health['state'], health['cut_off_ms']) == ('ready', 0)
    assert health['has_target']

    # With all targets out, the request is refused and can be explained.
    for domain in ('savo-1', 'savo-2'):
        assert _run(capsys, 'domain', 'out', domain)[0] == accepted
    node = fleet.nodes['stock-savo-1']
    status, problem = _status(node, key)
    assert status == 503
    code, output = _run(capsys, 'explain', problem['root_id'])
    assert code == accepted
    assert 'refused at' in output
    for domain in ('savo-1', 'savo-2'):
        assert _run(capsys, 'domain', 'in', domain)[0] == accepted
    assert _status(node, key)[0] == 200

    # Once the withdrawal is in force everywhere, no node accepts the key.
    assert _run(capsys, 'key', 'withdraw', 'k1')[0] == accepted
    for node in fleet.nodes.values():
        assert _status(node, key)[0] == 401

    # An operator replaces its own key, which invalidates the old one.
    code, new_key = _run(capsys, 'operator', 'put', processes.OPERATOR)
    assert code == accepted
    refused = exitcodes.ExitCode.REFUSED
    assert _run(capsys, 'key', 'list')[0] == refused
    key_file = tmp_path / 'operator-key'
    key_file.write_text(new_key.split()[-1])
    key_option = f'--key-file={key_file}'
    code, output = _run(capsys, 'config', 'history', key_option)
    assert code == accepted
    assert output.count(processes.OPERATOR) >= 8
    log = fleet.log_text('stock-savo-1')
    for event in ('node-started', 'target-announced', 'config-applied'):
        assert f'"event": "{event}"' in log
    assert key not in log
    code, output = _run(capsys, 'report', key_option)
    assert (code, output.count('overspent') > 0) == (accepted, True)
