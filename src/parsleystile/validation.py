"""Validation of TOML documents against types, with helpful errors.

An error contains the full path, the invalid value and a suggestion: for an
unknown name the closest known one, also when only the unit suffix differs.
"""

import difflib
import re
import tomllib
import typing

import expression
import msgspec

from parsleystile import errors

T = typing.TypeVar('T')

_UNIT_NAMES = {
    'ms': 'milliseconds',
    'per_s': 'per second',
    'bytes': 'bytes',
}
# Longest first, as ``rate_per_s`` also ends in ``_s``.
_UNIT_SUFFIXES = (
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
_WILDCARD = '[...]'
_PATH_PART = re.compile(r'\.([^.\[]+)|\[(\d+|\.\.\.)\]')
MAX_REPR_CHARS = 60


def _without_unit(name: str) -> str:
    """Return a name without its unit suffix."""
    for suffix in _UNIT_SUFFIXES:
        if name.endswith(f'_{suffix}'):
            return name[: -len(suffix) - 1]
    return name


def _unit_hint(name: str) -> str:
    for suffix, unit in _UNIT_NAMES.items():
        if name.endswith(f'_{suffix}'):
            return f', in {unit}' if suffix != 'per_s' else f', {unit}'
    return ''


def suggest(name: str, known: typing.Iterable[str]) -> str:
    """Return a suggestion for a name that is not in ``known``."""
    names = sorted(known)
    for candidate in names:
        if _without_unit(candidate) == _without_unit(name):
            return f'use {candidate!r}{_unit_hint(candidate)}'
    close = difflib.get_close_matches(name, names, n=1)
    if close:
        return f'did you mean {close[0]!r}?'
    return f'valid names: {", ".join(names)}'


def _truncated_repr(value: object) -> str:
    text = repr(value)
    if len(text) > MAX_REPR_CHARS:
        return text[: MAX_REPR_CHARS - 1] + '…'
    return text


def _split_path(path: str) -> list[str | int]:
    """Split ``$.a[0].b`` into its parts; a wildcard remains ``[...]``."""
    parts: list[str | int] = []
    for match in _PATH_PART.finditer(path):
        name, index = match.groups()
        if name is not None:
            parts.append(name)
        else:
            parts.append(_WILDCARD if index == '...' else int(index))
    return parts


def _first_error(plain: object, kind: type) -> tuple[str, str] | None:
    """Return problem and path of the first validation error, or None."""
    try:
        msgspec.convert(plain, kind)
    except msgspec.ValidationError as exc:
        problem, _, path = str(exc).partition(' - at `$')
        return problem, path.rstrip('`')
    return None


def _with_value_at(
    plain: object, at: list[str | int], value: object
) -> object:
    """Return a copy of ``plain`` with ``value`` at a path.

    Everything off the path is shared with the original.
    """
    if not at:
        return value
    head, *rest = at
    copy = plain.copy()
    copy[head] = _with_value_at(plain[head], rest, value)
    return copy


def _value_at(plain: object, path: list[str | int]) -> object:
    for part in path:
        plain = plain[part]
    return plain


def _resolve_wildcards(
    plain: object, kind: type, path: list[str | int], problem: str
) -> list[str | int]:
    """Replace each wildcard in a path by the key of the invalid entry."""
    parts: list[str | int] = []
    for part in path:
        if part != _WILDCARD:
            parts.append(part)
            continue
        entries = _value_at(plain, parts)
        for key, value in entries.items():
            isolated = _with_value_at(plain, parts, {key: value})
            error = _first_error(isolated, kind)
            if error is not None and error[0] == problem:
                plain = isolated
                parts.append(key)
                break
        else:
            return parts
    return parts


def _type_at(kind: typing.Any, path: list[str | int]) -> typing.Any:
    """Return the expected type at a path, or None if it is not known."""
    for part in path:
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            fields = {f.name: f.type for f in msgspec.structs.fields(kind)}
            kind = fields.get(part)
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
    return '.'.join(str(part) for part in path) or document


def find_error(
    plain: object, kind: type, document: str
) -> errors.SettingsError | None:
    """Return the first error of a decoded document, or None."""
    error = _first_error(plain, kind)
    if error is None:
        return None
    problem, at = error
    path = _resolve_wildcards(plain, kind, _split_path(at), problem)
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
        _dotted(path, document),
        f'{_truncated_repr(value)} is invalid: {problem}',
    )


def decode_toml(
    text: str, kind: type[T], document: str
) -> expression.Result[T, errors.SettingsError]:
    """Decode and validate a TOML document.

    Args:
        text: The document.
        kind: Expected type of the document.
        document: Name of the document in errors that have no path.
    """
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return expression.Error(errors.SettingsError(document, str(exc)))
    error = find_error(plain, kind, document)
    if error is not None:
        return expression.Error(error)
    return expression.Ok(msgspec.convert(plain, kind))
