"""Limits the ordered loads to the declared rate of the weight store."""


class WeightBudget:
    """A token bucket of megabytes that one load may overdraw.

    A load larger than the bucket could otherwise never start. The overdraft delays the
    next load for as long as the weight store needs for this one.

    Attributes
    ----------
    next_load_s : float
        Loop time from which the next load may start.
    """

    def __init__(self) -> None:
        self.next_load_s = float("-inf")

    def try_consume(self, size_mb: int, rate_mb_per_s: float, now_s: float) -> bool:
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
        if now_s < self.next_load_s:
            return False
        self.next_load_s = max(now_s, self.next_load_s) + size_mb / rate_mb_per_s
        return True

    def assume_busy(self, size_mb: int, rate_mb_per_s: float, now_s: float) -> None:
        """Count loads that an earlier leader may just have ordered."""
        self.next_load_s = max(self.next_load_s, now_s + size_mb / rate_mb_per_s)
