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
    async def interruptible(
        self, deadline_s: float | None = None
    ) -> AsyncIterator[asyncio.Timeout]:
        """Run a part of a request; an interruption raises ``TimeoutError`` in it.

        Parameters
        ----------
        deadline_s : float or None
            Loop time at which it ends in any case; ``None`` if it has no limit.
        """
        limits = [each for each in (deadline_s, self.deadline_s) if each is not None]
        async with asyncio.timeout_at(min(limits, default=None)) as interruption:
            self.running.add(interruption)
            try:
                yield interruption
            finally:
                self.running.discard(interruption)

    def interrupt(self, delay_s: float = 0.0) -> None:
        """End the running requests, and those that still come, after a delay."""
        self.deadline_s = asyncio.get_running_loop().time() + delay_s
        for each in self.running:
            deadline_s = each.when()
            if deadline_s is None or deadline_s > self.deadline_s:
                each.reschedule(self.deadline_s)
