"""Log lines and counts of the values of other processes that are left out."""

import logbook

from quetzalpass import event_log, log_limits

# Bounds the lines about values that differ each time.
LINES_PER_MINUTE = 30


class OddValues:
    """Logs each value that is left out once, and counts all of them.

    Parameters
    ----------
    logger : logbook.Logger
        Logger of the part of the program that leaves the values out.

    Attributes
    ----------
    total : int
        Values that were left out in this process, repeated ones included.
    """

    total = 0

    def __init__(self, logger: logbook.Logger) -> None:
        self.logger = logger
        self.seen = log_limits.SeenValues()
        self.limiter = log_limits.RateLimiter(LINES_PER_MINUTE)

    def record(self, what: str, value: bytes | str, problem: object) -> None:
        """Count a value, and log it unless there is a recent line about it.

        Parameters
        ----------
        what : str
            What is left out.
        value : bytes or str
            Its untrusted content.
        problem : object
            What is wrong with it.
        """
        OddValues.total += 1
        if not self.seen.add(value) or not self.limiter.allows():
            return
        suppressed = self.limiter.take_suppressed()
        if suppressed:
            what = f"{what} (and {suppressed} other values without a line)"
        if isinstance(value, bytes):
            value = value[: event_log.MAX_TEXT_LENGTH].decode("utf-8", "replace")
        self.logger.warning(
            "{}: Left out {}: {}: {}.",
            self.logger.name,
            what,
            event_log.sanitize(str(problem)),
            event_log.sanitize(value),
        )


def total_count() -> int:
    """Return how many values have been left out in this process."""
    return OddValues.total
