"""Finds out which of the other nodes answer this one.

A node that is contacted and does not answer counts as unreachable and gets no
calls; it is probed until it answers. Each round probes a limited number of
nodes, and one that answers has others of its failure domain probed at once,
so that a domain that was cut off is back within a few round trips.
"""

import random
import typing

from parsleystile import clock as clocks
from parsleystile import errors
from parsleystile import ids
from parsleystile import link as links_module
from parsleystile.relay import logevents
from parsleystile.relay import memberlist
from parsleystile.relay import memberrow
from parsleystile.relay import stalls as stalls_module
from parsleystile.relay import telemetry
from parsleystile import transport

PING_KIND = 'state.ping'
# A link with calls in flight that received nothing for one period is pinged,
# and dropped if the ping fails.
LINK_CHECK_PERIOD_MS = 250.0
_PING_TIMEOUT_MS = 450.0
# Time between rounds of probes of unreachable nodes, and the nodes in one.
PROBE_PERIOD_MS = 375.0
_MAX_PROBES = 8


class Reachability:
    """Probes of the other nodes over their links.

    Attributes:
        on_changed: Called after a node became reachable or unreachable.
        on_reachable: Called with a node that answers again.
    """

    def __init__(
        self,
        links: links_module.Links,
        member_list: memberlist.MemberList,
        stalls: stalls_module.StallDetector,
        clock: clocks.Clock,
        rng: random.Random,
        recorder: telemetry.Recorder,
    ) -> None:
        self.on_changed: typing.Callable[[], None] = lambda: None
        self.on_reachable: typing.Callable[[ids.NodeId], None] = (
            lambda node_id: None
        )
        self._links = links
        self._member_list = member_list
        self._stalls = stalls
        self._clock = clock
        self._rng = rng
        self._recorder = recorder
        self._pending_pings: set[transport.Peer] = set()
        self._received_counts: dict[transport.Peer, int] = {}
        links.handle_control(PING_KIND, lambda payload, reply: reply(b''))

    def check_silent_links(self) -> None:
        """Ping the peers of links that have calls in flight but are silent."""
        waiting = self._links.busy_links()
        silent = [
            peer
            for peer, received in waiting
            if self._received_counts.get(peer) == received
        ]
        self._received_counts = dict(waiting)
        for peer in silent:
            self._check_link(peer)

    def _ping(
        self, peer: transport.Peer, on_reply: transport.OnControlReply
    ) -> None:
        """Ping a node unless a ping to it is already in flight."""
        if peer in self._pending_pings:
            return
        self._pending_pings.add(peer)

        def on_done(reply: bytes | errors.Refusal) -> None:
            self._pending_pings.discard(peer)
            on_reply(reply)

        self._links.control(peer, PING_KIND, b'', _PING_TIMEOUT_MS, on_done)

    def _check_link(self, peer: transport.Peer) -> None:
        before = self._received_counts[peer]

        def on_reply(reply: bytes | errors.Refusal) -> None:
            is_silent = dict(self._links.busy_links()).get(peer) == before
            if self._is_missing(reply) and is_silent:
                why = 'no reply on a link that owes answers'
                self._links.drop(peer, why)
                if peer.node_id is not None:
                    self.mark_unreachable(peer.node_id, why)

        self._ping(peer, on_reply)

    def _is_missing(self, reply: bytes | errors.Refusal) -> bool:
        """Whether a peer did not reply, as far as this node can tell.

        After a stall of this process, replies may lie unread although the
        time for them is up.
        """
        if not isinstance(reply, errors.Refusal):
            return False
        is_late = reply.reason is errors.Reason.DEADLINE
        now_ms = self._clock.now_ms()
        return not (is_late and self._stalls.input_age_ms(now_ms))

    def note_refusal(
        self, node_id: ids.NodeId, refusal: errors.Refusal
    ) -> None:
        """Take a node for unreachable that did not reply to a message."""
        if self._is_missing(refusal):
            self.mark_unreachable(node_id, refusal.detail)

    def probe_unreachable(self) -> None:
        """Ping some of the unreachable nodes."""
        self._probe_some(self._member_list.unreachable())

    def probe_if_unreachable(self, node_id: ids.NodeId) -> None:
        """Ping a node that was heard from, if it counts as unreachable."""
        row = self._member_list.row(node_id)
        if row is not None and not self._member_list.is_reachable(node_id):
            self._probe(row)

    def _probe_some(self, rows: list[memberrow.Row]) -> None:
        for row in self._rng.sample(rows, min(_MAX_PROBES, len(rows))):
            self._probe(row)

    def _probe(self, row: memberrow.Row) -> None:
        def on_reply(reply: bytes | errors.Refusal) -> None:
            if isinstance(reply, errors.Refusal):
                return
            if self.mark_reachable(row.node_id):
                self._probe_some(
                    [
                        other
                        for other in self._member_list.unreachable()
                        if other.domain == row.domain
                    ]
                )

        self._ping(row.peer, on_reply)

    def mark_reachable(self, node_id: ids.NodeId) -> bool:
        """Mark a node as reachable; False if it was."""
        if not self._member_list.set_reachable(node_id, True):
            return False
        self._log(node_id, True, 'it answers')
        self.on_changed()
        self.on_reachable(node_id)
        return True

    def mark_unreachable(self, node_id: ids.NodeId, why: str) -> None:
        """Mark a node as unreachable; it gets no calls until it answers."""
        if self._member_list.set_reachable(node_id, False):
            self._log(node_id, False, why)
            self.on_changed()

    def _log(self, node_id: ids.NodeId, is_reachable: bool, why: str) -> None:
        self._recorder.log.write(
            logevents.NodeReachabilityChanged(
                member=node_id, is_reached=is_reachable, why=why
            )
        )


def reachability(
    links: links_module.Links,
    member_list: memberlist.MemberList,
    stalls: stalls_module.StallDetector,
    clock: clocks.Clock,
    rng: random.Random,
    recorder: telemetry.Recorder,
) -> Reachability:
    """Create the probes of a node that takes all others for reachable."""
    return Reachability(links, member_list, stalls, clock, rng, recorder)
