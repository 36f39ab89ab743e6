"""Ejection of bad servers and their slow return."""

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
RETURN_S = 10.0
FIRST_SHARE = 0.1
# A server that stayed in use for this long starts again with the first ejection.
FORGIVEN_AFTER_S = 120.0


class Health:
    """Failures of one server, the time of its ejection and of its return."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s: float | None = None
        self.returned_s: float | None = None
        self.reason = ""

    def succeed(self) -> None:
        """Note a request that the server completed."""
        self.failures = 0

    def fail(self) -> bool:
        """Note a failed request; return whether the server should be ejected."""
        self.failures += 1
        return self.failures >= FAILURES_TO_EJECT

    def eject(self, reason: str, now_s: float) -> float:
        """Eject the server; return when it may come back.

        Each ejection soon after a return lasts twice as long as the one before.
        """
        returned_s = self.returned_s
        if returned_s is not None and now_s - returned_s > FORGIVEN_AFTER_S:
            self.ejections = 0
        duration_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.reason = reason
        self.ejected_until_s = now_s + duration_s
        return self.ejected_until_s

    def shorten(self, now_s: float) -> float:
        """Have the server come back as after a first ejection; return when."""
        assert self.ejected_until_s is not None
        self.ejected_until_s = min(self.ejected_until_s, now_s + FIRST_EJECTION_S)
        return self.ejected_until_s

    def give_back(self, now_s: float) -> None:
        """Begin the slow return."""
        self.ejected_until_s = None
        self.returned_s = now_s

    def share(self, now_s: float) -> float:
        """Return which share of its capacity may be used, from 0 to 1."""
        if self.ejected_until_s is not None:
            return 0.0
        if self.returned_s is None:
            return 1.0
        passed = (now_s - self.returned_s) / RETURN_S
        return min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * passed)
