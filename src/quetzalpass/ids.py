"""Identifier types shared by all packages."""

from typing import NewType

from quetzalpass import ranges

VmId = NewType("VmId", str)
DataCentreId = NewType("DataCentreId", str)
UNKNOWN_DATA_CENTRE = DataCentreId("")
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
AllocationId = NewType("AllocationId", str)
OperationId = NewType("OperationId", str)
ReplicaId = NewType("ReplicaId", str)
GroupId = NewType("GroupId", str)
PromptPartId = NewType("PromptPartId", str)
Revision = NewType("Revision", ranges.Integer)
Term = NewType("Term", ranges.Integer)
LogIndex = NewType("LogIndex", ranges.Integer)
