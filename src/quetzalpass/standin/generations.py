"""Generations that a stand-in engine is running."""

import asyncio

from quetzalpass import ids
from quetzalpass.standin import text


class RunningGeneration:
    """One generation inside the engine.

    Attributes
    ----------
    id : GenerationId
        Chosen by the client.
    tag : str
        Marks every token of the output.
    length : int
        Output length, which the client does not know.
    produced : int
        Tokens generated so far, counted from the start of the output.
    link : int
        Number of the newest stream; an older one ends when a newer one opens.
    changed : asyncio.Event
        Set when tokens were produced or a newer stream opened.
    detached_at_s : float or None
        When the last stream was lost.
    """

    def __init__(
        self, generation_id: ids.GenerationId, prompt: str, max_tokens: int, done: int
    ) -> None:
        self.id = generation_id
        self.prompt = prompt
        self.tag = text.prompt_tag(prompt)
        self.length = text.output_length(prompt, max_tokens)
        self.finish_reason = "length" if self.length == max_tokens else "stop"
        self.produced = done
        self.link = 0
        self.changed = asyncio.Event()
        self.detached_at_s: float | None = None

    def finished(self) -> bool:
        """Return whether all tokens have been generated."""
        return self.produced >= self.length

    def produce(self, count: int) -> None:
        """Add freshly generated tokens."""
        self.produced = min(self.produced + count, self.length)
        self.changed.set()

    def attach(self) -> int:
        """Open a stream and return its number; an older stream ends."""
        self.link += 1
        self.detached_at_s = None
        self.changed.set()
        return self.link
