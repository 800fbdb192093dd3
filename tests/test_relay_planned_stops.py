"""Planned stops of relay nodes that callers keep using."""

import asyncio

from tests import relayprocesses


def test_requests_sent_long_after_sigterm_are_answered():
    async def body(fleet):
        *stopping, _ = fleet.machines
        for machine in stopping:
            for style in ('kept', 'kept', 'new', 'new'):
                fleet.start_caller(machine, style)
        await asyncio.sleep(0.3)
        await asyncio.gather(*(m.stop_node() for m in stopping))
        await fleet.finish_callers()

    record = relayprocesses.run(
        body, count=4, grace_s=2.0, seed=1, timeout_s=20.0
    )
    assert sum(call.status == 200 for call in record.calls) > 20
    assert record.violations() == []
