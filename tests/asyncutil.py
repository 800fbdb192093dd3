"""Helps tests that need an event loop and real sockets on loopback."""

import asyncio
import typing

# Bounds a test that hangs; no test waits for it when all is well.
TIMEOUT_S = 20.0


def run(body: typing.Coroutine) -> typing.Any:
    """Run a test body on a fresh loop, bounded in time."""

    async def bounded() -> typing.Any:
        async with asyncio.timeout(TIMEOUT_S):
            return await body

    return asyncio.run(bounded())


class CallbackResult:
    """Takes one result by callback and lets a test wait for it."""

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
    """Wait until something holds; the test's limit bounds it."""
    while not is_true():
        await asyncio.sleep(0.002)
