"""Metrics of one organisation and priority class."""

import collections
import enum
from collections.abc import Iterator

import msgspec

from quetzalpass.metrics import buckets
from quetzalpass.results import codes

MS_PER_US = 0.001
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


class Duration(enum.Enum):
    """Durations that are measured with histograms."""

    QUEUE_TIME = "queue_time"
    FIRST_TOKEN = "time_to_first_token"
    TOKEN_GAP = "token_gap"
    STALL_TIME = "stall_time"


class Summary(msgspec.Struct, frozen=True):
    """Percentiles of one duration over one flush interval, in milliseconds."""

    duration: Duration
    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class ResultCount(msgspec.Struct, frozen=True):
    """Number of requests that ended with a result code."""

    code: codes.Code
    count: int


class SeriesSnapshot(msgspec.Struct, frozen=True):
    """State of one series.

    Attributes
    ----------
    organisation, class_name : str
        Labels of the series.
    summaries : tuple of Summary
        Durations of the last flush interval.
    results : tuple of ResultCount
        Results since the start.
    preemptions : int
        Preemptions since the start.
    """

    organisation: str
    class_name: str
    summaries: tuple[Summary, ...]
    results: tuple[ResultCount, ...]
    preemptions: int


class Series:
    """Counts of one organisation and class.

    Parameters
    ----------
    organisation, class_name : str
        Labels of the series.

    Attributes
    ----------
    queue_time, first_token, token_gap, stall_time : DurationBuckets
        Durations since the last flush.
    preemptions : int
        Preemptions since the start.
    results : Counter of Code
        Results since the start.
    summaries : tuple of Summary
        Durations of the last flush interval.
    """

    def __init__(self, organisation: str, class_name: str) -> None:
        self.organisation = organisation
        self.class_name = class_name
        self.queue_time = buckets.DurationBuckets()
        self.first_token = buckets.DurationBuckets()
        self.token_gap = buckets.DurationBuckets()
        self.stall_time = buckets.DurationBuckets()
        self.preemptions = 0
        self.results: collections.Counter[codes.Code] = collections.Counter()
        self.summaries: tuple[Summary, ...] = ()
        self.flushed_preemptions = 0
        self.flushed_results: collections.Counter[codes.Code] = collections.Counter()

    def summarise(self) -> Iterator[None]:
        """Compute the percentiles of the durations and reset their counts.

        Yields after each duration, so that the caller can let other tasks run.
        """
        new_summaries = []
        for duration, duration_counts in self.durations():
            if not duration_counts.is_empty():
                new_summaries.append(summarise_duration(duration, duration_counts))
            yield
        self.summaries = tuple(new_summaries)

    def durations(self) -> Iterator[tuple[Duration, buckets.DurationBuckets]]:
        """Yield each kind of duration with its counts."""
        yield Duration.QUEUE_TIME, self.queue_time
        yield Duration.FIRST_TOKEN, self.first_token
        yield Duration.TOKEN_GAP, self.token_gap
        yield Duration.STALL_TIME, self.stall_time

    def new_preemptions(self) -> int:
        """Return the preemptions since the last call."""
        new = self.preemptions - self.flushed_preemptions
        self.flushed_preemptions = self.preemptions
        return new

    def new_results(self) -> tuple[ResultCount, ...]:
        """Return the results since the last call."""
        new = self.results - self.flushed_results
        self.flushed_results = self.results.copy()
        return tuple(ResultCount(code, count) for code, count in sorted(new.items()))

    def snapshot(self) -> SeriesSnapshot:
        """Return the state for the status page."""
        results = tuple(
            ResultCount(code, count) for code, count in sorted(self.results.items())
        )
        return SeriesSnapshot(
            self.organisation,
            self.class_name,
            self.summaries,
            results,
            self.preemptions,
        )


def summarise_duration(
    duration: Duration, duration_counts: buckets.DurationBuckets
) -> Summary:
    """Return the percentiles of a duration and reset its counts."""
    duration_histogram = buckets.make_histogram()
    duration_counts.flush_into(duration_histogram)
    # This method finds all percentiles in one pass over the histogram.
    percentiles = duration_histogram.get_percentile_to_value_dict(list(PERCENTILES))
    p50, p95, p99, p999 = (percentiles[each] * MS_PER_US for each in PERCENTILES)
    max_ms = duration_histogram.get_max_value() * MS_PER_US
    return Summary(
        duration, duration_histogram.get_total_count(), p50, p95, p99, p999, max_ms
    )
