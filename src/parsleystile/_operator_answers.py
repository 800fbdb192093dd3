"""JSON documents in the answers of the operator API."""

import msgspec

from parsleystile import configstore
from parsleystile import fleetconfig
from parsleystile import ids


class MemberAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A member in the view of this node."""

    node_id: ids.NodeId
    vm: ids.VmId
    region: ids.RegionId
    failure_domain: ids.FailureDomainId
    service: ids.ServiceName
    slots: int
    state: str
    is_reachable: bool
    link: str
    incarnation: ids.Incarnation


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of the state of a node.

    Attributes:
        pending_withdrawals: Keys that this node already rejects although
            the document in force still contains them.
    """

    node_id: ids.NodeId
    failure_domain: ids.FailureDomainId
    phase: str
    calls_in_flight: int
    config_version: ids.ConfigVersion
    active_preset: ids.PresetName
    domains_out: tuple[ids.FailureDomainId, ...]
    members: int
    unreachable_domains: list[ids.FailureDomainId]
    pending_withdrawals: list[ids.KeyId]


class ConfigAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration document in force at this node."""

    version: ids.ConfigVersion
    document: fleetconfig.FleetConfig


class HistoryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, oldest first.

    Attributes:
        is_complete: Whether the records were read from the table. If not,
            they are those that this node holds in memory.
    """

    records: list[configstore.ChangeRecord]
    is_complete: bool


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a change.

    Attributes:
        key_id: Id of the key that the change issued.
    """

    outcome: str
    version: ids.ConfigVersion
    reason: str = ''
    path: str = ''
    key_id: str = ''


class InForceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a version in one failure domain.

    Attributes:
        in_force: Number of nodes at which the version is in force.
        waiting: Nodes that have not confirmed the version.
    """

    in_force: int
    total: int
    waiting: tuple[ids.NodeId, ...]


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Problem document of a request that was not served."""

    title: str
    status: int
    detail: str = ''
