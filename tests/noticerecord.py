"""What targets named in their answers, what they got, and the checks of it."""

import collections
import dataclasses

WINDOW_MS = 2_000.0
# A limit is not judged before this time after it was first named.
_STABLE_MS = 3_000.0
# A machine is bound this long after it has passed a limit on.
_HEARD_MS = 500.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
# A machine that has passed on that a target leaves sends it nothing later.
DRAIN_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at a target: when, and at which machine it began."""

    at_ms: float
    node: str
    sent_ms: float


@dataclasses.dataclass(slots=True)
class Spell:
    """A time in which a target names a limit or that it leaves.

    Attributes:
        limit_per_s: None if it says that it leaves.
        first_ms: When it first said so; inf before that.
        told_ms: When an answer with it went to each machine first, since the
            last end of that machine's process.
    """

    target: str
    limit_per_s: float | None
    first_ms: float = float('inf')
    told_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)

    def tell(self, node, at_ms):
        """Record an answer to a request that began at a machine."""
        self.first_ms = min(self.first_ms, at_ms)
        self.told_ms.setdefault(node, at_ms)

    def arrive(self, arrival):
        """Record a request if the rules count it."""
        told_ms = self.told_ms.get(arrival.node, float('inf'))
        if self.limit_per_s is None:
            is_counted = arrival.sent_ms > told_ms + DRAIN_MS
        else:
            is_counted = arrival.at_ms > told_ms + _HEARD_MS
            is_counted &= arrival.at_ms > self.first_ms + _STABLE_MS
        if is_counted:
            self.arrivals.append(arrival)

    def forget(self, node):
        """Record that a machine's process was ended or paused."""
        self.told_ms.pop(node, None)

    def violations(self):
        """Return a line for each broken rule."""
        if self.limit_per_s is None:
            for arrival in self.arrivals:
                yield f'{self.target}: left, and got one of {arrival.node}'
            return
        allowed = _LIMIT_FACTOR * self.limit_per_s * WINDOW_MS / 1e3
        allowed += _LIMIT_SLACK
        window = collections.deque()
        for arrival in self.arrivals:
            window.append(arrival.at_ms)
            while arrival.at_ms - window[0] > WINDOW_MS:
                window.popleft()
            if len(window) > allowed:
                yield (
                    f'{self.target}: named {self.limit_per_s}, got'
                    f' {len(window)}, {allowed:.0f} allowed'
                )
                return
