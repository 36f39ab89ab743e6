"""Counting of durations with little work per call.

The buckets are log-linear: each power of two is divided into equal parts, so that a
value is known to within two per cent. One observation is an index and an addition;
recording into an HdrHistogram costs several times as much and is left to the flush.
"""

from hdrh import histogram

MICROSECONDS_PER_S = 1_000_000
LONGEST_S = 3_600
MANTISSA_BITS = 6
HALF_BITS = MANTISSA_BITS - 1
LONGEST_US = LONGEST_S * MICROSECONDS_PER_S
LARGEST_SHIFT = LONGEST_US.bit_length() - MANTISSA_BITS
BUCKETS = ((LARGEST_SHIFT + 1) << HALF_BITS) + (1 << HALF_BITS)
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
        self.counts = [0] * BUCKETS

    def observe(self, seconds: float, count: int = 1) -> None:
        """Count a duration.

        Parameters
        ----------
        seconds : float
            The duration; negative ones count as 0, longer ones as an hour.
        count : int
            How often it occurred.
        """
        # Literals in place of the module's constants: this runs for each token.
        units = int(seconds * 1_000_000)
        shift = units.bit_length() - 6
        if shift > 0:
            index = (shift << 5) + (units >> shift) if units > 0 else 0
            self.counts[index if index < BUCKETS else -1] += count
        else:
            self.counts[units if units > 0 else 0] += count

    def is_empty(self) -> bool:
        """Return whether nothing was counted since the last flush."""
        return not any(self.counts)

    def fold_into(self, target: histogram.HdrHistogram) -> None:
        """Add all counts to a histogram of microseconds and start from zero."""
        counts = self.counts
        self.counts = [0] * BUCKETS
        for index, count in enumerate(counts):
            if count:
                target.record_value(middle_us(index), count)


def middle_us(index: int) -> int:
    """Return the middle of a bucket, in microseconds."""
    if index < 1 << MANTISSA_BITS:
        return index
    shift = (index >> HALF_BITS) - 1
    mantissa = index - (shift << HALF_BITS)
    lowest = mantissa << shift
    return min(lowest + (1 << shift >> 1), LONGEST_US)


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds, up to an hour."""
    return histogram.HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
