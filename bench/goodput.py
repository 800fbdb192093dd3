"""Goodput under load of a chain of services and of a plain chain."""

import collections
import dataclasses
import math
import random
import typing

import bench
from bench import chain
from bench import fakes
from bench import loop as loops
from bench import plainchain

# The third service is the bottleneck; the others have spare capacity.
TIERS = [
    fakes.Tier(2, 100, 5.0),
    fakes.Tier(2, 100, 5.0),
    fakes.Tier(2, 10, 40.0),
    fakes.Tier(2, 50, 5.0),
]
SLOW_TIER = 2
# A slot of the slow service is occupied for 40 ms of its own work, 5 ms of
# the child call and two hops of 1 ms.
CAPACITY_PER_S = 2 * 10 / 0.047
DEADLINE_MS = 1000.0
MAX_CALLER_ATTEMPTS = 6
CALLER_BACKOFF_MS = 100.0
BIN_MS = 250.0
SEED = 7
ORGANISATIONS = tuple(f'o{number}' for number in range(8))
# One organisation requests about 2.5 times the capacity, and each of the
# seven others 0.08 of it.
SKEWED_ORGANISATIONS = ORGANISATIONS[1:] + ORGANISATIONS[:1] * 31
SKEWED_LOAD_FACTOR = len(SKEWED_ORGANISATIONS) * 0.08
FACTORS = (0.5, 1.0, 2.0, 5.0)
WARM_UP_MS = 6_000.0
END_MS = 12_000.0


@dataclasses.dataclass(slots=True)
class Callers:
    """Callers that send at a rate and retry aggressively.

    Attributes:
        rate_per_s: Requests per second, without retries; may be changed at
            any time.
        completed_by_bin: Successful requests per bin of ``BIN_MS``.
        organisations: Each request belongs to one of these, drawn uniformly.
        requested: Requests by organisation, without retries.
        served: Successful requests by organisation.
    """

    loop: loops.EventLoop
    rng: random.Random
    target: chain.GuardedChain | plainchain.PlainChain
    rate_per_s: float
    completed_by_bin: dict[int, int] = dataclasses.field(default_factory=dict)
    requests: int = 0
    attempts: int = 0
    organisations: tuple[str, ...] = ORGANISATIONS
    requested: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def start(self) -> None:
        """Send the first request; the others follow."""
        self.loop.call_later(self._interval_ms(), self._send_next)

    def goodput_per_s(self, from_ms: float, until_ms: float) -> float:
        """Return successful requests per second in an interval of bins."""
        bins = range(int(from_ms / BIN_MS), int(until_ms / BIN_MS))
        completed = sum(
            self.completed_by_bin.get(bin_index, 0) for bin_index in bins
        )
        return completed / (until_ms - from_ms) * 1000.0

    def _interval_ms(self) -> float:
        return self.rng.expovariate(self.rate_per_s) * 1000.0

    def _send_next(self) -> None:
        self.requests += 1
        organisation = self.rng.choice(self.organisations)
        self.requested[organisation] += 1
        self._send(organisation, 1)
        self.loop.call_later(self._interval_ms(), self._send_next)

    def _send(self, organisation: str, attempt: int) -> None:
        self.attempts += 1

        def ended(is_ok: bool) -> None:
            if is_ok:
                bin_index = int(self.loop.now_ms / BIN_MS)
                self.completed_by_bin[bin_index] = (
                    self.completed_by_bin.get(bin_index, 0) + 1
                )
                self.served[organisation] += 1
            elif attempt < MAX_CALLER_ATTEMPTS:
                backoff_ms = self.rng.uniform(0.0, CALLER_BACKOFF_MS)
                self.loop.call_later(
                    backoff_ms, self._send, organisation, attempt + 1
                )

        rank = 1.0 + self.rng.random()
        deadline_ms = self.loop.now_ms + DEADLINE_MS
        self.target.request(
            fakes.Request(organisation, rank, deadline_ms, ended)
        )


def run() -> typing.Iterator[bench.Result]:
    """Measure goodput and recovery against the plain chain."""
    at_capacity_per_s = steady_goodput_per_s(True, 1.0)
    for factor in FACTORS:
        ours = steady_goodput_per_s(True, factor)
        plain = steady_goodput_per_s(False, factor)
        yield bench.Result(
            f'goodput_at_{factor:g}x_per_s',
            ours,
            '1/s',
            plain,
            ours / plain if plain else None,
        )
        if factor > 1.0:
            yield bench.Result(
                f'goodput_at_{factor:g}x_of_that_at_1x',
                ours / at_capacity_per_s,
                'ratio',
                0.9,
            )
    yield bench.Result(
        'worst_served_beside_a_greedy_organisation',
        min_served_ratio(True),
        'ratio',
        min_served_ratio(False),
    )
    for name, trigger in TRIGGERS.items():
        ours_ms = recovery_ms(True, trigger)
        plain_ms = recovery_ms(False, trigger)
        yield bench.Result(
            f'recovery_after_{name}_ms',
            ours_ms,
            'ms',
            plain_ms if math.isfinite(plain_ms) else None,
        )


def min_served_ratio(guarded: bool, seed: int = SEED) -> float:
    """Return the lowest success ratio among the modest organisations."""
    loop, callers = build(guarded, SKEWED_LOAD_FACTOR * CAPACITY_PER_S, seed)
    callers.organisations = SKEWED_ORGANISATIONS
    loop.run(WARM_UP_MS)
    callers.requested.clear()
    callers.served.clear()
    loop.run(END_MS)
    return min(
        callers.served[o] / callers.requested[o] for o in ORGANISATIONS[1:]
    )


def build(
    guarded: bool, rate_per_s: float, seed: int = SEED
) -> tuple[loops.EventLoop, Callers]:
    """Create a chain and its callers, ready to run."""
    loop = loops.EventLoop()
    rng = random.Random(seed)
    if guarded:
        service_chain = chain.GuardedChain(loop, rng, TIERS)
    else:
        service_chain = plainchain.PlainChain(loop, rng, TIERS)
    callers = Callers(loop, random.Random(seed + 1), service_chain, rate_per_s)
    callers.start()
    return loop, callers


def steady_goodput_per_s(
    guarded: bool, factor: float, seed: int = SEED
) -> float:
    """Return the steady-state goodput at a multiple of the capacity."""
    loop, callers = build(guarded, factor * CAPACITY_PER_S, seed)
    loop.run(END_MS)
    return callers.goodput_per_s(WARM_UP_MS, END_MS)


def slow_down_service(callers: Callers, is_on: bool) -> None:
    """Slow the slow service down by a factor of five, or restore it."""
    for target in callers.target.targets(SLOW_TIER):
        target.slowdown = 5.0 if is_on else 1.0


def increase_load(callers: Callers, is_on: bool) -> None:
    """Multiply the rate of the callers by five, or restore it."""
    callers.rate_per_s *= 5.0 if is_on else 0.2


def turn_target_cold(callers: Callers, is_on: bool) -> None:
    """Turn a target cold (1/5 of its workers, half speed), or restore it."""
    target = callers.target.targets(SLOW_TIER)[0]
    target.workers = 2 if is_on else TIERS[SLOW_TIER].workers
    target.slowdown = 2.0 if is_on else 1.0
    target.thrash = 1.0 if is_on else 0.0


Trigger = typing.Callable[[Callers, bool], None]
TRIGGERS: dict[str, Trigger] = {
    'slow_spell': slow_down_service,
    'surge': increase_load,
    'cold_target': turn_target_cold,
}


def recovery_ms(guarded: bool, trigger: Trigger, seed: int = SEED) -> float:
    """Return the time from the end of a trigger to full goodput.

    The trigger lasts 5 s at 0.8 of the capacity. Goodput has recovered at
    the first second with at least 90% of the previous goodput from which
    the mean until the end, 20 s after the trigger, is also at least 90%.
    The result is infinite if the chain does not recover.
    """
    loop, callers = build(guarded, 0.8 * CAPACITY_PER_S, seed)
    loop.run(10_000.0)
    baseline_per_s = callers.goodput_per_s(5_000.0, 10_000.0)
    trigger(callers, True)
    loop.run(15_000.0)
    trigger(callers, False)
    loop.run(35_000.0)
    for at_ms in range(15_000, 34_000, int(BIN_MS)):
        second = callers.goodput_per_s(at_ms, at_ms + 1000.0)
        rest = callers.goodput_per_s(at_ms, 35_000.0)
        if min(second, rest) >= 0.9 * baseline_per_s:
            return at_ms - 15_000.0
    return math.inf
