"""Measurement of a stream's durations as its tokens arrive."""

from quetzalpass.metrics import series

STALL_THRESHOLD_S = 0.25


class StreamMeter:
    """Measures a stream's queue time, time to first token, token gaps and stall time.

    Parameters
    ----------
    stream_series : series.Series
        Series of the stream's organisation and priority class.
    arrived_s : float
        Loop time at which the request arrived.

    Attributes
    ----------
    last_token_s : float or None
        Loop time at which the last tokens arrived.
    stall_s : float
        Sum of the parts of all gaps that exceed ``STALL_THRESHOLD_S``.
    """

    def __init__(self, stream_series: series.Series, arrived_s: float) -> None:
        self.stream_series = stream_series
        self.arrived_s = arrived_s
        self.last_token_s: float | None = None
        self.stall_s = 0.0

    def record_placement(self, now_s: float) -> None:
        """Record that the request has left the gateway's queue."""
        if self.last_token_s is None:
            self.stream_series.queue_time.observe(now_s - self.arrived_s)

    def record_tokens(self, now_s: float) -> None:
        """Record the arrival of one or more tokens."""
        last_s = self.last_token_s
        self.last_token_s = now_s
        if last_s is None:
            self.stream_series.first_token.observe(now_s - self.arrived_s)
            return
        gap_s = now_s - last_s
        self.stream_series.token_gap.observe(gap_s)
        if gap_s > STALL_THRESHOLD_S:
            self.stall_s += gap_s - STALL_THRESHOLD_S

    def finish(self) -> None:
        """Record the end of the stream; a second call has no effect."""
        if self.last_token_s is not None:
            self.stream_series.stall_time.observe(self.stall_s)
            self.last_token_s = None
