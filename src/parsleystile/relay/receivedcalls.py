"""Admits large calls of other nodes only if there is room for their bodies.

The load that it answers: many nodes that pass large calls to one target at a
time, each within its own memory.
"""

import typing

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile.gen import ttypes
from parsleystile.relay import guard as guards
from parsleystile.relay import heldbytes
from parsleystile import transport


class _Received(transport.PendingCall):
    """A large call at the guard."""

    def __init__(self, release: typing.Callable[[], None]) -> None:
        self._release = release
        self.pending: transport.PendingCall | None = None

    def cancel(self) -> None:
        self._release()
        if self.pending is not None:
            self.pending.cancel()


class ReceivedCalls:
    """Counts the bodies of received calls until they are answered."""

    def __init__(
        self,
        guard: guards.Guard,
        held: heldbytes.HeldBytes,
        clock: clocks.Clock,
    ) -> None:
        self._guard = guard
        self._held = held
        self._clock = clock

    def submit(
        self, call: ttypes.Call, on_answer: guards.OnAnswer
    ) -> transport.PendingCall | None:
        """Submit a call to the guard; see ``Guard.submit``."""
        size = len(call.body)
        if size < heldbytes.STEP_BYTES:
            return self._guard.submit(call, on_answer)
        holder = heldbytes.Fixed()
        if not self._held.has_room(holder, size, self._clock.now_ms()):
            call.body = b''
            refusal = errors.not_run(
                errors.Reason.QUEUE_FULL,
                'no room for its body at the node of the target',
                self._held.retry_after_ms(),
            )
            return self._guard.submit(call, on_answer, refusal)
        return self._submit_counted(call, on_answer, holder, size)

    def _submit_counted(
        self,
        call: ttypes.Call,
        on_answer: guards.OnAnswer,
        holder: heldbytes.Fixed,
        size: int,
    ) -> transport.PendingCall | None:
        def count(size: int) -> None:
            self._held.count(holder, size, self._clock.now_ms())

        def finish(answer: ttypes.Answer) -> None:
            count(0)
            on_answer(answer)

        received = _Received(lambda: count(0))
        count(size)
        received.pending = self._guard.submit(call, finish)
        return None if received.pending is None else received


def received_calls(
    guard: guards.Guard, held: heldbytes.HeldBytes, clock: clocks.Clock
) -> ReceivedCalls:
    """Create the admission of received calls."""
    return ReceivedCalls(guard, held, clock)
