"""What nodes tell each other about themselves."""

import dataclasses
import enum

from parsleystile import ids
from parsleystile import transport


class MemberState(enum.IntEnum):
    """How far a member may be relied on; higher wins at one incarnation."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node and the target beside it, as announced by that node.

    Attributes:
        service: Service of its target; empty while no target announced.
        slots: Calls the target says it can run at once; an upper bound.
        incarnation: Grows with each restart or refuted suspicion.
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
