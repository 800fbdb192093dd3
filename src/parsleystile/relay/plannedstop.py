"""Carries out a planned stop of a node; module ``drain`` decides."""

import dataclasses
import typing

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import link as links_module
from parsleystile.relay import drain
from parsleystile.relay import guard as guards
from parsleystile.relay import httpserver
from parsleystile.relay import ingress as ingresses
from parsleystile.relay import logevents
from parsleystile.relay import statesync
from parsleystile.relay import telemetry

CHECK_PERIOD_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Parts of a node that a stop concerns.

    Attributes:
        on_members_changed: Called when this node has left the members.
        on_end: Called when the process may end.
    """

    http_server: httpserver.HttpServer
    ingress: ingresses.Ingress
    guard: guards.Guard
    links: links_module.Links
    state_sync: statesync.StateSync
    clock: clocks.Clock
    recorder: telemetry.Recorder
    on_members_changed: typing.Callable[[], None]
    on_end: typing.Callable[[], None]


class PlannedStop:
    """Planned stop of one node."""

    def __init__(
        self, deps: Dependencies, stop_ms: float, lame_duck_ms: float
    ) -> None:
        self._deps = deps
        self._drain = drain.drain(stop_ms, lame_duck_ms)
        self._requests_given_up = 0

    @property
    def has_started(self) -> bool:
        """Whether the node was asked to stop."""
        return self._drain.is_stopping

    def start(self) -> None:
        """Start the stop; ``advance`` must then be called periodically."""
        deps = self._deps
        self._drain.start(deps.clock.now_ms())
        deps.recorder.log.write(
            logevents.ProcessChanged(state='draining', detail='asked to stop')
        )
        deps.http_server.is_closing = True
        deps.state_sync.announce_leave()
        deps.on_members_changed()

    def advance(self) -> None:
        """Take the steps that are due."""
        now_ms = self._deps.clock.now_ms()
        for action in self._drain.tick(self._owed(), now_ms):
            match action:
                case drain.RefuseNew():
                    self._refuse_new()
                case drain.AnswerOpen():
                    self._answer_open()
                case drain.End():
                    self._record_end(action)
                    self._deps.on_end()
                case _:
                    typing.assert_never(action)

    def _owed(self) -> drain.Owed:
        deps = self._deps
        return drain.Owed(
            requests=deps.http_server.owed_requests,
            calls=deps.guard.in_flight,
            unsent_bytes=(
                deps.http_server.unsent_bytes + deps.links.unsent_bytes
            ),
        )

    def _refuse_new(self) -> None:
        deps = self._deps
        deps.ingress.is_refusing = True
        deps.guard.refuse_new(errors.Reason.LEAVING)
        deps.state_sync.leave()
        deps.on_members_changed()

    def _answer_open(self) -> None:
        self._requests_given_up = self._deps.http_server.owed_requests
        self._deps.http_server.answer_open()
        self._deps.guard.end_all(errors.Reason.LEAVING)

    def _record_end(self, end: drain.End) -> None:
        deps = self._deps
        deps.recorder.log.write(
            logevents.DrainEnded(
                is_timed_out=end.is_timed_out,
                drained_ms=round(end.drained_ms, 1),
                requests_given_up=self._requests_given_up,
                requests_open=deps.http_server.owed_requests,
                calls_at_guard=deps.guard.in_flight,
                caller_bytes_unsent=deps.http_server.unsent_bytes,
                link_bytes_unsent=deps.links.unsent_bytes,
            )
        )


def planned_stop(
    deps: Dependencies, stop_ms: float, lame_duck_ms: float
) -> PlannedStop:
    """Create the planned stop of a serving node; see ``drain.drain``."""
    return PlannedStop(deps, stop_ms, lame_duck_ms)
