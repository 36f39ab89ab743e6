"""Passes events on, evenly also while a generation changes its server.

When the server of a stream is about to leave, its events are passed on a little late,
so that those still on hand fill a part of the pause until the next server goes on.
"""

import asyncio
import collections

import msgspec

from quetzalpass.lifecycle import relay_requests

# Less than the lateness that callers notice, and about two events of a busy engine.
SMOOTHING_DELAY_S = 0.075


class ScheduledWrite(msgspec.Struct, frozen=True):
    """Bytes that are to be passed on at a time of the loop's clock."""

    data: bytes
    due_s: float


class EventPacer:
    """Writes to one caller in order, at once or with a short delay.

    Parameters
    ----------
    response : relay_requests.CallerResponse
        Where the events go.

    Attributes
    ----------
    delay_s : float
        How late events are passed on at present.
    """

    def __init__(self, response: relay_requests.CallerResponse) -> None:
        self.response = response
        self.delay_s = 0.0
        self.waiting: collections.deque[ScheduledWrite] = collections.deque()
        self.writer: asyncio.Task[None] | None = None
        self.last_write_s: float | None = None
        self.longest_pause_s = 0.0

    async def put(self, data: bytes) -> None:
        """Pass bytes on, behind those that still wait.

        Raises
        ------
        ConnectionError
            If the caller has gone.
        """
        self.raise_failure()
        if self.delay_s == 0.0 and self.writer is None:
            await self.write(data)
            return
        now_s = asyncio.get_running_loop().time()
        self.waiting.append(ScheduledWrite(data, now_s + self.delay_s))
        if self.writer is None:
            self.writer = asyncio.create_task(self.write_waiting())

    async def write_waiting(self) -> None:
        """Write what waits, each at its time."""
        loop = asyncio.get_running_loop()
        while self.waiting:
            wait_s = self.waiting[0].due_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            await self.write(self.waiting.popleft().data)

    async def write(self, data: bytes) -> None:
        """Write bytes now and keep the longest pause."""
        now_s = asyncio.get_running_loop().time()
        if self.last_write_s is not None:
            pause_s = now_s - self.last_write_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_write_s = now_s
        await self.response.write(data)

    def raise_failure(self) -> None:
        """Forget a writer that has ended; raise what it failed with."""
        if self.writer is not None and self.writer.done():
            writer, self.writer = self.writer, None
            writer.result()

    async def flush(self) -> None:
        """Write all that waits, without further delay."""
        self.delay_s = 0.0
        if self.writer is not None:
            await self.writer
            self.raise_failure()

    def close(self) -> None:
        """Drop what waits."""
        if self.writer is not None:
            self.writer.cancel()
