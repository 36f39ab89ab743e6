"""Decoding of the server-sent events that gateways send to callers."""

import msgspec

MAX_EVENT_BYTES = 4_000_000


class Event(msgspec.Struct):
    """One server-sent event.

    Attributes
    ----------
    id : str
        Value for ``Last-Event-ID``; empty if the event has none.
    name : str
        Value of the ``event`` field; empty for an ordinary event.
    data : str
        Payload; data lines are joined by line feeds.
    """

    id: str = ""
    name: str = ""
    data: str = ""


class EventTooLargeError(Exception):
    """A line or an event is larger than ``MAX_EVENT_BYTES``."""


class EventDecoder:
    """Incremental decoder of a byte stream into events.

    Attributes
    ----------
    incomplete_line : bytes
        Received part of a line whose end has not arrived yet.
    event : Event
        Event that is being assembled; the next line belongs to it.
    """

    def __init__(self) -> None:
        self.incomplete_line = b""
        self.event = Event()

    def feed(self, chunk: bytes) -> list[Event]:
        """Decode a chunk and return the events that it completes.

        Raises
        ------
        EventTooLargeError
            If a line or an event exceeds the limit.
        """
        lines = (self.incomplete_line + chunk).split(b"\n")
        self.incomplete_line = lines.pop()
        if len(self.incomplete_line) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        events = []
        for line in lines:
            event = self.process_line(line.rstrip(b"\r").decode(errors="replace"))
            if event is not None:
                events.append(event)
        return events

    def process_line(self, line: str) -> Event | None:
        """Add a line to the current event; return the event if the line is empty."""
        if not line:
            event, self.event = self.event, Event()
            return event if event.data or event.name else None
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "data":
            self.event.data += f"\n{value}" if self.event.data else value
        elif field == "id":
            self.event.id = value
        elif field == "event":
            self.event.name = value
        if len(self.event.data) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        return None
