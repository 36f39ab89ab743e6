"""Schema of a declaration: everything that operators declare, as one value.

A declaration is written as a folder of YAML files, each with some of the fields below.
The lists of all files are concatenated, so that one file can contain the models and
another the organisations. Names of durations and sizes end with the unit.
"""

import enum
import hashlib

import msgspec

from quetzalpass import ids
from quetzalpass.declarations import relays, strict


class ServiceState(enum.Enum):
    """Whether a VM or a backend server accepts new work."""

    IN_SERVICE = "in_service"
    LEAVING = "leaving"
    OUT_OF_SERVICE = "out_of_service"


class ServerKind(enum.Enum):
    """Which client of the package ``backends`` is used for a backend server."""

    ENGINE = "engine"
    SERVICE = "service"


class Adapter(strict.Strict, frozen=True):
    """A low-rank adapter of a model.

    Attributes
    ----------
    name : AdapterName
        Name that callers append to the model name as ``model:adapter``.
    size_mb : int
        Size in the weight store, in megabytes.
    """

    name: ids.AdapterName
    size_mb: int = 100


class Model(strict.Strict, frozen=True):
    """A model that callers may request.

    Attributes
    ----------
    name : ModelName
        Name in callers' requests.
    version : VersionName
        Version that replicas should serve.
    previous_version : VersionName or None
        Version that replicas may still serve during a rollout.
    size_mb : int
        Size in the weight store, in megabytes.
    adapters : tuple of Adapter
        Adapters that may be loaded with it.
    minimum_ready : int
        Number of ready replicas that a rollout or a drain order must leave.
    context_tokens : int
        Largest sum of prompt and output, in tokens.
    default_class : ClassName or None
        Class of requests that specify none.
    """

    name: ids.ModelName
    version: ids.VersionName
    previous_version: ids.VersionName | None = None
    size_mb: int = 10_000
    adapters: tuple[Adapter, ...] = ()
    minimum_ready: int = 1
    context_tokens: int = 32_768
    default_class: ids.ClassName | None = None


class PriorityClass(strict.Strict, frozen=True):
    """A class of requests with the same priority and limits.

    Attributes
    ----------
    name : ClassName
        Value of the header ``Quetzalpass-Class``.
    priority : int
        Rank of its requests; the largest goes first.
    must_not_drop : bool
        Whether its requests are queued instead of rejected while other requests yield.
    reserved_share : float
        Share of an engine's memory reserved for this class, 0 to 1. Validated only:
        routing doesn't use it yet.
    expected_tokens : int
        Output length assumed until one has been observed. Validated only: routing
        doesn't use it yet.
    queue_timeout_s : float
        Longest wait in the gateway before a request is rejected.
    hedge_after_s : float or None
        Delay after which a request that may run twice is sent a second time.
    """

    name: ids.ClassName
    priority: int = 0
    must_not_drop: bool = False
    reserved_share: float = 0.0
    expected_tokens: int = 256
    queue_timeout_s: float = 30.0
    hedge_after_s: float | None = None


class Organisation(strict.Strict, frozen=True):
    """An organisation whose callers use the system.

    Attributes
    ----------
    id : OrganisationId
        Identifier used in logs and metrics.
    key_sha256 : tuple of str
        SHA-256 of each accepted key, in hexadecimal.
    weight : float
        Weight in fair queueing.
    requests_per_s : float
        Rate limit over the whole data centre.
    burst_requests : int
        Number of requests that may arrive at once.
    max_streams : int
        Number of generations that may run at once.
    tokens_per_s : float
        Limit on output tokens.
    priority : int or None
        Rank of its requests on routes, where 0 goes first; the rank of the route if not
        given.
    """

    id: ids.OrganisationId
    key_sha256: tuple[str, ...]
    weight: float = 1.0
    requests_per_s: float = 100.0
    burst_requests: int = 200
    max_streams: int = 1_000
    tokens_per_s: float = 100_000.0
    priority: int | None = None


class DataCentre(strict.Strict, frozen=True):
    """A data centre and its region.

    Attributes
    ----------
    id : DataCentreId
        Identifier, the same as in the daemons' settings.
    region : RegionId
        Region that the data centre is in.
    """

    id: ids.DataCentreId
    region: ids.RegionId


class Vm(strict.Strict, frozen=True):
    """A VM that runs backend servers.

    Attributes
    ----------
    id : VmId
        Identifier, the same as in the platform's list.
    data_centre : DataCentreId
        Data centre that it runs in.
    state : ServiceState
        Whether it accepts new work.
    deadline : str or None
        ISO 8601 time with time zone by which a leaving VM must be empty.
    """

    id: ids.VmId
    data_centre: ids.DataCentreId
    state: ServiceState = ServiceState.IN_SERVICE
    deadline: str | None = None


class BackendServer(strict.Strict, frozen=True):
    """A model engine or a plain service on a VM.

    Attributes
    ----------
    id : ServerId
        Identifier.
    vm : VmId
        VM that it runs on.
    kind : ServerKind
        Whether it is a model engine or belongs to a plain service.
    url : str
        Base URL, ``http://host:port``.
    models : tuple of ModelName
        Models that an engine serves.
    service : ServiceName or None
        Service that a plain server belongs to.
    memory_tokens : int
        Tokens whose state fits into an engine's memory.
    max_batch : int
        Sequences that an engine decodes at once.
    checks_fencing : bool
        Whether the engine rejects orders with an old fencing number.
    resumes_across_replicas : bool
        Whether any replica of the same model, version and adapter can continue a
        generation from its tokens.
    """

    id: ids.ServerId
    vm: ids.VmId
    kind: ServerKind
    url: str
    models: tuple[ids.ModelName, ...] = ()
    service: ids.ServiceName | None = None
    memory_tokens: int = 100_000
    max_batch: int = 64
    checks_fencing: bool = False
    resumes_across_replicas: bool = False


class Route(strict.Strict, frozen=True):
    """A route of a plain service whose calls must not run twice.

    Attributes
    ----------
    method : str
        HTTP method, in upper case.
    path_prefix : str
        Prefix of the paths that belong to the route.
    """

    method: str
    path_prefix: str


class Service(strict.Strict, frozen=True):
    """A service that callers and routes refer to by name.

    Attributes
    ----------
    name : ServiceName
        Name in ``/services/{service}/{path}``.
    non_idempotent_routes : tuple of Route
        Routes whose calls run at most once.
    outcome_path : str or None
        Path with ``{key}`` that returns whether a call ran, if the service has one.
    default_class : ClassName or None
        Class of calls that specify none.
    max_connections : int or None
        Number of connections that each of its servers accepts from all gateways
        together.
    engine : EngineTraits or None
        Given if its servers are model engines that routes refer to.
    """

    name: ids.ServiceName
    non_idempotent_routes: tuple[Route, ...] = ()
    outcome_path: str | None = None
    default_class: ids.ClassName | None = None
    max_connections: int | None = None
    engine: relays.EngineTraits | None = None


class Objective(strict.Strict, frozen=True):
    """How routing weighs stall time against the tail of gaps between tokens.

    Attributes
    ----------
    stall_weight : float
        Weight of stall time.
    gap_weight : float
        Weight of the tail of gaps between tokens.
    """

    stall_weight: float = 1.0
    gap_weight: float = 1.0


class Retention(strict.Strict, frozen=True):
    """How long outcomes are kept in the ledger, and how many.

    Attributes
    ----------
    outcome_s : float
        How long a recorded outcome is replayed to repeated requests.
    body_bytes : int
        Largest response body that is recorded; for a larger one, only the digest is
        kept.
    max_claims : int
        Number of claims and outcomes that one ledger group holds.
    """

    outcome_s: float = 86_400.0
    body_bytes: int = 65_536
    max_claims: int = 200_000


class WeightStore(strict.Strict, frozen=True):
    """The store that engines load weights from, with its rate limit.

    Attributes
    ----------
    megabytes_per_s : float
        Highest total rate of all loads.
    """

    megabytes_per_s: float = 1_000.0


class Declaration(strict.Strict, frozen=True):
    """Everything that operators declare, applied whole or not at all.

    Attributes
    ----------
    models : tuple of Model
        Models that callers may request.
    classes : tuple of PriorityClass
        Classes of requests.
    organisations : tuple of Organisation
        Organisations whose callers use the system.
    data_centres : tuple of DataCentre
        Data centres.
    vms : tuple of Vm
        VMs that run backend servers.
    servers : tuple of BackendServer
        Model engines and servers of plain services.
    services : tuple of Service
        Plain services.
    objective : Objective
        How routing weighs stall time against gaps between tokens.
    retention : Retention
        How long the ledger keeps outcomes, and how many.
    weight_store : WeightStore
        Store that engines load weights from.
    routes : tuple of HostRoute
        Hosts and paths whose requests are relayed to a service.
    caller_limits : CallerLimits
        Limits on the size and the timing of requests from callers of routes.
    """

    models: tuple[Model, ...] = ()
    classes: tuple[PriorityClass, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    vms: tuple[Vm, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    services: tuple[Service, ...] = ()
    objective: Objective = Objective()
    retention: Retention = Retention()
    weight_store: WeightStore = WeightStore()
    routes: tuple[relays.HostRoute, ...] = ()
    caller_limits: relays.CallerLimits = relays.CallerLimits()


def encode(declaration: Declaration) -> bytes:
    """Encode a declaration as canonical JSON."""
    return msgspec.json.encode(declaration, order="deterministic")


def decode(data: bytes) -> Declaration:
    """Decode a declaration from JSON.

    Raises
    ------
    msgspec.ValidationError
        If the data is not a declaration.
    """
    return msgspec.json.decode(data, type=Declaration)


def digest_of(data: bytes) -> str:
    """Return the SHA-256 of the canonical form, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
