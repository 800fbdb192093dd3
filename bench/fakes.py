"""Fake targets and requests for simulated chains of services."""

import collections
import dataclasses
import random
import typing

from bench import loop as loops

HOP_MS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tier:
    """One service of the chain.

    Attributes:
        targets: Number of targets.
        workers: Calls that a target processes concurrently; others queue.
        own_ms: Mean processing time of a call without its child call.
    """

    targets: int
    workers: int
    own_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One attempt of a caller to get a request served."""

    organisation: str
    rank: float
    deadline_ms: float
    on_end: typing.Callable[[bool], None]
    has_ended: bool = False

    def end(self, is_ok: bool) -> None:
        """Report the first outcome to the caller; ignore later ones."""
        if not self.has_ended:
            self.has_ended = True
            self.on_end(is_ok)


class Target:
    """A server with a fixed number of workers and an unbounded queue."""

    def __init__(
        self, loop: loops.EventLoop, rng: random.Random, tier: Tier
    ) -> None:
        self._loop = loop
        self._rng = rng
        self._tier = tier
        self._busy = 0
        self._waiting: collections.deque = collections.deque()
        self.workers = tier.workers
        self.slowdown = 1.0
        # Additional slowdown per queued call and worker.
        self.thrash = 0.0

    def submit(self, work: typing.Callable, *args: typing.Any) -> None:
        """Call ``work`` once a worker has processed the call."""
        if self._busy >= self.workers:
            self._waiting.append((work, args))
            return
        self._busy += 1
        queue_per_worker = len(self._waiting) / self.workers
        mean_ms = self._tier.own_ms * self.slowdown
        mean_ms *= 1.0 + self.thrash * queue_per_worker
        own_ms = mean_ms * (0.5 + self._rng.expovariate(2.0))
        self._loop.call_later(own_ms, work, *args)

    def release(self) -> None:
        """Free the worker of a completed call."""
        self._busy -= 1
        if self._waiting:
            work, args = self._waiting.popleft()
            self.submit(work, *args)
