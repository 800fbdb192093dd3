"""The service-level burn report and its text for a terminal."""

import dataclasses
import typing

import msgspec

from parsleystile import burn
from parsleystile import ids
from parsleystile import objectives
from parsleystile import render

_SHOWN_REASONS = 8
_OPEN_ROUTES = '(open routes)'


class ObjectiveResult(msgspec.Struct, frozen=True, kw_only=True):
    """One objective in one window."""

    objective: str
    window: str
    subject: str
    demanded: int
    missed: int
    goal: str
    measured: str
    burn_rate: float


class GroupResult(msgspec.Struct, frozen=True, kw_only=True):
    """How an organisation or a failure domain fared in each window.

    Attributes:
        goodput: Answered over demanded in each window; None if idle.
        refused_inside_rate: Refusals for rate in the first window that
            were wrong beyond doubt; None where no rate is known.
    """

    name: str
    demanded: list[int]
    good: list[int]
    goodput: list[float | None]
    not_run: list[int]
    unknown: list[int]
    over_rate: list[int]
    refused_inside_rate: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate and burst of an organisation across the fleet."""

    rate_per_s: float
    burst: int


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that the report shows.

    Attributes:
        series: ``[demanded, good]`` of each minute of the last hour by
            failure domain, newest first.
        recent: ``[demanded, good]`` of each second, newest first.
    """

    nodes: int
    nodes_missing: int
    windows: list[str]
    lines: list[ObjectiveResult]
    organisations: list[GroupResult]
    domains: list[GroupResult]
    reasons: dict[str, int]
    latency_p50_ms: float
    latency_p99_ms: float
    series: dict[str, list[list[int]]]
    recent: list[list[int]]


def _percent(ratio: float) -> str:
    return f'{100 * ratio:.3f}%'


def _line(
    objective: objectives.Objective, found: objectives.BudgetBurn, goal: str
) -> ObjectiveResult:
    if objective is objectives.Objective.RECOVERY:
        measured = f'{found.missed / 1000:.0f} s'
    elif objective is objectives.Objective.REFUSED_INSIDE_RATE:
        measured = _percent(found.ratio)
    else:
        measured = _percent(1 - found.ratio)
    subject = ''
    if objective is objectives.Objective.WORST_ORGANISATION and found.missed:
        subject = found.subject or _OPEN_ROUTES
    return ObjectiveResult(
        objective=objective.value,
        window=found.window,
        subject=subject,
        demanded=found.demanded,
        missed=found.missed,
        goal=goal,
        measured=measured if found.demanded else 'idle',
        burn_rate=round(found.rate, 3),
    )


def _lines(
    whole: objectives.Total,
    by_organisation: dict[ids.OrganisationId, objectives.Total],
    goals: objectives.Objectives,
    wrong: int,
) -> list[ObjectiveResult]:
    kinds = objectives.Objective
    goodput = f'at least {_percent(goals.goodput_ratio)}'
    worst = f'at least {_percent(goals.worst_organisation_ratio)}'
    refused = f'at most {_percent(goals.refused_inside_rate_ratio)}'
    recovery = f'at most {goals.recovery_ms / 1000:.0f} s'
    lines = [
        _line(kinds.GOODPUT, found, goodput)
        for found in objectives.goodput_burns(whole, goals)
    ]
    lines += [
        _line(kinds.WORST_ORGANISATION, found, worst)
        for found in objectives.worst_organisation_burns(
            by_organisation, goals
        )
    ]
    lines += [
        _line(kinds.REFUSED_INSIDE_RATE, found, refused)
        for found in objectives.refused_inside_rate_burns(whole, goals, wrong)
    ]
    found = objectives.recovery_burn(whole, goals)
    return [*lines, _line(kinds.RECOVERY, found, recovery)]


def _share(
    name: str, total: objectives.Total, wrong: int | None = None
) -> GroupResult:
    def column(count: burn.Count) -> list[int]:
        return [row[count] for row in total.windows]

    demanded = column(burn.Count.DEMANDED)
    good = column(burn.Count.GOOD)
    return GroupResult(
        name=name,
        demanded=demanded,
        good=good,
        goodput=[
            round(g / d, 6) if d else None
            for g, d in zip(good, demanded, strict=True)
        ],
        not_run=column(burn.Count.NOT_RUN),
        unknown=column(burn.Count.UNKNOWN),
        over_rate=column(burn.Count.OVER_RATE),
        refused_inside_rate=wrong,
    )


def _by_domain(
    snapshots: typing.Iterable[burn.Snapshot],
) -> dict[str, objectives.Total]:
    groups: dict[str, list[burn.Snapshot]] = {}
    for snapshot in snapshots:
        groups.setdefault(snapshot.failure_domain, []).append(snapshot)
    return {
        name: objectives.sum_snapshots(group)
        for name, group in sorted(groups.items())
    }


def _pairs(total: objectives.Total) -> list[list[int]]:
    return [
        [row[burn.Count.DEMANDED], row[burn.Count.GOOD]]
        for row in total.series
    ]


def build_report(
    snapshots: typing.Sequence[burn.Snapshot],
    goals: objectives.Objectives,
    nodes_missing: int = 0,
    limits: typing.Mapping[ids.OrganisationId, Limit] | None = None,
) -> Report:
    """Judge the counts of many nodes.

    Args:
        snapshots: One from each node that answered.
        goals: The objectives in force.
        nodes_missing: How many nodes did not answer.
        limits: Rate and burst of each organisation.
    """
    limits = limits or {}
    whole = objectives.sum_snapshots(snapshots)
    names = sorted({n for s in snapshots for n in s.organisations})
    by_organisation = {
        n: objectives.sum_snapshots(snapshots, n) for n in names
    }
    by_domain = _by_domain(snapshots)
    wrong = {
        name: objectives.count_refused_inside_rate(
            found.rate_series, limits[name].rate_per_s, limits[name].burst
        )
        for name, found in by_organisation.items()
        if name in limits
    }
    reasons = sorted(whole.reasons.items(), key=lambda r: (-r[1], r[0]))
    return Report(
        nodes=whole.nodes,
        nodes_missing=nodes_missing,
        windows=[window.name for window in burn.WINDOWS],
        lines=_lines(whole, by_organisation, goals, sum(wrong.values())),
        organisations=[
            _share(name or _OPEN_ROUTES, found, wrong.get(name))
            for name, found in by_organisation.items()
        ],
        domains=[_share(name, found) for name, found in by_domain.items()],
        reasons=dict(reasons),
        latency_p50_ms=objectives.percentile_ms(whole.latency, 0.5),
        latency_p99_ms=objectives.percentile_ms(whole.latency, 0.99),
        series={name: _pairs(found) for name, found in by_domain.items()},
        recent=[list(row) for row in whole.recent],
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A heading with a table."""

    heading: str
    table: render.Table


def _verdict(rate: float) -> str:
    return 'overspent' if rate > 1 else 'within'


def _shares_table(
    kind: str, windows: list[str], shares: list[GroupResult]
) -> render.Table:
    headings = [kind, *(f'good {window}' for window in windows)]
    headings += [
        'demanded 1 h',
        'not run 1 h',
        'unknown 1 h',
        'over rate 1 h',
        'refused inside rate 5 min',
    ]
    at = burn.SERIES_WINDOW
    rows = [
        (
            share.name,
            *('' if g is None else _percent(g) for g in share.goodput),
            share.demanded[at],
            share.not_run[at],
            share.unknown[at],
            share.over_rate[at],
            share.refused_inside_rate,
        )
        for share in shares
    ]
    return render.table(headings, rows)


def sections(report: Report) -> list[Section]:
    """Return the tables of a report, in their order."""
    lines = [
        (
            line.objective,
            line.window,
            line.goal,
            line.measured,
            f'{line.burn_rate:.2f}',
            _verdict(line.burn_rate),
            line.subject,
        )
        for line in report.lines
    ]
    headings = (
        'objective',
        'window',
        'goal',
        'measured',
        'burn',
        'budget',
        'who',
    )
    reasons = list(report.reasons.items())[:_SHOWN_REASONS]
    return [
        Section('Objectives', render.table(headings, lines)),
        Section(
            'Organisations',
            _shares_table(
                'organisation', report.windows, report.organisations
            ),
        ),
        Section(
            'Failure domains',
            _shares_table('failure domain', report.windows, report.domains),
        ),
        Section(
            'Refusals in the last hour',
            render.table(('reason', 'calls'), reasons),
        ),
    ]


def summary(report: Report) -> str:
    """Return what the report rests on, in one line."""
    missing = ''
    if report.nodes_missing:
        missing = f'; {report.nodes_missing} nodes did not answer'
    return (
        f'{report.nodes} nodes{missing}; answers within'
        f' {report.latency_p50_ms:.0f} ms (half) and'
        f' {report.latency_p99_ms:.0f} ms (99 in 100)'
    )


def render_text(report: Report) -> str:
    """Return the report for a terminal."""
    parts = [f'Service-level burn: {summary(report)}']
    for section in sections(report):
        parts.append(f'{section.heading}\n{render.text(section.table)}')
    return '\n\n'.join(parts)
