"""Typed log events as JSON lines, bounded in volume and never blocking.

Events wait in a bounded queue and are written to a descriptor that never blocks. When
the queue is full, routine events are left out first; a line tells how many.
"""

import asyncio
import collections
import datetime
import enum
import os
from typing import ClassVar

import msgspec

from quetzalpass import escaping

QUEUE_LINES = 4_000
# Above this fill only lines above the routine level are taken.
ROUTINE_LINES = 2_000
WRITE_BYTES = 65_536
FLUSH_INTERVAL_S = 0.1
MAX_TEXT = 2_000


class Level(enum.Enum):
    """How much an event matters when not all can be written."""

    ROUTINE = "info"
    NOTICE = "warning"


class Event(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="event"):
    """Base class of all events; the tag names the kind."""


class LeftOut(Event, frozen=True, tag="left_out"):
    """Lines that found no room.

    Attributes
    ----------
    lines : int
        How many since the last such line.
    """

    lines: int


class EventLog:
    """The queue of one process.

    Parameters
    ----------
    descriptor : int
        Where the lines go.
    """

    current: ClassVar["EventLog | None"] = None

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.rest = b""
        self.left_out = 0
        self.total_left_out = 0
        self.encoder = msgspec.json.Encoder()

    def record(self, event: Event, level: Level) -> None:
        """Queue an event, or count it as left out."""
        limit = ROUTINE_LINES if level is Level.ROUTINE else QUEUE_LINES
        if len(self.lines) >= limit:
            self.left_out += 1
            self.total_left_out += 1
            return
        self.lines.append(self.line_of(event, level))

    def line_of(self, event: Event, level: Level) -> bytes:
        """Return an event as a line."""
        time = datetime.datetime.now(datetime.UTC)
        stamp = time.isoformat(timespec="milliseconds")
        head = f'{{"time":"{stamp}","level":"{level.value}",'.encode()
        return head + self.encoder.encode(event)[1:] + b"\n"

    def flush(self) -> None:
        """Write what can be written without blocking."""
        if self.left_out and len(self.lines) < ROUTINE_LINES:
            lost, self.left_out = self.left_out, 0
            self.lines.append(self.line_of(LeftOut(lost), Level.NOTICE))
        while self.lines or self.rest:
            chunk = self.rest
            while self.lines and len(chunk) < WRITE_BYTES:
                chunk += self.lines.popleft()
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                written = 0
            self.rest = chunk[written:]
            if self.rest:
                return

    async def run(self) -> None:
        """Write again and again."""
        while True:
            self.flush()
            await asyncio.sleep(FLUSH_INTERVAL_S)


def open_log(descriptor: int) -> EventLog:
    """Make the log of this process, which writes to a descriptor."""
    os.set_blocking(descriptor, False)
    EventLog.current = EventLog(descriptor)
    return EventLog.current


def record(event: Event, level: Level = Level.ROUTINE) -> None:
    """Log an event; without a log of this process it is dropped."""
    if EventLog.current is not None:
        EventLog.current.record(event, level)


def sanitize(text: str) -> str:
    """Return text from outside without control characters, cut where it is long."""
    return escaping.escape_control_characters(text[:MAX_TEXT])
