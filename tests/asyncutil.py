"""Utilities for tests that need an event loop and sockets on loopback."""

import asyncio
import typing

# Fails a test that hangs; no passing test takes this long.
TIMEOUT_S = 20.0


def run(
    body: typing.Coroutine,
    loop_factory: typing.Callable[[], asyncio.AbstractEventLoop] | None = None,
) -> typing.Any:
    """Run a test body on a new event loop, with a timeout."""

    async def bounded() -> typing.Any:
        async with asyncio.timeout(TIMEOUT_S):
            return await body

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(bounded())


class CallbackResult:
    """Future whose ``put`` serves as a callback; counts the calls.

    Only the first value is kept.
    """

    def __init__(self) -> None:
        self._future = asyncio.get_running_loop().create_future()
        self.count = 0

    def put(self, value: typing.Any) -> None:
        self.count += 1
        if not self._future.done():
            self._future.set_result(value)

    async def get(self) -> typing.Any:
        return await self._future


async def wait_until(is_true: typing.Callable[[], bool]) -> None:
    """Wait until ``is_true`` returns True, bounded by ``run``'s timeout."""
    while not is_true():
        await asyncio.sleep(0.002)
