import pathlib

import pytest

from parsleystile import fleetconfig
from parsleystile import settings
from parsleystile import validation

_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
_FLEET_FILES = sorted(_EXAMPLES.glob('*/fleet.toml'))
_NODE_FILES = sorted(set(_EXAMPLES.glob('*/*.toml')) - set(_FLEET_FILES))
_MINIMAL = """
fleet_secret_file = "/run/secret"
[identity]
node_id = "n1"
vm = "vm1"
region = "savo"
failure_domain = "savo-1"
[table]
url = "http://127.0.0.1:9000"
"""


def test_minimal_settings_are_valid():
    assert settings.parse_settings(_MINIMAL).is_ok()


@pytest.mark.parametrize(
    ('text', 'path', 'problem'),
    [
        (
            _MINIMAL + 'timeout_s = 3',
            'table.timeout_s',
            "unknown name 'timeout_s'; use 'timeout_ms', in milliseconds",
        ),
        (
            _MINIMAL + '[limits]\nbody_kb = 4',
            'limits.body_kb',
            "unknown name 'body_kb'; use 'body_bytes', in bytes",
        ),
        (
            _MINIMAL + '[listners]',
            'listners',
            "unknown name 'listners'; did you mean 'listeners'?",
        ),
        (
            _MINIMAL + 'timeout_ms = 0',
            'table.timeout_ms',
            '0 is invalid: Expected int >= 1',
        ),
        (
            _MINIMAL + '[listeners]\nhost = "localhost"',
            'listeners.host',
            "'localhost' is not an IP address; use one such as 127.0.0.1",
        ),
        (
            _MINIMAL + '[statsd]\nhost = "metrics"',
            'statsd.host',
            "'metrics' is not an IP address; use one such as 127.0.0.1",
        ),
        (
            _MINIMAL.replace(':9000', ''),
            'table.url',
            "'http://127.0.0.1' is not a valid URL; use http://IP:PORT",
        ),
        (
            _MINIMAL + '[listeners]\ncaller_port = 80\nlink_port = 80',
            'listeners.link_port',
            '80 is already used by caller_port',
        ),
        (
            _MINIMAL.replace('vm = "vm1"', ''),
            'identity',
            'missing required field vm',
        ),
    ],
)
def test_an_error_names_path_value_and_suggestion(text, path, problem):
    error = settings.parse_settings(text).error
    assert (error.path, error.problem) == (path, problem)


@pytest.mark.parametrize(
    ('text', 'path', 'named'),
    [
        (
            '[organisations.a]\nrate_per_s = 1\nburst = 2\n'
            '[organisations.b]\nrate_per_s = 0\nburst = 2',
            'organisations.b.rate_per_s',
            '0 is invalid',
        ),
        (
            '[organisations.b]\nrate_per_min = 4\nburst = 2',
            'organisations.b.rate_per_min',
            "use 'rate_per_s', per second",
        ),
        (
            '[routes.x]\npath_prefix = "/x"\nservice = "s"\n'
            'methods = ["GET", "get"]',
            'routes.x.methods.1',
            "'get' is invalid",
        ),
    ],
)
def test_an_error_in_a_named_entry_names_the_entry(text, path, named):
    decoded = validation.decode_toml(text, fleetconfig.FleetConfig, 'document')
    assert decoded.error.path == path
    assert named in decoded.error.problem


@pytest.mark.parametrize('path', _NODE_FILES, ids=lambda p: p.stem)
def test_example_settings_are_valid(path):
    assert settings.load_settings(str(path)).is_ok()


@pytest.mark.parametrize('path', _FLEET_FILES, ids=lambda p: p.parent.name)
def test_example_fleets_are_valid(path):
    decoded = validation.decode_toml(
        path.read_text(), fleetconfig.FleetConfig, 'document'
    )
    assert fleetconfig.check(decoded.ok) is None
    assert len(decoded.ok.organisations) == 8
    assert set(decoded.ok.presets) == {'ordinary', 'peak', 'maintenance'}


@pytest.mark.parametrize(
    ('user', 'domains'), [('lavapuu', 3), ('machovec', 4)]
)
def test_examples_cover_each_failure_domain(user, domains):
    loaded = [
        settings.load_settings(str(path)).ok.identity
        for path in _NODE_FILES
        if path.parent.name == user
    ]
    assert len({identity.failure_domain for identity in loaded}) == domains
    assert len({identity.node_id for identity in loaded}) == len(loaded)
