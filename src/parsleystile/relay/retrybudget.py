"""How often calls of a service may be sent to a second target.

Each node counts the calls that it sends first and those that it repeats, in
a sliding window. Repeats stay below a share of the node's own first sends
plus its part of a fleet-wide slack, so that the sum over all nodes keeps the
bound without any message.
"""

import collections
import dataclasses

from parsleystile import ids

_SLOTS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The budget of one service over the fleet.

    Attributes:
        share: Repeats for each first send.
        slack: Repeats beyond the share in each window.
        window_ms: Length of the window; any span of it counts.
    """

    share: float
    slack: float
    window_ms: float


class _Window:
    __slots__ = ('firsts', 'repeats', 'slot')

    def __init__(self) -> None:
        self.slot = 0
        self.firsts = collections.deque([0] * _SLOTS, _SLOTS)
        self.repeats = collections.deque([0] * _SLOTS, _SLOTS)

    def advance(self, slot: int) -> None:
        missed = min(slot - self.slot, _SLOTS)
        if missed > 0:
            self.slot = slot
            self.firsts.extend([0] * missed)
            self.repeats.extend([0] * missed)


class RetryBudget:
    """The budgets of one node, by service."""

    def __init__(self, bounds: Settings) -> None:
        self._bounds = bounds
        self._slot_ms = bounds.window_ms / (_SLOTS - 1)
        self._windows: dict[ids.ServiceName, _Window] = {}
        self._nodes = 1

    def set_nodes(self, nodes: int) -> None:
        """Divide the slack among so many nodes."""
        self._nodes = max(1, nodes)

    def first(self, service: ids.ServiceName, now_ms: float) -> None:
        """Count a call that is sent to its first target."""
        self._window(service, now_ms).firsts[-1] += 1

    def take(self, service: ids.ServiceName, now_ms: float) -> bool:
        """Spend one repeat; False if the budget is used up."""
        window = self._window(service, now_ms)
        allowed = (
            self._bounds.share * sum(window.firsts)
            + self._bounds.slack / self._nodes
        )
        if sum(window.repeats) + 1 > allowed:
            return False
        window.repeats[-1] += 1
        return True

    def _window(self, service: ids.ServiceName, now_ms: float) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.advance(int(now_ms / self._slot_ms))
        return window


def retry_budget(bounds: Settings) -> RetryBudget:
    """Create budgets that nothing was spent of."""
    return RetryBudget(bounds)
