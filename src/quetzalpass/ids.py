"""Identifier types shared by every package."""

from typing import NewType

VmId = NewType("VmId", str)
DataCentreId = NewType("DataCentreId", str)
RegionId = NewType("RegionId", str)
OrganisationId = NewType("OrganisationId", str)
ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
AdapterName = NewType("AdapterName", str)
ClassName = NewType("ClassName", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
RequestId = NewType("RequestId", str)
GenerationId = NewType("GenerationId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
OperationId = NewType("OperationId", str)
ReplicaId = NewType("ReplicaId", str)
GroupId = NewType("GroupId", str)
Revision = NewType("Revision", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
