"""Share of the event loop that connections with many tiny parts get together.

A chunk or header line of one byte costs as much processor time as one of kilobytes.
Connections that send many of them are read one after the other, so that all of them
together have one turn between two turns of the others. A connection that is alone of
that kind is not held up.
"""

import asyncio
import collections
import weakref
from collections.abc import Callable

# Lines in one read that are not counted.
FREE_PIECES = 512
# Pause before the next connection reads, for each line of the read before.
PIECE_PAUSE_S = 1e-6


class Pacer:
    """Lets connections read on in the order in which they came.

    Attributes
    ----------
    waiting : deque
        For each connection, the pause after its next read and how it reads on.
    """

    def __init__(self) -> None:
        self.waiting: collections.deque[tuple[float, Callable[[], None]]] = (
            collections.deque()
        )
        self.timer: asyncio.TimerHandle | None = None

    def enter(self, pieces: int, resume: Callable[[], None]) -> None:
        """Add a connection that has sent many pieces, and reads on with ``resume``."""
        pause_s = pieces * PIECE_PAUSE_S
        self.waiting.append((pause_s, resume))
        if self.timer is None:
            self.schedule(0.0)

    def schedule(self, pause_s: float) -> None:
        """Let the next connection read on after a pause."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(pause_s, self.resume_next)

    def resume_next(self) -> None:
        """Let one connection read on, and the next one after a pause."""
        self.timer = None
        if self.waiting:
            pause_s, resume = self.waiting.popleft()
            self.schedule(pause_s if self.waiting else 0.0)
            resume()


PACERS: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Pacer] = (
    weakref.WeakKeyDictionary()
)


def pacer_of(loop: asyncio.AbstractEventLoop) -> Pacer:
    """Return the pacer that all connections of an event loop share."""
    if loop not in PACERS:
        PACERS[loop] = Pacer()
    return PACERS[loop]
