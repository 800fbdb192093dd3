import pathlib
import re
import shlex

import pytest

from parsleystile import cli

_ROOT = pathlib.Path(__file__).parent.parent
_PAGES = [_ROOT / 'README.md', *sorted((_ROOT / 'docs').rglob('*.md'))]
_LINK = re.compile(r'\]\(([^)#]+)[^)]*\)')
_COMMAND = re.compile(r'^\s*(?:\$ )?parsleystile (.+)$', re.MULTILINE)


def _commands():
    for page in _PAGES:
        for line in _COMMAND.findall(page.read_text()):
            yield pytest.param(line, id=f'{page.stem}: {line[:60]}')


@pytest.mark.parametrize('page', _PAGES, ids=lambda page: page.stem)
def test_links_have_a_target(page):
    for link in _LINK.findall(page.read_text()):
        if not link.startswith('http'):
            assert (page.parent / link).exists(), link


def test_every_operations_page_is_in_the_index():
    index = (_ROOT / 'docs' / 'OPERATIONS.md').read_text()
    for page in (_ROOT / 'docs' / 'operations').glob('*.md'):
        assert f'(operations/{page.name})' in index, page.name


@pytest.mark.parametrize('line', list(_commands()))
def test_commands_on_pages_are_valid(line):
    argv = shlex.split(line, comments=True)
    parsed = cli.parse(argv)
    assert parsed.is_ok() or parsed.error.help_text, str(parsed.error)
