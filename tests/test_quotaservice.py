import asyncio

from parsleystile import errors
from parsleystile import fleetconfig
from parsleystile import quotaservice
from parsleystile import quotawire
from stubs import tablestate
from tests import fleet

_LIMITS = fleetconfig.Organisation(rate_per_s=10, burst=12)
_LARGE = fleetconfig.Organisation(rate_per_s=200, burst=200)
_CONFIG = fleetconfig.FleetConfig(
    organisations={'o': _LIMITS, 'large': _LARGE}
)


def _service(world, identity, rng, link, rows, promises):
    return quotaservice.quota_service(
        identity,
        world.clock,
        rng,
        link,
        rows,
        world.metrics,
        lambda: _CONFIG,
        lambda: world.members,
        promises,
    )


def _run(body, domains='abc'):
    async def main():
        await body(fleet.Fleet(domains, _service))

    asyncio.run(main())


def test_one_node_is_admitted_the_burst_and_no_more():
    async def body(world):
        await world.run(1_500.0)
        results = []
        for _ in range(20):
            world.services[1].acquire('o', results.append)
        await world.run(600.0)
        admitted = sum(result is None for result in results)
        assert len(results) == 20
        assert 13 <= admitted <= 12 + 3
        refusal = next(r for r in results if r is not None)
        assert refusal.reason is errors.Reason.RATE_LIMITED
        assert refusal.outcome is errors.Outcome.NOT_RUN
        assert refusal.retry_after_ms > 0

    _run(body)


def test_a_stale_clock_reading_does_not_admit_a_call():
    async def body(world):
        await world.run(1_500.0)
        service = world.services[0]
        for _ in range(100):
            service.acquire('large', lambda _: None)
            await world.run(20.0)
        read_ms = world.clock.now_ms()
        assert service.try_acquire('large', read_ms) is None
        world.clock.advance(60_000.0)
        assert service.try_acquire('large', read_ms) is not None

    _run(body)


def test_other_nodes_take_over_the_parts_of_a_stopped_node():
    async def body(world):
        await world.run(1_500.0)
        stopped = world.services.pop(0)
        world.transports.pop(0)
        world.members.pop(0)
        await stopped.stop()
        assert stopped.try_acquire('o', world.clock.now_ms()) is not None
        await world.run(15_000.0)
        owned = 0
        for service in world.services:
            for shard in range(quotawire.SHARDS):
                owned += service.node.lender.parts(shard)
        assert owned == quotawire.SHARDS * quotawire.PARTS

    _run(body)


def test_a_node_started_during_a_table_outage_asks_its_peers():
    async def body(world):
        await world.run(6_000.0)
        world.table.faults.outage = tablestate.Outage.REFUSE
        world.kill(2)
        world.start(2)
        await world.run(5_000.0)
        results = []
        world.services[2].acquire('o', results.append)
        await world.run(500.0)
        assert results == [None]

    _run(body)


def test_malformed_messages_are_counted():
    async def body(world):
        replies = []
        link = world.transports[0]
        link._handlers[quotawire.REQUEST_KIND](b'\xc1', replies.append)
        assert replies == [b'']
        assert world.metrics.counters['quota.malformed'] == 1

    _run(body, 'a')
