"""Checker: admitted calls stay within rate and burst in every window."""

import dataclasses
import itertools

TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True)
class Limit:
    """A rate and burst that are in force from ``from_ms`` on."""

    from_ms: float
    rate_per_s: float
    burst: float


def find_excess(times_ms, limits, grace_ms=0.0):
    """Return the first time that breaks the envelope; None if none does.

    A token bucket that starts full runs dry just when some window holds
    more than its rate and burst. A limit that was replaced may still be
    spent for ``grace_ms``.
    """
    level = limits[0].burst
    before_ms = limits[0].from_ms
    for at_ms in sorted(times_ms):
        for start_ms, end_ms, limit in _spans(limits, grace_ms):
            passed_ms = min(at_ms, end_ms) - max(before_ms, start_ms)
            if passed_ms > 0:
                grown = level + limit.rate_per_s * passed_ms / 1e3
                level = min(limit.burst, grown)
        level -= 1.0
        before_ms = at_ms
        if level < -TOLERANCE:
            return at_ms
    return None


def _spans(limits, grace_ms):
    """Return spans of time, each with the widest limit that holds in it."""
    edges = {limit.from_ms for limit in limits}
    edges |= {limit.from_ms + grace_ms for limit in limits[1:]}
    spans = []
    for start, end in itertools.pairwise([*sorted(edges), float('inf')]):
        held = []
        for i, limit in enumerate(limits):
            until = float('inf')
            if i + 1 < len(limits):
                until = limits[i + 1].from_ms + grace_ms
            if limit.from_ms <= start < until:
                held.append(limit)
        rate_per_s = max(limit.rate_per_s for limit in held)
        burst = max(limit.burst for limit in held)
        spans.append((start, end, Limit(start, rate_per_s, burst)))
    return spans
