"""Member records: what a node announces about itself to the fleet."""

import dataclasses
import enum

from parsleystile import ids
from parsleystile import transport


class MemberState(enum.IntEnum):
    """State of a member; at the same incarnation the higher one wins."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node and its local target, as announced by that node.

    Attributes:
        service: Service of the target; empty while no target is announced.
        slots: Concurrent calls that the target declares; an upper bound.
        link: Address of the node's link listener.
        gossip: Address of the node's gossip socket.
        incarnation: Grows with each restart, change of the record and
            refuted suspicion.
    """

    node_id: ids.NodeId
    vm: ids.VmId
    region: ids.RegionId
    failure_domain: ids.FailureDomainId
    service: ids.ServiceName
    slots: int
    link: transport.Address
    gossip: transport.Address
    incarnation: ids.Incarnation
    state: MemberState = MemberState.ALIVE

    @property
    def peer(self) -> transport.Peer:
        """The node, to connect to."""
        return transport.Peer(self.link, self.node_id)
