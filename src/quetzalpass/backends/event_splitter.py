"""Splits the bytes of an event stream into whole events, and nothing else."""

import re

import msgspec

# An event ends at an empty line; each line may end in any of three ways.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class Event(msgspec.Struct, frozen=True):
    """One event of a stream.

    Attributes
    ----------
    data : bytes
        All its bytes, the empty line at its end included.
    id : str or None
        Its id, if it has one.
    """

    data: bytes
    id: str | None


class EventSplitter:
    """Collects bytes until an event is whole.

    Attributes
    ----------
    rest : bytes
        Bytes of an event that is not whole yet.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete."""
        buffered = self.rest + data
        events = []
        start = 0
        for match in EVENT_END.finditer(buffered):
            whole = buffered[start : match.end()]
            events.append(Event(whole, id_of(whole)))
            start = match.end()
        self.rest = buffered[start:]
        return events


def id_of(event: bytes) -> str | None:
    """Return the id of an event."""
    found = ID_LINE.search(event)
    return found[1].decode("latin-1") if found else None
