"""Interruption of running requests by the stop of a process."""

import asyncio
import contextlib
from collections.abc import AsyncIterator


class Interruptions:
    """Ends requests that still run when a process stops.

    Attributes
    ----------
    running : set of asyncio.Timeout
        One for each request that can be interrupted.
    deadline_s : float or None
        Loop time at which all requests end; ``None`` until the process stops.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Timeout] = set()
        self.deadline_s: float | None = None

    @contextlib.asynccontextmanager
    async def interruptible(self) -> AsyncIterator[asyncio.Timeout]:
        """Run a part of a request; an interruption raises ``TimeoutError`` in it."""
        async with asyncio.timeout_at(self.deadline_s) as interruption:
            self.running.add(interruption)
            try:
                yield interruption
            finally:
                self.running.discard(interruption)

    def interrupt(self, delay_s: float = 0.0) -> None:
        """End the running requests, and those that still come, after a delay."""
        self.deadline_s = asyncio.get_running_loop().time() + delay_s
        for each in self.running:
            if not each.expired():
                each.reschedule(self.deadline_s)
