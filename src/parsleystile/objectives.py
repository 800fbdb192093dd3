"""Service-level objectives and the burn of their error budgets."""

import dataclasses
import enum
import typing

import msgspec

from parsleystile import burn
from parsleystile import ids

Ratio = typing.Annotated[float, msgspec.Meta(gt=0, lt=1)]
Millis = typing.Annotated[int, msgspec.Meta(ge=1000, le=600_000)]


class Objectives(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Service-level objectives of the fleet.

    Attributes:
        goodput_ratio: Minimum ratio of answered to demanded root requests.
        worst_organisation_ratio: The same for the worst-served organisation.
        refused_inside_rate_ratio: Maximum ratio of demanded requests
            refused although their organisation was inside its rate.
        recovery_ms: Maximum time in a row with goodput below
            ``goodput_ratio``.
    """

    goodput_ratio: Ratio = 0.99
    worst_organisation_ratio: Ratio = 0.95
    refused_inside_rate_ratio: Ratio = 0.001
    recovery_ms: Millis = 5000


class Objective(enum.Enum):
    """Names of the objectives in reports."""

    GOODPUT = 'goodput of whole requests'
    WORST_ORGANISATION = 'worst-served organisation'
    REFUSED_INSIDE_RATE = 'refusals inside rate'
    RECOVERY = 'recovery time'


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBurn:
    """Burn of the error budget of one objective in one window.

    Attributes:
        window: Name of the window.
        demanded: Requests that the service should have answered.
        missed: Those of them that count against the objective.
        ratio: Missed over demanded; 0 if nothing was demanded.
        rate: Burn rate: misses over the misses that the objective allows.
            Above 1 the budget of the window is overspent.
        subject: The organisation measured; empty for all.
    """

    window: str
    demanded: int
    missed: int
    ratio: float
    rate: float
    subject: str = ''


def compute_burn(
    window: str,
    demanded: int,
    missed: int,
    allowed_ratio: float,
    subject: str = '',
) -> BudgetBurn:
    """Compute the burn of a budget of ``allowed_ratio`` misses."""
    ratio = missed / demanded if demanded else 0.0
    return BudgetBurn(
        window, demanded, missed, ratio, ratio / allowed_ratio, subject
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Total:
    """Sum of the counts of several nodes.

    Attributes:
        nodes: Number of nodes summed.
        windows: One row of counts per window of ``burn.WINDOWS``.
        series: Rows of the buckets of ``burn.SERIES_WINDOW``, newest first.
        rate_series: Demanded and rate limited in the buckets of
            ``burn.RATE_WINDOW``, newest first.
        recent: Demanded and good of each second, newest first.
        latency: Histogram of answers by the bit length of their latency in
            milliseconds.
        reasons: Refusals by reason over ``burn.SERIES_WINDOW``.
    """

    nodes: int
    windows: tuple[burn.Row, ...]
    series: tuple[burn.Row, ...]
    rate_series: tuple[burn.Row, ...]
    recent: tuple[burn.Row, ...]
    latency: burn.Row
    reasons: dict[str, int]


def _sum_columns(rows: typing.Iterable[typing.Sequence[int]]) -> list[int]:
    return [sum(column) for column in zip(*rows, strict=True)]


def _sum_tables(
    tables: list[list[burn.Row]], rows: int, columns: int
) -> tuple[burn.Row, ...]:
    if not tables:
        return tuple([0] * columns for _ in range(rows))
    return tuple(_sum_columns(column) for column in zip(*tables, strict=True))


def sum_snapshots(
    snapshots: typing.Sequence[burn.Snapshot],
    organisation: ids.OrganisationId | None = None,
) -> Total:
    """Sum snapshots, of one organisation or of all.

    ``recent`` and ``latency`` always cover all organisations, because they
    are not counted by organisation.
    """
    burns = [
        total
        for snapshot in snapshots
        for name, total in snapshot.organisations.items()
        if organisation is None or name == organisation
    ]
    reasons: dict[str, int] = {}
    for organisation_burn in burns:
        for name, count in organisation_burn.reasons.items():
            reasons[name] = reasons.get(name, 0) + count
    columns = burn.COUNTER_COUNT
    series = burn.WINDOWS[burn.SERIES_WINDOW].buckets
    return Total(
        nodes=len(snapshots),
        windows=_sum_tables(
            [b.windows for b in burns], len(burn.WINDOWS), columns
        ),
        series=_sum_tables([b.series for b in burns], series, columns),
        rate_series=_sum_tables(
            [b.rate_series for b in burns],
            burn.WINDOWS[burn.RATE_WINDOW].buckets,
            2,
        ),
        recent=_sum_tables(
            [s.recent for s in snapshots], burn.RECENT_SECONDS, 2
        ),
        latency=_sum_columns([s.latency for s in snapshots])
        if snapshots
        else [0] * burn.LATENCY_BUCKETS,
        reasons=reasons,
    )


def goodput_burns(
    fleet_total: Total, objectives: Objectives
) -> list[BudgetBurn]:
    """Return the burn of the goodput objective in each window."""
    return [
        _goodput_burn(window.name, row, objectives.goodput_ratio)
        for window, row in zip(burn.WINDOWS, fleet_total.windows, strict=True)
    ]


def _goodput_burn(
    window: str, row: burn.Row, objective: float, subject: str = ''
) -> BudgetBurn:
    demanded = row[burn.Count.DEMANDED]
    missed = demanded - row[burn.Count.GOOD]
    return compute_burn(window, demanded, missed, 1 - objective, subject)


def worst_organisation_burns(
    by_organisation: dict[ids.OrganisationId, Total], objectives: Objectives
) -> list[BudgetBurn]:
    """Return the burn of the worst-served organisation in each window."""
    allowed = objectives.worst_organisation_ratio
    burns = []
    for index, window in enumerate(burn.WINDOWS):
        candidates = [
            _goodput_burn(window.name, total.windows[index], allowed, name)
            for name, total in sorted(by_organisation.items())
        ]
        idle = compute_burn(window.name, 0, 0, 1 - allowed)
        burns.append(max(candidates, key=lambda b: b.ratio, default=idle))
    return burns


def refused_inside_rate_burns(
    fleet_total: Total, objectives: Objectives, refused_inside_rate: int = 0
) -> list[BudgetBurn]:
    """Return the burn by refusals inside the rate in each window.

    Args:
        fleet_total: Sum of all nodes.
        objectives: The objectives in force.
        refused_inside_rate: Erroneous rate-limit refusals, counted by
            ``count_refused_inside_rate`` over ``burn.RATE_WINDOW``. As the
            shortest window, it is part of every window.
    """
    burns = []
    for window, row in zip(burn.WINDOWS, fleet_total.windows, strict=True):
        burns.append(
            compute_burn(
                window.name,
                row[burn.Count.DEMANDED] + refused_inside_rate,
                row[burn.Count.NOT_RUN] + refused_inside_rate,
                objectives.refused_inside_rate_ratio,
            )
        )
    return burns


def count_refused_inside_rate(
    rate_series: typing.Sequence[burn.Row], rate_per_s: float, burst: int
) -> int:
    """Return a lower bound of the rate-limit refusals made in error.

    A token bucket holds the burst plus the refill since it was last full,
    less the tokens taken since. The refusals of a time bucket count as
    errors only if a token was left for every time at which the token bucket
    can last have been full. The time buckets of different nodes may be off
    by one, so requests admitted in adjacent buckets count as taken.

    Args:
        rate_series: Demanded and rate-limited requests of each time bucket,
            newest first.
        rate_per_s: Rate limit of the organisation in requests per second.
        burst: Burst of the organisation in requests.
    """
    admitted = [row[0] for row in reversed(rate_series)]
    refused = [row[1] for row in reversed(rate_series)]
    width_s = burn.WINDOWS[burn.RATE_WINDOW].bucket_ms / 1000
    refill = rate_per_s * width_s
    return sum(
        count
        for index, count in enumerate(refused)
        if count and _min_tokens(admitted, index, refill, burst) >= 1
    )


def _min_tokens(
    admitted: list[int], index: int, refill: float, burst: int
) -> float:
    """Return the minimum number of tokens that can have been left."""
    # The level before the oldest time bucket is unknown: assume empty.
    minimum = index * refill - sum(admitted[: index + 2])
    taken_since = sum(admitted[index + 1 : index + 2])
    for full_index in range(index, -1, -1):
        taken_since += admitted[full_index]
        taken_before = admitted[full_index - 1] if full_index else 0
        refilled = max(0, index - full_index - 1) * refill
        minimum = min(minimum, burst + refilled - taken_since - taken_before)
    return minimum


def longest_dip_ms(
    recent: typing.Sequence[burn.Row], goodput_ratio: float
) -> float:
    """Return the longest time in a row with goodput below the objective.

    Seconds without demand do not end a dip, because they do not show that
    the service has recovered.
    """
    longest = dip = pending = 0
    for demanded, good in reversed(recent):
        if not demanded:
            pending += bool(dip)
        elif good < goodput_ratio * demanded:
            dip += 1 + pending
            pending = 0
            longest = max(longest, dip)
        else:
            dip = pending = 0
    return longest * burn.SECOND_MS


def recovery_burn(fleet_total: Total, objectives: Objectives) -> BudgetBurn:
    """Return the burn by the longest dip in ``recent``.

    ``missed`` is the duration of the dip in milliseconds.
    """
    dip_ms = longest_dip_ms(fleet_total.recent, objectives.goodput_ratio)
    window = f'{burn.RECENT_SECONDS // 60} min'
    demanded = sum(row[0] for row in fleet_total.recent)
    rate = dip_ms / objectives.recovery_ms
    return BudgetBurn(window, demanded, int(dip_ms), 0.0, rate)


def percentile_ms(latency: burn.Row, quantile: float) -> float:
    """Return an upper bound of a latency quantile, a power of two."""
    remaining = quantile * sum(latency)
    for bits, count in enumerate(latency):
        remaining -= count
        if remaining <= 0:
            return float(2**bits)
    return float(2 ** len(latency))
