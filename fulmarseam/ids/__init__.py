"""Identifier types shared by all modules."""

from typing import NewType

HostId = NewType('HostId', str)
MemberId = NewType('MemberId', str)
EntryId = NewType('EntryId', str)
TargetId = NewType('TargetId', str)
PoolName = NewType('PoolName', str)
RouteName = NewType('RouteName', str)
RegionName = NewType('RegionName', str)
DomainName = NewType('DomainName', str)
OrganisationName = NewType('OrganisationName', str)
RequestId = NewType('RequestId', str)
EditId = NewType('EditId', str)
Revision = NewType('Revision', int)
Term = NewType('Term', int)
Incarnation = NewType('Incarnation', int)
