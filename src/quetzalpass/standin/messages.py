"""Messages of the stand-in engine's HTTP interface.

The shapes are those of the OpenAI completions interface, with the extensions that
many engines offer: a generation id chosen by the client, the offset of each token,
resuming and cancelling by id, a load report, and orders with a fencing number.
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
        """Return the prompt, or the chat messages joined into one."""
        if self.prompt is not None:
            return self.prompt
        return "\n".join(f"{each.role}: {each.content}" for each in self.messages)


class Choice(msgspec.Struct, frozen=True):
    """The only choice of an event."""

    text: str
    finish_reason: str | None = None
    index: int = 0


class Event(msgspec.Struct, frozen=True):
    """One server-sent event: one token."""

    id: str
    offset: int
    choices: tuple[Choice, ...]
    object: str = "text_completion"


class LoadReply(msgspec.Struct, frozen=True):
    """Answer of ``GET /load``."""

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
    """Answer of ``GET /cache_events?after=N``; a jump in the numbers is a loss."""

    events: tuple[reports.CacheEvent, ...]


class OrderAction(msgspec.Struct, frozen=True):
    """What an order asks for."""

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
    """Answer of ``GET /state``."""

    term: int
    index: int
    models: tuple[LoadedModel, ...]
    role: str


class OrdersReply(msgspec.Struct, frozen=True):
    """The orders that were accepted, and the highest fencing number seen."""

    term: int
    index: int
    accepted: tuple[Order, ...]


class RunReply(msgspec.Struct, frozen=True):
    """Answer of the plain service: how often the call with a key has run."""

    key: str
    runs: int
    sequence: int
