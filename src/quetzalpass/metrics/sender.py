"""Sending of metrics to a statsd server."""

import abc

import statsd

from quetzalpass.metrics import labels, series
from quetzalpass.settings import schema


class Sender(abc.ABC):
    """Base class of the receivers of flushed metrics."""

    @abc.abstractmethod
    def send(
        self,
        flushed_series: series.Series,
        results: tuple[series.ResultCount, ...],
        preemptions: int,
    ) -> None:
        """Send the metrics of one series.

        Parameters
        ----------
        flushed_series : Series
            The series; its summaries are those of the last flush interval.
        results : tuple of ResultCount
            Results since the last flush.
        preemptions : int
            Preemptions since the last flush.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Release the socket."""


class StatsdSender(Sender):
    """Sends metrics in UDP datagrams, which are not resent if lost.

    Metric names are ``{prefix}.{organisation}.{class}.{metric}``. Percentiles are
    gauges in milliseconds; counts are counters.

    Parameters
    ----------
    settings : Statsd
        Address and prefix. The host should be an IP address: a host name is resolved
        at the start, which blocks.
    """

    def __init__(self, settings: schema.Statsd) -> None:
        parts = settings.prefix.split(".")
        prefix = ".".join(labels.safe_name(part) for part in parts)
        self.client = statsd.StatsClient(
            settings.host, settings.port, prefix, ipv6=":" in settings.host
        )

    def send(
        self,
        flushed_series: series.Series,
        results: tuple[series.ResultCount, ...],
        preemptions: int,
    ) -> None:
        """Send the metrics of one series; see the base class."""
        name = f"{flushed_series.organisation}.{flushed_series.class_name}"
        with self.client.pipeline() as pipe:
            for summary in flushed_series.summaries:
                self.add_summary(pipe, f"{name}.{summary.duration.value}", summary)
            for result_count in results:
                pipe.incr(
                    f"{name}.result.{result_count.code.value}", result_count.count
                )
            if preemptions:
                pipe.incr(f"{name}.preemptions", preemptions)

    def add_summary(
        self, pipe: statsd.StatsClient, name: str, summary: series.Summary
    ) -> None:
        """Add the count and percentiles of one duration to a batch."""
        pipe.incr(f"{name}.count", summary.count)
        pipe.gauge(f"{name}.p50_ms", summary.p50_ms)
        pipe.gauge(f"{name}.p95_ms", summary.p95_ms)
        pipe.gauge(f"{name}.p99_ms", summary.p99_ms)
        pipe.gauge(f"{name}.p999_ms", summary.p999_ms)
        pipe.gauge(f"{name}.max_ms", summary.max_ms)

    def close(self) -> None:
        """Close the socket."""
        self.client.close()


class NullSender(Sender):
    """Sends nothing; used if no statsd server is configured."""

    def send(
        self,
        flushed_series: series.Series,
        results: tuple[series.ResultCount, ...],
        preemptions: int,
    ) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


def make_sender(settings: schema.Statsd | None) -> Sender:
    """Make the sender for the settings."""
    if settings is None:
        return NullSender()
    return StatsdSender(settings)
