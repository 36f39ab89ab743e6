"""Builders of declarations and configurations for tests."""

import hashlib

from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration

KEY = "test-key"
MODEL = ids.ModelName("draft-llm")


def engine(name, vm=None, **changes):
    fields = {
        "id": ids.ServerId(name),
        "vm": ids.VmId(vm or f"vm-{name}"),
        "kind": schema.ServerKind.ENGINE,
        "url": "http://127.0.0.1:1",
        "models": (MODEL,),
        "checks_fencing": True,
    }
    return schema.BackendServer(**{**fields, **changes})


def declaration(servers, leaving=(), **changes):
    vms = {each.vm for each in servers}
    states = schema.ServiceState
    fields = {
        "models": (schema.Model(MODEL, ids.VersionName("1")),),
        "organisations": (
            schema.Organisation(
                ids.OrganisationId("carrier-1"),
                (hashlib.sha256(KEY.encode()).hexdigest(),),
            ),
        ),
        "data_centres": (
            schema.DataCentre(ids.DataCentreId("north-a"), ids.RegionId("north")),
        ),
        "vms": tuple(
            schema.Vm(
                vm,
                ids.DataCentreId("north-a"),
                states.LEAVING if vm in leaving else states.IN_SERVICE,
            )
            for vm in sorted(vms)
        ),
        "servers": tuple(servers),
    }
    return schema.Declaration(**{**fields, **changes})


def create_configuration(declared, revision=1):
    data = schema.encode(declared)
    return configuration.Configuration(
        ids.Revision(revision), schema.digest_of(data), data
    )
