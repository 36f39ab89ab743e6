"""Messages of the callers' interface, encoded and decoded on the caller's side."""

import msgspec


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = True


class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    content: str
    role: str = "user"


class GenerateBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a completion or chat completion request."""

    model: str
    stream: bool
    stream_options: StreamOptions
    max_tokens: int | None = None
    prompt: str | None = None
    messages: tuple[Message, ...] | None = None


class Delta(msgspec.Struct, frozen=True):
    """New text in an event of a chat completion."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """A choice of a streamed event: ``text``, or ``delta`` with the chat interface."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts of the whole response."""

    completion_tokens: int
    prompt_tokens: int = 0


class Chunk(msgspec.Struct, frozen=True):
    """Payload of one event."""

    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None


class GenerationRequest(msgspec.Struct, frozen=True):
    """A generation to request and the gateways to request it from.

    Attributes
    ----------
    gateways : tuple of str
        Base addresses of callers' listeners, in the order to try.
    key : str
        The organisation's key.
    model, prompt : str
        Name of the model, and the prompt.
    chat : bool
        Whether to use the chat interface.
    max_tokens : int or None
        Maximum output length, in tokens.
    class_name : str or None
        Priority class.
    timeout_ms : int or None
        Maximum time for the whole response, in milliseconds.
    silence_s : float
        Time without data after which a connection counts as lost, in seconds.
    """

    gateways: tuple[str, ...]
    key: str
    model: str
    prompt: str
    chat: bool = False
    max_tokens: int | None = None
    class_name: str | None = None
    timeout_ms: int | None = None
    silence_s: float = 30.0

    def path(self) -> str:
        """Return the request path."""
        return "/v1/chat/completions" if self.chat else "/v1/completions"

    def body(self) -> bytes:
        """Return the request body."""
        messages = (Message(self.prompt),) if self.chat else None
        body = GenerateBody(
            model=self.model,
            stream=True,
            stream_options=StreamOptions(),
            max_tokens=self.max_tokens,
            prompt=None if self.chat else self.prompt,
            messages=messages,
        )
        return msgspec.json.encode(body)

    def headers(self) -> dict[str, str]:
        """Return the request headers."""
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
            "Quetzalpass-Delivery": "stream",
        }
        if self.class_name is not None:
            headers["Quetzalpass-Class"] = self.class_name
        if self.timeout_ms is not None:
            headers["Quetzalpass-Timeout-Ms"] = str(self.timeout_ms)
        return headers


class GenerationOutput(msgspec.Struct):
    """Output of a generation received so far, with its timings.

    Attributes
    ----------
    text : str
        The text so far.
    generation_id, request_id : str
        Ids from the headers of the first response; empty if not received.
    finish_reason : str or None
        Reason why the engine stopped.
    completion_tokens : int or None
        Output length in tokens, as reported by the gateway.
    connections : int
        Number of responses received.
    first_token_s : float or None
        Time from the start to the first text, in seconds.
    longest_gap_s : float
        Longest time between two events with text, in seconds.
    duration_s : float
        Time from the start to the end, in seconds.
    """

    text: str = ""
    generation_id: str = ""
    request_id: str = ""
    finish_reason: str | None = None
    completion_tokens: int | None = None
    connections: int = 0
    first_token_s: float | None = None
    longest_gap_s: float = 0.0
    duration_s: float = 0.0
