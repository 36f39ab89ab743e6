"""Smooths the event stream to a caller while a generation moves to another server.

While the server of a stream is leaving, its events are delayed slightly. The delayed
events then fill part of the gap until the next server sends events.
"""

import asyncio
import collections

import msgspec

from quetzalpass.relay import relay_requests

# Too short for callers to notice, and about two events of a busy engine.
SMOOTHING_DELAY_S = 0.075
# A server that sends more in that time, or a caller that reads less, holds up the next
# events until all of these are written.
MAX_WAITING_BYTES = 262_144


class ScheduledWrite(msgspec.Struct, frozen=True):
    """Bytes to write once the event loop's clock reaches a time."""

    data: bytes
    due_s: float


class EventPacer:
    """Writes events to one caller in order, at once or after a short delay.

    Parameters
    ----------
    response : relay_requests.CallerResponse
        Response to which the events are written.

    Attributes
    ----------
    delay_s : float
        Delay that applies to new events, in seconds.
    waiting_bytes : int
        Bytes that wait to be written.
    """

    def __init__(self, response: relay_requests.CallerResponse) -> None:
        self.response = response
        self.delay_s = 0.0
        self.waiting: collections.deque[ScheduledWrite] = collections.deque()
        self.waiting_bytes = 0
        self.writer: asyncio.Task[None] | None = None
        self.last_write_s: float | None = None
        self.longest_pause_s = 0.0

    async def put(self, data: bytes) -> None:
        """Write bytes, after all bytes that are still delayed.

        Raises
        ------
        ConnectionError
            If the caller has disconnected.
        """
        self.raise_failure()
        if self.delay_s == 0.0 and self.writer is None:
            await self.write(data)
            return
        now_s = asyncio.get_running_loop().time()
        self.waiting.append(ScheduledWrite(data, now_s + self.delay_s))
        self.waiting_bytes += len(data)
        if self.writer is None:
            self.writer = asyncio.create_task(self.write_waiting())
        if self.waiting_bytes > MAX_WAITING_BYTES:
            await asyncio.wait([self.writer])
            self.raise_failure()

    async def write_waiting(self) -> None:
        """Write the delayed bytes when they are due."""
        loop = asyncio.get_running_loop()
        while self.waiting:
            wait_s = self.waiting[0].due_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            data = self.waiting.popleft().data
            await self.write(data)
            self.waiting_bytes -= len(data)

    async def write(self, data: bytes) -> None:
        """Write bytes now and update the longest pause between writes."""
        now_s = asyncio.get_running_loop().time()
        if self.last_write_s is not None:
            pause_s = now_s - self.last_write_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_write_s = now_s
        await self.response.write(data)

    def raise_failure(self) -> None:
        """Clear a finished writer task, and raise its exception if it failed."""
        if self.writer is not None and self.writer.done():
            writer, self.writer = self.writer, None
            writer.result()

    async def flush(self) -> None:
        """Stop delaying events, and wait until those delayed so far are written."""
        self.delay_s = 0.0
        if self.writer is not None:
            await self.writer
            self.raise_failure()

    def close(self) -> None:
        """Discard the delayed bytes."""
        if self.writer is not None:
            self.writer.cancel()
