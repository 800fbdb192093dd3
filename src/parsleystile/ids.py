"""Types of the identifiers that parsleystile uses.

Each is a ``NewType``, so that a type checker reports mixed-up identifiers;
at run time they are plain strings and integers.
"""

import typing

NodeId = typing.NewType('NodeId', str)
VmId = typing.NewType('VmId', str)
RegionId = typing.NewType('RegionId', str)
FailureDomainId = typing.NewType('FailureDomainId', str)
OrganisationId = typing.NewType('OrganisationId', str)
TargetId = typing.NewType('TargetId', str)
ServiceName = typing.NewType('ServiceName', str)
RouteId = typing.NewType('RouteId', str)
PresetName = typing.NewType('PresetName', str)
KeyId = typing.NewType('KeyId', str)
# Identifies one call that claims an idempotency key.
ClaimId = typing.NewType('ClaimId', str)
OperatorName = typing.NewType('OperatorName', str)
ChangeId = typing.NewType('ChangeId', str)

# Unique per link while its connection lasts.
CallId = typing.NewType('CallId', int)
# Unique in the fleet; identifies a root request and its call tree.
RootId = typing.NewType('RootId', str)
# Opaque to the target; identifies a call in flight at one node.
ContextToken = typing.NewType('ContextToken', str)

ConfigVersion = typing.NewType('ConfigVersion', int)
LeaseEpoch = typing.NewType('LeaseEpoch', int)
Incarnation = typing.NewType('Incarnation', int)

# Calls on open routes without a valid key are accounted to this organisation.
OPEN_ORGANISATION = OrganisationId('')
