"""Messages of the stand-in engine's HTTP interface.

They follow the OpenAI completions API, with extensions that many engines offer: a
generation id chosen by the client, token offsets, resuming and cancelling by id, load
reports, and orders with a fencing number.
"""

from __future__ import annotations

import msgspec

from quetzalpass.routing import reports


class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str


class Request(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/completions`` and ``POST /v1/chat/completions``."""

    model: str
    generation_id: str
    prompt: str | None = None
    messages: tuple[Message, ...] = ()
    max_tokens: int = 16
    priority: int = 0
    tokens_so_far: tuple[str, ...] = ()
    stream: bool = True

    def prompt_text(self) -> str:
        """Return the prompt, or the chat messages joined into one text."""
        if self.prompt is not None:
            return self.prompt
        return "\n".join(f"{each.role}: {each.content}" for each in self.messages)


class Choice(msgspec.Struct, frozen=True):
    """The single choice of an event."""

    text: str
    finish_reason: str | None = None
    index: int = 0


class Event(msgspec.Struct, frozen=True):
    """Server-sent event with one token."""

    id: str
    offset: int
    choices: tuple[Choice, ...]
    object: str = "text_completion"


class LoadReply(msgspec.Struct, frozen=True):
    """Response to ``GET /load``."""

    running: int
    waiting: int
    tokens_held: int
    memory_tokens: int
    preemptions: int
    age_s: float
    prefill_tokens: int = 0
    step_s: float = 0.0
    adapters: tuple[str, ...] = ()


class CacheEventsReply(msgspec.Struct, frozen=True):
    """Response to ``GET /cache_events?after=N``.

    A gap in the sequence numbers means that events were lost.
    """

    events: tuple[reports.CacheEvent, ...]


class OrderAction(msgspec.Struct, frozen=True):
    """Action that an order requests."""

    verb: str
    model: str
    version: str | None = None
    adapter: str | None = None
    role: str | None = None


class Order(msgspec.Struct, frozen=True):
    """Body of ``POST /orders``; (term, index) is the fencing number."""

    term: int
    index: int
    action: OrderAction


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that the engine has loaded or is loading."""

    name: str
    version: str
    ready: bool
    adapters: tuple[str, ...] = ()


class StateReply(msgspec.Struct, frozen=True):
    """Response to ``GET /state``."""

    term: int
    index: int
    models: tuple[LoadedModel, ...]
    role: str


class OrdersReply(msgspec.Struct, frozen=True):
    """Response to ``GET /orders``: accepted orders and highest fencing number."""

    term: int
    index: int
    accepted: tuple[Order, ...]


class RunReply(msgspec.Struct, frozen=True):
    """Response of the plain service: how often the call with a key has run."""

    key: str
    runs: int
    sequence: int
