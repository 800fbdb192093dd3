"""Benchmarks; ``python -m bench [NAME ...]`` prints JSON lines."""

import msgspec


class Result(msgspec.Struct, frozen=True):
    """One measured figure.

    Attributes:
        baseline: The same figure of a reference implementation, or the
            target; None if there is neither.
        ratio: ``value`` divided by ``baseline``.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    ratio: float | None = None


def compare(name: str, value: float, unit: str, baseline: float) -> Result:
    """Create a result with its ratio to a baseline."""
    ratio = value / baseline if baseline else None
    return Result(name, value, unit, baseline, ratio)
