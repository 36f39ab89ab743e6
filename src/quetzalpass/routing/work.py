"""What the routing package is told of one request, and what became of it."""

import enum

import msgspec

from quetzalpass import ids


class ReservationOutcome(enum.Enum):
    """How a request left its backend server."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    # The server answered that it did not run the request.
    REFUSED_BY_SERVER = "refused_by_server"
    # The server answered with an error; it is alive.
    FAILED = "failed"
    # The server died or can't be reached.
    SERVER_LOST = "server_lost"
    # The request was moved on purpose, as from a leaving server.
    MOVED = "moved"


class WorkItem(msgspec.Struct, frozen=True):
    """One request that needs a place on a backend server.

    Attributes
    ----------
    request_id : ids.RequestId
        Unique among the requests that the gateway holds.
    organisation : ids.OrganisationId
        Whose share of the service it uses.
    class_name : ids.ClassName
        Class whose output lengths are learned together.
    model : ids.ModelName
        Model, or the name of a plain service.
    version : ids.VersionName or None
        Version that must be used; any when ``None``.
    adapter : ids.AdapterName or None
        Adapter that the server must load.
    prompt_tokens : int
        Length of the prompt in tokens.
    prefix_hashes : tuple of int
        Hashes of the leading full blocks of the prompt, each covering all before it.
    priority : int
        A lower number goes first.
    must_not_drop : bool
        The request is never refused for a full queue.
    deadline_s : float or None
        Time on the loop's clock after which the answer is of no use.
    max_tokens : int
        Most tokens that the output may have.
    generated_tokens : int
        Tokens that exist already, when a generation is resumed elsewhere.
    suspect : bool
        It may have crashed a server; it runs alone among suspects on one.
    excluded : frozenset of ids.ServerId
        Servers that must not run it.
    """

    request_id: ids.RequestId
    organisation: ids.OrganisationId
    class_name: ids.ClassName
    model: ids.ModelName
    version: ids.VersionName | None = None
    adapter: ids.AdapterName | None = None
    prompt_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    priority: int = 1
    must_not_drop: bool = False
    deadline_s: float | None = None
    max_tokens: int = 4096
    generated_tokens: int = 0
    suspect: bool = False
    excluded: frozenset[ids.ServerId] = frozenset()


class Choice(msgspec.Struct, frozen=True):
    """A policy's answer: the server, and the figures that decided it.

    Attributes
    ----------
    server_id : ids.ServerId
        Server that is to run the request.
    reason : str
        One sentence with the figures.
    score : float
        Cost that the policy saw; lower is better.
    matched_tokens : int
        Prompt tokens that the server's prefix cache is expected to hold.
    excess_cost_s : float
        Cost beyond that on the best server, had it room, in seconds. The request waits
        for a better place as long as that is longer than the wait.
    report_age_s : float or None
        Age of the load report that was used, in seconds.
    """

    server_id: ids.ServerId
    reason: str
    score: float = 0.0
    matched_tokens: int = 0
    excess_cost_s: float = 0.0
    report_age_s: float | None = None
