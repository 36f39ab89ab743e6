"""Keeps the loads that are ordered within the weight store's declared rate."""


class WeightBudget:
    """A token bucket of megabytes that may go into debt by one load.

    A load larger than the bucket could otherwise never start. The debt delays the
    next load for as long as the store needs for this one.

    Attributes
    ----------
    free_at_s : float
        Loop time from which the next load may start.
    """

    def __init__(self) -> None:
        self.free_at_s = float("-inf")

    def try_take(self, size_mb: int, rate_mb_per_s: float, now_s: float) -> bool:
        """Return whether a load may start now, and count it if so.

        Parameters
        ----------
        size_mb : int
            Size of the load, in megabytes.
        rate_mb_per_s : float
            Declared rate of the weight store.
        now_s : float
            Loop time.
        """
        assert rate_mb_per_s > 0
        if size_mb == 0:
            return True
        if now_s < self.free_at_s:
            return False
        self.free_at_s = max(now_s, self.free_at_s) + size_mb / rate_mb_per_s
        return True

    def assume_busy(self, size_mb: int, rate_mb_per_s: float, now_s: float) -> None:
        """Count loads that an earlier leader may have ordered just before."""
        self.free_at_s = max(self.free_at_s, now_s + size_mb / rate_mb_per_s)
