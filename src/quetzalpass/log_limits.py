"""Limits on log lines about values that other processes send again and again."""

import collections
import time

# Values of which a line was logged and is not repeated.
MAX_REMEMBERED = 256


class SeenValues:
    """Remembers for which values a line has been logged, within a bound.

    Attributes
    ----------
    hashes : dict of int to None
        Hashes of the values, the oldest first. The values themselves may be large.
    """

    def __init__(self) -> None:
        self.hashes: dict[int, None] = {}

    def add(self, value: bytes | str) -> bool:
        """Remember a value; return whether it is new."""
        key = hash(value)
        if key in self.hashes:
            return False
        while len(self.hashes) >= MAX_REMEMBERED:
            self.hashes.pop(next(iter(self.hashes)))
        self.hashes[key] = None
        return True


class RateLimiter:
    """Allows few lines a minute, and counts those that it doesn't allow.

    Lines cost real time, so the clock of the process counts, not that of a test.

    Parameters
    ----------
    lines_per_minute : int
        Lines that are allowed in a minute.

    Attributes
    ----------
    suppressed : int
        Lines that were not allowed since the last one that was.
    """

    WINDOW_S = 60.0

    def __init__(self, lines_per_minute: int) -> None:
        self.lines_per_minute = lines_per_minute
        self.logged_s: collections.deque[float] = collections.deque()
        self.suppressed = 0

    def allows(self) -> bool:
        """Return whether a line may be logged now, and count it."""
        now_s = time.monotonic()
        while self.logged_s and now_s - self.logged_s[0] > self.WINDOW_S:
            self.logged_s.popleft()
        if len(self.logged_s) >= self.lines_per_minute:
            self.suppressed += 1
            return False
        self.logged_s.append(now_s)
        return True

    def take_suppressed(self) -> int:
        """Return how many lines were not allowed since the last call."""
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed
