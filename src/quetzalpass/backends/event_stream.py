"""Incremental decoder of server-sent events."""

DATA_PREFIX = b"data:"
EVENT_END = b"\n\n"


class EventTooLargeError(Exception):
    """An event exceeds the size limit."""


class EventStreamDecoder:
    """Extracts the data of server-sent events from a byte stream.

    Parameters
    ----------
    max_event_bytes : int
        Maximum size of an event.

    Attributes
    ----------
    rest : bytes
        Start of an event whose end has not been received.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self.max_event_bytes = max_event_bytes
        self.rest = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of the events that are completed by a chunk.

        Comments, which servers send as keep-alives, are dropped.

        Raises
        ------
        EventTooLargeError
            If an event exceeds the size limit.
        """
        # Fast path: almost every chunk is one event with one line, as engines send each
        # token separately.
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
            # The replacement is made after joining, as the two bytes may be received in
            # two chunks.
            data = data.replace(b"\r\n", b"\n")
        events = data.split(EVENT_END)
        self.rest = events.pop()
        if len(self.rest) > self.max_event_bytes:
            raise EventTooLargeError
        found = []
        for event in events:
            if len(event) > self.max_event_bytes:
                raise EventTooLargeError
            data = event_data(event)
            if data:
                found.append(data)
        return found


def event_data(event: bytes) -> bytes:
    """Return the data of one event, which is empty for a comment."""
    if event.startswith(DATA_PREFIX) and b"\n" not in event:
        return event[len(DATA_PREFIX) :].strip()
    lines = [
        line[len(DATA_PREFIX) :].strip()
        for line in event.split(b"\n")
        if line.startswith(DATA_PREFIX)
    ]
    return b"\n".join(lines)
