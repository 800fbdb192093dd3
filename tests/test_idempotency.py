import asyncio
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from parsleystile import claimstore
from parsleystile import claimwire
from parsleystile import errors
from parsleystile import exchange
from parsleystile import idempotency
from parsleystile import idempotencyservice
from parsleystile import leases
from stubs import tablestate
from tests import fleet

_DOMAINS = 'aabbcc'
_ANSWER = exchange.Answer(201, ['a', 'b'], b'booked')


def _service(world, identity, rng, link, rows, promises):
    return idempotencyservice.idempotency_service(
        identity,
        world.clock,
        rng,
        link,
        rows,
        world.metrics,
        lambda: world.members,
        promises,
    )


class _Callers:
    """Claims keys, runs the calls that may run and counts the runs."""

    def __init__(self, world):
        self.world = world
        self.runs = {}
        self.decisions = []

    def call(self, index, key, result=_ANSWER, fingerprint='f', root_id=None):
        """Send a call with a key; if it may run, report ``result``."""
        service = self.world.services[index]
        root_id = root_id or f'root{len(self.decisions)}'
        slot = len(self.decisions)
        self.decisions.append(None)

        def on_decision(decision):
            self.decisions[slot] = decision
            if not isinstance(decision, idempotency.Proceed):
                return
            is_run = getattr(result, 'outcome', 0) is not _NOT_RUN
            self.runs[key] = self.runs.get(key, 0) + is_run
            if result is not None:
                service.report_outcome(decision.claim, result)

        deadline_ms = self.world.clock.now_ms() + 2_000.0
        service.claim(
            'o', 'r', key, root_id, fingerprint, deadline_ms, on_decision
        )

    def refusal(self, slot=-1):
        return self.decisions[slot].refusal


_NOT_RUN = errors.Outcome.NOT_RUN
_NOT_RUN_REFUSAL = errors.not_run(errors.Reason.SHED)
_UNKNOWN_REFUSAL = errors.unknown(errors.Reason.LINK_LOST)


def _run(body, domains='abc', warm_ms=5_000.0):
    async def main():
        world = fleet.Fleet(domains, _service)
        await world.run(warm_ms)
        await body(world, _Callers(world))

    asyncio.run(main())


def _home_of(world, key):
    shard = claimwire.ClaimKey('o', 'r', key).shard
    for index, service in enumerate(world.services):
        if shard in service.home._shards:
            return index
    raise AssertionError(f'shard {shard} has no home')


def test_a_repeated_call_gets_the_answer_of_the_first():
    async def body(world, callers):
        callers.call(0, 'k')
        await world.run(100.0)
        callers.call(1, 'k')
        await world.run(100.0)
        answer = callers.decisions[1].answer
        assert (answer.status, answer.body) == (201, b'booked')
        assert callers.runs == {'k': 1}

    _run(body)


def test_one_of_several_concurrent_calls_runs_and_the_others_are_unknown():
    async def body(world, callers):
        for index in (0, 1, 2, 0):
            callers.call(index, 'k', None)
        await world.run(200.0)
        assert callers.runs == {'k': 1}
        refused = [
            d.refusal
            for d in callers.decisions
            if isinstance(d, idempotency.Refused)
        ]
        assert len(refused) == 3
        for refusal in refused:
            assert refusal.outcome is errors.Outcome.UNKNOWN
            assert refusal.reason is errors.Reason.DUPLICATE
            assert refusal.final

    _run(body)


@pytest.mark.parametrize(
    ('result', 'may_run_again'),
    [(_NOT_RUN_REFUSAL, True), (_UNKNOWN_REFUSAL, False)],
)
def test_only_a_call_that_did_not_run_frees_its_key(result, may_run_again):
    async def body(world, callers):
        callers.call(0, 'k', result)
        await world.run(200.0)
        callers.call(1, 'k')
        await world.run(200.0)
        again = isinstance(callers.decisions[1], idempotency.Proceed)
        assert again is may_run_again

    _run(body)


def test_two_calls_of_one_root_request_do_not_share_a_claim():
    async def body(world, callers):
        for _ in range(2):
            callers.call(0, 'k', None, root_id='root')
            await world.run(100.0)
        assert callers.runs == {'k': 1}

    _run(body)


def test_a_key_reused_for_another_request_is_refused_as_unknown():
    async def body(world, callers):
        callers.call(0, 'k')
        await world.run(100.0)
        callers.call(1, 'k', fingerprint='other')
        await world.run(100.0)
        assert callers.refusal().outcome is errors.Outcome.UNKNOWN
        assert 'another request' in callers.refusal().detail

    _run(body)


def test_a_call_without_reported_outcome_is_unknown_after_its_deadline():
    async def body(world, callers):
        callers.call(0, 'k', None)
        await world.run(8_000.0)
        callers.call(1, 'k')
        await world.run(100.0)
        assert 'may have run' in callers.refusal().detail

    _run(body)


def test_a_long_answer_is_not_stored_and_the_repeated_call_is_refused():
    async def body(world, callers):
        long = exchange.Answer(200, [], b'x' * 20_000)
        callers.call(0, 'k', long)
        await world.run(100.0)
        callers.call(1, 'k')
        await world.run(100.0)
        assert 'not kept' in callers.refusal().detail

    _run(body)


@pytest.mark.parametrize('key', ['', 'x' * 256, 'caf\xe9', 'a\nb'])
def test_malformed_keys_are_refused(key):
    async def body(world, callers):
        callers.call(0, key)
        assert callers.refusal().reason is errors.Reason.MALFORMED
        assert callers.refusal().outcome is _NOT_RUN

    _run(body, 'a', 40.0)


def test_keys_are_claimed_during_a_table_outage():
    async def body(world, callers):
        world.table.faults.outage = tablestate.Outage.REFUSE
        await world.run(60_000.0)
        callers.call(0, 'k')
        await world.run(100.0)
        callers.call(1, 'k')
        await world.run(100.0)
        assert callers.runs == {'k': 1}
        assert isinstance(callers.decisions[1], idempotency.Replay)

    _run(body)


def test_a_deputy_takes_over_the_claims_of_a_dead_home():
    async def body(world, callers):
        callers.call(0, 'k')
        await world.run(200.0)
        home = _home_of(world, 'k')
        world.kill(home)
        await world.run(16_000.0)
        other = (home + 1) % 3
        callers.call(other, 'k')
        await world.run(200.0)
        assert isinstance(callers.decisions[1], idempotency.Replay)
        assert callers.runs == {'k': 1}

    _run(body)


def test_a_planned_stop_hands_over_the_claims():
    async def body(world, callers):
        callers.call(0, 'k')
        await world.run(200.0)
        home = _home_of(world, 'k')
        stopping = asyncio.create_task(world.services[home].stop())
        await world.run(100.0)
        await stopping
        world.kill(home)
        await world.run(400.0)
        callers.call((home + 1) % 3, 'k')
        callers.call((home + 1) % 3, 'new')
        await world.run(600.0)
        assert isinstance(callers.decisions[1], idempotency.Replay)
        assert callers.runs == {'k': 1, 'new': 1}

    _run(body)


async def _restart_home_and_deputies(world, callers):
    callers.call(0, 'k')
    await world.run(200.0)
    home = _home_of(world, 'k')
    deputies = world.services[home].home.ownership.lease.deputies
    for index in {home, *(int(d.removeprefix('n')) for d in deputies)}:
        world.kill(index)
        world.start(index)
    await world.run(30_000.0)
    callers.call(1, 'k')
    await world.run(2_000.0)


def test_a_call_whose_claim_is_lost_with_all_replicas_does_not_run_again():
    async def body(world, callers):
        await _restart_home_and_deputies(world, callers)
        assert callers.runs == {'k': 1}

    _run(body)


def test_a_shorter_maximum_claim_age_runs_a_call_twice(monkeypatch):
    monkeypatch.setattr(claimstore, 'MAX_CLAIM_AGE_MS', 10_000.0)
    monkeypatch.setattr(leases, 'MAX_EXTENSION_MS', 8_000.0)

    async def body(world, callers):
        await _restart_home_and_deputies(world, callers)
        assert callers.runs == {'k': 2}

    _run(body)


def test_a_home_partitioned_from_its_deputy_admits_no_call():
    async def body(world, callers):
        home = _home_of(world, 'k')
        world.transports[home].is_cut = True
        await world.run(500.0)
        callers.call(home, 'k')
        await world.run(2_500.0)
        assert callers.refusal().outcome is _NOT_RUN
        assert callers.refusal().reason is errors.Reason.STORE_UNAVAILABLE
        assert callers.runs == {}

    _run(body)


_KINDS = ['kill', 'restart', 'stop', 'pause', 'resume', 'cut', 'heal']
_KINDS += ['outage', 'lost', 'drop']
_FAULTS = st.lists(
    st.tuples(st.integers(0, 300), st.sampled_from(_KINDS), st.integers(0, 5)),
    max_size=8,
)


async def _apply(world, kind, index):
    link = world.transports[index]
    faults = world.table.faults
    match kind:
        case 'kill':
            world.kill(index)
        case 'restart':
            world.kill(index)
            world.start(index)
        case 'stop' if not link.is_dead and not link.is_paused:
            stopping = asyncio.create_task(world.services[index].stop())
            await world.run(40.0)
            stopping.cancel()
            world.kill(index)
            world.start(index)
        case 'pause':
            link.is_paused = True
        case 'resume':
            for other in world.transports:
                other.resume()
        case 'cut':
            link.is_cut = True
        case 'heal':
            world.message_loss_ratio = 0.0
            world.table.faults = tablestate.Faults()
            for other in world.transports:
                other.is_cut = False
        case 'outage':
            faults.outage = tablestate.Outage.REFUSE
        case 'lost':
            faults.lost_answer_share = 0.5
        case 'drop':
            world.message_loss_ratio = 0.2


async def _explore(faults, seed):
    world = fleet.Fleet(_DOMAINS, _service)
    await world.run(3_000.0)
    callers = _Callers(world)
    rng = random.Random(seed)
    for step in range(300):
        for at, kind, index in faults:
            if at == step:
                await _apply(world, kind, index)
        index = rng.randrange(len(world.services))
        link = world.transports[index]
        if not link.is_dead and not link.is_paused:
            result = rng.choice(
                [_ANSWER, _NOT_RUN_REFUSAL, _UNKNOWN_REFUSAL, None]
            )
            callers.call(index, f'k{rng.randrange(step // 10 + 1)}', result)
        await world.run(100.0)
    return callers


@hypothesis.settings(
    max_examples=10,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(faults=_FAULTS, seed=st.integers(0, 2**16))
def test_no_key_runs_twice_whatever_fails(faults, seed):
    callers = asyncio.run(_explore(faults, seed))
    assert sum(callers.runs.values()) > 5
    assert max(callers.runs.values()) <= 1


def test_the_store_is_bounded_in_time_and_bytes(monkeypatch):
    monkeypatch.setattr(claimstore, 'MAX_ANSWER_BYTES', 10)
    store = claimstore.claim_store()
    key = claimwire.ClaimKey('o', 'r', 'k')
    answer = claimwire.StoredAnswer(200, [], b'x' * 11)
    entry = claimwire.Entry(
        key, 'root', 'f', 100.0, claimwire.ClaimState.ANSWERED, answer
    )
    store.put(entry, 0.0)
    assert store.find(key, 0.0).answer is None
    assert store.find(key, 100.0 + claimstore.RETENTION_MS) is None
    store.prune(100.0 + claimstore.RETENTION_MS)
    assert len(store) == 0
