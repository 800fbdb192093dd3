"""Planned stops of several relay nodes that callers keep using."""

import asyncio
import pathlib
import tempfile

from tests import asyncutil
from tests import relayprocesses
from tests import relayrecord

_GRACE_MS = 2_000.0


def test_requests_sent_long_after_sigterm_are_answered():
    async def body(fleet):
        await fleet.start()
        *stopping, _ = fleet.machines
        for machine in stopping:
            for style in ('kept', 'kept', 'new', 'new'):
                fleet.start_caller(machine, style)
        await asyncio.sleep(0.3)
        await asyncio.gather(*(m.stop_node() for m in stopping))
        await fleet.finish_callers()
        calls = fleet.record.calls
        assert sum(call.status == 200 for call in calls) > 20
        assert relayrecord.find_lost(fleet.record) == []

    async def whole():
        with tempfile.TemporaryDirectory() as directory:
            fleet = relayprocesses.Fleet(
                pathlib.Path(directory), 4, _GRACE_MS, seed=1
            )
            try:
                await body(fleet)
            finally:
                await fleet.close()

    asyncutil.run(whole())
