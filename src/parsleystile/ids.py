"""Identifiers of everything that parsleystile names.

Each is a ``NewType`` so that a type checker tells a target from a service;
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
# Unique to one call that claims an idempotency key.
ClaimId = typing.NewType('ClaimId', str)
OperatorName = typing.NewType('OperatorName', str)
ChangeId = typing.NewType('ChangeId', str)

# Unique on one link for the life of the connection.
CallId = typing.NewType('CallId', int)
# Unique in the fleet; names a root request and the whole tree below it.
RootId = typing.NewType('RootId', str)
# Opaque to the target; names one call in flight at one node.
ContextToken = typing.NewType('ContextToken', str)

ConfigVersion = typing.NewType('ConfigVersion', int)
LeaseEpoch = typing.NewType('LeaseEpoch', int)
Incarnation = typing.NewType('Incarnation', int)

# Calls on routes that are open to all are accounted to this organisation.
OPEN_ORGANISATION = OrganisationId('')
