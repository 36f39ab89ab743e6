"""Incremental decoding of server-sent events."""

DATA_PREFIX = b"data:"
EVENT_END = b"\n\n"


class EventTooLargeError(Exception):
    """An event is larger than the limit."""


class EventStreamDecoder:
    """Splits a byte stream into the data of server-sent events.

    Parameters
    ----------
    max_event_bytes : int
        Largest accepted event.

    Attributes
    ----------
    rest : bytes
        Start of an event whose end has not arrived.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self.max_event_bytes = max_event_bytes
        self.rest = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of the events that a chunk completes.

        Comments, which servers send to keep a connection alive, give no data.

        Raises
        ------
        EventTooLargeError
            If an event exceeds the limit.
        """
        # Almost every chunk is one event with one line, as engines send each token by
        # itself.
        if (
            not self.rest
            and chunk.startswith(DATA_PREFIX)
            and chunk.find(b"\n") == len(chunk) - 2
            and chunk.endswith(EVENT_END)
            and len(chunk) <= self.max_event_bytes
        ):
            return [chunk[len(DATA_PREFIX) :].strip()]
        data = self.rest + chunk
        if b"\r" in data:
            # Joined first, as the two bytes may come in two chunks.
            data = data.replace(b"\r\n", b"\n")
        events = data.split(EVENT_END)
        self.rest = events.pop()
        if len(self.rest) > self.max_event_bytes:
            raise EventTooLargeError
        found = []
        for event in events:
            if len(event) > self.max_event_bytes:
                raise EventTooLargeError
            data = data_of(event)
            if data:
                found.append(data)
        return found


def data_of(event: bytes) -> bytes:
    """Return the data of one event; empty for a comment."""
    if event.startswith(DATA_PREFIX) and b"\n" not in event:
        return event[len(DATA_PREFIX) :].strip()
    lines = [
        line[len(DATA_PREFIX) :].strip()
        for line in event.split(b"\n")
        if line.startswith(DATA_PREFIX)
    ]
    return b"\n".join(lines)
