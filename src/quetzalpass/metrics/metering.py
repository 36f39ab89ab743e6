"""Durations of one stream, observed as its tokens arrive."""

from quetzalpass.metrics import series

STALL_THRESHOLD_S = 0.25


class StreamMeter:
    """Observes one stream's first token, gaps and stall time.

    Parameters
    ----------
    counted : series.Series
        Series of the stream's organisation and class.
    arrived_s : float
        Loop time at which the request arrived.

    Attributes
    ----------
    last_token_s : float or None
        Loop time of the last tokens.
    stall_s : float
        Sum over the gaps of what exceeds ``STALL_THRESHOLD_S``.
    """

    def __init__(self, counted: series.Series, arrived_s: float) -> None:
        self.counted = counted
        self.arrived_s = arrived_s
        self.last_token_s: float | None = None
        self.stall_s = 0.0

    def record_placement(self, now_s: float) -> None:
        """Note that the request has left the gateway's queue."""
        if self.last_token_s is None:
            self.counted.queue_time.observe(now_s - self.arrived_s)

    def record_tokens(self, now_s: float) -> None:
        """Note tokens that arrived together."""
        last_s = self.last_token_s
        self.last_token_s = now_s
        if last_s is None:
            self.counted.first_token.observe(now_s - self.arrived_s)
            return
        gap_s = now_s - last_s
        self.counted.token_gap.observe(gap_s)
        if gap_s > STALL_THRESHOLD_S:
            self.stall_s += gap_s - STALL_THRESHOLD_S

    def finish(self) -> None:
        """Note the end of the stream; a second call has no effect."""
        if self.last_token_s is not None:
            self.counted.stall_time.observe(self.stall_s)
            self.last_token_s = None
