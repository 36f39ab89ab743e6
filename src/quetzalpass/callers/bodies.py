"""Decoding and validation of the request bodies of completions."""

from typing import Annotated

import msgspec
from returns import result

from quetzalpass import decoding, ids, ranges
from quetzalpass.backends import base
from quetzalpass.membership import configuration
from quetzalpass.results import codes, failures

DEFAULT_MAX_TOKENS = 4_096
ADAPTER_SEPARATOR = ":"
# Values below 1 are refused with a message of their own.
OutputTokens = Annotated[int, msgspec.Meta(ge=-ranges.MAX_TOKENS, le=ranges.MAX_TOKENS)]
# These parameters are forwarded to the engine unchanged.
SAMPLING_PARAMETERS = (
    "frequency_penalty",
    "logit_bias",
    "presence_penalty",
    "seed",
    "stop",
    "temperature",
    "top_p",
    "user",
)


class ChatMessageBody(msgspec.Struct, frozen=True):
    """One chat message of a request body."""

    role: str
    content: str


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/completions`` and ``POST /v1/chat/completions``."""

    model: str
    prompt: str | None = None
    messages: tuple[ChatMessageBody, ...] = ()
    max_tokens: OutputTokens | None = None
    max_completion_tokens: OutputTokens | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int = 1

    def requested_tokens(self) -> int:
        """Return the maximum output length in tokens."""
        for value in (self.max_completion_tokens, self.max_tokens):
            if value is not None:
                return value
        return DEFAULT_MAX_TOKENS

    def chat_messages(self) -> tuple[base.ChatMessage, ...]:
        """Return the chat messages for the engine."""
        return tuple(
            base.ChatMessage(each.role, each.content) for each in self.messages
        )


class ModelChoice(msgspec.Struct, frozen=True):
    """A declared model and, if requested, one of its adapters."""

    name: ids.ModelName
    adapter: ids.AdapterName | None


def decode_body(
    data: bytes, chat: bool
) -> result.Result[CompletionBody, failures.Failure]:
    """Return the decoded and validated body of a completion request."""
    try:
        # The JSON decoder skips unknown fields without checking that they are UTF-8.
        data.decode()
        body = decoding.decode_json(data, CompletionBody)
    except decoding.MismatchError as error:
        return reject(codes.Code.BAD_REQUEST, str(error))
    except (decoding.DecodingError, UnicodeDecodeError) as error:
        return reject(codes.Code.BAD_JSON, f"the body is not JSON: {error}")
    if chat and not body.messages:
        return reject(codes.Code.BAD_REQUEST, "'messages' is empty")
    if not chat and body.prompt is None:
        return reject(codes.Code.BAD_REQUEST, "'prompt' is missing")
    if body.n != 1:
        return reject(codes.Code.BAD_REQUEST, "'n' must be 1")
    if body.requested_tokens() < 1:
        return reject(codes.Code.BAD_REQUEST, "'max_tokens' must be at least 1")
    return result.Success(body)


def reject(
    code: codes.Code, message: str
) -> result.Result[CompletionBody, failures.Failure]:
    """Return the failure for an invalid body."""
    return result.Failure(failures.Failure(code, message))


def sampling_parameters(data: bytes) -> dict[str, msgspec.Raw]:
    """Return the sampling parameters of a valid body, still encoded."""
    fields = decoding.decode_json(data, dict[str, msgspec.Raw])
    return {name: fields[name] for name in SAMPLING_PARAMETERS if name in fields}


def find_model(
    name: str, config: configuration.Configuration
) -> result.Result[ModelChoice, failures.Failure]:
    """Return the declared model and adapter that a request names."""
    model_name, _, adapter_name = name.partition(ADAPTER_SEPARATOR)
    model = config.models.get(ids.ModelName(model_name))
    adapters = {each.name for each in model.adapters} if model else set()
    adapter = ids.AdapterName(adapter_name) if adapter_name else None
    if model is None or (adapter is not None and adapter not in adapters):
        return result.Failure(
            failures.Failure(codes.Code.UNKNOWN_MODEL, f"no model {name[:80]!r}")
        )
    return result.Success(ModelChoice(model.name, adapter))
