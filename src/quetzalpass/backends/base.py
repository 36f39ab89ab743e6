"""Abstract base classes of backend adapters, and their request and result types.

Code outside this package doesn't depend on the protocol of an engine or a service. To
support another protocol, add a module that subclasses ``ModelEngine`` or
``PlainService`` and an entry in ``backends.registry``.
"""

import abc
import asyncio
import enum
from collections.abc import Mapping

import msgspec
from returns import result

from quetzalpass import ids


class AttemptEnd(enum.Enum):
    """How far an attempt on a backend server got, as far as can be proved.

    ``NOT_SENT`` means that no byte of the request left this process.
    ``REFUSED`` means that the server reported that it did not run the request.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class FailureKind(enum.Enum):
    """Why an attempt or a stream failed.

    ``REPLACED`` means that another server responded at the server's address,
    ``RATE_LIMITED`` that the server's limit allowed no request, and ``NO_ROOM`` that
    the response was given up as this process holds too much of others.
    """

    UNREACHABLE = "unreachable"
    OVERLOADED = "overloaded"
    REPLACED = "replaced"
    RATE_LIMITED = "rate_limited"
    CLOSED = "closed"
    SILENT = "silent"
    CROSSED = "crossed"
    TOO_LARGE = "too_large"
    NO_ROOM = "no_room"
    MALFORMED = "malformed"
    UNKNOWN_GENERATION = "unknown_generation"
    REJECTED = "rejected"
    FENCED = "fenced"


class RateNotice(msgspec.Struct, frozen=True):
    """What a response says about the requests that its server takes from all gateways.

    Attributes
    ----------
    per_s : float or None
        Requests per second; ``None`` if the server names no limit.
    """

    per_s: float | None = None


class ServerNotice(msgspec.Struct, frozen=True):
    """What a response says about the state of its server.

    Attributes
    ----------
    max_refusals_per_s : float or None
        Set while the servers of the service are brittle: each falls over if it has to
        refuse more requests than this within a second.
    rest_s : float
        Time for which the server wants no requests of this gateway, in seconds.
    is_leaving : bool
        Whether the server will leave and wants no new work.
    """

    max_refusals_per_s: float | None = None
    rest_s: float = 0.0
    is_leaving: bool = False


class AttemptFailure(msgspec.Struct, frozen=True):
    """A failed attempt.

    Attributes
    ----------
    end : AttemptEnd
        Whether the request ran, as far as is known.
    kind : FailureKind
        Cause of the failure.
    message : str
        One sentence for the log and the caller.
    retry_after_ms : int or None
        Delay after which the server asks for a retry.
    rate_notice : RateNotice or None
        Limit that a response named; ``None`` if there was no response, or if the limit
        in it can't be read.
    notice : ServerNotice or None
        What a response said about its server; ``None`` if there was no response.
    """

    end: AttemptEnd
    kind: FailureKind
    message: str
    retry_after_ms: int | None = None
    rate_notice: RateNotice | None = None
    notice: ServerNotice | None = None


class GenerationCall(msgspec.Struct, frozen=True):
    """A generation to start, or to continue on another replica.

    Attributes
    ----------
    generation_id : GenerationId
        Chosen by the gateway; the engine sends it back with every token.
    request_id : RequestId
        For the engine's log.
    model : ModelName
        Model to run.
    version : VersionName
        Version to run.
    adapter : AdapterName or None
        Adapter to apply.
    prompt : str or None
        Plain prompt; ``None`` for a chat.
    messages : tuple of ChatMessage
        Chat messages; empty for a plain prompt.
    max_tokens : int
        Maximum output length in tokens.
    priority : int
        Requests with a larger number run first.
    tokens_so_far : tuple of str
        Tokens already delivered, if the generation continues on another replica.
    parameters : dict
        Sampling parameters, which are forwarded unchanged.
    time_left_ms : int or None
        Time until the caller's deadline, which is sent to the engine.
    """

    generation_id: ids.GenerationId
    request_id: ids.RequestId
    model: ids.ModelName
    version: ids.VersionName
    adapter: ids.AdapterName | None
    prompt: str | None
    messages: tuple["ChatMessage", ...]
    max_tokens: int
    priority: int
    tokens_so_far: tuple[str, ...] = ()
    parameters: Mapping[str, msgspec.Raw] = {}
    time_left_ms: int | None = None


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class TokenBatch(msgspec.Struct, frozen=True):
    """Consecutive tokens of one generation that arrived together.

    Attributes
    ----------
    offset : int
        Position of the first token in the generation, from 0.
    texts : list of str
        The tokens; empty in a batch that only ends the stream.
    finish_reason : str or None
        ``stop`` or ``length`` with the last token.
    ended : bool
        Whether this is the last batch, as the end marker was received.
    """

    offset: int
    texts: list[str]
    finish_reason: str | None = None
    ended: bool = False


class TokenSink(abc.ABC):
    """Consumes the tokens of a stream in the callback that receives them."""

    @abc.abstractmethod
    def consume(self, batch: TokenBatch) -> bool:
        """Consume the next batch without blocking.

        Returns
        -------
        bool
            Whether the sink accepts more; ``False`` pauses the stream after this batch.
        """


class ForwardEnd(enum.Enum):
    """Why ``TokenStream.forward`` returned without a failure.

    ``ENDED``: the sink has consumed the last batch. ``PAUSED``: the sink accepts no
    more at present. ``DUE``: the time ``until_s`` was reached.
    """

    ENDED = "ended"
    PAUSED = "paused"
    DUE = "due"


def forward_end(batch: TokenBatch) -> ForwardEnd:
    """Return why forwarding stops after a batch that ended or paused the stream."""
    return ForwardEnd.ENDED if batch.ended else ForwardEnd.PAUSED


class TokenStream(abc.ABC):
    """An open stream of one generation."""

    async def forward(
        self, sink: TokenSink, max_silence_s: float, until_s: float
    ) -> result.Result[ForwardEnd, AttemptFailure]:
        """Pass batches to a sink as they arrive.

        Parameters
        ----------
        sink : TokenSink
            Consumer of the batches.
        max_silence_s : float
            Maximum time without a token or a keep-alive, in seconds.
        until_s : float
            Loop time at which to return; a stream may return later by up to
            ``max_silence_s``.

        Returns
        -------
        Result
            Why forwarding stopped, or how the stream failed.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            received = await self.next_batch(max_silence_s)
            if isinstance(received, result.Failure):
                return received
            batch = received.unwrap()
            accepts_more = sink.consume(batch)
            if batch.ended or not accepts_more:
                return result.Success(forward_end(batch))
        return result.Success(ForwardEnd.DUE)

    @abc.abstractmethod
    async def next_batch(
        self, max_silence_s: float
    ) -> result.Result[TokenBatch, AttemptFailure]:
        """Wait for the next tokens.

        Parameters
        ----------
        max_silence_s : float
            Maximum time without a token or a keep-alive, in seconds.

        Returns
        -------
        Result
            The next batch, whose ids and offsets have been checked, or how the stream
            failed.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection without cancelling the generation."""


class ServiceCall(msgspec.Struct, frozen=True):
    """A request to a plain service."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    request_id: ids.RequestId
    idempotency_key: ids.IdempotencyKey | None


class ServiceResponse(msgspec.Struct, frozen=True):
    """The response of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class LoadReport(msgspec.Struct, frozen=True):
    """The load that an engine reports, which lags behind its present load.

    Attributes
    ----------
    running, waiting : int
        Sequences in the batch and in the engine's queue.
    tokens_held, memory_tokens : int
        Tokens in the key-value cache, and its capacity in tokens.
    preemptions : int
        Preemptions since the engine started.
    age_s : float
        Age of the report in seconds.
    prefill_tokens : int
        Prompt tokens whose prefill is pending.
    step_s : float
        Mean duration of the last decoding steps, in seconds.
    adapters : tuple of AdapterName
        Loaded adapters.
    """

    running: int
    waiting: int
    tokens_held: int
    memory_tokens: int
    preemptions: int = 0
    age_s: float = 0.0
    prefill_tokens: int = 0
    step_s: float = 0.0
    adapters: tuple[ids.AdapterName, ...] = ()


class FencingNumber(msgspec.Struct, frozen=True, order=True):
    """Term and log index under which an order was issued."""

    term: ids.Term
    index: ids.LogIndex


class OrderVerb(enum.Enum):
    """Actions that an engine can be ordered to take."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    CHANGE_ROLE = "change_role"


class EngineOrder(msgspec.Struct, frozen=True):
    """An order to an engine.

    Attributes
    ----------
    fencing : FencingNumber
        An engine that checks it refuses a lower number than the highest it has seen.
    verb : OrderVerb
        Action to take.
    model : ModelName
        Model that the action applies to.
    version, adapter, role : str or None
        Further arguments of the action.
    """

    fencing: FencingNumber
    verb: OrderVerb
    model: ids.ModelName
    version: ids.VersionName | None = None
    adapter: ids.AdapterName | None = None
    role: str | None = None


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that an engine has loaded or is loading."""

    name: ids.ModelName
    version: ids.VersionName
    ready: bool
    adapters: tuple[ids.AdapterName, ...] = ()


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports.

    Attributes
    ----------
    fencing : FencingNumber
        Highest fencing number that the engine has seen.
    models : tuple of LoadedModel
        Models that are loaded or loading.
    role : str
        Present role of the engine.
    """

    fencing: FencingNumber
    models: tuple[LoadedModel, ...]
    role: str


class Backend(abc.ABC):
    """A backend server of any kind."""

    @abc.abstractmethod
    async def check_health(self, timeout_s: float) -> bool:
        """Return whether the server responds on a new connection."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class ModelEngine(Backend):
    """A backend server that generates tokens."""

    @abc.abstractmethod
    async def start(
        self, call: GenerationCall, timeout_s: float
    ) -> result.Result[TokenStream, AttemptFailure]:
        """Start a generation, or continue one after the tokens it has so far."""

    @abc.abstractmethod
    async def resume(
        self, generation_id: ids.GenerationId, offset: int, timeout_s: float
    ) -> result.Result[TokenStream, AttemptFailure]:
        """Open a new stream, from an offset, of a generation that this engine runs."""

    @abc.abstractmethod
    async def cancel(
        self, generation_id: ids.GenerationId, only_if_detached: bool = False
    ) -> None:
        """Stop a generation; do nothing if it has ended.

        Parameters
        ----------
        generation_id : GenerationId
            Generation to stop.
        only_if_detached : bool
            Stop it only if no stream of it is open.
        """

    @abc.abstractmethod
    async def load_report(
        self, timeout_s: float
    ) -> result.Result[LoadReport, AttemptFailure]:
        """Request the engine's load report."""

    @abc.abstractmethod
    async def order(
        self, order: EngineOrder, timeout_s: float
    ) -> result.Result[None, AttemptFailure]:
        """Send an order; if it is outdated, fail with ``REFUSED`` and ``FENCED``."""

    @abc.abstractmethod
    async def state(
        self, timeout_s: float
    ) -> result.Result[EngineState, AttemptFailure]:
        """Request the loaded models and the highest fencing number."""


class PlainService(Backend):
    """A backend server that serves plain HTTP requests."""

    @abc.abstractmethod
    async def call(
        self, call: ServiceCall, timeout_s: float
    ) -> result.Result[ServiceResponse, AttemptFailure]:
        """Send a request once, without retries."""

    @abc.abstractmethod
    async def find_outcome(
        self, path: str, timeout_s: float
    ) -> result.Result[ServiceResponse, AttemptFailure]:
        """Look up the outcome of an earlier call at the path for its key."""
