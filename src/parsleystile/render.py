"""Rendering of text tables and JSON."""

import dataclasses
import json
import typing

import msgspec

_COLUMN_GAP = '  '


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """A table of text cells with a heading for each column."""

    headings: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def table(
    headings: typing.Sequence[str], rows: typing.Iterable[typing.Sequence]
) -> Table:
    """Create a table; cells are converted to text, None to an empty cell."""
    texts = tuple(
        tuple('' if cell is None else str(cell) for cell in row)
        for row in rows
    )
    return Table(tuple(headings), texts)


def _is_number(text: str) -> bool:
    return text.rstrip('%').replace('.', '', 1).isdigit()


def text(shown: Table) -> str:
    """Return a table as text with aligned columns, numbers to the right."""
    lines = [shown.headings, *shown.rows]
    columns = list(zip(*lines, strict=True))
    widths = [max(map(len, column)) for column in columns]
    right_aligned = [
        all(_is_number(cell) or not cell for cell in column[1:])
        and bool(shown.rows)
        for column in columns
    ]
    rendered = []
    for line in lines:
        cells = [
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(
                line, widths, right_aligned, strict=True
            )
        ]
        rendered.append(_COLUMN_GAP.join(cells).rstrip())
    return '\n'.join(rendered)


def as_json(value: object) -> str:
    """Return a value, data classes and structs included, as JSON."""
    plain = msgspec.to_builtins(value)
    return json.dumps(plain, indent=2, ensure_ascii=False)
