"""The service-level burn report and its text for a terminal."""

import dataclasses
import typing

import msgspec

from parsleystile import burn
from parsleystile import ids
from parsleystile import objectives
from parsleystile import render

_MAX_REASONS_SHOWN = 8
_OPEN_ROUTES = '(open routes)'


class ObjectiveResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one objective in one window."""

    objective: str
    window: str
    subject: str
    demanded: int
    missed: int
    goal: str
    measured: str
    burn_rate: float


class GroupResult(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of an organisation or a failure domain in each window.

    Attributes:
        goodput: Answered over demanded in each window; None if idle.
        refused_inside_rate: Lower bound of the rate-limit refusals made in
            error in ``burn.RATE_WINDOW``; None if no rate is known.
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
    """Rate limit of an organisation across the fleet."""

    rate_per_s: float
    burst: int


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The contents of a burn report.

    Attributes:
        series: ``[demanded, good]`` of each minute of the last hour, newest
            first, by failure domain.
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


def _objective_result(
    objective: objectives.Objective,
    burn_result: objectives.BudgetBurn,
    goal: str,
) -> ObjectiveResult:
    if objective is objectives.Objective.RECOVERY:
        measured = f'{burn_result.missed / 1000:.0f} s'
    elif objective is objectives.Objective.REFUSED_INSIDE_RATE:
        measured = _percent(burn_result.ratio)
    else:
        measured = _percent(1 - burn_result.ratio)
    subject = ''
    if (
        objective is objectives.Objective.WORST_ORGANISATION
        and burn_result.missed
    ):
        subject = burn_result.subject or _OPEN_ROUTES
    return ObjectiveResult(
        objective=objective.value,
        window=burn_result.window,
        subject=subject,
        demanded=burn_result.demanded,
        missed=burn_result.missed,
        goal=goal,
        measured=measured if burn_result.demanded else 'idle',
        burn_rate=round(burn_result.rate, 3),
    )


def _objective_results(
    fleet_total: objectives.Total,
    by_organisation: dict[ids.OrganisationId, objectives.Total],
    goals: objectives.Objectives,
    refused_inside_rate: int,
) -> list[ObjectiveResult]:
    kinds = objectives.Objective
    goodput = f'at least {_percent(goals.goodput_ratio)}'
    worst = f'at least {_percent(goals.worst_organisation_ratio)}'
    refused = f'at most {_percent(goals.refused_inside_rate_ratio)}'
    recovery = f'at most {goals.recovery_ms / 1000:.0f} s'
    lines = [
        _objective_result(kinds.GOODPUT, burn_result, goodput)
        for burn_result in objectives.goodput_burns(fleet_total, goals)
    ]
    lines += [
        _objective_result(kinds.WORST_ORGANISATION, burn_result, worst)
        for burn_result in objectives.worst_organisation_burns(
            by_organisation, goals
        )
    ]
    lines += [
        _objective_result(kinds.REFUSED_INSIDE_RATE, burn_result, refused)
        for burn_result in objectives.refused_inside_rate_burns(
            fleet_total, goals, refused_inside_rate
        )
    ]
    burn_result = objectives.recovery_burn(fleet_total, goals)
    return [*lines, _objective_result(kinds.RECOVERY, burn_result, recovery)]


def _group_result(
    name: str, total: objectives.Total, refused_inside_rate: int | None = None
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
        refused_inside_rate=refused_inside_rate,
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


def _demanded_and_good(total: objectives.Total) -> list[list[int]]:
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
    """Build a report from the counts of several nodes.

    Args:
        snapshots: One snapshot from each node that answered.
        goals: The objectives in force.
        nodes_missing: Number of nodes that did not answer.
        limits: Rate limit of each organisation.
    """
    limits = limits or {}
    fleet_total = objectives.sum_snapshots(snapshots)
    names = sorted({n for s in snapshots for n in s.organisations})
    by_organisation = {
        n: objectives.sum_snapshots(snapshots, n) for n in names
    }
    by_domain = _by_domain(snapshots)
    refused_inside_rate = {
        name: objectives.count_refused_inside_rate(
            total.rate_series, limits[name].rate_per_s, limits[name].burst
        )
        for name, total in by_organisation.items()
        if name in limits
    }
    reasons = sorted(fleet_total.reasons.items(), key=lambda r: (-r[1], r[0]))
    return Report(
        nodes=fleet_total.nodes,
        nodes_missing=nodes_missing,
        windows=[window.name for window in burn.WINDOWS],
        lines=_objective_results(
            fleet_total,
            by_organisation,
            goals,
            sum(refused_inside_rate.values()),
        ),
        organisations=[
            _group_result(
                name or _OPEN_ROUTES, total, refused_inside_rate.get(name)
            )
            for name, total in by_organisation.items()
        ],
        domains=[
            _group_result(name, total) for name, total in by_domain.items()
        ],
        reasons=dict(reasons),
        latency_p50_ms=objectives.percentile_ms(fleet_total.latency, 0.5),
        latency_p99_ms=objectives.percentile_ms(fleet_total.latency, 0.99),
        series={
            name: _demanded_and_good(total)
            for name, total in by_domain.items()
        },
        recent=[list(row) for row in fleet_total.recent],
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A heading with a table."""

    heading: str
    table: render.Table


def _budget_state(rate: float) -> str:
    return 'overspent' if rate > 1 else 'within'


def _group_table(
    group_kind: str, windows: list[str], groups: list[GroupResult]
) -> render.Table:
    headings = [group_kind, *(f'good {window}' for window in windows)]
    headings += [
        'demanded 1 h',
        'not run 1 h',
        'unknown 1 h',
        'over rate 1 h',
        'refused inside rate 5 min',
    ]
    window_index = burn.SERIES_WINDOW
    rows = [
        (
            group.name,
            *('' if g is None else _percent(g) for g in group.goodput),
            group.demanded[window_index],
            group.not_run[window_index],
            group.unknown[window_index],
            group.over_rate[window_index],
            group.refused_inside_rate,
        )
        for group in groups
    ]
    return render.table(headings, rows)


def sections(report: Report) -> list[Section]:
    """Return the tables of a report in the order of display."""
    lines = [
        (
            result.objective,
            result.window,
            result.goal,
            result.measured,
            f'{result.burn_rate:.2f}',
            _budget_state(result.burn_rate),
            result.subject,
        )
        for result in report.lines
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
    reasons = list(report.reasons.items())[:_MAX_REASONS_SHOWN]
    return [
        Section('Objectives', render.table(headings, lines)),
        Section(
            'Organisations',
            _group_table('organisation', report.windows, report.organisations),
        ),
        Section(
            'Failure domains',
            _group_table('failure domain', report.windows, report.domains),
        ),
        Section(
            'Refusals in the last hour',
            render.table(('reason', 'calls'), reasons),
        ),
    ]


def summary(report: Report) -> str:
    """Return a line with the number of nodes and the latencies."""
    missing = ''
    if report.nodes_missing:
        missing = f'; {report.nodes_missing} nodes did not answer'
    return (
        f'{report.nodes} nodes{missing}; answers within'
        f' {report.latency_p50_ms:.0f} ms (half) and'
        f' {report.latency_p99_ms:.0f} ms (99 in 100)'
    )


def render_text(report: Report) -> str:
    """Return the report as text for a terminal."""
    parts = [f'Service-level burn: {summary(report)}']
    for section in sections(report):
        parts.append(f'{section.heading}\n{render.text(section.table)}')
    return '\n\n'.join(parts)
