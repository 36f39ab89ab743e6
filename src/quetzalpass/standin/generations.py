"""Generations that run on a stand-in engine."""

import asyncio

from quetzalpass import ids
from quetzalpass.standin import text


class RunningGeneration:
    """One generation on the engine.

    Attributes
    ----------
    id : GenerationId
        Chosen by the client.
    tag : str
        Text that starts every token of the output.
    length : int
        Length of the output in tokens, which the client does not know.
    produced : int
        Number of tokens generated so far, from the start of the output.
    stream_number : int
        Number of the newest stream. An older stream ends when a newer one opens.
    changed : asyncio.Event
        Set when tokens are produced or a newer stream opens.
    detached_at_s : float or None
        Time when the newest stream ended; None while one is open.
    """

    def __init__(
        self,
        generation_id: ids.GenerationId,
        prompt: str,
        max_tokens: int,
        start_offset: int,
    ) -> None:
        self.id = generation_id
        self.prompt = prompt
        self.tag = text.prompt_tag(prompt)
        self.length = text.output_length(prompt, max_tokens)
        self.finish_reason = "length" if self.length == max_tokens else "stop"
        self.produced = start_offset
        self.stream_number = 0
        self.changed = asyncio.Event()
        self.detached_at_s: float | None = None

    def finished(self) -> bool:
        """Return whether all tokens have been generated."""
        return self.produced >= self.length

    def produce(self, count: int) -> None:
        """Add a number of newly generated tokens."""
        self.produced = min(self.produced + count, self.length)
        self.changed.set()

    def attach(self) -> int:
        """Open a stream and return its number; an older stream then ends."""
        self.stream_number += 1
        self.detached_at_s = None
        self.changed.set()
        return self.stream_number
