"""Carries out a planned stop; module ``drain`` decides on the steps."""

import dataclasses
import typing

from parsleystile import clock as clocks
from parsleystile import drain
from parsleystile import logevents
from parsleystile import logs

_Done = typing.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Steps:
    """Callbacks that carry out the steps of a planned stop.

    Attributes:
        announce_leave: Announces the leave; calls back once confirmed.
        refuse_new: Refuses new calls and connections of callers.
        calls_in_flight: Returns the number of calls in flight.
        owed: Returns the number of calls in flight, and of connections with
            a request or an answer under way.
        refuse_callers: Refuses requests on open connections.
        hand_back: Hands back grants and leases; calls back when done.
        end: Ends the process.
    """

    announce_leave: typing.Callable[[_Done], None]
    refuse_new: typing.Callable[[], None]
    calls_in_flight: typing.Callable[[], int]
    owed: typing.Callable[[], int]
    refuse_callers: typing.Callable[[], None]
    hand_back: typing.Callable[[_Done], None]
    end: typing.Callable[[], None]


class PlannedStop:
    """Planned stop of one node."""

    def __init__(self, steps: Steps, clock: clocks.Clock) -> None:
        self._steps = steps
        self._clock = clock
        self._drain = drain.drain()

    @property
    def phase(self) -> drain.Phase:
        """Current phase of the stop."""
        return self._drain.phase

    def request(self, is_final: bool = True) -> None:
        """Start a planned stop, or make a started drain end the process."""
        self._handle(drain.StopRequested(is_final))

    def tick(self) -> None:
        """Advance the stop; must be called several times a second."""
        if self._drain.is_leaving:
            self._handle(drain.Tick(self._steps.owed()))

    def _handle(self, event: drain.Event) -> None:
        for action in self._drain.handle(event, self._clock.now_ms()):
            self._perform(action)

    def _perform(self, action: drain.Action) -> None:
        match action:
            case drain.AnnounceLeave():
                in_flight = self._steps.calls_in_flight()
                logs.log_event(
                    logevents.NodeDraining(calls_in_flight=in_flight)
                )
                self._steps.announce_leave(
                    lambda: self._handle(drain.LeaveConfirmed())
                )
            case drain.RefuseNew():
                self._steps.refuse_new()
            case drain.RefuseCallers():
                self._steps.refuse_callers()
            case drain.HandBack():
                self._steps.refuse_callers()
                self._steps.hand_back(lambda: self._handle(drain.HandedBack()))
            case drain.Exit(calls_cut=calls_cut, drained_ms=drained_ms):
                logs.log_event(
                    logevents.NodeStopped(
                        calls_cut=calls_cut, drained_ms=drained_ms
                    )
                )
                self._steps.end()
            case _:
                typing.assert_never(action)


def planned_stop(steps: Steps, clock: clocks.Clock) -> PlannedStop:
    """Create the planned stop of a serving node."""
    return PlannedStop(steps, clock)
