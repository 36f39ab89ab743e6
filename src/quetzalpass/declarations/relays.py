"""Declared routes: which requests are relayed to which service, and how."""

import enum

from quetzalpass import ids
from quetzalpass.declarations import strict


class RouteKind(enum.Enum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(strict.Strict, frozen=True):
    """One of the services that a route's requests are split among.

    Attributes
    ----------
    service : ServiceName
        The service.
    weight : float
        Its part, compared with the weights of the others.
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
        Host that the request names.
    path_prefix : str
        Start of the paths, which begins and ends with a slash.
    kind : RouteKind
        Whether its requests may run more than once.
    timeout_ms : int
        Longest time that a request is kept waiting.
    shares : tuple of ServiceShare
        Services that its requests go to.
    objective_ms : int
        Time within which an answer, or the first event of a stream, should come.
    gap_objective_ms : int or None
        Longest pause between two events of a stream.
    priority : int
        Rank of its requests, 0 first.
    attempts : int
        Backend servers that one request may run on.
    public : bool
        Requests need no key of an organisation.
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
    """What the engines of a service can do, alike for all of them.

    Attributes
    ----------
    max_batch : int
        Generations that run at once.
    memory_tokens : int
        Tokens whose state fits into memory.
    tokens_per_event : int
        Tokens in one event of a stream.
    token_bytes : int
        Memory that one token takes.
    link_mbps : float
        Rate at which memory is copied to another engine, in megabits a second.
    moves : bool
        A running generation can be moved to another engine.
    backups : bool
        The memory of a running generation can be copied as it grows.
    copy_lifetime_s : float
        How long an unused copy is kept.
    prefill_tokens_per_s : float
        Prompt tokens that one engine reads in a second, until it is measured.
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
    """What callers of routes may send, and how long they may take.

    Attributes
    ----------
    header_bytes : int
        Largest header of a request.
    body_bytes : int
        Largest body of a request.
    header_timeout_ms : int
        Longest time that a header may take to arrive.
    idle_timeout_ms : int
        How long a connection without a request is kept.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
