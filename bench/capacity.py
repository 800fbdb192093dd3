"""Extrapolates results of the benchmarks to the target size.

``python -m bench | python -m bench.capacity`` prints the table of
docs/CAPACITY.md. Results whose names differ only in their last number form
a series; a least-squares line through the series gives the figure at the
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
# Largest residual, relative to the largest value, that counts as linear.
MAX_RESIDUAL = 0.1
_LAST_NUMBER = re.compile(r'\d+(?=\D*$)')


class Measured(msgspec.Struct, frozen=True):
    """A result line printed by ``python -m bench``."""

    name: str
    value: float
    unit: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line fitted to the points of a series.

    Attributes:
        residual: Largest deviation of a point from the line, divided by
            the largest value.
    """

    slope: float
    intercept: float
    residual: float
    sizes: tuple[int, ...]
    unit: str

    def predict(self, size: float) -> float:
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
    """Split a name at its last number into series name and size."""
    match = _LAST_NUMBER.search(name)
    if match is None:
        return None
    series = f'{name[: match.start()]}*{name[match.end() :]}'
    return series, int(match.group())


def fit_all(results: typing.Iterable[Measured]) -> dict[str, Fit]:
    """Fit each series that has at least ``MIN_SIZES`` sizes."""
    points: dict[str, dict[int, float]] = {}
    units: dict[str, str] = {}
    for result in results:
        split = series_name(result.name)
        if split is not None:
            series, size = split
            points.setdefault(series, {})[size] = result.value
            units[series] = result.unit
    return {
        series: fit(sorted(by_size.items()), units[series])
        for series, by_size in points.items()
        if len(by_size) >= MIN_SIZES
    }


def results_by_name(results: typing.Iterable[Measured]) -> dict[str, Measured]:
    """Return the results by name."""
    return {result.name: result for result in results}


def _number(value: float) -> str:
    return f'{value:,.0f}' if abs(value) >= 100 else f'{value:.3g}'


def _compare_with_bound(value: float, figure: roles.Figure) -> str:
    if figure.bound is None:
        return ''
    if value <= figure.bound:
        return f'fits {_number(figure.bound)}'
    return (
        f'misses {_number(figure.bound)} by {value / figure.bound:.1f} times'
    )


def _is_linear(fitted: Fit, size: float) -> bool:
    return fitted.residual <= MAX_RESIDUAL and fitted.predict(size) >= 0


def _evaluate_figure(
    figure: roles.Figure,
    fits: dict[str, Fit],
    singles: dict[str, Measured],
) -> tuple[str, str, str]:
    """Return the method, the value and the verdict of a figure."""
    fitted = fits.get(figure.series)
    if fitted is not None and not _is_linear(fitted, figure.size):
        largest = fitted.sizes[-1]
        method = (
            f'no line at {", ".join(map(str, fitted.sizes))};'
            f' residual {100 * fitted.residual:.1f}%'
        )
        last = singles[figure.series.replace('*', str(largest))]
        value_text = f'{_number(last.value)} {last.unit} at {largest}'
        return method, value_text, 'not known'
    if fitted is not None:
        value = fitted.predict(figure.size) * figure.factor
        method = (
            f'{_number(fitted.slope)} {fitted.unit} each at'
            f' {", ".join(map(str, fitted.sizes))};'
            f' residual {100 * fitted.residual:.1f}%'
        )
    elif figure.series in singles:
        single = singles[figure.series]
        value = single.value * figure.factor
        method = f'{_number(single.value)} {single.unit}, one size'
    else:
        return 'not measured', '', 'not measured'
    value_text = f'{_number(value)} {figure.unit}'
    return method, value_text, _compare_with_bound(value, figure)


def rows(results: typing.Sequence[Measured]) -> list[tuple[str, ...]]:
    """Return a row for each figure of each role."""
    fits = fit_all(results)
    singles = results_by_name(results)
    table_rows = []
    for role in roles.ROLES:
        for figure in role.figures:
            method, value, verdict = _evaluate_figure(figure, fits, singles)
            table_rows.append(
                (role.name, figure.description, method, value, verdict)
            )
    return table_rows


def table(results: typing.Sequence[Measured]) -> str:
    """Return the table in Markdown."""
    headings = ('role', 'figure', 'measured', 'at target size', 'verdict')
    lines = [headings, ('---',) * len(headings), *rows(results)]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def read(lines: typing.Iterable[str]) -> list[Measured]:
    """Parse the result lines of a benchmark run; skip other lines."""
    return [
        msgspec.json.decode(line, type=Measured)
        for line in lines
        if line.startswith('{')
    ]


def main() -> int:
    """Print the table for the results on standard input."""
    print(table(read(sys.stdin)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
