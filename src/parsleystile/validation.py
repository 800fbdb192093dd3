"""TOML documents checked against types, with errors that say what to do.

An error names the whole path, the bad value and the remedy: the nearest
known name for an unknown one, with the right unit where only that differs.
"""

import difflib
import re
import tomllib
import typing

import expression
import msgspec

from parsleystile import errors

T = typing.TypeVar('T')

_UNITS = {
    'ms': 'milliseconds',
    'per_s': 'a second',
    'bytes': 'bytes',
}
# Longest first: ``rate_per_s`` ends in ``_s`` too.
_SUFFIXES = (
    'per_minute',
    'per_min',
    'per_ms',
    'per_s',
    'seconds',
    'minutes',
    'bytes',
    'secs',
    'mins',
    'min',
    'kib',
    'mib',
    'kb',
    'mb',
    'ms',
    'us',
    'ns',
    's',
    'm',
    'h',
)
_UNKNOWN_FIELD = re.compile(r'Object contains unknown field `(.*?)`')
_ANY_KEY = '[...]'
_STEP = re.compile(r'\.([^.\[]+)|\[(\d+|\.\.\.)\]')
MAX_SHOWN_CHARS = 60


def _stem(name: str) -> str:
    """Return a name without its unit."""
    for suffix in _SUFFIXES:
        if name.endswith(f'_{suffix}'):
            return name[: -len(suffix) - 1]
    return name


def _unit_of(name: str) -> str:
    for suffix, unit in _UNITS.items():
        if name.endswith(f'_{suffix}'):
            return f', in {unit}' if suffix != 'per_s' else f', {unit}'
    return ''


def suggest(name: str, known: typing.Iterable[str]) -> str:
    """Return the remedy for a name that is none of ``known``."""
    names = sorted(known)
    for candidate in names:
        if _stem(candidate) == _stem(name):
            return f'write {candidate!r}{_unit_of(candidate)}'
    close = difflib.get_close_matches(name, names, n=1)
    if close:
        return f'did you mean {close[0]!r}?'
    return f'known here: {", ".join(names)}'


def _shown(value: object) -> str:
    text = repr(value)
    if len(text) > MAX_SHOWN_CHARS:
        return text[: MAX_SHOWN_CHARS - 1] + '…'
    return text


def _steps(path: str) -> list[str | int]:
    """Split ``$.a[0].b`` into steps; a wildcard stays ``[...]``."""
    found: list[str | int] = []
    for match in _STEP.finditer(path):
        name, index = match.groups()
        if name is not None:
            found.append(name)
        else:
            found.append(_ANY_KEY if index == '...' else int(index))
    return found


def _fault(plain: object, kind: type) -> tuple[str, str] | None:
    """Return the problem and path that msgspec finds, or None."""
    try:
        msgspec.convert(plain, kind)
    except msgspec.ValidationError as exc:
        problem, _, path = str(exc).partition(' - at `$')
        return problem, path.rstrip('`')
    return None


def _replaced(plain: object, at: list[str | int], value: object) -> object:
    """Return ``plain`` with ``value`` at a path; the rest is shared."""
    if not at:
        return value
    head, *rest = at
    copy = plain.copy()
    copy[head] = _replaced(plain[head], rest, value)
    return copy


def _value_at(plain: object, path: list[str | int]) -> object:
    for step in path:
        plain = plain[step]
    return plain


def _concrete(
    plain: object, kind: type, path: list[str | int], problem: str
) -> list[str | int]:
    """Replace each wildcard in a path by the key of the faulty entry."""
    found: list[str | int] = []
    for step in path:
        if step != _ANY_KEY:
            found.append(step)
            continue
        entries = _value_at(plain, found)
        for key, value in entries.items():
            only = _replaced(plain, found, {key: value})
            fault = _fault(only, kind)
            if fault is not None and fault[0] == problem:
                plain = only
                found.append(key)
                break
        else:
            return found
    return found


def _type_at(kind: typing.Any, path: list[str | int]) -> typing.Any:
    """Return the type that a document has at a path; None if unclear."""
    for step in path:
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            fields = {f.name: f.type for f in msgspec.structs.fields(kind)}
            kind = fields.get(step)
        else:
            args = [a for a in typing.get_args(kind) if a is not Ellipsis]
            kind = args[-1] if args else None
        kind = _without_none(kind)
    return kind


def _without_none(kind: typing.Any) -> typing.Any:
    args = typing.get_args(kind)
    if type(None) in args:
        return next(arg for arg in args if arg is not type(None))
    return kind


def _dotted(path: list[str | int], document: str) -> str:
    return '.'.join(str(step) for step in path) or document


def explain_fault(
    plain: object, kind: type, document: str
) -> errors.SettingsError | None:
    """Tell what keeps a plain document from being a ``kind``."""
    fault = _fault(plain, kind)
    if fault is None:
        return None
    problem, at = fault
    path = _concrete(plain, kind, _steps(at), problem)
    unknown = _UNKNOWN_FIELD.search(problem)
    if unknown:
        struct = _type_at(kind, path)
        known = getattr(struct, '__struct_fields__', ())
        name = unknown.group(1)
        return errors.SettingsError(
            _dotted([*path, name], document),
            f'unknown name {name!r}; {suggest(name, known)}',
        )
    problem = problem.replace('`', '').replace('Object missing', 'missing')
    try:
        value = _value_at(plain, path)
    except (KeyError, IndexError, TypeError):
        return errors.SettingsError(_dotted(path, document), problem)
    if isinstance(value, dict):
        return errors.SettingsError(_dotted(path, document), problem)
    return errors.SettingsError(
        _dotted(path, document), f'{_shown(value)} does not hold: {problem}'
    )


def decode_toml(
    text: str, kind: type[T], document: str
) -> expression.Result[T, errors.SettingsError]:
    """Read a TOML document of a type.

    Args:
        text: The document.
        kind: Type that it must have.
        document: Names the document as a whole in errors.
    """
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return expression.Error(errors.SettingsError(document, str(exc)))
    fault = explain_fault(plain, kind, document)
    if fault is not None:
        return expression.Error(fault)
    return expression.Ok(msgspec.convert(plain, kind))
