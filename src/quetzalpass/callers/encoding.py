"""Answers of the completions interface, encoded with little work per token."""

import enum

import msgspec

from quetzalpass import ids

END_MARK = b"data: [DONE]\n\n"


class Shape(enum.Enum):
    """Which of the two interfaces an answer belongs to."""

    COMPLETION = "completion"
    CHAT = "chat"


class Usage(msgspec.Struct, frozen=True):
    """Token counts of one request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Message(msgspec.Struct, frozen=True):
    """The message of a whole chat answer."""

    content: str
    role: str = "assistant"


class WholeChoice(msgspec.Struct, frozen=True, omit_defaults=True):
    """The only choice of a whole answer."""

    index: int
    finish_reason: str | None
    text: str | None = None
    message: Message | None = None


class WholeAnswer(msgspec.Struct, frozen=True):
    """A whole answer."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[WholeChoice, ...]
    usage: Usage


class StreamEncoder:
    """Encodes the events of one stream.

    Everything that is the same for each token of a stream is encoded once.

    Parameters
    ----------
    shape : Shape
        Interface of the request.
    generation_id : GenerationId
        Generation that the tokens belong to.
    server_id : ServerId
        Engine that runs it; part of the event id, so that any gateway can go on.
    model : str
        Model name as the caller sent it.
    created : int
        Unix time of the request, in seconds.
    """

    def __init__(
        self,
        shape: Shape,
        generation_id: ids.GenerationId,
        server_id: ids.ServerId,
        model: str,
        created: int,
    ) -> None:
        chat = shape is Shape.CHAT
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
        self.move_to(server_id)
        self.head = b"\ndata: " + head[:-1]
        opening = b',"choices":[{"index":0,"delta":{"content":'
        if not chat:
            opening = b',"choices":[{"index":0,"text":'
        self.opening = self.head + opening
        self.closing = b'},"finish_reason":' if chat else b',"finish_reason":'

    def move_to(self, server_id: ids.ServerId) -> None:
        """Name another engine in the event ids from now on."""
        self.server_id = server_id
        self.event_id = f"id: {self.generation_id}/{server_id}/".encode()

    def tokens(self, offset: int, texts: list[str], finish_reason: str | None) -> bytes:
        """Return the events of consecutive tokens.

        Tokens that arrived together leave in one event, whose id is that of the last.
        """
        text = texts[0] if len(texts) == 1 else "".join(texts)
        last = offset + len(texts) - 1
        return b"".join(
            (
                self.event_id,
                b"%d" % last,
                self.opening,
                msgspec.json.encode(text),
                self.closing,
                msgspec.json.encode(finish_reason),
                b"}]}\n\n",
            )
        )

    def usage(self, usage: Usage) -> bytes:
        """Return the event that carries the token counts."""
        return b"".join(
            (
                self.head[1:],
                b',"choices":[],"usage":',
                msgspec.json.encode(usage),
                b"}\n\n",
            )
        )


def usage_of(prompt_tokens: int, completion_tokens: int) -> Usage:
    """Return the token counts of one request."""
    return Usage(prompt_tokens, completion_tokens, prompt_tokens + completion_tokens)


def whole_answer(
    shape: Shape,
    generation_id: ids.GenerationId,
    model: str,
    created: int,
    text: str,
    finish_reason: str | None,
    usage: Usage,
) -> bytes:
    """Return the body of a whole answer."""
    if shape is Shape.CHAT:
        kind = "chat.completion"
        choice = WholeChoice(0, finish_reason, message=Message(text))
    else:
        kind = "text_completion"
        choice = WholeChoice(0, finish_reason, text=text)
    return msgspec.json.encode(
        WholeAnswer(generation_id, kind, created, model, (choice,), usage)
    )


def failure_event(answer: msgspec.Struct) -> bytes:
    """Return the event that ends a stream with a failure."""
    return b"event: error\ndata: " + msgspec.json.encode(answer) + b"\n\n"
