import pytest

from parsleystile import cli
from parsleystile import exitcodes
from parsleystile import keys

_SETTINGS = """
fleet_secret_file = "/run/parsleystile/fleet-secret"
[identity]
node_id = "stock-1"
vm = "vm-1"
region = "savo"
failure_domain = "savo-a"
[table]
url = "http://127.0.0.1:9000"
"""


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / 'node.toml'
    path.write_text(_SETTINGS)
    return path


def test_settings_check_accepts(settings_file, capsys):
    assert cli.main(['settings', 'check', str(settings_file)]) == 0
    assert 'savo-a' in capsys.readouterr().out


def test_settings_check_names_the_path_and_the_value(settings_file, capsys):
    settings_file.write_text(_SETTINGS + 'timeout_ms = 0\n')
    code = cli.main(['settings', 'check', str(settings_file)])
    assert code == exitcodes.ExitCode.USAGE
    problem = capsys.readouterr().err
    assert 'table.timeout_ms' in problem
    assert problem.count('\n') == 1


@pytest.mark.parametrize(
    ('argv', 'named'),
    [
        (['settings', 'chek', 'x'], 'chek'),
        (['settings'], 'settings'),
        (['node'], 'settings'),
        ([], 'no command'),
        (['settings', 'check', 'x', '--jsn'], '--jsn'),
    ],
)
def test_usage_errors_are_one_line_with_the_argument(argv, named, capsys):
    assert cli.main(argv) == exitcodes.ExitCode.USAGE
    out, err = capsys.readouterr()
    assert (out, err.count('\n')) == ('', 1)
    assert named in err


def test_help_exits_0_and_lists_the_commands(capsys):
    assert cli.main(['--help']) == 0
    assert 'settings' in capsys.readouterr().out


def test_a_generated_key_matches_its_fingerprint(capsys):
    assert cli.main(['operator', 'keygen']) == 0
    key, fingerprint = (
        line.split()[1] for line in capsys.readouterr().out.splitlines()
    )
    assert keys.fingerprint(key) == fingerprint
    assert cli.main(['operator', 'keygen']) == 0
    assert key not in capsys.readouterr().out
