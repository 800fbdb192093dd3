"""Checks of configurations before they are sent, on both paths."""

import copy
import json

import pytest

from adapter import config
from adapter import process
from parsleystile import cli
from parsleystile import configfindings
from parsleystile import documentcheck
from parsleystile import fleetconfig
from parsleystile.relay import policycheck
from tests import platformfleet

_DOCUMENT = """
[organisations.yard]
rate_per_s = 10.0
burst = 5

[routes.browse]
path_prefix = "/stock"
service = "stock"
"""


def _paths(data):
    return data['virtual_hosts'][0]['paths']


def _decoded(data):
    policy = config.decode(config.encode(json.dumps(data).encode(), []))
    assert not isinstance(policy, Exception), policy
    return policy


def _found(data, in_force=None):
    found = policycheck.findings(_decoded(data), in_force)
    return {f.path: (f.severity.value, f.problem) for f in found}


def _sound():
    """Return a configuration without findings."""
    data = platformfleet.document(version=3)
    _paths(data)[0]['service'] = 'stock'
    return data


def test_a_sound_configuration_has_no_findings():
    assert _found(_sound()) == {}


def _same_prefix(data):
    _paths(data).append(platformfleet.route('again', '/stock/', 'safe'))
    return 'routes.yard.example.browse', 'error', 'route again has the same'


def _no_slash(data):
    _paths(data)[0]['prefix'] = 'stock/'
    return 'routes.yard.example.browse', 'error', 'no path begins with'


def _open_end(data):
    _paths(data)[0]['prefix'] = '/stock'
    return 'routes.yard.example.browse', 'warning', 'longer names'


def _no_weight(data):
    path = _paths(data)[0]
    path['traffic_split'] = [{'service': 'stock', 'weight': 0}]
    return 'routes.yard.example.browse', 'error', 'weight above 0'


def _late_objective(data):
    _paths(data)[0]['target_latency'] = '3s'
    return 'routes.yard.example.browse', 'warning', 'beyond its timeout'


def _priority(data):
    _paths(data)[0]['priority'] = 7
    return 'routes.yard.example.browse', 'warning', 'priority 7'


def _same_name(data):
    _paths(data)[1]['name'] = 'browse'
    return 'routes.browse', 'warning', '2 routes have this name'


def _upper_case_host(data):
    data['virtual_hosts'][0]['hostname'] = 'Yard.example'
    return 'routes.Yard.example.browse', 'warning', 'as it is written'


def _unused_service(data):
    data['services'].append({'name': 'attic'})
    return 'services.attic', 'warning', 'no route leads'


def _no_key(data):
    data['tenants'].append({'name': 'drivers', 'burst': 0, 'rate_per_s': 1})
    return 'organisations.drivers', 'warning', 'no key'


def _burst_alone(data):
    data['tenants'][0]['rate_per_s'] = 0
    return 'organisations.households', 'warning', 'without a rate'


def _no_body(data):
    data['limits']['max_body_bytes'] = 0
    return 'limits.body_bytes', 'error', 'refuses every'


@pytest.mark.parametrize(
    'break_it',
    [
        _same_prefix,
        _no_slash,
        _open_end,
        _no_weight,
        _late_objective,
        _priority,
        _same_name,
        _upper_case_host,
        _unused_service,
        _no_key,
        _burst_alone,
        _no_body,
    ],
)
def test_an_entry_that_cannot_work_is_found(break_it):
    data = _sound()
    path, severity, words = break_it(data)
    found = _found(data)
    assert found[path][0] == severity
    assert words in found[path][1]


def test_the_version_has_to_rise():
    in_force = _decoded(_sound())
    assert _found(_sound(), in_force)['version'][0] == 'error'
    newer = _sound() | {'version': '00000004'}
    assert _found(newer, in_force) == {}


def test_a_change_is_told_by_entry():
    before = _sound()
    after = copy.deepcopy(before) | {'version': '00000004'}
    _paths(after)[0]['timeout'] = '1s'
    after['tenants'][0]['api_keys'] = [platformfleet.KEY, 'second']
    after['services'].append({'name': 'attic'})
    lines = policycheck.differences(_decoded(before), _decoded(after))
    assert '~ version: 3 -> 4' in lines
    assert '~ routes.yard.example/stock/.timeout_ms: 2000.0 -> 1000.0' in lines
    assert '~ organisations.households.keys: 1 -> 2' in lines
    assert any(line.startswith('+ services.attic') for line in lines)
    assert any(line.startswith('+ keys.') for line in lines)
    assert not any('second' in line for line in lines)


def test_the_platform_program_checks_a_file(tmp_path, capsys):
    path = tmp_path / 'next.json'
    path.write_text(json.dumps(_sound()))
    assert process.main(['--check-config', str(path)]) == 0
    assert 'valid' in capsys.readouterr().out
    assert process.main(['--check-config', str(path), str(path)]) == 2
    assert 'is not above 3' in capsys.readouterr().out
    path.write_text('{')
    assert process.main(['--check-config', str(path)]) == 2
    assert str(path) in capsys.readouterr().err
    assert process.main(['--check-config', 'a', 'b', 'c']) == 2


class TestDocument:
    @pytest.fixture
    def check(self, tmp_path, capsys):
        def run(text, *options):
            path = tmp_path / 'fleet.toml'
            path.write_text(text)
            code = cli.main(['config', 'check', str(path), *options])
            captured = capsys.readouterr()
            return code, captured.out, captured.err

        return run

    def test_a_sound_document_is_valid(self, check):
        code, output, _ = check(_DOCUMENT)
        assert code == 0
        assert output.count('\n') == 1

    @pytest.mark.parametrize(
        ('before', 'words'),
        [
            (
                'active_preset = "maintenance"',
                "class 'sheddable' is not served",
            ),
            (
                'active_preset = "off"\n[presets.off]\nrate_factor = 0.0',
                'a rate of 0',
            ),
        ],
    )
    def test_a_preset_that_stops_an_entry_is_an_error(
        self, check, before, words
    ):
        text = f'{before}\n{_DOCUMENT}importance = "sheddable"\n'
        code, output, errors = check(text)
        assert code == 2
        assert words in output
        assert 'cannot work' in errors

    def test_routes_that_no_key_can_open_are_an_error(self, check):
        text = _DOCUMENT[_DOCUMENT.index('[routes') :]
        code, output, _ = check(text)
        assert code == 2
        assert 'no organisation can have one' in output

    def test_what_differs_from_the_document_in_force_is_shown(
        self, check, tmp_path
    ):
        in_force = fleetconfig.FleetConfig(
            organisations={
                'yard': fleetconfig.Organisation(rate_per_s=10.0, burst=4)
            },
            version=9,
        )
        path = tmp_path / 'now.json'
        path.write_bytes(fleetconfig.encode(in_force))
        code, output, _ = check(_DOCUMENT, '--in-force', str(path))
        assert code == 0
        assert '~ organisations.yard.burst: 4 -> 5' in output
        assert '+ routes.browse' in output
        assert 'version' not in output

    def test_a_document_like_the_one_in_force_says_so(self):
        document = fleetconfig.FleetConfig()
        assert documentcheck.differences(document, document) == []
        text = configfindings.report(documentcheck.findings(document), [])
        assert text == 'no difference from the version in force'
