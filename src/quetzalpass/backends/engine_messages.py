"""Message types of the engines' completions API."""

from __future__ import annotations

import msgspec


class EngineChoice(msgspec.Struct, frozen=True, gc=False):
    """One choice of a streamed event."""

    text: str
    finish_reason: str | None = None


class EngineEvent(msgspec.Struct, frozen=True, gc=False):
    """One token in the stream of an engine."""

    id: str
    offset: int
    choices: tuple[EngineChoice, ...]


class EngineMessage(msgspec.Struct, frozen=True):
    """One chat message in a request to an engine."""

    role: str
    content: str


class EngineRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a request that starts or continues a generation."""

    model: str
    generation_id: str
    max_tokens: int
    priority: int
    stream: bool
    prompt: str | None = None
    messages: tuple[EngineMessage, ...] = ()
    tokens_so_far: tuple[str, ...] = ()


class EngineLoad(msgspec.Struct, frozen=True):
    """Response of an engine to a request for its load report."""

    running: int
    waiting: int
    tokens_held: int
    memory_tokens: int
    preemptions: int = 0
    age_s: float = 0.0
    prefill_tokens: int = 0
    step_s: float = 0.0
    adapters: tuple[str, ...] = ()


class EngineOrderAction(msgspec.Struct, frozen=True, omit_defaults=True):
    """Action of an order."""

    verb: str
    model: str
    version: str | None = None
    adapter: str | None = None
    role: str | None = None


class EngineOrderBody(msgspec.Struct, frozen=True):
    """Body of an order; ``term`` and ``index`` are its fencing number."""

    term: int
    index: int
    action: EngineOrderAction


class EngineLoadedModel(msgspec.Struct, frozen=True):
    """A model in an engine's state response."""

    name: str
    version: str
    ready: bool
    adapters: tuple[str, ...] = ()


class EngineStateReply(msgspec.Struct, frozen=True):
    """Response of an engine to a request for its state."""

    term: int
    index: int
    models: tuple[EngineLoadedModel, ...]
    role: str
