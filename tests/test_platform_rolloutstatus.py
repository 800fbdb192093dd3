"""Verdicts in the store: lost answers, racing writers, later orders."""

import asyncio
import json
import os
import random

import pytest

from adapter import rolloutstatus
from adapter import storecalls
from parsleystile import clock as clocks
from parsleystile.relay import rollout
from parsleystile.relay import telemetry
from parsleystile import transport
from stubs import platformstore
from tests import asyncutil

_KEY = 'rollout/yard'
_RUNNING = rollout.Stage.TRIAL
_DONE = rollout.Stage.COMPLETED
_BACK = rollout.Stage.ROLLED_BACK


class _World:
    """A store and writers of its status rows."""

    def __init__(self):
        self.store = platformstore.platform_store()
        self.heard = []
        self.states = []
        self._writers = []

    async def start(self):
        self._address = transport.Address(*await self.store.start())

    def writer(self):
        clock = clocks.system_clock()
        descriptor = os.open(os.devnull, os.O_WRONLY)
        writer = rolloutstatus.rollout_status(
            self._address,
            self.heard.append,
            clock,
            random.Random(1),
            telemetry.recorder('n1', clock, descriptor),
        )
        self._writers.append(writer)
        return writer

    def order(self, target='v2'):
        return self.store.put('op', _KEY, json.dumps(target).encode())

    def state(self):
        value = self.store.value('status', _KEY)
        return None if value is None else json.loads(value)['state']

    def close(self):
        for writer in self._writers:
            writer.close()
        self.store.close()


def _run(body):
    async def whole():
        world = _World()
        await world.start()
        try:
            await body(world)
        finally:
            world.close()

    asyncutil.run(whole())


def _want(order, stage, target='v2'):
    return rollout.Progress('yard', order, target, stage)


async def _settled(world, count):
    await asyncutil.wait_until(lambda: len(world.heard) >= count)


def test_a_write_whose_answer_is_lost_is_found_and_not_repeated():
    async def body(world):
        order = world.order()
        writer = world.writer()
        world.store.loses_answers = True
        writer.want(_want(order, _RUNNING))
        # Reads are lost as well; let one transaction through on its own.
        await asyncio.sleep(0.1)
        world.store.loses_answers = False
        await _settled(world, 1)
        version = world.store.version
        other = world.writer()
        other.want(_want(order, _RUNNING))
        await _settled(world, 2)
        assert world.store.version == version
        assert [p.stage for p in world.heard] == [_RUNNING, _RUNNING]

    _run(body)


def test_a_transaction_that_took_effect_without_an_answer_is_not_undone():
    async def body(world):
        order = world.order()
        writer = world.writer()
        transact = writer._calls.transact
        lost = []

        async def transact_and_lose(transaction):
            await transact(transaction)
            if not lost:
                lost.append(1)
                raise rolloutstatus.storecalls.StoreError(0, 'lost')

        writer._calls.transact = transact_and_lose
        writer.want(_want(order, _DONE))
        await _settled(world, 1)
        assert lost and world.heard[0].stage is _DONE
        # The second try found the row and wrote nothing.
        assert world.store.version == order + 1

    _run(body)


@pytest.mark.parametrize('first', [_DONE, _BACK])
def test_the_first_verdict_stays_and_is_taken_over(first):
    async def body(world):
        order = world.order()
        one, other = world.writer(), world.writer()
        one.want(_want(order, first))
        await _settled(world, 1)
        state = world.state()
        for stage in (_RUNNING, _BACK, _DONE):
            other.want(_want(order, stage))
        await _settled(world, 2)
        assert world.state() == state
        assert {p.stage for p in world.heard} == {first}

    _run(body)


@pytest.mark.parametrize('seed', range(6))
def test_racing_writers_agree_on_one_verdict(seed):
    async def body(world):
        rng = random.Random(seed)
        order = world.order()
        writers = [world.writer() for _ in range(4)]
        stages = [_DONE, _BACK, _DONE, _BACK]
        rng.shuffle(stages)
        for writer, stage in zip(writers, stages, strict=True):
            writer.want(_want(order, stage))
            await asyncio.sleep(rng.random() * 0.003)
        await _settled(world, 4)
        assert len({p.stage for p in world.heard}) == 1
        assert world.store.version == order + 1

    _run(body)


def test_a_writer_of_an_earlier_order_writes_nothing():
    async def body(world):
        first = world.order()
        writer = world.writer()
        writer.want(_want(first, _RUNNING))
        await _settled(world, 1)
        second = world.order('v3')
        writer.want(_want(first, _DONE))
        await asyncio.sleep(0.1)
        assert world.state() == 'running'
        # The new order knows which version the first one left.
        writer.want(_want(second, _RUNNING, 'v3'))
        await _settled(world, 2)
        assert world.heard[-1].barred == ('v2',)

    _run(body)


def test_after_a_restart_of_all_nodes_the_verdict_of_the_order_is_found():
    async def body(world):
        order = world.order()
        world.writer().want(_want(order, _BACK))
        await _settled(world, 1)
        restarted = world.writer()
        restarted.want(_want(order, _RUNNING))
        await _settled(world, 2)
        assert world.heard[-1].stage is _BACK
        # The same version, ordered again, is another order.
        again = world.order()
        restarted.want(_want(again, _RUNNING))
        await _settled(world, 3)
        assert (world.heard[-1].stage, world.state()) == (_RUNNING, 'running')

    _run(body)


def test_a_status_row_that_cannot_be_read_is_replaced():
    async def body(world):
        world.store.put('status', _KEY, b'{')
        order = world.order()
        world.store.put('status', _KEY, b'"odd"')
        world.writer().want(_want(order, _BACK))
        await _settled(world, 1)
        assert world.state() == 'rolled_back'

    _run(body)


def test_an_order_that_is_unreadable_after_a_restore_does_not_end_the_writer():
    async def body():
        clock = clocks.system_clock()
        descriptor = os.open(os.devnull, os.O_WRONLY)
        writer = rolloutstatus.rollout_status(
            transport.Address('127.0.0.1', 9),
            lambda row: None,
            clock,
            random.Random(1),
            telemetry.recorder('n1', clock, descriptor),
        )
        for era in (1, 2):
            writer._eras.note(era, clock.now_ms())
        row = storecalls.Row(_KEY, 'x', 3)
        wanted = rollout.Progress('yard', 7, 'v2', rollout.Stage.TRIAL)
        assert not writer._is_order(row, wanted)

    asyncutil.run(body())
