"""Ejection of failing servers, and the gradual increase of load afterwards."""

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
RAMP_UP_S = 10.0
INITIAL_SHARE = 0.1
# After this time in use the next ejection is as short as the first.
EJECTION_RESET_S = 120.0


class Health:
    """Recent failures of one server, and when it is ejected and readmitted."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s: float | None = None
        self.readmitted_s: float | None = None
        self.reason = ""

    def record_success(self) -> None:
        """Count a request that the server completed."""
        self.failures = 0

    def record_failure(self) -> bool:
        """Count a failed request; return whether the server should be ejected."""
        self.failures += 1
        return self.failures >= FAILURES_TO_EJECT

    def eject(self, reason: str, now_s: float) -> float:
        """Eject the server; return when the ejection ends.

        Each ejection soon after the last one lasts twice as long.
        """
        readmitted_s = self.readmitted_s
        if readmitted_s is not None and now_s - readmitted_s > EJECTION_RESET_S:
            self.ejections = 0
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.reason = reason
        self.ejected_until_s = now_s + duration_s
        return self.ejected_until_s

    def shorten_ejection(self, now_s: float) -> float:
        """Limit the ejection to the length of a first one; return when it ends."""
        assert self.ejected_until_s is not None
        self.ejected_until_s = min(self.ejected_until_s, now_s + FIRST_EJECTION_S)
        return self.ejected_until_s

    def readmit(self, now_s: float) -> None:
        """End the ejection; the usable share of capacity grows from now on."""
        self.ejected_until_s = None
        self.readmitted_s = now_s

    def capacity_share(self, now_s: float) -> float:
        """Return the share of the server's capacity that may be used, from 0 to 1."""
        if self.ejected_until_s is not None:
            return 0.0
        if self.readmitted_s is None:
            return 1.0
        passed = (now_s - self.readmitted_s) / RAMP_UP_S
        return min(1.0, INITIAL_SHARE + (1.0 - INITIAL_SHARE) * passed)
