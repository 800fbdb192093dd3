"""What the listener for operators answers, as JSON documents."""

import msgspec

from parsleystile import configstore
from parsleystile import fleetconfig
from parsleystile import ids


class MemberAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A member as this node sees it."""

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
    """A node in short.

    Attributes:
        pending_withdrawals: Keys withdrawn ahead of the document.
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
    """The document in force here."""

    version: ids.ConfigVersion
    document: fleetconfig.FleetConfig


class HistoryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, oldest first.

    Attributes:
        is_complete: The table answered; if not, these are the changes
            that this node remembers.
    """

    records: list[configstore.ChangeRecord]
    is_complete: bool


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a change.

    Attributes:
        key_id: Of the key that the change issued.
    """

    outcome: str
    version: ids.ConfigVersion
    reason: str = ''
    path: str = ''
    key_id: str = ''


class InForceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """How far a version has got in one failure domain."""

    in_force: int
    total: int
    waiting: tuple[ids.NodeId, ...]


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request was not served."""

    title: str
    status: int
    detail: str = ''
