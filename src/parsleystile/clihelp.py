"""Help text of the command line, with one line per command."""

import inspect
import typing

from parsleystile import console


def _command_line(words: str, method: typing.Callable) -> str:
    names = [
        name.upper() if p.default is p.empty else f'[{name.upper()}]'
        for name, p in inspect.signature(method).parameters.items()
    ]
    summary = (method.__doc__ or '').partition('\n')[0]
    return f'  {" ".join([words, *names]):<52}{summary}'


def _methods(group: object) -> typing.Iterator[tuple[str, typing.Callable]]:
    for name in vars(type(group)):
        method = getattr(group, name)
        if not name.startswith('_') and callable(method):
            yield name, method


def text() -> str:
    """Return the help text with all commands and options."""
    root = console.Console()
    lines = [f'{console.Console.__doc__}', '', 'Commands:']
    lines += [_command_line(n, m) for n, m in _methods(root)]
    for group_name, group in vars(root).items():
        if group_name.startswith('_'):
            continue
        lines += [
            _command_line(f'{group_name} {name}', method)
            for name, method in _methods(group)
        ]
    lines += ['', 'Options before or after a command:']
    options = inspect.signature(console.Console.__init__).parameters.values()
    for option in options:
        if option.kind is option.KEYWORD_ONLY:
            flag = option.name.replace('_', '-')
            lines.append(f'  --{flag}={option.default}')
    return '\n'.join(lines) + '\n'
