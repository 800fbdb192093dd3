"""What a check of a configuration finds, and how two of them differ."""

import dataclasses
import enum
import typing

_ABSENT = object()
_MAX_VALUE_CHARS = 60


class Severity(enum.Enum):
    """How much a finding matters.

    An error keeps the configuration, or an entry of it, from working. A
    warning names what has no effect or contradicts something else.
    """

    ERROR = 'error'
    WARNING = 'warning'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One finding about one entry.

    Attributes:
        path: Dotted path of the entry.
    """

    severity: Severity
    path: str
    problem: str

    def __str__(self) -> str:
        return f'{self.severity.value}: {self.path}: {self.problem}'


def error(path: str, problem: str) -> Finding:
    """Create an error."""
    return Finding(Severity.ERROR, path, problem)


def warning(path: str, problem: str) -> Finding:
    """Create a warning."""
    return Finding(Severity.WARNING, path, problem)


def has_errors(findings: typing.Iterable[Finding]) -> bool:
    """Whether any finding is an error."""
    return any(f.severity is Severity.ERROR for f in findings)


def differences(
    before: object, after: object, path: str = ''
) -> typing.Iterator[str]:
    """Yield a line for each value that differs between two documents.

    Mappings are compared by key. Lines begin with ``+`` for what is added,
    ``-`` for what is removed and ``~`` for what changes.

    Args:
        before: Document as built-in types.
        after: The same, later.
        path: Dotted path of both.
    """
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}, key=str):
            at = f'{path}.{key}' if path else str(key)
            yield from differences(
                before.get(key, _ABSENT), after.get(key, _ABSENT), at
            )
    elif before is _ABSENT:
        yield f'+ {path}: {_shown(after)}'
    elif after is _ABSENT:
        yield f'- {path}: {_shown(before)}'
    else:
        yield f'~ {path}: {_shown(before)} -> {_shown(after)}'


def report(
    findings: typing.Sequence[Finding], changes: typing.Sequence[str] | None
) -> str:
    """Return findings and differences as lines of text.

    Args:
        findings: What the check found, errors first in the text.
        changes: Differences from the version in force; None if it is not
            known.
    """
    lines = [str(f) for f in findings if f.severity is Severity.ERROR]
    lines += [str(f) for f in findings if f.severity is Severity.WARNING]
    if changes is not None:
        lines += changes or ['no difference from the version in force']
    return '\n'.join(lines)


def _shown(value: object) -> str:
    if isinstance(value, dict):
        inner = ', '.join(f'{k} {_shown(v)}' for k, v in value.items())
        text = f'{{{inner}}}'
    elif isinstance(value, (list, tuple)):
        text = f'[{", ".join(map(_shown, value))}]'
    else:
        text = str(value)
    if len(text) > _MAX_VALUE_CHARS:
        return text[: _MAX_VALUE_CHARS - 1] + '…'
    return text
