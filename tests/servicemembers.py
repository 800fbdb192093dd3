"""Members of a service for tests of the choice among them."""

from parsleystile import ids
from parsleystile import members
from parsleystile import transport


def member(index, domain, service, slots):
    """Return the member on node ``t`` and its index."""
    address = transport.Address(f't{index}', 1)
    return members.Member(
        node_id=ids.NodeId(f't{index}'),
        vm=ids.VmId(f't{index}'),
        region=ids.RegionId('r'),
        failure_domain=ids.FailureDomainId(domain),
        service=service,
        slots=slots,
        link=address,
        gossip=address,
        incarnation=ids.Incarnation(1),
    )
