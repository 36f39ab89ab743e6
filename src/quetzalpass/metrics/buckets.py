"""Counts of durations in log-linear buckets, cheap enough for each token.

Each power of two is divided into equal buckets, so that a value is known to within
two per cent. An observation costs one index calculation and one addition. Recording
into an HdrHistogram costs several times as much and is done at each flush.
"""

from hdrh import histogram

MICROSECONDS_PER_S = 1_000_000
MAX_DURATION_S = 3_600
MANTISSA_BITS = 6
HALF_BITS = MANTISSA_BITS - 1
MAX_DURATION_US = MAX_DURATION_S * MICROSECONDS_PER_S
MAX_SHIFT = MAX_DURATION_US.bit_length() - MANTISSA_BITS
BUCKET_COUNT = ((MAX_SHIFT + 1) << HALF_BITS) + (1 << HALF_BITS)
SIGNIFICANT_DIGITS = 2


class DurationBuckets:
    """Counts durations since the last flush.

    Attributes
    ----------
    counts : list of int
        Count of each bucket.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts = [0] * BUCKET_COUNT

    def observe(self, seconds: float, count: int = 1) -> None:
        """Add a duration to its bucket.

        Parameters
        ----------
        seconds : float
            The duration; a negative one counts as 0, one above an hour as an hour.
        count : int
            Number of times that it occurred.
        """
        # Literals, as looking up the module's constants costs time for each token.
        microseconds = int(seconds * 1_000_000)
        shift = microseconds.bit_length() - 6
        if shift > 0:
            index = (shift << 5) + (microseconds >> shift) if microseconds > 0 else 0
            self.counts[index if index < BUCKET_COUNT else -1] += count
        else:
            self.counts[microseconds if microseconds > 0 else 0] += count

    def is_empty(self) -> bool:
        """Return whether no duration was counted since the last flush."""
        return not any(self.counts)

    def flush_into(self, target: histogram.HdrHistogram) -> None:
        """Add all counts to a histogram of microseconds and reset them to zero."""
        counts = self.counts
        self.counts = [0] * BUCKET_COUNT
        for index, count in enumerate(counts):
            if count:
                target.record_value(bucket_midpoint_us(index), count)


def bucket_midpoint_us(index: int) -> int:
    """Return the midpoint of a bucket, in microseconds."""
    if index < 1 << MANTISSA_BITS:
        return index
    shift = (index >> HALF_BITS) - 1
    mantissa = index - (shift << HALF_BITS)
    lower_bound_us = mantissa << shift
    return min(lower_bound_us + (1 << shift >> 1), MAX_DURATION_US)


def make_histogram() -> histogram.HdrHistogram:
    """Make an empty histogram of microseconds up to an hour."""
    return histogram.HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
