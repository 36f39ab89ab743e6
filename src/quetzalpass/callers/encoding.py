"""Encoding of completion responses, with little work per token."""

import enum

import msgspec

from quetzalpass import ids

END_MARK = b"data: [DONE]\n\n"


class Endpoint(enum.Enum):
    """Endpoint that received a completion request."""

    COMPLETION = "completion"
    CHAT = "chat"


class Usage(msgspec.Struct, frozen=True):
    """Token counts of one request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ResponseMessage(msgspec.Struct, frozen=True):
    """The message of a chat response that isn't streamed."""

    content: str
    role: str = "assistant"


class CompletionChoice(msgspec.Struct, frozen=True, omit_defaults=True):
    """The only choice of a response that isn't streamed."""

    index: int
    finish_reason: str | None
    text: str | None = None
    message: ResponseMessage | None = None


class CompletionResponse(msgspec.Struct, frozen=True):
    """Body of a response that isn't streamed."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage


class StreamEncoder:
    """Encodes the events of one stream.

    The parts that are the same in all events are encoded once.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that received the request.
    generation_id : GenerationId
        Generation that the tokens belong to.
    server_id : ServerId
        Engine that runs the generation. It is part of the event ids, so that any
        gateway can resume the stream.
    model : str
        Model name as the caller sent it.
    created : int
        Unix time of the request, in seconds.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        generation_id: ids.GenerationId,
        server_id: ids.ServerId,
        model: str,
        created: int,
    ) -> None:
        chat = endpoint is Endpoint.CHAT
        kind = "chat.completion.chunk" if chat else "text_completion"
        head = msgspec.json.encode(
            {
                "id": generation_id,
                "object": kind,
                "created": created,
                "model": model,
            }
        )
        self.generation_id = generation_id
        self.set_server(server_id)
        self.head = b"\ndata: " + head[:-1]
        before_text = b',"choices":[{"index":0,"delta":{"content":'
        if not chat:
            before_text = b',"choices":[{"index":0,"text":'
        self.before_text = self.head + before_text
        self.after_text = b'},"finish_reason":' if chat else b',"finish_reason":'

    def set_server(self, server_id: ids.ServerId) -> None:
        """Set the engine that the ids of later events name."""
        self.server_id = server_id
        self.event_id = f"id: {self.generation_id}/{server_id}/".encode()

    def encode_tokens(
        self, offset: int, texts: list[str], finish_reason: str | None
    ) -> bytes:
        """Return the event of consecutive tokens.

        Tokens that arrived together are sent in one event, whose id has the offset of
        the last one.
        """
        text = texts[0] if len(texts) == 1 else "".join(texts)
        last = offset + len(texts) - 1
        return b"".join(
            (
                self.event_id,
                b"%d" % last,
                self.before_text,
                msgspec.json.encode(text),
                self.after_text,
                msgspec.json.encode(finish_reason),
                b"}]}\n\n",
            )
        )

    def encode_usage(self, usage: Usage) -> bytes:
        """Return the event that carries the token counts."""
        return b"".join(
            (
                self.head[1:],
                b',"choices":[],"usage":',
                msgspec.json.encode(usage),
                b"}\n\n",
            )
        )


def create_usage(prompt_tokens: int, completion_tokens: int) -> Usage:
    """Return the token counts of one request."""
    return Usage(prompt_tokens, completion_tokens, prompt_tokens + completion_tokens)


def encode_response(
    endpoint: Endpoint,
    generation_id: ids.GenerationId,
    model: str,
    created: int,
    text: str,
    finish_reason: str | None,
    usage: Usage,
) -> bytes:
    """Return the body of a response that isn't streamed."""
    if endpoint is Endpoint.CHAT:
        kind = "chat.completion"
        choice = CompletionChoice(0, finish_reason, message=ResponseMessage(text))
    else:
        kind = "text_completion"
        choice = CompletionChoice(0, finish_reason, text=text)
    return msgspec.json.encode(
        CompletionResponse(generation_id, kind, created, model, (choice,), usage)
    )


def error_event(error: msgspec.Struct) -> bytes:
    """Return the event that ends a stream with an error."""
    return b"event: error\ndata: " + msgspec.json.encode(error) + b"\n\n"
