"""The open connections of one listener, and which of them makes room for a new one."""

from collections.abc import Callable
from typing import Protocol

import logbook

from quetzalpass import log_limits

LOG = logbook.Logger("inbound")
LINES_PER_MINUTE = 20


class Closable(Protocol):
    """What is known here of a connection."""

    def force_close(self) -> None:
        """Close it at once."""


class ListenerConnections:
    """Keeps the number of connections within a limit.

    A new connection takes the place of one without a request: of the oldest that never
    sent a whole one, or else of the one that is idle the longest. A crowd that only
    holds connections open thus closes its own ones first.

    Parameters
    ----------
    maximum : callable
        Returns the limit.

    Attributes
    ----------
    unused : dict of Closable to None
        Connections without a request so far, the oldest first.
    idle : dict of Closable to None
        Connections whose requests have all been answered, the longest idle first.
    busy : set of Closable
        Connections with a request that runs or waits.
    """

    def __init__(self, maximum: Callable[[], int]) -> None:
        self.maximum = maximum
        self.unused: dict[Closable, None] = {}
        self.idle: dict[Closable, None] = {}
        self.busy: set[Closable] = set()
        self.limiter = log_limits.RateLimiter(LINES_PER_MINUTE)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self.unused) + len(self.idle) + len(self.busy)

    def add(self, connection: Closable) -> None:
        """Add a new connection; close another one, or this, above the limit."""
        self.unused[connection] = None
        if len(self) <= self.maximum():
            return
        if self.limiter.allows():
            LOG.warning(
                "inbound: Closed a connection above the limit of {} "
                "({} more lines left out).",
                self.maximum(),
                self.limiter.take_suppressed(),
            )
        oldest = next(iter(self.unused))
        if oldest is connection and self.idle:
            oldest = next(iter(self.idle))
        self.remove(oldest)
        oldest.force_close()

    def note_busy(self, connection: Closable) -> None:
        """Record that a request has arrived on a connection."""
        if connection in self.unused or connection in self.idle:
            self.remove(connection)
            self.busy.add(connection)

    def note_idle(self, connection: Closable) -> None:
        """Record that all requests on a connection were answered."""
        if connection in self.busy:
            self.busy.discard(connection)
            self.idle[connection] = None

    def remove(self, connection: Closable) -> None:
        """Remove a connection that is closed."""
        self.unused.pop(connection, None)
        self.idle.pop(connection, None)
        self.busy.discard(connection)
