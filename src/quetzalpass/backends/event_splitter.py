"""Splits the bytes of an event stream into events without decoding them."""

import re

import msgspec

# An event ends with an empty line. A line may end with CR LF, LF or CR.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
LINE_END = re.compile(rb"\r\n|\n|\r")
COMMENT_PREFIX = b":"
ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class Event(msgspec.Struct, frozen=True):
    """One event of a stream.

    Attributes
    ----------
    data : bytes
        All bytes of the event, including the empty line at its end.
    id : str or None
        Id of the event, if it has one.
    """

    data: bytes
    id: str | None


class EventSplitter:
    """Splits bytes that are received in chunks into events.

    Attributes
    ----------
    rest : bytes
        Start of an event whose end has not been received.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are completed by more bytes."""
        buffered = self.rest + data
        events = []
        start = 0
        for match in EVENT_END.finditer(buffered):
            whole = buffered[start : match.end()]
            events.append(Event(whole, find_event_id(whole)))
            start = match.end()
        self.rest = buffered[start:]
        return events

    def is_inside_event(self) -> bool:
        """Return whether an event has begun whose end has not been received.

        Empty lines and comments between two events belong to neither.
        """
        return any(
            line and not line.startswith(COMMENT_PREFIX)
            for line in LINE_END.split(self.rest)
        )


def find_event_id(event: bytes) -> str | None:
    """Return the id of an event, if it has one."""
    found = ID_LINE.search(event)
    return found[1].decode("latin-1") if found else None
