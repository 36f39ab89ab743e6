"""Schema of routes: which requests are relayed to which service, and how."""

import enum

from quetzalpass import ids
from quetzalpass.declarations import strict


class RouteKind(enum.Enum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(strict.Strict, frozen=True):
    """One of the services that share the requests of a route.

    Attributes
    ----------
    service : ServiceName
        The service.
    weight : float
        Its share of the requests, relative to the weights of the others.
    """

    service: ids.ServiceName
    weight: float = 1.0


class HostRoute(strict.Strict, frozen=True):
    """Requests with one host and path prefix; the longest prefix wins.

    Attributes
    ----------
    name : RouteName
        Identifier used in logs and metrics.
    host : str
        Host that the request is for.
    path_prefix : str
        Prefix of the paths; it begins and ends with a slash.
    kind : RouteKind
        Whether its requests may run more than once.
    timeout_ms : int
        Longest time that a request may wait.
    shares : tuple of ServiceShare
        Services that its requests go to.
    objective_ms : int
        Time within which a response, or the first event of a stream, should arrive.
    gap_objective_ms : int or None
        Longest pause between two events of a stream.
    priority : int
        Rank of its requests; 0 goes first.
    attempts : int
        Number of backend servers that one request may run on.
    public : bool
        Whether requests are accepted without the key of an organisation.
    """

    name: ids.RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    shares: tuple[ServiceShare, ...]
    objective_ms: int = 1_000
    gap_objective_ms: int | None = None
    priority: int = 0
    attempts: int = 1
    public: bool = False


class EngineTraits(strict.Strict, frozen=True):
    """Capacity and features of the engines of a service, the same for all of them.

    Attributes
    ----------
    max_batch : int
        Generations that run at once on one engine.
    memory_tokens : int
        Tokens whose state fits into the memory of one engine.
    tokens_per_event : int
        Tokens in each event of a stream.
    token_bytes : int
        Memory that the state of one token takes.
    link_mbps : float
        Rate at which memory is copied to another engine, in megabits a second.
    moves : bool
        Whether a running generation can be moved to another engine.
    backups : bool
        Whether the state of a running generation can be copied to another engine while
        it grows.
    copy_lifetime_s : float
        How long an unused copy is kept.
    prefill_tokens_per_s : float
        Assumed prefill rate of one engine, in prompt tokens a second, until it has been
        measured.
    """

    max_batch: int
    memory_tokens: int
    tokens_per_event: int = 1
    token_bytes: int = 0
    link_mbps: float = 0.0
    moves: bool = False
    backups: bool = False
    copy_lifetime_s: float = 5.0
    prefill_tokens_per_s: float = 7_000.0


class CallerLimits(strict.Strict, frozen=True):
    """Limits on the size and the timing of requests from callers of routes.

    Attributes
    ----------
    header_bytes : int
        Largest header of a request.
    body_bytes : int
        Largest body of a request.
    header_timeout_ms : int
        Longest time until the header of a request has arrived.
    idle_timeout_ms : int
        How long a connection without a request is kept open.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
