"""Abstract base classes of backend servers and the values that they exchange.

Nothing outside this package knows the protocol of an engine or of a service. An
adapter for another protocol is one module that subclasses ``ModelEngine`` or
``PlainService`` and one line in ``backends.registry``.
"""

import abc
import asyncio
import enum
from collections.abc import Mapping

import msgspec
from returns import result

from quetzalpass import ids


class AttemptEnd(enum.Enum):
    """How one attempt at a backend server ended, as far as can be proved.

    ``NOT_SENT`` means that no byte of the request left this process.
    ``REFUSED`` means that the server said it did not run the request.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class FailureKind(enum.Enum):
    """Why an attempt or a stream failed."""

    UNREACHABLE = "unreachable"
    OVERLOADED = "overloaded"
    CLOSED = "closed"
    SILENT = "silent"
    CROSSED = "crossed"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    UNKNOWN_GENERATION = "unknown_generation"
    REJECTED = "rejected"
    FENCED = "fenced"


class AttemptFailure(msgspec.Struct, frozen=True):
    """A failed attempt.

    Attributes
    ----------
    end : AttemptEnd
        What is known about whether it ran.
    kind : FailureKind
        Cause of the failure.
    message : str
        One sentence for the log and the caller.
    retry_after_ms : int or None
        When the server asked to come back.
    """

    end: AttemptEnd
    kind: FailureKind
    message: str
    retry_after_ms: int | None = None


class GenerationCall(msgspec.Struct, frozen=True):
    """A generation to start, or to continue on another replica.

    Attributes
    ----------
    generation_id : GenerationId
        Chosen by the gateway; the engine echoes it with every token.
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
        Largest output length.
    priority : int
        Larger goes first.
    tokens_so_far : tuple of str
        Tokens already delivered, when a generation continues on another replica.
    parameters : dict
        Sampling parameters that are passed on unchanged.
    time_left_ms : int or None
        Time until the caller's deadline, told to the engine.
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
        ``stop`` or ``length`` in the last batch.
    ended : bool
        Whether the end mark arrived: nothing follows.
    """

    offset: int
    texts: list[str]
    finish_reason: str | None = None
    ended: bool = False


class TokenSink(abc.ABC):
    """Takes the tokens of a stream as they arrive, without a task in between."""

    @abc.abstractmethod
    def take(self, batch: TokenBatch) -> bool:
        """Take the next batch at once.

        Returns
        -------
        bool
            Whether the stream should go on; ``False`` pauses it behind this batch.
        """


class Forwarded(enum.Enum):
    """Why a stream stopped to forward.

    ``ENDED``: the last batch was taken. ``PAUSED``: the sink wants no more for now.
    ``DUE``: the time that the caller named has come.
    """

    ENDED = "ended"
    PAUSED = "paused"
    DUE = "due"


def outcome_of(batch: TokenBatch) -> Forwarded:
    """Return why a stream stops behind a batch that ended it or was not accepted."""
    return Forwarded.ENDED if batch.ended else Forwarded.PAUSED


class TokenStream(abc.ABC):
    """An open stream of one generation."""

    async def forward(
        self, sink: TokenSink, silence_s: float, until_s: float
    ) -> result.Result[Forwarded, AttemptFailure]:
        """Hand batches to a sink as they arrive.

        Parameters
        ----------
        sink : TokenSink
            Where the batches go.
        silence_s : float
            Longest wait without a token or a keep-alive, in seconds.
        until_s : float
            Loop time at which to return; a stream may overrun it by one wait.

        Returns
        -------
        Result
            Why it stopped, or why the stream broke.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            received = await self.next_batch(silence_s)
            if isinstance(received, result.Failure):
                return received
            batch = received.unwrap()
            accepted = sink.take(batch)
            if batch.ended or not accepted:
                return result.Success(outcome_of(batch))
        return result.Success(Forwarded.DUE)

    @abc.abstractmethod
    async def next_batch(
        self, silence_s: float
    ) -> result.Result[TokenBatch, AttemptFailure]:
        """Wait for tokens.

        Parameters
        ----------
        silence_s : float
            Longest wait without a token or a keep-alive, in seconds.

        Returns
        -------
        Result
            The next batch with checked offsets and ids, or why the stream broke.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection without cancelling the generation."""


class ServiceCall(msgspec.Struct, frozen=True):
    """A call of a plain service."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    request_id: ids.RequestId
    idempotency_key: ids.IdempotencyKey | None


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The answer of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's own report of its load; it lags behind.

    Attributes
    ----------
    running, waiting : int
        Sequences in the batch and in the engine's queue.
    tokens_held, memory_tokens : int
        Tokens whose state is in memory, and how many fit.
    preemptions : int
        Preemptions since the start.
    age_s : float
        How old the figures are.
    prefill_tokens : int
        Prompt tokens that wait to be computed.
    step_s : float
        Mean duration of the last decoding steps, in seconds.
    adapters : tuple of AdapterName
        Adapters that are loaded.
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
    """Orders carry the term and the log index under which they were given."""

    term: ids.Term
    index: ids.LogIndex


class OrderVerb(enum.Enum):
    """What an engine can be ordered to do."""

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
        An engine that checks it refuses a lower number than it has seen.
    verb : OrderVerb
        What to do.
    model : ModelName
        Model concerned.
    version, adapter, role : str or None
        Further subject of the verb.
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
    """What an engine says of itself.

    Attributes
    ----------
    fencing : FencingNumber
        Highest fencing number that it has seen.
    models : tuple of LoadedModel
        Loaded models.
    role : str
        Role that it plays.
    """

    fencing: FencingNumber
    models: tuple[LoadedModel, ...]
    role: str


class Backend(abc.ABC):
    """A backend server of any kind."""

    @abc.abstractmethod
    async def check_health(self, timeout_s: float) -> bool:
        """Return whether the server answers on a new connection."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class ModelEngine(Backend):
    """A backend server that generates tokens."""

    @abc.abstractmethod
    async def start(
        self, call: GenerationCall, timeout_s: float
    ) -> result.Result[TokenStream, AttemptFailure]:
        """Start a generation, or continue one from its tokens."""

    @abc.abstractmethod
    async def resume(
        self, generation_id: ids.GenerationId, offset: int, timeout_s: float
    ) -> result.Result[TokenStream, AttemptFailure]:
        """Open a new stream of a generation that this engine still runs."""

    @abc.abstractmethod
    async def cancel(
        self, generation_id: ids.GenerationId, only_if_detached: bool = False
    ) -> None:
        """Stop a generation; it is no error if it has ended.

        Parameters
        ----------
        generation_id : GenerationId
            The generation.
        only_if_detached : bool
            Leave it alone if some stream of it is open.
        """

    @abc.abstractmethod
    async def load_report(
        self, timeout_s: float
    ) -> result.Result[LoadReport, AttemptFailure]:
        """Ask for the load."""

    @abc.abstractmethod
    async def order(
        self, order: EngineOrder, timeout_s: float
    ) -> result.Result[None, AttemptFailure]:
        """Give an order; a refusal is ``REFUSED`` of the kind ``FENCED``."""

    @abc.abstractmethod
    async def state(
        self, timeout_s: float
    ) -> result.Result[EngineState, AttemptFailure]:
        """Read back what is loaded and the highest fencing number."""


class PlainService(Backend):
    """A backend server that answers plain calls."""

    @abc.abstractmethod
    async def call(
        self, call: ServiceCall, timeout_s: float
    ) -> result.Result[ServiceAnswer, AttemptFailure]:
        """Make one call; it is never repeated in here."""

    @abc.abstractmethod
    async def find_outcome(
        self, path: str, timeout_s: float
    ) -> result.Result[ServiceAnswer, AttemptFailure]:
        """Ask by key whether an earlier call ran."""
