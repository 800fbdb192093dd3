"""Service-level objectives and how fast their budgets burn."""

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
    """What the fleet owes its callers.

    Attributes:
        goodput_ratio: Least share of demanded root requests answered.
        worst_organisation_ratio: The same for the worst-served one.
        refused_inside_rate_ratio: Largest share of demanded requests
            refused although their organisation was inside its rate.
        recovery_ms: Longest time below ``goodput_ratio`` in one go.
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
class Burn:
    """How an objective fared in one window.

    Attributes:
        window: Name of the window.
        demanded: Requests that the service owed an answer.
        missed: Those of them that count against the objective.
        ratio: Share of misses; 0 if nothing was demanded.
        rate: Misses over the misses that the objective allows; above 1
            the budget of the window is overspent.
        subject: The organisation judged; empty for all.
    """

    window: str
    demanded: int
    missed: int
    ratio: float
    rate: float
    subject: str = ''


def burn_of(
    window: str,
    demanded: int,
    missed: int,
    allowed_ratio: float,
    subject: str = '',
) -> Burn:
    """Work out one burn; ``allowed_ratio`` is the budget for misses."""
    ratio = missed / demanded if demanded else 0.0
    return Burn(
        window, demanded, missed, ratio, ratio / allowed_ratio, subject
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Total:
    """Sum of the counts of several nodes.

    Attributes:
        nodes: How many nodes were summed.
        windows: A row of counts for each of ``burn.WINDOWS``.
        series: Rows of the buckets of ``burn.SERIES_WINDOW``, newest first.
        rate_series: Demanded and rate limited in the buckets of
            ``burn.RATE_WINDOW``, newest first.
        recent: Demanded and good of each second, newest first.
        latency: Answers by bit length of their milliseconds.
        reasons: Refusals by reason over ``burn.SERIES_WINDOW``.
    """

    nodes: int
    windows: tuple[burn.Row, ...]
    series: tuple[burn.Row, ...]
    rate_series: tuple[burn.Row, ...]
    recent: tuple[burn.Row, ...]
    latency: burn.Row
    reasons: dict[str, int]


def _add(rows: typing.Iterable[typing.Sequence[int]]) -> list[int]:
    return [sum(column) for column in zip(*rows, strict=True)]


def _add_tables(
    tables: list[list[burn.Row]], rows: int, width: int
) -> tuple[burn.Row, ...]:
    if not tables:
        return tuple([0] * width for _ in range(rows))
    return tuple(_add(column) for column in zip(*tables, strict=True))


def total(
    snapshots: typing.Sequence[burn.Snapshot],
    organisation: ids.OrganisationId | None = None,
) -> Total:
    """Sum snapshots, of one organisation or of all.

    Seconds and latencies are not kept by organisation; they are of all.
    """
    parts = [
        found
        for snapshot in snapshots
        for name, found in snapshot.organisations.items()
        if organisation is None or name == organisation
    ]
    reasons: dict[str, int] = {}
    for part in parts:
        for name, count in part.reasons.items():
            reasons[name] = reasons.get(name, 0) + count
    width = burn.COUNTS
    series = burn.WINDOWS[burn.SERIES_WINDOW].buckets
    return Total(
        nodes=len(snapshots),
        windows=_add_tables(
            [p.windows for p in parts], len(burn.WINDOWS), width
        ),
        series=_add_tables([p.series for p in parts], series, width),
        rate_series=_add_tables(
            [p.rate_series for p in parts],
            burn.WINDOWS[burn.RATE_WINDOW].buckets,
            2,
        ),
        recent=_add_tables(
            [s.recent for s in snapshots], burn.RECENT_SECONDS, 2
        ),
        latency=_add([s.latency for s in snapshots])
        if snapshots
        else [0] * burn.LATENCY_BUCKETS,
        reasons=reasons,
    )


def goodput_burns(whole: Total, objectives: Objectives) -> list[Burn]:
    """Judge the goodput of whole requests, one burn a window."""
    return [
        _goodput(window.name, row, objectives.goodput_ratio)
        for window, row in zip(burn.WINDOWS, whole.windows, strict=True)
    ]


def _goodput(
    window: str, row: burn.Row, objective: float, subject: str = ''
) -> Burn:
    demanded = row[burn.Count.DEMANDED]
    missed = demanded - row[burn.Count.GOOD]
    return burn_of(window, demanded, missed, 1 - objective, subject)


def worst_burns(
    by_organisation: dict[ids.OrganisationId, Total], objectives: Objectives
) -> list[Burn]:
    """Judge the organisation that fared worst in each window."""
    allowed = objectives.worst_organisation_ratio
    burns = []
    for index, window in enumerate(burn.WINDOWS):
        candidates = [
            _goodput(window.name, found.windows[index], allowed, name)
            for name, found in sorted(by_organisation.items())
        ]
        idle = burn_of(window.name, 0, 0, 1 - allowed)
        burns.append(max(candidates, key=lambda b: b.ratio, default=idle))
    return burns


def refusal_burns(
    whole: Total, objectives: Objectives, refused_inside_rate: int = 0
) -> list[Burn]:
    """Judge refusals of requests that were inside the rate.

    Args:
        whole: Sum of all nodes.
        objectives: The objectives in force.
        refused_inside_rate: Refusals for rate that were wrong, found by
            ``refused_inside`` over ``burn.RATE_WINDOW``.
    """
    burns = []
    # Every window holds the shortest.
    wrong = refused_inside_rate
    for window, row in zip(burn.WINDOWS, whole.windows, strict=True):
        burns.append(
            burn_of(
                window.name,
                row[burn.Count.DEMANDED] + wrong,
                row[burn.Count.NOT_RUN] + wrong,
                objectives.refused_inside_rate_ratio,
            )
        )
    return burns


def refused_inside(
    rate_series: typing.Sequence[burn.Row], rate_per_s: float, burst: int
) -> int:
    """Return how many refusals for rate were wrong beyond doubt.

    A token bucket holds the burst and the refill since it was last full,
    less what was taken since. Refusals of a bucket of time are wrong if a
    token was left whenever it was last full. Nodes' buckets of time may
    be off by one, so what their neighbours let through counts as taken.

    Args:
        rate_series: Demanded and rate limited, newest first.
        rate_per_s: The organisation's rate.
        burst: Its burst.
    """
    taken = [row[0] for row in reversed(rate_series)]
    refused = [row[1] for row in reversed(rate_series)]
    width_s = burn.WINDOWS[burn.RATE_WINDOW].bucket_ms / 1000
    refill = rate_per_s * width_s
    return sum(
        count
        for at, count in enumerate(refused)
        if count and _least_tokens(taken, at, refill, burst) >= 1
    )


def _least_tokens(
    taken: list[int], at: int, refill: float, burst: int
) -> float:
    """Return the least number of tokens that may have been left."""
    # What came before the oldest bucket of time is not known.
    least = at * refill - sum(taken[: at + 2])
    since = sum(taken[at + 1 : at + 2])
    for full in range(at, -1, -1):
        since += taken[full]
        before = taken[full - 1] if full else 0
        refilled = max(0, at - full - 1) * refill
        least = min(least, burst + refilled - since - before)
    return least


def longest_dip_ms(
    recent: typing.Sequence[burn.Row], goodput_ratio: float
) -> float:
    """Return the longest time in a row with goodput below the objective.

    Seconds without demand end no dip: nobody asked, so nothing is known
    to have recovered.
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


def recovery_burn(whole: Total, objectives: Objectives) -> Burn:
    """Judge the longest dip of the latest seconds; misses are in ms."""
    dip_ms = longest_dip_ms(whole.recent, objectives.goodput_ratio)
    window = f'{burn.RECENT_SECONDS // 60} min'
    demanded = sum(row[0] for row in whole.recent)
    rate = dip_ms / objectives.recovery_ms
    return Burn(window, demanded, int(dip_ms), 0.0, rate)


def percentile_ms(latency: burn.Row, share: float) -> float:
    """Return an upper bound of a latency percentile, a power of two."""
    left = share * sum(latency)
    for bits, count in enumerate(latency):
        left -= count
        if left <= 0:
            return float(2**bits)
    return float(2 ** len(latency))
