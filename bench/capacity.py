"""Works out the target size from what the benches measured.

``python -m bench | python -m bench.capacity`` prints the table of
docs/CAPACITY.md. Results whose names differ only in their last number make
a series; a line fitted to it by least squares gives the figure at the
target size. A figure without enough sizes is 'not measured'.
"""

import dataclasses
import re
import statistics
import sys
import typing

import msgspec

from bench import roles

MIN_SIZES = 3
# Points further from the line than this, as a share, make no line.
MAX_RESIDUAL = 0.1
_LAST_NUMBER = re.compile(r'\d+(?=\D*$)')


class Measured(msgspec.Struct, frozen=True):
    """A line that ``python -m bench`` printed."""

    name: str
    value: float
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line through the points of a series.

    Attributes:
        residual: Largest distance of a point from the line, as a share of
            the largest value.
    """

    slope: float
    intercept: float
    residual: float
    sizes: tuple[int, ...]
    unit: str

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(points: typing.Sequence[tuple[int, float]], unit: str) -> Fit:
    """Fit a line to points of different sizes."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    largest = max(abs(value) for value in values) or 1.0
    residual = max(
        abs(value - intercept - slope * size) for size, value in points
    )
    return Fit(slope, intercept, residual / largest, tuple(sizes), unit)


def series_name(name: str) -> tuple[str, int] | None:
    """Split the size, the last number of a name, from the rest."""
    found = _LAST_NUMBER.search(name)
    if found is None:
        return None
    series = f'{name[: found.start()]}*{name[found.end() :]}'
    return series, int(found.group())


def fit_all(results: typing.Iterable[Measured]) -> dict[str, Fit]:
    """Fit every series that has enough different sizes."""
    points: dict[str, dict[int, float]] = {}
    units: dict[str, str] = {}
    for result in results:
        split = series_name(result.name)
        if split is not None:
            series, size = split
            points.setdefault(series, {})[size] = result.value
            units[series] = result.unit
    return {
        series: fit(sorted(found.items()), units[series])
        for series, found in points.items()
        if len(found) >= MIN_SIZES
    }


def single_values(results: typing.Iterable[Measured]) -> dict[str, Measured]:
    """Return the results by name."""
    return {result.name: result for result in results}


def _number(value: float) -> str:
    return f'{value:,.0f}' if abs(value) >= 100 else f'{value:.3g}'


def _verdict(value: float, figure: roles.Figure) -> str:
    if figure.bound is None:
        return ''
    if value <= figure.bound:
        return f'fits {_number(figure.bound)}'
    return (
        f'misses {_number(figure.bound)} by {value / figure.bound:.1f} times'
    )


def _is_line(found: Fit, size: float) -> bool:
    return found.residual <= MAX_RESIDUAL and found.at(size) >= 0


def _measured(
    figure: roles.Figure,
    fits: dict[str, Fit],
    singles: dict[str, Measured],
) -> tuple[str, str, str]:
    """Return how a figure was measured, its value and the verdict."""
    found = fits.get(figure.series)
    if found is not None and not _is_line(found, figure.size):
        largest = found.sizes[-1]
        how = (
            f'no line at {", ".join(map(str, found.sizes))};'
            f' residual {100 * found.residual:.1f}%'
        )
        last = singles[figure.series.replace('*', str(largest))]
        shown = f'{_number(last.value)} {last.unit} at {largest}'
        return how, shown, 'not known'
    if found is not None:
        value = found.at(figure.size) * figure.times
        how = (
            f'{_number(found.slope)} {found.unit} each at'
            f' {", ".join(map(str, found.sizes))};'
            f' residual {100 * found.residual:.1f}%'
        )
    elif figure.series in singles:
        single = singles[figure.series]
        value = single.value * figure.times
        how = f'{_number(single.value)} {single.unit}, one size'
    else:
        return 'not measured', '', 'not measured'
    shown = f'{_number(value)} {figure.unit}'
    return how, shown, _verdict(value, figure)


def rows(results: typing.Sequence[Measured]) -> list[tuple[str, ...]]:
    """Return a row for each figure of each role."""
    fits = fit_all(results)
    singles = single_values(results)
    made = []
    for role in roles.ROLES:
        for figure in role.figures:
            how, value, verdict = _measured(figure, fits, singles)
            made.append((role.name, figure.what, how, value, verdict))
    return made


def table(results: typing.Sequence[Measured]) -> str:
    """Return the table in Markdown."""
    headings = ('role', 'figure', 'measured', 'at target size', 'verdict')
    lines = [headings, ('---',) * len(headings), *rows(results)]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def read(lines: typing.Iterable[str]) -> list[Measured]:
    """Read the lines of a bench run; others are left out."""
    return [
        msgspec.json.decode(line, type=Measured)
        for line in lines
        if line.startswith('{')
    ]


def main() -> int:
    """Print the table for the bench run on standard input."""
    print(table(read(sys.stdin)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
