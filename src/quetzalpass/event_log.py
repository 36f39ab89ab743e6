"""Typed log events as JSON lines, bounded in memory and never blocking.

Events wait in a bounded queue and are written to a non-blocking file descriptor. If
the reader is too slow, routine events are dropped first; a line reports their number.
"""

import asyncio
import collections
import datetime
import enum
import os
from typing import ClassVar

import msgspec

from quetzalpass import escaping

MAX_LINES = 4_000
# The rest of the queue is reserved for events above the routine level.
MAX_ROUTINE_LINES = 2_000
WRITE_BLOCK_BYTES = 65_536
FLUSH_INTERVAL_S = 0.1
MAX_TEXT_LENGTH = 2_000


class Level(enum.Enum):
    """Importance of an event; routine events are dropped first."""

    ROUTINE = "info"
    NOTICE = "warning"


class Event(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="event"):
    """Base class of all events; the struct's tag is the name of the event."""


class DroppedLines(Event, frozen=True, tag="left_out"):
    """Report of lines that were dropped because the queue was full.

    Attributes
    ----------
    lines : int
        Number of lines dropped since the last report.
    """

    lines: int


class EventLog:
    """Queue of log lines that wait to be written.

    Parameters
    ----------
    descriptor : int
        Non-blocking file descriptor to write to.

    Attributes
    ----------
    current : EventLog or None
        The log of this process.
    lines : deque of bytes
        Queued lines.
    unwritten : bytes
        Rest of a block that the descriptor has accepted in part only.
    unreported_drops : int
        Lines dropped since the last report.
    total_dropped : int
        Lines dropped since the start.
    failed_writes : int
        Writes that the descriptor has failed since the start.
    """

    current: ClassVar["EventLog | None"] = None

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.unwritten = b""
        self.unreported_drops = 0
        self.total_dropped = 0
        self.failed_writes = 0
        self.encoder = msgspec.json.Encoder()

    def record(self, event: Event, level: Level) -> None:
        """Queue an event; drop and count it if the queue is full."""
        limit = MAX_ROUTINE_LINES if level is Level.ROUTINE else MAX_LINES
        if len(self.lines) >= limit:
            self.unreported_drops += 1
            self.total_dropped += 1
            return
        self.lines.append(self.encode_line(event, level))

    def encode_line(self, event: Event, level: Level) -> bytes:
        """Encode an event as a JSON line."""
        time = datetime.datetime.now(datetime.UTC)
        timestamp = time.isoformat(timespec="milliseconds")
        prefix = f'{{"time":"{timestamp}","level":"{level.value}",'.encode()
        return prefix + self.encoder.encode(event)[1:] + b"\n"

    def flush(self) -> None:
        """Write as many lines as possible without blocking; keep the others."""
        if self.unreported_drops and len(self.lines) < MAX_ROUTINE_LINES:
            dropped, self.unreported_drops = self.unreported_drops, 0
            self.lines.append(self.encode_line(DroppedLines(dropped), Level.NOTICE))
        while self.lines or self.unwritten:
            chunk = self.unwritten
            while self.lines and len(chunk) < WRITE_BLOCK_BYTES:
                chunk += self.lines.popleft()
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Such as a full disk; the next flush writes the same bytes again.
                self.failed_writes += 1
                written = 0
            self.unwritten = chunk[written:]
            if self.unwritten:
                return

    async def run(self) -> None:
        """Flush at intervals, forever."""
        while True:
            self.flush()
            await asyncio.sleep(FLUSH_INTERVAL_S)


def open_log(descriptor: int) -> EventLog:
    """Open the log of this process; makes the descriptor non-blocking."""
    os.set_blocking(descriptor, False)
    EventLog.current = EventLog(descriptor)
    return EventLog.current


def record(event: Event, level: Level = Level.ROUTINE) -> None:
    """Log an event; does nothing if this process has no open log."""
    if EventLog.current is not None:
        EventLog.current.record(event, level)


def sanitize(text: str) -> str:
    """Return untrusted text with control characters escaped and its length limited."""
    return escaping.escape_control_characters(text[:MAX_TEXT_LENGTH])
