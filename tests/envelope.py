"""Checks that admitted calls stay within rate and burst in every window."""

import dataclasses
import itertools

TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True)
class Limit:
    """Rate and burst in force from ``from_ms`` until the next limit."""

    from_ms: float
    rate_per_s: float
    burst: float


def find_excess(times_ms, limits, grace_ms=0.0):
    """Return the first time that exceeds the limits; None if none does.

    A token bucket that starts full is overdrawn exactly if some window has
    more calls than rate and burst allow. A replaced limit may still be used
    for ``grace_ms``.
    """
    level = limits[0].burst
    updated_ms = limits[0].from_ms
    for at_ms in sorted(times_ms):
        for start_ms, end_ms, limit in _spans(limits, grace_ms):
            elapsed_ms = min(at_ms, end_ms) - max(updated_ms, start_ms)
            if elapsed_ms > 0:
                refilled = level + limit.rate_per_s * elapsed_ms / 1e3
                level = min(limit.burst, refilled)
        level -= 1.0
        updated_ms = at_ms
        if level < -TOLERANCE:
            return at_ms
    return None


def _spans(limits, grace_ms):
    """Return time spans, each with the highest limit in force in it."""
    edges = {limit.from_ms for limit in limits}
    edges |= {limit.from_ms + grace_ms for limit in limits[1:]}
    spans = []
    for start, end in itertools.pairwise([*sorted(edges), float('inf')]):
        in_force = []
        for i, limit in enumerate(limits):
            until = float('inf')
            if i + 1 < len(limits):
                until = limits[i + 1].from_ms + grace_ms
            if limit.from_ms <= start < until:
                in_force.append(limit)
        rate_per_s = max(limit.rate_per_s for limit in in_force)
        burst = max(limit.burst for limit in in_force)
        spans.append((start, end, Limit(start, rate_per_s, burst)))
    return spans
