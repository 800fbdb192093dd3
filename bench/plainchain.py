"""The baseline of the goodput benchmark: a chain with plain retries."""

import random
import typing

from bench import fakes
from bench import loop as loops

HOP_RETRIES = 3
HOP_TIMEOUT_MS = 1000.0


class PlainChain:
    """A chain whose hops have only a timeout and retries of their own."""

    def __init__(
        self,
        loop: loops.EventLoop,
        rng: random.Random,
        tiers: list[fakes.Tier],
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.started = [0] * len(tiers)
        self._targets = [
            [fakes.Target(loop, rng, tier) for _ in range(tier.targets)]
            for tier in tiers
        ]

    def targets(self, tier: int) -> list[fakes.Target]:
        """Return the targets of the service at a tier."""
        return self._targets[tier]

    def request(self, root: fakes.Request) -> None:
        """Accept a request."""
        self.loop.call_later(
            root.deadline_ms - self.loop.now_ms, root.end, False
        )
        self._call(0, 0, root.end)

    def _call(
        self, tier: int, attempt: int, on_end: typing.Callable[[bool], None]
    ) -> None:
        has_finished = False

        def finish(is_ok: bool) -> None:
            nonlocal has_finished
            if has_finished:
                return
            has_finished = True
            if is_ok or attempt == HOP_RETRIES:
                on_end(is_ok)
            else:
                self._call(tier, attempt + 1, on_end)

        target = self.rng.choice(self._targets[tier])
        self.started[tier] += 1
        self.loop.call_later(
            fakes.HOP_MS,
            target.submit,
            self._on_work_done,
            tier,
            target,
            finish,
        )
        self.loop.call_later(HOP_TIMEOUT_MS, finish, False)

    def _on_work_done(
        self,
        tier: int,
        target: fakes.Target,
        finish: typing.Callable[[bool], None],
    ) -> None:
        def done(is_ok: bool) -> None:
            target.release()
            self.loop.call_later(fakes.HOP_MS, finish, is_ok)

        if tier + 1 == len(self._targets):
            done(True)
        else:
            self._call(tier + 1, 0, done)
