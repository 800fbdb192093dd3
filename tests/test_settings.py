import pathlib

import pytest

from parsleystile import fleetconfig
from parsleystile import settings
from parsleystile import validation

_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
_FLEETS = sorted(_EXAMPLES.glob('*/fleet.toml'))
_NODES = sorted(set(_EXAMPLES.glob('*/*.toml')) - set(_FLEETS))
_GOOD = """
fleet_secret_file = "/run/secret"
[identity]
node_id = "n1"
vm = "vm1"
region = "savo"
failure_domain = "savo-1"
[table]
url = "http://127.0.0.1:9000"
"""


def test_plain_settings_hold():
    assert settings.parse_settings(_GOOD).is_ok()


@pytest.mark.parametrize(
    ('text', 'path', 'told'),
    [
        (
            _GOOD + 'timeout_s = 3',
            'table.timeout_s',
            "unknown name 'timeout_s'; write 'timeout_ms', in milliseconds",
        ),
        (
            _GOOD + '[limits]\nbody_kb = 4',
            'limits.body_kb',
            "unknown name 'body_kb'; write 'body_bytes', in bytes",
        ),
        (
            _GOOD + '[listners]',
            'listners',
            "unknown name 'listners'; did you mean 'listeners'?",
        ),
        (
            _GOOD + 'timeout_ms = 0',
            'table.timeout_ms',
            '0 does not hold: Expected int >= 1',
        ),
        (
            _GOOD + '[listeners]\nhost = "localhost"',
            'listeners.host',
            "'localhost' is no IP number; write one such as 127.0.0.1",
        ),
        (
            _GOOD + '[statsd]\nhost = "metrics"',
            'statsd.host',
            "'metrics' is no IP number; write one such as 127.0.0.1",
        ),
        (
            _GOOD.replace(':9000', ''),
            'table.url',
            "'http://127.0.0.1' is no URL; write http://IP-NUMBER:PORT",
        ),
        (
            _GOOD + '[listeners]\ncaller_port = 80\nlink_port = 80',
            'listeners.link_port',
            '80 is taken by caller_port',
        ),
        (
            _GOOD.replace('vm = "vm1"', ''),
            'identity',
            'missing required field vm',
        ),
    ],
)
def test_a_fault_names_path_value_and_remedy(text, path, told):
    fault = settings.parse_settings(text).error
    assert (fault.path, fault.problem) == (path, told)


@pytest.mark.parametrize(
    ('text', 'path', 'named'),
    [
        (
            '[organisations.a]\nrate_per_s = 1\nburst = 2\n'
            '[organisations.b]\nrate_per_s = 0\nburst = 2',
            'organisations.b.rate_per_s',
            '0 does not hold',
        ),
        (
            '[organisations.b]\nrate_per_min = 4\nburst = 2',
            'organisations.b.rate_per_min',
            "write 'rate_per_s', a second",
        ),
        (
            '[routes.x]\npath_prefix = "/x"\nservice = "s"\n'
            'methods = ["GET", "get"]',
            'routes.x.methods.1',
            "'get' does not hold",
        ),
    ],
)
def test_a_fault_in_a_named_entry_names_the_entry(text, path, named):
    found = validation.decode_toml(text, fleetconfig.FleetConfig, 'document')
    assert found.error.path == path
    assert named in found.error.problem


@pytest.mark.parametrize('path', _NODES, ids=lambda p: p.stem)
def test_example_settings_hold(path):
    assert settings.load_settings(str(path)).is_ok()


@pytest.mark.parametrize('path', _FLEETS, ids=lambda p: p.parent.name)
def test_example_fleets_hold(path):
    found = validation.decode_toml(
        path.read_text(), fleetconfig.FleetConfig, 'document'
    )
    assert fleetconfig.check(found.ok) is None
    assert len(found.ok.organisations) == 8
    assert set(found.ok.presets) == {'ordinary', 'peak', 'maintenance'}


@pytest.mark.parametrize(
    ('user', 'domains'), [('lavapuu', 3), ('machovec', 4)]
)
def test_examples_show_each_failure_domain(user, domains):
    loaded = [
        settings.load_settings(str(path)).ok.identity
        for path in _NODES
        if path.parent.name == user
    ]
    assert len({identity.failure_domain for identity in loaded}) == domains
    assert len({identity.node_id for identity in loaded}) == len(loaded)
