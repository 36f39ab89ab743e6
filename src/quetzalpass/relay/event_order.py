"""Checks that the events of a stream arrive once and in order."""

from quetzalpass import ranges
from quetzalpass.backends import event_splitter
from quetzalpass.relay import stream_failures


class EventOrder:
    """Order of the events of one stream, which several servers may produce.

    Attributes
    ----------
    last_id : str or None
        Id of the last event that was relayed.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None

    def accept(self, event: event_splitter.Event) -> bool:
        """Return whether an event is new; repeated events are not.

        Raises
        ------
        StreamFailedError
            If events are missing before it.
        """
        if event.id is None:
            return True
        if self.last_id is not None:
            number = ranges.parse_whole_number(event.id, ranges.MAX_INTEGER)
            last = ranges.parse_whole_number(self.last_id, ranges.MAX_INTEGER)
            if number is None or last is None:
                raise stream_failures.stream_crossed(event.id, self.last_id)
            if number <= last:
                return False
            if number > last + 1:
                raise stream_failures.stream_crossed(event.id, self.last_id)
        self.last_id = event.id
        return True
