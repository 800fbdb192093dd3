"""A node that was suspended does not act on time that has run out."""

import asyncio
import time

import pytest

from parsleystile.relay import stalls
from tests import platformfleet


class TestStallDetector:
    def test_input_read_on_time_has_no_age(self):
        detector = stalls.stall_detector(0.0)
        for i in range(1, 20):
            detector.tick(i * 140.0)
            assert detector.input_age_ms(i * 140.0 + 100.0) == 0.0

    @pytest.mark.parametrize('is_tick_first', [True, False])
    def test_input_read_after_a_stall_is_as_old_as_the_stall(
        self, is_tick_first
    ):
        detector = stalls.stall_detector(0.0)
        detector.tick(125.0)
        if is_tick_first:
            detector.tick(3_250.0)
        assert detector.input_age_ms(3_250.0) == pytest.approx(3_000.0)
        detector.tick(3_250.0 if is_tick_first else 3_251.0)
        assert detector.input_age_ms(3_600.0) == 0.0


def _stall(duration_ms):
    """Keep the event loop of all nodes from running, as a suspension does."""
    time.sleep(duration_ms / 1e3)


def test_a_call_that_ran_out_during_a_stall_is_not_run():
    async def body(fleet):
        first, second = fleet.machines
        await first.call(call_id='warm')
        call = asyncio.ensure_future(
            first.call(path='/reserve/x', call_id='late', wait_ms=400)
        )
        # The request is in the socket of the node when it is suspended.
        await asyncio.sleep(0)
        _stall(1_200.0)
        answer = await call
        assert answer.status == 503
        assert 'late' not in fleet.executed_ids()
        # What is read later has arrived later.
        await asyncio.sleep(0.2)
        again = await first.call(path='/reserve/x', call_id='after')
        assert again.status == 200

    platformfleet.run_with_fleet(body, serving=[1])


def test_a_call_of_a_peer_that_ran_out_during_a_stall_is_not_run():
    async def body(fleet):
        first, second = fleet.machines
        await first.call(call_id='warm')
        submitted = []
        guard = second.node.guard
        submit = guard.submit

        def record(call, on_answer):
            submitted.append(call.deadline_ms)
            return submit(call, on_answer)

        guard.submit = record
        second.node._stalls.tick(second.node._clock.now_ms() + 2_000.0)
        answer = await first.call(call_id='late', wait_ms=1_500)
        assert submitted == [0]
        assert answer.status == 503
        assert 'late' not in fleet.executed_ids()

    platformfleet.run_with_fleet(body, serving=[1])
