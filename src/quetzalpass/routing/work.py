"""A request as the routing package sees it, its choice of server and its outcome."""

import enum

import msgspec

from quetzalpass import ids


class ReservationOutcome(enum.Enum):
    """How a request left its backend server."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    # The server responded that it did not run the request.
    REFUSED_BY_SERVER = "refused_by_server"
    # The server responded with an error; it is alive.
    FAILED = "failed"
    # The server crashed or can't be reached.
    SERVER_LOST = "server_lost"
    # The request was moved on purpose, such as from a leaving server.
    MOVED = "moved"


class WorkItem(msgspec.Struct, frozen=True):
    """One request to place on a backend server.

    Attributes
    ----------
    request_id : ids.RequestId
        Unique among the requests that the gateway holds.
    organisation : ids.OrganisationId
        Organisation whose share of capacity it uses.
    class_name : ids.ClassName
        Priority class; output lengths are learned per class.
    model : ids.ModelName
        Model, or the name of a plain service.
    version : ids.VersionName or None
        Version that must be used; any if ``None``.
    adapter : ids.AdapterName or None
        Adapter that the server must load.
    prompt_tokens : int
        Length of the prompt in tokens.
    prefix_hashes : tuple of int
        Hashes of the full blocks at the start of the prompt; each hash covers its
        block and all blocks before it.
    priority : int
        Requests with a lower number are placed first.
    must_not_drop : bool
        Whether the request is never refused because of a full queue.
    deadline_s : float or None
        Time on the event loop's clock after which a response is useless.
    max_tokens : int
        Maximum number of output tokens.
    generated_tokens : int
        Tokens that already exist if a generation is resumed on another server.
    suspect : bool
        Whether it may have crashed a server; a server runs one suspect at a time.
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
    """The server that a policy chose, and the figures behind the choice.

    Attributes
    ----------
    server_id : ids.ServerId
        Server that is to run the request.
    reason : str
        One sentence with the figures.
    score : float
        Cost by which the policy chose; lower is better.
    matched_tokens : int
        Prompt tokens that the server's prefix cache is expected to hold.
    excess_cost_s : float
        Cost above that of the best server regardless of capacity, in seconds. The
        request waits for a better server until it has waited for about this time.
    report_age_s : float or None
        Age of the load report that was used, in seconds.
    """

    server_id: ids.ServerId
    reason: str
    score: float = 0.0
    matched_tokens: int = 0
    excess_cost_s: float = 0.0
    report_age_s: float | None = None
