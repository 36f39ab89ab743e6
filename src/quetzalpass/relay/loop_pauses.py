"""Notices that this process stood still, so that what it reads may be old."""

import asyncio

# A server that crashed is not back before this time.
MIN_PAUSE_S = 0.5


class LoopPauses:
    """When the event loop last stood still.

    Attributes
    ----------
    ticked_s : float or None
        Loop time of the last tick; ``None`` before the first one.
    ended_s : float or None
        Loop time at which the last pause was noticed.
    """

    def __init__(self) -> None:
        self.ticked_s: float | None = None
        self.ended_s: float | None = None

    def tick(self, interval_s: float) -> None:
        """Record that the event loop runs.

        Parameters
        ----------
        interval_s : float
            Time after the last tick at which this one was due.
        """
        now_s = asyncio.get_running_loop().time()
        if self.is_late(now_s - interval_s):
            self.ended_s = now_s
        self.ticked_s = now_s

    def is_late(self, due_s: float) -> bool:
        """Return whether the last tick was long before a time at which one was due."""
        return self.ticked_s is not None and due_s - self.ticked_s > MIN_PAUSE_S

    def has_paused_since(self, since_s: float, interval_s: float) -> bool:
        """Return whether the event loop has stood still since a time.

        The tick that notices the pause may not have run yet.
        """
        if self.is_late(asyncio.get_running_loop().time() - interval_s):
            return True
        return self.ended_s is not None and self.ended_s >= since_s
