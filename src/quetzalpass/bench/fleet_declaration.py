"""Generated declarations of any size, for benchmarks."""

import hashlib

from quetzalpass import ids
from quetzalpass.declarations import schema

MODELS = 14
DATA_CENTRES = 8


def make_declaration(organisations: int, servers: int) -> schema.Declaration:
    """Create a declaration with a given number of organisations and engines.

    Parameters
    ----------
    organisations : int
        Number of organisations, each with one API key.
    servers : int
        Number of engines, each on its own VM.
    """
    return schema.Declaration(
        models=tuple(
            schema.Model(ids.ModelName(f"model-{n:02}"), ids.VersionName("1"))
            for n in range(MODELS)
        ),
        organisations=tuple(
            schema.Organisation(
                ids.OrganisationId(f"organisation-{n:05}"),
                (hashlib.sha256(str(n).encode()).hexdigest(),),
            )
            for n in range(organisations)
        ),
        data_centres=tuple(
            schema.DataCentre(data_centre_id(n), ids.RegionId(f"region-{n % 3}"))
            for n in range(DATA_CENTRES)
        ),
        vms=tuple(
            schema.Vm(ids.VmId(f"vm-{n:05}"), data_centre_id(n)) for n in range(servers)
        ),
        servers=tuple(
            schema.BackendServer(
                ids.ServerId(f"engine-{n:05}"),
                ids.VmId(f"vm-{n:05}"),
                schema.ServerKind.ENGINE,
                "http://10.0.0.1:8000",
                (ids.ModelName(f"model-{n % MODELS:02}"),),
            )
            for n in range(servers)
        ),
    )


def data_centre_id(number: int) -> ids.DataCentreId:
    """Return the data centre of the VM with this number."""
    return ids.DataCentreId(f"dc-{number % DATA_CENTRES}")
