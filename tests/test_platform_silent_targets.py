"""Targets that run a request, or can't queue it, and never answer.

The users' stories: a booking that was charged twice, and a check-in that was
logged twice. Both would come back if a node sent such a request once more, or
told its caller that it had not run.
"""

import asyncio

from tests import asyncutil
from tests import platformfleet


def _fall_silent(machine):
    """Let a target run requests without answering them."""
    machine.target.custom_answer = lambda request: None


def test_a_booking_whose_target_falls_silent_is_not_charged_twice():
    async def body(fleet):
        first, second, third = fleet.machines
        for machine in (second, third):
            _fall_silent(machine)
        answer = await first.call(
            path='/reserve/load', call_id='booking', method='POST', wait_ms=600
        )
        # It may have run: nothing that asks the caller to send it again.
        assert answer.status == 504
        assert 'Retry-After' not in answer.headers
        await asyncio.sleep(0.3)
        assert fleet.executed_ids().count('booking') == 1

    platformfleet.run_with_fleet(body, count=3, serving=[1, 2])


def test_a_check_in_whose_connection_is_lost_is_not_logged_twice():
    async def body(fleet):
        first, second, third = fleet.machines
        for machine in (second, third):
            machine.target.custom_answer = lambda request: (
                request._connection.abort()
            )
        answer = await first.call(
            path='/reserve/x', call_id='check-in', method='POST'
        )
        assert answer.status == 502
        await asyncio.sleep(0.3)
        assert fleet.executed_ids().count('check-in') == 1

    platformfleet.run_with_fleet(body, count=3, serving=[1, 2])


def test_a_silent_connection_is_not_used_again_and_does_not_pile_up():
    async def body(fleet):
        first, second = fleet.machines
        _fall_silent(second)
        for i in range(10):
            answer = await first.call(call_id=f'silent{i}', wait_ms=60)
            assert answer.status == 504
        second.target.custom_answer = None
        answer = await first.call(call_id='heard')
        assert answer.status == 200
        await asyncutil.wait_until(lambda: second.target.connections == 1)

    platformfleet.run_with_fleet(body, serving=[1])


def test_other_targets_are_used_while_one_is_silent():
    async def body(fleet):
        first, second, third = fleet.machines
        for i in range(40):
            await first.call(call_id=f'warm{i}')
        _fall_silent(second)
        statuses = []
        for i in range(40):
            answer = await first.call(call_id=f'c{i}', wait_ms=100)
            statuses.append(answer.status)
        # Each call that it swallows makes it less likely to be chosen.
        assert statuses[-20:].count(200) >= 17
        assert fleet.executed_ids().count('c39') <= 2

    platformfleet.run_with_fleet(body, count=3, serving=[1, 2])
