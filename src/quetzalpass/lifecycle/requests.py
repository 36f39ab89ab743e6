"""Validated requests with their organisation, priority class and configuration."""

import enum
from collections.abc import Mapping

import msgspec
import xxhash

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = 64


class Delivery(enum.Enum):
    """How the response reaches the caller."""

    STREAM = "stream"
    WHOLE = "whole"


class GenerationRequest(msgspec.Struct, frozen=True):
    """A caller's request for a generation.

    Attributes
    ----------
    request_id : RequestId
        Unique id of this request.
    organisation : schema.Organisation
        Organisation that sent the request.
    priority_class : schema.PriorityClass
        Class that decides priority and limits.
    model : schema.Model
        Model as declared in ``configuration``.
    adapter : AdapterName or None
        Adapter to apply.
    prompt : str or None
        Plain prompt; ``None`` for a chat.
    messages : tuple of base.ChatMessage
        Chat messages.
    max_tokens : int
        Largest output length.
    delivery : Delivery
        Whether the response is streamed or sent when it is complete.
    deadline_s : float
        Loop time after which the response is of no use.
    parameters : dict of str to msgspec.Raw
        Sampling parameters, passed on unchanged.
    idempotency_key : IdempotencyKey or None
        Set if the request must run at most once.
    configuration : configuration.Configuration
        Configuration under which the request runs.
    """

    request_id: ids.RequestId
    organisation: schema.Organisation
    priority_class: schema.PriorityClass
    model: schema.Model
    adapter: ids.AdapterName | None
    prompt: str | None
    messages: tuple[base.ChatMessage, ...]
    max_tokens: int
    delivery: Delivery
    deadline_s: float
    parameters: Mapping[str, msgspec.Raw]
    idempotency_key: ids.IdempotencyKey | None
    configuration: configuration.Configuration

    def prompt_text(self) -> str:
        """Return the prompt, or the chat messages joined into one text."""
        if self.prompt is not None:
            return self.prompt
        return "\n".join(f"{each.role}: {each.content}" for each in self.messages)

    def fingerprint(self) -> str:
        """Return a digest that identifies the request when it is sent again."""
        digest = xxhash.xxh3_128()
        digest.update(self.model.name.encode())
        digest.update((self.adapter or "").encode())
        digest.update(self.prompt_text().encode())
        return digest.hexdigest()

    def shared_parts(self) -> tuple[ids.PromptPartId, ...]:
        """Return ids of the leading parts of the prompt, which others may have too.

        These are the messages of a chat except the last, or else the beginnings of the
        text of doubling lengths. The ids differ between models and adapters.
        """
        scope = f"{self.model.name}:{self.adapter or ''}:"
        if len(self.messages) > 1:
            parts = [f"{each.role}: {each.content}" for each in self.messages[:-1]]
        else:
            parts = doubling_prefixes(self.prompt_text())
        return tuple(
            ids.PromptPartId(xxhash.xxh3_64_hexdigest((scope + each).encode()))
            for each in parts
        )


class ServiceRequest(msgspec.Struct, frozen=True):
    """A caller's request to a plain service.

    Attributes
    ----------
    call : base.ServiceCall
        The call that is sent to the service.
    service : schema.Service
        Service as declared in ``configuration``.
    non_idempotent : bool
        Whether the request must run at most once.
    """

    request_id: ids.RequestId
    organisation: schema.Organisation
    priority_class: schema.PriorityClass
    service: schema.Service
    call: base.ServiceCall
    non_idempotent: bool
    deadline_s: float
    configuration: configuration.Configuration

    def fingerprint(self) -> str:
        """Return a digest that identifies the request when it is sent again."""
        digest = xxhash.xxh3_128()
        for part in (self.service.name, self.call.method, self.call.path):
            digest.update(part.encode())
            digest.update(b"\0")
        digest.update(self.call.query.encode())
        digest.update(b"\0")
        digest.update(self.call.body)
        return digest.hexdigest()


def estimate_prompt_tokens(text: str) -> int:
    """Return an estimate of the number of tokens in a prompt."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def doubling_prefixes(text: str) -> list[str]:
    """Return the beginnings of a text of one block, two blocks, four and so on."""
    prefixes = []
    length = PREFIX_BLOCK_CHARACTERS
    while length < len(text):
        prefixes.append(text[:length])
        length *= 2
    return prefixes


def hash_prefix_blocks(text: str) -> tuple[int, ...]:
    """Return hashes of the leading full blocks; each covers the text up to its end."""
    digest = xxhash.xxh3_64()
    hashes = []
    full_length = len(text) - len(text) % PREFIX_BLOCK_CHARACTERS
    for start in range(0, full_length, PREFIX_BLOCK_CHARACTERS):
        digest.update(text[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)
